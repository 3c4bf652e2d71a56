/// What outcomes teach: health of endpoints, limits, usual times, and the budget of a way back.
#pragma once

#include "base/warming.hpp"
#include "policy/mclock_tags.hpp"

namespace cometspoke::policy {

struct EndpointHealth : MclockTags {
    using MclockTags::MclockTags;

    void learn(
        const Call& call, Outcome outcome, const std::optional<LoadReport>& report, Time rtt, Time now) {
        const EndpointId id = call.endpoint;
        const Time sent = call.sent;
        Endpoint& endpoint = endpoints_.at(id);
        Route& route = route_of(endpoint);
        if (report && report->limit > 0) {
            route.known = route.heard = report->limit, route.left = report->left;
            if (has_own_route(endpoint)) endpoint.home->told = report->limit;
            if (tells() && (!has_own_route(endpoint) || endpoint.known_as != 0)) {
                reported_limits_.merge({limit_key(endpoint), report->limit, report->left, now});
                retag(route, *endpoint.home);
            }
        }
        if (outcome == Outcome::CalledOff) return;  // our own doing: it says nothing new of the endpoint
        if (outcome == Outcome::ConnectionLost) endpoint.lost_at = now;
        if (outcome == Outcome::Unreadable || outcome == Outcome::ConnectionLost) return spoil(endpoint, now);
        if (outcome == Outcome::Served) {
            for (auto& [other_id, other] : calls_)
                if (other.endpoint == id && other.sent < sent) other.overtaken = true;
            return succeed(id, report ? report->left : 0.0, rtt, now);
        }
        if (outcome == Outcome::TurnedAway) lower_limit(route, endpoint, now);
        const bool shut = outcome == Outcome::TurnedAway &&
                          (route.wait_until > now + kLongWait || (report && report->left > kRoomLeft));
        const bool no_room = outcome == Outcome::NoConnection && now - sent < kSlowConnect;
        // one may be lost on the way; with none made between them they are turned away for their number
        const bool again = no_room && endpoint.unconnected_at > endpoint.last_good;
        if (again && endpoint.health == Health::Well) connect_refused_at_[endpoint.kind] = now;
        if (no_room) endpoint.unconnected_at = now;
        // calls that broke off, then refused connects: the process died. One of each is the network's noise.
        const bool died = again && endpoint.lost_at > endpoint.last_good;
        if (died) endpoint.failing = 1.0;
        if (!died && ((outcome == Outcome::TurnedAway && !shut) || no_room)) {
            if (report && report->limit > 0) return;  // its limit is used up: no outage
            // refusals of calls sent before the last one was known are the same piece of news
            if (sent <= endpoint.refused_at) return;
            endpoint.refused_at = now;
            if (++endpoint.refused_row < kShutRefusals) return;
        }
        endpoint.failing += news(endpoint, now) * (1.0 - endpoint.failing);
        endpoint.failure_seen = true;
        if (route.wait_until > now + kLongWait)  // a told opening holds for all endpoints that share the wait
            for (const EndpointId other : endpoint.home->endpoints)
                if (&route_of(endpoints_.at(other)) == &route) fall_sick(endpoints_.at(other), now);
        if (endpoint.health != Health::Returning && endpoint.failing <= kFailTrip) return;
        if (no_room) connect_refused_at_[endpoint.kind] = kLongAgo;  // it is down: no allowance was used up
        fall_sick(endpoint, now);
    }
    // It took the call and answered: no sign of an outage, unless hardly any other answer comes.
    void spoil(Endpoint& endpoint, Time now) {
        endpoint.failing += kSpoiltBlend * (1.0 - endpoint.failing), endpoint.heard = now;
        if (endpoint.failing <= kFailTrip || endpoint.health != Health::Well) return;
        endpoint.failure_seen = true;
        fall_sick(endpoint, now);
    }
    // How much the newest outcome weighs in the share of failures: more where the ones before are old.
    double news(Endpoint& endpoint, Time now) {
        const double age = seconds(now - std::exchange(endpoint.heard, now));
        return std::max(kFailBlend, 1.0 - std::exp(-age / kNewsAge_s));
    }
    void lower_limit(Route& route, const Endpoint& endpoint, Time now) {
        const double before = route.gain > 0 ? route.gain : senders();
        route.gain = std::max(kLeastGain, before * std::pow(senders(), kFall * ++route.refusals));
        if (endpoint.home->in_flight > 1) return;
        const double spread = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
        const double l = limit(route, *endpoint.home);
        if (now + from_seconds(spread / l) <= route.limit_tag) return;
        route.limit_tag = now + from_seconds(spread / l);
        route.paced_from = now, route.paced_by = spread;
    }
    // From a peer: how fast to go. It sets no wait and frees none, tells nothing of attempts, and is no
    // ground for the budget of a way back; whatever it claims, a call goes soon and brings own news.
    void hear(const lockgw::rate_limits::RateLimitReport& report, Time now) {
        const auto place = endpoint_by_limit_key_.find(report.destination);  // of one whose routes are apart
        Endpoint* endpoint = place == endpoint_by_limit_key_.end() ? nullptr : &endpoints_.at(place->second);
        const auto found = destinations_.find(endpoint ? endpoint->destination : report.destination);
        if (found == destinations_.end() || !reported_limits_.merge(report)) return;
        Route& route = endpoint ? endpoint->own : found->second.shared;
        route.heard = report.limit, route.left = report.remaining;
        const Time latest = std::max(route.limit_tag, now + kLongestNews);
        retag(route, found->second);
        route.limit_tag = std::min(route.limit_tag, latest);
        reschedule(found->first, now);
    }
    void succeed(EndpointId id, double left, Time rtt, Time now) {
        Endpoint& endpoint = endpoints_.at(id);
        Destination& destination = *endpoint.home;
        Route& route = route_of(endpoint);
        route.gain = std::min(senders(), route.gain * std::pow(senders(), kRise + left * kRiseRoom));
        route.refusals = 0;
        if (rtt > Time(0)) {
            blend_usual(destination.usual, seconds(rtt));
            blend_usual(overall_latency_s_, seconds(rtt));
        }
        if (destination.last_served != kLongAgo && now > destination.last_served) {
            const double rate = std::min(kRateClip, 1.0 / seconds(now - destination.last_served));
            const double before = destination.served_rate > 0 ? destination.served_rate : rate;
            destination.served_rate = before + kRateBlend * (rate - before);
        }
        destination.last_served = now;
        endpoint.failing *= 1.0 - news(endpoint, now);
        endpoint.refused_row = 0, endpoint.last_good = now;
        recover(endpoint, now);
    }
    void blend_usual(double& usual_time, double sample) {
        if (usual_time <= 0) usual_time = sample;
        usual_time += kUsualBlend * (std::min(sample, kUsualClip * usual_time) - usual_time);
    }
    void fall_sick(Endpoint& endpoint, Time now) {
        if (endpoint.health == Health::Well) endpoint.fell = now;
        endpoint.health = Health::Sick;
        if (const Time opening = route_of(endpoint).wait_until; opening > now + kLongWait) {
            endpoint.health = Health::Returning;
            endpoint.returned = endpoint.cold_tag = opening;
        }
        spend_budget(endpoint, now);
        reschedule(endpoint.destination, now);
    }
    // Silence alone, ended by a success before any failure was seen, was no outage. After one, slow start.
    void recover(Endpoint& endpoint, Time now) {
        if (endpoint.health == Health::Sick) {
            endpoint.health = endpoint.failure_seen ? Health::Returning : Health::Well;
            endpoint.returned = now;
        }
        if (endpoint.health == Health::Returning && now - endpoint.returned >= settings_.warm_within)
            endpoint.health = Health::Well;
        if (endpoint.health == Health::Well) endpoint.failure_seen = false;
    }
    // The fall-back budget as a limit tag: own part of multiple x present capacity, which rises evenly from
    // cold_from after the return, taken as no earlier than the first success or a told opening; before that a
    // trial may meet it at its coldest. Spread, lest senders that saw the same failure come back together.
    void spend_budget(Endpoint& endpoint, Time now) {
        const std::size_t sharing = has_own_route(endpoint) ? 1 : endpoint.home->endpoints.size();
        const double present = capacity(route_of(endpoint), *endpoint.home) / std::max<double>(1, sharing);
        const Time from = std::max(endpoint.cold_tag, now);
        // only senders that called since it went out know of the outage; once it is back no more learn of it
        if (endpoint.last_good <= endpoint.fell) {
            const Time out = from - (endpoint.last_good + endpoint.fell) / 2;
            endpoint.knowing = std::max(kLeastKnowing, 1.0 - std::exp(-endpoint.home->asked * seconds(out)));
        }
        const double rate = kBudgetUse * settings_.fall_multiple * settings_.cold_from * present /
                            (senders() * endpoint.knowing);
        const double longest = seconds(settings_.fall) * senders() / kLeastTrials;
        const double step =
            std::uniform_real_distribution<double>(0.5, 1.5)(random_) * std::min(1.0 / rate, longest);
        // not heard of for a warm-up and a half: it may well be back
        const Time back = endpoint.health == Health::Returning
                              ? endpoint.returned
                              : endpoint.heard + 3 * settings_.warm_within / 2;
        const Time gap = from_seconds(warming_gap(settings_, step, seconds(back - from)));
        const bool answers = endpoint.health == Health::Returning && endpoint.last_good > endpoint.fell;
        // each may go ahead of its part while all that know of the outage together stay within chance of it
        const double know = senders() * endpoint.knowing, all = rate * seconds(settings_.fall) * know;
        const Time ahead = from_seconds(seconds(settings_.fall) * know / (all + 2.0 * std::sqrt(all) + 2.0));
        const Time least = answers ? kLeastGap : paced(kTrialGap, kTrialTimes);
        endpoint.cold_tag = from + std::clamp(gap, least, answers ? std::max(kTrialGap, ahead) : kNever);
    }
    // Waiting summed over the calls out since the last success, in usual times.
    void watch_silence(Time now) {
        std::vector<std::pair<EndpointId, double>> waiting;  // few: no more than calls
        for (const auto& [id, call] : calls_) {
            if (call.overtaken || call.at->health != Health::Well) continue;  // it hangs alone, or is known
            auto sum = std::find_if(waiting.begin(), waiting.end(),
                [&call = call](const auto& one) { return one.first == call.endpoint; });
            if (sum == waiting.end()) sum = waiting.insert(sum, {call.endpoint, 0.0});
            sum->second += seconds(now - std::max(call.sent, call.at->last_good)) / usual(*call.at->home);
        }
        std::sort(waiting.begin(), waiting.end());
        for (const auto& [id, sum] : waiting)
            if (sum > kSilentTimes) fall_sick(endpoints_.at(id), now);
    }
};

}  // namespace cometspoke::policy
