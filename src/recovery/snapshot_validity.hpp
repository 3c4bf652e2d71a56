/// Which facts of a snapshot that an earlier process wrote are still valid, by their age (docs/return.md).
///
/// A valid fact never sets or ends a retry-after (the journal keeps those), never proves that an attempt did
/// not run, and never marks a target as healthy. No I/O, no clock: ages follow from the moments given.
#pragma once

#include <cstddef>

#include "recovery/snapshot.hpp"

namespace lockgw::recovery {

constexpr Time kOutageHolds{30'000'000};     ///< an outage that began longer ago may be over
constexpr Time kPartHolds{60'000'000};       ///< this process's part of a limit, learned from refusals
constexpr Time kLeftHolds{3'000'000};        ///< what was left of a limit; later it counts as used up
constexpr Time kRatesHold{60'000'000};       ///< how much was asked and served
constexpr Time kLimitHolds{600'000'000};     ///< a limit; the first answer replaces it
constexpr Time kUsualHolds{86'400'000'000};  ///< times to answer

struct ValidFacts {
    std::optional<Time> age;  ///< of the snapshot; none: it is from the future, and no fact of it is valid
    Snapshot facts;           ///< the valid ones, with their ages as of now
    std::size_t valid = 0;    ///< number of facts kept
    std::size_t dropped = 0;  ///< number of facts too old to keep
};
/// `now`: of the process that reads the snapshot.
ValidFacts valid_facts(const Snapshot& snapshot, const Moment& now);

}  // namespace lockgw::recovery
