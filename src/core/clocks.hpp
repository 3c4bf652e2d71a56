/// The clocks that the core goes by.
#pragma once

#include <chrono>

#include "store/journal.hpp"

namespace lockgw {

/// The module's: it only advances, and all processes of a machine share it.
inline cometspoke::Time steady_now() {
    return std::chrono::duration_cast<cometspoke::Time>(std::chrono::steady_clock::now().time_since_epoch());
}
inline Wall wall_now() {
    return std::chrono::time_point_cast<Wall::duration>(std::chrono::system_clock::now());
}
inline std::int64_t unix_ms() {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

}  // namespace lockgw
