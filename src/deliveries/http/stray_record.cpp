#include "deliveries/http/stray_record.hpp"

#include <algorithm>

namespace lockgw {

std::chrono::seconds StrayRecord::record(cometspoke::EndpointId endpoint, Time now) {
    Suspicion& suspicion = suspicions_[endpoint];
    const bool first = suspicion.span.count() == 0;
    if (first)
        suspicion.span = kFirstSpan;
    else if (suspicion.until <= now)
        suspicion.span = std::min(2 * suspicion.span, kLongestSpan);
    suspicion.until = now + suspicion.span;
    return suspicion.span;
}

bool StrayRecord::single_use(cometspoke::EndpointId endpoint, Time now) const {
    const auto found = suspicions_.find(endpoint);
    return found != suspicions_.end() && found->second.until > now;
}

}  // namespace lockgw
