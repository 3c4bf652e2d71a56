/// The platform's ENQUEUE as a message.
#pragma once

#include "config/config.hpp"
#include "fronts/resp2/resp.hpp"
#include "store/journal.hpp"

namespace lockgw {

/// An ENQUEUE's words as a message. `came`: when the client sent it, from where on its `d` counts. Throws
/// BadInput naming what is wrong.
Message message_of(const resp::Command& command, const Config& config, const Moment& came);

}  // namespace lockgw
