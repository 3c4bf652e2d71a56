/// Merges facts learned by another process into the records of a sender that does not have them itself.
///
/// A merge never raises a rate above what is known here, never shortens a wait and never marks an endpoint as
/// healthy. No I/O, no clock.
#pragma once

#include <algorithm>

#include "cometspoke/sender.hpp"
#include "records/records.hpp"

namespace cometspoke::policy {

/// `AnyState`: the state of the decision module (src/policy/state.hpp) with reschedule().
template <class AnyState>
void merge_limit(AnyState& state, const LearnedEvent::Limit& from, Route& to, DestinationId limit_key) {
    if (to.known_limit == 0) to.known_limit = from.known;
    if (to.share_factor == 0) to.share_factor = from.gain;
    if (to.reported_limit > 0 || from.heard <= 0) return;
    to.reported_limit = from.heard, to.reported_remaining = std::max(0.0, from.left);
    state.reported_limits_.merge({limit_key, to.reported_limit, to.reported_remaining, from.at});
}

inline void merge_outage(const LearnedEvent::Outage& from, Endpoint& to) {
    if (to.health != Health::Healthy) return;
    to.health = from.answers ? Health::Recovering : Health::Unhealthy;
    to.failure_seen = from.failure_seen, to.failure_rate = from.failing, to.aware_share = from.knowing;
    to.consecutive_refusals = from.refused_row;
    to.unhealthy_since = from.fell, to.last_success_at = from.last_good, to.last_outcome_at = from.heard;
    to.recovery_start = from.returned, to.recovery_tag = from.next_trial;
}

template <class AnyState>
void merge_learned(AnyState& state, const LearnedEvent& event, Time now) {
    for (const auto& fact : event.destinations) {
        const auto found = state.destinations_.find(fact.destination);
        if (found == state.destinations_.end()) continue;
        Destination& destination = found->second;
        if (fact.limit) merge_limit(state, *fact.limit, destination.shared_route, fact.destination);
        if (destination.typical_latency_s == 0) destination.typical_latency_s = fact.usual_s;
        if (destination.served_rate == 0) destination.served_rate = fact.served_per_s;
        if (destination.message_rate == 0 && fact.asked_per_s > 0)
            destination.message_rate = fact.asked_per_s, destination.last_message_at = now;
    }
    for (const auto& fact : event.endpoints) {
        const auto found = state.endpoints_.find(fact.endpoint);
        if (found == state.endpoints_.end() || found->second.destination != fact.destination) continue;
        Endpoint& endpoint = found->second;
        if (endpoint.destination_record == nullptr) continue;
        Route& route = state.route_of(endpoint);
        if (fact.wait_until) route.wait_until = std::max(route.wait_until, *fact.wait_until);
        if (fact.outage) merge_outage(*fact.outage, endpoint);
        if (fact.limit && state.has_own_route(endpoint))
            merge_limit(state, *fact.limit, endpoint.own_route, state.limit_key(endpoint));
        state.reschedule(endpoint.destination, now);
    }
    if (state.overall_latency_s_ == 0) state.overall_latency_s_ = event.usual_s;
}

}  // namespace cometspoke::policy
