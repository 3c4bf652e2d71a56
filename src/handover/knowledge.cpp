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
    to.own = from.own;
    to.used = from.used, to.heard = from.heard, to.often = from.often;
    to.health = from.health, to.failure_seen = from.failure_seen;
    to.failing = from.failing, to.refused_row = from.refused_row;
    to.last_good = from.last_good, to.refused_at = from.refused_at;
    to.lost_at = from.lost_at, to.unconnected_at = from.unconnected_at;
    to.fell = from.fell, to.knowing = from.knowing;
    to.returned = from.returned, to.cold_tag = from.cold_tag;
}
void copy(const Destination& from, Destination& to) {
    to.shared = from.shared;
    to.reservation_tag = from.reservation_tag;
    to.usual = from.usual, to.asked = from.asked, to.asked_at = from.asked_at;
    to.served_rate = from.served_rate, to.last_served = from.last_served;
}

void wait_at_least(State& state, EndpointId id, Time until) {
    const auto found = state.endpoints_.find(id);
    if (found == state.endpoints_.end() || found->second.home == nullptr) return;
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
                copy(home->second, *target->second.home);
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
