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
    std::optional<double> memory_share;
    std::optional<std::int64_t> read_kb_per_s, read_burst_kb, read_turn_kb;
    std::optional<std::int64_t> hand_over_ms;
    std::optional<double> hand_over_per_s;

    bool operator==(const DoorRow&) const = default;
};

}  // namespace lockgw::config
