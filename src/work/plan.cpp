#include "work/plan.hpp"

#include <algorithm>
#include <set>

#include "base/splitmix64.hpp"
#include "work/bytes.hpp"

namespace lockgw::work {
namespace {

constexpr std::uint8_t kVersion = 1;
constexpr unsigned kDay = 24 * 60;

std::uint64_t hash_of(std::string_view bytes) {
    std::uint64_t all = 0x9e3779b97f4a7c15 ^ bytes.size();
    for (const char one : bytes) all = splitmix64(all ^ static_cast<unsigned char>(one));
    return all;
}

}  // namespace

const char* text_of(Task task) {
    switch (task) {
        case Task::Restart:
            return "restart";
        case Task::Hook:
            return "hook";
        case Task::Word:
            return "word";
    }
    return "?";
}
const char* text_of(Overdue overdue) { return overdue == Overdue::Back ? "back" : "out"; }

Machine host_of(std::string_view name) {
    const auto hash = static_cast<Machine>(kHost | (hash_of(name) & 0x7fff));
    return hash == kNobody ? kHost : hash;
}

std::optional<std::size_t> Plan::index_of(Machine machine) const {
    const auto at = std::find_if(
        machines.begin(), machines.end(), [machine](const Place& one) { return one.machine == machine; });
    if (at == machines.end()) return std::nullopt;
    return static_cast<std::size_t>(at - machines.begin());
}
std::uint8_t Plan::zone_of(Machine machine) const {
    const auto at = index_of(machine);
    return at ? machines[*at].zone : 0;
}
bool Plan::in_hours(unsigned minute) const {
    if (from == to) return true;
    return from < to ? minute >= from && minute < to : minute >= from || minute < to;
}

std::string nonsense_of(const Plan& plan, std::size_t members) {
    if (plan.name.empty() || plan.name.size() > kMostName) return "a plan's name has 1 to 64 bytes";
    if (plan.why.size() > 255) return "why has 255 bytes at most";
    if (plan.machines.empty()) return "a plan without machines";
    if (plan.machines.size() > kMostMachines) return "more than 320 machines";
    if (plan.most_out < 1 || plan.most_out > kMostOut) return "most_out is 1 to 12";
    if (plan.each < Time(1'000'000) || plan.each > Time(86'400'000'000)) return "each_s is 1 to 86400";
    if (plan.from >= kDay || plan.to >= kDay) return "hours lie within a day";
    if (plan.least_left > 100) return "least_left is a part of the whole";
    std::set<Machine> seen;
    std::size_t forwarders = 0;
    for (const Place& one : plan.machines) {
        if (!seen.insert(one.machine).second)
            return is_host(one.machine) ? "two hosts whose names cannot be told apart: " + one.name
                                        : "forwarder " + std::to_string(one.machine) + " stands twice";
        if (one.zone > plan.zones.size()) return "a zone that the plan does not name";
        if (is_host(one.machine)) {
            if (one.targets.empty()) return "host " + one.name + " without targets";
            if (one.targets.size() > kMostTargets) return "host " + one.name + " with over 32 targets";
            continue;
        }
        ++forwarders;
        if (one.machine >= members)
            return "forwarder " + std::to_string(one.machine) + " of a tier of " + std::to_string(members);
    }
    if (plan.least_in > members) return "least_in is more than the tier has";
    if (forwarders > 0 && plan.least_in >= members) return "it can never run: least_in leaves nobody to go";
    if (plan.task == Task::Restart && forwarders < plan.machines.size())
        return "a host's targets cannot be restarted from here: its task is hook or word";
    return {};
}

std::string bytes_of(const Plan& plan) {
    std::string out;
    put(out, kVersion);
    put_text(out, plan.name), put_text(out, plan.why);
    put(out, static_cast<std::uint8_t>(plan.task)), put(out, static_cast<std::uint8_t>(plan.overdue));
    put(out, plan.most_out), put(out, plan.most_in_zone), put(out, plan.most_in_destination);
    put(out, plan.least_in), put(out, plan.least_left);
    put(out, static_cast<std::uint64_t>(plan.each.count())), put(out, plan.from), put(out, plan.to);
    put(out, static_cast<std::uint8_t>(plan.zones.size()));
    for (const std::string& zone : plan.zones) put_text(out, zone);
    // runs of forwarders of one zone are told as such
    std::vector<std::pair<std::size_t, std::size_t>> runs;  // first and count
    for (std::size_t i = 0; i < plan.machines.size(); ++i) {
        const Place& one = plan.machines[i];
        const bool goes_on = i > 0 && !is_host(one.machine) && !is_host(plan.machines[i - 1].machine) &&
                             one.machine == plan.machines[i - 1].machine + 1 &&
                             one.zone == plan.machines[i - 1].zone && runs.back().second < 0xffff;
        if (goes_on)
            ++runs.back().second;
        else
            runs.emplace_back(i, 1);
    }
    put(out, static_cast<std::uint16_t>(runs.size()));
    for (const auto& [first, count] : runs) {
        const Place& one = plan.machines[first];
        put(out, one.machine), put(out, one.zone), put(out, static_cast<std::uint16_t>(count));
        if (!is_host(one.machine)) continue;
        put_text(out, one.name);
        put(out, static_cast<std::uint8_t>(one.targets.size()));
        for (const std::uint64_t target : one.targets) put(out, target);
        put(out, static_cast<std::uint8_t>(one.destinations.size()));
        for (const std::int64_t destination : one.destinations) put(out, destination);
    }
    return out;
}

std::optional<Plan> plan_of(std::string_view bytes) {
    if (bytes.size() > kMostPlanBytes) return std::nullopt;
    Reader from(bytes);
    Plan plan;
    if (from.take<std::uint8_t>() != kVersion) return std::nullopt;
    plan.name = from.take_text(), plan.why = from.take_text();
    const auto task = from.take<std::uint8_t>(), overdue = from.take<std::uint8_t>();
    if (task > 2 || overdue > 1) return std::nullopt;
    plan.task = static_cast<Task>(task), plan.overdue = static_cast<Overdue>(overdue);
    plan.most_out = from.take<std::uint16_t>(), plan.most_in_zone = from.take<std::uint16_t>();
    plan.most_in_destination = from.take<std::uint16_t>();
    plan.least_in = from.take<std::uint16_t>(), plan.least_left = from.take<std::uint8_t>();
    plan.each = Time(static_cast<Time::rep>(from.take<std::uint64_t>() & 0x7fffffffffffffff));
    plan.from = from.take<std::uint16_t>(), plan.to = from.take<std::uint16_t>();
    for (int zones = from.take<std::uint8_t>(); zones > 0 && !from.fails(); --zones)
        plan.zones.push_back(from.take_text());
    for (int runs = from.take<std::uint16_t>(); runs > 0 && !from.fails(); --runs) {
        Place one;
        one.machine = from.take<Machine>(), one.zone = from.take<std::uint8_t>();
        const std::size_t count = from.take<std::uint16_t>();
        if (plan.machines.size() + count > kMostMachines || count == 0) return std::nullopt;
        if (is_host(one.machine)) {
            if (count != 1) return std::nullopt;
            one.name = from.take_text();
            for (int targets = from.take<std::uint8_t>(); targets > 0 && !from.fails(); --targets)
                one.targets.push_back(from.take<std::uint64_t>());
            for (int all = from.take<std::uint8_t>(); all > 0 && !from.fails(); --all)
                one.destinations.push_back(from.take<std::int64_t>());
            plan.machines.push_back(std::move(one));
            continue;
        }
        if (one.machine + count > kHost) return std::nullopt;
        for (std::size_t i = 0; i < count; ++i, ++one.machine) plan.machines.push_back(one);
    }
    if (!from.ended() || bytes_of(plan) != bytes) return std::nullopt;
    return plan;
}

std::uint64_t digest_of(std::string_view bytes) {
    const std::uint64_t hash = hash_of(bytes);
    return hash == 0 ? 1 : hash;
}

}  // namespace lockgw::work
