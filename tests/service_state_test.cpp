// Whether a front serves its clients, and how it lets them go: every order of events up to a depth, against
// the rules that operators are told.
#include "admission/service_state.hpp"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

namespace lockgw::admission {
namespace {

using namespace std::chrono_literals;
using Service = ServiceState::Service;

constexpr std::size_t kResting = 10;
constexpr Span kEnd = 60ms, kStep = 20ms;

HandOver plan() {
    HandOverLimits limits;
    limits.end = kEnd, limits.step = kStep, limits.least = kStep;
    return {limits, 1};
}

/// What operators and clients have to see, kept beside the state.
struct Expected {
    bool in_service = true, ending = false, closed = false;
    ServiceState::TimePoint since{};  ///< when the present letting go began
};

enum class Event { OrderOut, OrderIn, Step, LateStep, BeginEnd, Close };
constexpr std::array kEvents{
    Event::OrderOut, Event::OrderIn, Event::Step, Event::LateStep, Event::BeginEnd, Event::Close};
constexpr std::array kNames{"out", "in", "step", "late step", "end", "close"};
constexpr std::size_t kDepth = 7;
constexpr Span kHoldUp = 150ms;

class Enumeration {
public:
    std::size_t run() {
        explore(ServiceState(), Expected(), ServiceState::TimePoint(1s), 0);
        return sequences_;
    }

private:
    void explore(
        const ServiceState& state, const Expected& expected, ServiceState::TimePoint now, std::size_t depth) {
        ++sequences_;
        if (depth == kDepth || ::testing::Test::HasFailure()) return;
        for (const Event event : kEvents) {
            ServiceState next = state;
            Expected then = expected;
            path_.push_back(event);
            const auto at = now + (event == Event::LateStep ? kHoldUp : kStep);
            apply(event, next, then, at);
            check(next, then);
            explore(next, then, at, depth + 1);
            path_.pop_back();
        }
    }
    void apply(Event event, ServiceState& state, Expected& expected, ServiceState::TimePoint now) {
        switch (event) {
            case Event::OrderOut:
            case Event::OrderIn:
                return order(event == Event::OrderIn, state, expected, now);
            case Event::Step:
            case Event::LateStep:
                return step(state, expected, now);
            case Event::BeginEnd:
                if (expected.ending) return;
                state.begin_end(plan(), now);
                expected.ending = true, expected.since = now;
                return;
            case Event::Close:
                state.close();
                expected.closed = true;
        }
    }
    void order(bool in, ServiceState& state, Expected& expected, ServiceState::TimePoint now) {
        const bool step_due = state.order(in, plan(), now);
        if (expected.closed) return;
        const bool changes = in != expected.in_service;
        EXPECT_EQ(step_due, changes && !in && !expected.ending) << path();
        expected.in_service = in;
        if (step_due) expected.since = now;
    }
    void step(ServiceState& state, Expected& expected, ServiceState::TimePoint now) {
        const bool was_out = state.service() == Service::Out;
        const auto step = state.step(kResting, now);
        const bool letting_go = !expected.closed && (expected.ending || (!expected.in_service && !was_out));
        const bool over = letting_go && now - expected.since >= kEnd;
        EXPECT_EQ(step.close_door, over && expected.ending) << path();
        EXPECT_EQ(step.let_all_go, over && !expected.ending) << path();
        EXPECT_EQ(step.next.has_value(), letting_go && !over) << path();
        if (!letting_go) {
            EXPECT_EQ(step.let_go, 0u) << path();
        }
        if (step.close_door) state.close(), expected.closed = true;
    }
    void check(const ServiceState& state, const Expected& expected) {
        EXPECT_EQ(state.service() == Service::In, expected.in_service) << path();
        EXPECT_EQ(state.closed(), expected.closed) << path();
        EXPECT_EQ(state.ending(), expected.ending) << path();
    }
    std::string path() const {
        std::string text;
        for (const Event event : path_) text += std::string(kNames[static_cast<std::size_t>(event)]) + ", ";
        return text;
    }

    std::vector<Event> path_;
    std::size_t sequences_ = 0;
};

// Guards against review case 1: a step that came behind an order back into service closed the door for good.
TEST(ServiceStateTest, EveryOrderOfEventsKeepsTheOrdersOfOperators) {
    EXPECT_GT(Enumeration().run(), 300'000u);
}

TEST(ServiceStateTest, LetsGoInStepsAndThenAllAtOnce) {
    ServiceState state;
    const ServiceState::TimePoint start(1s);
    ASSERT_TRUE(state.order(false, plan(), start));
    EXPECT_EQ(state.service(), Service::Leaving);
    EXPECT_EQ(state.step(kResting, start).next, kStep);
    EXPECT_EQ(state.step(kResting, start + kEnd - kStep).let_go, kResting);
    EXPECT_TRUE(state.step(kResting, start + kEnd).let_all_go);
    EXPECT_EQ(state.service(), Service::Out);
    EXPECT_FALSE(state.step(kResting, start + 2 * kEnd).let_all_go);
}

}  // namespace
}  // namespace lockgw::admission
