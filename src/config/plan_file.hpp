/// An operator's file with a plan of work (docs/operators/work.md): TOML, strict, every problem at its place.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/problems.hpp"
#include "work/plan.hpp"

namespace lockgw::config {

/// What is known of targets, where anything is.
struct PlanScene {
    std::size_t members = 0;  ///< forwarders of the tier; 0: not known
    struct Target {
        std::string id;
        std::int64_t destination = 0;
        double size = 1;
    };
    std::vector<Target> targets;  ///< of all destinations
    bool whole = false;           ///< there are no others
    std::function<std::string(std::int64_t)> name_of;
};

/// None where there is any problem. A plan that can never run, or that would empty a destination, is one.
std::optional<work::Plan> read_plan(const std::string& text, const PlanScene& scene, Problems& problems);
/// Why both cannot be in one tier's files: machines that both name. Empty: they can.
std::string contradiction(const work::Plan& a, const work::Plan& b);

}  // namespace lockgw::config
