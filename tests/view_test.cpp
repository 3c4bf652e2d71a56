// What is believed of the targets: each rule of docs/membership.md, and random histories against a plain
// model.
#include "membership/view.hpp"

#include <gtest/gtest.h>

#include <random>

#include "config/address.hpp"

namespace lockgw {
namespace {

using cometspoke::Condition;
using Gate = View::Gate;
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

class ViewTest : public ::testing::Test {
protected:
    View::Asked ask() { return {view.epoch(), view.ask_from(), now += 1ms}; }
    View::Update answer(const View::Asked& asked, std::int64_t revision, bool complete,
        std::vector<Target> targets, std::vector<BadEntry> bad = {}) {
        return view.answered(asked, {revision, complete, std::move(targets), std::move(bad)}, now += 1ms);
    }
    View::Update whole(std::int64_t revision, std::vector<Target> targets) {
        return answer(ask(), revision, true, std::move(targets));
    }
    View::Update changes(std::int64_t revision, std::vector<Target> targets) {
        return answer(ask(), revision, false, std::move(targets));
    }
    /// A whole list by parts; what it tells is put together.
    View::Update in_parts(const View::Asked& asked, TargetList list, std::mt19937_64& random) {
        stops_first(list);
        View::Update all = view.begin(asked, std::move(list), now);
        while (view.taking()) {
            const View::Update part = view.go_on(1 + random() % 3);
            EXPECT_FALSE(part.told.complete);
            EXPECT_EQ(part.more, view.taking());
            all.heeded |= part.heeded;
            all.told.targets.insert(
                all.told.targets.end(), part.told.targets.begin(), part.told.targets.end());
        }
        return all;
    }
    Gate gate(const std::string& id, int port = 80, std::int64_t destination = 7) {
        return view.gate(id, tcp_endpoint("127.0.0.1:" + std::to_string(port), ""), destination);
    }

    View view{{"a"}, {"shop"}};
    View::Time now{1000s};
};

// Revision 0 is one like others: where a hundred asked for the whole list because of it, an agent was
// overloaded.
TEST_F(ViewTest, AKnownListAtRevisionZeroIsAmendedToo) {
    view.known({0, true, {target("s-1", 81)}}, now, true);
    EXPECT_EQ(view.ask_from(), 0);
    EXPECT_EQ(view.list()["revision"], 0);
    EXPECT_EQ(view.list()["complete"], true);
    view.new_agent();
    EXPECT_EQ(view.list()["complete"], false)
        << "of an agent before: not to be amended by whoever takes over";
    View next({"a"}, {"shop"});
    next.known(list_of(view.list()), now, true);
    EXPECT_EQ(next.ask_from(), std::nullopt);
    EXPECT_EQ(next.size(), 1u);
}

// In a large fleet the list as last had is amended from its revision: it need not be told whole again.
TEST_F(ViewTest, AmendsTheKnownListFromItsRevisionWhereTold) {
    view.known({41, true, {target("s-1", 81), target("s-2", 82)}}, now, true);
    EXPECT_EQ(view.ask_from(), 41);
    EXPECT_FALSE(view.whole());
    EXPECT_TRUE(changes(43, {draining("s-1")}).taken);
    EXPECT_TRUE(view.whole());
    EXPECT_EQ(view.gate("s-1", target("s-1", 81).address, 7), Gate::Draining);
    EXPECT_EQ(view.gate("s-2", target("s-2", 82).address, 7), Gate::Open);
    EXPECT_EQ(view.ask_from(), 43);
}
TEST_F(ViewTest, AsksForTheWholeListWhereTheAgentIsBehindTheKnownOne) {
    view.known({41, true, {target("s-1", 81)}}, now, true);
    EXPECT_FALSE(changes(5, {target("s-2", 82)}).taken);
    EXPECT_EQ(view.ask_from(), std::nullopt);
}
TEST_F(ViewTest, DoesNotAmendAKnownListThatIsNoWholeOne) {
    view.known({41, true, {}}, now, true);
    EXPECT_EQ(view.ask_from(), std::nullopt);
    view.known({41, false, {target("s-1", 81)}}, now, true);
    EXPECT_EQ(view.ask_from(), std::nullopt);
}

TEST_F(ViewTest, OpensTheGateForWhatIsListedOnly) {
    whole(5, {target("s", 80), target("t", 81)});
    EXPECT_EQ(gate("s"), Gate::Open);
    EXPECT_EQ(gate("s", 81), Gate::Moved);
    EXPECT_EQ(gate("s", 80, 8), Gate::OtherDestination);
    EXPECT_EQ(gate("u"), Gate::Gone);
    changes(6, {draining("s")});
    EXPECT_EQ(gate("s"), Gate::Draining);
    changes(7, {gone("s")});
    EXPECT_EQ(gate("s"), Gate::Gone);
    whole(8, {});
    EXPECT_EQ(gate("t", 81), Gate::Gone);
}

TEST_F(ViewTest, BelievesTheConfigurationUntilAnAgentHasToldAll) {
    EXPECT_TRUE(view.known({1, true, {target("s")}}, now).heeded);
    EXPECT_EQ(gate("s"), Gate::Open);
    EXPECT_FALSE(view.whole());
    whole(5, {target("t", 81)});
    EXPECT_EQ(gate("s"), Gate::Gone);
    EXPECT_FALSE(view.known({9, true, {target("s")}}, now).heeded);
    EXPECT_EQ(gate("s"), Gate::Gone);
}

TEST_F(ViewTest, TakesTheWholeListOfAnAgentThatCountsAnew) {
    whole(50, {target("s"), target("t", 81)});
    const auto update = whole(2, {target("t", 81)});
    EXPECT_TRUE(update.taken);
    ASSERT_FALSE(update.remarks.empty());
    EXPECT_EQ(view.ask_from(), 2);
    EXPECT_EQ(gate("s"), Gate::Gone);
    changes(3, {draining("t")});
    EXPECT_EQ(gate("t", 81), Gate::Draining);
}

// Two requests are out at once: the older answer may come last, and must not bring back what has gone.
TEST_F(ViewTest, PassesOverALateWholeListButHeedsItsDrains) {
    whole(5, {target("s"), target("t", 81)});
    const auto slow = ask();
    changes(6, {gone("s")});
    const auto late = answer(slow, 5, true, {target("s"), draining("t")});
    EXPECT_FALSE(late.taken);
    EXPECT_EQ(gate("s"), Gate::Gone);
    EXPECT_EQ(gate("t", 81), Gate::Draining);
    EXPECT_FALSE(view.ask_from()) << "the whole list decides";
    whole(6, {target("t", 81)});
    EXPECT_EQ(gate("t", 81), Gate::Open);
}

TEST_F(ViewTest, PassesOverLateChangesThatAnotherAnswerHasTold) {
    whole(5, {target("s")});
    const auto slow = ask();
    changes(7, {draining("s")});
    EXPECT_TRUE(answer(slow, 6, false, {target("s")}).taken);
    EXPECT_EQ(gate("s"), Gate::Draining);
    EXPECT_EQ(view.ask_from(), 7);
    const auto other = View::Asked{view.epoch(), 5, now};
    EXPECT_TRUE(answer(other, 8, false, {gone("s")}).taken)
        << "it builds on an older list and holds all since";
    EXPECT_EQ(gate("s"), Gate::Gone);
    EXPECT_EQ(view.ask_from(), 8);
}

TEST_F(ViewTest, AsksForTheWholeListWhereChangesMakeNoSense) {
    const auto nothing = answer(ask(), 5, false, {target("s")});
    EXPECT_FALSE(nothing.taken);
    EXPECT_EQ(gate("s"), Gate::Gone);
    whole(5, {target("s")});
    EXPECT_FALSE(changes(3, {draining("s")}).taken) << "goes back";
    EXPECT_EQ(gate("s"), Gate::Draining) << "a drain is heeded all the same";
    EXPECT_FALSE(view.ask_from());
    whole(3, {target("s")});
    EXPECT_FALSE(answer({view.epoch(), 9, now}, 10, false, {}).taken) << "a gap";
    EXPECT_FALSE(view.ask_from());
}

// The news of a drain counts from when it was written to us, also where the rest never came.
TEST_F(ViewTest, HeedsTheStopsOfACutOffAnswer) {
    whole(5, {target("s"), target("t", 81)});
    const auto cut = ask();
    const auto update =
        view.cut_off(cut, {0, false, {draining("s"), gone("t"), target("new", 82)}}, now += 1ms);
    EXPECT_TRUE(update.heeded);
    EXPECT_EQ(gate("s"), Gate::Draining);
    EXPECT_EQ(gate("t", 81), Gate::Draining);
    EXPECT_EQ(gate("new", 82), Gate::Gone) << "nothing is opened by it";
    EXPECT_EQ(view.ask_from(), 5) << "the same is asked again";
    changes(6, {draining("s")});
    EXPECT_EQ(gate("s"), Gate::Draining);
    EXPECT_EQ(gate("t", 81), Gate::Open) << "the answer asked for later says all: it was not so";
}

TEST_F(ViewTest, FreesNoStopByAnAnswerAskedForBefore) {
    whole(5, {target("s")});
    const auto before = ask(), cut = ask();
    view.cut_off(cut, {0, false, {draining("s")}}, now += 1ms);
    EXPECT_TRUE(answer(before, 5, false, {}).taken);
    EXPECT_EQ(gate("s"), Gate::Draining);
    EXPECT_TRUE(changes(5, {}).taken);
    EXPECT_EQ(gate("s"), Gate::Open);
}

TEST_F(ViewTest, HoldsAKnownTargetWhoseEntryCannotBeRead) {
    whole(5, {target("s"), target("t", 81)});
    const auto update = answer(ask(), 6, false, {},
        {{"s", std::nullopt, "no phase"}, {"t", Condition::Gone, "x"}, {"u", Condition::Ready, "y"},
            {std::nullopt, {}, "z"}});
    EXPECT_TRUE(update.taken);
    EXPECT_EQ(gate("s"), Gate::Draining);
    EXPECT_EQ(gate("t", 81), Gate::Gone);
    EXPECT_EQ(gate("u"), Gate::Gone);
    EXPECT_FALSE(view.ask_from());
    answer(ask(), 6, true, {}, {{"s", std::nullopt, "no phase"}});
    EXPECT_EQ(gate("s"), Gate::Draining) << "still not readable, and still listed";
    EXPECT_EQ(view.ask_from(), 6) << "asking again and again would not help";
    changes(7, {target("s")});
    EXPECT_EQ(gate("s"), Gate::Open);
}

TEST_F(ViewTest, HeedsTheDrainOfATargetOfUnknownKind) {
    whole(5, {target("s")});
    Target odd = draining("s");
    odd.kind = "spaceship";
    changes(6, {odd});
    EXPECT_EQ(gate("s"), Gate::Draining);
    Target fresh = target("t", 81);
    fresh.zone = "mars";
    const auto update = changes(7, {fresh});
    EXPECT_EQ(gate("t", 81), Gate::Gone);
    ASSERT_EQ(update.remarks.size(), 1u);
    EXPECT_NE(update.remarks[0].find("unknown place mars"), std::string::npos);
}

TEST_F(ViewTest, LetsTheEntryThatStopsATargetWinInOneList) {
    whole(5, {draining("s"), target("s"), target("t", 81), gone("t")});
    EXPECT_EQ(gate("s"), Gate::Draining);
    EXPECT_EQ(gate("t", 81), Gate::Gone);
}

TEST_F(ViewTest, FollowsATargetThatMoves) {
    whole(5, {target("s", 80)});
    changes(6, {target("s", 81)});
    EXPECT_EQ(gate("s", 80), Gate::Moved);
    EXPECT_EQ(gate("s", 81), Gate::Open);
    changes(7, {target("s", 81, Condition::Ready, 8)});
    EXPECT_EQ(gate("s", 81), Gate::OtherDestination);
    EXPECT_EQ(gate("s", 81, 8), Gate::Open);
}

// Gone and back within one answer: the list shows only that the process is another.
TEST_F(ViewTest, TellsThatATargetStartedAnew) {
    whole(5, {target("s")});
    Target again = target("s");
    again.up_since_ms = 99;
    EXPECT_EQ(changes(6, {again}).restarted, std::vector<std::string>{"s"});
    EXPECT_TRUE(changes(7, {again}).restarted.empty());
}

// An address is one process's. The agent may have told the newcomer before the end of the one before.
TEST_F(ViewTest, HoldsTheOneBeforeAtAnAddressThatIsAnothersNow) {
    whole(5, {target("s", 80)});
    changes(6, {target("t", 80)});
    EXPECT_EQ(gate("t", 80), Gate::Open);
    EXPECT_EQ(gate("s", 80), Gate::Draining);
    EXPECT_FALSE(view.ask_from()) << "the whole list decides";
    whole(6, {target("s", 80), target("t", 80)});
    EXPECT_EQ(gate("s", 80), Gate::Open) << "one answer names both";
}

TEST_F(ViewTest, TakesAnAddressOverInAWholeList) {
    whole(5, {target("s", 80)});
    EXPECT_TRUE(whole(6, {target("t", 80)}).remarks.empty());
    EXPECT_EQ(gate("s", 80), Gate::Gone);
    EXPECT_EQ(view.ask_from(), 6) << "nothing is left to ask";
}

TEST_F(ViewTest, PassesOverTheAnswersOfAnEarlierAgent) {
    whole(5, {target("s")});
    const auto old = ask();
    view.new_agent();
    EXPECT_FALSE(view.ask_from());
    EXPECT_FALSE(answer(old, 6, false, {gone("s")}).taken);
    EXPECT_FALSE(view.cut_off(old, {0, false, {draining("s")}}, now).heeded);
    EXPECT_EQ(gate("s"), Gate::Open) << "the last list stays in force";
    whole(1, {target("t", 81)});
    EXPECT_EQ(gate("s"), Gate::Gone);
}

/// An agent as it should be, and what a forwarder may hear of it: late, cut, doubled, out of order.
struct Agent {
    std::map<std::string, Target> members;
    std::vector<std::pair<std::int64_t, std::string>> log;
    // far apart: after a start anew no old revision means anything (docs/membership.md says why that matters)
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
    TargetList tell(std::optional<std::int64_t> from) const {
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

// Two requests out, answers late and cut off in any order, an agent that counts anew. After any stop has been
// written in any part to us, the gate is closed until an answer that was generated later frees it; and once
// the agent is heard undisturbed the view is the agent's.
TEST_F(ViewTest, AgreesWithThePlainModelWhateverIsLateOrCut) {
    const std::uint64_t seed = std::random_device{}();
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    for (int run = 0; run < 500; ++run) {
        view = View{{"a"}, {"shop"}};
        Agent agent;
        struct Out {
            View::Asked asked;
            TargetList answer;
        };
        std::vector<Out> out;
        for (int step = 0; step < 60; ++step) {
            now += 1ms;
            if (random() % 2) agent.change(random);
            if (random() % 40 == 0) {
                agent.revision = agent.oldest -= 1000;
                agent.log.clear();
            }
            if (out.size() < 2) {
                const View::Asked asked{view.epoch(), view.ask_from(), now};
                out.push_back({asked, agent.tell(asked.from)});
            }
            if (random() % 3 == 0) continue;
            const std::size_t which = random() % out.size();
            Out one = out[which];
            out.erase(out.begin() + static_cast<long>(which));
            now += 1ms;
            if (random() % 3 == 0) {
                one.answer.targets.resize(random() % (one.answer.targets.size() + 1));
                view.cut_off(one.asked, one.answer, now);
                for (const Target& told : one.answer.targets)
                    if (told.condition != Condition::Ready) {
                        ASSERT_NE(gate(told.id, told.address.port()), Gate::Open)
                            << told.id << " run " << run;
                    }
                continue;
            }
            const auto update = one.answer.complete && random() % 2
                                    ? in_parts(one.asked, one.answer, random)
                                    : view.answered(one.asked, one.answer, now);
            for (const Target& told : one.answer.targets)
                if (update.taken && update.heeded && told.condition != Condition::Ready) {
                    ASSERT_NE(gate(told.id, told.address.port()), Gate::Open) << told.id << " run " << run;
                }
        }
        // undisturbed: what is out is answered or lost, then twice asked
        for (int i = 0; i < 3; ++i) {
            const View::Asked asked = ask();
            view.answered(asked, agent.tell(asked.from), now += 1ms);
        }
        std::size_t listed = 0;
        for (const auto& [id, member] : agent.members) {
            const auto found = gate(id, member.address.port());
            const Gate expected = member.condition == Condition::Ready      ? Gate::Open
                                  : member.condition == Condition::Draining ? Gate::Draining
                                                                            : Gate::Gone;
            ASSERT_EQ(found, expected) << id << " run " << run << " is " << text_of(found);
            listed += member.condition != Condition::Gone;
        }
        ASSERT_EQ(view.size(), listed);
    }
}

// What is told by parts comes to what is told at once: whom the core then knows, and how they stand.
TEST_F(ViewTest, PartsComeToTheSameAsTheWhole) {
    const std::uint64_t seed = std::random_device{}();
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    using Core = std::map<std::string, std::string>;
    const auto heed = [](Core& core, const View::Update& update) {
        if (update.told.complete) core.clear();
        for (const Target& one : update.told.targets) {
            if (one.condition == Condition::Gone)
                core.erase(one.id);
            else  // where it drains its address does not matter
                core[one.id] =
                    std::to_string(static_cast<int>(one.condition)) + " " + one.zone + " " + one.kind + " " +
                    std::to_string(one.destination) +
                    (one.condition == Condition::Ready ? ":" + std::to_string(one.address.port()) : "");
        }
    };
    for (int run = 0; run < 400; ++run) {
        view = View{{"a"}, {"shop"}};
        View once{{"a"}, {"shop"}};
        Core by_parts, at_once;
        for (std::int64_t revision = 1; revision < 12; ++revision) {
            TargetList list{revision, random() % 3 != 0 || revision == 1, {}, {}};
            for (std::size_t n = random() % 12; n > 0; --n) {
                const std::string id = "s" + std::to_string(random() % 9);
                Target one = target(id, 100 + static_cast<int>(random() % 6),
                    std::array{Condition::Ready, Condition::Ready, Condition::Draining,
                        Condition::Gone}[random() % 4],
                    static_cast<std::int64_t>(random() % 2));
                if (random() % 10 == 0) one.kind = random() % 2 ? "shop" : "moon";
                list.targets.push_back(std::move(one));
            }
            if (random() % 4 == 0)
                list.bad.push_back({"s" + std::to_string(random() % 9), std::nullopt, "odd"});
            stops_first(list);
            const View::Asked asked = ask();
            heed(at_once, once.answered(asked, list, now));
            heed(by_parts, list.complete ? in_parts(asked, list, random) : view.answered(asked, list, now));
            ASSERT_EQ(by_parts, at_once) << "run " << run << ", revision " << revision;
            ASSERT_EQ(view.ask_from(), once.ask_from());
            ASSERT_EQ(view.size(), once.size());
        }
    }
}

}  // namespace
}  // namespace lockgw
