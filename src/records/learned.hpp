/// What another process knew, put into the records of one that does not know it by itself.
///
/// Never faster than what is known here, never a shorter wait, and no target is called well. No I/O, no
/// clock.
#pragma once

#include <algorithm>

#include "cometspoke/sender.hpp"
#include "records/records.hpp"

namespace cometspoke::policy {

/// `All`: the module's memory (src/policy/state.hpp), with reschedule().
template <class All>
void learn_limit(All& all, const LearnedEvent::Limit& from, Route& to, DestinationId told_as) {
    if (to.known == 0) to.known = from.known;
    if (to.gain == 0) to.gain = from.gain;
    if (to.heard > 0 || from.heard <= 0) return;
    to.heard = from.heard, to.left = std::max(0.0, from.left);
    all.reported_limits_.merge({told_as, to.heard, to.left, from.at});
}

inline void learn_outage(const LearnedEvent::Outage& from, Endpoint& to) {
    if (to.health != Health::Well) return;
    to.health = from.answers ? Health::Returning : Health::Sick;
    to.failure_seen = from.failure_seen, to.failing = from.failing, to.knowing = from.knowing;
    to.refused_row = from.refused_row;
    to.fell = from.fell, to.last_good = from.last_good, to.heard = from.heard;
    to.returned = from.returned, to.cold_tag = from.next_trial;
}

template <class All>
void learn_from(All& all, const LearnedEvent& event, Time now) {
    for (const auto& fact : event.destinations) {
        const auto found = all.destinations_.find(fact.destination);
        if (found == all.destinations_.end()) continue;
        Destination& one = found->second;
        if (fact.limit) learn_limit(all, *fact.limit, one.shared, fact.destination);
        if (one.usual == 0) one.usual = fact.usual_s;
        if (one.served_rate == 0) one.served_rate = fact.served_per_s;
        if (one.asked == 0 && fact.asked_per_s > 0) one.asked = fact.asked_per_s, one.asked_at = now;
    }
    for (const auto& fact : event.endpoints) {
        const auto found = all.endpoints_.find(fact.endpoint);
        if (found == all.endpoints_.end() || found->second.destination != fact.destination) continue;
        Endpoint& one = found->second;
        if (one.home == nullptr) continue;
        Route& route = all.route_of(one);
        if (fact.wait_until) route.wait_until = std::max(route.wait_until, *fact.wait_until);
        if (fact.outage) learn_outage(*fact.outage, one);
        if (fact.limit && all.has_own_route(one)) learn_limit(all, *fact.limit, one.own, all.limit_key(one));
        all.reschedule(one.destination, now);
    }
    if (all.overall_latency_s_ == 0) all.overall_latency_s_ = event.usual_s;
}

}  // namespace cometspoke::policy
