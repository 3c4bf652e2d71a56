#include "core/descriptor_budget.hpp"

#include <algorithm>
#include <utility>

namespace lockgw {
namespace {

constexpr std::size_t kSuccessorDescriptors = 24;  // for a process that is about to take over
constexpr std::size_t kConsoleDescriptors = 20;    // for the console, and for storing an order
constexpr std::size_t kOtherDescriptors = 32;      // for everything but clients and targets

std::size_t other_descriptors(const Config& config) {
    return kOtherDescriptors + (config.console ? std::min(kConsoleDescriptors, config.sockets / 8) : 0) +
           (config.listen_fd ? std::min(kSuccessorDescriptors, config.sockets / 8) : 0);
}

}  // namespace

std::size_t max_target_connections(const Config& config) {
    const std::size_t wanted = std::max(config.sockets / 4, config.settings.slots * 3 / 2);
    return std::min(wanted, (config.sockets - other_descriptors(config)) / 2);
}
std::size_t max_client_connections(const Config& config) {
    return config.sockets - max_target_connections(config) - other_descriptors(config);
}

Config limit_slots_to_descriptors(Config config) {
    config.settings.slots = std::min(config.settings.slots, max_target_connections(config));
    return config;
}

}  // namespace lockgw
