/// What one process learned of its partners, as plain facts by name, for the process that comes after it.
///
/// Nothing of messages (the journal has those) and no told waits (the journal has those as well, for they
/// must not be lost). Ages are as of `at`: no fact carries a clock of its own. No I/O, no clock.
///
/// Its bytes: four letters and a version, CRC-32 of what follows, MessagePack. Whole or not at all; a newer
/// version's is not read.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clocks.hpp"
#include "cometspoke/sender.hpp"

namespace lockgw::recovery {

using cometspoke::Time;

struct Limit {
    double known = 0;         ///< calls a second from all senders; 0: none
    double gain = 0;          ///< the own part as refusals taught it, in even parts; 0: none came
    double heard = 0;         ///< as an answer told it last; 0: none did
    double left = -1;         ///< what was left of it then; below 0: never told
    std::optional<Time> age;  ///< since that answer
    bool any() const { return known > 0 || gain > 0 || heard > 0; }
    bool operator==(const Limit&) const = default;
};
/// Of a target that was not well.
struct Outage {
    bool answers = false;  ///< it was on its way back
    bool failure_seen = false;
    double failing = 0, knowing = 1;
    int refused_row = 0;
    Time fell{0};                               ///< ago
    std::optional<Time> good, heard, returned;  ///< ago: last success, last outcome, first success after it
    Time next_trial{0};                         ///< from then on
    bool operator==(const Outage&) const = default;
};
struct TargetFact {
    std::string id;
    std::int64_t destination = 0;
    std::optional<Outage> outage;
    Limit limit;  ///< where it has one of its own
    bool operator==(const TargetFact&) const = default;
};
struct DestinationFact {
    std::int64_t number = 0;
    Limit limit;
    double usual_s = 0, served_per_s = 0, asked_per_s = 0;
    bool operator==(const DestinationFact&) const = default;
};
struct Snapshot {
    Moment at;
    std::uint64_t held = 0;  ///< messages that the journal owed
    bool orders = false;     ///< there were orders of operators in force
    double usual_s = 0;      ///< over all
    std::vector<TargetFact> targets;
    std::vector<DestinationFact> destinations;
    bool operator==(const Snapshot&) const = default;
};

constexpr std::size_t kMostFacts = 20'000;  ///< of either kind: more are not written, nor believed

std::string bytes_of(const Snapshot& snapshot);
struct Read {
    std::optional<Snapshot> snapshot;
    std::string why;  ///< there is none
};
Read snapshot_of(std::string_view bytes);
/// Changes when something is worth writing down again: states, limits by a tenth; no ages, no rates.
std::uint64_t gist_of(const Snapshot& snapshot);

}  // namespace lockgw::recovery
