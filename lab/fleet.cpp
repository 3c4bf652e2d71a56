#include "lab/fleet.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "lab/return_budget.hpp"
#include "lab/schedule.hpp"
#include "recovery/learning.hpp"

namespace lockgw::lab {

using namespace cometspoke;

namespace {

constexpr Time kWindow{3'000'000};  // in which partners drop the repeat of an order
constexpr Time kRetryAtOnce{2'000};
constexpr Time kNetwork{1'000}, kRefresh{500'000}, kLeastNote{1'100}, kMostNote{40'000};
constexpr Time kIdle{10'000'000}, kAgain{600'000}, kSlack{10'000};
constexpr int kTries = 3;                // of a client: the first and two after refusals
constexpr Time kSnapshotAge{1'000'000};  // of what a restarted sender believes, at most
constexpr Time kBacklogSpan{2'000'000};  // what a restarted sender held is handed to it within
constexpr Time kTakenUpBefore{100'000};  // its time is up, at the latest
constexpr double kAllowance_s = 1.0;     // of its limit that a partner lets come at once

double seconds(Time time) { return std::chrono::duration<double>(time).count(); }
Time after(double seconds) { return Time(static_cast<Time::rep>(seconds * 1e6)); }

Settings module_settings(const FleetSettings& fleet, std::size_t number) {
    Settings settings;
    ClassSettings order, status;
    order.effect = Effect::Dedup;
    order.window = kWindow, order.aim = Time(4'000'000), order.deadline = Time(12'000'000);
    order.late_worth = 0.5;
    status.aim = Time(1'500'000), status.deadline = Time(5'000'000), status.worth = 2.0;
    settings.classes = {order, status};
    settings.kinds.resize(1);
    settings.n_instances = fleet.senders;
    settings.own_number = number;
    settings.slots = 4;
    settings.most_held = 35;
    settings.max_attempts = 12;
    settings.cancel = true;
    settings.loses_worth = LateWorth::Halving;
    settings.conn_idle = kIdle;
    settings.fall = Time(2'000'000);
    settings.warm_within = Time(11'000'000);
    settings.fall_multiple = 2.5;
    settings.cold_from = 0.16;
    settings.notes = fleet.notes;
    return settings;
}

struct Partner {
    PartnerSettings is;
    double limit = 0.0, allowance = 0.0;
    Time filled{0}, told_at{-1'000'000'000};
    LoadReport told;
    std::optional<Time> returned{};  // the last time that it did, from an outage
    std::vector<Time> since{};       // calls that have come since

    void fill(Time now) {
        allowance =
            std::min(limit * kAllowance_s, allowance + limit * seconds(now - std::exchange(filled, now)));
    }
    /// Refused calls use the limit up.
    bool takes(Time now) {
        fill(now);
        const bool taken = allowance >= 1.0;
        allowance = taken ? allowance - 1.0 : 0.0;
        return taken;
    }
    LoadReport report(Time now) {
        if (now - told_at < kRefresh) return told;
        told_at = now;
        return told = {limit > 0 ? std::min(1.0, allowance / (limit * kAllowance_s)) : 0.0, limit};
    }
};

struct Job {  // a client's first try and what becomes of it
    std::size_t partner = 0, kind = 0;
    Time born{0};
    int tries = 0;
    bool over = false;
    std::optional<Time> took_effect{};  // last, but for repeats that the partner dropped
};
struct Held {
    std::size_t job = 0;
    std::uint32_t attempts = 0;
    bool ended = false;
    std::optional<Time> first_sent{};
};
struct OneSender {
    OneSender(Settings settings, std::uint64_t seed) : module(std::move(settings), seed) {}
    Sender module;
    std::map<MessageId, Held> held;
    std::map<std::size_t, std::vector<Time>> idle;  // by partner, when each connection closes
    std::map<std::size_t, Time> waits;              // by partner, told
    std::set<std::pair<MessageId, std::uint32_t>> cancelled;
    recovery::Snapshot learned{};  // the last that was written
    Time learned_at{0};
    std::size_t process = 0;  // how often it was restarted: answers for an earlier one find nobody
};

class World {
public:
    explicit World(const FleetSettings& settings) : settings_(settings), random_(settings.seed) {
        count_.partners.resize(settings.partners.size());
        for (const PartnerSettings& one : settings.partners) {
            names_.push_back(std::to_string(names_.size()));
            partners_.push_back(
                {one, one.limit, one.limit * kAllowance_s, Time(0), Time(-1'000'000'000), {}});
        }
        std::vector<double> parts;
        for (std::size_t i = 0; i < settings.senders; ++i) {
            senders_.emplace_back(module_settings(settings, i), settings.seed * 1000 + i);
            parts.push_back(std::pow(static_cast<double>(i + 1), -settings.uneven));
        }
        if (settings.uneven > 0)
            part_of_ = std::discrete_distribution<std::size_t>(parts.begin(), parts.end());
        for (std::size_t i = 0; i < settings.senders; ++i) tell_list(i);
        for (const Restart& restart : settings.restarts) plan_restart(restart);
        for (std::size_t p = 0; p < partners_.size(); ++p) {
            next_client(p);
            for (const Change& change : settings.partners[p].changes)
                at(change.at, [this, p, change] {
                    partners_[p].fill(schedule_.now());
                    if (partners_[p].limit <= 0 && change.limit > 0) {
                        partners_[p].returned = schedule_.now();
                        partners_[p].since.clear();
                    }
                    partners_[p].limit = change.limit;
                    partners_[p].allowance = std::min(partners_[p].allowance, change.limit * kAllowance_s);
                });
        }
    }
    FleetCount run() {
        const Time end = settings_.span + Time(15'000'000);  // all that was taken on ends within it
        schedule_.run(end);
        for (const OneSender& sender : senders_)
            for (const auto& [id, held] : sender.held) count_.unended += !held.ended;
        for (std::size_t p = 0; p < partners_.size(); ++p) count_return(p);
        return count_;
    }

private:
    void at(Time when, std::function<void()> what) { schedule_.at(when, std::move(what)); }
    double chance() { return std::uniform_real_distribution<double>(0.0, 1.0)(random_); }

    void tell_list(std::size_t sender) {
        ListEvent list;
        for (std::size_t p = 0; p < partners_.size(); ++p)
            list.entries.push_back(
                {static_cast<EndpointId>(p), static_cast<DestinationId>(p), 0, 0, 0.0, Condition::Ready});
        tell(sender, list);
    }
    void plan_restart(const Restart& restart) {
        const Time age = std::min(restart.at, after(seconds(kSnapshotAge) * chance()));
        at(restart.at - age, [this, number = restart.sender] {
            OneSender& one = senders_[number];
            const auto name = [this](EndpointId partner) { return &names_[partner]; };
            one.learned = recovery::facts_of(one.module, name, schedule_.now());
            one.learned_at = schedule_.now();
        });
        at(restart.at, [this, number = restart.sender] { this->restart(number); });
    }
    LearnedEvent learned(const OneSender& one) const {
        std::map<std::string, EndpointId> numbers;
        for (std::size_t p = 0; p < names_.size(); ++p)
            numbers.emplace(names_[p], static_cast<EndpointId>(p));
        return recovery::event_of(one.learned, numbers, one.learned_at);
    }
    /// Its process has died with all that it knew and all connections; what it held outlasts it.
    void restart(std::size_t sender) {
        OneSender& one = senders_[sender];
        const std::uint64_t seed = settings_.seed * 1000 + sender + 7919 * ++restarts_;
        one.module = Sender(module_settings(settings_, sender), seed);
        one.idle.clear(), one.waits.clear(), one.cancelled.clear();
        ++one.process;
        tell_list(sender);
        tell(sender, learned(one));
        for (const auto& [id, held] : one.held) {
            if (held.ended) continue;
            const Job& job = jobs_[held.job];
            const Time in_time = job.born + deadline_of(job) - kTakenUpBefore;
            const Time drawn = schedule_.now() + after(seconds(kBacklogSpan) * chance());
            at(std::max(schedule_.now(), std::min(drawn, in_time)),
                [this, sender, id = id, process = one.process] { take_up(sender, id, process); });
        }
    }
    void take_up(std::size_t sender, MessageId id, std::size_t process) {
        const Held& held = senders_[sender].held.at(id);
        if (held.ended || senders_[sender].process != process) return;
        MessageEvent event = event_of(id, jobs_[held.job]);
        event.attempts = held.attempts;
        if (held.first_sent) event.doubt = MessageEvent::Doubt{schedule_.now() - *held.first_sent, {}};
        tell(sender, event);
    }
    /// The budget of a way back, counted at the partner over all senders, whatever each of them knew.
    void count_return(std::size_t p) {
        const Partner& partner = partners_[p];
        if (!partner.returned) return;
        const Settings settings = module_settings(settings_, 0);
        const auto& calls = partner.since;
        PartnerCount& count = count_.partners[p];
        count.served_again = settings_.span;
        for (std::size_t first = 0, end = 0; first < calls.size(); ++first) {
            while (end < calls.size() && calls[end] < calls[first] + settings.fall) ++end;
            const auto in_window = static_cast<double>(end - first);
            if (in_window >= 0.9 * partner.is.demand * seconds(settings.fall))
                count.served_again = std::min(count.served_again, calls[first] - *partner.returned);
        }
        std::vector<double> since;
        for (const Time at : calls) since.push_back(seconds(at - *partner.returned));
        const ReturnBudget budget{partner.limit, settings.fall_multiple, settings.cold_from,
            seconds(settings.fall), seconds(settings.warm_within)};
        count.most_of_allowed = most_of_allowed(since, budget);
    }

    void next_client(std::size_t p) {
        const Time gap = after(std::exponential_distribution<double>(partners_[p].is.demand)(random_));
        if (schedule_.now() + gap > settings_.span) return;
        at(schedule_.now() + gap, [this, p] {
            jobs_.push_back({p, chance() < 0.33 ? 1u : 0u, schedule_.now(), 0, false});
            ++count_.partners[p].offered;
            hand_in(jobs_.size() - 1);
            next_client(p);
        });
    }
    void hand_in(std::size_t job) {
        Job& one = jobs_[job];
        const Time deadline = deadline_of(one);
        if (one.over || schedule_.now() >= one.born + deadline) return;
        ++one.tries;
        const std::size_t sender = settings_.uneven > 0 ? part_of_(random_) : random_() % senders_.size();
        const MessageId id = ++messages_;
        senders_[sender].held[id].job = job;
        tell(sender, event_of(id, one));
        at(one.born + deadline + kSlack, [this, sender, id] {
            if (!senders_[sender].held.at(id).ended)
                ++count_.unended, senders_[sender].held.at(id).ended = true;
        });
    }
    static Time deadline_of(const Job& job) { return job.kind == 0 ? Time(12'000'000) : Time(5'000'000); }
    MessageEvent event_of(MessageId id, const Job& job) const {
        MessageEvent event;
        event.message = id;
        event.destination = static_cast<DestinationId>(job.partner);
        event.message_class = job.kind;
        event.left = job.born + deadline_of(job) - schedule_.now();
        return event;
    }
    template <class One>
    void tell(std::size_t sender, const One& event) {
        senders_[sender].module.observe(event, schedule_.now());
        for (const Action& action : senders_[sender].module.decide(schedule_.now()))
            std::visit([&](const auto& one) { act(sender, one); }, action);
    }

    template <class Other>
    void act(std::size_t, const Other&) {}
    void act(std::size_t sender, const SetTimer& timer) {
        at(schedule_.now() + timer.delay, [this, sender] { tell(sender, TimerFired{}); });
    }
    void act(std::size_t sender, const CloseIdle& close) { senders_[sender].idle[close.endpoint].clear(); }
    void act(std::size_t sender, const CancelAttempt& cancel) {
        if (!senders_[sender].cancelled.insert({cancel.message, cancel.attempt}).second) return;
        at(schedule_.now(), [this, sender, cancel, process = senders_[sender].process] {
            answer(
                sender, cancel.message, cancel.attempt, Outcome::CalledOff, schedule_.now(), process, true);
        });
    }
    void act(std::size_t sender, const TellPeers& tell_peers) {
        if (!tell_peers.to || *tell_peers.to >= senders_.size()) return;
        ++count_.notes;
        count_.note_bytes += tell_peers.bytes.size();
        note(tell_peers.bytes.size());
        if (chance() < settings_.notes_lost) return;
        std::string bytes = tell_peers.bytes;
        if (chance() < settings_.notes_spoilt)
            bytes[random_() % bytes.size()] ^= static_cast<char>(1 << random_() % 8);
        const Time way = kLeastNote + after(seconds(kMostNote - kLeastNote) * chance());
        at(schedule_.now() + way, [this, sender, to = *tell_peers.to, bytes] {
            tell(to, PeerNote{sender, bytes});
        });
    }
    void act(std::size_t sender, const Refuse& refuse) {
        const auto job = ended(sender, refuse.message);
        if (!job) return;
        ++count_.partners[jobs_[*job].partner].ends_refused;
        if (jobs_[*job].tries >= kTries) return;
        if (settings_.retries_at_once)
            return at(schedule_.now() + kRetryAtOnce, [this, job] { hand_in_at_once(*job); });
        const Time wait = std::max(kAgain, std::min(refuse.retry_after, Time(2'000'000)));
        at(schedule_.now() + wait + after(0.3 * chance()), [this, job] { hand_in(*job); });
    }
    void hand_in_at_once(std::size_t job) {
        const auto& effect = jobs_[job].took_effect;
        if (!effect || jobs_[job].kind != 0 || schedule_.now() < *effect + kWindow) hand_in(job);
    }
    void act(std::size_t sender, const Fail& fail) {
        if (const auto job = ended(sender, fail.message)) ++count_.partners[jobs_[*job].partner].ends_failed;
    }
    void act(std::size_t sender, const Send& send) {
        note(send.message * 31 + send.endpoint);
        OneSender& one = senders_[sender];
        Held& held = one.held.at(send.message);
        const std::uint32_t attempt = held.attempts++;
        const std::size_t process = one.process;
        if (!held.first_sent) held.first_sent = schedule_.now();
        const std::size_t p = send.endpoint;
        PartnerCount& count = count_.partners[p];
        if (const auto wait = one.waits.find(p); wait != one.waits.end() && schedule_.now() < wait->second)
            ++count.early;
        auto& idle = one.idle[p];
        std::erase_if(idle, [this](Time closes) { return closes <= schedule_.now(); });
        const bool fresh = idle.empty();
        if (!fresh) idle.pop_back();
        const Time sent = schedule_.now();
        if (fresh && partners_[p].limit <= 0) {
            ++count.unconnected;
            return at(schedule_.now() + kNetwork,
                [=, this] { answer(sender, send.message, attempt, Outcome::NoConnection, sent, process); });
        }
        count.connections += fresh;
        at(schedule_.now() + kNetwork * (fresh ? 3 : 1),
            [=, this] { arrive(sender, send, attempt, sent, process); });
    }

    void arrive(std::size_t sender, const Send& send, std::uint32_t attempt, Time sent, std::size_t process) {
        Partner& partner = partners_[send.endpoint];
        if (partner.limit <= 0)
            return at(schedule_.now() + kNetwork,
                [=, this] { answer(sender, send.message, attempt, Outcome::ConnectionLost, sent, process); });
        ++count_.partners[send.endpoint].calls;
        if (partner.returned) partner.since.push_back(schedule_.now());
        const bool taken = partner.takes(schedule_.now());
        if (!taken) ++count_.partners[send.endpoint].refused;
        if (taken) take_effect(jobs_[senders_[sender].held.at(send.message).job]);
        at(schedule_.now() + kNetwork + (taken ? partner.is.answer : Time(0)), [=, this] {
            const bool broken_off =
                taken && partners_[send.endpoint].is.loses_answers && partners_[send.endpoint].limit <= 0;
            const Outcome outcome = broken_off ? Outcome::ConnectionLost
                                    : taken    ? Outcome::Served
                                               : Outcome::TurnedAway;
            answer(sender, send.message, attempt, outcome, sent, process);
        });
    }
    void take_effect(Job& job) {
        if (job.kind != 0) return;
        if (job.took_effect && schedule_.now() <= *job.took_effect + kWindow) return;
        if (job.took_effect) ++count_.partners[job.partner].took_effect_again;
        job.took_effect = schedule_.now();
    }
    void answer(std::size_t sender, MessageId id, std::uint32_t attempt, Outcome outcome, Time sent,
        std::size_t process, bool own = false) {
        OneSender& one = senders_[sender];
        if (one.process != process || (!own && one.cancelled.contains({id, attempt}))) return;
        const Held held = one.held.at(id);
        Job& job = jobs_[held.job];
        Partner& partner = partners_[job.partner];
        OutcomeEvent event;
        event.message = id;
        event.endpoint = static_cast<EndpointId>(job.partner);
        event.attempt = attempt;
        event.outcome = outcome;
        event.rtt = schedule_.now() - sent;
        if (outcome == Outcome::Served || outcome == Outcome::TurnedAway) {
            event.report = partner.report(schedule_.now());
            one.idle[job.partner].push_back(schedule_.now() + kIdle);
        }
        if (outcome == Outcome::TurnedAway && chance() < settings_.told) {
            event.wait = settings_.least_wait;
            one.waits[job.partner] = std::max(one.waits[job.partner], schedule_.now() + event.wait);
        }
        if (outcome == Outcome::Served) {
            event.terminal = true;
            if (!held.ended) ended(sender, id);  // given up meanwhile: its answer changes nothing
            const Time aim = job.kind == 0 ? Time(4'000'000) : Time(1'500'000);
            if (!held.ended && !std::exchange(job.over, true))
                ++(schedule_.now() <= job.born + aim ? count_.partners[job.partner].in_time
                                                     : count_.partners[job.partner].late);
        }
        tell(sender, event);
    }
    /// Its job, the first time.
    std::optional<std::size_t> ended(std::size_t sender, MessageId id) {
        note(id * 7 + 3);
        Held& held = senders_[sender].held.at(id);
        if (std::exchange(held.ended, true)) return ++count_.doubled_ends, std::nullopt;
        ++count_.ends;
        return held.job;
    }
    void note(std::uint64_t what) {
        count_.trace =
            (count_.trace ^ (what + static_cast<std::uint64_t>(schedule_.now().count()))) * 1099511628211ULL;
    }

    FleetSettings settings_;
    std::mt19937_64 random_;
    std::vector<Partner> partners_;
    std::deque<OneSender> senders_;
    std::deque<Job> jobs_;
    FleetCount count_;
    Schedule<Time> schedule_;
    MessageId messages_ = 0;
    std::uint64_t restarts_ = 0;
    std::vector<std::string> names_;  // of the partners
    std::discrete_distribution<std::size_t> part_of_;
};

}  // namespace

PartnerCount FleetCount::all() const {
    PartnerCount sum;
    for (const PartnerCount& one : partners) {
        sum.offered += one.offered, sum.in_time += one.in_time, sum.late += one.late;
        sum.calls += one.calls, sum.refused += one.refused, sum.early += one.early;
        sum.unconnected += one.unconnected, sum.connections += one.connections;
        sum.ends_refused += one.ends_refused, sum.ends_failed += one.ends_failed;
        sum.took_effect_again += one.took_effect_again;
    }
    return sum;
}

FleetCount run(const FleetSettings& settings) { return World(settings).run(); }

}  // namespace lockgw::lab
