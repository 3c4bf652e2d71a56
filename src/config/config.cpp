#include "config/config.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>

#include "base/read_file.hpp"

namespace lockgw {
namespace {

constexpr int kLeastSockets = 64;

using cometspoke::settings::BadInput;
using cometspoke::settings::field;
using cometspoke::settings::need;
using cometspoke::settings::value_or;

std::uint64_t seed_of(const std::string& text) {
    std::uint64_t seed = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, seed, 16);
    if (parsed.ec != std::errc() || parsed.ptr != end) throw BadInput("seed is not a hex number: " + text);
    return seed;
}

void read_limits(const Json& limits, Config& config) {
    const auto sockets = field<std::int64_t>(limits, "sockets");
    const auto disk_mb = field<double>(limits, "disk_mb");
    if (sockets < kLeastSockets) throw BadInput("limits.sockets is under 64");
    if (!(disk_mb > 0 && disk_mb < 1e6)) throw BadInput("limits.disk_mb makes no sense");
    const auto memory_mb = value_or(limits, "memory_mb", 64.0);
    if (!(memory_mb > 0 && memory_mb < 1e9)) throw BadInput("limits.memory_mb makes no sense");
    config.sockets = static_cast<std::size_t>(sockets);
    config.memory_bytes = static_cast<std::size_t>(memory_mb * 1024 * 1024);
    config.disk_bytes = static_cast<std::size_t>(disk_mb * 1024 * 1024);
}

void read_peers(const Json& file, Config& config) {
    if (const auto listen = value_or<std::string>(file, "peer_listen", ""); !listen.empty())
        config.peer_listen = udp_endpoint(listen, "peer_listen");
    if (const auto all = value_or<std::string>(file, "peers_all", ""); !all.empty())
        config.peers_all = udp_endpoint(all, "peers_all");
    for (const Json& peer : value_or(file, "peers", Json::array()))
        config.peers.push_back(udp_endpoint(peer.get<std::string>(), "peers"));
}

/// `known` is a list that discovery wrote: its rows are no configuration, and may be many.
Json without_known_rows(const Json& file) {
    Json rest = Json::object();
    for (const auto& [key, value] : file.items())
        if (key != "known") rest[key] = value;
    const auto known = file.find("known");
    if (known == file.end()) return rest;
    if (!known->is_object()) return rest["known"] = *known, rest;
    rest["known"] = Json::object();
    for (const auto& [key, value] : known->items())
        rest["known"][key] = value.is_array() ? Json::array() : value;
    return rest;
}

std::string environment(const char* name) {
    const char* value = std::getenv(name);
    if (value == nullptr || *value == '\0') throw BadInput(std::string(name) + " is not set");
    return value;
}

}  // namespace

std::size_t within_own_limit(std::size_t sockets) {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return sockets;
    if (limit.rlim_cur < kLeastSockets)
        throw BadInput("this process may hold only " + std::to_string(limit.rlim_cur) + " descriptors");
    return std::min<std::size_t>(sockets, limit.rlim_cur);
}

Config read_config(Json file) {
    Config config;
    config.name = value_or<std::string>(file, "name", "");
    config.listen = tcp_endpoint(field<std::string>(file, "listen"), "listen");
    if (file.contains("discovery") || !file.contains("known"))
        config.discovery = tcp_endpoint(field<std::string>(file, "discovery"), "discovery");
    if (const auto console = value_or<std::string>(file, "console", ""); !console.empty())
        config.console = tcp_endpoint(console, "console");
    config.state = value_or<std::string>(file, "state", "");
    config.seed = seed_of(field<std::string>(file, "seed"));
    read_limits(need(file, "limits"), config);
    read_peers(file, config);
    config.known =
        file.contains("known") && !file["known"].is_null() ? std::move(file["known"]) : Json::object();
    const Json& params = need(file, "settings");
    config.names = cometspoke::settings::names_of(params);
    config.settings = cometspoke::settings::settings_of(params, config.names);
    for (auto& one : config.settings.classes) one.max_attempts = config.settings.max_attempts;
    config.numbered = params.contains("me") && !params["me"].is_null();
    const auto timeout_ms = value_or(need(params, "limits"), "connect_timeout_ms", 1000.0);
    if (!(timeout_ms > 0 && timeout_ms < 1e6)) throw BadInput("limits.connect_timeout_ms makes no sense");
    config.connect_timeout = std::chrono::milliseconds(static_cast<std::int64_t>(timeout_ms));
    const auto grace_ms = value_or(need(params, "contract"), "drain_grace_ms", 500.0);
    if (!(grace_ms >= 0 && grace_ms < 1e6)) throw BadInput("contract.drain_grace_ms makes no sense");
    config.drain_grace = std::chrono::milliseconds(static_cast<std::int64_t>(grace_ms));
    config.reports =
        value_or<std::string>(value_or(params, "report", Json::object()), "source", "off") == "inline";
    return config;
}

Config config_of_file(const std::string& path) {
    const auto text = read_file(path);
    if (!text) throw BadInput("NODE_CONFIG cannot be read: " + path);
    Json file = Json::parse(*text);
    if (!file.is_object()) throw BadInput("NODE_CONFIG is not a JSON object");
    const auto platform_file = std::make_shared<const Json>(without_known_rows(file));
    Config config = read_config(std::move(file));
    config.platform_file = platform_file;
    return config;
}

Config config_of_environment() {
    Config config = config_of_file(environment("NODE_CONFIG"));
    config.sockets = within_own_limit(config.sockets);
    config.state = environment("NODE_STATE");
    return config;
}

}  // namespace lockgw
