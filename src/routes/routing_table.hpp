/// The compiled routes: which endpoints a message may go to, and which rule decides so. No I/O, no clock;
/// deterministic.
///
/// The operator's routes are tried in the order of the file. The first that matches the message's class and
/// tenant, the destination and the destination's kind decides: it either lists the allowed endpoints or
/// refuses the message. If none matches, all endpoints listed for the destination are allowed. A route can
/// only narrow the choice: it never sends a message to another destination. The decision module chooses among
/// the eligible endpoints, and when to call. `lockgw check` and the running program use this same table.
///
/// Threads: one; const calls may be concurrent. find_route() examines the routes that name the destination
/// and those that name none, up to the first match.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/operator_file.hpp"

namespace lockgw::routes {

using RouteId = std::uint32_t;  ///< position of a route in the operator's file, from 1; or kDefaultRoute
constexpr RouteId kDefaultRoute = 0;

/// The names that the settings in force define.
struct KnownNames {
    std::vector<std::string> classes, tenants, kinds, zones;
    std::map<std::string, std::vector<std::string>> class_kinds;  ///< classes restricted to these kinds
};

/// An endpoint as discovery or the operator's file lists it.
struct ListedEndpoint {
    std::string id;
    std::int64_t destination = 0;
    std::string kind, zone;
    cometspoke::Condition condition = cometspoke::Condition::Ready;
};
/// The listed endpoints by destination, each in the order of ids.
class EndpointIndex {
public:
    /// Adds the endpoint or replaces the one with its id, also where that was at another destination.
    void put(ListedEndpoint endpoint);
    void erase(const std::string& id);
    const std::vector<ListedEndpoint>& endpoints_of(std::int64_t destination) const;
    const std::map<std::int64_t, std::vector<ListedEndpoint>>& by_destination() const {
        return by_destination_;
    }
    bool empty() const { return by_destination_.empty(); }

private:
    std::map<std::int64_t, std::vector<ListedEndpoint>> by_destination_;
    // not a hash table: a rehash would move all entries at once and delay the event loop
    std::map<std::string, std::int64_t> destinations_;
};
/// The endpoints of the operator's file, all of them ready; for use where discovery lists none.
EndpointIndex endpoints_from(const config::OperatorFile& file);

/// A message, as far as routing depends on it.
struct Query {
    std::string message_class, tenant;
    std::int64_t destination = 0;
};
/// How a message is routed.
struct Resolution {
    bool refused = false;
    RouteId route = kDefaultRoute;
    std::string rule;                    ///< the rule that decided, as text for operators
    std::vector<std::string> endpoints;  ///< ids of the endpoints eligible now, in order
};

/// The operator's routes, compiled for look-up, with the names and weights that the file defines.
class RoutingTable {
public:
    /// No routes: all endpoints of a destination are allowed for all messages.
    RoutingTable() = default;
    /// Appends to `problems` what is wrong with the file (unknown names, routes that can match nothing); the
    /// table may be used only if there is nothing.
    RoutingTable(const config::OperatorFile& file, const KnownNames& known, config::Problems& problems);

    /// The route that decides. `kind`: of the destination as discovery lists it; used where the operator's
    /// file gives none.
    RouteId find_route(const std::string& message_class, const std::string& tenant, std::int64_t destination,
        const std::string& kind) const;
    bool refuses(RouteId route) const { return route != kDefaultRoute && routes_[route - 1].refuse; }
    /// Ids of the endpoints that a route allows. Not for kDefaultRoute, which allows all.
    const std::vector<std::string>& allowed_endpoints(RouteId route) const {
        return routes_[route - 1].allowed_endpoints;
    }
    std::size_t route_count() const { return routes_.size(); }
    /// The route, as text for operators.
    std::string rule_text(RouteId route) const;
    /// Whether the class is restricted to kinds other than the destination's: such messages are refused
    /// before any route is tried.
    bool excludes_kind(
        const std::string& message_class, std::int64_t destination, const std::string& kind) const;

    /// Routes a message; `endpoints`: those listed for its destination. Only ready ones are eligible.
    Resolution resolve(const Query& query, const std::vector<ListedEndpoint>& endpoints) const;

    /// Nothing if no destination has this name.
    std::optional<std::int64_t> destination_number(const std::string& name) const;
    /// The destination's name, or its number as text if it has none.
    std::string destination_name(std::int64_t destination) const;
    /// The id of "destination/endpoint" or, within destination `within`, of "endpoint"; nothing if unknown.
    std::optional<std::string> endpoint_id(
        const std::string& endpoint, std::optional<std::int64_t> within) const;
    /// The operator's weights other than 1, by endpoint id.
    const std::map<std::string, double>& endpoint_weights() const { return weights_; }
    /// The endpoint's name within its destination, or its id if it has none.
    std::string endpoint_name(const std::string& id) const;

private:
    struct Route {
        std::string name;
        std::vector<std::string> classes, tenants, kinds;  // sorted; empty: all
        std::vector<std::int64_t> destinations;            // sorted; empty: all
        bool refuse = false;
        std::vector<std::string> allowed_endpoints;  // ids, sorted
    };
    struct Destination {
        std::string name, kind;
        std::map<std::string, std::string> endpoints;  // ids by name
    };
    bool matches(const Route& route, const std::string& message_class, const std::string& tenant,
        const std::string& kind) const;
    const std::string& destination_kind(std::int64_t destination, const std::string& listed) const;
    void index_destinations(
        const config::OperatorFile& file, const KnownNames& known, config::Problems& problems);
    Route compile_route(const config::RouteRow& row, const KnownNames& known, config::Problems& problems);
    void compile_endpoints(const config::RouteRow& row, Route& route, config::Problems& problems);
    void report_unreachable(const config::OperatorFile& file, config::Problems& problems) const;
    bool covers(const Route& wide, const Route& narrow) const;

    std::vector<Route> routes_;
    std::unordered_map<std::int64_t, std::vector<RouteId>> by_destination_;
    std::vector<RouteId> general_;  // routes that name no destination
    std::unordered_map<std::int64_t, Destination> destinations_;
    std::unordered_map<std::string, std::int64_t> numbers_;                            // by name
    std::unordered_map<std::string, std::pair<std::int64_t, std::string>> endpoints_;  // name, by id
    std::map<std::string, std::vector<std::string>> class_kinds_;
    std::map<std::string, double> weights_;
};

}  // namespace lockgw::routes
