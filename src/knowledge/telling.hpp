/// When a forwarder passes on what it has heard, and to whom: a few peers by chance, so that the newest has
/// reached all of a hundred within some rounds.
///
/// No I/O, no clock; draws from the caller's random numbers, so that a replay tells the same.
#pragma once

#include <random>
#include <vector>

#include "base/units.hpp"
#include "knowledge/limit_note.hpp"

namespace lockgw::knowledge {

constexpr Time kNoteGap{250'000};  // between the notes of one, drawn anew each time
constexpr int kNotePeers = 3;      // who each is for

/// The notes that are due at `now`, of one among `senders`. Sets when the next may go. `senders` is above 1.
template <class Random>
std::vector<cometspoke::TellPeers> notes_due(
    LimitBook& book, Time now, std::size_t senders, std::size_t own, Random& random, Time& next) {
    std::vector<cometspoke::TellPeers> notes;
    if (!book.untold() || now < next) return notes;
    const double spread = std::uniform_real_distribution<double>(0.5, 1.5)(random);
    next = now + cometspoke::from_seconds(cometspoke::seconds(kNoteGap) * spread);
    const auto facts = book.to_tell(kMostFacts, now);
    if (facts.empty()) return notes;
    const std::string note = note_of(facts, now);
    for (int i = 0; i < kNotePeers; ++i) {
        std::size_t peer = random() % (senders - 1);
        if (peer >= own) ++peer;
        notes.push_back({peer, note});
    }
    return notes;
}

}  // namespace lockgw::knowledge
