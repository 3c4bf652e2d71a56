/// One seeded run of several real forwarders between faulty targets, clients and a discovery agent.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "rig/soak/checker.hpp"
#include "rig/soak/faulty_target.hpp"

namespace lockgw::rig::soak {

struct SoakPlan {
    std::string program;
    std::uint64_t seed = 1;
    std::chrono::seconds span{30};  ///< for which messages are handed in
    std::size_t forwarders = 3;
    std::int64_t destinations = 6;
    std::size_t targets_each = 3;
    double messages_per_second = 100;  ///< over all forwarders
    LinkFaults link;
    bool hold_ups = false;  ///< a forwarder is stopped for up to 150 ms now and then
    bool kills = false;     ///< a forwarder is killed and started again now and then
};

struct SoakResult {
    std::vector<Violation> violations;
    nlohmann::json report;
};

/// Throws std::runtime_error where a forwarder does not start.
SoakResult play(const SoakPlan& plan);

}  // namespace lockgw::rig::soak
