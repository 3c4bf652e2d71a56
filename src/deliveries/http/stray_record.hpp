/// Which endpoints have sent more answers than they got calls. Pure: no sockets, no clock.
///
/// Their connections carry one call each for a time, so that no earlier answer can cross a call. The time
/// doubles with each relapse. Bounded by the number of listed endpoints.
#pragma once

#include <chrono>
#include <map>

#include "cometspoke/sender.hpp"

namespace lockgw {

class StrayRecord {
public:
    using Time = std::chrono::steady_clock::time_point;
    static constexpr std::chrono::seconds kFirstSpan{60}, kLongestSpan{600};

    /// A surplus answer was read. Returns for how long connections are not reused.
    std::chrono::seconds record(cometspoke::EndpointId endpoint, Time now);
    /// Whether connections to the endpoint carry one call each.
    bool single_use(cometspoke::EndpointId endpoint, Time now) const;
    void forget(cometspoke::EndpointId endpoint) { suspicions_.erase(endpoint); }

private:
    struct Suspicion {
        Time until{};
        std::chrono::seconds span{0};
    };
    std::map<cometspoke::EndpointId, Suspicion> suspicions_;
};

}  // namespace lockgw
