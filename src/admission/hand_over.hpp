/// How a forwarder that is about to end hands its clients on: when each of them is let go.
///
/// Each of the others takes `per_s` new connections a second without its own clients noticing; no forwarder
/// is told more of them than how many there are. Clients are kept as long as they can be (who is handed on
/// early loads the others longer), and all are let go by `end`. Laws (tests/admission_test.cpp):
///  1. Nobody is let go before there would else be too little time: end - resting / (others x per_s).
///  2. After that, each step lets go an even part of those that rest, and the last step all.
///  3. Never more than others x per_s while the time allows; where it does not, evenly over all of it.
///
/// No I/O, no clock, one thread.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>

namespace lockgw::admission {

using Span = std::chrono::steady_clock::duration;

struct HandOverLimits {
    Span end = std::chrono::milliseconds(2400);   ///< from the order to end; all are let go by then
    Span step = std::chrono::milliseconds(20);    ///< between two lots
    Span least = std::chrono::milliseconds(400);  ///< spread over this, however few they are
    double per_s = 2000;                          ///< new connections a second that one other takes
};

class HandOver {
public:
    HandOver(const HandOverLimits& limits, std::size_t others)
        : limits_(limits), rate_(limits.per_s * static_cast<double>(std::max<std::size_t>(1, others))) {}

    const HandOverLimits& limits() const { return limits_; }
    /// How long it takes to let so many go.
    Span span(std::size_t resting) const {
        const std::chrono::duration<double> wanted(static_cast<double>(resting) / rate_);
        return std::clamp(std::chrono::duration_cast<Span>(wanted), limits_.least, limits_.end);
    }
    /// How many of those that rest are let go now, so long after the order.
    std::size_t due(std::size_t resting, Span passed) const {
        const Span left = limits_.end - passed;
        if (left <= limits_.step) return resting;
        if (left > span(resting)) return 0;
        const double part = static_cast<double>(limits_.step.count()) / static_cast<double>(left.count());
        return static_cast<std::size_t>(std::ceil(part * static_cast<double>(resting)));
    }

private:
    HandOverLimits limits_;
    double rate_;
};

}  // namespace lockgw::admission
