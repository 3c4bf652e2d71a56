/// The configuration in force, or why there is none: NODE_CONFIG and the operator's file, read and checked
/// whole.
///
/// `lockgw check`, the start and each reload go through this one function.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "config/config.hpp"
#include "config/operator_file.hpp"
#include "core/subset_parameters.hpp"
#include "routes/expectations.hpp"

namespace lockgw::program {

struct Sources {
    std::string operator_file;  ///< empty: none
    std::string node_config;    ///< empty: none
    std::string state;          ///< the folder that lasts, where neither tells it
    std::string members;        ///< a list in discovery's form in place of the known one; empty: none
    bool only_checked = false;  ///< nothing is to run: the file's own rows stand for the list of its members
    std::string listen_fd{};    ///< an inherited listening socket, by its number; empty: none
    std::string console{};      ///< the console's address, in the place of what either tells; empty: as told
};

struct Loaded {
    Config config;
    config::OperatorFile file;
    routes::KnownNames known;
    routes::RoutingTable table;
    routes::EndpointIndex members;
    routes::RoutingContext scene() const { return {file, table, known, members, subset_parameters(config)}; }
};

/// None where there is any problem. `progress`: see routes::check_expectations.
std::optional<Loaded> load(const Sources& sources, config::Problems& problems,
    const std::function<void(std::size_t, std::size_t)>& progress = {});
/// What of `fresh` cannot be taken over by a running process; each becomes a problem.
void check_running(const Loaded& running, const Loaded& fresh, config::Problems& problems);

}  // namespace lockgw::program
