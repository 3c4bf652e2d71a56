// Whose request is taken next, and when one is turned away: the fair queue and the overload control.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <string>

#include "admission/fair_queue.hpp"
#include "admission/overload.hpp"

namespace lockgw::admission {
namespace {

using namespace std::chrono_literals;
using Queue = FairQueue<int>;

// ---- fair queue ----

// Over any history each flow that always has something waiting gets its weight, within one round.
TEST(FairQueueLaws, SharesByWeightAndLosesNothing) {
    EXPECT_TRUE(rc::check("weights", [] {
        const auto weights = *rc::gen::resize(
            6, rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 9))));
        const auto costs = *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(1, 9));
        Queue queue(100'000);
        std::size_t next_cost = 0;
        std::map<int, double> got;
        std::map<int, int> cost_of;
        int items = 0;
        const auto feed = [&](std::size_t flow) {
            const int cost = costs[next_cost++ % costs.size()];
            const int item = items++;
            cost_of[item] = cost * 100 + static_cast<int>(flow);
            RC_ASSERT(!queue.push(
                flow, item, static_cast<std::uint64_t>(cost), static_cast<std::uint64_t>(weights[flow]) * 8));
        };
        for (std::size_t flow = 0; flow < weights.size(); ++flow)
            for (int i = 0; i < 3; ++i) feed(flow);
        double sum = 0, rounds = 0;
        for (const int weight : weights) sum += weight * 8.0;
        for (int i = 0; i < 1000; ++i) {
            const int item = queue.pop(i % 3 == 0);
            const int flow = cost_of.at(item) % 100;
            got[flow] += cost_of.at(item) / 100;
            cost_of.erase(item);  // a second time would throw
            feed(static_cast<std::size_t>(flow));
        }
        for (const auto& [flow, cost] : got) rounds += cost;
        rounds /= sum;
        for (std::size_t flow = 0; flow < weights.size(); ++flow) {
            const double due = rounds * weights[flow] * 8.0;
            RC_ASSERT(std::abs(got[static_cast<int>(flow)] - due) <= 2.0 * weights[flow] * 8.0 + 16.0);
        }
    }));
}

TEST(FairQueue, IsWorkConservingAndKeepsOrderWithinAFlow) {
    Queue queue(10);
    for (int i = 0; i < 5; ++i) EXPECT_FALSE(queue.push(1, i, 1, 1));
    for (int i = 0; i < 5; ++i) EXPECT_EQ(queue.pop(false), i);
    EXPECT_TRUE(queue.empty());
    EXPECT_EQ(queue.flows(), 0u);
}
TEST(FairQueue, TakesTheNewestFirstWhereTold) {
    Queue queue(10);
    for (int i = 0; i < 3; ++i) queue.push(1, i, 1, 1);
    EXPECT_EQ(queue.pop(true), 2);
    EXPECT_EQ(queue.pop(true), 1);
    EXPECT_EQ(queue.pop(true), 0);
}
TEST(FairQueue, TheLongestFlowLosesWhereItIsFull) {
    Queue queue(6);
    for (int i = 0; i < 5; ++i) EXPECT_FALSE(queue.push(1, i, 1, 1));
    EXPECT_FALSE(queue.push(2, 100, 1, 1));
    EXPECT_EQ(queue.push(2, 101, 1, 1), 0);  // the first of the flood
    EXPECT_EQ(queue.push(1, 5, 1, 1), 1);    // which pays for its own
    EXPECT_EQ(queue.size(), 6u);
}

// ---- overload ----

class OverloadTest : public ::testing::Test {
protected:
    using Verdict = Overload::Verdict;
    /// So many requests, one a millisecond, that each waited so long.
    Verdict requests(int count, Span waited) {
        Verdict last = Verdict::Serve;
        for (int i = 0; i < count; ++i) last = overload.judge(waited, now += 1ms);
        return last;
    }
    OverloadLimits limits;
    Overload overload{limits};
    Instant now{1h};
};

TEST_F(OverloadTest, ABurstThatIsWorkedOffIsNone) {
    for (int round = 0; round < 10; ++round) {
        EXPECT_EQ(requests(80, 300ms), Verdict::Serve);
        EXPECT_EQ(requests(1, 5ms), Verdict::Serve);
    }
    EXPECT_FALSE(overload.overloaded());
}
TEST_F(OverloadTest, AQueueThatStandsIsOneAndTheOldAreTurnedAway) {
    requests(250, 300ms);
    EXPECT_TRUE(overload.overloaded());
    EXPECT_EQ(requests(1, 300ms), Verdict::Refuse);
    EXPECT_EQ(requests(1, 100ms), Verdict::Serve);  // in time for its client
    EXPECT_TRUE(overload.overloaded());
    requests(1, 1ms);
    EXPECT_FALSE(overload.overloaded());
}
TEST_F(OverloadTest, AnIdleTimeEndsIt) {
    requests(250, 300ms);
    now += 10s;
    EXPECT_EQ(requests(1, 300ms), Verdict::Serve);
    EXPECT_FALSE(overload.overloaded());
}
TEST_F(OverloadTest, WhoHasGivenUpIsNotTakenOn) {
    EXPECT_EQ(overload.judge(limits.patience, now), Verdict::Gone);
}
TEST_F(OverloadTest, ToldWaitsAreSpreadAndGrowWithTheOverload) {
    requests(250, 300ms);
    std::map<long, int> buckets;
    const auto base = overload.told_wait(now).count();
    for (int i = 0; i < 100; ++i) ++buckets[overload.told_wait(now).count() * 10 / base];
    EXPECT_GE(buckets.size(), 8u);
    for (const auto& [bucket, count] : buckets) EXPECT_LE(count, 15);
    const auto early = overload.told_wait(now);
    for (int i = 0; i < 40; ++i) requests(100, 300ms);
    EXPECT_GT(overload.told_wait(now), early);
    EXPECT_LE(overload.told_wait(now), 3 * limits.most_wait / 2);
}

}  // namespace
}  // namespace lockgw::admission
