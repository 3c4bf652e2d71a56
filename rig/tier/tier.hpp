/// A whole tier of real processes on this machine, with every link in the rig's hand: run() plays one
/// scenario and tells what was counted from outside. Loopback only; bounded by the scenario; leaves nothing
/// running.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lab/load.hpp"
#include "rig/tier/returning.hpp"
#include "rig/tier/scenario.hpp"
#include "rig/tier/watching.hpp"
#include "rig/tier/working.hpp"

namespace lockgw::rig::tier {

using lab::evenness;
using lab::Load;

struct Result {
    std::string name, program;
    std::uint64_t seed = 0;
    std::size_t messages = 0, in_time = 0, delivered = 0;  ///< of those after the warm-up; in time: 1.5 s
    std::size_t doubled = 0;                               ///< messages that took effect more than once
    std::size_t calls = 0, refused = 0;
    std::uint64_t connections = 0, notes = 0, note_bytes = 0, dead = 0, bounced = 0;
    double p50_ms = 0, p99_ms = 0;        ///< from hand-in to effect
    double cpu_us_a_message = 0;          ///< of all forwarders together
    double back_s = -1;                   ///< from the last fault's begin until 95 % a second are in time
    std::size_t crashed = 0;              ///< processes that ended by themselves
    std::uint64_t reset_above_limit = 0;  ///< connections that targets had no room for
    /// Most in 100 ms after the warm-up: connections, notes, questions for lists.
    std::uint32_t peak_connects = 0, peak_notes = 0, peak_asked = 0;
    std::vector<double> timely;  ///< by second, the share in time of the messages that came in it; -1: none
    std::vector<std::uint32_t> refused_by_second;
    std::vector<std::pair<double, double>> latency;  ///< ms, and the share that took no longer
    /// Of targets that died and came back: the calls of the fullest window while they warm up, as a share of
    /// what they may get (lab/return_budget.hpp, with the limit of the scenario); 0 where none did.
    double most_of_allowed = 0;
    Watching watched;                    ///< where they watch one another
    Returning returned;                  ///< where some were started anew
    Working worked;                      ///< where they were restarted in turn
    Load seen, chance;                   ///< of the calls as they came, and as an order by chance lays them
    std::vector<std::vector<int>> load;  ///< calls by target and second
};

using Progress = std::function<void(const std::string&)>;
/// `environment`: of the processes, beside what a forwarder is told.
Result run(const Scenario& scenario, const std::string& program, const Progress& progress = {},
    const std::map<std::string, std::string>& environment = {});

std::string table_of(const std::vector<Result>& results);
std::string csv_of(const std::vector<Result>& results);
std::string json_of(const std::vector<Result>& results);
/// Calls by target (rows) and second (columns) in fair parts, one picture a result.
std::string svg_of(const std::vector<Result>& results);
/// All of it on one page that needs nothing else.
std::string html_of(const std::vector<Result>& results);

}  // namespace lockgw::rig::tier
