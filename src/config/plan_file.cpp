#include "config/plan_file.hpp"

#include <algorithm>
#include <charconv>
#include <map>

#include "config/toml_reader.hpp"
#include "subsetting/hash_ring.hpp"

namespace lockgw::config {
namespace {

constexpr std::int64_t kDay = 24 * 60;

/// "0-9" or "3".
std::optional<std::pair<std::size_t, std::size_t>> range_of(const std::string& text) {
    const char *at = text.data(), *end = at + text.size();
    std::size_t first = 0, last = 0;
    auto read = std::from_chars(at, end, first);
    if (read.ec != std::errc()) return std::nullopt;
    if (read.ptr == end) return std::pair(first, first);
    if (*read.ptr != '-') return std::nullopt;
    read = std::from_chars(read.ptr + 1, end, last);
    if (read.ec != std::errc() || read.ptr != end || last < first || last >= work::kHost) return std::nullopt;
    return std::pair(first, last);
}
/// "22:00" in minutes.
std::optional<std::uint16_t> minute_of(const std::string& text) {
    if (text.size() != 5 || text[2] != ':') return std::nullopt;
    for (const int at : {0, 1, 3, 4})
        if (text[static_cast<std::size_t>(at)] < '0' || text[static_cast<std::size_t>(at)] > '9')
            return std::nullopt;
    const int minute = ((text[0] - '0') * 10 + text[1] - '0') * 60 + (text[3] - '0') * 10 + text[4] - '0';
    if (minute >= kDay || text[3] > '5') return std::nullopt;
    return static_cast<std::uint16_t>(minute);
}

class PlanReader {
public:
    PlanReader(const toml::table& table, const PlanScene& scene, Problems& problems)
        : root_(table, "the plan", problems), scene_(scene), problems_(problems) {}

    work::Plan read() {
        plan_.name = root_.needed_word("name").text;
        plan_.why = root_.text("why", "");
        if (const auto task = root_.one_of("task", {"restart", "hook", "word"}))
            plan_.task = task->text == "restart" ? work::Task::Restart
                         : task->text == "hook"  ? work::Task::Hook
                                                 : work::Task::Word;
        if (const auto overdue = root_.one_of("overdue", {"out", "back"}))
            plan_.overdue = overdue->text == "back" ? work::Overdue::Back : work::Overdue::Out;
        number("most_out", 1, work::kMostOut, plan_.most_out);
        number("most_in_zone", 0, work::kMostOut, plan_.most_in_zone);
        number("most_in_destination", 1, work::kMostOut, plan_.most_in_destination);
        number("least_in", 0, 4096, plan_.least_in);
        if (const auto left = root_.number("least_left", 0, 1))
            plan_.least_left = static_cast<std::uint8_t>(*left * 100 + 0.5);
        if (const auto each = root_.number("each_s", 1, 86'400))
            plan_.each = work::Time(static_cast<work::Time::rep>(*each * 1e6));
        hours();
        if (const auto forwarders = root_.words("forwarders")) add_forwarders(*forwarders, 0);
        root_.tables("zone", [this](TableReader& table) { zone(table); });
        root_.tables("host", [this](TableReader& table) { host(table); });
        const Place place = root_.place();
        root_.finish();
        if (problems_.empty()) {
            const std::size_t members = scene_.members > 0 ? scene_.members : work::kHost;
            if (const std::string wrong = work::nonsense_of(plan_, members); !wrong.empty())
                problems_.add(place, "plan", wrong);
        }
        if (problems_.empty()) check_destinations();
        return std::move(plan_);
    }

private:
    template <class T>
    void number(const char* key, std::int64_t least, std::int64_t most, T& to) {
        if (const auto found = root_.integer(key, least, most)) to = static_cast<T>(*found);
    }
    void hours() {
        const auto found = root_.word("hours");
        if (!found) return;
        const auto dash = found->text.find('-');
        const auto from = minute_of(found->text.substr(0, std::min(dash, found->text.size())));
        const auto to = dash == std::string::npos ? std::nullopt : minute_of(found->text.substr(dash + 1));
        if (!from || !to || *from == *to)
            return problems_.add(found->place, "out-of-range", "hours; write \"22:00-06:00\", UTC");
        plan_.from = *from, plan_.to = *to;
    }
    void add_forwarders(const std::vector<Word>& words, std::uint8_t zone) {
        for (const Word& word : words) {
            const auto range = range_of(word.text);
            if (!range) {
                problems_.add(
                    word.place, "out-of-range", "forwarders \"" + word.text + "\"; write \"0-9\" or \"3\"");
                continue;
            }
            if (range->second - range->first >= work::kMostMachines) {
                problems_.add(word.place, "out-of-range", "more than 320 machines");
                continue;
            }
            for (std::size_t i = range->first; i <= range->second; ++i)
                plan_.machines.push_back({static_cast<work::Machine>(i), "", zone, {}, {}});
        }
    }
    std::uint8_t zone_named(const std::string& name, Place place) {
        const auto at = std::find(plan_.zones.begin(), plan_.zones.end(), name);
        if (at != plan_.zones.end()) return static_cast<std::uint8_t>(at - plan_.zones.begin() + 1);
        if (plan_.zones.size() >= work::kMostZones)
            return problems_.add(place, "too-many", "over 64 zones"), 0;
        plan_.zones.push_back(name);
        return static_cast<std::uint8_t>(plan_.zones.size());
    }
    void zone(TableReader& table) {
        const std::uint8_t at = zone_named(table.needed_word("name").text, table.place());
        if (const auto forwarders = table.words("forwarders")) add_forwarders(*forwarders, at);
    }
    void host(TableReader& table) {
        work::Place one;
        const Word name = table.needed_word("name");
        one.name = name.text;
        one.machine = work::host_of(one.name);
        if (one.name.size() > work::kMostName)
            table.problem(name.place, "bad-name", "a host's name has 64 bytes at most");
        if (const auto zone = table.word("zone")) one.zone = zone_named(zone->text, zone->place);
        for (const Word& target : table.words("targets").value_or(std::vector<Word>{})) {
            const std::uint64_t known = subsetting::gossip_id(target.text);
            const auto [found, fresh] = host_of_.emplace(known, one.name);
            if (!fresh)
                table.problem(target.place, "contradiction",
                    "target \"" + target.text + "\" runs on host \"" + found->second + "\" already");
            one.targets.push_back(known);
            bool listed = false;
            for (const PlanScene::Target& is : scene_.targets) {
                if (is.id != target.text) continue;
                listed = true;
                if (std::find(one.destinations.begin(), one.destinations.end(), is.destination) ==
                    one.destinations.end())
                    one.destinations.push_back(is.destination);
            }
            if (!listed && scene_.whole)
                table.problem(
                    target.place, "unknown-target", "no destination has a target \"" + target.text + '"');
        }
        places_[one.machine] = table.place();
        plan_.machines.push_back(std::move(one));
    }
    /// The largest part of a destination that may be out by this plan at one moment, hosts by their sizes.
    void check_destinations() {
        std::map<std::int64_t, double> whole;
        for (const PlanScene::Target& one : scene_.targets) whole[one.destination] += one.size;
        for (const auto& [destination, size] : whole) {
            const std::string name =
                scene_.name_of ? scene_.name_of(destination) : std::to_string(destination);
            for (const work::Place& host : plan_.machines) {
                double gone = 0;
                for (const PlanScene::Target& one : scene_.targets)
                    if (one.destination == destination &&
                        std::find(host.targets.begin(), host.targets.end(), subsetting::gossip_id(one.id)) !=
                            host.targets.end())
                        gone += one.size;
                if (gone <= 0) continue;
                if (gone >= size * (1 - 1e-9))
                    problems_.add(places_.at(host.machine), "plan",
                        "host \"" + host.name + "\" runs all targets of " + name + ": it would be empty");
                else if (100 * (size - gone) < plan_.least_left * size * (1 - 1e-9))
                    problems_.add(places_.at(host.machine), "plan",
                        "it can never run: without host \"" + host.name + "\" " +
                            std::to_string(static_cast<int>(100 * (size - gone) / size)) + " % of " + name +
                            " stay, and least_left asks for " + std::to_string(plan_.least_left) + " %");
            }
        }
    }

    TableReader root_;
    const PlanScene& scene_;
    Problems& problems_;
    work::Plan plan_;
    std::map<std::uint64_t, std::string> host_of_;  // by target
    std::map<work::Machine, Place> places_;
};

}  // namespace

std::optional<work::Plan> read_plan(const std::string& text, const PlanScene& scene, Problems& problems) {
    const auto table = parse_toml(text, problems);
    if (!table) return std::nullopt;
    work::Plan plan = PlanReader(*table, scene, problems).read();
    if (!problems.empty()) return std::nullopt;
    return plan;
}

std::string contradiction(const work::Plan& a, const work::Plan& b) {
    for (const work::Place& one : a.machines)
        if (b.index_of(one.machine))
            return "plans \"" + a.name + "\" and \"" + b.name + "\" both name " +
                   (work::is_host(one.machine) ? "host \"" + one.name + '"'
                                               : "forwarder " + std::to_string(one.machine));
    return {};
}

}  // namespace lockgw::config
