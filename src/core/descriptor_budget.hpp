/// How a forwarder shares its descriptors out.
#pragma once

#include "config/config.hpp"

namespace lockgw {

/// As many as there are calls out, and some that rest between calls; never more than clients leave.
std::size_t max_target_connections(const Config& config);
std::size_t max_client_connections(const Config& config);
/// The module must not count on more calls than there are descriptors for.
Config limit_slots_to_descriptors(Config config);

}  // namespace lockgw
