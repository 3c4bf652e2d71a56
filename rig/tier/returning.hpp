/// How a tier came back from its last fault that started forwarders anew: counted from outside, beside the
/// same tier before its first fault.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "rig/tier/clients.hpp"
#include "rig/tier/partner.hpp"

namespace lockgw::rig::tier {

struct Returning {
    bool asked = false;    ///< there was such a fault
    double started_s = 0;  ///< since the begin of traffic
    double full_s =
        -1;  ///< from then until 0.95 of the steady service, for three windows in a row; -1: never
    double refused = 0;         ///< share of the calls of the first 5 s that were refused,
    double refused_steady = 0;  ///< and of those before the first fault
    /// Most in 100 ms within 5 s of the start, and before the first fault.
    std::uint32_t connects = 0, connects_steady = 0, notes = 0, notes_steady = 0, asked_lists = 0,
                  asked_lists_steady = 0, calls = 0, calls_steady = 0;
    std::size_t late = 0, lost = 0;  ///< of the messages that came from the first fault on until full service
};

/// Events by 100 ms.
using Slots = std::vector<std::uint32_t>;
/// Most in 100 ms of those that began within [from_s, to_s).
std::uint32_t most(const Slots& slots, double from_s, double to_s);

struct Counted {
    double warm_s = 0, first_fault_s = 0, started_s = 0;
    double in_time_s = 1.5;
    const Slots &connects, &notes, &asked;
    const std::vector<Job>& jobs;
    const std::vector<Partner::Call>& calls;
};
/// A window of service is half a second long: the share in time of the messages that came in it, beside the
/// same share before the first fault.
Returning returning(const Counted& counted);

}  // namespace lockgw::rig::tier
