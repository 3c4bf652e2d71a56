/// What is left of a message's worth when it is served late.
#pragma once

#include <algorithm>
#include <cmath>

#include "base/units.hpp"

namespace cometspoke {

/// Of a message born at `born`, served at `served`, before its deadline: 1 inside the aim of its class.
inline double worth_left(const ClassSettings& kind, LateWorth how, Time born, Time served) {
    const Time late = served - born - kind.aim;
    if (late <= Time(0)) return 1.0;
    const double aims_late = seconds(late) / std::max(seconds(Time(1000)), seconds(kind.aim));
    if (how == LateWorth::Halving) return std::max(kind.late_worth, std::exp2(-aims_late));
    return 1.0 - (1.0 - kind.late_worth) * seconds(late) / seconds(kind.deadline - kind.aim);
}

}  // namespace cometspoke
