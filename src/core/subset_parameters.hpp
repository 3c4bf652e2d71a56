/// Parameters of this forwarder's subset computation, from its configuration.
#pragma once

#include "config/config.hpp"
#include "subsetting/subset_planner.hpp"

namespace lockgw {

/// The position on the ring follows from the forwarder's number; without a number it is derived from the
/// seed.
inline subsetting::SubsetParameters subset_parameters(const Config& config) {
    const auto& settings = config.settings;
    return {config.numbered ? subsetting::evenly_spaced_position(settings.own_number, settings.n_instances)
                            : subsetting::hashed_position(config.seed),
        settings.n_instances, settings.conn_idle, settings.warm_within, settings.cold_from};
}

}  // namespace lockgw
