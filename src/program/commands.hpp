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

/// Of a running process, over its control socket.
constexpr const char* kSocketName = "control";  ///< in the folder that lasts
int print_status(const std::string& socket, bool json);
int print_running_routes(const std::string& socket, bool json);
int reload_running(const std::string& socket);

}  // namespace lockgw::program
