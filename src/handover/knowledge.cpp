#include "handover/knowledge.hpp"

#include <algorithm>

#include "capture/memory.hpp"
#include "logging/log.hpp"
#include "policy/state.hpp"

namespace lockgw::handover {

using cometspoke::DestinationId;
using cometspoke::EndpointId;
using cometspoke::Time;
using cometspoke::policy::Destination;
using cometspoke::policy::Endpoint;
using cometspoke::policy::Route;
using cometspoke::policy::State;
using Json = nlohmann::json;

namespace {

constexpr int kVersion = 1;

/// All but what belongs to lists, calls and connections of the process that knew it.
void copy(const Endpoint& from, Endpoint& to) {
    to.own_route = from.own_route;
    to.last_call_at = from.last_call_at, to.last_outcome_at = from.last_outcome_at,
    to.frequently_called = from.frequently_called;
    to.health = from.health, to.failure_seen = from.failure_seen;
    to.failure_rate = from.failure_rate, to.consecutive_refusals = from.consecutive_refusals;
    to.last_success_at = from.last_success_at, to.last_refusal_at = from.last_refusal_at;
    to.connection_lost_at = from.connection_lost_at, to.connect_failed_at = from.connect_failed_at;
    to.unhealthy_since = from.unhealthy_since, to.aware_share = from.aware_share;
    to.recovery_start = from.recovery_start, to.recovery_tag = from.recovery_tag;
}
void copy(const Destination& from, Destination& to) {
    to.shared_route = from.shared_route;
    to.reservation_tag = from.reservation_tag;
    to.typical_latency_s = from.typical_latency_s, to.message_rate = from.message_rate,
    to.last_message_at = from.last_message_at;
    to.served_rate = from.served_rate, to.last_served = from.last_served;
}

void wait_at_least(State& state, EndpointId id, Time until) {
    const auto found = state.endpoints_.find(id);
    if (found == state.endpoints_.end() || found->second.destination_record == nullptr) return;
    Route& route = state.route_of(found->second);
    route.wait_until = std::max(route.wait_until, until);
}

}  // namespace

std::string bytes_of(const Known& known, Time now) {
    Json waits = Json::object();
    for (const auto& [id, until] : known.waits) waits[id] = until.count();
    const auto bytes =
        Json::to_msgpack({{"v", kVersion}, {"at", now.count()}, {"list", known.list}, {"ids", known.ids},
            {"waits", waits}, {"memory", Json::binary({known.memory.begin(), known.memory.end()})}});
    return {bytes.begin(), bytes.end()};
}

std::optional<Known> known_of(const std::string& bytes, Time now) try {
    const Json all = Json::from_msgpack(bytes);
    const Time age = now - Time(all.at("at").get<Time::rep>());
    if (all.at("v") != kVersion || age < Time(0) || age > Time(kFresh)) return std::nullopt;
    Known known;
    known.list = all.at("list");
    known.ids = all.at("ids").get<std::map<std::string, EndpointId>>();
    for (const auto& [id, until] : all.at("waits").items()) known.waits[id] = Time(until.get<Time::rep>());
    const auto& memory = all.at("memory").get_binary();
    known.memory.assign(memory.begin(), memory.end());
    return known;
} catch (const std::exception& bad) {
    log::warn("handover", "what the process before knew cannot be read", {{"why", bad.what()}});
    return std::nullopt;
}

std::size_t learn(cometspoke::Sender& module, const Known& known, const std::map<std::string, EndpointId>& to,
    const cometspoke::Settings& settings) {
    State& state = module.state();
    std::size_t learned = 0;
    try {
        cometspoke::Sender before(settings, 0);
        capture::remember(before, known.memory);
        State& old = before.state();
        std::set<DestinationId> done;
        for (const auto& [id, number] : to) {
            const auto from = known.ids.find(id);
            if (from == known.ids.end()) continue;
            const auto source = old.endpoints_.find(from->second);
            const auto target = state.endpoints_.find(number);
            if (source == old.endpoints_.end() || target == state.endpoints_.end()) continue;
            if (source->second.destination != target->second.destination) continue;  // it moved meanwhile
            copy(source->second, target->second);
            ++learned;
            const auto home = old.destinations_.find(source->second.destination);
            if (home != old.destinations_.end() && done.insert(home->first).second)
                copy(home->second, *target->second.destination_record);
        }
        state.overall_latency_s_ = old.overall_latency_s_;
        state.reported_limits_ = old.reported_limits_;
        if (old.quota_tags_.size() == state.quota_tags_.size()) state.quota_tags_ = old.quota_tags_;
        if (old.connect_refused_at_.size() == state.connect_refused_at_.size())
            state.connect_refused_at_ = old.connect_refused_at_;
    } catch (const std::exception& bad) {
        log::warn("handover", "only the waits are taken over", {{"why", bad.what()}});
    }
    for (const auto& [id, until] : known.waits)
        if (const auto number = to.find(id); number != to.end()) wait_at_least(state, number->second, until);
    return learned;
}

}  // namespace lockgw::handover
