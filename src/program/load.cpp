#include "program/load.hpp"

#include <fstream>

#include "base/passing_error.hpp"
#include "config/address.hpp"
#include "config/missing_keys.hpp"
#include "config/stand_alone.hpp"
#include "discovery/target_list.hpp"

namespace lockgw::program {

using config::OperatorFile;
using config::Problems;

namespace {

routes::KnownNames known_of(const Config& config, const OperatorFile& file) {
    const auto names = [](const cometspoke::settings::Index& index) {
        std::vector<std::string> all(index.size());
        for (const auto& [name, place] : index) all[place] = name;
        return all;
    };
    routes::KnownNames known{names(config.names.classes), names(config.names.tenants),
        names(config.names.kinds), names(config.names.zones), {}};
    for (const auto& row : file.classes)
        for (const auto& kind : row.kinds) known.class_kinds[row.name.text].push_back(kind.text);
    return known;
}

/// Tells where discovery has an endpoint elsewhere than the operator's file says.
void check_moved(const OperatorFile& file, const routes::EndpointIndex& listed, Problems& problems) {
    std::map<std::string, std::int64_t> at;
    for (const auto& [number, members] : listed.by_destination())
        for (const auto& one : members) at.emplace(one.id, number);
    for (const auto& destination : file.destinations)
        for (const auto& endpoint : destination.endpoints)
            if (const auto found = at.find(endpoint.id);
                found != at.end() && found->second != destination.number)
                problems.add(endpoint.name.place, "endpoint-moved",
                    "endpoint \"" + endpoint.id + "\" is of \"" + destination.name.text + "\" (" +
                        std::to_string(destination.number) + ") here, and of destination " +
                        std::to_string(found->second) + " in the list of members");
}

/// The list that the platform has may be anything: the start does not hang on it, nor does a reload.
std::optional<routes::EndpointIndex> listed(const Json& list, bool needed, Problems& problems) try {
    if (!list.is_object() || !list.contains("members")) return std::nullopt;
    routes::EndpointIndex members;
    for (const Target& target : parse_target_list(list).targets)
        if (target.condition != cometspoke::Condition::Gone)
            members.put({target.id, target.destination, target.kind, target.zone, target.condition});
    return members;
} catch (const std::exception& bad) {
    if (needed) problems.add({}, "bad-members", std::string("the list of members: ") + bad.what());
    return std::nullopt;
}

Json json_file(const std::string& path, Problems& problems) try {
    std::ifstream stream(path);
    if (!stream) throw std::runtime_error("cannot be read: " + path);
    return Json::parse(stream);
} catch (const std::exception& bad) {
    problems.add({}, "bad-members", std::string("the list of members: ") + bad.what());
    return {};
}

}  // namespace

std::optional<Loaded> load(const Sources& sources, Problems& problems,
    const std::function<void(std::size_t, std::size_t)>& progress) {
    Loaded loaded;
    if (!sources.operator_file.empty())
        loaded.file = config::load_operator_file(sources.operator_file, problems);
    try {
        if (!sources.node_config.empty()) {
            config::check_beside_platform(loaded.file, problems);
            loaded.config = config_of_file(sources.node_config);
        } else if (problems.empty()) {
            Json node = config::stand_alone(loaded.file, problems, !sources.only_checked);
            if (problems.empty()) loaded.config = read_config(std::move(node));
        }
        if (!problems.empty()) return std::nullopt;
        config::apply_limits(loaded.file, loaded.config);
        if (!sources.state.empty()) loaded.config.state = sources.state;
        if (!sources.listen_fd.empty()) {
            if (sources.listen_fd.find_first_not_of("0123456789") != std::string::npos ||
                sources.listen_fd.size() > 6)
                throw std::runtime_error("NODE_LISTEN_FD is no descriptor: " + sources.listen_fd);
            loaded.config.listen_fd = std::stoi(sources.listen_fd);
        }
        if (!sources.console.empty()) loaded.config.console = tcp_endpoint(sources.console, "NODE_CONSOLE");
        loaded.config.sockets = within_own_limit(loaded.config.sockets);
        const cometspoke::Sender checked(loaded.config.settings, loaded.config.seed);
    } catch (const std::exception& bad) {
        if (is_passing(bad)) throw;
        problems.add({}, sources.node_config.empty() ? "settings" : "node-config", bad.what());
        return std::nullopt;
    }
    loaded.known = known_of(loaded.config, loaded.file);
    loaded.table = routes::RoutingTable(loaded.file, loaded.known, problems);
    const bool given = !sources.members.empty();
    auto members =
        listed(given ? json_file(sources.members, problems) : loaded.config.known, given, problems);
    if (members) check_moved(loaded.file, *members, problems);
    loaded.members = members && !members->empty() ? std::move(*members) : routes::endpoints_from(loaded.file);
    if (problems.empty()) routes::check_expectations(loaded.scene(), problems, progress);
    return problems.empty() ? std::optional(std::move(loaded)) : std::nullopt;
}

namespace {

/// Whoever writes NODE_CONFIG tells all of it: what a file lacks was cut off, or not written yet.
void check_complete(const Config& running, const Config& fresh, Problems& problems) {
    if (!running.platform_file || !fresh.platform_file) return;
    std::string missing;
    for (const std::string& key : config::missing_keys(*running.platform_file, *fresh.platform_file))
        missing += (missing.empty() ? "" : ", ") + key;
    if (!missing.empty())
        problems.add({}, "node-config",
            "the file in force had, and this file lacks or has of another type: " + missing);
}

}  // namespace

void check_running(const Loaded& running, const Loaded& fresh, Problems& problems) {
    const auto keeps = [&](bool same, const char* what) {
        if (!same)
            problems.add(
                {}, "needs-restart", std::string(what) + " cannot change while it runs; restart for it");
    };
    check_complete(running.config, fresh.config, problems);
    if (fresh.file.path.empty()) return;
    const Config &a = running.config, &b = fresh.config;
    keeps(a.listen == b.listen, "listen");
    keeps(a.state == b.state, "state");
    keeps(a.sockets == b.sockets && a.memory_bytes == b.memory_bytes && a.disk_bytes == b.disk_bytes &&
              running.file.limits == fresh.file.limits,
        "[limits]");
    keeps(running.file.door == fresh.file.door, "[door]");
    keeps(running.file.tier == fresh.file.tier, "[tier]");
    keeps(running.file.recovery == fresh.file.recovery, "[return]");
    keeps(running.file.work == fresh.file.work, "[work]");
    keeps(running.file.capture == fresh.file.capture, "[capture]");
    keeps(a.discovery.has_value() == b.discovery.has_value(), "where endpoints come from");
    keeps(a.discovery || a.known == b.known, "static endpoints");
}

}  // namespace lockgw::program
