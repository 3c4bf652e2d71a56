/// Tiers of watches on one simulated clock, with links that lose and delay notes, members that are stopped,
/// killed and started again, and cuts. No I/O, no real clock: the same settings give the same counts.
#pragma once

#include <cstdint>
#include <vector>

#include "tier/watch.hpp"

namespace lockgw::lab {

struct WatchFault {
    enum class What {
        Kill,    ///< and a new start after `for_s`, with its folder
        Forget,  ///< the same without its folder, and with a clock that stands where it stood
        Stop,    ///< nothing of it runs; what is sent to it waits
        Cut,     ///< no note between these and the others
        Mute,    ///< none from them to the others
        Leave    ///< by order, and back
    };
    What what = What::Kill;
    double at_s = 0, for_s = 0;  ///< for_s 0: to the end
    std::size_t first = 0, last = 0;
};
/// How others are watched; the last two as baselines.
enum class WatchWay {
    Gossip,  ///< this program's
    Beats,   ///< each beats to all, twice a second; gone after 2.4 s of silence
    Swim     ///< one probe each 0.4 s, three helpers, suspicion for 1.2 s, passed on with what is sent
};
const char* text_of(WatchWay way);

struct WatchesSettings {
    WatchWay way = WatchWay::Gossip;
    std::size_t members = 100;
    std::uint64_t seed = 1;
    double seconds = 30;
    double lost = 0, doubled = 0;            ///< shares of notes
    double least_s = 0.0002, most_s = 0.02;  ///< on the way
    double late_rounds_s = 0;                ///< each round comes late by up to this: all are short of CPU
    std::vector<WatchFault> faults;
};
struct WatchesCount {
    std::uint64_t false_gone = 0;  ///< declared gone while it ran, heard by the one that said so
    double death_seen_s = 0;       ///< the longest that one of those running took to see a kill
    double first_seen_s = 0;       ///< and the shortest
    double agreed_s = -1;  ///< from the last fault's end until all views agree for good; below 0: never
    double bytes_per_s = 0, notes_per_s = 0;  ///< of one member
    bool right = true;  ///< at the end each sees those running as alive, and nobody else
};
WatchesCount play(const WatchesSettings& settings);

}  // namespace lockgw::lab
