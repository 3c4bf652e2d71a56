/// Where a forwarder stands in its tier, by what it was told.
#pragma once

#include "config/config.hpp"
#include "subsetting/subset_planner.hpp"

namespace lockgw {

/// Its point by its number, by chance where it was told none.
inline subsetting::SubsetParameters standing_of(const Config& config) {
    const bool numbered = config.shape.contains("me");
    const auto& settings = config.settings;
    return {numbered ? subsetting::evenly_spaced_position(settings.own_number, settings.n_instances)
                     : subsetting::hashed_position(config.seed),
        settings.n_instances, settings.conn_idle, settings.warm_within, settings.cold_from};
}

}  // namespace lockgw
