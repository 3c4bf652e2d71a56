#include "config/settings.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <optional>
#include <utility>

namespace cometspoke::settings {

Time from_ms(double ms) { return Time(static_cast<Time::rep>(std::llround(ms * 1000.0))); }
double to_ms(Time time) { return static_cast<double>(time.count()) / 1000.0; }

const Json& need(const Json& object, const char* name) {
    const auto found = object.find(name);
    if (found == object.end() || found->is_null()) throw BadInput(std::string("missing field ") + name);
    return *found;
}
Time time_or(const Json& object, const char* name, Time fallback) {
    return from_ms(value_or(object, name, to_ms(fallback)));
}

MessageId id_of(const std::string& text) {
    if (text.size() != 16 || text.find_first_not_of("0123456789abcdef") != std::string::npos)
        throw BadInput("id is not 16 hex digits: " + text);
    return std::stoull(text, nullptr, 16);
}
std::string id_text(MessageId message) {
    static constexpr char digits[] = "0123456789abcdef";
    std::string text(16, '0');
    for (std::size_t i = 16; i-- > 0; message >>= 4) text[i] = digits[message & 15];
    return text;
}

std::set<std::string> names_in(const Index& index) {
    std::set<std::string> names;
    for (const auto& [name, place] : index) names.insert(name);
    return names;
}
std::size_t index_of(const Index& index, const std::string& name, const char* what) {
    const auto found = index.find(name);
    if (found == index.end()) throw BadInput(std::string("unknown ") + what + " " + name);
    return found->second;
}

namespace {

Index index_names(const Json& names) {
    Index index;
    for (const Json& entry : names) {
        const auto name = entry.is_string() ? entry.get<std::string>() : field<std::string>(entry, "name");
        if (!index.emplace(name, index.size()).second) throw BadInput("\"" + name + "\" stands there twice");
    }
    return index;
}
constexpr double kLongest_ms = 1e11;  // three years

Time positive_ms(const Json& object, const char* name) {
    const auto ms = field<double>(object, name);
    if (!(ms > 0 && ms <= kLongest_ms)) throw BadInput(std::string(name) + " is not a positive number");
    return from_ms(ms);
}
std::size_t count_of(const Json& object, const char* name) {
    const Json& value = need(object, name);
    if (!value.is_number()) throw BadInput(std::string(name) + " is not a number");
    const auto count = value.get<double>();
    if (!(count >= 0 && count < 1e15 && std::floor(count) == count))
        throw BadInput(std::string(name) + " is not a positive whole number");
    return static_cast<std::size_t>(count);
}
std::size_t positive_count(const Json& object, const char* name) {
    const std::size_t count = count_of(object, name);
    if (count == 0) throw BadInput(std::string(name) + " is not a positive whole number");
    return count;
}
DedupScope scope_of(const Json& fields) {
    const auto scope = value_or<std::string>(fields, "dedup_scope", "all");
    if (scope == "all") return DedupScope::All;
    if (scope == "zone") return DedupScope::Zone;
    // "cell" is a name of the simulator's page that is not used: held to the strictest group
    if (scope == "endpoint" || scope == "cell") return DedupScope::Endpoint;
    const auto name = value_or<std::string>(fields, "name", "");
    throw BadInput("classes[" + name + "].dedup_scope: unknown scope " + scope);
}
ClassSettings class_of(const Json& fields) {
    ClassSettings result;
    const auto effect = field<std::string>(fields, "effect");
    if (effect != "retryable" && effect != "dedup" && effect != "fragile")
        throw BadInput("unknown effect " + effect);
    result.effect = effect == "fragile" ? Effect::Fragile
                    : effect == "dedup" ? Effect::Dedup
                                        : Effect::Retryable;
    result.dedup_scope = scope_of(fields);
    result.window = time_or(fields, "window_ms", Time(0));
    result.aim = from_ms(field<double>(fields, "aim_ms"));
    result.deadline = positive_ms(fields, "hard_limit_ms");
    result.worth = value_or(fields, "worth", 1.0);
    result.late_worth = value_or(fields, "late_worth", 0.0);
    result.sequential = value_or(fields, "sequential", false);
    return result;
}

void read_limits(const Json& params, Settings& settings) {
    const Json& limits = need(params, "limits");
    settings.most_held = positive_count(limits, "most_held");
    settings.max_attempts = positive_count(limits, "max_attempts");
    settings.cancel = value_or(limits, "cancel", false);
    settings.notes = value_or(limits, "peers", false);
    settings.conn_idle = time_or(limits, "conn_idle_ms", Time(0));
    const Json& contract = need(params, "contract");
    settings.fall = time_or(contract, "fall_ms", Time(0));
    settings.warm_within = time_or(contract, "warm_within_ms", Time(0));
    settings.settle_after_doubt = time_or(contract, "settle_after_doubt_ms", Time(0));
    settings.fall_multiple = value_or(contract, "fall_multiple", settings.fall_multiple);
    settings.cold_from = value_or(contract, "cold_from", settings.cold_from);
}

void read_kinds(const Json& info, std::size_t count, Settings& settings) {
    const Json none = Json::array();
    const Json& apart = info.contains("routes_apart") ? info["routes_apart"] : none;
    const Json& per_call = info.contains("per_call") ? info["per_call"] : none;
    settings.kinds.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
        if (i < apart.size()) settings.kinds[i].routes_apart = apart[i].get<bool>();
        if (i < per_call.size()) settings.kinds[i].per_call = per_call[i].get<std::size_t>();
    }
}

}  // namespace

Names names_of(const Json& params) {
    return {index_names(need(params, "classes")), index_names(value_or(params, "tenants", Json::array())),
        index_names(value_or(params, "localities", Json::array())), index_names(need(params, "kinds"))};
}

Settings settings_of(const Json& params, const Names& names) {
    Settings settings;
    for (const Json& entry : need(params, "classes")) try {
            settings.classes.push_back(class_of(entry));
        } catch (const std::exception& bad) {
            throw BadInput("class \"" + value_or<std::string>(entry, "name", "?") + "\": " + bad.what());
        }
    for (const Json& entry : value_or(params, "tenants", Json::array()))
        settings.tenants.push_back({value_or(entry, "quota_per_s", 0.0)});
    const Json& info = need(params, "family_info");
    settings.slots = count_of(info, "slots");
    read_kinds(info, need(params, "kinds").size(), settings);
    settings.loses_worth = value_or<std::string>(info, "loses_worth", "linear") == "halving"
                               ? LateWorth::Halving
                               : LateWorth::Linear;
    read_limits(params, settings);
    settings.n_instances = count_of(params, "n_instances");
    settings.own_number = value_or<std::size_t>(params, "me", 0);
    settings.must_subscribe = value_or<std::string>(params, "discovery", "automatic") == "subscribe";
    settings.listed_rates = value_or<std::string>(params, "weights", "off") != "off";
    settings.floor_per_s = value_or(params, "floor_per_s", 0.0);
    settings.over_share_worth = value_or(params, "over_share_worth", 1.0);
    settings.zones = names.zones.size();
    if (const auto zone = names.zones.find(value_or<std::string>(params, "az", ""));
        zone != names.zones.end())
        settings.zone = zone->second;
    return settings;
}

namespace {

/// Where `fresh` stands among those in force: its own number, one of the same terms that is nobody's, or a
/// new one at the end.
template <class One>
std::size_t place_of(const One& fresh, std::vector<One>& all, std::vector<bool>& taken,
    const std::function<bool(std::size_t)>& in_use, std::optional<std::size_t> before) {
    taken.resize(all.size());
    if (before && all[*before] == fresh) return *before;
    for (std::size_t i = 0; i < all.size(); ++i)
        if (!taken[i] && all[i] == fresh) return i;
    for (std::size_t i = 0; i < all.size(); ++i)
        if (!taken[i] && !in_use(i)) return all[i] = fresh, i;
    all.push_back(fresh);
    taken.push_back(false);
    return all.size() - 1;
}

constexpr std::size_t kMostClasses = 1000, kMostNames = 1000;

Index joined(const Index& running, const Index& fresh, const char* what) {
    Index all = running;
    for (const auto& [name, place] : fresh) all.emplace(name, all.size());
    if (all.size() > kMostNames) throw BadInput(std::string("too many ") + what + " since the start");
    return all;
}

}  // namespace

InForce taken_over(const InForce& running, const InForce& fresh, const InUse& in_use) {
    InForce all{{}, fresh.settings, {}};
    // a name that stays with the same terms keeps its number; those first, so that no other takes it
    all.settings.classes = running.settings.classes;
    std::vector<bool> taken(all.settings.classes.size());
    for (const auto& [name, place] : fresh.names.classes)
        if (const auto before = running.names.classes.find(name);
            before != running.names.classes.end() &&
            running.settings.classes[before->second] == fresh.settings.classes[place])
            taken[before->second] = true;
    for (const auto& [name, place] : fresh.names.classes) {
        const auto before = running.names.classes.find(name);
        const auto number = place_of(fresh.settings.classes[place], all.settings.classes, taken, in_use,
            before == running.names.classes.end() ? std::nullopt : std::optional(before->second));
        taken[number] = true;
        all.names.classes.emplace(name, number);
    }
    if (all.settings.classes.size() > kMostClasses) throw BadInput("too many classes in use at once");
    const Index tenants = joined(running.numbered_tenants, fresh.names.tenants, "tenants");
    all.numbered_tenants = tenants;
    all.settings.tenants.assign(tenants.size(), {});
    for (const auto& [name, number] : tenants)
        if (const auto now = fresh.names.tenants.find(name); now != fresh.names.tenants.end()) {
            all.settings.tenants[number] = fresh.settings.tenants[now->second];
            all.names.tenants.emplace(name, number);
        } else {
            all.settings.tenants[number] = running.settings.tenants[number];
        }
    all.names.kinds = joined(running.names.kinds, fresh.names.kinds, "kinds");
    all.settings.kinds = running.settings.kinds;
    all.settings.kinds.resize(std::max(all.settings.kinds.size(), all.names.kinds.size()));
    for (const auto& [name, place] : fresh.names.kinds)
        all.settings.kinds[all.names.kinds.at(name)] = fresh.settings.kinds[place];
    all.names.zones = joined(running.names.zones, fresh.names.zones, "zones");
    all.settings.zones = all.names.zones.size();
    if (fresh.settings.zone)
        for (const auto& [name, place] : fresh.names.zones)
            if (place == *fresh.settings.zone) all.settings.zone = all.names.zones.at(name);
    return all;
}

}  // namespace cometspoke::settings
