/// The clocks of the core, read from the system.
#pragma once

#include <chrono>
#include <fstream>
#include <functional>
#include <string>

#include "base/clocks.hpp"
#include "store/journal.hpp"

namespace lockgw {

/// The steady clock, on which all times of the decision module are. It only advances, and all processes of a
/// machine share it.
inline cometspoke::Time steady_now() {
    return std::chrono::duration_cast<cometspoke::Time>(std::chrono::steady_clock::now().time_since_epoch());
}
/// Now, on all clocks that continue while the process is down, with the id of the machine's boot.
inline Moment moment_now() {
    static const std::uint64_t boot = [] {
        std::string id;
        std::ifstream("/proc/sys/kernel/random/boot_id") >> id;
        return id.empty() ? 0 : std::hash<std::string>()(id);
    }();
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return {steady_now(), std::chrono::duration_cast<std::chrono::microseconds>(wall), boot};
}
/// Unix time in milliseconds.
inline std::int64_t unix_ms() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

}  // namespace lockgw
