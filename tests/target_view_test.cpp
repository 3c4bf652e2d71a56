// Tests of the view: each rule of docs/membership.md, and random histories compared with a simple model.
#include "discovery/target_view.hpp"

#include <gtest/gtest.h>

#include <random>

#include "config/address.hpp"

namespace lockgw {
namespace {

using cometspoke::Condition;
using SendCheck = TargetView::SendCheck;
using namespace std::chrono_literals;

Target target(const std::string& id, int port = 80, Condition condition = Condition::Ready,
    std::int64_t destination = 7) {
    Target target;
    target.id = id;
    if (condition == Condition::Ready) target.address = tcp_endpoint("127.0.0.1:" + std::to_string(port), "");
    target.destination = destination;
    target.condition = condition;
    return target;
}
Target draining(const std::string& id) { return target(id, 0, Condition::Draining); }
Target gone(const std::string& id) { return target(id, 0, Condition::Gone); }

class TargetViewTest : public ::testing::Test {
protected:
    TargetView::ListRequest next_request() {
        return {view.agent_epoch(), view.poll_from_revision(), now += 1ms};
    }
    TargetView::Update answer(const TargetView::ListRequest& request, std::int64_t revision, bool complete,
        std::vector<Target> targets, std::vector<InvalidEntry> invalid = {}) {
        return view.apply_answer(
            request, {revision, complete, std::move(targets), std::move(invalid)}, now += 1ms);
    }
    TargetView::Update full_list(std::int64_t revision, std::vector<Target> targets) {
        return answer(next_request(), revision, true, std::move(targets));
    }
    TargetView::Update changes(std::int64_t revision, std::vector<Target> targets) {
        return answer(next_request(), revision, false, std::move(targets));
    }
    /// Applies a full list in batches. Returns the combined result.
    TargetView::Update in_batches(
        const TargetView::ListRequest& request, TargetList list, std::mt19937_64& random) {
        sort_stops_first(list);
        TargetView::Update all = view.begin_batches(request, std::move(list), now);
        while (view.batches_pending()) {
            const TargetView::Update batch = view.apply_batch(1 + random() % 3);
            EXPECT_FALSE(batch.list.complete);
            EXPECT_EQ(batch.more_follows, view.batches_pending());
            all.changed |= batch.changed;
            all.list.targets.insert(
                all.list.targets.end(), batch.list.targets.begin(), batch.list.targets.end());
        }
        return all;
    }
    SendCheck check(const std::string& id, int port = 80, std::int64_t destination = 7) {
        return view.check_send(id, tcp_endpoint("127.0.0.1:" + std::to_string(port), ""), destination);
    }

    TargetView view{{"a"}, {"shop"}};
    TargetView::Time now{1000s};
};

// Revision 0 is a valid revision. When 100 forwarders treated it as none and requested the full list, the
// agent was overloaded.
TEST_F(TargetViewTest, AcceptsAKnownListAtRevisionZeroAsBase) {
    view.apply_known_list({0, true, {target("s-1", 81)}}, now, true);
    EXPECT_EQ(view.poll_from_revision(), 0);
    EXPECT_EQ(view.list_json()["revision"], 0);
    EXPECT_EQ(view.list_json()["complete"], true);
    view.switch_agent();
    EXPECT_EQ(view.list_json()["complete"], false)
        << "the revision of a previous agent must not become the base of another process";
    TargetView next({"a"}, {"shop"});
    next.apply_known_list(parse_target_list(view.list_json()), now, true);
    EXPECT_EQ(next.poll_from_revision(), std::nullopt);
    EXPECT_EQ(next.size(), 1u);
}

// With many forwarders only the changes since the revision of the known list are requested.
TEST_F(TargetViewTest, RequestsChangesFromAnAmendableKnownList) {
    view.apply_known_list({41, true, {target("s-1", 81), target("s-2", 82)}}, now, true);
    EXPECT_EQ(view.poll_from_revision(), 41);
    EXPECT_FALSE(view.has_full_list());
    EXPECT_TRUE(changes(43, {draining("s-1")}).accepted);
    EXPECT_TRUE(view.has_full_list());
    EXPECT_EQ(view.check_send("s-1", target("s-1", 81).address, 7), SendCheck::Draining);
    EXPECT_EQ(view.check_send("s-2", target("s-2", 82).address, 7), SendCheck::Allowed);
    EXPECT_EQ(view.poll_from_revision(), 43);
}
TEST_F(TargetViewTest, RequestsTheFullListIfTheAgentIsBehindTheKnownList) {
    view.apply_known_list({41, true, {target("s-1", 81)}}, now, true);
    EXPECT_FALSE(changes(5, {target("s-2", 82)}).accepted);
    EXPECT_EQ(view.poll_from_revision(), std::nullopt);
}
TEST_F(TargetViewTest, RequestsTheFullListIfTheKnownListIsEmptyOrIncomplete) {
    view.apply_known_list({41, true, {}}, now, true);
    EXPECT_EQ(view.poll_from_revision(), std::nullopt);
    view.apply_known_list({41, false, {target("s-1", 81)}}, now, true);
    EXPECT_EQ(view.poll_from_revision(), std::nullopt);
}

TEST_F(TargetViewTest, AllowsCallsToListedTargetsOnly) {
    full_list(5, {target("s", 80), target("t", 81)});
    EXPECT_EQ(check("s"), SendCheck::Allowed);
    EXPECT_EQ(check("s", 81), SendCheck::Moved);
    EXPECT_EQ(check("s", 80, 8), SendCheck::OtherDestination);
    EXPECT_EQ(check("u"), SendCheck::Gone);
    changes(6, {draining("s")});
    EXPECT_EQ(check("s"), SendCheck::Draining);
    changes(7, {gone("s")});
    EXPECT_EQ(check("s"), SendCheck::Gone);
    full_list(8, {});
    EXPECT_EQ(check("t", 81), SendCheck::Gone);
}

TEST_F(TargetViewTest, KnownListIsInForceUntilTheFirstFullList) {
    EXPECT_TRUE(view.apply_known_list({1, true, {target("s")}}, now).changed);
    EXPECT_EQ(check("s"), SendCheck::Allowed);
    EXPECT_FALSE(view.has_full_list());
    full_list(5, {target("t", 81)});
    EXPECT_EQ(check("s"), SendCheck::Gone);
    EXPECT_FALSE(view.apply_known_list({9, true, {target("s")}}, now).changed);
    EXPECT_EQ(check("s"), SendCheck::Gone);
}

TEST_F(TargetViewTest, AcceptsTheFullListOfAnAgentThatResetItsRevisions) {
    full_list(50, {target("s"), target("t", 81)});
    const auto update = full_list(2, {target("t", 81)});
    EXPECT_TRUE(update.accepted);
    ASSERT_FALSE(update.warnings.empty());
    EXPECT_EQ(view.poll_from_revision(), 2);
    EXPECT_EQ(check("s"), SendCheck::Gone);
    changes(3, {draining("t")});
    EXPECT_EQ(check("t", 81), SendCheck::Draining);
}

// With two requests in flight the older answer may come last. It must not bring back a target that has gone.
TEST_F(TargetViewTest, RejectsALateFullListButAppliesItsDrains) {
    full_list(5, {target("s"), target("t", 81)});
    const auto slow = next_request();
    changes(6, {gone("s")});
    const auto late = answer(slow, 5, true, {target("s"), draining("t")});
    EXPECT_FALSE(late.accepted);
    EXPECT_EQ(check("s"), SendCheck::Gone);
    EXPECT_EQ(check("t", 81), SendCheck::Draining);
    EXPECT_FALSE(view.poll_from_revision()) << "the full list is needed";
    full_list(6, {target("t", 81)});
    EXPECT_EQ(check("t", 81), SendCheck::Allowed);
}

TEST_F(TargetViewTest, IgnoresLateChangesThatAreAlreadyApplied) {
    full_list(5, {target("s")});
    const auto slow = next_request();
    changes(7, {draining("s")});
    EXPECT_TRUE(answer(slow, 6, false, {target("s")}).accepted);
    EXPECT_EQ(check("s"), SendCheck::Draining);
    EXPECT_EQ(view.poll_from_revision(), 7);
    const auto other = TargetView::ListRequest{view.agent_epoch(), 5, now};
    EXPECT_TRUE(answer(other, 8, false, {gone("s")}).accepted)
        << "it contains all changes since an older revision";
    EXPECT_EQ(check("s"), SendCheck::Gone);
    EXPECT_EQ(view.poll_from_revision(), 8);
}

TEST_F(TargetViewTest, RequestsTheFullListAfterInconsistentChanges) {
    const auto nothing = answer(next_request(), 5, false, {target("s")});
    EXPECT_FALSE(nothing.accepted);
    EXPECT_EQ(check("s"), SendCheck::Gone);
    full_list(5, {target("s")});
    EXPECT_FALSE(changes(3, {draining("s")}).accepted) << "below the requested revision";
    EXPECT_EQ(check("s"), SendCheck::Draining) << "its drain is applied nevertheless";
    EXPECT_FALSE(view.poll_from_revision());
    full_list(3, {target("s")});
    EXPECT_FALSE(answer({view.agent_epoch(), 9, now}, 10, false, {}).accepted)
        << "from a revision that is not known";
    EXPECT_FALSE(view.poll_from_revision());
}

// A drain counts from the moment when its bytes were sent to the forwarder, even if the rest of the answer
// never comes.
TEST_F(TargetViewTest, AppliesTheStopsOfACutOffAnswer) {
    full_list(5, {target("s"), target("t", 81)});
    const auto partial = next_request();
    const auto update = view.apply_partial_answer(
        partial, {0, false, {draining("s"), gone("t"), target("new", 82)}}, now += 1ms);
    EXPECT_TRUE(update.changed);
    EXPECT_EQ(check("s"), SendCheck::Draining);
    EXPECT_EQ(check("t", 81), SendCheck::Draining);
    EXPECT_EQ(check("new", 82), SendCheck::Gone) << "a partial answer adds no target";
    EXPECT_EQ(view.poll_from_revision(), 5) << "the same changes are requested again";
    changes(6, {draining("s")});
    EXPECT_EQ(check("s"), SendCheck::Draining);
    EXPECT_EQ(check("t", 81), SendCheck::Allowed)
        << "the answer to a later request does not contain the stop";
}

TEST_F(TargetViewTest, StopOutlastsAnAnswerRequestedEarlier) {
    full_list(5, {target("s")});
    const auto earlier = next_request(), partial = next_request();
    view.apply_partial_answer(partial, {0, false, {draining("s")}}, now += 1ms);
    EXPECT_TRUE(answer(earlier, 5, false, {}).accepted);
    EXPECT_EQ(check("s"), SendCheck::Draining);
    EXPECT_TRUE(changes(5, {}).accepted);
    EXPECT_EQ(check("s"), SendCheck::Allowed);
}

// Two answers in flight: the one that was created first lists a target that the other one, which arrived
// before it and was cut off, has already stopped. Calls went to that target until the next whole answer.
TEST_F(TargetViewTest, AStopThatWasReadBeforeTheTargetWasListedTakesEffect) {
    full_list(5, {target("s")});
    const auto earlier = next_request(), partial = next_request();
    EXPECT_FALSE(view.apply_partial_answer(partial, {0, false, {gone("new")}}, now += 1ms).changed);
    EXPECT_TRUE(answer(earlier, 6, false, {target("new", 81)}).accepted);
    EXPECT_EQ(check("new", 81), SendCheck::Draining);
    EXPECT_TRUE(changes(8, {target("new", 81)}).accepted) << "requested later: the target is back";
    EXPECT_EQ(check("new", 81), SendCheck::Allowed);
}

// As above, for a target that was listed as Draining, was about to come back, and drains again.
TEST_F(TargetViewTest, AStopThatWasReadWhileTheTargetWasDrainingTakesEffectAfterItsReturn) {
    full_list(5, {draining("s")});
    const auto earlier = next_request(), partial = next_request();
    view.apply_partial_answer(partial, {0, false, {draining("s")}}, now += 1ms);
    EXPECT_TRUE(answer(earlier, 6, false, {target("s")}).accepted);
    EXPECT_EQ(check("s"), SendCheck::Draining);
    EXPECT_TRUE(changes(8, {target("s")}).accepted);
    EXPECT_EQ(check("s"), SendCheck::Allowed);
}

// As above, for a target that a full list requested earlier removes in between.
TEST_F(TargetViewTest, AStopOutlastsTheRemovalOfItsTarget) {
    full_list(5, {target("s"), target("t", 81)});
    const auto first = next_request(), second = next_request(), partial = next_request();
    view.apply_partial_answer(partial, {0, false, {gone("s")}}, now += 1ms);
    EXPECT_TRUE(answer(first, 6, true, {target("t", 81)}).accepted);
    answer(second, 7, false, {target("s")});
    EXPECT_NE(check("s"), SendCheck::Allowed);
}

TEST_F(TargetViewTest, RemembersABoundedNumberOfStopsOfUnlistedTargets) {
    full_list(5, {target("s")});
    const auto request = next_request();
    TargetList stops{0, false, {}, {}};
    for (std::size_t i = 0; i <= TargetView::kMaxUnlistedStops + 1; ++i)
        stops.targets.push_back(gone("unlisted-" + std::to_string(i)));
    const auto update = view.apply_partial_answer(request, stops, now += 1ms);
    EXPECT_EQ(update.warnings.size(), 1u);
    EXPECT_TRUE(view.apply_partial_answer(request, {0, false, {draining("s")}}, now += 1ms).changed)
        << "the stop of a listed target always has room";
    EXPECT_EQ(check("s"), SendCheck::Draining);
}

TEST_F(TargetViewTest, SuspendsAKnownTargetWithAnInvalidEntry) {
    full_list(5, {target("s"), target("t", 81)});
    const auto update = answer(next_request(), 6, false, {},
        {{"s", std::nullopt, "no phase"}, {"t", Condition::Gone, "x"}, {"u", Condition::Ready, "y"},
            {std::nullopt, {}, "z"}});
    EXPECT_TRUE(update.accepted);
    EXPECT_EQ(check("s"), SendCheck::Draining);
    EXPECT_EQ(check("t", 81), SendCheck::Gone);
    EXPECT_EQ(check("u"), SendCheck::Gone);
    EXPECT_FALSE(view.poll_from_revision());
    answer(next_request(), 6, true, {}, {{"s", std::nullopt, "no phase"}});
    EXPECT_EQ(check("s"), SendCheck::Draining) << "its entry is still invalid";
    EXPECT_EQ(view.poll_from_revision(), 6) << "repeated full lists would not help";
    changes(7, {target("s")});
    EXPECT_EQ(check("s"), SendCheck::Allowed);
}

TEST_F(TargetViewTest, AppliesTheDrainOfATargetOfUnknownKind) {
    full_list(5, {target("s")});
    Target unknown_kind = draining("s");
    unknown_kind.kind = "spaceship";
    changes(6, {unknown_kind});
    EXPECT_EQ(check("s"), SendCheck::Draining);
    Target unknown_zone = target("t", 81);
    unknown_zone.zone = "mars";
    const auto update = changes(7, {unknown_zone});
    EXPECT_EQ(check("t", 81), SendCheck::Gone);
    ASSERT_EQ(update.warnings.size(), 1u);
    EXPECT_NE(update.warnings[0].find("unknown zone mars"), std::string::npos);
}

TEST_F(TargetViewTest, StoppingEntryTakesEffectAmongDuplicates) {
    full_list(5, {draining("s"), target("s"), target("t", 81), gone("t")});
    EXPECT_EQ(check("s"), SendCheck::Draining);
    EXPECT_EQ(check("t", 81), SendCheck::Gone);
}

TEST_F(TargetViewTest, FollowsATargetToAnotherAddressOrDestination) {
    full_list(5, {target("s", 80)});
    changes(6, {target("s", 81)});
    EXPECT_EQ(check("s", 80), SendCheck::Moved);
    EXPECT_EQ(check("s", 81), SendCheck::Allowed);
    changes(7, {target("s", 81, Condition::Ready, 8)});
    EXPECT_EQ(check("s", 81), SendCheck::OtherDestination);
    EXPECT_EQ(check("s", 81, 8), SendCheck::Allowed);
}

// A target that went and came back between two polls: only its start time shows that it is another process.
TEST_F(TargetViewTest, ReportsThatATargetWasRestarted) {
    full_list(5, {target("s")});
    Target restarted = target("s");
    restarted.up_since_ms = 99;
    EXPECT_EQ(changes(6, {restarted}).restarted_ids, std::vector<std::string>{"s"});
    EXPECT_TRUE(changes(7, {restarted}).restarted_ids.empty());
}

// An address belongs to one process. The agent may list the new target there before the end of the previous
// one.
TEST_F(TargetViewTest, SuspendsThePreviousTargetAtAReassignedAddress) {
    full_list(5, {target("s", 80)});
    changes(6, {target("t", 80)});
    EXPECT_EQ(check("t", 80), SendCheck::Allowed);
    EXPECT_EQ(check("s", 80), SendCheck::Draining);
    EXPECT_FALSE(view.poll_from_revision()) << "the full list is needed";
    full_list(6, {target("s", 80), target("t", 80)});
    EXPECT_EQ(check("s", 80), SendCheck::Allowed) << "the same answer lists both";
}

TEST_F(TargetViewTest, FullListReassignsAnAddressWithoutWarning) {
    full_list(5, {target("s", 80)});
    EXPECT_TRUE(full_list(6, {target("t", 80)}).warnings.empty());
    EXPECT_EQ(check("s", 80), SendCheck::Gone);
    EXPECT_EQ(view.poll_from_revision(), 6) << "the full list is not needed again";
}

TEST_F(TargetViewTest, IgnoresAnswersOfAPreviousAgent) {
    full_list(5, {target("s")});
    const auto stale = next_request();
    view.switch_agent();
    EXPECT_FALSE(view.poll_from_revision());
    EXPECT_FALSE(answer(stale, 6, false, {gone("s")}).accepted);
    EXPECT_FALSE(view.apply_partial_answer(stale, {0, false, {draining("s")}}, now).changed);
    EXPECT_EQ(check("s"), SendCheck::Allowed) << "the last list stays in force";
    full_list(1, {target("t", 81)});
    EXPECT_EQ(check("s"), SendCheck::Gone);
}

/// Model of a correct agent. The test delivers its answers late, cut off, repeated or out of order.
struct Agent {
    std::map<std::string, Target> members;
    std::vector<std::pair<std::int64_t, std::string>> log;
    // Far apart, so that no revision from before a reset is valid after it (see docs/membership.md).
    std::int64_t revision = 1'000'000, oldest = 1'000'000;

    void change(std::mt19937_64& random) {
        const std::string id = "s" + std::to_string(random() % 8);
        ++revision;
        Target next = target(id, 100 + static_cast<int>(random() % 1000));
        switch (random() % 4) {
            case 0:
                next = draining(id);
                break;
            case 1:
                next = gone(id);
                break;
            default:
                break;
        }
        if (next.condition == Condition::Ready)
            for (const auto& [other, member] : members)
                if (member.condition == Condition::Ready && member.address == next.address && other != id)
                    return;
        members.insert_or_assign(id, next);
        log.emplace_back(revision, id);
    }
    TargetList answer(std::optional<std::int64_t> from) const {
        const bool all = !from || *from < oldest || *from > revision;
        TargetList list{revision, all, {}};
        for (const auto& [id, member] : members) {
            const bool changed = std::any_of(log.begin(), log.end(),
                [&](const auto& one) { return one.second == id && from && one.first > *from; });
            if (all ? member.condition != Condition::Gone : changed) list.targets.push_back(member);
        }
        return list;
    }
};

// Two requests in flight, answers late and cut off in any order, an agent that resets its revisions. Once any
// part of an answer with a stop was received, no call is allowed until an answer that was created later
// releases the target. After some undisturbed polls the view is equal to the agent's data.
TEST_F(TargetViewTest, AgreesWithAModelUnderRandomFaults) {
    const std::uint64_t seed = std::random_device{}();
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    for (int run = 0; run < 500; ++run) {
        view = TargetView{{"a"}, {"shop"}};
        Agent agent;
        struct InFlight {
            TargetView::ListRequest request;
            TargetList answer;
        };
        std::vector<InFlight> in_flight;
        std::map<std::string, TargetView::Time>
            stops_read;  // that no accepted answer requested later replaced
        for (int step = 0; step < 60; ++step) {
            now += 1ms;
            if (random() % 2) agent.change(random);
            if (random() % 40 == 0) {
                agent.revision = agent.oldest -= 1000;
                agent.log.clear();
            }
            if (in_flight.size() < 2) {
                const TargetView::ListRequest request{view.agent_epoch(), view.poll_from_revision(), now};
                in_flight.push_back({request, agent.answer(request.from_revision)});
            }
            if (random() % 3 == 0) continue;
            const std::size_t which = random() % in_flight.size();
            InFlight delivered = in_flight[which];
            in_flight.erase(in_flight.begin() + static_cast<long>(which));
            now += 1ms;
            if (random() % 3 == 0) {
                delivered.answer.targets.resize(random() % (delivered.answer.targets.size() + 1));
                view.apply_partial_answer(delivered.request, delivered.answer, now);
                for (const Target& entry : delivered.answer.targets)
                    if (entry.condition != Condition::Ready) {
                        ASSERT_NE(check(entry.id, entry.address.port()), SendCheck::Allowed)
                            << entry.id << " run " << run;
                        stops_read.insert_or_assign(entry.id, now);
                    }
                continue;
            }
            const auto update = delivered.answer.complete && random() % 2
                                    ? in_batches(delivered.request, delivered.answer, random)
                                    : view.apply_answer(delivered.request, delivered.answer, now);
            for (const Target& entry : delivered.answer.targets)
                if (update.accepted && update.changed && entry.condition != Condition::Ready) {
                    ASSERT_NE(check(entry.id, entry.address.port()), SendCheck::Allowed)
                        << entry.id << " run " << run;
                }
            if (update.accepted && update.changed)
                std::erase_if(
                    stops_read, [&](const auto& stop) { return stop.second <= delivered.request.sent_at; });
            for (const auto& [id, read_at] : stops_read) {
                const auto found = view.find(id);
                ASSERT_FALSE(found && found->condition == Condition::Ready) << id << " run " << run;
            }
        }
        // undisturbed: the answers in flight are lost, and three polls succeed
        for (int i = 0; i < 3; ++i) {
            const TargetView::ListRequest request = next_request();
            view.apply_answer(request, agent.answer(request.from_revision), now += 1ms);
        }
        std::size_t listed = 0;
        for (const auto& [id, member] : agent.members) {
            const auto found = check(id, member.address.port());
            const SendCheck expected = member.condition == Condition::Ready      ? SendCheck::Allowed
                                       : member.condition == Condition::Draining ? SendCheck::Draining
                                                                                 : SendCheck::Gone;
            ASSERT_EQ(found, expected) << id << " run " << run << " is " << text_of(found);
            listed += member.condition != Condition::Gone;
        }
        ASSERT_EQ(view.size(), listed);
    }
}

// Batches and a list applied at once lead to the same targets and conditions in the core.
TEST_F(TargetViewTest, BatchesYieldTheSameAsOneFullList) {
    const std::uint64_t seed = std::random_device{}();
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    using Core = std::map<std::string, std::string>;
    const auto apply = [](Core& core, const TargetView::Update& update) {
        if (update.list.complete) core.clear();
        for (const Target& target : update.list.targets) {
            if (target.condition == Condition::Gone)
                core.erase(target.id);
            else  // the address of a draining target does not matter
                core[target.id] =
                    std::to_string(static_cast<int>(target.condition)) + " " + target.zone + " " +
                    target.kind + " " + std::to_string(target.destination) +
                    (target.condition == Condition::Ready ? ":" + std::to_string(target.address.port()) : "");
        }
    };
    for (int run = 0; run < 400; ++run) {
        view = TargetView{{"a"}, {"shop"}};
        TargetView once{{"a"}, {"shop"}};
        Core by_batches, at_once;
        for (std::int64_t revision = 1; revision < 12; ++revision) {
            TargetList list{revision, random() % 3 != 0 || revision == 1, {}, {}};
            for (std::size_t n = random() % 12; n > 0; --n) {
                const std::string id = "s" + std::to_string(random() % 9);
                Target entry = target(id, 100 + static_cast<int>(random() % 6),
                    std::array{Condition::Ready, Condition::Ready, Condition::Draining,
                        Condition::Gone}[random() % 4],
                    static_cast<std::int64_t>(random() % 2));
                if (random() % 10 == 0) entry.kind = random() % 2 ? "shop" : "moon";
                list.targets.push_back(std::move(entry));
            }
            if (random() % 4 == 0)
                list.invalid.push_back({"s" + std::to_string(random() % 9), std::nullopt, "odd"});
            sort_stops_first(list);
            const TargetView::ListRequest request = next_request();
            apply(at_once, once.apply_answer(request, list, now));
            apply(by_batches,
                list.complete ? in_batches(request, list, random) : view.apply_answer(request, list, now));
            ASSERT_EQ(by_batches, at_once) << "run " << run << ", revision " << revision;
            ASSERT_EQ(view.poll_from_revision(), once.poll_from_revision());
            ASSERT_EQ(view.size(), once.size());
        }
    }
}

}  // namespace
}  // namespace lockgw
