/// Spillover: calls to endpoints outside this sender's subset, made because the limits of the endpoints in
/// the subset are used up.
///
/// With KindSettings::routes_apart each endpoint has its own limit, and an endpoint that was never called has
/// no limit tag that holds a call back. If limits drop everywhere, each refused message would then try one
/// endpoint after another, and all senders together would send many times what the endpoints accept.
/// Spillover calls therefore have a rate limit of their own, derived from the newest limit that any endpoint
/// of the destination reported. No I/O, no clock.
#pragma once

#include "base/units.hpp"
#include "records/records.hpp"

namespace cometspoke::policy {

// Rate of spillover calls, as a share of this sender's even share of all limits of the destination together.
// Calls to endpoints of the subset use 0.85 of their limits, so both together stay below the limits.
constexpr double kSpilloverShare = 0.1;
// The same while an endpoint of the destination is not healthy, since its calls have to go elsewhere.
constexpr double kUnhealthySpilloverShare = 2.0;

/// Returns whether the endpoint is outside the subset and the next spillover call is not due yet.
inline bool spillover_blocked(const Endpoint& endpoint, Time now) {
    return endpoint.weight == 0 && endpoint.destination_record->subsetted &&
           endpoint.destination_record->spillover_tag > now;
}
/// Records that a call to an endpoint outside the subset is sent. `senders`: number of senders; `unhealthy`:
/// an endpoint of the destination is not healthy.
inline void record_spillover(Destination& destination, double senders, bool unhealthy, Time now) {
    if (!destination.subsetted || destination.newest_endpoint_limit <= 0) return;
    const double even_share =
        destination.newest_endpoint_limit * static_cast<double>(destination.endpoints.size()) / senders;
    destination.spillover_tag =
        now + from_seconds(1.0 / (even_share * (unhealthy ? kUnhealthySpilloverShare : kSpilloverShare)));
}

}  // namespace cometspoke::policy
