/// The mClock tags and the order in which destinations that hold messages (active destinations) are served.
///
/// mClock gives the message at the head of each destination three tags, which are points in time:
/// - R (reservation_tag): the destination is entitled to a call from then on, by its reservation r;
/// - L (limit_tag): no call before then, by this sender's rate limit l; kept per Route;
/// - P (share_tag): among destinations within their limits the smallest goes first, by the weight w.
/// A destination that cannot send now is parked: it is considered again only after something of it has
/// changed.
#pragma once

#include "policy/state.hpp"

namespace cometspoke::policy {

struct MclockTags : State {
    using State::State;

    // To be called when anything of a destination has changed: unparks it, puts it into the order that fits
    // its health and its calls, and recomputes its next due time.
    void reschedule(DestinationId id, Time now) {
        const auto found = destinations_.find(id);
        if (found == destinations_.end()) return;
        Destination& destination = found->second;
        leave_order(id, destination);
        destination.parked = false;
        if (!active_destinations_.contains(id)) return destination_due_queue_.erase(id);
        enter_order(id, destination);
        const Time due = next_due(destination, now);
        due == kNever ? destination_due_queue_.erase(id) : destination_due_queue_.set(id, due);
    }
    void enter_order(DestinationId id, Destination& destination) {
        destination.scheduling_order = !has_unhealthy_endpoint(destination) ? &healthy_order_
                                       : destination.in_flight == 0         ? &unhealthy_idle_order_
                                                                            : &unhealthy_busy_order_;
        destination.scheduling_order->insert({destination.share_tag, id});
    }
    // Does nothing for a parked destination.
    void leave_order(DestinationId id, Destination& destination) {
        if (destination.scheduling_order != nullptr)
            destination.scheduling_order->erase({destination.share_tag, id});
        destination.scheduling_order = nullptr;
    }
    void set_share_tag(DestinationId id, Destination& destination, Time tag) {
        leave_order(id, destination);
        by_share_tag_.erase({destination.share_tag, id});
        destination.share_tag = tag;
        by_share_tag_.insert({tag, id});
        if (!destination.parked) enter_order(id, destination);
    }
    // A destination that held nothing gets its first message. The tags of the head are R = max(R+1/r, now),
    // L = max(L+1/l, now) and P = max(P+1/w, now-sigma/w). The increments were added when the last head left
    // (advance_tags); here the arrival time comes in. All P tags shift so that the smallest of the others and
    // the newcomer's start level.
    void activate(DestinationId id, Destination& newcomer, Time now) {
        const double w = slot_weight(newcomer);
        newcomer.reservation_tag = std::max(newcomer.reservation_tag, now);
        newcomer.share_tag = std::max(newcomer.share_tag, now - from_seconds(kIdleCreditCalls / w));
        newcomer.shared_route.limit_tag = std::max(newcomer.shared_route.limit_tag, now);
        // the others shift at once: share_tag_offset_ is part of the tag of each
        if (!by_share_tag_.empty())
            share_tag_offset_ += newcomer.share_tag - (by_share_tag_.begin()->first + share_tag_offset_);
        newcomer.share_tag -= share_tag_offset_;
        by_share_tag_.insert({newcomer.share_tag, id});
    }
    void deactivate(DestinationId id, Destination& destination) {
        leave_order(id, destination);
        by_share_tag_.erase({destination.share_tag, id});
        destination.share_tag += share_tag_offset_;
        active_destinations_.erase(id), destination_due_queue_.erase(id);
    }
    // Limits the slots of one destination. For unhealthy destinations together see
    // unhealthy_order_may_send().
    bool below_slot_cap(const Destination& destination) const {
        const double slots = static_cast<double>(settings_.slots);
        return destination.in_flight == 0 || destination.in_flight + 1 < kMaxDestinationSlotShare * slots;
    }
    bool unhealthy_may_send(const Destination& destination) const {
        return unhealthy_order_may_send(destination.in_flight == 0);
    }
    // Unhealthy destinations together leave half of the slots to the healthy ones. One without a call out
    // (`idle`) may go beyond that while slots are left: after an outage of all, stuck calls must not keep it
    // from its trial.
    bool unhealthy_order_may_send(bool idle) const {
        const double slots = static_cast<double>(settings_.slots);
        if (idle && static_cast<double>(calls_.size()) < kScarceSlotShare * slots) return true;
        return unhealthy_calls_ + 1 <= std::max(1.0, kMaxUnhealthySlotShare * slots);
    }
    int count_unhealthy_calls() const {
        return static_cast<int>(std::count_if(calls_.begin(), calls_.end(), [this](const auto& entry) {
            return has_unhealthy_endpoint(*entry.second.endpoint_record->destination_record);
        }));
    }
    // The earliest time after `now` at which a tag, a wait or a recovery budget of the destination falls due;
    // kNever if none does.
    Time next_due(const Destination& destination, Time now) {
        Time next = destination.spillover_tag > now ? destination.spillover_tag : kNever;
        if (settings_.floor_per_s > 0 && destination.reservation_tag > now)
            next = destination.reservation_tag;
        const bool fragile = holds_fragile(destination);
        for (const EndpointId id : destination.endpoints) {
            Endpoint& endpoint = endpoints_.at(id);
            const Route& route = route_of(endpoint);
            for (const Time due : {route.limit_tag, route.wait_until,
                     endpoint.health != Health::Healthy ? endpoint.recovery_tag : now,
                     fragile && fails_too_often(endpoint) ? fragile_trial_at(endpoint) : now})
                if (due > now) next = std::min(next, due);
        }
        return next;
    }
};

}  // namespace cometspoke::policy
