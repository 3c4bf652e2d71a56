/// The own part of a limit that answers tell, in even parts of those who share it.
///
/// It is near an even one while messages wait here, for then they wait at the others too; who has none
/// waiting may go faster, by what is left. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>

namespace lockgw::knowledge {

constexpr double kToldPart = 0.85;   // nothing left: refused calls use the limit up, so a little less
constexpr double kToldSlope = 0.25;  // more with what is left: slow, for news of it comes late
constexpr double kFreeSlope = 4.0;   // the same with no backlog,
constexpr double kFreeShared = 2.0;  // and where all go by the same news
constexpr double kMuchLeft = 0.7;    // above that faster: the limit is nowhere near
constexpr double kMuchSlope = 1.5;
constexpr std::size_t kLeastBacklog = 2;  // messages that wait

/// `left`: the share of the limit that was left; `held` messages, of which `out` are out; `shared`: the
/// others hear the same news.
inline double own_part(double left, std::size_t held, int out, bool shared) {
    if (held >= static_cast<std::size_t>(std::max(0, out)) + kLeastBacklog)
        return kToldPart + left * kToldSlope;
    const double much = shared ? std::max(0.0, left - kMuchLeft) * kMuchSlope : 0.0;
    return kToldPart + left * (shared ? kFreeShared : kFreeSlope) + much;
}

}  // namespace lockgw::knowledge
