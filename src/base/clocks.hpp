/// Times that stay comparable across a restart of the process, and the difference between two of them.
///
/// The steady clock cannot be set, but starts anew when the machine boots; the wall clock continues, but can
/// be set. No I/O: the caller supplies the times.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace lockgw {

struct Moment {
    std::chrono::microseconds steady{0};
    std::chrono::microseconds wall{0};  ///< since 1970
    std::uint64_t boot_id = 0;          ///< constant from one boot of the machine to the next; 0: unknown
    bool operator==(const Moment&) const = default;
};

/// Adds `span` to both clocks.
inline Moment operator+(Moment moment, std::chrono::microseconds span) {
    moment.steady += span;
    moment.wall += span;
    return moment;
}

/// Returns whether both times are from the same boot, so that their steady clocks are comparable.
inline bool same_boot(const Moment& first, const Moment& second) {
    return first.boot_id != 0 && first.boot_id == second.boot_id;
}

/// Returns the time from `then` to `now`. Within one boot the steady clock decides, so that a step of the
/// wall clock has no effect; otherwise the wall clock does. None if `then` is in the future of both clocks:
/// the time that has passed is unknown.
inline std::optional<std::chrono::microseconds> elapsed(const Moment& then, const Moment& now) {
    if (same_boot(then, now) && then.steady <= now.steady) return now.steady - then.steady;
    if (then.wall <= now.wall) return now.wall - then.wall;
    return std::nullopt;
}

/// Returns the time from `now` to `later`, negative if `later` has passed: by the steady clock within one
/// boot, by the wall clock otherwise.
inline std::chrono::microseconds time_until(const Moment& later, const Moment& now) {
    return same_boot(later, now) ? later.steady - now.steady : later.wall - now.wall;
}

}  // namespace lockgw
