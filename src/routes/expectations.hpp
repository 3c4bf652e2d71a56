/// Checks what the operator expects of the routes, without any traffic, and compares two configurations.
///
/// Expectations are checked by `lockgw check`, at the start, and before a new file takes effect. No I/O, no
/// clock.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "routes/routing_table.hpp"
#include "subsetting/subset_planner.hpp"

namespace lockgw::routes {

/// A loaded configuration, as far as routing depends on it. The referenced objects must outlive it.
struct RoutingContext {
    const config::OperatorFile& file;
    const RoutingTable& table;
    const KnownNames& known;
    const EndpointIndex& endpoints;
    /// Of this forwarder's cluster; they determine how many connections go to one endpoint.
    subsetting::SubsetParameters subset_parameters{};
};

/// Adds a problem, with its place in the file, for each expectation that fails, names something unknown or
/// contradicts another. The text gives the rule that decided, the destination, and what was expected and
/// found. `progress(done, total)` is called from time to time, if given.
void check_expectations(const RoutingContext& context, config::Problems& problems,
    const std::function<void(std::size_t, std::size_t)>& progress = {});

/// A class, tenant and destination whose messages are routed differently.
struct RoutingChange {
    std::string message_class, tenant, destination;  ///< the tenant is empty if there are no tenants
    std::string before, after;                       ///< as text: endpoints or "refused", and the rule
};
/// How a new configuration differs from the one before.
struct RoutingDifference {
    std::vector<RoutingChange> changes;
    std::size_t omitted_changes = 0;                ///< changes beyond those listed
    std::vector<std::string> broken_expectations;   ///< of the old file, as problems with the new one
    std::vector<std::string> dropped_expectations;  ///< of the old file and missing in the new one, by name
    std::vector<std::string> removed_destinations, added_destinations;  ///< by name
};
/// Compares how messages are routed under two configurations; lists at most `max_changes` changes.
RoutingDifference compare_routing(
    const RoutingContext& before, const RoutingContext& after, std::size_t max_changes = 100);

/// One row of the effective routing table, for a destination, class and tenant. A single row stands for all
/// tenants, or for all classes, of a destination that are routed alike.
struct RoutingRow {
    std::string destination, message_class, tenant;  ///< "*": the same for all
    bool refused = false;
    std::vector<std::string> endpoints;  ///< names of the endpoints eligible now
    std::string rule;
};
/// The effective routing table of all destinations, by number.
std::vector<RoutingRow> routing_rows(const RoutingContext& context);

}  // namespace lockgw::routes
