/// The share of a destination's rate limit that one sender uses, as a multiple of the even share (the limit
/// divided by the number of senders).
///
/// Close to 1 while messages are queued here, because then they are queued at the other senders too. A sender
/// without a backlog may exceed its even share, in proportion to what remains of the limit. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>

namespace lockgw::rate_limits {

constexpr double kMinShare = 0.85;            // if nothing remains: refused calls count against the limit too
constexpr double kSlopeWithBacklog = 0.25;    // added per share remaining; small because reports arrive late
constexpr double kSlopeWithoutBacklog = 4.0;  // added per share remaining without a backlog
constexpr double kSlopeWithSharedReports = 2.0;  // in its place if all senders receive the same reports
constexpr double kAmpleRemaining = 0.7;  // above this remaining share the limit is far away: adds kAmpleSlope
constexpr double kAmpleSlope = 1.5;
constexpr std::size_t kMinBacklog = 2;  // messages queued here that count as a backlog

/// `remaining`: share of the limit that was unused (0 to 1). `held`: messages held for the destination, of
/// which `in_flight` have a call in flight. `shared`: the other senders receive the same reports.
inline double fair_share(double remaining, std::size_t held, int in_flight, bool shared) {
    if (held >= static_cast<std::size_t>(std::max(0, in_flight)) + kMinBacklog)
        return kMinShare + remaining * kSlopeWithBacklog;
    const double ample_bonus = shared ? std::max(0.0, remaining - kAmpleRemaining) * kAmpleSlope : 0.0;
    return kMinShare + remaining * (shared ? kSlopeWithSharedReports : kSlopeWithoutBacklog) + ample_bonus;
}

}  // namespace lockgw::rate_limits
