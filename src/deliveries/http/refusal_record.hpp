/// Which endpoints have refused a call lately. Pure: no sockets, no clock.
///
/// Bounded by the number of listed endpoints.
#pragma once

#include <chrono>
#include <map>

#include "cometspoke/sender.hpp"

namespace lockgw {

class RefusalRecord {
public:
    using Time = std::chrono::steady_clock::time_point;
    static constexpr std::chrono::seconds kSpan{10};

    void record(cometspoke::EndpointId endpoint, Time now) { last_[endpoint] = now; }
    bool refuses(cometspoke::EndpointId endpoint, Time now) const {
        const auto found = last_.find(endpoint);
        return found != last_.end() && now - found->second < kSpan;
    }
    void forget(cometspoke::EndpointId endpoint) { last_.erase(endpoint); }

private:
    std::map<cometspoke::EndpointId, Time> last_;
};

}  // namespace lockgw
