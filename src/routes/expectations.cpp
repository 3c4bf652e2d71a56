#include "routes/expectations.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

#include "base/condition.hpp"

namespace lockgw::routes {

using cometspoke::Condition;
using config::ExpectRow;
using config::Problems;
using config::Supposition;
using config::Word;

namespace {

constexpr std::size_t kMaxNamed = 8;  // endpoints named in one text

std::string quoted(const std::string& text) { return '"' + text + '"'; }

template <class Ids>
std::string endpoint_names(const RoutingTable& table, const Ids& ids) {
    if (ids.empty()) return "no endpoint";
    std::string text;
    std::size_t count = 0;
    for (const std::string& id : ids) {
        if (++count > kMaxNamed) return text + " and " + std::to_string(ids.size() - kMaxNamed) + " more";
        text += (text.empty() ? "" : ", ") + table.endpoint_name(id);
    }
    return text;
}
std::string resolution_text(const RoutingTable& table, const Resolution& resolution) {
    return (resolution.refused ? "refused" : endpoint_names(table, resolution.endpoints)) + " (by " +
           resolution.rule + ")";
}

/// The name that a row gives, or all known names; a single empty one if none are known.
std::vector<std::string> named_or_all(const std::optional<Word>& named, const std::vector<std::string>& all) {
    if (named) return {named->text};
    return all.empty() ? std::vector<std::string>{""} : all;
}

/// Checks expectations one at a time and remembers them, to find those that contradict each other.
class ExpectationChecker {
public:
    ExpectationChecker(const RoutingContext& context, Problems& problems)
        : context_(context), problems_(problems) {}

    void check(const ExpectRow& row) {
        if (!names_known(row)) return;
        const std::int64_t destination = *context_.table.destination_number(row.destination->text);
        auto endpoints = context_.endpoints.endpoints_of(destination);
        const std::string suppositions = apply_suppositions(row, destination, endpoints);
        if (row.connections_at_most) check_connections(row, destination, endpoints);
        for (const std::string& message_class : named_or_all(row.message_class, context_.known.classes))
            for (const std::string& tenant : named_or_all(row.tenant, context_.known.tenants)) {
                const Query query{message_class, tenant, destination};
                find_contradiction(row, query, suppositions);
                // one failure of each expectation is enough
                if (!check_resolution(row, query, context_.table.resolve(query, endpoints))) return;
            }
    }
    void report_contradictions() {
        for (const auto& [first, second] : contradictions_)
            problems_.add(second->name.place, "contradiction",
                "expectations " + quoted(first->name.text) + " (line " +
                    std::to_string(first->name.place.line) + ") and " + quoted(second->name.text) +
                    " cannot both hold; take one of them out");
    }

private:
    bool check_known(const std::optional<Word>& word, const std::vector<std::string>& names, const char* what,
        const ExpectRow& row) {
        if (!word || std::find(names.begin(), names.end(), word->text) != names.end()) return true;
        problems_.add(word->place, std::string("unknown-") + what,
            "expectation " + quoted(row.name.text) + ": there is no " + what + ' ' + quoted(word->text));
        return false;
    }
    bool names_known(const ExpectRow& row) {
        bool all_known = check_known(row.message_class, context_.known.classes, "class", row);
        all_known = check_known(row.tenant, context_.known.tenants, "tenant", row) && all_known;
        if (!row.destination) return false;
        const auto destination = context_.table.destination_number(row.destination->text);
        if (!destination) {
            problems_.add(row.destination->place, "unknown-destination",
                "expectation " + quoted(row.name.text) + ": there is no destination " +
                    quoted(row.destination->text) +
                    " any more; rename it here too, or take the expectation out");
            return false;
        }
        std::vector<Word> endpoints = row.endpoints.value_or(std::vector<Word>{});
        for (const auto* words : {&row.only, &row.never})
            endpoints.insert(endpoints.end(), words->begin(), words->end());
        if (row.at) endpoints.push_back(*row.at);
        for (const Word& word : endpoints) all_known = check_endpoint(word, *destination, row) && all_known;
        for (const Supposition& supposition : row.suppositions) {
            if (supposition.what == Supposition::What::Endpoint)
                all_known = check_endpoint(supposition.name, *destination, row) && all_known;
            else if (supposition.what == Supposition::What::Kind)
                all_known = check_known(supposition.name, context_.known.kinds, "kind", row) && all_known;
            else
                all_known = check_known(supposition.name, context_.known.zones, "zone", row) && all_known;
        }
        return all_known;
    }
    std::optional<std::string> endpoint_id(const std::string& name, std::int64_t destination) const {
        if (const auto id = context_.table.endpoint_id(name, destination)) return id;
        for (const ListedEndpoint& endpoint : context_.endpoints.endpoints_of(destination))
            if (endpoint.id == name) return name;
        return std::nullopt;
    }
    bool check_endpoint(const Word& word, std::int64_t destination, const ExpectRow& row) {
        if (endpoint_id(word.text, destination)) return true;
        problems_.add(word.place, "unknown-endpoint",
            "expectation " + quoted(row.name.text) + ": " + quoted(row.destination->text) +
                " has no endpoint " + quoted(word.text) +
                "; write one of its names, or the id that is listed");
        return false;
    }
    std::set<std::string> ids_of(const std::vector<Word>& words, std::int64_t destination) const {
        std::set<std::string> ids;
        for (const Word& word : words) ids.insert(*endpoint_id(word.text, destination));
        return ids;
    }

    /// Sets the conditions that the row supposes in `endpoints`. Returns a key that is equal for rows with
    /// the same suppositions.
    std::string apply_suppositions(
        const ExpectRow& row, std::int64_t destination, std::vector<ListedEndpoint>& endpoints) const {
        std::set<std::string> parts;
        for (const Supposition& supposition : row.suppositions) {
            const auto id = supposition.what == Supposition::What::Endpoint
                                ? endpoint_id(supposition.name.text, destination)
                                : std::nullopt;
            for (ListedEndpoint& endpoint : endpoints)
                if (id ? endpoint.id == *id
                       : (supposition.what == Supposition::What::Kind ? endpoint.kind : endpoint.zone) ==
                             supposition.name.text)
                    endpoint.condition = supposition.is;
            parts.insert(std::to_string(static_cast<int>(supposition.what)) +
                         (id ? *id : supposition.name.text) + '=' + text_of(supposition.is));
        }
        std::string key;
        for (const std::string& part : parts) key += part + ';';
        return key;
    }

    bool check_resolution(const ExpectRow& row, const Query& query, const Resolution& resolution) {
        const std::set<std::string> eligible(resolution.endpoints.begin(), resolution.endpoints.end());
        const auto fail = [&](const std::string& expected) {
            problems_.add(row.name.place, "expect-failed",
                "expectation " + quoted(row.name.text) + ": " + quoted(query.message_class) +
                    (query.tenant.empty() ? "" : " of " + quoted(query.tenant)) + " for " +
                    quoted(row.destination->text) + ": expected " + expected + "; found " +
                    resolution_text(context_.table, resolution));
            return false;
        };
        if (row.by && resolution.rule != "route " + quoted(row.by->text))
            return fail("route " + quoted(row.by->text));
        if (row.refused != resolution.refused) return fail(row.refused ? "refused" : "not refused");
        if (row.refused) return true;
        if (row.endpoints) {
            const auto wanted = ids_of(*row.endpoints, query.destination);
            if (wanted != eligible) return fail(endpoint_names(context_.table, wanted));
        }
        if (!row.only.empty()) {
            const auto wanted = ids_of(row.only, query.destination);
            if (!std::includes(wanted.begin(), wanted.end(), eligible.begin(), eligible.end()))
                return fail("none but " + endpoint_names(context_.table, wanted));
        }
        for (const std::string& id : ids_of(row.never, query.destination))
            if (eligible.contains(id)) return fail("never " + context_.table.endpoint_name(id));
        if (row.at_least && eligible.size() < static_cast<std::size_t>(*row.at_least))
            return fail("at least " + std::to_string(*row.at_least) + " endpoints");
        return true;
    }

    /// Estimates the connections of the whole cluster to one endpoint. All endpoints count as equally large,
    /// times the operator's weight.
    void check_connections(
        const ExpectRow& row, std::int64_t destination, const std::vector<ListedEndpoint>& endpoints) {
        subsetting::HashRing ring(destination);
        const auto& weights = context_.table.endpoint_weights();
        for (const ListedEndpoint& endpoint : endpoints) {
            const auto weight = weights.find(endpoint.id);
            if (endpoint.condition == Condition::Ready)
                ring.put(endpoint.id, weight == weights.end() ? 1.0 : weight->second);
        }
        const std::string id = *endpoint_id(row.at->text, destination);
        const auto estimate = subsetting::estimate_connections(ring, id, context_.subset_parameters,
            context_.file.spread, row.messages_per_s, row.answer_ms / 1000);
        if (estimate.connections <= static_cast<double>(*row.connections_at_most)) return;
        problems_.add(row.name.place, "expect-failed",
            "expectation " + quoted(row.name.text) + ": expected at most " +
                std::to_string(*row.connections_at_most) + " connections of the tier to " +
                quoted(row.at->text) + "; found " +
                std::to_string(static_cast<std::int64_t>(std::ceil(estimate.connections))) + ", of " +
                std::to_string(estimate.forwarders) + " of " +
                std::to_string(context_.subset_parameters.forwarder_count) + " forwarders");
    }

    /// Two rows contradict each other if, for the same messages under the same suppositions, one expects a
    /// refusal and the other endpoints, or if they expect different endpoints.
    void find_contradiction(const ExpectRow& row, const Query& query, const std::string& suppositions) {
        if (!row.refused && !row.endpoints) return;
        const std::string key = query.message_class + '\n' + query.tenant + '\n' +
                                std::to_string(query.destination) + '\n' + suppositions;
        const auto [found, inserted] = first_rows_.emplace(key, &row);
        if (inserted) return;
        const ExpectRow& first = *found->second;
        const bool differ = first.refused != row.refused ||
                            (row.endpoints && ids_of(*row.endpoints, query.destination) !=
                                                  ids_of(*first.endpoints, query.destination));
        if (differ) contradictions_.emplace(&first, &row);
    }

    const RoutingContext& context_;
    Problems& problems_;
    std::map<std::string, const ExpectRow*> first_rows_;  // by message and suppositions
    std::set<std::pair<const ExpectRow*, const ExpectRow*>> contradictions_;
};

std::string resolution_text(const RoutingContext& context, const Query& query) {
    return resolution_text(
        context.table, context.table.resolve(query, context.endpoints.endpoints_of(query.destination)));
}

std::vector<std::string> merged(const std::vector<std::string>& a, const std::vector<std::string>& b) {
    std::set<std::string> all(a.begin(), a.end());
    all.insert(b.begin(), b.end());
    return {all.begin(), all.end()};
}
std::set<std::string> destination_names(const RoutingContext& context) {
    std::set<std::string> names;
    for (const auto& row : context.file.destinations) names.insert(row.name.text);
    return names;
}

}  // namespace

void check_expectations(const RoutingContext& context, Problems& problems,
    const std::function<void(std::size_t, std::size_t)>& progress) {
    constexpr std::size_t kProgressInterval = 500;
    ExpectationChecker checker(context, problems);
    const auto& rows = context.file.expects;
    for (std::size_t i = 0; i < rows.size(); ++i) {
        checker.check(rows[i]);
        if (progress && (i + 1) % kProgressInterval == 0) progress(i + 1, rows.size());
    }
    checker.report_contradictions();
}

RoutingDifference compare_routing(
    const RoutingContext& before, const RoutingContext& after, std::size_t max_changes) {
    RoutingDifference difference;
    const auto old_names = destination_names(before), new_names = destination_names(after);
    std::set_difference(old_names.begin(), old_names.end(), new_names.begin(), new_names.end(),
        std::back_inserter(difference.removed_destinations));
    std::set_difference(new_names.begin(), new_names.end(), old_names.begin(), old_names.end(),
        std::back_inserter(difference.added_destinations));

    auto tenants = merged(before.known.tenants, after.known.tenants);
    if (tenants.empty()) tenants.emplace_back();
    const auto contains = [](const std::vector<std::string>& names, const std::string& name) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    const auto describe = [&](const RoutingContext& context, const std::string& name,
                              const std::string& message_class, const std::string& tenant) -> std::string {
        const auto number = context.table.destination_number(name);
        if (!number) return "no such destination";
        if (!contains(context.known.classes, message_class)) return "no such class";
        if (!tenant.empty() && !contains(context.known.tenants, tenant)) return "no such tenant";
        return resolution_text(context, {message_class, tenant, *number}) + " as number " +
               std::to_string(*number);
    };
    for (const std::string& name : old_names) {
        if (!new_names.contains(name)) continue;
        for (const std::string& message_class : merged(before.known.classes, after.known.classes))
            for (const std::string& tenant : tenants) {
                std::string old_text = describe(before, name, message_class, tenant),
                            new_text = describe(after, name, message_class, tenant);
                if (old_text == new_text) continue;
                if (difference.changes.size() < max_changes)
                    difference.changes.push_back(
                        {message_class, tenant, name, std::move(old_text), std::move(new_text)});
                else
                    ++difference.omitted_changes;
            }
    }

    std::set<std::string> new_expectations;
    for (const ExpectRow& row : after.file.expects) new_expectations.insert(row.name.text);
    for (const ExpectRow& row : before.file.expects) {
        if (!new_expectations.contains(row.name.text))
            difference.dropped_expectations.push_back(row.name.text);
        Problems problems(before.file.path);
        ExpectationChecker checker(after, problems);
        checker.check(row);
        for (const auto& problem : problems.sorted())
            difference.broken_expectations.push_back(config::text_of(problem));
    }
    return difference;
}

std::vector<RoutingRow> routing_rows(const RoutingContext& context) {
    std::map<std::int64_t, bool> destinations;
    for (const auto& row : context.file.destinations) destinations.emplace(row.number, true);
    for (const auto& [number, endpoints] : context.endpoints.by_destination())
        destinations.emplace(number, true);
    auto tenants = context.known.tenants;
    if (tenants.empty()) tenants.emplace_back();
    std::vector<RoutingRow> rows;
    for (const auto& [number, unused] : destinations) {
        std::vector<RoutingRow> of_destination;
        for (const std::string& message_class : context.known.classes) {
            std::vector<RoutingRow> of_class;
            for (const std::string& tenant : tenants) {
                const auto resolution = context.table.resolve(
                    {message_class, tenant, number}, context.endpoints.endpoints_of(number));
                RoutingRow row{context.table.destination_name(number), message_class, tenant,
                    resolution.refused, {}, resolution.rule};
                for (const std::string& id : resolution.endpoints)
                    row.endpoints.push_back(context.table.endpoint_name(id));
                of_class.push_back(std::move(row));
            }
            const auto same_routing = [](const RoutingRow& a, const RoutingRow& b) {
                return a.refused == b.refused && a.endpoints == b.endpoints && a.rule == b.rule;
            };
            if (std::all_of(of_class.begin(), of_class.end(),
                    [&](const RoutingRow& row) { return same_routing(row, of_class.front()); })) {
                of_class.resize(1);
                of_class.front().tenant = "*";
            }
            of_destination.insert(of_destination.end(), of_class.begin(), of_class.end());
        }
        const auto same_routing = [](const RoutingRow& a, const RoutingRow& b) {
            return a.tenant == "*" && b.tenant == "*" && a.refused == b.refused &&
                   a.endpoints == b.endpoints && a.rule == b.rule;
        };
        if (!of_destination.empty() &&
            std::all_of(of_destination.begin(), of_destination.end(),
                [&](const RoutingRow& row) { return same_routing(row, of_destination.front()); })) {
            of_destination.resize(1);
            of_destination.front().message_class = "*";
        }
        rows.insert(rows.end(), of_destination.begin(), of_destination.end());
    }
    return rows;
}

}  // namespace lockgw::routes
