/// What clients, targets and the discovery agent of a soak run saw, as plain data for the checker.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lockgw::rig::soak {

using Clock = std::chrono::steady_clock;

/// One call at a target. It is out from its last byte until its answer is written or its connection ends.
struct ObservedCall {
    std::size_t target = 0;
    std::uint64_t connection = 0;
    Clock::time_point received;              ///< its last byte
    std::optional<Clock::time_point> ended;  ///< none: out until the end of the run
    int status = 0;                          ///< of its own answer; 0: none was written
};

struct ObservedMessage {
    std::string message_class;
    std::size_t forwarder = 0;
    Clock::time_point submitted;
    std::optional<Clock::time_point> accepted;  ///< +OK
    std::vector<ObservedCall> calls;            ///< in the order of their last bytes
    std::vector<std::string> final_statuses;    ///< "dead" or "bounced", as reported to the agent
};

struct Observations {
    Clock::time_point began;
    std::map<std::string, ObservedMessage> messages;  ///< by id
    std::uint64_t connections = 0;                    ///< accepted by targets
    std::uint64_t copies = 0;                         ///< second copies of answers that were written
};

}  // namespace lockgw::rig::soak
