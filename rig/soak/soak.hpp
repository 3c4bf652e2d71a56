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
    Milliseconds shortest_deadline{4000}, longest_deadline{4000};
    Milliseconds keyed_window{4000};
    bool effects_drawn = false;  ///< which class may be repeated is drawn from the seed
    bool hold_ups = false;       ///< a forwarder is stopped for up to 150 ms now and then
    bool kills = false;          ///< a forwarder is killed and started again now and then
    bool terminations = false;   ///< a forwarder gets SIGTERM, and SIGKILL 3.7 s later
    bool reloads = false;        ///< a forwarder gets SIGHUP now and then
    bool broken_files =
        false;  ///< half of the reloads, which it turns on, find a file that is not to be taken
    bool console_drains = false;  ///< operators take forwarders out of service and put them back
    bool slow_discovery = false;  ///< discovery takes 0.5 to 3 s for an answer, and refuses now and then
    bool drains = false;          ///< targets are drained and come back
    bool hanging_spells = false;  ///< all targets of a destination hang for 2 to 3 s now and then
    bool crashes = false;  ///< all targets of a destination die with calls out, and are back after a while
    bool hand_in_again = false;  ///< clients hand refused messages in again at once
    double batches = 0;          ///< share of requests that are written with others, in two pieces
    double impatient = 0;        ///< share of requests that are given up early
    double withdrawn = 0;        ///< share of messages that are withdrawn
    double bursts = 0;           ///< withdrawals of a whole destination, by each client, a second
    std::size_t crowd = 0;       ///< idle connections to each forwarder
};

/// Draws the faults of a run from its seed; each kind is in some runs and not in others.
void draw_faults(SoakPlan& plan);
/// What was drawn, for the report.
nlohmann::json text_of(const SoakPlan& plan);

struct SoakResult {
    std::vector<Violation> violations;
    nlohmann::json report;
};

/// Throws std::runtime_error where a forwarder does not start.
SoakResult play(const SoakPlan& plan);

}  // namespace lockgw::rig::soak
