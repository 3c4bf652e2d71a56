/// The pick: which message goes next and where to, what is dropped, and which connections are kept.
#pragma once

#include "policy/load_shedding.hpp"

namespace cometspoke::policy {

struct Pick {
    DestinationId destination = 0;
    MessageId message = 0;
    EndpointId endpoint = 0;
};

struct Scheduler : LoadShedding {
    using LoadShedding::LoadShedding;

    // First the smallest R tag due; else the smallest P tag among destinations whose L tag is due.
    std::optional<Pick> choose(Time now) {
        picked_by_reservation_ = settings_.floor_per_s > 0;
        if (picked_by_reservation_)
            if (const auto pick = by_reservation(now)) return pick;
        picked_by_reservation_ = false;
        return by_share(now);
    }
    std::optional<Pick> by_reservation(Time now) {
        std::optional<Pick> best;
        Time least = kNever;
        for (const auto& [id, destination] : active_destinations_) {
            if (destination->reservation_tag > now || destination->reservation_tag >= least) continue;
            if (!under_cap(*destination) || (ailing(*destination) && !sick_may_go(*destination))) continue;
            if (const auto pick = head(id, *destination, now, false))
                best = pick, least = destination->reservation_tag;
        }
        return best;
    }
    // Who cannot go now is parked until something of it changes: no one is looked at twice in vain.
    std::optional<Pick> by_share(Time now) {
        while (true) {
            SchedulingOrder* first = nullptr;
            for (SchedulingOrder* order : {&healthy_order_, &unhealthy_idle_order_, &unhealthy_busy_order_}) {
                if (order->empty() ||
                    (order != &healthy_order_ && !sick_order_may_go(order == &unhealthy_idle_order_)))
                    continue;
                if (first == nullptr || *order->begin() < *first->begin()) first = order;
            }
            if (first == nullptr) return std::nullopt;
            const DestinationId id = first->begin()->second;
            Destination& destination = destinations_.at(id);
            if (under_cap(destination))
                if (const auto pick = head(id, destination, now, true)) return pick;
            leave_order(id, destination);
            destination.parked = true;
        }
    }
    void serve(const Pick& pick, Time now) {
        Destination& destination = destinations_[pick.destination];
        Endpoint& endpoint = endpoints_.at(pick.endpoint);
        const std::uint64_t call_id = ++call_count_;
        calls_.emplace(call_id, Call{pick.endpoint, &endpoint, now});
        ++endpoint.in_flight;
        ++destination.in_flight;
        take_connection(endpoint, now);
        endpoint.frequently_called =
            now - std::exchange(endpoint.last_call_at, now) < settings_.conn_idle / kReuse;
        if (ailing(*endpoint.destination_record)) ++unhealthy_calls_;
        if (const double w = endpoint.weight; w > 0)
            endpoint.virtual_finish =
                std::max(endpoint.virtual_finish, ++destination.virtual_time - kMostBehind / w) + 1.0 / w;
        send(pick.message, pick.endpoint, call_id, now);
        fill_call(destination, pick.endpoint, call_id, now);
        step_tags(pick.destination, destination, endpoint, now);
        reschedule(pick.destination, now);
    }
    void step_tags(DestinationId id, Destination& destination, Endpoint& endpoint, Time now) {
        Route& route = route_of(endpoint);
        const Time gap = interval_of(limit(route, destination));
        route.limit_tag_base = std::max(route.limit_tag, now - gap), route.limit_tag_intervals = 1.0;
        route.limit_tag = route.limit_tag_base + gap;
        if (endpoint.weight == 0) record_spillover(destination, senders(), ailing(destination), now);
        if (endpoint.health != Health::Healthy) spend_budget(endpoint, now);
        const double w = slot_weight(destination);
        const Time tag = destination.share_tag + share_tag_offset_;
        set_share_tag(id, destination,
            std::max(tag + interval_of(w), now - from_seconds(kSigma / w)) - share_tag_offset_);
        if (settings_.floor_per_s <= 0) return;
        const Time step = interval_of(settings_.floor_per_s);
        destination.reservation_tag = std::max(destination.reservation_tag + step, now);
        if (!picked_by_reservation_)
            destination.reservation_tag -= step;  // served by share: 1/r is taken off again
    }
    void send(MessageId id, EndpointId to, std::uint64_t call_id, Time now) {
        Message& message = messages_.at(id);
        attempts_.emplace(std::pair(id, message.attempts), Attempt{call_id, message.key, false});
        ++message.attempts, ++message.open_attempts;
        ++calls_.at(call_id).open_attempts;
        if (message.key) ++key_queues_[*message.key].open_attempts, line_changed(*message.key, now);
        changed(id, now);
        actions_.emplace_back(Send{id, to, time_out(message, now), resend_until(message)});
    }
    // Where a call may carry several messages, the next ones in order travel along.
    void fill_call(Destination& destination, EndpointId to, std::uint64_t call_id, Time now) {
        const std::size_t most = settings_.kinds[endpoints_.at(to).kind].per_call;
        if (most < 2 || endpoints_.at(to).health == Health::Unhealthy) return;
        std::size_t room = most - std::min(most, calls_.at(call_id).open_attempts);
        std::vector<MessageId> along;
        destination.ready.for_each([&](MessageId id) {
            const Message& message = messages_.at(id);
            if (along.size() < room && ready(id, message, now) && may_go(message, to)) along.push_back(id);
            return along.size() < room;
        });
        for (const MessageId id : along)
            if (ready(id, messages_.at(id), now)) send(id, to, call_id, now);
    }
    // The first message in arrival order that may be sent, with an endpoint for it. While the backlog is
    // longer than the aim of a held message, the one goes that loses most worth by waiting the backlog out.
    std::optional<Pick> head(DestinationId id, const Destination& destination, Time now, bool limited) {
        const std::vector<EndpointId> open_now = open_endpoints(destination, now, limited);
        if (open_now.empty()) return std::nullopt;
        const Time backlog = backlog_of(destination);
        std::optional<Pick> best;
        double most = 0.0;
        std::set<std::size_t> stuck;  // classes of which none may go
        const auto look = [&](MessageId message_id) {
            const Message& message = messages_.at(message_id);
            if (stuck.contains(message.message_class) || !ready(message_id, message, now)) return true;
            const double loss =
                backlog == Time(0) ? 0.0 : worth_of(message, now) - worth_of(message, now + backlog);
            if (best && loss <= most) return true;
            if (const auto endpoint = endpoint_for(open_now, message, now))
                best = Pick{id, message_id, *endpoint}, most = loss;
            else if (settings_.classes[message.message_class].effect == Effect::Fragile)
                stuck.insert(message.message_class);
            return !best || backlog != Time(0);
        };
        if (backlog == Time(0) || destination.ready.size() <= kExactReady)
            destination.ready.for_each(look);
        else  // many wait: those at the front, and of each class those round its aim, where most is lost
            destination.ready.for_each_sampled(
                kLookAround, [&](std::size_t kind) { return now - settings_.classes[kind].aim; }, look);
        return best;
    }
    // How long the held messages take to go out, where that is longer than the aim of one of them; else 0.
    Time backlog_of(const Destination& destination) const {
        if (destination.served_rate <= 0) return Time(0);  // nothing is known yet: the ordinary path
        Time shortest = kNever;
        for (const auto& [kind, count] : destination.held_by_class)
            if (count > 0) shortest = std::min(shortest, settings_.classes[kind].aim);
        const double held = static_cast<double>(destination.held.size()) - destination.in_flight;
        const Time backlog = from_seconds(std::max(0.0, held) / drain_rate(destination));
        return backlog > shortest ? backlog : Time(0);
    }
    // Not out, its pause over, its key's turn, and inside its window if it may have run.
    bool ready(MessageId id, const Message& message, Time now) const {
        if (message.open_attempts > 0 || message.not_before > now || message.deadline <= now) return false;
        if (message.attempts >= class_settings(message).max_attempts) return false;
        if (now > resend_until(message)) return false;
        return !message.key || turn_at(id, *message.key) <= now;
    }
    std::vector<EndpointId> open_endpoints(const Destination& destination, Time now, bool limited) {
        std::vector<EndpointId> all;
        for (const EndpointId id : destination.endpoints)
            if (open(id, now) && !(limited && lacks_limit(endpoints_.at(id), now))) all.push_back(id);
        return all;
    }
    bool lacks_limit(Endpoint& e, Time now) {
        return route_of(e).limit_tag > now || spillover_blocked(e, now);
    }
    std::optional<EndpointId> endpoint_for(
        const std::vector<EndpointId>& open_now, const Message& message, Time now) const {
        std::optional<EndpointId> best;
        std::pair<double, std::uint64_t> least;
        for (const EndpointId id : open_now) {
            if (!may_go(message, id)) continue;
            const std::pair cost(cost_of(endpoints_.at(id), now), rank_of(id));
            if (!best || cost < least) best = id, least = cost;
        }
        return best;
    }
    // An endpoint with an idle connection first, then the least busy; the own zone before another; each in
    // turn by its part of the calls.
    double cost_of(const Endpoint& endpoint, Time now) const {
        double cost = endpoint.in_flight;
        if (endpoint.destination_record->subsetted)
            cost += endpoint.weight > 0 ? kAhead * std::max(-kMostBehind, ahead_of(endpoint)) : kNotNamed;
        if (!has_idle(endpoint, now)) cost += kNewConnection;
        if (settings_.zone && endpoint.zone != *settings_.zone) cost += kOtherZone;
        if (endpoint.health != Health::Healthy) cost += 1.0;
        return cost;
    }
    // In calls, of its part of those to its destination.
    static double ahead_of(const Endpoint& one) {
        return (one.virtual_finish - one.destination_record->virtual_time) * one.weight;
    }
    // Listed as ready, no told wait, and its fall-back budget not spent.
    bool open(EndpointId id, Time now) {
        Endpoint& endpoint = endpoints_.at(id);
        if (endpoint.condition != Condition::Ready || route_of(endpoint).wait_until > now) return false;
        return endpoint.health == Health::Healthy || endpoint.recovery_tag <= now;
    }
    // Fragile messages keep away from endpoints that fail; dedup resends keep to the scope of the first.
    bool may_go(const Message& message, EndpointId to) const {
        const ClassSettings& kind = settings_.classes[message.message_class];
        const Endpoint& endpoint = endpoints_.at(to);
        if (message.route - 1 < route_endpoints_.size() && !route_endpoints_[message.route - 1].contains(to))
            return false;
        if (kind.effect == Effect::Fragile &&
            (endpoint.failure_rate > kFragileBar || endpoint.health == Health::Unhealthy))
            return false;
        if (kind.effect != Effect::Dedup || !message.doubt_since || kind.dedup_scope == DedupScope::All)
            return true;
        if (kind.dedup_scope == DedupScope::Endpoint) return message.doubt_endpoint == to;
        const auto first =
            message.doubt_endpoint ? endpoints_.find(*message.doubt_endpoint) : endpoints_.end();
        return first != endpoints_.end() && first->second.zone == endpoint.zone;
    }
    // Calls that can be dropped later, and those that may not be repeated, are waited for to the end.
    Time time_out(const Message& message, Time now) const {
        const Time left = message.deadline - now;
        if (settings_.cancel || class_settings(message).effect == Effect::Fragile) return left;
        return std::min(left, patience(destinations_.at(message.destination)));
    }
    // A long call stays out while nothing better can be done: it may still be answered, and a repeat costs
    // the destination its work again. It is dropped where its endpoint answered calls sent later, or where
    // the sick hold slots that others need; where nearly all slots are taken, also if it may not be repeated.
    void drop_stuck(Time now) {
        if (!settings_.cancel) return;
        const auto slots = static_cast<double>(settings_.slots), out = static_cast<double>(calls_.size());
        const bool jammed = out > kScarce * slots;
        const bool scarce = jammed || unhealthy_calls_ + 1 > kSickShare * slots;
        for (auto& [name, attempt] : attempts_) {
            const Call& call = calls_.at(attempt.call);
            const auto found = messages_.find(name.first);
            if (attempt.cancelled || found == messages_.end()) continue;
            const Endpoint& endpoint = *call.endpoint_record;
            const Destination& destination = *endpoint.destination_record;
            const bool passed = jammed && call.overtaken;
            const Time longest = patience(destination, passed);
            if (now - call.sent_at < longest || !(jammed || may_repeat(found->second, call, now))) continue;
            const bool lost = endpoint.last_success_at > call.sent_at + longest;
            if (!passed && !lost && !(scarce && endpoint.health != Health::Healthy)) continue;
            attempt.cancelled = true;
            actions_.emplace_back(CancelAttempt{name.first, name.second});
        }
    }
    bool may_repeat(const Message& message, const Call& call, Time now) const {
        const ClassSettings& kind = settings_.classes[message.message_class];
        if (message.attempts >= kind.max_attempts || kind.effect == Effect::Fragile) return false;
        if (kind.effect == Effect::Retryable) return true;
        return now + kDropTrip <
               std::min(call.sent_at, message.doubt_since.value_or(call.sent_at)) + kind.window;
    }
    // Idle connections count against an endpoint's allowance, and those of many senders fill it: they are
    // closed where they would seldom be used or connects were refused. Costs a handshake where traffic is
    // thin.
    void close_idle(Time now) {
        for (const EndpointId id : std::exchange(freed_endpoints_, {})) {
            Endpoint& endpoint = endpoints_.at(id);
            const bool used = endpoint.frequently_called || endpoint.weight > 0;
            if (endpoint.idle_expiries.empty() ||
                (used && now - connect_refused_at_[endpoint.kind] > kRecent))
                continue;
            endpoint.idle_expiries.clear();
            actions_.emplace_back(CloseIdle{id});
        }
    }
};

}  // namespace cometspoke::policy
