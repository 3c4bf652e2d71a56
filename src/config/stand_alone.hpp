/// An installation without the platform: the operator's file alone as what a forwarder is told.
///
/// The result has NODE_CONFIG's form (the platform's DEPLOY page), so that one reader takes both. Rule of
/// precedence: each fact has one teller. Where there is a NODE_CONFIG, it tells the instance, classes,
/// tenants, kinds and zones, and a file that tells them too is wrong; of a limit that both tell, the lower
/// one holds.
#pragma once

#include "config/config.hpp"
#include "config/operator_file.hpp"

namespace lockgw::config {

/// Adds a problem for each thing that a file alone must tell and does not. `with_members`: static endpoints
/// are in it as the known list.
Json stand_alone(const OperatorFile& file, Problems& problems, bool with_members = true);
/// Adds a problem for each thing in the file that NODE_CONFIG tells.
void check_beside_platform(const OperatorFile& file, Problems& problems);
/// The lower one of each limit.
void apply_limits(const OperatorFile& file, Config& config);
/// Static endpoints in discovery's form.
Json static_members(const OperatorFile& file);

}  // namespace lockgw::config
