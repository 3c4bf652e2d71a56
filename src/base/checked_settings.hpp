/// Settings that make sense, or an error that names the one that does not.
#pragma once

#include "cometspoke/sender.hpp"

namespace cometspoke {

/// Throws std::invalid_argument.
Settings checked(Settings settings);

}  // namespace cometspoke
