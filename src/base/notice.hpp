/// How a message ended that was taken on and not delivered.
#pragma once

#include <chrono>

namespace lockgw {

struct Notice {
    bool bounced = false;  ///< else dead
    std::chrono::milliseconds wait{0};
};

}  // namespace lockgw
