/// Checks what was observed in a soak run against the rules. Reads nothing of the program under test.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "rig/soak/observations.hpp"

namespace lockgw::rig::soak {

enum class Rule {
    RanAgain,          ///< a message that may have run was called again though its effect forbids it
    TookEffectAgain,   ///< an order took effect twice, by one message or by those after a refusal
    TwoAttemptsOut,    ///< two calls of one message were out at once
    CalledAfterEnd,    ///< called again after its own 200 or 410, or after its final status
    EndedInSilence,    ///< taken on, and neither delivered nor ended in time
    ClosedUnanswered,  ///< a request was read, and its connection closed with no reply
    DrainIgnored,      ///< called at a target that drains, after the grace
    WaitIgnored,       ///< called at a target that has told this forwarder to wait
    UnknownMessage,    ///< a call of a message that nobody handed in
    ListNotKnown,  ///< discovery had a change, was slow, and its forwarder does not know it when it is due
    NotBackInService,  ///< put back in service, and PING is not answered with yes when that is due
};
const char* text_of(Rule rule);

struct Violation {
    Rule rule;
    std::string message;
    std::string story;  ///< one line for each event of the message, times in seconds from the start
};

std::vector<Violation> check(const Observations& observations);
/// Counts, the cost of caution, and the violations.
nlohmann::json report(const Observations& observations, const std::vector<Violation>& violations);

}  // namespace lockgw::rig::soak
