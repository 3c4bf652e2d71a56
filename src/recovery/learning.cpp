#include "recovery/learning.hpp"

#include "policy/state.hpp"

namespace lockgw::recovery {

using cometspoke::LearnedEvent;
using cometspoke::policy::Health;
using cometspoke::policy::kLongAgo;
using cometspoke::policy::Route;
using cometspoke::policy::State;

namespace {

std::optional<Time> ago(Time then, Time now) {
    if (then <= kLongAgo || then > now) return std::nullopt;
    return now - then;
}
Time then(const std::optional<Time>& age, Time now) { return age ? now - *age : kLongAgo; }

Limit limit_of(const Route& route, const State& state, cometspoke::DestinationId told_as, Time now) {
    Limit limit{route.known_limit, route.share_factor, route.reported_limit, route.reported_remaining, {}};
    if (const auto report = state.reported_limits_.find(told_as)) limit.age = ago(report->observed_at, now);
    return limit;
}
std::optional<LearnedEvent::Limit> limit_of(const Limit& limit, Time now) {
    if (!limit.any()) return std::nullopt;
    return LearnedEvent::Limit{limit.known, limit.gain, limit.heard, limit.left, then(limit.age, now)};
}

}  // namespace

Snapshot facts_of(cometspoke::Sender& module, const Names& names, Time now) {
    State& state = module.state();
    Snapshot all;
    all.usual_s = state.overall_latency_s_;
    for (auto& [number, endpoint] : state.endpoints_) {
        if (endpoint.destination_record == nullptr || !endpoint.is_counted) continue;
        const bool apart = state.has_own_route(endpoint), well = endpoint.health == Health::Healthy;
        TargetFact fact;
        if (apart) fact.limit = limit_of(endpoint.own_route, state, state.limit_key(endpoint), now);
        if (well && !fact.limit.any()) continue;
        const std::string* name = names(number);
        if (name == nullptr) continue;
        fact.id = *name, fact.destination = endpoint.destination;
        if (!well)
            fact.outage = Outage{endpoint.health == Health::Recovering, endpoint.failure_seen,
                endpoint.failure_rate, endpoint.aware_share, endpoint.consecutive_refusals,
                ago(endpoint.unhealthy_since, now).value_or(Time(0)), ago(endpoint.last_success_at, now),
                ago(endpoint.last_outcome_at, now), ago(endpoint.recovery_start, now),
                endpoint.recovery_tag > now ? endpoint.recovery_tag - now : Time(0)};
        all.targets.push_back(std::move(fact));
    }
    for (const auto& [number, one] : state.destinations_) {
        DestinationFact fact{number, limit_of(one.shared_route, state, number, now), one.typical_latency_s,
            one.served_rate, 0};
        if (const auto age = ago(one.last_message_at, now))  // as of now
            fact.asked_per_s = one.message_rate * std::exp(-std::chrono::duration<double>(*age).count() /
                                                           cometspoke::policy::kArrivalRateMemory_s);
        if (fact.limit.any() || fact.usual_s > 0) all.destinations.push_back(fact);
    }
    return all;
}

LearnedEvent event_of(const Snapshot& facts, const std::map<std::string, EndpointId>& to, Time now) {
    LearnedEvent event;
    event.usual_s = facts.usual_s;
    for (const DestinationFact& fact : facts.destinations)
        event.destinations.push_back(
            {fact.number, limit_of(fact.limit, now), fact.usual_s, fact.served_per_s, fact.asked_per_s});
    for (const TargetFact& fact : facts.targets) {
        const auto number = to.find(fact.id);
        if (number == to.end()) continue;
        LearnedEvent::Endpoint one{number->second, fact.destination, {}, {}, limit_of(fact.limit, now)};
        if (fact.outage) {
            const Outage& out = *fact.outage;
            one.outage = LearnedEvent::Outage{out.answers, out.failure_seen, out.failing, out.knowing,
                out.refused_row, now - out.fell, then(out.good, now), then(out.heard, now),
                then(out.returned, now), now + std::max(Time(0), out.next_trial)};
        }
        event.endpoints.push_back(std::move(one));
    }
    return event;
}

}  // namespace lockgw::recovery
