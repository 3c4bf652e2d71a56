#include <algorithm>
#include <functional>
#include <map>
#include <stdexcept>

#include "helpers.hpp"

namespace cometspoke::testing {
namespace {

using Ids = std::vector<MessageId>;

// ---- mClock tags and slots ----

// One slot, weights 1 and 0.5, a call every 0.7 s. Expected order computed by hand, in seconds from the
// start: both destinations start level at -2; a call to 1 gives P1 = max(P1 + 1, now - 1), a call to 2 gives
// P2 = max(P2 + 2, now - 2). The calls and the tags after them are 1 (P1 = -1), 2 (P2 = 0), 1 (0.4), 2 (2), 1
// (1.8), 1 (2.8), 2 (4), 1 (3.9), 1 (4.9); the L tags are due each time.
TEST(MclockTags, ShareFollowsListedRates) {
    Settings settings = make_settings();
    settings.slots = 1;
    settings.listed_rates = true;
    SenderHarness harness(settings);
    harness.list_endpoint(0, 1, 0, 1.0);
    harness.list_endpoint(1, 2, 0, 0.5);
    for (MessageId id = 1; id <= 9; ++id) harness.arrive(id, 1);
    for (MessageId id = 11; id <= 19; ++id) harness.arrive(id, 2);
    Ids order;
    for (int i = 0; i < 9; ++i) {
        const auto out = harness.decide_sends();
        ASSERT_EQ(out.size(), 1u);
        order.push_back(out[0].message < 10 ? 1 : 2);
        harness.now += ms(700);
        harness.report_outcome(out[0], Outcome::Served, 0, Time(0), ms(700));
    }
    EXPECT_EQ(order, (Ids{1, 2, 1, 2, 1, 1, 2, 1, 1}));
}

// Before any refusal l is the whole listed rate; computed by hand, L = now, now+1/l, ... from the arrival on.
TEST(MclockTags, LimitSpacesSends) {
    Settings settings = make_settings();
    settings.listed_rates = true;
    settings.n_instances = 7;
    SenderHarness harness(settings);
    harness.list_endpoint(0, 1, 0, 1.4);
    for (MessageId id = 1; id <= 4; ++id) harness.arrive(id, 1);
    EXPECT_EQ(harness.decide_sent_ids(), Ids{1});
    const Time start = harness.now;
    const auto later = harness.advance(ms(1600), ms(1));
    ASSERT_EQ(later.size(), 2u);
    const Time first_gap = later[0].first - start;
    EXPECT_LE(later[1].first - later[0].first, first_gap);
    EXPECT_GE(later[1].first - later[0].first, first_gap - ms(1));  // decisions are made once per millisecond
    EXPECT_GT(first_gap, ms(500));
    EXPECT_LT(first_gap, ms(1000));
}

// Computed by hand, in seconds from the start: r = 1, weights 1000 and 2, 0.3 s per call. With R1 = R2 = 0
// the first call goes to 1 (R1 = 1). The second goes to 2 by its R tag, although P1 = -0.001 is far behind by
// share (R2 = 1.3, P2 = 0). Then by share: 1 at 0.6 (P1 = 0.599, R1 stays 1) and 2 at 0.9 (P2 = 0 is smaller,
// R2 stays 1.3). At 1.2, R1 = 1 is due.
TEST(MclockTags, ReservationPhaseGoesFirst) {
    Settings settings = make_settings();
    settings.slots = 1;
    settings.floor_per_s = 1.0;
    settings.listed_rates = true;
    settings.n_instances = 1;
    SenderHarness harness(settings);
    harness.list_endpoint(0, 1, 0, 1000.0);
    harness.list_endpoint(1, 2, 0, 2.0);
    for (MessageId id = 1; id <= 8; ++id) harness.arrive(id, 1);
    for (MessageId id = 11; id <= 14; ++id) harness.arrive(id, 2);
    Ids order;
    for (int i = 0; i < 12; ++i) {
        const auto out = harness.decide_sends();
        if (out.empty()) {
            harness.now += ms(300);
            continue;
        }
        order.push_back(out[0].message);
        harness.now += ms(300);
        harness.report_outcome(out[0], Outcome::Served);
    }
    ASSERT_GE(order.size(), 5u);
    order.resize(5);
    EXPECT_EQ(order, (Ids{1, 11, 2, 12, 3}));
}

TEST(MclockTags, ArrivalOrderWithinDestination) {
    SenderHarness harness;
    harness.list_endpoint(0, 1);
    for (MessageId id = 5; id > 0; --id) harness.arrive(id, 1);
    EXPECT_EQ(harness.decide_sent_ids(), (Ids{5, 4, 3, 2, 1}));
}

// A destination that was idle for long starts level: it does not get a burst of calls ahead of the busy one.
TEST(MclockTags, ReactivatedDestinationStartsLevel) {
    Settings settings = make_settings();
    settings.slots = 2;
    SenderHarness harness(settings);
    harness.list_endpoint(0, 1);
    harness.list_endpoint(1, 2);
    for (MessageId id = 1; id <= 20; ++id) harness.arrive(id, 1);
    auto out = harness.decide_sends();
    for (int i = 0; i < 5; ++i) {
        harness.now += ms(1000);
        harness.report_outcome(out[0], Outcome::Served);
        out = harness.decide_sends();
        ASSERT_EQ(out.size(), 1u);
    }
    for (MessageId id = 101; id <= 110; ++id) harness.arrive(id, 2);
    out = {out[0]};
    const auto second = harness.decide_sends();
    ASSERT_EQ(second.size(), 1u);
    EXPECT_EQ(second[0].message, 101u);
    int newcomer_sends = 0;
    std::vector<Send> in_flight{out[0], second[0]};
    for (int i = 0; i < 8; ++i) {
        harness.now += ms(1000);
        harness.report_outcome(in_flight[0], Outcome::Served);
        in_flight.erase(in_flight.begin());
        const auto next = harness.decide_sends();
        ASSERT_EQ(next.size(), 1u);
        newcomer_sends += next[0].message > 100;
        in_flight.push_back(next[0]);
    }
    EXPECT_EQ(newcomer_sends, 4);
}

// l = 1, so L = 1 after the first send. The stall ends at 5 with the L tag in the past: the head may be sent,
// and since L = max(2, 5) = 5 so may the next one. Then L = 6, and the rest of the backlog waits.
TEST(MclockTags, BacklogIsNotReleasedAtOnceAfterAStall) {
    Settings settings = make_settings();
    settings.listed_rates = true;
    settings.n_instances = 7;
    SenderHarness harness(settings);
    harness.list_endpoint(0, 1, 0, 1.0);
    for (MessageId id = 1; id <= 5; ++id) harness.arrive(id, 1);
    const auto first = harness.decide_sends();
    EXPECT_EQ(first.size(), 1u);
    harness.now += ms(5000);
    harness.report_outcome(first[0], Outcome::Served);
    const auto burst = harness.decide_sends();
    ASSERT_EQ(burst.size(), 2u);
    for (const Send& send : burst) harness.report_outcome(send, Outcome::Served);
    EXPECT_TRUE(harness.advance(ms(980)).empty());
    EXPECT_EQ(harness.advance(ms(40)).size(), 1u);
}

// Retries to a destination that answers with errors must not take the turns of the other destinations.
TEST(MclockTags, RetriesDoNotDelayOtherDestinations) {
    Settings settings = make_settings();
    settings.slots = 1;
    SenderHarness harness(settings);
    harness.list_endpoint(0, 1);
    harness.list_endpoint(1, 2);
    for (MessageId id = 1; id <= 9; ++id) harness.arrive(id, 1);
    for (MessageId id = 11; id <= 19; ++id) harness.arrive(id, 2);
    std::map<MessageId, std::uint32_t> attempts;
    int failing = 0, healthy = 0;
    for (int i = 0; i < 400 && healthy < 9; ++i, harness.now += ms(10)) {
        for (const Send& send : harness.decide_sends()) {
            const bool bad = send.message < 10;
            (bad ? failing : healthy)++;
            harness.report_outcome(send, bad ? Outcome::ServerError : Outcome::Served,
                attempts[send.message]++, Time(0), ms(10));
        }
    }
    EXPECT_EQ(healthy, 9);
    EXPECT_LE(failing, 4);
}

TEST(SlotCap, OneDestinationStaysUnderThreeQuartersOfTheSlots) {
    SenderHarness harness;  // 8 slots: five calls are below 3/4, six would not be
    harness.list_endpoint(0, 1);
    for (MessageId id = 1; id <= 8; ++id) harness.arrive(id, 1);
    EXPECT_EQ(harness.decide_sent_ids().size(), 5u);
}

TEST(SlotCap, UnhealthyDestinationsTogetherHoldAtMostHalf) {
    SenderHarness harness;
    for (EndpointId id = 0; id < 6; ++id) harness.list_endpoint(id, id);
    MessageId next = 1;
    for (int i = 0; i < 6; ++i) harness.arrive(next++, i);
    EXPECT_EQ(harness.decide_sends().size(), 6u);
    const auto trials =
        harness.advance(ms(8000));  // all silent, hence unhealthy: they may use at most half of the slots
    for (int i = 0; i < 6; ++i) harness.arrive(next++, i);
    EXPECT_TRUE(trials.empty());
    EXPECT_TRUE(harness.decide_sends().empty());
    harness.list_endpoint(9, 9);
    harness.arrive(99, 9);
    EXPECT_EQ(harness.decide_sent_ids(), Ids{99});
}

// ---- final answers, effects, list, waits and keys ----

TEST(FinalAnswer, ComesAtTheDeadlineWhetherHeldOrInFlight) {
    SenderHarness harness;
    harness.list_endpoint(0, 1);
    harness.arrive(1, 1, kFragile, std::nullopt, ms(500));
    harness.arrive(2, 7, kRetryable, std::nullopt, ms(500));  // no endpoint
    EXPECT_EQ(harness.decide_sent_ids(), Ids{1});
    harness.now += ms(499);
    EXPECT_TRUE(actions_of<Fail>(harness.decide()).empty());
    harness.now += ms(1);
    EXPECT_EQ(actions_of<Fail>(harness.decide()).size(), 2u);
}

TEST(FinalAnswer, TimerIsSetForTheDeadline) {
    SenderHarness harness;
    harness.arrive(1, 7, kRetryable, std::nullopt, ms(500));
    const auto timers = actions_of<SetTimer>(harness.decide());
    ASSERT_EQ(timers.size(), 1u);
    EXPECT_EQ(timers[0].delay, ms(500));
}

TEST(Effects, FragileFailsOnceItMayHaveRun) {
    SenderHarness harness;
    harness.list_endpoint(0, 1);
    harness.arrive(1, 1, kFragile);
    const auto out = harness.decide_sends();
    harness.now += ms(100);
    harness.report_outcome(out[0], Outcome::ServerError);
    const auto actions = harness.decide();
    EXPECT_EQ(actions_of<Fail>(actions).size(), 1u);
    EXPECT_TRUE(actions_of<Refuse>(actions).empty());
}

TEST(Effects, FragileIsRetriedIfItDidNotRun) {
    SenderHarness harness;
    harness.list_endpoint(0, 1);
    harness.arrive(1, 1, kFragile);
    const auto out = harness.decide_sends();
    harness.now += ms(100);
    harness.report_outcome(out[0], Outcome::TurnedAway);
    EXPECT_EQ(harness.advance(ms(500)).size(), 1u);
}

TEST(Effects, DedupIsRetriedOnlyWithinItsWindow) {
    for (const bool inside : {true, false}) {
        SenderHarness harness;
        harness.list_endpoint(0, 1);
        harness.list_endpoint(1, 1);
        harness.arrive(1, 1, kDedup);
        const auto out = harness.decide_sends();
        harness.now += inside ? ms(4700) : ms(4950);
        harness.report_outcome(out[0], Outcome::ConnectionLost);
        int sends = 0, ends = 0;
        for (int i = 0; i < 30; ++i, harness.now += ms(10)) {
            const auto actions = harness.decide();
            sends += static_cast<int>(actions_of<Send>(actions).size());
            ends += static_cast<int>(actions_of<Refuse>(actions).size() + actions_of<Fail>(actions).size());
        }
        EXPECT_EQ(sends, inside ? 1 : 0);
        EXPECT_EQ(ends, inside ? 0 : 1);
    }
}

TEST(Effects, DedupWithZoneScopeStaysInItsZone) {
    Settings settings = make_settings();
    settings.classes[kDedup].dedup_scope = DedupScope::Zone;
    SenderHarness harness(settings);
    harness.list_endpoint(0, 1);
    harness.arrive(1, 1, kDedup);
    const auto out = harness.decide_sends();
    harness.list_endpoint(1, 1, 0, 0.0, Condition::Ready, 1);
    harness.list_endpoint(0, 1, 0, 0.0, Condition::Gone);
    harness.now += ms(100);
    harness.report_outcome(out[0], Outcome::ServerError);
    EXPECT_TRUE(harness.advance(ms(3000)).empty());
}

TEST(Effects, StopsAtMaxAttempts) {
    SenderHarness harness;
    harness.list_endpoint(0, 1);
    harness.arrive(1, 1);
    std::uint32_t attempt = 0;
    int ends = 0;
    for (int i = 0; i < 1500 && ends == 0; ++i, harness.now += ms(10)) {
        const auto actions = harness.decide();
        for (const Send& send : actions_of<Send>(actions))
            harness.report_outcome(send, Outcome::ServerError, attempt++);
        ends += static_cast<int>(actions_of<Refuse>(actions).size() + actions_of<Fail>(actions).size());
    }
    EXPECT_EQ(attempt, 4u);
    EXPECT_EQ(ends, 1);
}

TEST(Drain, DrainingAndGoneEndpointsGetNoCalls) {
    for (const Condition condition : {Condition::Draining, Condition::Gone}) {
        SenderHarness harness;
        harness.list_endpoint(0, 1);
        harness.list_endpoint(0, 1, 0, 0.0, condition);
        harness.arrive(1, 1);
        EXPECT_TRUE(harness.decide_sends().empty());
        harness.list_endpoint(1, 1);
        EXPECT_EQ(harness.decide_sent_ids(), Ids{1});
    }
}

TEST(Drain, FullListReplacesTheOldOne) {
    SenderHarness harness;
    harness.list_endpoint(0, 1);
    harness.sender.observe(ListEvent{ListKind::Full, {{1, 2, 0, 0, 0.0, Condition::Ready}}}, harness.now);
    harness.arrive(1, 1);
    harness.arrive(2, 2);
    EXPECT_EQ(harness.decide_sent_ids(), Ids{2});
}

TEST(RetryAfter, AppliesToTheWholeDestination) {
    SenderHarness harness;
    harness.list_endpoint(0, 1);
    harness.list_endpoint(1, 1);
    harness.arrive(1, 1);
    const auto out = harness.decide_sends();
    harness.report_outcome(out[0], Outcome::TurnedAway, 0, ms(700));
    harness.arrive(2, 1);
    EXPECT_TRUE(harness.advance(ms(690)).empty());
    EXPECT_EQ(harness.advance(ms(300)).size(), 2u);
}

TEST(RetryAfter, AppliesToOneEndpointWithARouteOfItsOwn) {
    SenderHarness harness;
    harness.list_endpoint(0, 1, 1);
    harness.list_endpoint(1, 1, 1);
    harness.arrive(1, 1);
    const auto out = harness.decide_sends();
    harness.report_outcome(out[0], Outcome::TurnedAway, 0, ms(700));
    harness.arrive(2, 1);
    const auto next = harness.decide_sends();
    ASSERT_EQ(next.size(), 1u);
    EXPECT_NE(next[0].endpoint, out[0].endpoint);
}

// Found with the standard scenarios: each message of a call may get a retry-after of its own, and the longest
// applies.
TEST(RetryAfter, LongestWaitOfACallApplies) {
    SenderHarness harness;
    harness.list_endpoint(0, 1, 2);
    for (MessageId id = 1; id <= 3; ++id) harness.arrive(id, 1);
    const auto out = harness.decide_sends();
    ASSERT_EQ(out.size(), 3u);
    harness.report_outcome(out[0], Outcome::TurnedAway, 0, ms(300));
    harness.report_outcome(out[1], Outcome::TurnedAway, 0, ms(600));
    harness.report_outcome(out[2], Outcome::TurnedAway, 0, ms(400));
    EXPECT_TRUE(harness.advance(ms(590)).empty());
    EXPECT_FALSE(harness.advance(ms(200)).empty());
}

TEST(OrderingKey, OneAtATimeInArrivalOrder) {
    SenderHarness harness;
    harness.list_endpoint(0, 1);
    harness.arrive(1, 1, kSequential, 42);
    harness.arrive(2, 1, kSequential, 42);
    harness.arrive(3, 1, kSequential, 43);
    const auto out = harness.decide_sends();
    ASSERT_EQ(out.size(), 2u);
    EXPECT_EQ(out[0].message, 1u);
    EXPECT_EQ(out[1].message, 3u);
    harness.report_outcome(out[0], Outcome::Served);
    EXPECT_EQ(harness.decide_sent_ids(), Ids{2});
}

TEST(OrderingKey, PausesAfterAnAttemptThatMayStillRun) {
    SenderHarness harness;
    harness.list_endpoint(0, 1);
    harness.arrive(1, 1, kSequential, 42, ms(1000));
    harness.arrive(2, 1, kSequential, 42);
    const auto out = harness.decide_sends();
    ASSERT_EQ(out.size(), 1u);
    harness.now += ms(1000);
    EXPECT_TRUE(
        harness.decide_sends().empty());  // the first message has ended, but its attempt has no outcome yet
    harness.report_outcome(out[0], Outcome::NoAnswer);
    EXPECT_TRUE(harness.advance(ms(290)).empty());
    EXPECT_EQ(harness.advance(ms(3000)).size(), 1u);
}

// After an outage the calls in any window stay within fall_multiple x present capacity x window x this
// sender's part.
TEST(RecoveryBudget, SendsStayWithinTheBudget) {
    Settings settings = make_settings();
    settings.listed_rates = true;
    settings.n_instances = 2;
    SenderHarness harness(settings);
    harness.list_endpoint(0, 1, 0, 20.0);
    MessageId next = 1;
    for (int i = 0; i < 60; ++i) harness.arrive(next++, 1);
    std::vector<Time> sent;
    std::map<MessageId, std::uint32_t> attempts;
    const Time back = harness.now + ms(5000);
    while (harness.now < back + ms(8000)) {
        harness.now += ms(10);
        for (const Send& send : harness.decide_sends()) {
            if (harness.now >= back) sent.push_back(harness.now);
            harness.report_outcome(send, harness.now < back ? Outcome::ConnectionLost : Outcome::Served,
                attempts[send.message]++, Time(0), ms(10));
            harness.arrive(next++, 1);
        }
    }
    ASSERT_GT(sent.size(), 5u);
    for (std::size_t i = 0; i < sent.size(); ++i) {
        const auto in_window = std::count_if(
            sent.begin(), sent.end(), [&](Time at) { return at >= sent[i] && at < sent[i] + settings.fall; });
        const double warm =
            std::min(1.0, 0.2 + 0.8 * static_cast<double>((sent[i] - back + ms(2000)).count()) / 1e7);
        EXPECT_LE(static_cast<double>(in_window), 2.0 * warm * 20.0 * 2.0 / 2.0 + 1.0);
    }
}

// ---- health and overload ----

TEST(Health, SilenceIsDetectedBeforeAnyTimeout) {
    SenderHarness harness;
    harness.list_endpoint(0, 1);
    harness.arrive(1, 1);
    auto out = harness.decide_sends();
    harness.now += ms(100);
    harness.report_outcome(out[0], Outcome::Served);
    harness.arrive(2, 1);
    EXPECT_EQ(harness.decide_sends().size(), 1u);
    harness.advance(ms(800));  // eight typical latencies without an answer
    harness.arrive(3, 1, kFragile);
    EXPECT_TRUE(harness.decide_sends().empty());
}

// Incident i02431b: the messages of a destination that is down must not use up the capacity for the others.
TEST(Overload, ShedsMessagesOfTheDestinationThatIsDown) {
    Settings settings = make_settings();
    settings.most_held = 20;
    SenderHarness harness(settings);
    harness.list_endpoint(0, 1);
    harness.list_endpoint(1, 2);
    MessageId next = 1;
    for (int i = 0; i < 3; ++i) {
        harness.arrive(next++, 1);
        for (const Send& send : harness.decide_sends()) harness.report_outcome(send, Outcome::NoConnection);
        harness.now += ms(100);
        harness.decide();
    }
    for (int i = 0; i < 12; ++i) harness.arrive(next++, 1);
    harness.decide();
    harness.now += ms(3000);
    std::vector<MessageId> refused;
    for (MessageId id = 100; id < 112; ++id) {
        harness.arrive(id, 2);
        for (const Refuse& refuse : actions_of<Refuse>(harness.decide())) refused.push_back(refuse.message);
    }
    EXPECT_FALSE(refused.empty());
    for (const MessageId id : refused) EXPECT_LT(id, 100u);
}

// Incident ife484d: a call that is only slow is left alone while nothing better can be done.
TEST(Timeout, SlowCallIsNotCancelledWithoutReason) {
    SenderHarness harness;
    harness.list_endpoint(0, 1);
    harness.arrive(1, 1);
    const auto out = harness.decide_sends();
    ASSERT_EQ(out.size(), 1u);
    EXPECT_EQ(out[0].time_out, ms(20000));
    for (int i = 0; i < 100; ++i, harness.now += ms(100))
        EXPECT_TRUE(actions_of<CancelAttempt>(harness.decide()).empty());
}

// Incident i94fd2c: while the backlog outlasts an aim, messages that lose value by waiting are sent before
// those that keep it.
TEST(Overload, PicksByValueOnlyWhileTheBacklogOutlastsAnAim) {
    for (const bool backlog : {false, true}) {
        Settings settings = make_settings();
        settings.slots = 2;
        settings.loses_worth = LateWorth::Halving;
        settings.classes[kDedup].late_worth = 1.0;  // keeps its full value
        SenderHarness harness(settings);
        harness.list_endpoint(0, 1);
        for (MessageId id = 1; id <= 3; ++id) {  // served at two per second
            harness.arrive(id, 1);
            const auto out = harness.decide_sends();
            ASSERT_EQ(out.size(), 1u);
            harness.now += ms(500);
            harness.report_outcome(out[0], Outcome::Served, 0, Time(0), ms(500));
        }
        for (MessageId id = 4; id < (backlog ? 12u : 5u); ++id) harness.arrive(id, 1, kDedup);
        harness.arrive(50, 1, kRetryable);
        EXPECT_EQ(harness.decide_sent_ids(), (Ids{backlog ? MessageId{50} : MessageId{4}}));
    }
}

// The number of calls cancelled when one call to each destination gets no answer for six seconds.
std::size_t cancelled_when_silent(std::size_t destinations, std::size_t message_class) {
    SenderHarness harness;  // 8 slots
    for (EndpointId id = 0; id < destinations; ++id) {
        harness.list_endpoint(id, id);
        harness.arrive(id + 1, id, message_class);
    }
    EXPECT_EQ(harness.decide_sends().size(), destinations);
    std::size_t cancelled = 0;
    for (int i = 0; i < 60; ++i, harness.now += ms(100))
        cancelled += actions_of<CancelAttempt>(harness.decide()).size();
    return cancelled;
}

// Incident i0760ea: unanswered calls must not hold on to the half of the slots that unhealthy destinations
// may use.
TEST(Timeout, StuckCallsAreCancelledWhenUnhealthyDestinationsHoldHalfTheSlots) {
    EXPECT_EQ(cancelled_when_silent(4, kRetryable), 4u);
}

// Incident ib08f9d: after an outage of all destinations, calls that may not be repeated must not hold the
// slots until their deadlines.
TEST(Timeout, StuckFragileCallsAreCancelledWhenSlotsAreScarce) {
    EXPECT_EQ(cancelled_when_silent(7, kFragile), 7u);
}

// Incident ib08f9d: stuck calls take the half of the slots that unhealthy destinations may use; another
// unhealthy destination still gets a trial.
TEST(SlotCap, UnhealthyDestinationWithoutCallsGetsATrial) {
    SenderHarness harness;  // 8 slots
    for (EndpointId id = 0; id < 5; ++id) harness.list_endpoint(id, id);
    for (MessageId id = 1; id <= 4; ++id) harness.arrive(id, static_cast<DestinationId>(id - 1), kFragile);
    harness.arrive(5, 4);
    const auto out = harness.decide_sends();
    ASSERT_EQ(out.size(), 5u);
    harness.advance(ms(3500));
    harness.report_outcome(out[4], Outcome::ConnectionLost);
    EXPECT_EQ(harness.advance(ms(2500)).size(), 1u);
}

// Found in the scenario wide+reset+stale: one lost connection and one refused connect may be the network's
// fault, and a false outage costs a slow start. If a second connect is refused without an answer in between,
// the process has died.
TEST(Health, OneLostConnectionAndOneRefusedConnectAreNoOutage) {
    for (const int refused : {1, 2}) {
        SenderHarness harness;
        harness.list_endpoint(0, 1);
        harness.arrive(1, 1, kFragile);
        const auto first = harness.decide_sends();
        ASSERT_EQ(first.size(), 1u);
        harness.report_outcome(first[0], Outcome::ConnectionLost);
        harness.arrive(2, 1, kFragile);
        for (int i = 0; i < refused; ++i) {
            const auto next = harness.advance(ms(300));
            ASSERT_EQ(next.size(), 1u);
            harness.report_outcome(next[0].second, Outcome::NoConnection, static_cast<std::uint32_t>(i));
        }
        // fragile messages are not sent to unhealthy endpoints
        EXPECT_EQ(harness.advance(ms(300)).size(), refused == 1 ? 1u : 0u) << refused;
    }
}

/// Plays one destination whose only messages are fragile, one each 100 ms, and answers its calls by `outcome`
/// at once. Returns the times of the calls.
std::vector<Time> play_fragile_only(Time span, const std::function<Outcome(Time)>& outcome) {
    SenderHarness harness;
    harness.list_endpoint(0, 1);
    std::vector<Time> calls;
    std::map<MessageId, std::uint32_t> attempts;
    const Time begun = harness.now;
    MessageId next = 1;
    for (int step = 0; harness.now - begun < span; harness.now += ms(10), ++step) {
        if (step % 10 == 0) harness.arrive(next++, 1, kFragile);
        for (const Send& send : harness.decide_sends()) {
            calls.push_back(harness.now - begun);
            harness.report_outcome(
                send, outcome(harness.now - begun), attempts[send.message]++, Time(0), ms(10));
        }
    }
    return calls;
}

// Review, case 7: behind one failed call an endpoint got no fragile message any more, and where no other
// class goes to it, no call at all, for good.
TEST(Health, OneFailedCallDoesNotEndFragileMessages) {
    const auto calls = play_fragile_only(ms(10'000),
        [count = 0](Time) mutable { return ++count == 20 ? Outcome::ServerError : Outcome::Served; });
    EXPECT_GE(calls.size(), 90u);
}

// The same behind an outage. While it lasts a fragile message is lost with each trial: there are few of them.
TEST(Health, AnOutageDoesNotEndFragileMessages) {
    constexpr Time kFrom = ms(2000), kUntil = ms(11'000);
    for (const Outcome failure : {Outcome::ServerError, Outcome::NoConnection, Outcome::ConnectionLost}) {
        const auto calls = play_fragile_only(
            ms(40'000), [&](Time now) { return now >= kFrom && now < kUntil ? failure : Outcome::Served; });
        const auto between = [&](Time from, Time until) {
            return std::count_if(
                calls.begin(), calls.end(), [&](Time call) { return call >= from && call < until; });
        };
        EXPECT_LE(between(kFrom + ms(2000), kUntil), 3) << static_cast<int>(failure);
        EXPECT_GE(between(kUntil + ms(5000), ms(40'000)), 100) << static_cast<int>(failure);
    }
}

// A held fragile message is woken for its trial, though nothing else happens.
TEST(Health, AFragileMessageIsWokenForItsTrial) {
    SenderHarness harness;
    harness.list_endpoint(0, 1);
    Time timer = harness.now;  // of the module
    const auto decide = [&] {
        const auto actions = harness.decide();
        for (const SetTimer& set : actions_of<SetTimer>(actions)) timer = harness.now + set.delay;
        return actions_of<Send>(actions);
    };
    for (MessageId id = 1; id <= 3; ++id) {  // it is well but for the last call
        harness.arrive(id, 1, kFragile);
        const auto sent = decide();
        ASSERT_EQ(sent.size(), 1u);
        harness.now += ms(10);
        harness.report_outcome(sent[0], id < 3 ? Outcome::Served : Outcome::ServerError);
    }
    harness.arrive(4, 1, kFragile);
    const Time failed_at = harness.now;
    std::vector<Send> trial = decide();
    for (int turn = 0; trial.empty() && turn < 20; ++turn) {  // it decides at its own timers alone
        harness.now = timer;
        trial = decide();
    }
    EXPECT_EQ(trial.size(), 1u);
    EXPECT_LE(harness.now - failed_at, ms(500));
}

// Incident i94fd2c: refusals of calls that were sent together count as one refusal, not as an outage.
TEST(Health, RefusalsOfConcurrentCallsCountOnce) {
    SenderHarness harness;
    harness.list_endpoint(0, 1);
    for (MessageId id = 1; id <= 4; ++id) harness.arrive(id, 1, kFragile);
    const auto out = harness.decide_sends();
    ASSERT_EQ(out.size(), 4u);
    harness.now += ms(50);
    for (const Send& send : out) harness.report_outcome(send, Outcome::TurnedAway);
    EXPECT_GE(
        harness.advance(ms(1500)).size(), 2u);  // healthy: fragile messages are sent, at the reduced rate
}

TEST(List, WatchIsRetriedAfterAFailure) {
    Settings settings = make_settings();
    settings.must_subscribe = true;
    SenderHarness harness(settings);
    EXPECT_EQ(actions_of<Watch>(harness.decide()).size(), 1u);
    EXPECT_TRUE(actions_of<Watch>(harness.decide()).empty());
    harness.sender.observe(ListEvent{ListKind::Failed, {}}, harness.now);
    EXPECT_TRUE(actions_of<Watch>(harness.decide()).empty());
    harness.now += ms(600);
    EXPECT_EQ(actions_of<Watch>(harness.decide()).size(), 1u);
}

TEST(Batches, CallWithSeveralMessagesTakesOneSlot) {
    Settings settings = make_settings();
    settings.slots = 2;
    SenderHarness harness(settings);
    harness.list_endpoint(0, 1, 2);
    for (MessageId id = 1; id <= 6; ++id) harness.arrive(id, 1);
    EXPECT_EQ(harness.decide_sent_ids(), (Ids{1, 2, 3, 4}));
}

TEST(Interface, InvalidSettingsThrowWithTheNameOfTheSetting) {
    Settings settings = make_settings();
    settings.slots = 0;
    try {
        Sender sender(settings, 1);
        FAIL();
    } catch (const std::invalid_argument& error) {
        EXPECT_NE(std::string(error.what()).find("slots"), std::string::npos);
    }
    settings = make_settings();
    settings.warm_within = ms(-1);
    EXPECT_THROW(Sender(settings, 1), std::invalid_argument);
    SenderHarness harness;
    EXPECT_THROW(harness.arrive(1, 1, 99), std::invalid_argument);
}

// A list event with one invalid entry changes nothing: valid entries before it are not applied either.
TEST(Interface, InvalidListEventChangesNothing) {
    SenderHarness harness;
    ListEvent event;
    event.kind = ListKind::Full;
    event.entries = {{0, 1, 0, 0, 0.0, Condition::Ready}, {1, 1, 0, 99, 0.0, Condition::Ready}};
    EXPECT_THROW(harness.sender.observe(event, harness.now), std::invalid_argument);
    event.entries = {{0, 1, 0, 0, 0.0, Condition::Ready}, {1, 1, 9, 0, 0.0, Condition::Ready}};
    EXPECT_THROW(harness.sender.observe(event, harness.now), std::invalid_argument);
    harness.arrive(1, 1);
    EXPECT_TRUE(harness.decide_sends().empty());
}

TEST(Interface, UnknownMessagesAreIgnored) {
    SenderHarness harness;
    harness.sender.observe(AbandonedEvent{77}, harness.now);
    harness.report_outcome(Send{77, 0, Time(0)}, Outcome::Served);
    EXPECT_TRUE(actions_of<Send>(harness.decide()).empty());
}

// ---- endpoints that are no longer listed ----

// An endpoint that is no longer listed may still be referred to by an attempt or by a doubtful message.
TEST(Forget, EndpointIsForgottenOnceNothingRefersToIt) {
    SenderHarness harness;
    harness.list_endpoint(0, 1);
    harness.arrive(1, 1, kDedup);
    const auto out = harness.decide_sends();
    ASSERT_EQ(out.size(), 1u);
    const auto forgotten = [&harness](Time span) {
        std::vector<EndpointId> found;
        for (const Time end = harness.now + span; harness.now < end;) {
            harness.now += ms(100);
            for (const Forget& forget : actions_of<Forget>(harness.decide()))
                found.push_back(forget.endpoint);
        }
        return found;
    };
    harness.list_endpoint(0, 1, 0, 0.0, Condition::Gone);
    EXPECT_TRUE(forgotten(ms(2000)).empty());
    harness.report_outcome(out[0], Outcome::ConnectionLost);
    EXPECT_TRUE(forgotten(ms(2000)).empty());  // a repeat may have to go where the first attempt went
    EXPECT_EQ(forgotten(ms(10000)), std::vector<EndpointId>{0});
}

std::size_t sends_with_unreadable_answers(int every) {
    SenderHarness harness;
    harness.list_endpoint(0, 1);
    for (MessageId id = 1; id <= 30; ++id) harness.arrive(id, 1);
    std::map<MessageId, std::uint32_t> attempts;
    std::size_t count = 0;
    for (const Time end = harness.now + ms(3000); harness.now < end; harness.now += ms(10))
        for (const Send& send : harness.decide_sends())
            harness.report_outcome(send, ++count % every == 0 ? Outcome::Unreadable : Outcome::Served,
                attempts[send.message]++, Time(0), ms(10));
    return count;
}
// An endpoint that sends an unreadable answer does accept calls: only if hardly any other answer comes, it is
// an outage.
TEST(Health, OccasionalUnreadableAnswersAreNoOutage) {
    EXPECT_GT(sends_with_unreadable_answers(4), 30u);
    EXPECT_LT(sends_with_unreadable_answers(1), 30u);
}

// Slots are shared by the time that calls hold them: two slow destinations with long backlogs must not keep
// the many quick calls to the others waiting, as they would if each destination got the same number of calls.
TEST(Scheduler, SlowDestinationsDoNotHoldTheSlotsOfQuickOnes) {
    Settings settings = make_settings();
    settings.most_held = 1000;
    settings.tenants.clear();
    SenderHarness harness(settings);
    const auto is_slow = [](DestinationId id) { return id <= 2; };
    for (EndpointId id = 1; id <= 6; ++id) harness.list_endpoint(id, static_cast<DestinationId>(id));
    for (MessageId id = 0; id < 600; ++id) harness.arrive(id, static_cast<DestinationId>(id % 6 + 1));
    std::multimap<Time, Send> out;
    std::map<bool, int> served;
    for (const Time end = harness.now + ms(4000); harness.now < end; harness.now += ms(5)) {
        for (; !out.empty() && out.begin()->first <= harness.now; out.erase(out.begin())) {
            const bool slow = is_slow(out.begin()->second.endpoint);
            harness.report_outcome(out.begin()->second, Outcome::Served, 0, Time(0), ms(slow ? 800 : 40));
            ++served[slow];
        }
        for (const Send& send : harness.decide_sends())
            out.emplace(harness.now + ms(is_slow(send.endpoint) ? 800 : 40), send);
    }
    EXPECT_GE(served[false], 300) << "of 400; with equal numbers of calls about 60";
    EXPECT_GE(served[true], 4) << "slow destinations must get calls too";
}

// An endpoint that moves takes its calls in flight along: the destination that it left does not stay busy for
// ever.
TEST(List, EndpointThatMovesTakesItsCallsAlong) {
    SenderHarness harness;
    harness.list_endpoint(1, 1);
    for (MessageId id = 1; id <= 5; ++id) harness.arrive(id, 1);
    const auto out = harness.advance(ms(2000));
    ASSERT_GE(out.size(), 5u);
    harness.list_endpoint(1, 2), harness.list_endpoint(2, 1);
    harness.decide();
    for (const auto& [at, send] : out) harness.report_outcome(send, Outcome::Served);
    for (MessageId id = 11; id <= 14; ++id) harness.arrive(id, 1);
    EXPECT_EQ(harness.advance(ms(2000)).size(), 4u);
}

}  // namespace
}  // namespace cometspoke::testing
