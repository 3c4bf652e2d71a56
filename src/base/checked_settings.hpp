/// Validation of the decision module's settings.
#pragma once

#include "cometspoke/sender.hpp"

namespace cometspoke {

/// Returns the settings with defaults filled in: classes without max_attempts take that of Settings, and at
/// least one kind exists. Throws std::invalid_argument that names the first invalid setting.
Settings checked(Settings settings);

}  // namespace cometspoke
