#include "lab/ways.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <numeric>
#include <random>

#include "base/splitmix64.hpp"
#include "base/units.hpp"
#include "lab/schedule.hpp"
#include "subsetting/subset_planner.hpp"

namespace lockgw::lab {

using namespace cometspoke;

namespace {

constexpr DestinationId kDestination = 7;
constexpr double kNewConnection = 0.7;  // as the module has it

std::string id_of(std::size_t target) { return "t-" + std::to_string(target); }

Settings module_settings(const WaysSettings& all, std::size_t number) {
    Settings settings;
    ClassSettings kind;
    kind.aim = Time(1'500'000), kind.deadline = Time(5'000'000), kind.late_worth = 0.5;
    settings.classes = {kind};
    settings.kinds.resize(1);
    settings.n_instances = all.forwarders;
    settings.own_number = number;
    settings.slots = 12, settings.most_held = 140, settings.max_attempts = 12;
    settings.conn_idle = from_seconds(all.idle_s);
    settings.fall = Time(2'000'000), settings.warm_within = Time(11'000'000);
    settings.fall_multiple = 2.5, settings.cold_from = 0.16;
    return settings;
}

struct Side {                  // of one forwarder at one target
    std::vector<double> idle;  // when each connection closes
    int out = 0;
    double turns = 0;
};
struct One {
    std::vector<std::size_t> list;  // targets, as its own list has them
    std::map<std::size_t, Side> sides;
    std::size_t next = 0;
    bool gone = false;
    std::optional<Sender> module;
    std::optional<subsetting::SubsetPlanner> planner;
    std::map<MessageId, double> came;
    double timer = -1;
};

class World {
public:
    World(Way way, const WaysSettings& settings) : way_(way), is_(settings), random_(settings.seed) {
        const auto seconds = static_cast<std::size_t>(std::ceil(is_.seconds));
        load_.assign(is_.targets, std::vector<int>(seconds));
        calls_.assign(is_.targets, 0), free_at_.assign(is_.targets, 0);
        all_.resize(is_.forwarders);
        for (std::size_t i = 0; i < is_.forwarders; ++i) {
            make(i);
            next_message(i, 0);
        }
    }

    WaysCount run() {
        schedule_.run(std::numeric_limits<double>::infinity());
        WaysCount count;
        const auto from = static_cast<std::size_t>(is_.warm_s);
        count.messages = messages_, count.connections = connections_, count.trace = trace_;
        count.load = evenness(load_, from);
        double all = 0;
        std::vector<double> sums;
        for (const auto& one : load_) {
            sums.push_back(std::accumulate(one.begin() + static_cast<long>(from), one.end(), 0.0));
            all += sums.back(), count.nobodys += sums.back() == 0;
        }
        if (is_.slow && all > 0) count.slow_share = sums[*is_.slow] * static_cast<double>(is_.targets) / all;
        std::sort(spans_.begin(), spans_.end());
        if (!spans_.empty()) count.p99_s = spans_[spans_.size() * 99 / 100];
        return count;
    }

private:
    void make(std::size_t i) {
        One& one = all_[i];
        one.list.resize(is_.targets);
        std::iota(one.list.begin(), one.list.end(), 0);
        if (is_.lacking > 0) {
            std::shuffle(one.list.begin(), one.list.end(), random_);
            const auto kept =
                static_cast<std::size_t>(std::ceil((1 - is_.lacking) * static_cast<double>(is_.targets)));
            one.list.resize(std::max<std::size_t>(1, kept));
            std::sort(one.list.begin(), one.list.end());
        }
        one.gone = chance(is_.gone);
        one.next = random_() % one.list.size();
        if (way_ != Way::Module) return;
        const std::size_t number = chance(is_.claimed) && i > 0 ? i - 1 : i;
        const Settings settings = module_settings(is_, number);
        one.module.emplace(settings, is_.seed * 1000 + i);
        one.planner.emplace(
            subsetting::SubsetParameters{subsetting::evenly_spaced_position(number, is_.forwarders),
                is_.forwarders, settings.conn_idle, settings.warm_within, settings.cold_from});
        ListEvent list;
        for (const std::size_t target : one.list) {
            list.entries.push_back({static_cast<EndpointId>(target + 1), kDestination});
            one.planner->put(id_of(target), kDestination, 1, true);
        }
        one.module->observe(list, time());
        decide(i);
    }
    bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }
    Time time() const { return Time(1'000'000'000) + from_seconds(schedule_.now()); }
    void at(double when, std::function<void()> step) { schedule_.at(when, std::move(step)); }

    void next_message(std::size_t i, double from) {
        const double rate = is_.rate * (i % 10 == 0 ? is_.heavy : 1.0);
        const double when = from + std::exponential_distribution<>(rate)(random_);
        if (when >= is_.seconds || (all_[i].gone && when >= is_.warm_s)) return;
        at(when, [this, i, when] {
            ++messages_;
            come(i);
            next_message(i, when);
        });
    }
    void come(std::size_t i) {
        One& one = all_[i];
        if (way_ != Way::Module) return call(i, choose(i), schedule_.now(), 0);
        const MessageId id = ++ids_;
        one.came[id] = schedule_.now();
        one.planner->record_message(kDestination, time());
        one.module->observe(MessageEvent{id, kDestination, 0, {}, {}, Time(5'000'000)}, time());
        decide(i);
    }
    void decide(std::size_t i) {
        One& one = all_[i];
        for (const auto& change : one.planner->take_changes(time())) {
            SpreadEvent event;
            event.destination = change.destination;
            for (const subsetting::SubsetTarget& part : change.targets)
                event.parts.push_back(
                    {static_cast<EndpointId>(std::stoul(part.id.substr(2)) + 1), part.weight, part.sharers});
            one.module->observe(event, time());
        }
        for (const Action& action : one.module->decide(time())) {
            if (const auto* send = std::get_if<Send>(&action)) {
                call(i, send->endpoint - 1, one.came.at(send->message), send->message);
            } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
                const double when = one.timer = schedule_.now() + cometspoke::seconds(timer->delay);
                if (when >= is_.seconds + 10) continue;
                at(when, [this, i, when] {
                    if (all_[i].timer != when) return;
                    all_[i].module->observe(TimerFired{}, time());
                    decide(i);
                });
            } else if (const auto* close = std::get_if<CloseIdle>(&action)) {
                auto& idle = one.sides[close->endpoint - 1].idle;
                if (!idle.empty()) idle.pop_back();
            }
        }
    }

    std::size_t choose(std::size_t i) {
        One& one = all_[i];
        const auto any = [&] { return one.list[random_() % one.list.size()]; };
        const auto best = [&](auto cost) {
            return *std::min_element(one.list.begin(), one.list.end(),
                [&](std::size_t a, std::size_t b) { return cost(a) < cost(b); });
        };
        const auto order = [&](std::size_t target) {
            return splitmix64(splitmix64(i + 1) ^ splitmix64(target + 1));
        };
        const auto busy = [&](std::size_t target) {
            Side& side = one.sides[target];
            std::erase_if(side.idle, [this](double until) { return until <= schedule_.now(); });
            return side.out + (side.idle.empty() ? kNewConnection : 0.0);
        };
        switch (way_) {
            case Way::First:
                return best([&](std::size_t t) { return std::pair(busy(t), t); });
            case Way::OwnOrder:
                return best([&](std::size_t t) { return std::pair(busy(t), order(t)); });
            case Way::TwoChoices: {
                const std::size_t a = any(), b = any();
                return one.sides[b].out < one.sides[a].out ? b : a;
            }
            case Way::RoundRobin:
                return one.list[one.next++ % one.list.size()];
            case Way::Rendezvous:
                return best(order);
            case Way::Subset:
                return subset(i);
            case Way::Central:
                return best([&](std::size_t t) { return calls_[t]; });
            default:
                return any();
        }
    }
    /// Each round of forwarders shuffles all targets alike and cuts them into subsets, one for each of the
    /// round: of about three, as the arcs are at this traffic.
    std::size_t subset(std::size_t i) {
        One& one = all_[i];
        const std::size_t size = std::min<std::size_t>(3, one.list.size());
        const std::size_t subsets = one.list.size() / size;
        std::vector<std::size_t> shuffled = one.list;
        std::mt19937_64 round(i / subsets);
        std::shuffle(shuffled.begin(), shuffled.end(), round);
        return shuffled[(i % subsets) * size + one.next++ % size];
    }

    void call(std::size_t i, std::size_t target, double came, MessageId message) {
        One& one = all_[i];
        Side& side = one.sides[target];
        std::erase_if(side.idle, [this](double until) { return until <= schedule_.now(); });
        if (side.idle.empty())
            ++connections_;
        else
            side.idle.pop_back();
        ++side.out, ++calls_[target];
        trace_ =
            splitmix64(trace_ ^ splitmix64(target + 1) ^ static_cast<std::uint64_t>(schedule_.now() * 1e6));
        if (const auto second = static_cast<std::size_t>(schedule_.now()); second < load_[target].size())
            ++load_[target][second];
        const double takes = is_.service_s * (is_.slow == target ? is_.slow_times : 1.0);
        const double begins =
            is_.one_at_a_time ? std::max(schedule_.now(), free_at_[target]) : schedule_.now();
        free_at_[target] = begins + takes;
        const double sent = schedule_.now();
        at(begins + takes, [this, i, target, came, message, sent] {
            One& from = all_[i];
            Side& back = from.sides[target];
            --back.out;
            back.idle.push_back(schedule_.now() + is_.idle_s);
            if (came >= is_.warm_s) spans_.push_back(schedule_.now() - came);
            if (way_ != Way::Module) return;
            const Time took = from_seconds(schedule_.now() - sent);
            from.planner->record_answer(id_of(target), took, time());
            OutcomeEvent event;
            event.message = message, event.endpoint = static_cast<EndpointId>(target + 1);
            event.terminal = true, event.rtt = took;
            from.module->observe(event, time());
            decide(i);
        });
    }

    Way way_;
    WaysSettings is_;
    std::mt19937_64 random_;
    std::vector<One> all_;
    std::vector<std::vector<int>> load_;
    std::vector<std::uint64_t> calls_;
    std::vector<double> free_at_, spans_;
    Schedule<double> schedule_;
    std::uint64_t ids_ = 0, trace_ = 0;
    std::size_t messages_ = 0, connections_ = 0;
};

}  // namespace

const char* text_of(Way way) {
    switch (way) {
        case Way::First:
            return "first of the list";
        case Way::OwnOrder:
            return "own order";
        case Way::Chance:
            return "chance";
        case Way::TwoChoices:
            return "two choices";
        case Way::RoundRobin:
            return "round robin";
        case Way::Rendezvous:
            return "rendezvous";
        case Way::Subset:
            return "subsets";
        case Way::Module:
            return "arcs (module)";
        case Way::Central:
            return "one centre";
    }
    return "?";
}

WaysCount play(Way way, const WaysSettings& settings) { return World(way, settings).run(); }

}  // namespace lockgw::lab
