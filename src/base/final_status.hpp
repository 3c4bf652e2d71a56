/// Final status of a message that was accepted and not delivered.
#pragma once

#include <chrono>

namespace lockgw {

struct FinalStatus {
    /// Handing it in again does no harm, at any time and at any forwarder; otherwise it failed ("dead").
    bool refused = false;
    std::chrono::milliseconds retry_after{0};
    /// Owed for a delivery whose answer may have been another call's. For the log; not kept in the journal.
    bool perhaps_delivered = false;
};

}  // namespace lockgw
