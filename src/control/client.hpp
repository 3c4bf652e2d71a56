/// One request to the control socket of a running lockgw, and its answer. Blocking, bounded in time.
#pragma once

#include <filesystem>

#include "control/protocol.hpp"

namespace lockgw::control {

/// The result of a verb. Throws Refused with the server's words, or std::runtime_error where nobody answers.
Json ask(const std::filesystem::path& socket, const std::string& verb, const Json& args = Json::object());

}  // namespace lockgw::control
