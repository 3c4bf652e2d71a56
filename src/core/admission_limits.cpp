#include "core/admission_limits.hpp"

#include <algorithm>
#include <chrono>
#include <type_traits>

namespace lockgw {
namespace {

constexpr double kMemoryShare = 0.25;
constexpr std::size_t kKilobyte = 1024;

template <class Value, class Configured>
void apply(Value& value, const std::optional<Configured>& configured) {
    if (!configured) return;
    if constexpr (std::is_same_v<Configured, std::int64_t>)
        value = std::chrono::milliseconds(*configured);
    else
        value = *configured;
}
template <class Value>
void apply_kilobytes(Value& value, const std::optional<std::int64_t>& configured) {
    if (configured) value = static_cast<Value>(static_cast<std::size_t>(*configured) * kKilobyte);
}

}  // namespace

admission::DoorLimits connection_limits(std::size_t max_connections, const config::DoorRow& configured) {
    admission::DoorLimits limits;
    limits.most = max_connections;
    apply(limits.doorstep, configured.doorstep), apply(limits.unproved, configured.unproved);
    apply(limits.owner_share, configured.owner_share), apply(limits.short_from, configured.short_from);
    apply(limits.grace, configured.grace_ms), apply(limits.silent, configured.silent_ms);
    apply(limits.partly, configured.partly_ms), apply(limits.unread, configured.unread_ms);
    apply(limits.idle, configured.idle_ms), apply(limits.idle_probed, configured.idle_probed_ms);
    apply(limits.idle_once, configured.idle_once_ms), apply(limits.idle_regular, configured.idle_regular_ms);
    return limits;
}

admission::OverloadLimits overload_limits(const config::DoorRow& configured) {
    admission::OverloadLimits limits;
    apply(limits.target, configured.overload_target_ms), apply(limits.patience, configured.patience_ms);
    apply(limits.least_wait, configured.least_wait_ms), apply(limits.most_wait, configured.most_wait_ms);
    return limits;
}

admission::ReadLimits read_limits(const config::DoorRow& configured) {
    admission::ReadLimits limits;
    apply_kilobytes(limits.per_s, configured.read_kb_per_s),
        apply_kilobytes(limits.burst, configured.read_burst_kb);
    apply_kilobytes(limits.turn, configured.read_turn_kb);
    return limits;
}

admission::HandOverLimits hand_over_limits(const config::DoorRow& configured) {
    admission::HandOverLimits limits;
    apply(limits.end, configured.hand_over_ms), apply(limits.per_s, configured.hand_over_per_s);
    limits.least = std::min(limits.least, limits.end);
    return limits;
}

std::size_t client_memory_limit(std::size_t memory_bytes, const config::DoorRow& configured) {
    return static_cast<std::size_t>(
        static_cast<double>(memory_bytes) * configured.memory_share.value_or(kMemoryShare));
}

}  // namespace lockgw
