/// A moment on the clocks that go on while a process is down, and what lies between two of them.
///
/// The steady clock cannot be set, but begins anew with the machine; the wall clock goes on, but can be set.
/// No I/O: moments are the caller's.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace lockgw {

struct Moment {
    std::chrono::microseconds steady{0};
    std::chrono::microseconds wall{0};  ///< since 1970
    std::uint64_t boot = 0;             ///< the same while the machine runs; 0: not known
    bool operator==(const Moment&) const = default;
};

/// So much later, on both clocks.
inline Moment operator+(Moment moment, std::chrono::microseconds span) {
    moment.steady += span;
    moment.wall += span;
    return moment;
}

/// Whether the steady clock can tell what lies between the two.
inline bool same_boot(const Moment& one, const Moment& other) {
    return one.boot != 0 && one.boot == other.boot;
}

/// From `then` to `now`: by the steady clock where the machine has run on, so that a step of the wall clock
/// says nothing; by the wall clock else. None where `then` lies in the future of both: nobody knows how long
/// it is ago.
inline std::optional<std::chrono::microseconds> elapsed(const Moment& then, const Moment& now) {
    if (same_boot(then, now) && then.steady <= now.steady) return now.steady - then.steady;
    if (then.wall <= now.wall) return now.wall - then.wall;
    return std::nullopt;
}

/// From `now` to `later`, which may be past (negative): by the steady clock where the machine has run on, by
/// the wall clock else.
inline std::chrono::microseconds until(const Moment& later, const Moment& now) {
    return same_boot(later, now) ? later.steady - now.steady : later.wall - now.wall;
}

}  // namespace lockgw
