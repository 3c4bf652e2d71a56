// Pointers between the parts are not written: they are found anew by the numbers beside them. A destination's
// place in an order is written as which of the orders it is.
#include "capture/memory.hpp"

#include <array>

#include "base/checked_settings.hpp"
#include "capture/words.hpp"
#include "policy/state.hpp"
#include "records/records.hpp"

namespace cometspoke::policy {

template <class Archive>
void describe(Archive& a, Route& r) {
    a(r.wait_until)(r.limit_tag)(r.known_limit)(r.share_factor)(r.limit_reductions)(r.reported_remaining)(
        r.limit_tag_base)(r.limit_tag_intervals)(r.reported_limit);
    a(r.sharers);
}
template <class Archive>
void describe(Archive& a, Endpoint& e) {
    a(e.destination)(e.zone)(e.kind)(e.condition)(e.own_route)(e.in_flight)(e.idle_expiries)(e.last_call_at)(
        e.last_outcome_at)(e.frequently_called);
    a(e.is_counted)(e.health)(e.failure_seen)(e.failure_rate)(e.consecutive_refusals)(e.last_success_at)(
        e.last_refusal_at)(e.connection_lost_at);
    a(e.connect_failed_at)(e.unhealthy_since)(e.aware_share)(e.recovery_start)(e.recovery_tag);
    a(e.weight)(e.virtual_finish)(e.known_as);
}
template <class Archive>
void describe(Archive& a, Destination& d) {
    a(d.shared_route)(d.endpoints)(d.held)(d.held_by_class)(d.ready)(d.endpoint_count)(d.parked)(d.weight)(
        d.reservation_tag);
    a(d.share_tag)(d.in_flight)(d.typical_latency_s)(d.message_rate)(d.last_message_at)(d.served_rate)(
        d.last_served);
    a(d.subsetted)(d.virtual_time)(d.newest_endpoint_limit)(d.spillover_tag);
}
template <class Archive>
void describe(Archive& a, Message& m) {
    a(m.message_class)(m.destination)(m.arrival)(m.key)(m.created_at)(m.deadline)(m.not_before)(m.over_quota);
    a(m.attempts)(m.route)(m.open_attempts)(m.doubt_since)(m.doubt_endpoint)(m.in_ready_queue);
}
template <class Archive>
void describe(Archive& a, Call& c) {
    a(c.endpoint)(c.sent_at)(c.open_attempts)(c.health_counted)(c.overtaken);
}
template <class Archive>
void describe(Archive& a, Attempt& t) {
    a(t.call)(t.key)(t.cancelled);
}
template <class Archive>
void describe(Archive& a, KeyQueue& k) {
    a(k.waiting)(k.open_attempts)(k.paused_until)(k.pause_exempt);
}

/// What is neither set by the settings nor found anew. Actions are empty between decisions.
template <class Archive>
void describe(Archive& a, State& s) {
    a(s.settings_)(s.random_)(s.destinations_)(s.by_share_tag_)(s.healthy_order_)(s.unhealthy_idle_order_)(
        s.unhealthy_busy_order_);
    a(s.share_tag_offset_)(s.by_held_count_)(s.unlisted_destinations_)(s.expiry_queue_)(s.backoff_queue_)(
        s.key_pause_queue_)(s.key_cleanup_queue_)(s.destination_due_queue_);
    a(s.doubtful_counts_)(s.shed_scan_cursor_)(s.unhealthy_calls_)(s.watch_failures_)(s.endpoints_)(
        s.messages_)(s.key_queues_);
    a(s.attempts_)(s.calls_)(s.quota_tags_)(s.connect_refused_at_)(s.freed_endpoints_)(s.route_endpoints_)(
        s.unlisted_endpoints_)(s.arrival_count_);
    a(s.call_count_)(s.overall_latency_s_)(s.picked_by_reservation_)(s.next_watch_at_)(s.timer_at_)(
        s.next_cleanup_at_)(s.reported_limits_)(s.next_gossip_at_)(s.tie_break_seed_)(
        s.endpoint_by_limit_key_);
}

}  // namespace cometspoke::policy

namespace lockgw {

template <class Archive, class Key, class When>
void describe(Archive& a, DueQueue<Key, When>& queue) {
    queue.serialize(a);
}
template <class Archive, class Group, class Item, class Creation>
void describe(Archive& a, GroupedQueue<Group, Item, Creation>& lines) {
    lines.serialize(a);
}
namespace rate_limits {
template <class Archive>
void describe(Archive& a, RateLimitTable::Record& record) {
    a(record.limit)(record.remaining)(record.observed_at)(record.transmissions)(record.sent_limit)(
        record.sent_remaining);
}
template <class Archive>
void describe(Archive& a, RateLimitTable& table) {
    table.members(a);
}
}  // namespace rate_limits
template <class Archive, class Line>
auto describe(Archive& a, Line& line) -> decltype(line.by_arrival, line.by_creation, void()) {
    a(line.by_arrival)(line.by_creation);
}

}  // namespace lockgw

namespace lockgw::capture {
namespace {

using cometspoke::DestinationId;
using cometspoke::policy::SchedulingOrder;
using cometspoke::policy::State;

std::array<SchedulingOrder*, 3> orders_of(State& state) {
    return {&state.healthy_order_, &state.unhealthy_idle_order_, &state.unhealthy_busy_order_};
}

/// The orders in which destinations stand, by their numbers.
std::map<DestinationId, int> placed(State& state) {
    std::map<DestinationId, int> all;
    const auto orders = orders_of(state);
    for (const auto& [id, destination] : state.destinations_)
        for (std::size_t i = 0; i < orders.size(); ++i)
            if (destination.scheduling_order == orders[i]) all[id] = static_cast<int>(i);
    return all;
}

void reconnect(
    State& state, const std::map<DestinationId, int>& places, const std::set<DestinationId>& active) {
    const auto orders = orders_of(state);
    for (auto& [id, destination] : state.destinations_) {
        const auto place = places.find(id);
        destination.scheduling_order =
            place == places.end() ? nullptr : orders.at(static_cast<std::size_t>(place->second));
    }
    for (auto& [id, endpoint] : state.endpoints_)
        endpoint.destination_record = &state.destinations_.at(endpoint.destination);
    for (auto& [id, call] : state.calls_) call.endpoint_record = &state.endpoints_.at(call.endpoint);
    state.active_destinations_.clear();
    for (const DestinationId id : active) state.active_destinations_.emplace(id, &state.destinations_.at(id));
}

}  // namespace

std::string memory_of(cometspoke::Sender& sender) {
    State& state = sender.state();
    msgpack::sbuffer buffer;
    Out out(buffer);
    auto places = placed(state);
    std::set<DestinationId> active;
    for (const auto& [id, destination] : state.active_destinations_) active.insert(id);
    out.packer().pack_array(3);
    out(state)(places)(active);
    return {buffer.data(), buffer.size()};
}

void remember(cometspoke::Sender& sender, std::string_view memory) try {
    const msgpack::object_handle handle = unpacked(memory);
    const msgpack::object& all = handle.get();
    if (all.type != msgpack::type::ARRAY || all.via.array.size != 3)
        throw BadCapture("no memory of a module");
    State& state = sender.state();
    In members(all);
    std::map<DestinationId, int> places;
    std::set<DestinationId> active;
    members(state)(places)(active);
    state.settings_ = checked(state.settings_);  // an older build's lack what came later
    reconnect(state, places, active);
} catch (const BadCapture&) {
    throw;
} catch (const std::exception& bad) {
    throw BadCapture(std::string("the memory of the module: ") + bad.what());
}

}  // namespace lockgw::capture
