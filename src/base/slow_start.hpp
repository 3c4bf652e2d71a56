/// Slow start of a destination that has recovered, as the interval until its next call.
#pragma once

#include <algorithm>
#include <cmath>

#include "base/units.hpp"

namespace cometspoke {

/// Returns the seconds until the next call to a destination whose capacity rises linearly from
/// Settings::cold_from to 1 within Settings::warm_within. `cold_interval_s`: interval between two calls at
/// the initial capacity. `until_recovery_s`: seconds until the destination recovers; negative if it recovered
/// that long ago.
inline double slow_start_interval(const Settings& settings, double cold_interval_s, double until_recovery_s) {
    const double window = seconds(settings.warm_within);
    if (window <= 0 || settings.cold_from >= 1) return cold_interval_s;
    const double slope = (1.0 / settings.cold_from - 1.0) / window;
    const double constant_part = std::clamp(until_recovery_s, 0.0, cold_interval_s);
    const double since = std::max(0.0, -until_recovery_s);
    const double due = since + slope * since * since / 2.0 + cold_interval_s - constant_part;
    return constant_part + (std::sqrt(1.0 + 2.0 * slope * due) - 1.0) / slope - since;
}

}  // namespace cometspoke
