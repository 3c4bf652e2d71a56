/// How many calls a destination that is back from an outage may get, and how much of that it got.
///
/// It is cold at first: its capacity rises evenly from a share of its limit to all of it. Within any window
/// the senders together may send a multiple of what it can serve then, N, and by chance up to
/// N + 2 sqrt(N) + 2. Counted at the destination, over all senders, whatever each of them knew.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace lockgw::lab {

struct ReturnBudget {
    double limit_per_s = 0;   ///< calls that the warm destination serves
    double multiple = 2.5;    ///< Settings::fall_multiple
    double cold_share = 1.0;  ///< Settings::cold_from: of the limit, at the instant of the return
    double window_s = 2.0;    ///< Settings::fall
    double warm_s = 0.0;      ///< Settings::warm_within: from the return until it serves all of its limit

    /// Of the window that begins `age_s` after the return; its capacity is taken at the window's middle.
    double most_calls(double age_s) const {
        const double warm = warm_s > 0 ? std::min(1.0, (age_s + window_s / 2) / warm_s) : 1.0;
        const double capacity = limit_per_s * (cold_share + (1 - cold_share) * warm);
        const double allowed = multiple * capacity * window_s;
        return allowed + 2 * std::sqrt(allowed) + 2;
    }
};

/// The calls of the fullest window that begins while the destination warms up, as a share of what it may get;
/// 0 without calls. `calls_s`: seconds since the return, in order.
inline double most_of_allowed(const std::vector<double>& calls_s, const ReturnBudget& budget) {
    double most = 0;
    std::size_t end = 0;
    for (std::size_t first = 0; first < calls_s.size() && calls_s[first] < budget.warm_s; ++first) {
        while (end < calls_s.size() && calls_s[end] < calls_s[first] + budget.window_s) ++end;
        most = std::max(most, static_cast<double>(end - first) / budget.most_calls(calls_s[first]));
    }
    return most;
}

}  // namespace lockgw::lab
