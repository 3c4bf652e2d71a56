/// The budget of file descriptors: how a forwarder divides them between clients, targets and everything else.
#pragma once

#include "config/config.hpp"

namespace lockgw {

/// Connections to targets: one for each concurrent call and some idle ones, but at most half of what the rest
/// of the process leaves.
std::size_t max_target_connections(const Config& config);
/// Connections of clients: all that is left.
std::size_t max_client_connections(const Config& config);
/// The configuration with Settings::slots lowered to the descriptors that calls can have, so that the module
/// does not plan more concurrent calls than that.
Config limit_slots_to_descriptors(Config config);

}  // namespace lockgw
