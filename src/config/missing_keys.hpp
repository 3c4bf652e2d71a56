/// What a configuration file lacks beside the one in force.
///
/// A file that was cut short, or written by halves, may still be sound by itself: most keys have a default.
/// Beside the file in force a key that is gone shows.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lockgw::config {

/// The places at which `running` has a value and `fresh` has none, null, or one of another type, such as
/// "limits.memory_mb". Values may differ.
///
/// The elements of a list of objects may come and go. One with the "name" of an earlier one must have its
/// keys
/// ("classes[order-submit].window_ms"), and each must have the keys that all earlier ones have
/// ("classes[].worth"). A list that had elements must not be empty ("tenants[]").
std::vector<std::string> missing_keys(const nlohmann::json& running, const nlohmann::json& fresh);

}  // namespace lockgw::config
