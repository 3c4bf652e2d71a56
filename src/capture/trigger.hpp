/// When the minutes before now are worth keeping, and which of what was kept goes for it.
///
/// Decisions only: no clock, no files. Deterministic: the same calls give the same answers.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "cometspoke/sender.hpp"

namespace lockgw::capture {

using cometspoke::Time;

/// Asked: by the operator, which no limit holds off.
enum class Cause { Asked, FellSick, GivenUp, Refused };
const char* name_of(Cause cause);  ///< "asked", "fell_sick", "given_up", "refused"
std::optional<Cause> cause_of(std::string_view name);

struct TriggerSettings {
    std::set<Cause> on;                    ///< which of them start it
    Time every{std::chrono::minutes(10)};  ///< no more than one in this time, but for Asked
    Time before{std::chrono::minutes(5)};  ///< kept from so long before
    Time after{std::chrono::seconds(30)};  ///< to so long after it
    std::size_t refusals = 100;            ///< within a second: Refused

    bool operator==(const TriggerSettings&) const = default;
};

class Trigger {
public:
    explicit Trigger(TriggerSettings settings) : settings_(std::move(settings)) {}

    const TriggerSettings& settings() const { return settings_; }
    /// What was decided now. Memory: at most `refusals` moments.
    void decided(Time now, const std::vector<cometspoke::Action>& actions);
    /// Which endpoints are not well, now and then. One that was not among them before fell.
    void looked(std::set<cometspoke::EndpointId> ailing);
    /// What to keep for now, if anything. It was noticed since the last call; one cause at a time, the first
    /// of the enumeration.
    std::optional<Cause> due(Time now);

private:
    void notice(Cause cause) {
        if (settings_.on.contains(cause)) noticed_.insert(cause);
    }

    TriggerSettings settings_;
    std::set<Cause> noticed_;
    std::set<cometspoke::EndpointId> ailing_;
    std::deque<Time> refusals_;
    std::optional<Time> last_;
};

/// How many of the kept, oldest first, go so that `coming` bytes have room in `most`; all of them where even
/// that is not enough.
std::size_t dropped_for(const std::vector<std::size_t>& kept, std::size_t coming, std::size_t most);

}  // namespace lockgw::capture
