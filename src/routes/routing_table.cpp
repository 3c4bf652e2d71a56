#include "routes/routing_table.hpp"

#include <algorithm>
#include <set>

namespace lockgw::routes {

using cometspoke::Condition;
using config::Problems;
using config::Word;

namespace {

bool contains(const std::vector<std::string>& values, const std::string& value) {
    return std::find(values.begin(), values.end(), value) != values.end();
}
std::string quoted(const std::string& text) { return '"' + text + '"'; }

/// The first known names, for an error message; at most kMaxNames, since there may be thousands.
std::string name_list(const std::vector<std::string>& names) {
    constexpr std::size_t kMaxNames = 8;
    std::string text;
    for (std::size_t i = 0; i < names.size() && i < kMaxNames; ++i)
        text += (i > 0 ? ", " : "") + quoted(names[i]);
    return names.size() > kMaxNames ? text + ", ..." : text.empty() ? "there are none" : text;
}

/// Returns the words in sorted order and reports those that are not `known`. `what`: the kind of name, as in
/// "class"; `where`: the row that contains the words.
std::vector<std::string> checked_names(const std::vector<Word>& words, const std::vector<std::string>& known,
    const char* what, const std::string& where, Problems& problems) {
    std::vector<std::string> names;
    for (const Word& word : words) {
        if (!contains(known, word.text))
            problems.add(word.place, std::string("unknown-") + what,
                where + ": there is no " + what + " " + quoted(word.text) + "; write one of " +
                    name_list(known));
        names.push_back(word.text);
    }
    std::sort(names.begin(), names.end());
    return names;
}

/// Whether `wide` contains all of `narrow`; both are sorted, and an empty list stands for all values.
template <class T>
bool includes_all(const std::vector<T>& wide, const std::vector<T>& narrow) {
    if (wide.empty()) return true;
    return !narrow.empty() && std::includes(wide.begin(), wide.end(), narrow.begin(), narrow.end());
}
template <class T>
bool allows(const std::vector<T>& sorted, const T& value) {
    return sorted.empty() || std::binary_search(sorted.begin(), sorted.end(), value);
}

}  // namespace

void EndpointIndex::erase(const std::string& id) {
    const auto found = destinations_.find(id);
    if (found == destinations_.end()) return;
    const auto row = by_destination_.find(found->second);
    std::erase_if(row->second, [&id](const ListedEndpoint& endpoint) { return endpoint.id == id; });
    if (row->second.empty()) by_destination_.erase(row);
    destinations_.erase(found);
}

void EndpointIndex::put(ListedEndpoint endpoint) {
    const auto [found, inserted] = destinations_.emplace(endpoint.id, endpoint.destination);
    if (!inserted && found->second != endpoint.destination) {
        erase(endpoint.id);
        destinations_.emplace(endpoint.id, endpoint.destination);
    }
    auto& row = by_destination_[endpoint.destination];
    const auto place = std::lower_bound(row.begin(), row.end(), endpoint.id,
        [](const ListedEndpoint& listed, const std::string& id) { return listed.id < id; });
    if (place != row.end() && place->id == endpoint.id)
        *place = std::move(endpoint);
    else
        row.insert(place, std::move(endpoint));
}
const std::vector<ListedEndpoint>& EndpointIndex::endpoints_of(std::int64_t destination) const {
    static const std::vector<ListedEndpoint> none;
    const auto found = by_destination_.find(destination);
    return found == by_destination_.end() ? none : found->second;
}

EndpointIndex endpoints_from(const config::OperatorFile& file) {
    EndpointIndex index;
    for (const auto& destination : file.destinations)
        for (const auto& endpoint : destination.endpoints)
            index.put({endpoint.id, destination.number, destination.kind ? destination.kind->text : "",
                endpoint.zone, Condition::Ready});
    return index;
}

RoutingTable::RoutingTable(const config::OperatorFile& file, const KnownNames& known, Problems& problems) {
    index_destinations(file, known, problems);
    class_kinds_ = known.class_kinds;
    for (const config::RouteRow& row : file.routes) {
        routes_.push_back(compile_route(row, known, problems));
        const auto id = static_cast<RouteId>(routes_.size());
        if (routes_.back().destinations.empty()) general_.push_back(id);
        for (const std::int64_t destination : routes_.back().destinations)
            by_destination_[destination].push_back(id);
    }
    if (problems.empty()) report_unreachable(file, problems);
}

void RoutingTable::index_destinations(
    const config::OperatorFile& file, const KnownNames& known, Problems& problems) {
    for (const auto& row : file.destinations) {
        const std::string where = "destination " + quoted(row.name.text);
        if (row.kind) checked_names({*row.kind}, known.kinds, "kind", where, problems);
        Destination destination{row.name.text, row.kind ? row.kind->text : "", {}};
        for (const auto& endpoint : row.endpoints) {
            if (!endpoint.zone.empty())
                checked_names({{endpoint.zone, endpoint.name.place}}, known.zones, "zone", where, problems);
            destination.endpoints.emplace(endpoint.name.text, endpoint.id);
            endpoints_.emplace(endpoint.id, std::pair(row.number, endpoint.name.text));
            if (endpoint.weight != 1) weights_.emplace(endpoint.id, endpoint.weight);
        }
        destinations_.emplace(row.number, std::move(destination));
        numbers_.emplace(row.name.text, row.number);
    }
}

RoutingTable::Route RoutingTable::compile_route(
    const config::RouteRow& row, const KnownNames& known, Problems& problems) {
    const std::string where = "route " + quoted(row.name.text);
    Route route;
    route.name = row.name.text;
    route.refuse = row.refuse;
    route.classes = checked_names(row.classes, known.classes, "class", where, problems);
    route.tenants = checked_names(row.tenants, known.tenants, "tenant", where, problems);
    route.kinds = checked_names(row.kinds, known.kinds, "kind", where, problems);
    for (const Word& word : row.destinations) {
        const auto number = destination_number(word.text);
        if (number)
            route.destinations.push_back(*number);
        else
            problems.add(word.place, "unknown-destination",
                where + ": there is no [[destination]] " + quoted(word.text) + "; name one, or add it");
    }
    std::sort(route.destinations.begin(), route.destinations.end());
    compile_endpoints(row, route, problems);
    return route;
}

void RoutingTable::compile_endpoints(const config::RouteRow& row, Route& route, Problems& problems) {
    const std::string where = "route " + quoted(row.name.text);
    std::set<std::string> allowed;
    for (const Word& word : row.endpoints) {
        const auto report_unknown = [&](const std::string& searched) {
            problems.add(word.place, "unknown-endpoint",
                where + ": there is no endpoint " + quoted(word.text) + searched +
                    "; write \"endpoint\" of each destination of the route, or \"destination/endpoint\"");
        };
        if (word.text.find('/') == std::string::npos) {
            if (route.destinations.empty()) report_unknown(" (the route names no destination)");
            for (const std::int64_t destination : route.destinations)
                if (const auto id = endpoint_id(word.text, destination))
                    allowed.insert(*id);
                else
                    report_unknown(" at " + quoted(destination_name(destination)));
            continue;
        }
        const auto id = endpoint_id(word.text, std::nullopt);
        if (!id) {
            report_unknown("");
        } else if (!route.destinations.empty() && !allows(route.destinations, endpoints_.at(*id).first)) {
            problems.add(word.place, "endpoint-elsewhere",
                where + ": endpoint " + quoted(word.text) +
                    " is of a destination that the route does not name: no message of it may go there");
        } else {
            allowed.insert(*id);
        }
    }
    route.allowed_endpoints.assign(allowed.begin(), allowed.end());
}

bool RoutingTable::covers(const Route& wide, const Route& narrow) const {
    return includes_all(wide.classes, narrow.classes) && includes_all(wide.tenants, narrow.tenants) &&
           includes_all(wide.kinds, narrow.kinds) && includes_all(wide.destinations, narrow.destinations);
}

/// Reports each route that never decides because an earlier one matches all of its messages.
void RoutingTable::report_unreachable(const config::OperatorFile& file, Problems& problems) const {
    for (RouteId id = 1; id <= routes_.size(); ++id) {
        const Route& route = routes_[id - 1];
        std::set<RouteId> candidates(general_.begin(), general_.end());
        for (const std::int64_t destination : route.destinations) {
            const auto& same_destination = by_destination_.at(destination);
            candidates.insert(same_destination.begin(), same_destination.end());
        }
        for (const RouteId earlier : candidates)
            if (earlier < id && covers(routes_[earlier - 1], route)) {
                const auto& row = file.routes[id - 1];
                problems.add(row.name.place, "unreachable-route",
                    "route " + quoted(route.name) + ": route " + quoted(routes_[earlier - 1].name) +
                        " in line " + std::to_string(file.routes[earlier - 1].name.place.line) +
                        " matches all of its messages first; move this route before it, or take it out");
                break;
            }
    }
}

bool RoutingTable::matches(const Route& route, const std::string& message_class, const std::string& tenant,
    const std::string& kind) const {
    return allows(route.classes, message_class) && allows(route.tenants, tenant) && allows(route.kinds, kind);
}

const std::string& RoutingTable::destination_kind(std::int64_t destination, const std::string& listed) const {
    const auto found = destinations_.find(destination);
    return found == destinations_.end() || found->second.kind.empty() ? listed : found->second.kind;
}

RouteId RoutingTable::find_route(const std::string& message_class, const std::string& tenant,
    std::int64_t destination, const std::string& kind) const {
    if (routes_.empty()) return kDefaultRoute;
    const std::string& effective_kind = destination_kind(destination, kind);
    RouteId first = kDefaultRoute;
    const auto search = [&](const std::vector<RouteId>& ids) {
        for (const RouteId id : ids) {
            if (first != kDefaultRoute && id > first) return;
            if (matches(routes_[id - 1], message_class, tenant, effective_kind)) return void(first = id);
        }
    };
    if (const auto found = by_destination_.find(destination); found != by_destination_.end())
        search(found->second);
    search(general_);
    return first;
}

std::string RoutingTable::rule_text(RouteId route) const {
    return route == kDefaultRoute ? "no route: all endpoints" : "route " + quoted(routes_[route - 1].name);
}

bool RoutingTable::excludes_kind(
    const std::string& message_class, std::int64_t destination, const std::string& kind) const {
    const auto found = class_kinds_.find(message_class);
    const std::string& effective_kind = destination_kind(destination, kind);
    return found != class_kinds_.end() && !found->second.empty() && !effective_kind.empty() &&
           !contains(found->second, effective_kind);
}

Resolution RoutingTable::resolve(const Query& query, const std::vector<ListedEndpoint>& endpoints) const {
    const std::string listed_kind = endpoints.empty() ? "" : endpoints.front().kind;
    Resolution result;
    if (excludes_kind(query.message_class, query.destination, listed_kind)) {
        result.refused = true;
        result.rule = "class " + quoted(query.message_class) + " goes to " +
                      name_list(class_kinds_.at(query.message_class)) + " only, and this is " +
                      quoted(destination_kind(query.destination, listed_kind));
        return result;
    }
    result.route = find_route(query.message_class, query.tenant, query.destination, listed_kind);
    result.rule = rule_text(result.route);
    result.refused = refuses(result.route);
    if (result.refused) return result;
    for (const ListedEndpoint& endpoint : endpoints) {
        if (endpoint.condition != Condition::Ready) continue;
        if (result.route == kDefaultRoute || allows(allowed_endpoints(result.route), endpoint.id))
            result.endpoints.push_back(endpoint.id);
    }
    return result;
}

std::optional<std::int64_t> RoutingTable::destination_number(const std::string& name) const {
    const auto found = numbers_.find(name);
    return found == numbers_.end() ? std::nullopt : std::optional(found->second);
}
std::string RoutingTable::destination_name(std::int64_t destination) const {
    const auto found = destinations_.find(destination);
    return found == destinations_.end() ? std::to_string(destination) : found->second.name;
}
std::optional<std::string> RoutingTable::endpoint_id(
    const std::string& endpoint, std::optional<std::int64_t> within) const {
    std::string name = endpoint;
    if (const auto slash = endpoint.find('/'); slash != std::string::npos) {
        within = destination_number(endpoint.substr(0, slash));
        name = endpoint.substr(slash + 1);
    }
    if (!within) return std::nullopt;
    const auto found = destinations_.find(*within);
    if (found == destinations_.end()) return std::nullopt;
    const auto id = found->second.endpoints.find(name);
    return id == found->second.endpoints.end() ? std::nullopt : std::optional(id->second);
}
std::string RoutingTable::endpoint_name(const std::string& id) const {
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? id : found->second.second;
}

}  // namespace lockgw::routes
