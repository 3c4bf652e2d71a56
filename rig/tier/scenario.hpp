/// What a tier is put through: sizes, traffic, limits, and faults by time. TOML, strict, errors at their
/// place (docs/tier-rig.md has every key).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/problems.hpp"

namespace lockgw::rig::tier {

/// Numbers of forwarders or targets, from `first` to `last`.
struct Range {
    std::size_t first = 0, last = 0;
};

struct Fault {
    enum class What {
        Kill,      ///< SIGKILL, and a start with its folder after `for_s`
        Forget,    ///< the same without its folder
        Old,       ///< the same with a copy of its folder that is `value` seconds older
        Stop,      ///< SIGSTOP for `for_s`
        Notes,     ///< of what is sent to or by them: `value` is the share that is lost
        Late,      ///< notes come `value` seconds late
        Spoil,     ///< a share `value` of notes has a byte changed
        Double,    ///< a share `value` of notes comes twice
        Cut,       ///< they neither hear nor are heard by forwarders of other islands; `value`: theirs
        Pair,      ///< notes between `who` and forwarder `value` are lost
        Slow,      ///< targets take `value` times as long
        Errors,    ///< targets answer 500 at once
        Hang,      ///< targets take calls and answer none
        Refuse,    ///< targets refuse connections; those that are open are served
        Die,       ///< targets' processes die: open connections are reset, new ones refused for `for_s`
        Limit,     ///< the limit is `value` times what it was
        Leave,     ///< targets drain and go; back after `for_s` as new ones
        Link,      ///< the link between forwarder `who` and target `value` is silent
        Clients,   ///< that of their clients is silent
        Discovery  ///< their agents of discovery answer nothing
    };
    enum class Direction { Both, Out, Back };  ///< of a link, as seen from `who`
    What what = What::Kill;
    double at_s = 0, for_s = 0, value = 0;  ///< for_s 0: to the end
    Range who;
    Direction direction = Direction::Both;
};

struct Scenario {
    std::string name = "tier";
    std::uint64_t seed = 1;
    double seconds = 15, warm_s = 3;  ///< of traffic in all; the first are not judged
    std::size_t forwarders = 10, targets = 5;
    double rate = 2.0;                  ///< messages a second at each forwarder
    double heavy = 1.0;                 ///< how many times the others' the rate of a tenth of them is
    double service_ms = 15;             ///< of a call
    std::size_t at_once = 0;            ///< calls that a target serves at a time; 0: any number
    std::size_t queue = 64;             ///< that wait there
    std::size_t connections = 0;        ///< that a target takes at a time; 0: any number
    double idle_s = 0;                  ///< it closes one without a request for so long; 0: none
    double cold_s = 0, cold_times = 1;  ///< one that joins takes so many times as long, less and less
    double limit = 0;  ///< calls a second: of each target where `apart`, of all together else; 0: none
    bool apart = false;
    bool refused_count = true;  ///< refused calls use the limit up
    bool notes = true, discovery = true;
    bool watch = false;    ///< forwarders watch one another
    bool numbered = true;  ///< forwarders are told their numbers; else all believe to be the first
    /// All forwarders are restarted in turn, from at_s on.
    struct Work {
        std::size_t most_out = 0;  ///< at a time; 0: nothing of this
        double at_s = 0;
        double each_s = 20;   ///< a grant's time
        double down_s = 0.5;  ///< from a process's end to its next start
        bool back =
            false;  ///< what holds when a grant's time is over: its place is free, else it counts as out
        bool unguarded = false;  ///< by a script that asks nobody
    } work;
    std::vector<Fault> faults;
};

/// Where anything is wrong, problems are added and the result is of no use.
Scenario read_scenario(const std::string& text, config::Problems& problems);

}  // namespace lockgw::rig::tier
