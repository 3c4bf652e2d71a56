/// The operator's limits at the door; what is absent stays as the program has it.
#pragma once

#include <cstdint>
#include <optional>

namespace lockgw::config {

/// Of src/admission; docs/operators/door.md.
struct DoorRow {
    std::optional<double> doorstep, unproved, owner_share, short_from;
    std::optional<std::int64_t> grace_ms, silent_ms, partly_ms, unread_ms, idle_ms, idle_probed_ms,
        idle_once_ms, idle_regular_ms;
    std::optional<std::int64_t> overload_target_ms, patience_ms, least_wait_ms, most_wait_ms;
};

}  // namespace lockgw::config
