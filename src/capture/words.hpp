/// What the decision module is told and says, as members to write and read: events, actions and settings of
/// cometspoke/sender.hpp. A member that is added goes to the end of its list.
#pragma once

#include "capture/archive.hpp"
#include "cometspoke/sender.hpp"

// In the module's namespace: found by its types.
namespace cometspoke {

template <class Archive>
void describe(Archive& a, ClassSettings& s) {
    a(s.effect)(s.dedup_scope)(s.window)(s.aim)(s.deadline)(s.worth)(s.late_worth)(s.sequential);
    a(s.max_attempts);
}
template <class Archive>
void describe(Archive& a, TenantSettings& s) {
    a(s.quota_per_s);
}
template <class Archive>
void describe(Archive& a, KindSettings& s) {
    a(s.routes_apart)(s.per_call);
}
template <class Archive>
void describe(Archive& a, Settings& s) {
    a(s.classes)(s.tenants)(s.kinds)(s.zone)(s.zones)(s.n_instances)(s.slots)(s.most_held)(s.max_attempts);
    a(s.cancel)(s.must_subscribe)(s.listed_rates)(s.floor_per_s)(s.over_share_worth)(s.loses_worth);
    a(s.conn_idle)(s.fall)(s.warm_within)(s.settle_after_doubt)(s.fall_multiple)(s.cold_from);
    a(s.notes)(s.own_number)(s.paused);
}

// ---- events ----

template <class Archive>
void describe(Archive& a, ListEntry& e) {
    a(e.endpoint)(e.destination)(e.zone)(e.kind)(e.rate)(e.condition)(e.cold)(e.known_as);
}
template <class Archive>
void describe(Archive& a, ListEvent& e) {
    a(e.kind)(e.entries);
}
template <class Archive>
void describe(Archive& a, MessageEvent::Doubt& e) {
    a(e.age)(e.endpoint);
}
template <class Archive>
void describe(Archive& a, MessageEvent& e) {
    a(e.message)(e.destination)(e.message_class)(e.tenant)(e.key)(e.left)(e.attempts)(e.doubt)(e.route);
}
template <class Archive>
void describe(Archive& a, StreamStarted& e) {
    a(e.message)(e.attempt);
}
template <class Archive>
void describe(Archive& a, LoadReport& e) {
    a(e.left)(e.limit);
}
template <class Archive>
void describe(Archive& a, OutcomeEvent& e) {
    a(e.message)(e.endpoint)(e.attempt)(e.outcome)(e.terminal)(e.rtt)(e.wait)(e.report);
}
template <class Archive>
void describe(Archive& a, RoutesEvent& e) {
    a(e.only);
}
template <class Archive>
void describe(Archive& a, RerouteEvent& e) {
    a(e.message)(e.route);
}
template <class Archive>
void describe(Archive& a, SettingsEvent& e) {
    a(e.settings);
}
template <class Archive>
void describe(Archive& a, SpreadEvent::Part& e) {
    a(e.endpoint)(e.weight)(e.sharers);
}
template <class Archive>
void describe(Archive& a, SpreadEvent& e) {
    a(e.destination)(e.parts);
}
template <class Archive>
void describe(Archive& a, LearnedEvent::Limit& e) {
    a(e.known)(e.gain)(e.heard)(e.left)(e.at);
}
template <class Archive>
void describe(Archive& a, LearnedEvent::Outage& e) {
    a(e.answers)(e.failure_seen)(e.failing)(e.knowing)(e.refused_row)(e.fell)(e.last_good)(e.heard);
    a(e.returned)(e.next_trial);
}
template <class Archive>
void describe(Archive& a, LearnedEvent::Endpoint& e) {
    a(e.endpoint)(e.destination)(e.wait_until)(e.outage)(e.limit);
}
template <class Archive>
void describe(Archive& a, LearnedEvent::Destination& e) {
    a(e.destination)(e.limit)(e.usual_s)(e.served_per_s)(e.asked_per_s);
}
template <class Archive>
void describe(Archive& a, LearnedEvent& e) {
    a(e.endpoints)(e.destinations)(e.usual_s);
}
template <class Archive>
void describe(Archive& a, AbandonedEvent& e) {
    a(e.message);
}
template <class Archive>
void describe(Archive&, TimerFired&) {}
template <class Archive>
void describe(Archive& a, ProbeResult& e) {
    a(e.endpoint)(e.outcome)(e.rtt)(e.report);
}
template <class Archive>
void describe(Archive& a, PeerNote& e) {
    a(e.from)(e.bytes);
}

// ---- actions ----

template <class Archive>
void describe(Archive& a, Send& e) {
    a(e.message)(e.endpoint)(e.time_out);
}
template <class Archive>
void describe(Archive& a, CancelAttempt& e) {
    a(e.message)(e.attempt);
}
template <class Archive>
void describe(Archive& a, Refuse& e) {
    a(e.message)(e.retry_after);
}
template <class Archive>
void describe(Archive& a, Fail& e) {
    a(e.message);
}
template <class Archive>
void describe(Archive& a, SetTimer& e) {
    a(e.delay);
}
template <class Archive>
void describe(Archive& a, Probe& e) {
    a(e.endpoint);
}
template <class Archive>
void describe(Archive& a, CloseIdle& e) {
    a(e.endpoint);
}
template <class Archive>
void describe(Archive& a, TellPeers& e) {
    a(e.to)(e.bytes);
}
template <class Archive>
void describe(Archive& a, Watch& e) {
    a(e.on);
}
template <class Archive>
void describe(Archive&, FetchList&) {}
template <class Archive>
void describe(Archive& a, Log& e) {
    a(e.text);
}
template <class Archive>
void describe(Archive& a, Forget& e) {
    a(e.endpoint);
}

}  // namespace cometspoke

namespace lockgw::capture {

/// A variant: the place of its type, then its members.
template <class... Types>
void pack_variant(Out& out, const std::variant<Types...>& value) {
    out.packer().pack_array(2);
    out.packer().pack(static_cast<unsigned>(value.index()));
    std::visit([&out](const auto& one) { out(one); }, value);
}
template <class Variant, std::size_t I = 0>
Variant unpack_variant(const msgpack::object& from) {
    if (from.type != msgpack::type::ARRAY || from.via.array.size != 2)
        throw BadCapture("neither an event nor an action");
    if constexpr (I == std::variant_size_v<Variant>) {
        throw BadCapture("an event or action of a newer build");
    } else {
        if (from.via.array.ptr[0].as<std::size_t>() != I) return unpack_variant<Variant, I + 1>(from);
        return Variant(
            std::in_place_index<I>, In::whole<std::variant_alternative_t<I, Variant>>(from.via.array.ptr[1]));
    }
}

}  // namespace lockgw::capture
