/// Checks what was observed in a soak run against the rules. Reads nothing of the program under test.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "rig/soak/observations.hpp"

namespace lockgw::rig::soak {

enum class Rule {
    RanAgain,        ///< a message that may have run was called again though its class forbids it
    TwoAttemptsOut,  ///< two calls of one message were out at once
    EndedInSilence,  ///< accepted, never delivered, and no final status was reported
};
const char* text_of(Rule rule);

struct Violation {
    Rule rule;
    std::string message;
    std::string story;  ///< one line for each event of the message, times in seconds from the start
};

/// How long a target drops a repeat of a keyed message, from the first call that may have run.
constexpr std::chrono::milliseconds kKeyedWindow{4000};

std::vector<Violation> check(const Observations& observations);
/// Counts, the cost of caution, and the violations.
nlohmann::json report(const Observations& observations, const std::vector<Violation>& violations);

}  // namespace lockgw::rig::soak
