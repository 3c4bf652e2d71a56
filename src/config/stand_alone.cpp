#include "config/stand_alone.hpp"

#include <algorithm>

namespace lockgw::config {
namespace {

constexpr std::int64_t kDescriptors = 1024, kSlots = 64, kHeld = 10'000, kAttempts = 12;

Json classes_of(const OperatorFile& file) {
    Json all = Json::array();
    for (const ClassRow& row : file.classes)
        all.push_back({{"name", row.name.text}, {"effect", row.effect}, {"dedup_scope", row.dedup_scope},
            {"window_ms", row.window_ms}, {"aim_ms", row.aim_ms}, {"hard_limit_ms", row.deadline_ms},
            {"worth", row.worth}, {"late_worth", row.late_worth}, {"sequential", row.sequential}});
    return all;
}
Json settings_of(const OperatorFile& file) {
    Json tenants = Json::array(), kinds = Json::array(), apart = Json::array(), per_call = Json::array(),
         zones = Json::array();
    for (const TenantRow& row : file.tenants)
        tenants.push_back({{"name", row.name.text}, {"quota_per_s", row.quota_per_s}});
    for (const KindRow& row : file.kinds) {
        kinds.push_back(row.name.text);
        apart.push_back(row.routes_apart);
        per_call.push_back(row.per_call);
    }
    if (kinds.empty()) kinds.push_back("any"), apart.push_back(false), per_call.push_back(1);
    for (const Word& zone : file.zones) zones.push_back(zone.text);
    const LimitsRow& limits = file.limits;
    return {{"classes", classes_of(file)}, {"tenants", tenants}, {"kinds", kinds}, {"localities", zones},
        {"az", file.instance->zone},
        {"family_info",
            {{"slots", limits.slots.value_or(kSlots)}, {"routes_apart", apart}, {"per_call", per_call}}},
        {"n_instances", std::max<std::size_t>(1, file.instance->peers.size())},
        {"limits", {{"most_held", limits.held.value_or(kHeld)},
                       {"max_attempts", limits.attempts.value_or(kAttempts)}, {"cancel", true},
                       {"conn_idle_ms", limits.conn_idle_ms.value_or(10'000)},
                       {"connect_timeout_ms", limits.connect_timeout_ms.value_or(1000)}}},
        {"contract",
            {{"fall_ms", 2000}, {"warm_within_ms", 11'000}, {"fall_multiple", 2.5}, {"cold_from", 0.16}}},
        {"report", {{"source", "inline"}}}};
}

}  // namespace

Json static_members(const OperatorFile& file) {
    Json members = Json::array();
    for (const DestinationRow& destination : file.destinations)
        for (const EndpointRow& endpoint : destination.endpoints)
            if (endpoint.address)
                members.push_back(
                    {{"id", endpoint.id}, {"host_port", endpoint.address->text}, {"locality", endpoint.zone},
                        {"flavor", destination.kind     ? destination.kind->text
                                   : file.kinds.empty() ? "any"
                                                        : file.kinds.front().name.text},
                        {"cell", destination.number}, {"phase", "in_service"}, {"size", 1.0},
                        {"up_since_ms", 0}});
    return members;
}

Json stand_alone(const OperatorFile& file, Problems& problems, bool with_members) {
    const auto missing = [&](const std::string& what) {
        problems.add({}, "missing-key", what + "; there is no NODE_CONFIG that tells it");
    };
    if (!file.instance) return missing("there is no [instance]"), Json();
    const InstanceRow& own = *file.instance;
    const auto needed = [&](bool there, const char* key) {
        if (!there) problems.add(own.place, "missing-key", std::string("[instance]: there is no ") + key);
    };
    needed(own.listen.has_value(), "listen");
    needed(!own.state.empty(), "state: the folder that lasts");
    if (file.classes.empty()) missing("there is no [[class]]");
    if (!own.discovery && !file.has_static_members())
        problems.add(own.place, "missing-key",
            "[instance]: there is neither discovery nor an endpoint with an address: nothing could be "
            "delivered");
    if (own.discovery && file.has_static_members())
        problems.add(own.discovery->place, "two-sources",
            "[instance]: endpoints come from discovery or have addresses in this file, not both");
    if (!problems.empty()) return {};
    Json node{{"name", own.name}, {"listen", own.listen->text}, {"seed", own.seed},
        {"limits", {{"cores", 1.0}, {"memory_mb", file.limits.memory_mb.value_or(256)},
                       {"sockets", file.limits.descriptors.value_or(kDescriptors)},
                       {"disk_mb", file.limits.disk_mb.value_or(64)}}},
        {"settings", settings_of(file)}, {"state", own.state}};
    if (own.discovery) {
        node["discovery"] = own.discovery->text;
    } else {
        node["known"] = {{"revision", 0}, {"complete", true}};
        if (with_members)
            node["known"]["members"] = static_members(file);  // not in the list above, which copies
    }
    if (own.console) node["console"] = own.console->text;
    if (own.peer_listen) node["peer_listen"] = own.peer_listen->text;
    if (own.peers_all) node["peers_all"] = own.peers_all->text;
    for (const Word& peer : own.peers) node["peers"].push_back(peer.text);
    return node;
}

void check_beside_platform(const OperatorFile& file, Problems& problems) {
    const auto told = [&](bool there, Place place, const char* what) {
        if (there)
            problems.add(
                place, "told-by-platform", std::string("NODE_CONFIG tells ") + what + "; take it out here");
    };
    told(file.instance.has_value(), file.instance ? file.instance->place : Place{}, "the instance");
    const auto first = [&](const auto& rows, const char* what) {
        if (!rows.empty()) told(true, rows.front().name.place, what);
    };
    first(file.classes, "the classes"), first(file.tenants, "the tenants"), first(file.kinds, "the kinds");
    if (!file.zones.empty()) told(true, file.zones.front().place, "the zones");
    for (const DestinationRow& destination : file.destinations)
        for (const EndpointRow& endpoint : destination.endpoints)
            if (endpoint.address)
                problems.add(endpoint.address->place, "told-by-platform",
                    "discovery tells the addresses; write id, as it lists the endpoint, in place of address");
}

void apply_limits(const OperatorFile& file, Config& config) {
    const auto lower = [](auto& value, const auto& told) {
        using Value = std::remove_reference_t<decltype(value)>;
        if (told) value = std::min(value, static_cast<Value>(*told));
    };
    const LimitsRow& limits = file.limits;
    lower(config.sockets, limits.descriptors);
    lower(config.settings.slots, limits.slots);
    lower(config.settings.most_held, limits.held);
    lower(config.settings.max_attempts, limits.attempts);
    for (auto& one : config.settings.classes) one.max_attempts = config.settings.max_attempts;
    if (limits.memory_mb)
        config.memory_bytes =
            std::min(config.memory_bytes, static_cast<std::size_t>(*limits.memory_mb * 1024 * 1024));
    if (limits.disk_mb)
        config.disk_bytes =
            std::min(config.disk_bytes, static_cast<std::size_t>(*limits.disk_mb * 1024 * 1024));
    if (limits.connect_timeout_ms)
        config.connect_timeout =
            std::min(config.connect_timeout, std::chrono::milliseconds(*limits.connect_timeout_ms));
    config.door = file.door;
    config.spread = file.spread;
    config.tier = file.tier;
    config.recovery = file.recovery;
    config.work = file.work;
    config.log = file.log;
    config.capture = file.capture;
}

}  // namespace lockgw::config
