// Admission control without connections: the fair queue, the memory shares, the scheduling of reads, the
// hand-over of clients and the overload control.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <string>

#include "admission/fair_queue.hpp"
#include "admission/hand_over.hpp"
#include "admission/memory.hpp"
#include "admission/overload.hpp"
#include "admission/read_turns.hpp"

namespace lockgw::admission {
namespace {

using namespace std::chrono_literals;
using Queue = FairQueue<int>;

// ---- fair queue ----

// A flow that always has items waiting gets a share proportional to its weight, within one round.
TEST(FairQueueProperties, SharesByWeightAndLosesNoItem) {
    EXPECT_TRUE(rc::check("weights", [] {
        const auto weights = *rc::gen::resize(
            6, rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 9))));
        const auto costs = *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(1, 9));
        Queue queue(100'000);
        std::size_t next_cost = 0;
        std::map<int, double> served_cost;
        std::map<int, int> cost_of;
        int items = 0;
        const auto push_to = [&](std::size_t flow) {
            const int cost = costs[next_cost++ % costs.size()];
            const int item = items++;
            cost_of[item] = cost * 100 + static_cast<int>(flow);
            RC_ASSERT(!queue.push(
                flow, item, static_cast<std::uint64_t>(cost), static_cast<std::uint64_t>(weights[flow]) * 8));
        };
        for (std::size_t flow = 0; flow < weights.size(); ++flow)
            for (int i = 0; i < 3; ++i) push_to(flow);
        double sum = 0, rounds = 0;
        for (const int weight : weights) sum += weight * 8.0;
        for (int i = 0; i < 1000; ++i) {
            const int item = queue.pop(i % 3 == 0);
            const int flow = cost_of.at(item) % 100;
            served_cost[flow] += cost_of.at(item) / 100;
            cost_of.erase(item);  // an item returned twice would throw here
            push_to(static_cast<std::size_t>(flow));
        }
        for (const auto& [flow, cost] : served_cost) rounds += cost;
        rounds /= sum;
        for (std::size_t flow = 0; flow < weights.size(); ++flow) {
            const double expected = rounds * weights[flow] * 8.0;
            RC_ASSERT(
                std::abs(served_cost[static_cast<int>(flow)] - expected) <= 2.0 * weights[flow] * 8.0 + 16.0);
        }
    }));
}

TEST(FairQueue, ServesASingleFlowInOrderAndForgetsItWhenEmpty) {
    Queue queue(10);
    for (int i = 0; i < 5; ++i) EXPECT_FALSE(queue.push(1, i, 1, 1));
    for (int i = 0; i < 5; ++i) EXPECT_EQ(queue.pop(false), i);
    EXPECT_TRUE(queue.empty());
    EXPECT_EQ(queue.flows(), 0u);
}
TEST(FairQueue, PopsTheNewestItemFirstOnRequest) {
    Queue queue(10);
    for (int i = 0; i < 3; ++i) queue.push(1, i, 1, 1);
    EXPECT_EQ(queue.pop(true), 2);
    EXPECT_EQ(queue.pop(true), 1);
    EXPECT_EQ(queue.pop(true), 0);
}
TEST(FairQueue, DropsFromTheLongestFlowWhenFull) {
    Queue queue(6);
    for (int i = 0; i < 5; ++i) EXPECT_FALSE(queue.push(1, i, 1, 1));
    EXPECT_FALSE(queue.push(2, 100, 1, 1));
    EXPECT_EQ(queue.push(2, 101, 1, 1), 0);  // the oldest item of the longest flow
    EXPECT_EQ(queue.push(1, 5, 1, 1), 1);    // that flow also loses an item for its own push
    EXPECT_EQ(queue.size(), 6u);
}

// ---- memory ----

// The three invariants at the top of admission/memory.hpp hold over any history in which the owner that
// over() names releases half of what it holds.
TEST(MemorySharesProperties, BoundsTheTotalAndNamesTheLargestOwner) {
    EXPECT_TRUE(rc::check("memory", [] {
        constexpr std::size_t kLimit = 1000;
        MemoryShares shares(kLimit);
        std::map<Owner, std::size_t> model;
        const auto steps = *rc::gen::container<std::vector<std::pair<Owner, std::size_t>>>(
            200, rc::gen::pair(rc::gen::inRange<Owner>(0, 6), rc::gen::inRange<std::size_t>(0, 700)));
        for (const auto& [owner, bytes] : steps) {
            shares.change(owner, model[owner], bytes);
            model[owner] = bytes;
            while (const auto largest = shares.over()) {
                for (const auto& [other, held] : model) RC_ASSERT(held <= model.at(*largest));
                shares.change(*largest, model[*largest], model[*largest] / 2);
                model[*largest] /= 2;
            }
            std::size_t sum = 0, holders = 0;
            for (const auto& [other, held] : model) {
                sum += held, holders += held > 0;
                RC_ASSERT(shares.held_by(other) == held);
            }
            RC_ASSERT(sum == shares.held() && sum <= kLimit);
            for (const auto& [other, held] : model) RC_ASSERT(holders < 2 || held <= kLimit / 2);
        }
    }));
}

// ---- scheduled reads ----

// Heavy owners get equal shares of the bytes whatever the size of their reads, and each turn is bounded.
TEST(ReadTurnsProperties, SharesBytesEquallyAndBoundsEachTurn) {
    EXPECT_TRUE(rc::check("bytes", [] {
        const auto sizes =
            *rc::gen::container<std::vector<std::size_t>>(3, rc::gen::inRange<std::size_t>(100, 16 * 1024));
        const ReadLimits limits;
        ReadTurns<std::size_t> turns(limits);
        for (std::size_t owner = 0; owner < sizes.size(); ++owner)
            for (int i = 0; i < 20; ++i) turns.push(owner, owner, sizes[owner]);
        std::vector<double> read_bytes(sizes.size());
        for (int turn = 0; turn < 600; ++turn) {
            std::size_t spent = 0;
            turns.take_turn([&](std::size_t owner) {
                RC_ASSERT(spent < limits.turn);
                spent += sizes[owner] + limits.each;
                read_bytes[owner] += static_cast<double>(sizes[owner] + limits.each);
                turns.push(owner, owner, sizes[owner]);
                return sizes[owner];
            });
            RC_ASSERT(spent > 0);
        }
        for (const double bytes : read_bytes) RC_ASSERT(std::abs(bytes - read_bytes[0]) <= 4.0 * limits.turn);
    }));
}
TEST(ReadMeter, IsHeavyOnlyAboveTheRateAndWhileItLasts) {
    const ReadLimits limits;
    ReadMeter below_rate, above_rate;
    Instant now{1h};
    for (int i = 0; i < 1000; ++i) {
        now += 10ms;
        below_rate.count(8'000, limits, now);
        above_rate.count(16'000, limits, now);
        EXPECT_FALSE(below_rate.heavy(limits, now));
    }
    EXPECT_TRUE(above_rate.heavy(limits, now));
    EXPECT_FALSE(above_rate.heavy(limits, now + 10s));
}

// ---- hand-over of clients to other forwarders ----

TEST(HandOverProperties, KeepsClientsLongAndLimitsTheRateForTheOthers) {
    EXPECT_TRUE(rc::check("hand-over", [] {
        const HandOverLimits limits;
        const auto others = *rc::gen::inRange<std::size_t>(0, 10);
        const auto clients = *rc::gen::inRange<std::size_t>(0, 60'000);
        const HandOver plan(limits, others);
        const double rate = limits.per_s * static_cast<double>(std::max<std::size_t>(1, others));
        const double span = std::chrono::duration<double>(plan.span(clients)).count();
        const bool fits = static_cast<double>(clients) / rate < 2.4;
        std::size_t left = clients;
        for (Span passed{0}; passed < limits.end; passed += limits.step) {
            const std::size_t due = plan.due(left, passed);
            RC_ASSERT(due <= left);
            const double remaining = std::chrono::duration<double>(limits.end - passed).count();
            if (remaining > span + 1e-9) RC_ASSERT(due == 0u);
            const double max_per_step = (fits ? rate : static_cast<double>(clients) / 2.4) * 0.02;
            RC_ASSERT(
                static_cast<double>(due) <= std::max(max_per_step, static_cast<double>(clients) / 20) + 2);
            left -= due;
        }
        RC_ASSERT(left == 0u);
    }));
}

// ---- overload ----

class OverloadTest : public ::testing::Test {
protected:
    using Verdict = Overload::Verdict;
    /// Passes `count` requests, one per millisecond, that each waited for `waited`. Returns the last verdict.
    Verdict judge_requests(int count, Span waited) {
        Verdict last = Verdict::Serve;
        for (int i = 0; i < count; ++i) last = overload.judge(waited, now += 1ms);
        return last;
    }
    OverloadLimits limits;
    Overload overload{limits};
    Instant now{1h};
};

TEST_F(OverloadTest, ABurstThatDrainsWithinAnIntervalIsNoOverload) {
    for (int round = 0; round < 10; ++round) {
        EXPECT_EQ(judge_requests(80, 300ms), Verdict::Serve);
        EXPECT_EQ(judge_requests(1, 5ms), Verdict::Serve);
    }
    EXPECT_FALSE(overload.overloaded());
}
TEST_F(OverloadTest, AStandingQueueIsOverloadAndLongWaitingRequestsAreRefused) {
    judge_requests(250, 300ms);
    EXPECT_TRUE(overload.overloaded());
    EXPECT_EQ(judge_requests(1, 300ms), Verdict::Refuse);
    EXPECT_EQ(judge_requests(1, 100ms), Verdict::Serve);  // its client is still waiting
    EXPECT_TRUE(overload.overloaded());
    judge_requests(1, 1ms);
    EXPECT_FALSE(overload.overloaded());
}
TEST_F(OverloadTest, AnIdlePeriodEndsTheOverload) {
    judge_requests(250, 300ms);
    now += 10s;
    EXPECT_EQ(judge_requests(1, 300ms), Verdict::Serve);
    EXPECT_FALSE(overload.overloaded());
}
TEST_F(OverloadTest, RequestsBeyondTheClientsPatienceAreDropped) {
    EXPECT_EQ(overload.judge(limits.patience, now), Verdict::Gone);
}
TEST_F(OverloadTest, RetryAfterIsSpreadAndGrowsWithTheOverload) {
    judge_requests(250, 300ms);
    std::map<long, int> buckets;
    const auto base = overload.told_wait(now).count();
    for (int i = 0; i < 100; ++i) ++buckets[overload.told_wait(now).count() * 10 / base];
    EXPECT_GE(buckets.size(), 8u);
    for (const auto& [bucket, count] : buckets) EXPECT_LE(count, 15);
    const auto early = overload.told_wait(now);
    for (int i = 0; i < 40; ++i) judge_requests(100, 300ms);
    EXPECT_GT(overload.told_wait(now), early);
    EXPECT_LE(overload.told_wait(now), 3 * limits.most_wait / 2);
}

}  // namespace
}  // namespace lockgw::admission
