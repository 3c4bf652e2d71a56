/// What each command of lockgw does; each returns the exit code.
#pragma once

#include "program/load.hpp"

namespace lockgw::program {

constexpr int kWell = 0, kWrong = 1, kUsage = 2;

/// `control`: the path of the control socket; empty: in the folder that lasts where there is an operator's
/// file, else none.
int serve(const Sources& sources, const std::string& control);
int check_file(const Sources& sources, bool json);
/// `sources.operator_file` beside a newer one.
int compare_files(const Sources& sources, const std::string& newer, bool json);
int print_routes(const Sources& sources, bool json);
int print_version();
/// Segments of a capture, in a folder or one file.
int list_captures(const std::string& folder, bool json);
/// A part of a capture, as a file of its own.
struct CutWish {
    std::string path, out;
    std::string from, to;     ///< moments of the system clock, UTC; empty: without this end
    std::string about;        ///< or what --why takes
    bool hide_names = false;  ///< of endpoints, tenants, classes
};
int cut_capture(const CutWish& wish);
/// The smallest capture that shows a decision.
struct MinimiseWish {
    std::string path, out;
    std::string decision;           ///< words of it, as --why prints them
    std::vector<std::string> also;  ///< words of decisions that must be met before it
    std::vector<std::string> sets;  ///< only what also loses it with these settings
    std::size_t trials = 4000;
};
int minimise_capture(const MinimiseWish& wish);
struct ReplayWish {
    std::string path;                            ///< a segment, or a folder of them
    std::string why;                             ///< the story of this instead
    std::vector<std::string> sets;               ///< "slots=16": what if
    std::vector<std::string> lost_notes, later;  ///< what if: a peer's number or "all"; "endpoint=ms"
    std::size_t differences = 1;                 ///< shown at most
    std::string timeline;                        ///< a picture instead, into this file
    std::string until;                           ///< a moment or a batch: what was known then, instead
    bool step = false;                           ///< batch by batch, as standard input says
    bool json = false;
};
/// 1 where a decision differs.
int replay_capture(const ReplayWish& wish);

/// Of a running process, over its control socket.
constexpr const char* kSocketName = "control";  ///< in the folder that lasts
int print_status(const std::string& socket, bool json);
/// Which targets get which part of the calls of the running process, and why.
int print_tier(const std::string& socket, bool json);
/// How it came back.
int print_return(const std::string& socket, bool json);
/// Machines taken out in order.
struct WorkWish {
    std::string what;  ///< "status", "plan", "request", "approve", "hold", "cancel", "done", "force-in", ...
    std::string file;  ///< of a plan
    std::string machine;  ///< a forwarder's number or a host's name; empty: the one that is asked
    std::string why;
    double for_s = 600;
    bool approve = false, watch = false, yes = false, json = false;
};
int work(const std::string& socket, const WorkWish& wish);
/// Plans by themselves, beside one another, and against what the operator's file lists.
int check_plans(const Sources& sources, const std::vector<std::string>& plans);
int print_spread(const std::string& socket, bool json);
int print_running_routes(const std::string& socket, bool json);
/// "start", "stop" or "keep".
int tell_capture(const std::string& socket, const std::string& what);
int reload_running(const std::string& socket);
/// "ready", "offline", "online", "out-of-service" or "in-service"; `target`: of the second and third.
int tell_order(const std::string& socket, const std::string& what, const std::string& target);

}  // namespace lockgw::program
