#include "membership/ask_plan.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>
#include <vector>

namespace lockgw {
namespace {

using namespace std::chrono_literals;
using Phase = AskPlan::Phase;
using End = AskPlan::End;

class AskPlanTest : public ::testing::Test {
protected:
    AskPlanTest() : plan(limits(), 1) { plan.want(true); }
    static AskPlan::Limits limits() {
        AskPlan::Limits limits;
        limits.hold = 1500ms;
        return limits;
    }
    AskPlan::Steps after(std::chrono::milliseconds span) {
        now += span;
        return plan.steps(now);
    }
    std::uint64_t begin() {
        const auto steps = plan.steps(now);
        EXPECT_TRUE(steps.begin);
        return steps.begin.value_or(0);
    }

    AskPlan plan;
    AskPlan::Time now{1000s};
};

TEST_F(AskPlanTest, AsksAgainAsSoonAsItIsAnswered) {
    const auto first = begin();
    EXPECT_FALSE(plan.steps(now).begin);
    plan.reached(first, Phase::Waiting, now);
    now += 1500ms;
    plan.ended(first, End::Good, now);
    EXPECT_EQ(plan.due(), now);
    EXPECT_TRUE(plan.steps(now).begin);
}

// Fewer ask now, so the hold is shorter: one that waits already asked for the longer one, and is not overdue
// before that.
TEST_F(AskPlanTest, HoldsOthersThanTheOneThatIsOut) {
    const auto first = begin();
    plan.reached(first, Phase::Waiting, now);
    auto shorter = limits();
    shorter.hold = 300ms;
    plan.limits(shorter);
    EXPECT_FALSE(after(1600ms).begin);
    const auto beside = after(150ms).begin;
    ASSERT_TRUE(beside) << "200 ms beyond its own hold";
    plan.ended(first, End::Good, now);
    plan.ended(*beside, End::Good, now);
    const auto next = begin();
    plan.reached(next, Phase::Waiting, now);
    EXPECT_TRUE(after(501ms).begin);
}

// A long answer that is being worked out is neither overdue nor given up, and nothing is asked beside it.
// The limits change while a request that asked for a short hold is still being connected.
TEST_F(AskPlanTest, HoldsByWhatItAskedForThoughTheLimitsChangeBeforeItIsConnected) {
    const auto first = begin();
    auto longer = limits();
    longer.hold = 10'000ms;
    plan.limits(longer);
    plan.reached(first, Phase::Waiting, now);
    EXPECT_FALSE(after(1600ms).begin);
    EXPECT_TRUE(after(101ms).begin) << "silent: 200 ms beyond the hold that its agent was told";
}

// A request for a whole list asks for no hold: one that hangs must not be waited for as a watch is.
TEST_F(AskPlanTest, ARequestIsOverdueByTheHoldThatItAskedFor) {
    const auto first = begin();
    plan.holds(first, 300ms);
    plan.reached(first, Phase::Waiting, now);
    EXPECT_FALSE(after(499ms).begin);
    const auto second = after(1ms).begin;
    ASSERT_TRUE(second) << "200 ms beyond its own hold";
    plan.reached(*second, Phase::Waiting, now);
    EXPECT_EQ(after(800ms).give_up, std::vector<std::uint64_t>{first}) << "and 1 s beyond it";
}

TEST_F(AskPlanTest, WaitsForTheVerdictOnALongAnswer) {
    const auto first = begin();
    plan.reached(first, Phase::Reading, now);
    plan.reached(first, Phase::Judging, now);
    EXPECT_FALSE(plan.due());
    const auto steps = after(60s);
    EXPECT_FALSE(steps.begin);
    EXPECT_TRUE(steps.give_up.empty() && steps.peek.empty());
    plan.ended(first, End::Failed, now);
    EXPECT_EQ(plan.failures(), 1u);
    EXPECT_TRUE(plan.steps(now).begin);
}

TEST_F(AskPlanTest, AsksNothingWhereNothingIsWanted) {
    plan.want(false);
    EXPECT_FALSE(plan.steps(now).begin);
    EXPECT_FALSE(plan.due());
    plan.want(true);
    EXPECT_TRUE(plan.steps(now).begin);
}

// The answer of the recorded day: asked, and silent. The second request must not wait for the first's end.
TEST_F(AskPlanTest, BeginsASecondBesideOneThatIsOverdue) {
    const auto first = begin();
    plan.reached(first, Phase::Waiting, now);
    EXPECT_FALSE(after(1699ms).begin);
    const auto steps = after(1ms);
    EXPECT_TRUE(steps.give_up.empty());
    ASSERT_TRUE(steps.begin);
    EXPECT_EQ(plan.out(), 2u);
    plan.reached(*steps.begin, Phase::Waiting, now);
    const auto later = after(800ms);  // hold and a second beyond it
    EXPECT_EQ(later.give_up, std::vector<std::uint64_t>{first});
    EXPECT_FALSE(later.begin);
}

// An answer that has begun and stops: looked into, asked beside, given up.
TEST_F(AskPlanTest, LooksIntoAnAnswerThatDoesNotEnd) {
    const auto first = begin();
    plan.reached(first, Phase::Waiting, now);
    plan.reached(first, Phase::Reading, now);
    EXPECT_TRUE(after(149ms).peek.empty());
    const auto steps = after(1ms);
    EXPECT_EQ(steps.peek, std::vector<std::uint64_t>{first});
    ASSERT_TRUE(steps.begin);
    plan.reached(*steps.begin, Phase::Waiting, now);
    EXPECT_EQ(after(150ms).peek, std::vector<std::uint64_t>{first});
    EXPECT_TRUE(after(1500ms).give_up.empty());
    EXPECT_EQ(after(200ms).give_up, std::vector<std::uint64_t>{first});
}

TEST_F(AskPlanTest, HasNeverMoreThanTwoOut) {
    begin();
    ASSERT_TRUE(after(150ms).begin);
    const auto steps = after(150ms);
    EXPECT_EQ(steps.give_up.size(), 1u);
    EXPECT_EQ(plan.out(), steps.begin ? 2u : 1u);
}

// Answers cut off several times in a row: the first is followed at once, none by more than the platform's
// 200 ms, and a dead agent is not asked thousands of times.
TEST_F(AskPlanTest, PausesBrieflyAfterFailures) {
    std::chrono::milliseconds longest{0};
    int asked = 0;
    const auto end = now + 10s;
    while (now < end) {
        const auto steps = plan.steps(now);
        if (steps.begin) {
            ++asked;
            plan.ended(*steps.begin, End::Failed, now);
        }
        const auto due = plan.due();
        ASSERT_TRUE(due);
        longest = std::max(longest, std::chrono::duration_cast<std::chrono::milliseconds>(*due - now));
        if (asked == 1) {
            EXPECT_LE(*due, now);
        }
        now = std::max(now, *due);
    }
    EXPECT_LE(longest, 100ms);
    EXPECT_GT(asked, 90);
    EXPECT_LT(asked, 120);
}

// A hundred that are refused together: with the pauses of a broken connection each asked ten times a second,
// and the agent, which takes some tens of lists a second, refused them all day.
TEST_F(AskPlanTest, ManyThatAreRefusedSpreadAndLeaveRoom) {
    constexpr int kAskers = 100;
    std::vector<AskPlan> plans;
    for (std::uint64_t seed = 0; seed < kAskers; ++seed) {
        plans.emplace_back(limits(), seed);
        plans.back().want(true);
    }
    std::map<int, int> by_tenth;  // requests begun in each tenth of a second
    for (int tick = 0; tick < 2000; ++tick) {
        now += 10ms;
        for (AskPlan& one : plans)
            if (const auto steps = one.steps(now); steps.begin) {
                ++by_tenth[tick / 10];
                one.ended(*steps.begin, End::Refused, now);
            }
    }
    EXPECT_EQ(by_tenth[0], kAskers);
    int late = 0;
    for (int tenth = 20; tenth < 200; ++tenth) {
        late += by_tenth[tenth];
        EXPECT_LT(by_tenth[tenth], kAskers / 4) << tenth;  // no two moments in step
    }
    EXPECT_LT(late, kAskers * 18);      // less than one a second each
    EXPECT_GT(late, kAskers * 18 / 5);  // and each within some seconds
}

// What refuses is there: it is asked soon again after the first refusal, and as ever once it answers.
TEST_F(AskPlanTest, AsksAtOnceAgainOnceItIsAnswered) {
    plan.ended(begin(), End::Refused, now);
    ASSERT_TRUE(plan.due());
    EXPECT_GE(*plan.due() - now, 100ms);
    EXPECT_LE(*plan.due() - now, 200ms);
    now = *plan.due();
    plan.ended(begin(), End::Good, now);
    EXPECT_TRUE(plan.steps(now).begin);
}

// Whatever an agent does, a request that can still be answered in time is out, or begun within 200 ms.
TEST_F(AskPlanTest, NeverRestsWhateverTheAgentDoes) {
    const std::uint64_t seed = std::random_device{}();
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    for (int run = 0; run < 300; ++run) {
        plan = AskPlan(limits(), seed);
        plan.want(true);
        std::set<std::uint64_t> out;
        std::map<std::uint64_t, AskPlan::Time> fresh_until;
        auto covered_until = now;
        for (int event = 0; event < 200; ++event) {
            const auto steps = plan.steps(now);
            for (const auto one : steps.give_up) out.erase(one), fresh_until.erase(one);
            if (steps.begin) {
                out.insert(*steps.begin);
                fresh_until[*steps.begin] = now + 150ms;
            }
            ASSERT_LE(out.size(), AskPlan::kMostOut);
            ASSERT_EQ(out.size(), plan.out());
            for (const auto& [one, until] : fresh_until) covered_until = std::max(covered_until, until);
            ASSERT_LE(now, covered_until + 200ms);
            const auto due = plan.due();
            ASSERT_TRUE(due);
            ASSERT_GT(*due, now - 1ms);
            // something happens before the plan's own time, or its time comes
            if (!out.empty() && random() % 3 != 0) {
                const auto one = *std::next(out.begin(), static_cast<long>(random() % out.size()));
                now +=
                    std::min<AskPlan::Clock::duration>(*due - now, std::chrono::milliseconds(random() % 50));
                switch (random() % 4) {
                    case 0:
                        plan.reached(one, Phase::Waiting, now), fresh_until[one] = now + 1700ms;
                        break;
                    case 1:
                        plan.reached(one, Phase::Reading, now), fresh_until[one] = now + 150ms;
                        break;
                    default:
                        plan.ended(one, random() % 2 ? End::Good : End::Failed, now);
                        out.erase(one), fresh_until.erase(one);
                        covered_until = now;
                }
            } else {
                now = std::max(now, *due);
            }
        }
    }
}

// On a busy machine a step comes late, with more due than one thing: what is given up for room is not looked
// at too (it was, the asking broke off there, and no drain was heard of any more).
TEST_F(AskPlanTest, NamesNoRequestTwiceInALateStep) {
    std::mt19937 random(7);
    for (int run = 0; run < 2000; ++run) {
        plan.clear();
        for (int i = 0; i < 8; ++i) {
            const auto steps = after(std::chrono::milliseconds(random() % 700));
            std::set<std::uint64_t> named(steps.give_up.begin(), steps.give_up.end());
            named.insert(steps.peek.begin(), steps.peek.end());
            ASSERT_EQ(named.size(), steps.give_up.size() + steps.peek.size()) << "run " << run;
            if (steps.begin) plan.reached(*steps.begin, Phase::Reading, now);
        }
    }
}

}  // namespace
}  // namespace lockgw
