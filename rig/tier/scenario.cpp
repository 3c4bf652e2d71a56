#include "rig/tier/scenario.hpp"

#include <array>
#include <charconv>

#include "config/toml_reader.hpp"

namespace lockgw::rig::tier {
namespace {

using What = Fault::What;
constexpr std::size_t kMostForwarders = 300, kMostTargets = 1000;

struct Known {
    const char* name;
    What what;
    bool forwarders;
    double most;  // of its value; 0: it has none
    bool may_lack = false, directed = false;
};
constexpr std::array kFaults{Known{"kill", What::Kill, true, 0}, Known{"forget", What::Forget, true, 0},
    Known{"old", What::Old, true, 3600}, Known{"stop", What::Stop, true, 0},
    Known{"lose-notes", What::Notes, true, 1}, Known{"late-notes", What::Late, true, 60},
    Known{"spoil-notes", What::Spoil, true, 1}, Known{"double-notes", What::Double, true, 1},
    Known{"cut", What::Cut, true, 100, true, true},
    Known{"note-link", What::Pair, true, kMostForwarders, false, true},
    Known{"slow", What::Slow, false, 1000}, Known{"errors", What::Errors, false, 0},
    Known{"hang", What::Hang, false, 0}, Known{"refuse", What::Refuse, false, 0},
    Known{"die", What::Die, false, 0}, Known{"limit", What::Limit, false, 1000},
    Known{"leave", What::Leave, false, 0}, Known{"link", What::Link, true, kMostTargets, false, true},
    Known{"client-link", What::Clients, true, 0, false, true}, Known{"discovery", What::Discovery, true, 0}};

/// "3" or "3-9".
std::optional<Range> range_of(const std::string& text) {
    Range range;
    const char* end = text.data() + text.size();
    auto got = std::from_chars(text.data(), end, range.first);
    if (got.ec != std::errc()) return std::nullopt;
    range.last = range.first;
    if (got.ptr != end) {
        if (*got.ptr != '-') return std::nullopt;
        got = std::from_chars(got.ptr + 1, end, range.last);
        if (got.ec != std::errc() || got.ptr != end) return std::nullopt;
    }
    return range.last < range.first ? std::nullopt : std::optional(range);
}

std::size_t count(config::TableReader& table, const char* key, std::size_t fallback, std::int64_t most) {
    return static_cast<std::size_t>(
        table.integer(key, 0, most).value_or(static_cast<std::int64_t>(fallback)));
}

void read_fault(config::TableReader& row, Scenario& all) {
    Fault fault;
    std::vector<std::string> names;
    for (const Known& one : kFaults) names.emplace_back(one.name);
    const auto what = row.one_of("what", names);
    const config::Word who = row.needed_word("who");
    fault.at_s = row.number("at_s", 0, 3600).value_or(0);
    fault.for_s = row.number("for_s", 0, 3600).value_or(0);
    const auto value = row.number("value", 0, 1000);
    const auto direction = row.one_of("direction", {"both", "out", "back"});
    row.finish();
    if (!what) return row.problem(row.place(), "missing-key", "[[fault]]: there is no `what`");
    const Known& known = *std::find_if(
        kFaults.begin(), kFaults.end(), [&](const Known& one) { return what->text == one.name; });
    const auto range = range_of(who.text);
    const std::size_t most = known.forwarders ? all.forwarders : all.targets;
    if (!range || range->last >= most)
        return row.problem(who.place, "range",
            "who is a number or two with a hyphen, below the number of " +
                std::string(known.forwarders ? "forwarders" : "targets"));
    const bool wanted = known.most > 0;
    const bool there = value.has_value() || (wanted && known.may_lack);
    if (wanted != there || (value && *value > known.most))
        return row.problem(what->place, "range",
            wanted ? "\"" + what->text + "\" wants a value, at most " + std::to_string(known.most)
                   : "\"" + what->text + "\" takes no value");
    if (direction && !known.directed)
        return row.problem(direction->place, "range", "\"" + what->text + "\" has no direction");
    const auto number = static_cast<std::size_t>(value.value_or(0));
    if ((known.what == What::Link && number >= all.targets) ||
        (known.what == What::Pair && number >= all.forwarders))
        return row.problem(what->place, "range", "value is a number of those that there are");
    if (direction && direction->text != "both")
        fault.direction = direction->text == "out" ? Fault::Direction::Out : Fault::Direction::Back;
    fault.what = known.what, fault.who = *range, fault.value = value.value_or(known.may_lack ? 1 : 0);
    all.faults.push_back(fault);
}

}  // namespace

Scenario read_scenario(const std::string& text, config::Problems& problems) {
    Scenario all;
    const auto parsed = config::parse_toml(text, problems);
    if (!parsed) return all;
    config::TableReader table(*parsed, "the scenario", problems);
    all.name = table.text("name", all.name);
    all.seed = static_cast<std::uint64_t>(table.integer("seed", 0, INT64_MAX).value_or(1));
    all.seconds = table.number("seconds", 1, 3600).value_or(all.seconds);
    all.warm_s = table.number("warm_s", 0, 3600).value_or(all.warm_s);
    all.forwarders = count(table, "forwarders", all.forwarders, kMostForwarders);
    all.targets = count(table, "targets", all.targets, kMostTargets);
    all.rate = table.number("rate", 0.01, 10'000).value_or(all.rate);
    all.heavy = table.number("heavy", 1, 1000).value_or(all.heavy);
    all.service_ms = table.number("service_ms", 0, 60'000).value_or(all.service_ms);
    all.at_once = count(table, "at_once", all.at_once, 100'000);
    all.queue = count(table, "queue", all.queue, 100'000);
    all.connections = count(table, "connections", all.connections, 100'000);
    all.idle_s = table.number("idle_s", 0, 3600).value_or(all.idle_s);
    all.cold_s = table.number("cold_s", 0, 3600).value_or(all.cold_s);
    all.cold_times = table.number("cold_times", 1, 1000).value_or(all.cold_times);
    all.limit = table.number("limit", 0, 1e6).value_or(all.limit);
    all.apart = table.boolean("apart").value_or(all.apart);
    all.refused_count = table.boolean("refused_count").value_or(all.refused_count);
    all.notes = table.boolean("notes").value_or(all.notes);
    all.watch = table.boolean("watch").value_or(all.watch);
    all.discovery = table.boolean("discovery").value_or(all.discovery);
    all.numbered = table.boolean("numbered").value_or(all.numbered);
    if (all.forwarders == 0 || all.targets == 0)
        table.problem(table.place(), "range", "there is at least one forwarder and one target");
    if (all.warm_s >= all.seconds) table.problem(table.place(), "range", "warm_s is below seconds");
    table.table("work", [&all](config::TableReader& row) {
        Scenario::Work& work = all.work;
        work.most_out = count(row, "most_out", 1, 12);
        work.at_s = row.number("at_s", 0, 3600).value_or(work.at_s);
        work.each_s = row.number("each_s", 1, 3600).value_or(work.each_s);
        work.down_s = row.number("down_s", 0, 3600).value_or(work.down_s);
        work.back = row.boolean("back").value_or(false);
        work.unguarded = row.boolean("unguarded").value_or(false);
        if (!work.unguarded && !all.watch)
            row.problem(row.place(), "range", "[work] wants watch = true, or unguarded = true");
        row.finish();
    });
    table.tables("fault", [&all](config::TableReader& row) { read_fault(row, all); });
    table.finish();
    return all;
}

}  // namespace lockgw::rig::tier
