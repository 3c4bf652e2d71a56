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
struct ReplayWish {
    std::string path;               ///< a segment, or a folder of them
    std::string why;                ///< the story of this instead
    std::vector<std::string> sets;  ///< "slots=16": what if
    bool json = false;
};
/// 1 where a decision differs.
int replay_capture(const ReplayWish& wish);

/// Of a running process, over its control socket.
constexpr const char* kSocketName = "control";  ///< in the folder that lasts
int print_status(const std::string& socket, bool json);
int print_running_routes(const std::string& socket, bool json);
int reload_running(const std::string& socket);

}  // namespace lockgw::program
