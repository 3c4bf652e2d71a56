/// Many real decision modules on one simulated clock, against partners with limits that refused calls use up.
///
/// No I/O, no real clock: the same settings give the same counts. A run is bounded by its span. What is
/// modelled: clients that come by chance and hand in again after a refusal; a limit as an allowance that
/// fills evenly, from which a refused call takes what is there; reports of it that are some time old; told
/// waits; outages in which connects are refused; connections that are opened, kept and given back; notes that
/// are late, lost or spoilt.
#pragma once

#include <cstdint>
#include <vector>

#include "cometspoke/sender.hpp"

namespace lockgw::lab {

using cometspoke::Time;

struct Change {
    Time at{0};
    double limit = 0.0;  ///< calls a second from all senders; 0: it is down until the next change
};
struct PartnerSettings {
    double demand = 10.0;  ///< first tries a second, over all senders
    double limit = 20.0;
    std::vector<Change> changes;  ///< in order of time
    Time answer{70'000};
    bool loses_answers = false;  ///< an outage breaks off the calls that it has taken and not answered
};
/// A sender's process is killed and starts again at once: what it held is handed to the new one by and by,
/// and of what it had learned it believes a snapshot that is up to a second old (src/recovery).
struct Restart {
    Time at{0};
    std::size_t sender = 0;
};
struct FleetSettings {
    std::size_t senders = 100;
    std::uint64_t seed = 1;
    Time span{30'000'000};
    std::vector<PartnerSettings> partners;
    bool notes = true;
    double notes_lost = 0.0;    ///< share of them
    double notes_spoilt = 0.0;  ///< share of those that arrive
    Time least_wait{900'000};   ///< that a refusal tells, where it tells one
    double told = 0.45;         ///< share of refusals that do
    /// Clients come again at once after a refusal; with an order that has taken effect only inside its
    /// window.
    bool retries_at_once = false;
    double uneven = 0.0;  ///< of the traffic: the k-th sender gets a part of 1 / k^uneven
    std::vector<Restart> restarts;
};

struct PartnerCount {
    std::uint64_t offered = 0, in_time = 0, late = 0;  ///< first tries, and what became of them
    std::uint64_t calls = 0, refused = 0;              ///< calls that reached it, and those above its limit
    std::uint64_t unconnected = 0, connections = 0;
    std::uint64_t ends_refused = 0, ends_failed = 0;  ///< final answers to clients, of all tries
    std::uint64_t took_effect_again = 0;              ///< orders, outside the window of their key
    std::uint64_t early = 0;                          ///< sent during a wait that its sender was told
    /// After its last return, over all windows of Settings::fall that begin while it warms up: the most calls
    /// in one, as a share of N + 2 sqrt(N) + 2, where N is what the settings allow it then.
    double most_of_allowed = 0.0;
    Time served_again{0};  ///< from its last return until it was sent 0.9 of its demand over two seconds
};
struct FleetCount {
    std::vector<PartnerCount> partners;
    std::uint64_t ends = 0, doubled_ends = 0, unended = 0;  ///< final answers, second ones, and none in time
    std::uint64_t notes = 0, note_bytes = 0;
    std::uint64_t trace = 0;  ///< a hash of all that was decided
    PartnerCount all() const;
};

FleetCount run(const FleetSettings& settings);

}  // namespace lockgw::lab
