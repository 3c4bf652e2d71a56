/// The budget of a destination that warms up, as the time until the next call.
#pragma once

#include <algorithm>
#include <cmath>

#include "base/units.hpp"

namespace cometspoke {

/// Seconds until the next call where `step` is the gap between two at a destination that is cold, and its
/// capacity rises evenly from Settings::cold_from to all of it. `back`: seconds until it returns; below 0: it
/// has been back for so long.
inline double warming_gap(const Settings& settings, double step, double back) {
    const double warm = seconds(settings.warm_within);
    if (warm <= 0 || settings.cold_from >= 1) return step;
    const double rise = (1.0 / settings.cold_from - 1.0) / warm;
    const double flat = std::clamp(back, 0.0, step);
    const double since = std::max(0.0, -back);
    const double due = since + rise * since * since / 2.0 + step - flat;
    return flat + (std::sqrt(1.0 + 2.0 * rise * due) - 1.0) / rise - since;
}

}  // namespace cometspoke
