/// Configuration files that must not be taken: incomplete, cut off, with values of wrong types or unknown
/// words.
#pragma once

#include <nlohmann/json.hpp>
#include <random>
#include <string>

namespace lockgw::rig::soak {

/// A broken copy of `config` in which every class may be repeated freely: a process that takes it over calls
/// messages again that may not be.
std::string broken_file(nlohmann::json config, std::mt19937_64& random);

}  // namespace lockgw::rig::soak
