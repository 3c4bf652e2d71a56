/// Conversions between the decision module's time type and seconds.
#pragma once

#include <algorithm>
#include <cmath>

#include "cometspoke/sender.hpp"

namespace cometspoke {

inline double seconds(Time time) { return static_cast<double>(time.count()) / 1e6; }
/// Values above one million seconds are reduced to that.
inline Time from_seconds(double value) {
    return Time(static_cast<Time::rep>(std::llround(std::min(value, 1e6) * 1e6)));
}
/// Returns the interval between two events at `rate` per second; 0 for a rate of 0 or below.
inline Time interval_of(double rate) { return rate > 0 ? from_seconds(1.0 / rate) : Time(0); }

}  // namespace cometspoke
