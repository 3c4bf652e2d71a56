/// What outcomes teach: health of endpoints, limits, usual times, and the budget of a way back.
#pragma once

#include "base/slow_start.hpp"
#include "policy/mclock_tags.hpp"

namespace cometspoke::policy {

struct EndpointHealth : MclockTags {
    using MclockTags::MclockTags;

    void learn(
        const Call& call, Outcome outcome, const std::optional<LoadReport>& report, Time rtt, Time now) {
        const EndpointId id = call.endpoint;
        const Time sent = call.sent_at;
        Endpoint& endpoint = endpoints_.at(id);
        Route& route = route_of(endpoint);
        if (report && report->limit > 0) {
            route.known_limit = route.reported_limit = report->limit, route.reported_remaining = report->left;
            if (has_own_route(endpoint)) endpoint.destination_record->newest_endpoint_limit = report->limit;
            if (tells() && (!has_own_route(endpoint) || endpoint.known_as != 0)) {
                reported_limits_.merge({limit_key(endpoint), report->limit, report->left, now});
                retag(route, *endpoint.destination_record);
            }
        }
        if (outcome == Outcome::CalledOff) return;  // our own doing: it says nothing new of the endpoint
        if (outcome == Outcome::ConnectionLost) endpoint.connection_lost_at = now;
        if (outcome == Outcome::Unreadable || outcome == Outcome::ConnectionLost) return spoil(endpoint, now);
        if (outcome == Outcome::Served) {
            for (auto& [other_id, other] : calls_)
                if (other.endpoint == id && other.sent_at < sent) other.overtaken = true;
            return succeed(id, report ? report->left : 0.0, rtt, now);
        }
        if (outcome == Outcome::TurnedAway) lower_limit(route, endpoint, now);
        const bool shut = outcome == Outcome::TurnedAway &&
                          (route.wait_until > now + kLongWait || (report && report->left > kRoomLeft));
        const bool no_room = outcome == Outcome::NoConnection && now - sent < kSlowConnect;
        // one may be lost on the way; with none made between them they are turned away for their number
        const bool again = no_room && endpoint.connect_failed_at > endpoint.last_success_at;
        if (again && endpoint.health == Health::Healthy) connect_refused_at_[endpoint.kind] = now;
        if (no_room) endpoint.connect_failed_at = now;
        // calls that broke off, then refused connects: the process died. One of each is the network's noise.
        const bool died = again && endpoint.connection_lost_at > endpoint.last_success_at;
        if (died) endpoint.failure_rate = 1.0;
        if (!died && ((outcome == Outcome::TurnedAway && !shut) || no_room)) {
            if (report && report->limit > 0) return;  // its limit is used up: no outage
            // refusals of calls sent before the last one was known are the same piece of news
            if (sent <= endpoint.last_refusal_at) return;
            endpoint.last_refusal_at = now;
            if (++endpoint.consecutive_refusals < kShutRefusals) return;
        }
        endpoint.failure_rate += news(endpoint, now) * (1.0 - endpoint.failure_rate);
        endpoint.failure_seen = true;
        if (route.wait_until > now + kLongWait)  // a told opening holds for all endpoints that share the wait
            for (const EndpointId other : endpoint.destination_record->endpoints)
                if (&route_of(endpoints_.at(other)) == &route) fall_sick(endpoints_.at(other), now);
        if (endpoint.health != Health::Recovering && endpoint.failure_rate <= kFailTrip) return;
        if (no_room) connect_refused_at_[endpoint.kind] = kLongAgo;  // it is down: no allowance was used up
        fall_sick(endpoint, now);
    }
    // It took the call and answered: no sign of an outage, unless hardly any other answer comes.
    void spoil(Endpoint& endpoint, Time now) {
        endpoint.failure_rate += kSpoiltBlend * (1.0 - endpoint.failure_rate), endpoint.last_outcome_at = now;
        if (endpoint.failure_rate <= kFailTrip || endpoint.health != Health::Healthy) return;
        endpoint.failure_seen = true;
        fall_sick(endpoint, now);
    }
    // How much the newest outcome weighs in the share of failures: more where the ones before are old.
    double news(Endpoint& endpoint, Time now) {
        const double age = seconds(now - std::exchange(endpoint.last_outcome_at, now));
        return std::max(kFailBlend, 1.0 - std::exp(-age / kNewsAge_s));
    }
    void lower_limit(Route& route, const Endpoint& endpoint, Time now) {
        const double before = route.share_factor > 0 ? route.share_factor : senders();
        route.share_factor =
            std::max(kLeastGain, before * std::pow(senders(), kFall * ++route.limit_reductions));
        if (endpoint.destination_record->in_flight > 1) return;
        const double spread = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
        const double l = limit(route, *endpoint.destination_record);
        if (now + from_seconds(spread / l) <= route.limit_tag) return;
        route.limit_tag = now + from_seconds(spread / l);
        route.limit_tag_base = now, route.limit_tag_intervals = spread;
    }
    // From a peer: how fast to go. It sets no wait and frees none, tells nothing of attempts, and is no
    // ground for the budget of a way back; whatever it claims, a call goes soon and brings own news.
    void hear(const lockgw::rate_limits::RateLimitReport& report, Time now) {
        const auto place = endpoint_by_limit_key_.find(report.destination);  // of one whose routes are apart
        Endpoint* endpoint = place == endpoint_by_limit_key_.end() ? nullptr : &endpoints_.at(place->second);
        const auto found = destinations_.find(endpoint ? endpoint->destination : report.destination);
        if (found == destinations_.end() || !reported_limits_.merge(report)) return;
        Route& route = endpoint ? endpoint->own_route : found->second.shared_route;
        route.reported_limit = report.limit, route.reported_remaining = report.remaining;
        const Time latest = std::max(route.limit_tag, now + kLongestNews);
        retag(route, found->second);
        route.limit_tag = std::min(route.limit_tag, latest);
        reschedule(found->first, now);
    }
    void succeed(EndpointId id, double left, Time rtt, Time now) {
        Endpoint& endpoint = endpoints_.at(id);
        Destination& destination = *endpoint.destination_record;
        Route& route = route_of(endpoint);
        route.share_factor =
            std::min(senders(), route.share_factor * std::pow(senders(), kRise + left * kRiseRoom));
        route.limit_reductions = 0;
        if (rtt > Time(0)) {
            blend_usual(destination.typical_latency_s, seconds(rtt));
            blend_usual(overall_latency_s_, seconds(rtt));
        }
        if (destination.last_served != kLongAgo && now > destination.last_served) {
            const double rate = std::min(kRateClip, 1.0 / seconds(now - destination.last_served));
            const double before = destination.served_rate > 0 ? destination.served_rate : rate;
            destination.served_rate = before + kRateBlend * (rate - before);
        }
        destination.last_served = now;
        endpoint.failure_rate *= 1.0 - news(endpoint, now);
        endpoint.consecutive_refusals = 0, endpoint.last_success_at = now;
        recover(endpoint, now);
    }
    void blend_usual(double& usual_time, double sample) {
        if (usual_time <= 0) usual_time = sample;
        usual_time += kUsualBlend * (std::min(sample, kUsualClip * usual_time) - usual_time);
    }
    void fall_sick(Endpoint& endpoint, Time now) {
        if (endpoint.health == Health::Healthy) endpoint.unhealthy_since = now;
        endpoint.health = Health::Unhealthy;
        if (const Time opening = route_of(endpoint).wait_until; opening > now + kLongWait) {
            endpoint.health = Health::Recovering;
            endpoint.recovery_start = endpoint.recovery_tag = opening;
        }
        spend_budget(endpoint, now);
        reschedule(endpoint.destination, now);
    }
    // Silence alone, ended by a success before any failure was seen, was no outage. After one, slow start.
    void recover(Endpoint& endpoint, Time now) {
        if (endpoint.health == Health::Unhealthy) {
            endpoint.health = endpoint.failure_seen ? Health::Recovering : Health::Healthy;
            endpoint.recovery_start = now;
        }
        if (endpoint.health == Health::Recovering && now - endpoint.recovery_start >= settings_.warm_within)
            endpoint.health = Health::Healthy;
        if (endpoint.health == Health::Healthy) endpoint.failure_seen = false;
    }
    // The fall-back budget as a limit tag: own part of multiple x present capacity, which rises evenly from
    // cold_from after the return, taken as no earlier than the first success or a told opening; before that a
    // trial may meet it at its coldest. Spread, lest senders that saw the same failure come back together.
    void spend_budget(Endpoint& endpoint, Time now) {
        const std::size_t sharing =
            has_own_route(endpoint) ? 1 : endpoint.destination_record->endpoints.size();
        const double present =
            capacity(route_of(endpoint), *endpoint.destination_record) / std::max<double>(1, sharing);
        const Time from = std::max(endpoint.recovery_tag, now);
        // only senders that called since it went out know of the outage; once it is back no more learn of it
        if (endpoint.last_success_at <= endpoint.unhealthy_since) {
            const Time out = from - (endpoint.last_success_at + endpoint.unhealthy_since) / 2;
            endpoint.aware_share = std::max(
                kLeastKnowing, 1.0 - std::exp(-endpoint.destination_record->message_rate * seconds(out)));
        }
        const double rate = kBudgetUse * settings_.fall_multiple * settings_.cold_from * present /
                            (senders() * endpoint.aware_share);
        const double longest = seconds(settings_.fall) * senders() / kLeastTrials;
        const double step =
            std::uniform_real_distribution<double>(0.5, 1.5)(random_) * std::min(1.0 / rate, longest);
        // not heard of for a warm-up and a half: it may well be back
        const Time back = endpoint.health == Health::Recovering
                              ? endpoint.recovery_start
                              : endpoint.last_outcome_at + 3 * settings_.warm_within / 2;
        const Time gap = from_seconds(slow_start_interval(settings_, step, seconds(back - from)));
        const bool answers =
            endpoint.health == Health::Recovering && endpoint.last_success_at > endpoint.unhealthy_since;
        // each may go ahead of its part while all that know of the outage together stay within chance of it
        const double know = senders() * endpoint.aware_share, all = rate * seconds(settings_.fall) * know;
        const Time ahead = from_seconds(seconds(settings_.fall) * know / (all + 2.0 * std::sqrt(all) + 2.0));
        const Time least = answers ? kLeastGap : paced(kTrialGap, kTrialTimes);
        endpoint.recovery_tag = from + std::clamp(gap, least, answers ? std::max(kTrialGap, ahead) : kNever);
    }
    // Waiting summed over the calls out since the last success, in usual times.
    void watch_silence(Time now) {
        std::vector<std::pair<EndpointId, double>> waiting;  // few: no more than calls
        for (const auto& [id, call] : calls_) {
            if (call.overtaken || call.endpoint_record->health != Health::Healthy)
                continue;  // it hangs alone, or is known
            auto sum = std::find_if(waiting.begin(), waiting.end(),
                [&call = call](const auto& one) { return one.first == call.endpoint; });
            if (sum == waiting.end()) sum = waiting.insert(sum, {call.endpoint, 0.0});
            sum->second += seconds(now - std::max(call.sent_at, call.endpoint_record->last_success_at)) /
                           usual(*call.endpoint_record->destination_record);
        }
        std::sort(waiting.begin(), waiting.end());
        for (const auto& [id, sum] : waiting)
            if (sum > kSilentTimes) fall_sick(endpoints_.at(id), now);
    }
};

}  // namespace cometspoke::policy
