/// What the outcomes of calls teach: the health of endpoints, rate limits, typical latencies, and the
/// recovery budget.
///
/// An endpoint becomes unhealthy (mark_unhealthy) when most of its calls fail (record_outcome), when most of
/// its answers are unreadable (record_unreadable), or when its calls stay without an answer (detect_silence).
/// From its first success on it is in slow start for Settings::warm_within (advance_recovery). Until it is
/// healthy again, the recovery budget spaces the calls to it (charge_recovery_budget).
#pragma once

#include "base/slow_start.hpp"
#include "policy/mclock_tags.hpp"

namespace cometspoke::policy {

struct EndpointHealth : MclockTags {
    using MclockTags::MclockTags;

    // The outcome of a call, once for each call, whatever number of messages it carried.
    void record_outcome(
        const Call& call, Outcome outcome, const std::optional<LoadReport>& report, Time rtt, Time now) {
        const EndpointId id = call.endpoint;
        const Time sent = call.sent_at;
        Endpoint& endpoint = endpoints_.at(id);
        Route& route = route_of(endpoint);
        if (report && report->limit > 0) {
            route.known_limit = route.reported_limit = report->limit, route.reported_remaining = report->left;
            if (has_own_route(endpoint)) endpoint.destination_record->newest_endpoint_limit = report->limit;
            if (gossips_limits() && (!has_own_route(endpoint) || endpoint.known_as != 0)) {
                reported_limits_.merge({limit_key(endpoint), report->limit, report->left, now});
                update_limit_tag(route, *endpoint.destination_record);
            }
        }
        // cancelled by this sender: says nothing new about the endpoint
        if (outcome == Outcome::CalledOff) return;
        if (outcome == Outcome::ConnectionLost) endpoint.connection_lost_at = now;
        if (outcome == Outcome::Unreadable || outcome == Outcome::ConnectionLost)
            return record_unreadable(endpoint, now);
        if (outcome == Outcome::Served) {
            for (auto& [earlier_id, earlier] : calls_)
                if (earlier.endpoint == id && earlier.sent_at < sent) earlier.overtaken = true;
            return record_success(id, report ? report->left : 0.0, rtt, now);
        }
        if (outcome == Outcome::TurnedAway) reduce_limit(route, endpoint, now);
        const bool closed =
            outcome == Outcome::TurnedAway &&
            (route.wait_until > now + kOutageRetryAfter || (report && report->left > kOutageShareLeft));
        const bool connect_refused = outcome == Outcome::NoConnection && now - sent < kSlowConnectFailure;
        // a single refused connect may be the network's fault; two without a success between them mean that
        // the endpoint accepts no more connections
        const bool refused_again = connect_refused && endpoint.connect_failed_at > endpoint.last_success_at;
        if (refused_again && endpoint.health == Health::Healthy) connect_refused_at_[endpoint.kind] = now;
        if (connect_refused) endpoint.connect_failed_at = now;
        // A lost connection followed by two refused connects: the process died. One of each may be the
        // network's fault.
        const bool crashed = refused_again && endpoint.connection_lost_at > endpoint.last_success_at;
        if (crashed) endpoint.failure_rate = 1.0;
        if (!crashed && ((outcome == Outcome::TurnedAway && !closed) || connect_refused)) {
            if (report && report->limit > 0) return;  // the limit is used up: no outage
            // refusals of calls that were sent before the last refusal was known say the same thing again
            if (sent <= endpoint.last_refusal_at) return;
            endpoint.last_refusal_at = now;
            if (++endpoint.consecutive_refusals < kOutageRefusals) return;
        }
        endpoint.failure_rate += failure_weight(endpoint, now) * (1.0 - endpoint.failure_rate);
        endpoint.failure_seen = true;
        // the endpoint said until when it is closed: so are all endpoints that share the wait
        if (route.wait_until > now + kOutageRetryAfter)
            for (const EndpointId sibling : endpoint.destination_record->endpoints)
                if (&route_of(endpoints_.at(sibling)) == &route) mark_unhealthy(endpoints_.at(sibling), now);
        if (endpoint.health != Health::Recovering && endpoint.failure_rate <= kOutageFailureShare) return;
        // it is down: the refused connects were no sign of a connection limit
        if (connect_refused) connect_refused_at_[endpoint.kind] = kLongAgo;
        mark_unhealthy(endpoint, now);
    }
    // An answer that could not be read, or that broke off. The endpoint took the call: that is a sign of an
    // outage only where hardly any other answer comes.
    void record_unreadable(Endpoint& endpoint, Time now) {
        endpoint.failure_rate += kUnreadableSmoothing * (1.0 - endpoint.failure_rate),
            endpoint.last_outcome_at = now;
        if (endpoint.failure_rate <= kOutageFailureShare || endpoint.health != Health::Healthy) return;
        endpoint.failure_seen = true;
        mark_unhealthy(endpoint, now);
    }
    // The weight of the newest outcome in the share of failures (Endpoint::failure_rate): higher the older
    // the one before is.
    double failure_weight(Endpoint& endpoint, Time now) {
        const double age = seconds(now - std::exchange(endpoint.last_outcome_at, now));
        return std::max(kFailureSmoothing, 1.0 - std::exp(-age / kFailureMemory_s));
    }
    // A refusal: lowers this sender's part of the limit. Where no other call is out to the destination, it
    // also puts the next call off by about 1/l, at random between half and one and a half of that.
    void reduce_limit(Route& route, const Endpoint& endpoint, Time now) {
        const double before = route.share_factor > 0 ? route.share_factor : sender_count();
        route.share_factor = std::max(
            kMinLearnedShare, before * std::pow(sender_count(), kRefusalExponent * ++route.limit_reductions));
        if (endpoint.destination_record->in_flight > 1) return;
        const double jitter = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
        const double l = sender_limit(route, *endpoint.destination_record);
        if (now + from_seconds(jitter / l) <= route.limit_tag) return;
        route.limit_tag = now + from_seconds(jitter / l);
        route.limit_tag_base = now, route.limit_tag_intervals = jitter;
    }
    // A rate limit that a peer reports. It changes only the rate of calls: it neither sets nor ends a wait,
    // says nothing about attempts, and is not used for the recovery budget. Whatever a peer claims, the next
    // call goes within kMaxGossipDelay, and its answer shows the limit first-hand.
    void apply_peer_limit(const lockgw::rate_limits::RateLimitReport& report, Time now) {
        const auto own_route = endpoint_by_limit_key_.find(report.destination);
        Endpoint* endpoint =
            own_route == endpoint_by_limit_key_.end() ? nullptr : &endpoints_.at(own_route->second);
        const auto found = destinations_.find(endpoint ? endpoint->destination : report.destination);
        if (found == destinations_.end() || !reported_limits_.merge(report)) return;
        Route& route = endpoint ? endpoint->own_route : found->second.shared_route;
        route.reported_limit = report.limit, route.reported_remaining = report.remaining;
        const Time latest = std::max(route.limit_tag, now + kMaxGossipDelay);
        update_limit_tag(route, found->second);
        route.limit_tag = std::min(route.limit_tag, latest);
        reschedule(found->first, now);
    }
    // `left`: the reported share of the limit that is left; 0 where the answer reported none.
    void record_success(EndpointId id, double left, Time rtt, Time now) {
        Endpoint& endpoint = endpoints_.at(id);
        Destination& destination = *endpoint.destination_record;
        Route& route = route_of(endpoint);
        route.share_factor = std::min(sender_count(),
            route.share_factor *
                std::pow(sender_count(), kSuccessExponent + left * kSuccessExponentPerShareLeft));
        route.limit_reductions = 0;
        if (rtt > Time(0)) {
            smooth_latency(destination.typical_latency_s, seconds(rtt));
            smooth_latency(overall_latency_s_, seconds(rtt));
        }
        if (destination.last_served != kLongAgo && now > destination.last_served) {
            const double rate = std::min(kMaxServedRateSample, 1.0 / seconds(now - destination.last_served));
            const double before = destination.served_rate > 0 ? destination.served_rate : rate;
            destination.served_rate = before + kServedRateSmoothing * (rate - before);
        }
        destination.last_served = now;
        endpoint.failure_rate *= 1.0 - failure_weight(endpoint, now);
        endpoint.consecutive_refusals = 0, endpoint.last_success_at = now;
        advance_recovery(endpoint, now);
    }
    void smooth_latency(double& latency, double sample) {
        if (latency <= 0) latency = sample;
        latency += kLatencySmoothing * (std::min(sample, kLatencyClipFactor * latency) - latency);
    }
    // The endpoint has an outage. If it gave a long retry-after wait, its slow start begins at the end of
    // that wait.
    void mark_unhealthy(Endpoint& endpoint, Time now) {
        if (endpoint.health == Health::Healthy) endpoint.unhealthy_since = now;
        endpoint.health = Health::Unhealthy;
        if (const Time reopens_at = route_of(endpoint).wait_until; reopens_at > now + kOutageRetryAfter) {
            endpoint.health = Health::Recovering;
            endpoint.recovery_start = endpoint.recovery_tag = reopens_at;
        }
        charge_recovery_budget(endpoint, now);
        reschedule(endpoint.destination, now);
    }
    // After a success: an endpoint that failed goes into slow start, and is healthy once that is over. One
    // that was only silent, without a failure seen, had no outage and is healthy at once.
    void advance_recovery(Endpoint& endpoint, Time now) {
        if (endpoint.health == Health::Unhealthy) {
            endpoint.health = endpoint.failure_seen ? Health::Recovering : Health::Healthy;
            endpoint.recovery_start = now;
        }
        if (endpoint.health == Health::Recovering && now - endpoint.recovery_start >= settings_.warm_within)
            endpoint.health = Health::Healthy;
        if (endpoint.health == Health::Healthy) endpoint.failure_seen = false;
    }
    // Takes one call out of the recovery budget of an endpoint, by moving its recovery_tag: the next call may
    // go from then on. The budget is this sender's part of fall_multiple x present capacity, which rises
    // evenly from cold_from to all of it within warm_within after the return; the return is taken to be no
    // earlier than the first success or the end of a long retry-after wait, since a trial before that may
    // meet the endpoint with its least capacity. The gap is randomized, so that senders that saw the same
    // failure do not come back at the same moment.
    void charge_recovery_budget(Endpoint& endpoint, Time now) {
        const std::size_t sharing =
            has_own_route(endpoint) ? 1 : endpoint.destination_record->endpoints.size();
        const double present = estimated_capacity(route_of(endpoint), *endpoint.destination_record) /
                               std::max<double>(1, sharing);
        const Time from = std::max(endpoint.recovery_tag, now);
        // only senders that have called since the outage began know of it; after its end no more learn of it
        if (endpoint.last_success_at <= endpoint.unhealthy_since) {
            const Time outage = from - (endpoint.last_success_at + endpoint.unhealthy_since) / 2;
            endpoint.aware_share = std::max(
                kMinAwareShare, 1.0 - std::exp(-endpoint.destination_record->message_rate * seconds(outage)));
        }
        const double rate = kRecoveryBudgetUse * settings_.fall_multiple * settings_.cold_from * present /
                            (sender_count() * endpoint.aware_share);
        const double longest = seconds(settings_.fall) * sender_count() / kMinTrialsPerWindow;
        const double step =
            std::uniform_real_distribution<double>(0.5, 1.5)(random_) * std::min(1.0 / rate, longest);
        // without an outcome for one and a half slow starts it may well be back
        const Time expected_return = endpoint.health == Health::Recovering
                                         ? endpoint.recovery_start
                                         : endpoint.last_outcome_at + 3 * settings_.warm_within / 2;
        const Time gap = from_seconds(slow_start_interval(settings_, step, seconds(expected_return - from)));
        const bool answers =
            endpoint.health == Health::Recovering && endpoint.last_success_at > endpoint.unhealthy_since;
        // A sender may go faster than its part as long as all senders that know of the outage together stay
        // within what chance allows above the budget: `budget` calls in a window of Settings::fall, plus two
        // standard deviations.
        const double aware = sender_count() * endpoint.aware_share,
                     budget = rate * seconds(settings_.fall) * aware;
        const Time longest_gap =
            from_seconds(seconds(settings_.fall) * aware / (budget + 2.0 * std::sqrt(budget) + 2.0));
        const Time least =
            answers ? kMinRecoveryGap : scaled_to_latency(kUnhealthyTrialGap, kTrialGapLatencies);
        endpoint.recovery_tag =
            from + std::clamp(gap, least, answers ? std::max(kUnhealthyTrialGap, longest_gap) : kNever);
    }
    // Finds endpoints that do not answer: the waiting time of the calls out there, each counted from its
    // sending or from the endpoint's last success, is summed in typical latencies.
    void detect_silence(Time now) {
        std::vector<std::pair<EndpointId, double>> waiting;  // no more entries than calls out
        for (const auto& [id, call] : calls_) {
            // only this call is stuck, or the endpoint is known to be unhealthy
            if (call.overtaken || call.endpoint_record->health != Health::Healthy) continue;
            auto sum = std::find_if(waiting.begin(), waiting.end(),
                [&call = call](const auto& entry) { return entry.first == call.endpoint; });
            if (sum == waiting.end()) sum = waiting.insert(sum, {call.endpoint, 0.0});
            sum->second += seconds(now - std::max(call.sent_at, call.endpoint_record->last_success_at)) /
                           typical_latency_s(*call.endpoint_record->destination_record);
        }
        std::sort(waiting.begin(), waiting.end());
        for (const auto& [id, sum] : waiting)
            if (sum > kSilenceLatencies) mark_unhealthy(endpoints_.at(id), now);
    }
};

}  // namespace cometspoke::policy
