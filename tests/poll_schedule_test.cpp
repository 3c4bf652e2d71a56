#include "discovery/poll_schedule.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace lockgw {
namespace {

using namespace std::chrono_literals;
using Phase = PollSchedule::Phase;
using Result = PollSchedule::Result;

class PollScheduleTest : public ::testing::Test {
protected:
    PollScheduleTest() : schedule(limits(), 1) { schedule.set_enabled(true); }
    static PollSchedule::Limits limits() {
        PollSchedule::Limits limits;
        limits.hold = 1500ms;
        return limits;
    }
    PollSchedule::Steps after(std::chrono::milliseconds duration) {
        now += duration;
        return schedule.next_steps(now);
    }
    std::uint64_t start() {
        const auto steps = schedule.next_steps(now);
        EXPECT_TRUE(steps.start);
        return steps.start.value_or(0);
    }

    PollSchedule schedule;
    PollSchedule::Time now{1000s};
};

TEST_F(PollScheduleTest, StartsTheNextRequestWhenOneSucceeds) {
    const auto first = start();
    EXPECT_FALSE(schedule.next_steps(now).start);
    schedule.enter_phase(first, Phase::Waiting, now);
    now += 1500ms;
    schedule.finish(first, Result::Succeeded, now);
    EXPECT_EQ(schedule.next_due(), now);
    EXPECT_TRUE(schedule.next_steps(now).start);
}

// With fewer forwarders the hold becomes shorter. A request in flight has asked for the longer one and must
// not be overdue before that ends.
TEST_F(PollScheduleTest, NewHoldAppliesToLaterRequestsOnly) {
    const auto first = start();
    schedule.enter_phase(first, Phase::Waiting, now);
    auto shorter = limits();
    shorter.hold = 300ms;
    schedule.set_limits(shorter);
    EXPECT_FALSE(after(1600ms).start);
    const auto second = after(150ms).start;
    ASSERT_TRUE(second) << "200 ms after its own hold";
    schedule.finish(first, Result::Succeeded, now);
    schedule.finish(*second, Result::Succeeded, now);
    const auto next = start();
    schedule.enter_phase(next, Phase::Waiting, now);
    EXPECT_TRUE(after(501ms).start);
}

// The limits change while a request that asks for a short hold is still connecting.
TEST_F(PollScheduleTest, KeepsItsHoldWhenLimitsChangeWhileConnecting) {
    const auto first = start();
    auto longer = limits();
    longer.hold = 10'000ms;
    schedule.set_limits(longer);
    schedule.enter_phase(first, Phase::Waiting, now);
    EXPECT_FALSE(after(1600ms).start);
    EXPECT_TRUE(after(101ms).start) << "no answer 200 ms after the hold that was sent to the agent";
}

// A request for a full list asks for a shorter hold: if it hangs it must be overdue earlier than a long poll.
TEST_F(PollScheduleTest, SetHoldReplacesTheHoldOfTheLimits) {
    const auto first = start();
    schedule.set_hold(first, 300ms);
    schedule.enter_phase(first, Phase::Waiting, now);
    EXPECT_FALSE(after(499ms).start);
    const auto second = after(1ms).start;
    ASSERT_TRUE(second) << "200 ms after its own hold";
    schedule.enter_phase(*second, Phase::Waiting, now);
    EXPECT_EQ(after(800ms).cancel, std::vector<std::uint64_t>{first}) << "cancelled 1 s after its own hold";
}

// While a long answer is being processed it is neither overdue nor cancelled, and no second request is
// started.
TEST_F(PollScheduleTest, ProcessingNeverTimesOut) {
    const auto first = start();
    schedule.enter_phase(first, Phase::Reading, now);
    schedule.enter_phase(first, Phase::Processing, now);
    EXPECT_FALSE(schedule.next_due());
    const auto steps = after(60s);
    EXPECT_FALSE(steps.start);
    EXPECT_TRUE(steps.cancel.empty() && steps.inspect.empty());
    schedule.finish(first, Result::Failed, now);
    EXPECT_EQ(schedule.consecutive_failures(), 1u);
    EXPECT_TRUE(schedule.next_steps(now).start);
}

TEST_F(PollScheduleTest, StartsNothingWhileDisabled) {
    schedule.set_enabled(false);
    EXPECT_FALSE(schedule.next_steps(now).start);
    EXPECT_FALSE(schedule.next_due());
    schedule.set_enabled(true);
    EXPECT_TRUE(schedule.next_steps(now).start);
}

// From a recorded day: a request got no answer at all. The second one must not wait for the end of the first.
TEST_F(PollScheduleTest, StartsASecondRequestWhenOneIsOverdue) {
    const auto first = start();
    schedule.enter_phase(first, Phase::Waiting, now);
    EXPECT_FALSE(after(1699ms).start);
    const auto steps = after(1ms);
    EXPECT_TRUE(steps.cancel.empty());
    ASSERT_TRUE(steps.start);
    EXPECT_EQ(schedule.in_flight(), 2u);
    schedule.enter_phase(*steps.start, Phase::Waiting, now);
    const auto later = after(800ms);  // 1 s after its hold
    EXPECT_EQ(later.cancel, std::vector<std::uint64_t>{first});
    EXPECT_FALSE(later.start);
}

// An answer stops in the middle: the received part is inspected, a second request is started, the first
// cancelled.
TEST_F(PollScheduleTest, InspectsAnAnswerThatStops) {
    const auto first = start();
    schedule.enter_phase(first, Phase::Waiting, now);
    schedule.enter_phase(first, Phase::Reading, now);
    EXPECT_TRUE(after(149ms).inspect.empty());
    const auto steps = after(1ms);
    EXPECT_EQ(steps.inspect, std::vector<std::uint64_t>{first});
    ASSERT_TRUE(steps.start);
    schedule.enter_phase(*steps.start, Phase::Waiting, now);
    EXPECT_EQ(after(150ms).inspect, std::vector<std::uint64_t>{first});
    EXPECT_TRUE(after(1500ms).cancel.empty());
    EXPECT_EQ(after(200ms).cancel, std::vector<std::uint64_t>{first});
}

TEST_F(PollScheduleTest, NeverHasMoreThanTwoRequestsInFlight) {
    start();
    ASSERT_TRUE(after(150ms).start);
    const auto steps = after(150ms);
    EXPECT_EQ(steps.cancel.size(), 1u);
    EXPECT_EQ(schedule.in_flight(), steps.start ? 2u : 1u);
}

// With failures in a row the first one is retried at once, no later one after more than the platform's 200
// ms, and an agent that is down is not polled thousands of times.
TEST_F(PollScheduleTest, RetryDelaysAreShortAndBounded) {
    std::chrono::milliseconds longest_delay{0};
    int requests = 0;
    const auto end = now + 10s;
    while (now < end) {
        const auto steps = schedule.next_steps(now);
        if (steps.start) {
            ++requests;
            schedule.finish(*steps.start, Result::Failed, now);
        }
        const auto due = schedule.next_due();
        ASSERT_TRUE(due);
        longest_delay =
            std::max(longest_delay, std::chrono::duration_cast<std::chrono::milliseconds>(*due - now));
        if (requests == 1) {
            EXPECT_LE(*due, now);
        }
        now = std::max(now, *due);
    }
    EXPECT_LE(longest_delay, 100ms);
    EXPECT_GT(requests, 90);
    EXPECT_LT(requests, 120);
}

// 100 forwarders are refused together. With the short delays after failures each sent ten requests per
// second, and the agent, which can serve some tens of lists per second, stayed overloaded all day.
TEST_F(PollScheduleTest, OverloadDelaysSpreadManyForwarders) {
    constexpr int kForwarders = 100;
    std::vector<PollSchedule> schedules;
    for (std::uint64_t seed = 0; seed < kForwarders; ++seed) {
        schedules.emplace_back(limits(), seed);
        schedules.back().set_enabled(true);
    }
    std::map<int, int> by_tenth;  // requests started in each tenth of a second
    for (int tick = 0; tick < 2000; ++tick) {
        now += 10ms;
        for (PollSchedule& each : schedules)
            if (const auto steps = each.next_steps(now); steps.start) {
                ++by_tenth[tick / 10];
                each.finish(*steps.start, Result::Overloaded, now);
            }
    }
    EXPECT_EQ(by_tenth[0], kForwarders);
    int later_requests = 0;
    for (int tenth = 20; tenth < 200; ++tenth) {
        later_requests += by_tenth[tenth];
        EXPECT_LT(by_tenth[tenth], kForwarders / 4) << tenth;  // requests do not cluster
    }
    EXPECT_LT(later_requests, kForwarders * 18);      // less than one per second and forwarder
    EXPECT_GT(later_requests, kForwarders * 18 / 5);  // but every forwarder sends one within some seconds
}

// An agent that refuses is alive: the first delay is short, and after a success there is none.
TEST_F(PollScheduleTest, ResumesAtOnceAfterOverloadEnds) {
    schedule.finish(start(), Result::Overloaded, now);
    ASSERT_TRUE(schedule.next_due());
    EXPECT_GE(*schedule.next_due() - now, 100ms);
    EXPECT_LE(*schedule.next_due() - now, 200ms);
    now = *schedule.next_due();
    schedule.finish(start(), Result::Succeeded, now);
    EXPECT_TRUE(schedule.next_steps(now).start);
}

// Whatever the agent does, a request that is not overdue is in flight, or one is started within 200 ms.
TEST_F(PollScheduleTest, AlwaysHasATimelyRequestUnderRandomEvents) {
    const std::uint64_t seed = std::random_device{}();
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    for (int run = 0; run < 300; ++run) {
        schedule = PollSchedule(limits(), seed);
        schedule.set_enabled(true);
        std::set<std::uint64_t> in_flight;
        std::map<std::uint64_t, PollSchedule::Time> on_time_until;
        auto covered_until = now;
        for (int event = 0; event < 200; ++event) {
            const auto steps = schedule.next_steps(now);
            for (const auto one : steps.cancel) in_flight.erase(one), on_time_until.erase(one);
            if (steps.start) {
                in_flight.insert(*steps.start);
                on_time_until[*steps.start] = now + 150ms;
            }
            ASSERT_LE(in_flight.size(), PollSchedule::kMaxInFlight);
            ASSERT_EQ(in_flight.size(), schedule.in_flight());
            for (const auto& [one, until] : on_time_until) covered_until = std::max(covered_until, until);
            ASSERT_LE(now, covered_until + 200ms);
            const auto due = schedule.next_due();
            ASSERT_TRUE(due);
            ASSERT_GT(*due, now - 1ms);
            // either a report of progress comes before the next due time, or that time comes
            if (!in_flight.empty() && random() % 3 != 0) {
                const auto one =
                    *std::next(in_flight.begin(), static_cast<long>(random() % in_flight.size()));
                now += std::min<PollSchedule::Clock::duration>(
                    *due - now, std::chrono::milliseconds(random() % 50));
                switch (random() % 4) {
                    case 0:
                        schedule.enter_phase(one, Phase::Waiting, now), on_time_until[one] = now + 1700ms;
                        break;
                    case 1:
                        schedule.enter_phase(one, Phase::Reading, now), on_time_until[one] = now + 150ms;
                        break;
                    default:
                        schedule.finish(one, random() % 2 ? Result::Succeeded : Result::Failed, now);
                        in_flight.erase(one), on_time_until.erase(one);
                        covered_until = now;
                }
            } else {
                now = std::max(now, *due);
            }
        }
    }
}

// ---- slow answers ----

class PollScheduleSlowAnswers : public PollScheduleTest {
protected:
    PollScheduleSlowAnswers() {
        auto slow = limits();
        slow.max_pause = 2000ms;
        slow.slow_read_timeout = 10'000ms;
        schedule.set_limits(slow);
    }
    /// Passes `duration` in steps of 10 ms. Each new request starts to receive its answer at once; those in
    /// flight receive a part of it in each step, except for `silent`.
    void receive_for(std::chrono::milliseconds duration, const std::set<std::uint64_t>& silent = {}) {
        for (const auto end = now + duration; now < end;) {
            const auto steps = after(10ms);
            for (const auto one : steps.cancel) in_flight.erase(one), cancelled[one] = now;
            if (steps.start) {
                schedule.enter_phase(*steps.start, Phase::Reading, now);
                in_flight.insert(*steps.start);
                starts.push_back(now);
            }
            most_in_flight = std::max(most_in_flight, schedule.in_flight());
            for (const auto one : in_flight)
                if (!silent.contains(one)) schedule.record_progress(one, now);
        }
    }
    void finish(std::uint64_t request, Result result) {
        schedule.finish(request, result, now);
        in_flight.erase(request);
    }

    std::set<std::uint64_t> in_flight;
    std::map<std::uint64_t, PollSchedule::Time> cancelled;
    std::vector<PollSchedule::Time> starts;
    std::size_t most_in_flight = 0;
};

// Issue 61 C: an agent that needs a second for its list was asked again every 150 ms, each answer was given
// up for the next but one, and no list was ever received.
TEST_F(PollScheduleSlowAnswers, ReceivesASlowAnswerToItsEndAndAsksBesideIt) {
    receive_for(5000ms);
    EXPECT_FALSE(cancelled.contains(1));
    EXPECT_FALSE(cancelled.contains(2)) << "the first answer may fail at its end";
    EXPECT_EQ(most_in_flight, PollSchedule::kMaxInFlightBesideAnswer);
    EXPECT_LE(starts.size(), 10u);
    EXPECT_GE(starts.size(), 6u) << "a newer answer may be quicker";
    for (std::size_t i = 1; i < starts.size(); ++i) EXPECT_LE(starts[i] - starts[i - 1], 1010ms);
    finish(1, Result::Succeeded);
    EXPECT_EQ(schedule.consecutive_failures(), 0u);
}

TEST_F(PollScheduleSlowAnswers, AnAnswerThatNeverEndsIsCancelledAtItsLimit) {
    receive_for(11s);
    ASSERT_TRUE(cancelled.contains(1));
    EXPECT_GE(cancelled.at(1) - starts.front(), 10s);
    EXPECT_LE(cancelled.at(1) - starts.front(), 10'020ms);
    EXPECT_LE(starts.size(), 16u);
}

TEST_F(PollScheduleSlowAnswers, AnAnswerThatStopsGrowingIsLost) {
    receive_for(3000ms);
    receive_for(2100ms, {1});
    ASSERT_TRUE(cancelled.contains(1));
    EXPECT_GE(cancelled.at(1) - starts.front(), 4900ms) << "its pause may be as long as max_pause";
}

// An answer that stopped makes room for another request as soon as it is overdue, and the slow one is kept.
TEST_F(PollScheduleSlowAnswers, AnswersThatStopMakeRoomBesideASlowOne) {
    std::set<std::uint64_t> all_but_the_first;
    for (std::uint64_t one = 2; one < 100; ++one) all_but_the_first.insert(one);
    receive_for(4000ms, all_but_the_first);
    EXPECT_FALSE(cancelled.contains(1));
    EXPECT_TRUE(cancelled.contains(2));
    EXPECT_LE(starts.size(), 9u);
    for (std::size_t i = 1; i < starts.size(); ++i) EXPECT_LE(starts[i] - starts[i - 1], 1110ms);
}

// An answer in bursts looks like one that stopped until its second burst comes.
TEST_F(PollScheduleSlowAnswers, ReceivesAnAnswerInBurstsToItsEnd) {
    for (int burst = 0; burst < 3; ++burst) {
        std::set<std::uint64_t> all;
        for (std::uint64_t one = 1; one < 100; ++one) all.insert(one);
        receive_for(1650ms, all);
        schedule.record_progress(1, now);
    }
    EXPECT_FALSE(cancelled.contains(1));
    EXPECT_LE(starts.size(), 16u);
    for (std::size_t i = 1; i < starts.size(); ++i) EXPECT_LE(starts[i] - starts[i - 1], 1110ms);
}

// After a success the next slow answer is again asked beside without delay.
TEST_F(PollScheduleSlowAnswers, ASuccessResetsTheIntervalOfParallelRequests) {
    receive_for(4000ms);
    while (!in_flight.empty()) finish(*in_flight.begin(), Result::Succeeded);
    starts.clear();
    receive_for(1000ms);
    ASSERT_GE(starts.size(), 4u);
    EXPECT_LE(starts[2] - starts[0], 350ms);
}

// Whatever the agent does, a request that is not overdue is in flight, or one is started within 200 ms; while
// a slow answer is being received, within max_parallel_interval. No answer that grows steadily from the start
// is cancelled before its limit while it is the oldest.
TEST_F(PollScheduleSlowAnswers, KeepsItsLawsUnderRandomEvents) {
    const std::uint64_t seed = std::random_device{}();
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    auto slow = limits();
    slow.max_pause = 2000ms;
    slow.slow_read_timeout = 10'000ms;
    const auto kMaxParallelInterval = slow.max_parallel_interval + slow.max_retry_delay;
    for (int run = 0; run < 300; ++run) {
        schedule = PollSchedule(slow, seed + static_cast<std::uint64_t>(run));
        schedule.set_enabled(true);
        struct Request {
            PollSchedule::Time on_time_until, first_byte, last_bytes;
            bool reading = false;
        };
        std::map<std::uint64_t, Request> requests;
        auto last_start = now, covered_until = now;
        for (int event = 0; event < 400; ++event) {
            const auto oldest_slow = std::find_if(requests.begin(), requests.end(), [&](const auto& entry) {
                const Request& one = entry.second;
                return one.reading && one.last_bytes >= one.first_byte + 150ms &&
                       one.last_bytes + 2000ms > now && one.first_byte + 10s > now;
            });
            const bool beside_slow = oldest_slow != requests.end();
            const std::uint64_t kept = beside_slow ? oldest_slow->first : 0;
            const auto steps = schedule.next_steps(now);
            for (const auto one : steps.cancel) {
                ASSERT_NE(one, kept) << "run " << run << " event " << event;
                requests.erase(one);
            }
            if (steps.start) {
                requests[*steps.start] = {now + 150ms, {}, {}, false};
                last_start = now;
            }
            ASSERT_EQ(requests.size(), schedule.in_flight());
            ASSERT_LE(requests.size(), PollSchedule::kMaxInFlightBesideAnswer);
            for (const auto& [number, one] : requests)
                covered_until = std::max(covered_until, one.on_time_until);
            if (beside_slow) {
                ASSERT_LE(now, std::max(covered_until + 200ms, last_start + kMaxParallelInterval))
                    << "run " << run << " event " << event;
                covered_until = std::max(covered_until, now);
            }
            ASSERT_LE(now, covered_until + 200ms) << "run " << run << " event " << event;
            const auto due = schedule.next_due();
            ASSERT_TRUE(due);
            ASSERT_GT(*due, now);
            if (requests.empty() || random() % 4 == 0) {
                now = *due;
                continue;
            }
            auto& [number, one] = *std::next(requests.begin(), static_cast<long>(random() % requests.size()));
            now +=
                std::min<PollSchedule::Clock::duration>(*due - now, std::chrono::milliseconds(random() % 50));
            const auto kind = random() % 12;
            if (one.reading && kind > 0) {
                schedule.record_progress(number, now);
                one.last_bytes = now;
            } else if (kind < 2) {
                schedule.finish(number, random() % 2 ? Result::Succeeded : Result::Failed, now);
                requests.erase(number);
                covered_until = now;
            } else if (kind < 4) {
                schedule.enter_phase(number, Phase::Waiting, now);
                one.on_time_until = now + 1700ms;
            } else {
                schedule.enter_phase(number, Phase::Reading, now);
                one = {now + 150ms, now, now, true};
            }
        }
    }
}

// On a busy machine a step may be late, with several things due. A request that is cancelled to make room
// must not be inspected as well: the poller failed on that, polling ended, and drains were not received any
// more.
TEST_F(PollScheduleTest, LateStepListsNoRequestTwice) {
    std::mt19937 random(7);
    for (int run = 0; run < 2000; ++run) {
        schedule.reset();
        for (int i = 0; i < 8; ++i) {
            const auto steps = after(std::chrono::milliseconds(random() % 700));
            std::set<std::uint64_t> listed(steps.cancel.begin(), steps.cancel.end());
            listed.insert(steps.inspect.begin(), steps.inspect.end());
            ASSERT_EQ(listed.size(), steps.cancel.size() + steps.inspect.size()) << "run " << run;
            if (steps.start) schedule.enter_phase(*steps.start, Phase::Reading, now);
        }
    }
}

}  // namespace
}  // namespace lockgw
