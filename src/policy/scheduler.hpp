/// The scheduler: which message is sent next and to which endpoint, which calls are cancelled, and which idle
/// connections are closed.
///
/// pick_next() chooses the destination by its mClock tags, pick_message() one of its messages,
/// cheapest_endpoint() the endpoint, and start_call() sends it and advances the tags.
#pragma once

#include "policy/load_shedding.hpp"

namespace cometspoke::policy {

/// The next message to send, and the endpoint to send it to.
struct Pick {
    DestinationId destination = 0;
    MessageId message = 0;
    EndpointId endpoint = 0;
};

struct Scheduler : LoadShedding {
    using LoadShedding::LoadShedding;

    // mClock: first the smallest reservation tag (R) that is due; if none is, the smallest share tag (P)
    // among the destinations whose limit tag (L) is due.
    std::optional<Pick> pick_next(Time now) {
        picked_by_reservation_ = settings_.floor_per_s > 0;
        if (picked_by_reservation_)
            if (const auto pick = pick_by_reservation(now)) return pick;
        picked_by_reservation_ = false;
        return pick_by_share(now);
    }
    std::optional<Pick> pick_by_reservation(Time now) {
        std::optional<Pick> best;
        Time least = kNever;
        for (const auto& [id, destination] : active_destinations_) {
            if (destination->reservation_tag > now || destination->reservation_tag >= least) continue;
            if (!below_slot_cap(*destination) ||
                (has_unhealthy_endpoint(*destination) && !unhealthy_may_send(*destination)))
                continue;
            if (const auto pick = pick_message(id, *destination, now, false))
                best = pick, least = destination->reservation_tag;
        }
        return best;
    }
    // A destination that cannot send now is parked until something of it changes, so that none is examined
    // twice to no effect.
    std::optional<Pick> pick_by_share(Time now) {
        while (true) {
            SchedulingOrder* first = nullptr;
            for (SchedulingOrder* order : {&healthy_order_, &unhealthy_idle_order_, &unhealthy_busy_order_}) {
                if (order->empty() ||
                    (order != &healthy_order_ && !unhealthy_order_may_send(order == &unhealthy_idle_order_)))
                    continue;
                if (first == nullptr || *order->begin() < *first->begin()) first = order;
            }
            if (first == nullptr) return std::nullopt;
            const DestinationId id = first->begin()->second;
            Destination& destination = destinations_.at(id);
            if (below_slot_cap(destination))
                if (const auto pick = pick_message(id, destination, now, true)) return pick;
            leave_order(id, destination);
            destination.parked = true;
        }
    }
    // Starts a call with the picked message, and with others where the endpoint takes several in one call.
    void start_call(const Pick& pick, Time now) {
        Destination& destination = destinations_[pick.destination];
        Endpoint& endpoint = endpoints_.at(pick.endpoint);
        const std::uint64_t call_id = ++call_count_;
        calls_.emplace(call_id, Call{pick.endpoint, &endpoint, now});
        ++endpoint.in_flight;
        ++destination.in_flight;
        take_connection(endpoint, now);
        endpoint.frequently_called =
            now - std::exchange(endpoint.last_call_at, now) < settings_.conn_idle / kIdleReuseDivisor;
        if (has_unhealthy_endpoint(*endpoint.destination_record)) ++unhealthy_calls_;
        if (const double w = endpoint.weight; w > 0)
            endpoint.virtual_finish =
                std::max(endpoint.virtual_finish, ++destination.virtual_time - kMaxCallsBehindShare / w) +
                1.0 / w;
        send_attempt(pick.message, pick.endpoint, call_id, now);
        fill_batch(destination, pick.endpoint, call_id, now);
        advance_tags(pick.destination, destination, endpoint, now);
        reschedule(pick.destination, now);
    }
    // After a call was started: adds 1/l, 1/w and 1/r to the tags, and charges the budgets that apply.
    void advance_tags(DestinationId id, Destination& destination, Endpoint& endpoint, Time now) {
        Route& route = route_of(endpoint);
        const Time gap = interval_of(sender_limit(route, destination));
        route.limit_tag_base = std::max(route.limit_tag, now - gap), route.limit_tag_intervals = 1.0;
        route.limit_tag = route.limit_tag_base + gap;
        if (endpoint.weight == 0)
            record_spillover(destination, sender_count(), has_unhealthy_endpoint(destination), now);
        if (endpoint.health != Health::Healthy) charge_recovery_budget(endpoint, now);
        const double w = slot_weight(destination);
        const Time tag = destination.share_tag + share_tag_offset_;
        set_share_tag(id, destination,
            std::max(tag + interval_of(w), now - from_seconds(kIdleCreditCalls / w)) - share_tag_offset_);
        if (settings_.floor_per_s <= 0) return;
        const Time step = interval_of(settings_.floor_per_s);
        destination.reservation_tag = std::max(destination.reservation_tag + step, now);
        // picked by share: the reservation was not used, so 1/r is taken off again
        if (!picked_by_reservation_) destination.reservation_tag -= step;
    }
    void send_attempt(MessageId id, EndpointId to, std::uint64_t call_id, Time now) {
        Message& message = messages_.at(id);
        attempts_.emplace(std::pair(id, message.attempts), Attempt{call_id, message.key, false});
        ++message.attempts, ++message.open_attempts;
        ++calls_.at(call_id).open_attempts;
        if (message.key) ++key_queues_[*message.key].open_attempts, key_queue_changed(*message.key, now);
        message_changed(id, now);
        actions_.emplace_back(Send{id, to, attempt_timeout(message, now), resend_deadline(message)});
    }
    // Where a call may carry several messages, adds the next ones in order. A failing endpoint gets one at a
    // time.
    void fill_batch(Destination& destination, EndpointId to, std::uint64_t call_id, Time now) {
        const std::size_t batch_size = settings_.kinds[endpoints_.at(to).kind].per_call;
        if (batch_size < 2 || endpoints_.at(to).health == Health::Unhealthy) return;
        std::size_t free = batch_size - std::min(batch_size, calls_.at(call_id).open_attempts);
        std::vector<MessageId> batch;
        destination.ready.for_each([&](MessageId id) {
            const Message& message = messages_.at(id);
            if (batch.size() < free && can_send(id, message, now) && is_allowed_at(message, to, now))
                batch.push_back(id);
            return batch.size() < free;
        });
        for (const MessageId id : batch)
            if (can_send(id, messages_.at(id), now)) send_attempt(id, to, call_id, now);
    }
    // The first message in arrival order that may be sent, with an endpoint for it. While the backlog is
    // longer than the aim of a held message, it is the message that loses the most value by waiting until the
    // backlog is gone. `limited`: whether the limit tag has to be due, which it need not for a reservation.
    std::optional<Pick> pick_message(
        DestinationId id, const Destination& destination, Time now, bool limited) {
        const std::vector<EndpointId> available = available_endpoints(destination, now, limited);
        if (available.empty()) return std::nullopt;
        const Time backlog = backlog_delay(destination);
        std::optional<Pick> best;
        double highest_loss = 0.0;
        // fragile classes that no available endpoint may take
        std::set<std::size_t> blocked;
        const auto consider = [&](MessageId message_id) {
            const Message& message = messages_.at(message_id);
            if (blocked.contains(message.message_class) || !can_send(message_id, message, now)) return true;
            const double loss =
                backlog == Time(0) ? 0.0 : value_at(message, now) - value_at(message, now + backlog);
            if (best && loss <= highest_loss) return true;
            if (const auto endpoint = cheapest_endpoint(available, message, now))
                best = Pick{id, message_id, *endpoint}, highest_loss = loss;
            else if (settings_.classes[message.message_class].effect == Effect::Fragile)
                blocked.insert(message.message_class);
            return !best || backlog != Time(0);
        };
        if (backlog == Time(0) || destination.ready.size() <= kMaxReadyForExactPick)
            destination.ready.for_each(consider);
        else  // of each class only those at the front and those around its aim, where the loss is highest
            destination.ready.for_each_sampled(
                kPickScanMessages,
                [&](std::size_t message_class) { return now - settings_.classes[message_class].aim; },
                consider);
        return best;
    }
    // How long the destination needs for its held messages, if that is longer than the aim of one of them;
    // else 0.
    Time backlog_delay(const Destination& destination) const {
        if (destination.served_rate <= 0) return Time(0);  // no rate is known yet: arrival order
        Time shortest = kNever;
        for (const auto& [message_class, count] : destination.held_by_class)
            if (count > 0) shortest = std::min(shortest, settings_.classes[message_class].aim);
        const double held = static_cast<double>(destination.held.size()) - destination.in_flight;
        const Time backlog = from_seconds(std::max(0.0, held) / drain_rate(destination));
        return backlog > shortest ? backlog : Time(0);
    }
    // Whether the message may have an attempt now: none is out, its backoff is over, attempts are left, its
    // ordering key allows it, and if it may have run its window is still open.
    bool can_send(MessageId id, const Message& message, Time now) const {
        if (message.open_attempts > 0 || message.not_before > now || message.deadline <= now) return false;
        if (message.attempts >= class_settings(message).max_attempts) return false;
        if (now > resend_deadline(message)) return false;
        return !message.key || key_turn_at(id, *message.key) <= now;
    }
    // The endpoints that may have a call now; `limited`: also by their rate limit.
    std::vector<EndpointId> available_endpoints(const Destination& destination, Time now, bool limited) {
        std::vector<EndpointId> available;
        for (const EndpointId id : destination.endpoints)
            if (is_available(id, now) && !(limited && is_rate_limited(endpoints_.at(id), now)))
                available.push_back(id);
        return available;
    }
    bool is_rate_limited(Endpoint& endpoint, Time now) {
        return route_of(endpoint).limit_tag > now || spillover_blocked(endpoint, now);
    }
    std::optional<EndpointId> cheapest_endpoint(
        const std::vector<EndpointId>& available, const Message& message, Time now) const {
        std::optional<EndpointId> best;
        std::pair<double, std::uint64_t> least;
        for (const EndpointId id : available) {
            if (!is_allowed_at(message, id, now)) continue;
            const std::pair cost(endpoint_cost(endpoints_.at(id), now), tie_break_rank(id));
            if (!best || cost < least) best = id, least = cost;
        }
        return best;
    }
    // The lower, the better, in calls in flight: the least busy endpoint first, with additions for one
    // without an idle connection, in another zone, outside this sender's subset, ahead of its part of the
    // calls, or unhealthy.
    double endpoint_cost(const Endpoint& endpoint, Time now) const {
        double cost = endpoint.in_flight;
        if (endpoint.destination_record->subsetted)
            cost += endpoint.weight > 0
                        ? kAheadOfShareCost * std::max(-kMaxCallsBehindShare, calls_ahead_of_share(endpoint))
                        : kOutsideSubsetCost;
        if (!has_idle_connection(endpoint, now)) cost += kNewConnectionCost;
        if (settings_.zone && endpoint.zone != *settings_.zone) cost += kOtherZoneCost;
        if (endpoint.health != Health::Healthy) cost += 1.0;
        return cost;
    }
    // By how many calls the endpoint is ahead of its part of the calls to its destination; below 0: behind.
    static double calls_ahead_of_share(const Endpoint& endpoint) {
        return (endpoint.virtual_finish - endpoint.destination_record->virtual_time) * endpoint.weight;
    }
    // Listed as ready, not within a retry-after wait, and with recovery budget left if it is unhealthy.
    bool is_available(EndpointId id, Time now) {
        Endpoint& endpoint = endpoints_.at(id);
        if (endpoint.condition != Condition::Ready || route_of(endpoint).wait_until > now) return false;
        return endpoint.health == Health::Healthy || endpoint.recovery_tag <= now;
    }
    // Whether the message may go to the endpoint: its route must allow it, a fragile message keeps away from
    // endpoints that fail (takes_fragile), and a repeat of a dedup message stays within the scope in which
    // the endpoints drop repeats.
    bool is_allowed_at(const Message& message, EndpointId to, Time now) const {
        const ClassSettings& message_class = settings_.classes[message.message_class];
        const Endpoint& endpoint = endpoints_.at(to);
        if (message.route - 1 < route_endpoints_.size() && !route_endpoints_[message.route - 1].contains(to))
            return false;
        if (message_class.effect == Effect::Fragile && !takes_fragile(endpoint, now)) return false;
        if (message_class.effect != Effect::Dedup || !message.doubt_since ||
            message_class.dedup_scope == DedupScope::All)
            return true;
        if (message_class.dedup_scope == DedupScope::Endpoint) return message.doubt_endpoint == to;
        const auto first =
            message.doubt_endpoint ? endpoints_.find(*message.doubt_endpoint) : endpoints_.end();
        return first != endpoints_.end() && first->second.zone == endpoint.zone;
    }
    // Calls that can be cancelled later, and those of fragile messages, may take all the time that is left.
    Time attempt_timeout(const Message& message, Time now) const {
        const Time left = message.deadline - now;
        if (settings_.cancel || class_settings(message).effect == Effect::Fragile) return left;
        return std::min(left, call_timeout(destinations_.at(message.destination)));
    }
    // A long call stays out while nothing better can be done: it may still be answered, and a repeat costs
    // the destination its work again. It is cancelled if its endpoint has answered calls that were sent
    // later, or if unhealthy destinations hold slots that others need; when nearly all slots are taken, even
    // if the message may not be repeated.
    void cancel_stuck_calls(Time now) {
        if (!settings_.cancel) return;
        const auto slots = static_cast<double>(settings_.slots), out = static_cast<double>(calls_.size());
        const bool nearly_full = out > kScarceSlotShare * slots;
        const bool scarce = nearly_full || unhealthy_calls_ + 1 > kMaxUnhealthySlotShare * slots;
        for (auto& [attempt_id, attempt] : attempts_) {
            const Call& call = calls_.at(attempt.call);
            const auto found = messages_.find(attempt_id.first);
            if (attempt.cancelled || found == messages_.end()) continue;
            const Endpoint& endpoint = *call.endpoint_record;
            const Destination& destination = *endpoint.destination_record;
            const bool overtaken = nearly_full && call.overtaken;
            const Time timeout = call_timeout(destination, overtaken);
            if (now - call.sent_at < timeout || !(nearly_full || can_repeat(found->second, call, now)))
                continue;
            const bool answered_others = endpoint.last_success_at > call.sent_at + timeout;
            if (!overtaken && !answered_others && !(scarce && endpoint.health != Health::Healthy)) continue;
            attempt.cancelled = true;
            actions_.emplace_back(CancelAttempt{attempt_id.first, attempt_id.second});
        }
    }
    // Whether the message could have another attempt if this call were cancelled now.
    bool can_repeat(const Message& message, const Call& call, Time now) const {
        const ClassSettings& message_class = settings_.classes[message.message_class];
        if (message.attempts >= message_class.max_attempts || message_class.effect == Effect::Fragile)
            return false;
        if (message_class.effect == Effect::Retryable) return true;
        return now + kCancelAndResendTime <
               std::min(call.sent_at, message.doubt_since.value_or(call.sent_at)) + message_class.window;
    }
    // Idle connections count against the number of connections that an endpoint accepts, and those of many
    // senders use it up: they are closed where they would seldom be reused, or where connects were refused
    // lately. With little traffic that costs a handshake for each call.
    void close_idle_connections(Time now) {
        for (const EndpointId id : std::exchange(freed_endpoints_, {})) {
            Endpoint& endpoint = endpoints_.at(id);
            const bool used = endpoint.frequently_called || endpoint.weight > 0;
            if (endpoint.idle_expiries.empty() ||
                (used && now - connect_refused_at_[endpoint.kind] > kConnectRefusedMemory))
                continue;
            endpoint.idle_expiries.clear();
            actions_.emplace_back(CloseIdle{id});
        }
    }
};

}  // namespace cometspoke::policy
