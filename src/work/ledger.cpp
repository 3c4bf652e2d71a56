#include "work/ledger.hpp"

#include <algorithm>
#include <map>
#include <set>

#include "base/splitmix64.hpp"
#include "work/bytes.hpp"

namespace lockgw::work {

using What = Change::What;

namespace {
constexpr unsigned kForced = 0x80;  // beside the phase
}

const char* text_of(Mode mode) {
    constexpr const char* kTexts[] = {"none", "proposed", "approved", "held", "finished", "cancelled"};
    return kTexts[static_cast<std::size_t>(mode)];
}
const char* text_of(Reason reason) {
    constexpr const char* kTexts[] = {"none", "operator", "broken", "overdue"};
    return kTexts[static_cast<std::size_t>(reason)];
}
const char* text_of(Out::Phase phase) {
    constexpr const char* kTexts[] = {"leaving", "free", "overdue", "broken"};
    return kTexts[static_cast<std::size_t>(phase)];
}
const char* text_of(Change::What what) {
    constexpr const char* kTexts[] = {"plan", "approve", "hold", "cancel", "take", "free", "renew", "done",
        "back", "broken", "expire", "force in", "force out"};
    return kTexts[static_cast<std::size_t>(what)];
}

const Out* State::out(Machine machine) const {
    const auto at =
        std::find_if(outs.begin(), outs.end(), [machine](const Out& one) { return one.machine == machine; });
    return at == outs.end() ? nullptr : &*at;
}
std::size_t State::done_count() const {
    return static_cast<std::size_t>(std::count(done.begin(), done.end(), true));
}

std::string bytes_of(const State& state) {
    std::string out;
    put(out, state.version), put(out, state.epoch), put(out, state.plan);
    put(out, static_cast<std::uint8_t>(state.mode)), put(out, static_cast<std::uint8_t>(state.reason));
    put(out, state.about), put(out, state.fence);
    put(out, static_cast<std::uint8_t>(state.outs.size()));
    for (const Out& one : state.outs) {
        put(out, one.machine), put(out, one.fence), put(out, one.term), put(out, one.steward);
        put(out, static_cast<std::uint8_t>(static_cast<unsigned>(one.phase) | (one.forced ? kForced : 0)));
    }
    put(out, static_cast<std::uint16_t>(state.done.size()));
    for (std::size_t i = 0; i < state.done.size(); i += 8) {
        std::uint8_t byte = 0;
        for (std::size_t j = i; j < std::min(i + 8, state.done.size()); ++j)
            byte = static_cast<std::uint8_t>(byte | (state.done[j] ? 1u << (j - i) : 0u));
        put(out, byte);
    }
    return out;
}

std::optional<State> state_of(std::string_view bytes) {
    Reader from(bytes);
    State state;
    state.version = from.take<std::uint32_t>(), state.epoch = from.take<std::uint32_t>();
    state.plan = from.take<std::uint64_t>();
    const auto mode = from.take<std::uint8_t>(), reason = from.take<std::uint8_t>();
    state.about = from.take<Machine>(), state.fence = from.take<std::uint32_t>();
    const std::size_t outs = from.take<std::uint8_t>();
    if (mode > 5 || reason > 3 || outs > kMostOut) return std::nullopt;
    state.mode = static_cast<Mode>(mode), state.reason = static_cast<Reason>(reason);
    for (std::size_t i = 0; i < outs; ++i) {
        Out one;
        one.machine = from.take<Machine>(), one.fence = from.take<std::uint32_t>();
        one.term = from.take<std::uint16_t>(), one.steward = from.take<Number>();
        const auto phase = from.take<std::uint8_t>();
        if ((phase & ~kForced) > 3) return std::nullopt;
        one.phase = static_cast<Out::Phase>(phase & ~kForced), one.forced = (phase & kForced) != 0;
        state.outs.push_back(one);
    }
    const std::size_t places = from.take<std::uint16_t>();
    if (places > kMostMachines) return std::nullopt;
    for (std::size_t i = 0; i < places; i += 8) {
        const auto byte = from.take<std::uint8_t>();
        for (std::size_t j = i; j < std::min(i + 8, places); ++j) state.done.push_back(byte >> (j - i) & 1);
    }
    if (!from.ended() || bytes_of(state) != bytes) return std::nullopt;
    return state;
}

namespace {

Applied no(std::string why) { return {std::nullopt, std::move(why)}; }

/// All that are out or lost, each once.
std::set<Machine> missing(const State& state, const Facts& facts) {
    std::set<Machine> all(facts.lost.begin(), facts.lost.end());
    for (const Out& one : state.outs) all.insert(one.machine);
    return all;
}

bool share_a_destination(const Place& a, const Place& b) {
    return std::any_of(a.destinations.begin(), a.destinations.end(), [&b](std::int64_t one) {
        return std::find(b.destinations.begin(), b.destinations.end(), one) != b.destinations.end();
    });
}

}  // namespace

std::string refused(const State& state, Machine machine, const Facts& facts) {
    if (state.mode != Mode::Approved) return std::string("the plan is ") + text_of(state.mode);
    if (facts.plan == nullptr) return "the plan is not known here yet";
    const Plan& plan = *facts.plan;
    const auto place = plan.index_of(machine);
    if (!place) return "the plan does not name it";
    if (state.is_done(*place)) return "it has been done";
    if (state.out(machine) != nullptr) return "it is out";
    if (!plan.in_hours(facts.minute)) return "not at this time of day";
    if (!facts.sure) return "too little is heard of the tier";
    auto others = missing(state, facts);
    others.erase(machine);
    if (others.size() + 1 > plan.most_out || state.outs.size() + 1 > kMostOut)
        return std::to_string(others.size()) + " are out or lost, " + std::to_string(plan.most_out) +
               " may be";
    const std::uint8_t zone = plan.machines[*place].zone;
    const auto in_zone = std::count_if(
        others.begin(), others.end(), [&](Machine one) { return zone != 0 && plan.zone_of(one) == zone; });
    if (plan.most_in_zone > 0 && in_zone + 1 > plan.most_in_zone)
        return "its zone has " + std::to_string(in_zone) + " out or lost";
    std::size_t forwarders_in = facts.members, in_destination = 0;
    for (const Machine one : others) {
        forwarders_in -= is_host(one) || one >= facts.members ? 0 : 1;
        const auto at = plan.index_of(one);
        in_destination += at && share_a_destination(plan.machines[*at], plan.machines[*place]);
    }
    if (is_host(machine)) {
        if (in_destination + 1 > plan.most_in_destination)
            return "another host of its destination is out or lost";
        if (const unsigned left = facts.left ? facts.left(machine) : 0; left < plan.least_left)
            return "of a destination " + std::to_string(left) + " percent would stay, " +
                   std::to_string(plan.least_left) + " must";
        return {};
    }
    if (forwarders_in < plan.least_in + 1u)
        return std::to_string(forwarders_in) + " forwarders are in, " + std::to_string(plan.least_in) +
               " must stay";
    const auto votes = [&](Machine one) {
        return std::find(facts.voters.begin(), facts.voters.end(), one) != facts.voters.end();
    };
    const auto voters_out = static_cast<std::size_t>(std::count_if(others.begin(), others.end(), votes));
    // of three, one may go; of one or two none may be missed, so the last one goes without a majority to come
    // back by, and knows it from its own disk
    if (facts.voters.size() > 2 && votes(machine) && 2 * (voters_out + 1) >= facts.voters.size())
        return "most of the voters would be out";
    return {};
}

namespace {

Applied begin_plan(State next, const Change& change) {
    if (!next.outs.empty())
        return no(
            std::to_string(next.outs.size()) + " are out by the plan before: hold it, and wait for them");
    if (next.mode == Mode::Approved) return no("a plan is in force: hold or cancel it first");
    if (change.places > kMostMachines) return no("too many machines");
    ++next.epoch;
    next.plan = change.plan, next.mode = Mode::Proposed;
    next.reason = Reason::None, next.about = kNobody;
    next.done.assign(change.places, false);
    return {std::move(next), {}};
}

Applied grant(State next, const Change& change, const Facts& facts, bool forced) {
    if (forced && (next.mode == Mode::None || facts.plan == nullptr)) return no("there is no plan");
    if (forced && next.out(change.machine) != nullptr) return no("it is out");
    if (forced && !facts.plan->index_of(change.machine)) return no("the plan does not name it");
    if (forced && next.outs.size() >= kMostOut) return no("12 are out, which is all that can be told");
    if (const std::string why = forced ? std::string() : refused(next, change.machine, facts); !why.empty())
        return no(why);
    Out out;
    out.forced = forced;
    out.machine = change.machine, out.fence = ++next.fence,
    out.steward = is_host(change.machine) ? facts.own : change.machine;
    next.outs.push_back(out);
    return {std::move(next), {}};
}

/// A machine is back.
void settle(State& next, std::vector<Out>::iterator at, const Facts& facts, bool done) {
    const Machine machine = at->machine;
    next.outs.erase(at);
    if (!done || facts.plan == nullptr) return;
    if (const auto place = facts.plan->index_of(machine); place && *place < next.done.size())
        next.done[*place] = true;
    if (next.done_count() == next.done.size() && next.mode != Mode::Cancelled && next.outs.empty())
        next.mode = Mode::Finished, next.reason = Reason::None, next.about = kNobody;
}

void hold(State& next, Reason reason, Machine about) {
    if (next.mode != Mode::Approved) return;
    next.mode = Mode::Held, next.reason = reason, next.about = about;
}

}  // namespace

Applied apply(const State& before, const Change& change, const Facts& facts) {
    State next = before;
    ++next.version;
    const auto mode_is = [&before](std::initializer_list<Mode> modes) {
        return std::find(modes.begin(), modes.end(), before.mode) != modes.end();
    };
    switch (change.what) {
        case What::Plan:
            return begin_plan(std::move(next), change);
        case What::Approve:
            if (!mode_is({Mode::Proposed, Mode::Held}))
                return no(std::string("it is ") + text_of(before.mode));
            next.mode = Mode::Approved, next.reason = Reason::None, next.about = kNobody;
            return {std::move(next), {}};
        case What::Hold:
            if (before.mode != Mode::Approved) return no(std::string("it is ") + text_of(before.mode));
            hold(next, Reason::Operator, kNobody);
            return {std::move(next), {}};
        case What::Cancel:
            if (!mode_is({Mode::Proposed, Mode::Approved, Mode::Held}))
                return no(std::string("it is ") + text_of(before.mode));
            next.mode = Mode::Cancelled, next.reason = Reason::Operator;
            return {std::move(next), {}};
        case What::Take:
        case What::Force:
            return grant(std::move(next), change, facts, change.what == What::Force);
        default:
            break;
    }
    // the rest is about one that is out
    const auto at = std::find_if(
        next.outs.begin(), next.outs.end(), [&](const Out& one) { return one.machine == change.machine; });
    if (at == next.outs.end()) return no("it is not out");
    if (change.what != What::Drop && at->fence != change.fence) return no("the grant is another one by now");
    switch (change.what) {
        case What::Free:
            if (at->phase != Out::Phase::Leaving) return no("it is free already");
            at->phase = Out::Phase::Free;
            break;
        case What::Renew:
            if (at->phase == Out::Phase::Overdue) return no("its time is over");
            ++at->term;
            if (is_host(at->machine)) at->steward = facts.own;  // the one before may be gone
            break;
        case What::Done:
            settle(next, at, facts, true);
            break;
        case What::Back:
            settle(next, at, facts, false);
            break;
        case What::Broken:
            at->phase = Out::Phase::Broken;
            hold(next, Reason::Broken, change.machine);
            break;
        case What::Expire:
            if (at->term != change.term) return no("it was renewed meanwhile");
            if (at->phase == Out::Phase::Overdue || at->phase == Out::Phase::Broken)
                return no("it waits for a person's word");
            if (facts.plan == nullptr) return no("the plan is not known here yet");
            if (facts.plan->overdue == Overdue::Back) {
                settle(next, at, facts, false);
            } else {
                at->phase = Out::Phase::Overdue;
                hold(next, Reason::Overdue, change.machine);
            }
            break;
        case What::Drop:
            settle(next, at, facts, false);
            break;
        default:
            return no("no such change");
    }
    return {std::move(next), {}};
}

std::vector<Machine> order_of(const Plan& plan, std::uint64_t digest) {
    std::map<std::uint8_t, std::vector<std::pair<std::uint64_t, Machine>>> zones;
    for (const Place& one : plan.machines)
        zones[one.zone].emplace_back(splitmix64(digest ^ splitmix64(one.machine)), one.machine);
    // each zone's machines spread over the whole: the i-th of n stands at (i + 1/2) / n
    std::vector<std::pair<double, Machine>> all;
    for (auto& [zone, machines] : zones) {
        std::sort(machines.begin(), machines.end());
        const double n = static_cast<double>(machines.size());
        for (std::size_t i = 0; i < machines.size(); ++i)
            all.emplace_back((static_cast<double>(i) + 0.5) / n, machines[i].second);
    }
    std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<Machine> order;
    for (const auto& [at, machine] : all) order.push_back(machine);
    return order;
}

}  // namespace lockgw::work
