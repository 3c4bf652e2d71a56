/// Ways to choose a target, each played by a whole tier on one simulated clock: how evenly the load lies, and
/// what it costs in connections.
///
/// No I/O, no real clock: the same settings give the same counts. Messages come at each forwarder by chance;
/// a call takes an idle connection to its target, or opens one; one that rests for `idle_s` is closed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lab/load.hpp"

namespace lockgw::lab {

enum class Way {
    First,       ///< an idle connection, else the first of the list
    OwnOrder,    ///< the least busy, idle connections before new ones, equals by an own order
    Chance,      ///< any
    TwoChoices,  ///< of two by chance the one with fewer own calls out
    RoundRobin,  ///< in turn over all, from an own start
    Rendezvous,  ///< the first by a hash of forwarder and target
    Subset,      ///< deterministic subsets of equal size, in turn within them
    Module,      ///< this program's decision module with its arcs
    Central      ///< who has had least of all, told at once: nobody can know it
};
constexpr Way kWays[] = {Way::First, Way::OwnOrder, Way::Chance, Way::TwoChoices, Way::RoundRobin,
    Way::Rendezvous, Way::Subset, Way::Module, Way::Central};
const char* text_of(Way way);

struct WaysSettings {
    std::size_t forwarders = 100, targets = 20;
    double rate = 2, heavy = 1;  ///< messages a second at each; times as many at each tenth
    std::uint64_t seed = 1;
    double seconds = 40, warm_s = 20;  ///< of traffic; the first are not judged
    double service_s = 0.015, idle_s = 10;
    // what goes wrong
    double lacking = 0;  ///< share of the targets that each forwarder's list lacks, others at each
    double claimed = 0;  ///< share of the forwarders that bear the number of the one before
    double gone = 0;     ///< share of the forwarders that are gone after the warm-up, messages and all
    std::optional<std::size_t> slow;  ///< takes `slow_times` as long
    double slow_times = 4;
    bool one_at_a_time = false;  ///< a target serves one call after another
};
struct WaysCount {
    std::size_t messages = 0, connections = 0;
    Load load;
    double p99_s = 0;         ///< from a message's coming to its answer
    double slow_share = 0;    ///< of the calls, at the slow target, in fair parts
    std::size_t nobodys = 0;  ///< targets that got no call at all after the warm-up
    std::uint64_t trace = 0;  ///< a hash of all calls
};
WaysCount play(Way way, const WaysSettings& settings);

}  // namespace lockgw::lab
