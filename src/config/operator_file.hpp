/// The operator's file: names, routes, expectations and limits beside what the platform tells.
///
/// TOML; every key: docs/operators/configuration.md. Rows keep their places, so that later checks can name
/// them. read_operator_file() checks what one row or the file alone can show; what depends on the settings
/// and on the members is checked by routes::RoutingTable and routes::check_expectations.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/condition.hpp"
#include "config/capture_row.hpp"
#include "config/door_row.hpp"
#include "config/return_row.hpp"
#include "config/tier_row.hpp"
#include "config/toml_reader.hpp"
#include "config/work_row.hpp"
#include "logging/log.hpp"
#include "subsetting/subset_planner.hpp"

namespace lockgw::config {

struct ClassRow {
    Word name;
    std::string effect = "retryable", dedup_scope = "all";
    double window_ms = 0, aim_ms = 0, deadline_ms = 0, worth = 1, late_worth = 0;
    bool sequential = false;
    std::vector<Word> kinds;  ///< it may only go to destinations of these; empty: to all
};
struct TenantRow {
    Word name;
    double quota_per_s = 0;
};
struct KindRow {
    Word name;
    bool routes_apart = false;
    std::int64_t per_call = 1;
};
struct EndpointRow {
    Word name;                    ///< within its destination
    std::string id;               ///< as discovery lists it; for a static one "destination/name"
    std::optional<Word> address;  ///< of a static one, "host:port"
    std::string zone;
    double weight = 1;  ///< times its size, where calls are shared out
};
struct DestinationRow {
    Word name;
    std::int64_t number = 0;
    Place number_place;
    std::optional<Word> kind;
    std::vector<EndpointRow> endpoints;
};
/// Empty lists match all.
struct RouteRow {
    Word name;
    std::vector<Word> classes, tenants, destinations, kinds;
    std::vector<Word> endpoints;  ///< by their names; empty: all that are listed, unless refused
    bool refuse = false;
};
/// What an expectation takes for granted beside the members as they are.
struct Supposition {
    enum class What { Endpoint, Kind, Zone };
    What what = What::Endpoint;
    Word name;  ///< of an endpoint "destination/endpoint"
    cometspoke::Condition is = cometspoke::Condition::Gone;
};
struct ExpectRow {
    Word name;
    std::optional<Word> message_class, tenant, destination;
    std::vector<Supposition> suppositions;
    std::optional<std::vector<Word>> endpoints;  ///< exactly these, in any order
    std::vector<Word> only, never;               ///< none but these; none of these
    std::optional<std::int64_t> at_least;
    bool refused = false;
    std::optional<Word> by;  ///< the route that must say so
    /// Of the whole tier to one endpoint, where each forwarder has so many messages a second.
    std::optional<std::int64_t> connections_at_most;
    std::optional<Word> at;
    double messages_per_s = 1, answer_ms = 100;
};
struct InstanceRow {
    Place place;
    std::string name = "lockgw", state;
    std::optional<Word> listen, discovery, console, peer_listen, peers_all;
    std::vector<Word> peers;
    std::string seed, zone;
};
/// What is absent stays as the platform or the program has it.
struct LimitsRow {
    std::optional<std::int64_t> descriptors, slots, held, attempts, connect_timeout_ms, conn_idle_ms;
    std::optional<double> memory_mb, disk_mb;

    bool operator==(const LimitsRow&) const = default;
};
struct OperatorFile {
    std::string path;
    std::optional<InstanceRow> instance;
    LimitsRow limits;
    DoorRow door;
    subsetting::SubsetConfig spread;
    TierRow tier;
    ReturnRow recovery;
    WorkRow work;
    log::Settings log;
    std::optional<CaptureRow> capture;
    std::vector<Word> zones;
    std::vector<ClassRow> classes;
    std::vector<TenantRow> tenants;
    std::vector<KindRow> kinds;
    std::vector<DestinationRow> destinations;
    std::vector<RouteRow> routes;
    std::vector<ExpectRow> expects;

    bool has_static_members() const;
};

/// Problems are added to `problems`; the file is of use only where there are none.
OperatorFile read_operator_file(const std::string& text, const std::string& path, Problems& problems);
/// The same of the file at `path`. A file that cannot be read is a problem too.
OperatorFile load_operator_file(const std::string& path, Problems& problems);

}  // namespace lockgw::config
