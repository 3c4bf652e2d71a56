#include "core/door_limits.hpp"

#include <algorithm>
#include <chrono>
#include <type_traits>

namespace lockgw {
namespace {

constexpr double kMemoryShare = 0.25;
constexpr std::size_t kKilobyte = 1024;

template <class Value, class Told>
void take(Value& value, const std::optional<Told>& told) {
    if (!told) return;
    if constexpr (std::is_same_v<Told, std::int64_t>)
        value = std::chrono::milliseconds(*told);
    else
        value = *told;
}
template <class Value>
void take_kilobytes(Value& value, const std::optional<std::int64_t>& told) {
    if (told) value = static_cast<Value>(static_cast<std::size_t>(*told) * kKilobyte);
}

}  // namespace

admission::DoorLimits door_limits(std::size_t most, const config::DoorRow& told) {
    admission::DoorLimits limits;
    limits.most = most;
    take(limits.doorstep, told.doorstep), take(limits.unproved, told.unproved);
    take(limits.owner_share, told.owner_share), take(limits.short_from, told.short_from);
    take(limits.grace, told.grace_ms), take(limits.silent, told.silent_ms);
    take(limits.partly, told.partly_ms), take(limits.unread, told.unread_ms);
    take(limits.idle, told.idle_ms), take(limits.idle_probed, told.idle_probed_ms);
    take(limits.idle_once, told.idle_once_ms), take(limits.idle_regular, told.idle_regular_ms);
    return limits;
}

admission::OverloadLimits overload_limits(const config::DoorRow& told) {
    admission::OverloadLimits limits;
    take(limits.target, told.overload_target_ms), take(limits.patience, told.patience_ms);
    take(limits.least_wait, told.least_wait_ms), take(limits.most_wait, told.most_wait_ms);
    return limits;
}

admission::ReadLimits read_limits(const config::DoorRow& told) {
    admission::ReadLimits limits;
    take_kilobytes(limits.per_s, told.read_kb_per_s), take_kilobytes(limits.burst, told.read_burst_kb);
    take_kilobytes(limits.turn, told.read_turn_kb);
    return limits;
}

admission::HandOverLimits hand_over_limits(const config::DoorRow& told) {
    admission::HandOverLimits limits;
    take(limits.end, told.hand_over_ms), take(limits.per_s, told.hand_over_per_s);
    limits.least = std::min(limits.least, limits.end);
    return limits;
}

std::size_t door_memory(std::size_t memory_bytes, const config::DoorRow& told) {
    return static_cast<std::size_t>(
        static_cast<double>(memory_bytes) * told.memory_share.value_or(kMemoryShare));
}

}  // namespace lockgw
