/// Whose turn it is: destinations that hold messages, ordered by share tag; who cannot go is parked.
#pragma once

#include "policy/state.hpp"

namespace cometspoke::policy {

struct MclockTags : State {
    using State::State;

    // Something of a destination has changed: it stands where its health and its calls put it, and its dues
    // are looked up anew.
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
        destination.scheduling_order = !ailing(destination)         ? &healthy_order_
                                       : destination.in_flight == 0 ? &unhealthy_idle_order_
                                                                    : &unhealthy_busy_order_;
        destination.scheduling_order->insert({destination.share_tag, id});
    }
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
    // The tags of the head: R = max(R+1/r, now), L = max(L+1/l, now), P = max(P+1/w, now-sigma/w). They
    // stepped when the last head left; here the arrival time comes in, and P shifts so that all start level.
    void activate(DestinationId id, Destination& newcomer, Time now) {
        const double w = slot_weight(newcomer);
        newcomer.reservation_tag = std::max(newcomer.reservation_tag, now);
        newcomer.share_tag = std::max(newcomer.share_tag, now - from_seconds(kSigma / w));
        newcomer.shared_route.limit_tag = std::max(newcomer.shared_route.limit_tag, now);
        // all others shift at once: their tags are kept less this sum
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
    // The slot cap. Sick destinations together leave half of the slots to the healthy.
    bool under_cap(const Destination& destination) const {
        const double slots = static_cast<double>(settings_.slots);
        return destination.in_flight == 0 || destination.in_flight + 1 < kMaxDestinationSlotShare * slots;
    }
    bool sick_may_go(const Destination& one) const { return sick_order_may_go(one.in_flight == 0); }
    // One trial each while slots are left: after a stall of all, stuck calls must not keep them unheard.
    bool sick_order_may_go(bool idle) const {
        const double slots = static_cast<double>(settings_.slots);
        if (idle && static_cast<double>(calls_.size()) < kScarce * slots) return true;
        return unhealthy_calls_ + 1 <= std::max(1.0, kSickShare * slots);
    }
    int sick_calls() const {
        return static_cast<int>(std::count_if(calls_.begin(), calls_.end(),
            [this](const auto& entry) { return ailing(*entry.second.endpoint_record->destination_record); }));
    }
    // The earliest moment after now at which a tag, wait or budget of the destination falls due.
    Time next_due(const Destination& destination, Time now) {
        Time next = destination.spillover_tag > now ? destination.spillover_tag : kNever;
        if (settings_.floor_per_s > 0 && destination.reservation_tag > now)
            next = destination.reservation_tag;
        for (const EndpointId id : destination.endpoints) {
            Endpoint& endpoint = endpoints_.at(id);
            const Route& route = route_of(endpoint);
            for (const Time due : {route.limit_tag, route.wait_until,
                     endpoint.health != Health::Healthy ? endpoint.recovery_tag : now})
                if (due > now) next = std::min(next, due);
        }
        return next;
    }
};

}  // namespace cometspoke::policy
