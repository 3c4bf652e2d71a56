/// Decay of a message's value when it is delivered after its aim.
#pragma once

#include <algorithm>
#include <cmath>

#include "base/units.hpp"

namespace cometspoke {

/// Returns the share of its value that a message created at `created_at` still has at `served_at`, which is
/// before its deadline. 1 within the aim of its class.
inline double remaining_value(
    const ClassSettings& message_class, LateWorth decay, Time created_at, Time served_at) {
    const Time late = served_at - created_at - message_class.aim;
    if (late <= Time(0)) return 1.0;
    const double aims_late = seconds(late) / std::max(seconds(Time(1000)), seconds(message_class.aim));
    if (decay == LateWorth::Halving) return std::max(message_class.late_worth, std::exp2(-aims_late));
    return 1.0 - (1.0 - message_class.late_worth) * seconds(late) /
                     seconds(message_class.deadline - message_class.aim);
}

}  // namespace cometspoke
