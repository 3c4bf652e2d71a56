// What is believed after a restart: snapshots, their ages, clocks that step, and the word of peers.
#include <gtest/gtest.h>

#include <random>

#include "policy/state.hpp"
#include "recovery/learning.hpp"
#include "recovery/peer_state_transfer.hpp"
#include "recovery/snapshot_validity.hpp"

namespace lockgw::recovery {
namespace {

using namespace cometspoke;
using namespace std::chrono_literals;

const Moment kThen{1000s, 1'700'000'000s, 42};
Moment later(Time by) { return {kThen.steady + by, kThen.wall + by, kThen.boot_id}; }

Snapshot sample() {
    Snapshot all;
    all.at = kThen, all.held = 3, all.orders = true, all.usual_s = 0.02;
    Outage out;
    out.failure_seen = true, out.failing = 0.8, out.fell = 2s, out.good = 4s, out.next_trial = 250ms;
    all.targets.push_back({"t-1", 7, out, {}});
    all.targets.push_back({"t-2", 7, {}, {10, 0.8, 10, 0.4, 1s}});
    all.destinations.push_back({7, {100, 1.5, 90, 0.3, 500ms}, 0.03, 2.5, 3.5});
    return all;
}

// ---- the form ----

TEST(Snapshot, ReadsBackWhatItWrote) {
    const Read read = snapshot_of(bytes_of(sample()));
    ASSERT_TRUE(read.snapshot) << read.why;
    EXPECT_EQ(*read.snapshot, sample());
}
TEST(Snapshot, IsReadWholeOrNotAtAll) {
    const std::string bytes = bytes_of(sample());
    for (std::size_t cut = 0; cut < bytes.size(); ++cut)
        EXPECT_FALSE(snapshot_of(std::string_view(bytes).substr(0, cut)).snapshot) << cut;
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        std::string spoilt = bytes;
        spoilt[at] = static_cast<char>(spoilt[at] ^ 0x10);
        EXPECT_FALSE(snapshot_of(spoilt).snapshot) << at;
    }
    std::string newer = bytes;
    newer[4] = 2;
    EXPECT_EQ(snapshot_of(newer).why, "another version's");
}
TEST(Snapshot, ItsGistChangesWithStatesAndLimitsNotWithAges) {
    Snapshot one = sample(), other = sample();
    other.at = later(1s), other.targets[0].outage->fell += 1s, other.destinations[0].asked_per_s = 9;
    EXPECT_EQ(gist_of(one), gist_of(other));
    other.targets[0].outage->answers = true;
    EXPECT_NE(gist_of(one), gist_of(other));
    other = sample(), other.destinations[0].limit.heard = 45;
    EXPECT_NE(gist_of(one), gist_of(other));
}

// ---- clocks ----

TEST(Elapsed, GoesByTheSteadyClockWhileTheMachineRuns) {
    Moment now = later(5s);
    now.wall += 1h;
    EXPECT_EQ(elapsed(kThen, now), std::optional<Time>(5s)) << "a step of the wall clock says nothing";
    now.wall -= 2h;
    EXPECT_EQ(elapsed(kThen, now), std::optional<Time>(5s));
}
TEST(Elapsed, GoesByTheWallClockAfterTheMachineWasStartedAnew) {
    const Moment now{3s, kThen.wall + 90s, 43};
    EXPECT_EQ(elapsed(kThen, now), std::optional<Time>(90s));
    EXPECT_FALSE(elapsed(kThen, {3s, kThen.wall - 1s, 43})) << "from the future";
}
TEST(Elapsed, GoesByTheWallClockWhereTheStartOfTheMachineIsNotKnown) {
    const Moment then{9s, kThen.wall, 0}, now{60s, kThen.wall + 2s, 0};
    EXPECT_EQ(elapsed(then, now), std::optional<Time>(2s));
}
TEST(Until, GoesByTheSteadyClockWhileTheMachineRuns) {
    Moment now = later(5s);
    now.wall -= 1h;
    EXPECT_EQ(time_until(later(20s), now), Time(15s));
    EXPECT_EQ(time_until(later(2s), now), Time(-3s)) << "it is past";
}
TEST(Until, GoesByTheWallClockAfterTheMachineWasStartedAnew) {
    EXPECT_EQ(time_until(kThen, {3s, kThen.wall - 7s, 43}), Time(7s));
    EXPECT_EQ(time_until({9s, kThen.wall, 0}, {60s, kThen.wall - 7s, 0}), Time(7s));
}

// ---- ages ----

TEST(SnapshotValidity, EachKindHoldsForAsLongAsItIsWorthAnything) {
    const auto now = [](Time by) { return valid_facts(sample(), later(by)); };
    const ValidFacts soon = now(600ms);
    EXPECT_EQ(soon.age, std::optional<Time>(600ms));
    ASSERT_EQ(soon.facts.targets.size(), 2u);
    EXPECT_EQ(soon.facts.targets[0].outage->fell, Time(2600ms));
    EXPECT_EQ(soon.facts.targets[0].outage->next_trial, Time(-350ms)) << "it may be tried now";
    EXPECT_DOUBLE_EQ(soon.facts.destinations[0].limit.left, 0.3);

    const ValidFacts ten = now(10s);
    EXPECT_DOUBLE_EQ(ten.facts.destinations[0].limit.left, 0) << "nobody knows what is left by now";
    EXPECT_DOUBLE_EQ(ten.facts.destinations[0].limit.heard, 90);
    EXPECT_TRUE(ten.facts.targets[0].outage);

    const ValidFacts minutes = now(9min);
    EXPECT_DOUBLE_EQ(minutes.facts.destinations[0].limit.heard, 90);
    EXPECT_DOUBLE_EQ(minutes.facts.destinations[0].limit.gain, 0);
    EXPECT_DOUBLE_EQ(minutes.facts.destinations[0].asked_per_s, 0);
    ASSERT_EQ(minutes.facts.targets.size(), 1u) << "the outage is forgotten, the limit of t-2 is not";

    const ValidFacts hour = now(1h);
    EXPECT_TRUE(hour.facts.targets.empty());
    ASSERT_EQ(hour.facts.destinations.size(), 1u);
    EXPECT_FALSE(hour.facts.destinations[0].limit.any());
    EXPECT_DOUBLE_EQ(hour.facts.destinations[0].usual_s, 0.03);
    EXPECT_EQ(now(48h).valid, 0u);
}
TEST(SnapshotValidity, NothingFromTheFuture) {
    const ValidFacts none = valid_facts(sample(), {1s, kThen.wall - 1h, 43});
    EXPECT_FALSE(none.age);
    EXPECT_EQ(none.valid, 0u);
    EXPECT_EQ(none.dropped, 3u);
    EXPECT_TRUE(none.facts.targets.empty() && none.facts.destinations.empty());
}

// ---- the module ----

Settings settings(bool apart) {
    Settings all;
    all.classes.resize(1);
    all.classes[0].aim = 1s, all.classes[0].deadline = 8s;
    all.kinds = {{apart, 1}};
    all.n_instances = 20, all.slots = 10, all.most_held = 100, all.max_attempts = 5, all.notes = true;
    all.conn_idle = 10s, all.fall = 2s, all.warm_within = 10s, all.fall_multiple = 2, all.cold_from = 0.2;
    return all;
}
ListEvent listed(std::vector<EndpointId> ids) {
    ListEvent event;
    for (const EndpointId id : ids)
        event.entries.push_back({id, 7, 0, 0, 0, Condition::Ready, false, 1000u + id});
    return event;
}
void refuse_and_fail(Sender& module, Time now) {
    // endpoint 1 fails until it is taken for down; 2 tells a limit
    for (MessageId id = 1; id <= 12; ++id) {
        MessageEvent message;
        message.message = id, message.destination = 7, message.left = 8s;
        module.observe(message, now);
        for (const Action& action : module.decide(now))
            if (const auto* send = std::get_if<Send>(&action)) {
                OutcomeEvent event;
                event.message = send->message, event.endpoint = send->endpoint;
                event.outcome = send->endpoint == 1 ? Outcome::ServerError : Outcome::Served;
                event.terminal = send->endpoint != 1, event.rtt = 20ms;
                if (send->endpoint != 1) event.report = LoadReport{0.4, 50};
                module.observe(event, now + 20ms);
            }
        now += 30ms;
    }
}

TEST(Learning, OutagesAndLimitsHoldUnderOtherNumbers) {
    for (const bool apart : {false, true}) {
        const Time now = 100s;
        Sender before(settings(apart), 3);
        before.observe(listed({1, 2}), now);
        refuse_and_fail(before, now);
        const Time then = now + 1s;
        const std::map<EndpointId, std::string> names{{1, "a"}, {2, "b"}};
        const Snapshot facts = facts_of(
            before, [&](EndpointId id) { return names.contains(id) ? &names.at(id) : nullptr; }, then);
        const auto out = std::find_if(
            facts.targets.begin(), facts.targets.end(), [](const TargetFact& one) { return one.id == "a"; });
        ASSERT_NE(out, facts.targets.end());
        ASSERT_TRUE(out->outage);

        Sender after(settings(apart), 4);
        after.observe(listed({11, 12}), then);
        after.observe(event_of(facts, {{"a", 11}, {"b", 12}}, then), then);
        auto& state = after.state();
        EXPECT_NE(state.endpoints_.at(11).health, policy::Health::Healthy);
        EXPECT_EQ(state.endpoints_.at(12).health, policy::Health::Healthy);
        EXPECT_DOUBLE_EQ(state.route_of(state.endpoints_.at(12)).reported_limit, 50);
        EXPECT_EQ(after.wait_until(12), policy::kLongAgo) << "no snapshot sets a wait";
        EXPECT_GT(state.destinations_.at(7).typical_latency_s, 0);
    }
}
TEST(Learning, AnAddressThatIsAnotherDestinationsIsNotMeant) {
    Sender after(settings(false), 4);
    after.observe(listed({11}), 100s);
    Snapshot facts = sample();
    facts.targets[0].destination = 8;
    after.observe(event_of(facts, {{"t-1", 11}}, 100s), 100s);
    EXPECT_EQ(after.state().endpoints_.at(11).health, policy::Health::Healthy);
}
TEST(Learning, WhatIsKnownByNowStays) {
    Sender after(settings(false), 4);
    after.observe(listed({11, 12}), 100s);
    after.state().destinations_.at(7).shared_route.reported_limit = 5;
    after.observe(event_of(sample(), {{"t-1", 11}, {"t-2", 12}}, 100s), 100s);
    EXPECT_DOUBLE_EQ(after.state().destinations_.at(7).shared_route.reported_limit, 5);
}

// ---- peers ----

Answer says(std::vector<Said> facts, bool young = false, std::optional<Time> heard = {}) {
    return {young, heard, std::move(facts)};
}
const Said kOut{Said::What::Out, 77, {}}, kDown{Said::What::Down, 88, 2s};

TEST(PeerStateTransfer, AnswersReadBackInSections) {
    Answer many = says({}, true, 1500ms);
    for (std::uint64_t i = 0; i < 100; ++i) many.facts.push_back({Said::What::Down, i << 32 | i, 300ms});
    Answer read;
    for (const std::string& bytes : sections_of(many, 200)) {
        EXPECT_LE(bytes.size(), 200u);
        const auto part = answer_of(bytes);
        ASSERT_TRUE(part);
        EXPECT_TRUE(part->young);
        EXPECT_EQ(part->heard, std::optional<Time>(1500ms));
        read.facts.insert(read.facts.end(), part->facts.begin(), part->facts.end());
    }
    EXPECT_EQ(read.facts, many.facts);
    EXPECT_EQ(sections_of(says({}), 200).size(), 1u) << "nothing to tell is told as well";
    EXPECT_FALSE(answer_of(""));
    EXPECT_FALSE(answer_of(sections_of(many, 200)[0].substr(0, 50)));
    EXPECT_EQ(question_of(bytes_of(Question{9}))->incarnation, 9u);
    EXPECT_FALSE(question_of("x"));
}
TEST(PeerStateTransfer, OneAloneIsBelievedOnlyWhereNobodyElseAnswers) {
    PeerStateTransfer alone({1, 2, 3}, 2, 300ms);
    alone.heard(1, says({kOut, kDown}), 10ms);
    EXPECT_FALSE(alone.done(10ms));
    EXPECT_TRUE(alone.done(300ms));
    EXPECT_TRUE(alone.taken(300ms).out.contains(77));
    alone.heard(2, says({}), 20ms);
    EXPECT_TRUE(alone.done(20ms));
    EXPECT_FALSE(alone.taken(300ms).out.contains(77)) << "they disagree";
    alone.heard(3, says({kOut}), 30ms);
    EXPECT_TRUE(alone.taken(300ms).out.contains(77)) << "two of three";
    EXPECT_FALSE(alone.taken(300ms).down.contains(88));
}
TEST(PeerStateTransfer, WhoHasOnlyJustStartedHasNoVoiceBesideOthers) {
    PeerStateTransfer peer_state({1, 2, 3}, 2, 300ms);
    peer_state.heard(1, says({kOut}, true), 0s);
    peer_state.heard(2, says({kOut}, true), 0s);
    EXPECT_FALSE(peer_state.done(10ms));
    peer_state.heard(3, says({}), 0s);
    EXPECT_FALSE(peer_state.taken(10ms).out.contains(77));
}
TEST(PeerStateTransfer, OldNewsStrangersAndRepeatsCountForNothing) {
    PeerStateTransfer peer_state({1, 2}, 2, 300ms);
    peer_state.heard(1, says({{Said::What::Down, 88, 1h}}), 0s);
    EXPECT_TRUE(peer_state.taken(0s).down.empty()) << "an hour stale";
    peer_state.heard(9, says({kOut}), 0s);
    EXPECT_TRUE(peer_state.taken(0s).out.empty()) << "it was not asked";
    for (int i = 0; i < 10; ++i) peer_state.heard(1, says({kOut}), 0s);
    peer_state.heard(2, says({}), 0s);
    EXPECT_TRUE(peer_state.taken(0s).out.empty()) << "one voice, however often";
}
// Each newcomer asks three of a hundred: by so many questions each counts those that came back. One that says
// far too much does not move the middle.
TEST(PeerStateTransfer, HowManyCameBackIsTheMiddleOfWhatIsSaid) {
    EXPECT_EQ(back_of(2, 99, 3, 0), 66u);
    EXPECT_EQ(back_of(0, 99, 3, 12), 12u) << "seen by the watch";
    EXPECT_EQ(back_of(50, 99, 3, 0), 99u);
    EXPECT_EQ(back_of(1, 1, 3, 0), 1u) << "of two there is one to ask";
    PeerStateTransfer peer_state({1, 2, 3}, 3, 300ms);
    EXPECT_FALSE(peer_state.taken(0s).back);
    peer_state.heard(1, says({{Said::What::Back, 60, {}}}, true), 0s);
    peer_state.heard(2, says({{Said::What::Back, 70, {}}}), 0s);
    peer_state.heard(3, says({{Said::What::Back, 1'000'000, {}}}), 0s);
    EXPECT_EQ(peer_state.taken(0s).back, 70u);
    EXPECT_TRUE(peer_state.taken(0s).out.empty());
}
TEST(PeerStateTransfer, TenThousandFactsOfOnePeerAreBounded) {
    PeerStateTransfer peer_state({1}, 1, 300ms);
    for (std::uint64_t i = 0; i < 10'000; ++i) peer_state.heard(1, says({{Said::What::Down, i, 1s}}), 0s);
    EXPECT_LE(peer_state.taken(0s).down.size(), kMostHeard);
}
TEST(PeerStateTransfer, AFolderThatLacksWhatPeersHeardIsOld) {
    PeerStateTransfer peer_state({1, 2, 3}, 3, 300ms);
    peer_state.heard(1, says({}, false, 800ms), 0s);
    EXPECT_TRUE(PeerStateTransfer::folder_is_old(peer_state.taken(0s), 1h)) << "nobody else has answered";
    peer_state.heard(3, says({}), 0s);
    EXPECT_FALSE(PeerStateTransfer::folder_is_old(peer_state.taken(0s), 1h)) << "one alone may lie";
    peer_state.heard(2, says({}, false, 900ms), 0s);
    EXPECT_TRUE(PeerStateTransfer::folder_is_old(peer_state.taken(0s), 1h));
    EXPECT_FALSE(PeerStateTransfer::folder_is_old(peer_state.taken(0s), 5s))
        << "written as lately as it may be";
    EXPECT_FALSE(PeerStateTransfer::folder_is_old(peer_state.taken(0s), std::nullopt)) << "an empty one";
}

}  // namespace
}  // namespace lockgw::recovery
