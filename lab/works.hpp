/// A tier whose machines are taken out in turn, on one simulated clock: crews of src/work with links that
/// lose, double and delay, members that are killed, stopped, started again with their disk, cuts, clocks that
/// drift. What is out is counted from outside. No I/O, no real clock: the same settings give the same counts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "work/crew.hpp"

namespace lockgw::lab {

struct WorkFault {
    enum class What {
        Kill,   ///< and a new start after `for_s`, with its disk
        Stop,   ///< nothing of it runs; what is sent to it waits
        Cut,    ///< no note between these and the others
        Mute,   ///< none from them to the others
        Full,   ///< it can write nothing down
        Forget  ///< as Kill, and its disk is lost
    };
    What what = What::Kill;
    double at_s = 0, for_s = 0;  ///< for_s 0: to the end
    std::size_t first = 0, last = 0;
};

struct WorksSettings {
    std::size_t members = 30;
    std::uint64_t seed = 1;
    double seconds = 600;                    ///< at most
    work::Plan plan;                         ///< over all forwarders, if it names none
    double work_s = 5;                       ///< that a machine takes to be worked on,
    double drain_s = 1, warm_s = 1;          ///< to drain, and to be warm again
    double lost = 0, doubled = 0;            ///< shares of notes
    double least_s = 0.0002, most_s = 0.02;  ///< on the way
    double drift = 0;                        ///< clocks run by up to so much faster or slower
    double breaks = 0;  ///< the share of machines that come back broken; a person mends them
    std::vector<WorkFault> faults;
    bool guarded = true;  ///< false: a script takes `most_out` at a time, by the clock alone
};
struct WorksCount {
    std::size_t most_out = 0;       ///< away by grants at one moment, and running
    std::size_t above_s_ticks = 0;  ///< moments (50 ms) with more away, dead ones among them, than allowed,
                                    ///< of which the last to go was granted, not killed
    std::size_t done = 0;           ///< machines
    double took_s = -1;             ///< until all were done; below 0: not
    double best_s = 0;              ///< the least that it can take
    std::uint64_t notes = 0, bytes = 0, proposals = 0, refused = 0;
    std::uint64_t doubled_fences = 0, two_plans = 0;  ///< breaks of the laws
    std::vector<std::size_t> out_by_second;           ///< away or dead
    std::string broken;                               ///< the first break, in words
};
WorksCount play(const WorksSettings& settings);

}  // namespace lockgw::lab
