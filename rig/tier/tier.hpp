/// A whole tier of real processes on this machine, with every link in the rig's hand: run() plays one
/// scenario and tells what was counted from outside. Loopback only; bounded by the scenario; leaves nothing
/// running.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "rig/tier/scenario.hpp"

namespace lockgw::rig::tier {

struct Load {
    double most = 0, least = 0;  ///< of a target in its worst window, in fair parts
    double dispersion = 0;       ///< variance over mean of a second's calls at a target: 1 by chance
    std::size_t idle = 0;        ///< windows of 10 s in which a target that 100 calls were due at got none
};
struct Result {
    std::string name, program;
    std::uint64_t seed = 0;
    std::size_t messages = 0, in_time = 0, delivered = 0;  ///< of those after the warm-up; in time: 1.5 s
    std::size_t doubled = 0;                               ///< messages that took effect more than once
    std::size_t calls = 0, refused = 0;
    std::uint64_t connections = 0, notes = 0, note_bytes = 0, dead = 0, bounced = 0;
    double p50_ms = 0, p99_ms = 0;       ///< from hand-in to effect
    double cpu_us_a_message = 0;         ///< of all forwarders together
    double back_s = -1;                  ///< from the last fault's begin until 95 % a second are in time
    std::size_t crashed = 0;             ///< processes that ended by themselves
    Load seen, chance;                   ///< of the calls as they came, and as an order by chance lays them
    std::vector<std::vector<int>> load;  ///< calls by target and second
};

using Progress = std::function<void(const std::string&)>;
Result run(const Scenario& scenario, const std::string& program, const Progress& progress = {});

/// Evenness of `load` (by target and second) from second `from` on.
Load evenness(const std::vector<std::vector<int>>& load, std::size_t from);

std::string table_of(const std::vector<Result>& results);
std::string csv_of(const std::vector<Result>& results);
std::string json_of(const std::vector<Result>& results);
/// Calls by target (rows) and second (columns) in fair parts, one picture a result.
std::string svg_of(const std::vector<Result>& results);

}  // namespace lockgw::rig::tier
