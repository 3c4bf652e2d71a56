/// What forwarders that watch one another said of who is there, from their logs, against what was done to
/// them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rig/tier/scenario.hpp"

namespace lockgw::rig::tier {

struct Watching {
    std::size_t deaths = 0;      ///< kills that lasted long enough to be seen
    double seen_by_all_s = 0;    ///< the longest until the last of those left alone saw one
    std::size_t unseen = 0;      ///< of (death, forwarder left alone), that never saw it
    std::size_t false_gone = 0;  ///< taken for gone by one left alone, though left alone too
    double settled_s = 0;  ///< from the last fault's end to the last line that says anybody is gone or back
};

/// `logs`: JSON lines of each forwarder. `begun_ms`: Unix time of the scenario's clock.
Watching watching(const Scenario& scenario, const std::vector<std::string>& logs, std::int64_t begun_ms);

}  // namespace lockgw::rig::tier
