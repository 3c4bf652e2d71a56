#include "rig/soak/checker.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace lockgw::rig::soak {
namespace {

constexpr int kDelivered = 200, kRefused = 503;

bool delivered(const ObservedMessage& message) {
    return std::any_of(message.calls.begin(), message.calls.end(),
        [](const ObservedCall& call) { return call.status == kDelivered; });
}
bool may_have_run(const ObservedCall& call) { return call.status != kRefused; }

/// Whether `call` may follow `earlier`, which may have run.
bool may_repeat(const std::string& message_class, const ObservedCall& earlier, const ObservedCall& call) {
    if (message_class == "safe") return true;
    if (message_class == "keyed") return call.received - earlier.received <= kKeyedWindow;
    return false;
}

std::string story_of(const std::string& id, const ObservedMessage& message, Clock::time_point began) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(3);
    const auto at = [&](Clock::time_point when) {
        return std::chrono::duration<double>(when - began).count();
    };
    out << id << " (" << message.message_class << ") submitted to n" << message.forwarder << " at "
        << at(message.submitted);
    if (message.accepted) out << ", accepted at " << at(*message.accepted);
    for (const ObservedCall& call : message.calls) {
        out << "\n  called t" << call.target << " on connection " << call.connection << " at "
            << at(call.received);
        if (call.ended)
            out << ", " << (call.status == 0 ? "given up" : std::to_string(call.status)) << " at "
                << at(*call.ended);
    }
    for (const std::string& status : message.final_statuses) out << "\n  reported " << status;
    return out.str();
}

}  // namespace

const char* text_of(Rule rule) {
    switch (rule) {
        case Rule::RanAgain:
            return "ran again";
        case Rule::TwoAttemptsOut:
            return "two attempts out";
        case Rule::EndedInSilence:
            break;
    }
    return "ended in silence";
}

std::vector<Violation> check(const Observations& observations) {
    std::vector<Violation> violations;
    for (const auto& [id, message] : observations.messages) {
        const auto broken = [&](Rule rule) {
            violations.push_back({rule, id, story_of(id, message, observations.began)});
        };
        for (std::size_t i = 0; i < message.calls.size(); ++i) {
            const ObservedCall& call = message.calls[i];
            const auto earlier_end = message.calls.begin() + static_cast<std::ptrdiff_t>(i);
            const bool forbidden =
                std::any_of(message.calls.begin(), earlier_end, [&](const ObservedCall& earlier) {
                    return may_have_run(earlier) && !may_repeat(message.message_class, earlier, call);
                });
            const bool beside =
                std::any_of(message.calls.begin(), earlier_end, [&](const ObservedCall& earlier) {
                    return !earlier.ended || *earlier.ended > call.received;
                });
            if (forbidden) broken(Rule::RanAgain);
            if (beside) broken(Rule::TwoAttemptsOut);
        }
        if (message.accepted && !delivered(message) && message.final_statuses.empty())
            broken(Rule::EndedInSilence);
    }
    return violations;
}

nlohmann::json report(const Observations& observations, const std::vector<Violation>& violations) {
    std::size_t accepted = 0, served = 0, calls = 0, ended_unrun = 0;
    for (const auto& [id, message] : observations.messages) {
        calls += message.calls.size();
        if (!message.accepted) continue;
        ++accepted;
        served += delivered(message);
        const bool never_ran = std::none_of(message.calls.begin(), message.calls.end(), may_have_run);
        const bool dead =
            std::count(message.final_statuses.begin(), message.final_statuses.end(), "dead") > 0;
        ended_unrun += dead && never_ran;
    }
    nlohmann::json broken = nlohmann::json::array();
    for (const Violation& violation : violations)
        broken.push_back(
            {{"rule", text_of(violation.rule)}, {"message", violation.message}, {"story", violation.story}});
    return {{"messages", observations.messages.size()}, {"accepted", accepted}, {"delivered", served},
        {"calls", calls}, {"connections", observations.connections}, {"copies", observations.copies},
        {"dead_though_never_run", ended_unrun}, {"broken", std::move(broken)}};
}

}  // namespace lockgw::rig::soak
