/// Random events for the decision module and for a second module, which must take the same actions.
///
/// Endpoints that are healthy, hang, refuse with waits, fail, are closed, answer at random, or are down;
/// lists that change; messages of all classes, with and without keys, some accepted before a restart. All of
/// it follows from one seed.
#pragma once

#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <sstream>

#include "helpers.hpp"

namespace cometspoke::testing {

inline std::string to_text(const Action& action) {
    std::ostringstream out;
    struct Print {
        std::ostream& out;
        void operator()(const Send& a) {
            out << "send " << a.message << " to " << a.endpoint << " for " << a.time_out.count();
        }
        void operator()(const CancelAttempt& a) { out << "cancel " << a.message << '/' << a.attempt; }
        void operator()(const Refuse& a) {
            out << "refuse " << a.message << " for " << a.retry_after.count();
        }
        void operator()(const Fail& a) { out << "fail " << a.message; }
        void operator()(const SetTimer& a) { out << "timer " << a.delay.count(); }
        void operator()(const CloseIdle& a) { out << "close " << a.endpoint; }
        void operator()(const Watch& a) { out << "watch " << a.on; }
        void operator()(const Forget& a) { out << "forget " << a.endpoint; }
        void operator()(const Probe& a) { out << "probe " << a.endpoint; }
        void operator()(const TellPeers& a) { out << "tell " << a.bytes; }
        void operator()(const FetchList&) { out << "fetch"; }
        void operator()(const Log& a) { out << "log " << a.text; }
    };
    std::visit(Print{out}, action);
    return out.str();
}

/// Settings and load of one run of random traffic.
struct TrafficVariant {
    const char* name;
    void (*apply)(Settings&);
    double load = 0.5;  ///< probability of a new message at each step
};
inline std::ostream& operator<<(std::ostream& out, const TrafficVariant& variant) {
    return out << variant.name;
}

/// Runs a Sender and an `Other` on the same random events and compares their actions. `Other` has the
/// constructor, observe() and decide() of a Sender.
template <class Other>
class DifferentialRun {
public:
    static constexpr EndpointId kEndpoints = 14;
    DifferentialRun(const TrafficVariant& variant, std::uint64_t seed)
        : variant_(variant),
          random_(seed),
          settings_(make_variant_settings(variant)),
          module_(settings_, seed),
          other_module_(settings_, seed) {
        for (EndpointId id = 0; id < kEndpoints; ++id) list(id, Condition::Ready);
    }

    /// False if the actions of the two differ; `difference` then says how.
    bool run(int steps, std::string& difference) {
        for (int i = 0; i < steps; ++i) {
            if (!chance(0.15))
                now_ += Time(static_cast<Time::rep>(random_below(chance(0.05) ? 3'000'000 : 40'000)));
            for (std::size_t n = chance(0.02) ? 30 : 1; n > 0; --n)
                if (chance(variant_.load)) arrive();
            if (chance(0.03))
                behaviours_[random_below(kDestinations)] = static_cast<Behaviour>(random_below(kBehaviours));
            if (chance(0.02)) list(static_cast<EndpointId>(random_below(kEndpoints)), condition());
            if (chance(0.003)) full_list();
            if (chance(0.01) && !attempts_.empty())
                observe(AbandonedEvent{
                    std::next(attempts_.begin(), static_cast<std::ptrdiff_t>(random_below(attempts_.size())))
                        ->first});
            for (std::size_t n = in_flight_.size(); n > 0; --n)
                if (chance(0.4)) finish(random_below(in_flight_.size()));
            if (!decide(difference)) return false;
        }
        return true;
    }

    Other& other_module() { return other_module_; }

private:
    static constexpr std::size_t kDestinations = 6;
    enum Behaviour { Healthy, Hangs, Refuses, Fails, Closed, Noisy, Down, kBehaviours };
    struct InFlight {
        MessageId message;
        EndpointId endpoint;
        std::uint32_t attempt;
        Time sent;
    };

    static Settings make_variant_settings(const TrafficVariant& variant) {
        Settings settings = make_settings();
        settings.classes[kSequential].aim = ms(500);
        settings.classes[kDedup].aim = ms(800);
        settings.most_held = 120;
        variant.apply(settings);
        return settings;
    }
    std::size_t random_below(std::size_t n) {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
    }
    bool chance(double p) { return std::bernoulli_distribution(p)(random_); }
    Condition condition() {
        return std::array{
            Condition::Ready, Condition::Ready, Condition::Draining, Condition::Gone}[random_below(4)];
    }
    void observe(const Event& event) {
        module_.observe(event, now_);
        other_module_.observe(event, now_);
    }
    ListEntry entry(EndpointId id, Condition condition) {
        ListEntry entry{id, static_cast<DestinationId>(id % kDestinations), id % 2, id % kDestinations % 3,
            0.0, condition};
        if (chance(0.02))
            entry.destination =
                static_cast<DestinationId>(random_below(kDestinations));  // it moves to another destination
        if (settings_.listed_rates) entry.rate = 1.0 + static_cast<double>(random_below(40));
        return entry;
    }
    void list(EndpointId id, Condition condition) {
        if (forgotten_.contains(id)) return;
        observe(ListEvent{ListKind::Changes, {entry(id, condition)}});
    }
    void full_list() {
        ListEvent event;
        for (EndpointId id = 0; id < kEndpoints; ++id)
            if (!forgotten_.contains(id) && chance(0.85))
                event.entries.push_back(entry(id, Condition::Ready));
        observe(event);
    }
    void arrive() {
        MessageEvent event;
        event.message = ++message_count_ * 7919 % 1'000'003;  // ids in no particular order
        event.destination = static_cast<DestinationId>(random_below(kDestinations + 1));
        event.message_class = random_below(settings_.classes.size());
        if (chance(0.5)) event.tenant = 0;
        if (event.message_class == kSequential || chance(0.1)) event.key = random_below(5);
        event.left = chance(0.1) ? ms(static_cast<std::int64_t>(random_below(600))) : ms(20000);
        if (chance(0.05)) {  // accepted before a restart
            event.attempts = static_cast<std::uint32_t>(random_below(4));
            if (chance(0.5))
                event.doubt = MessageEvent::Doubt{ms(static_cast<std::int64_t>(random_below(5000))),
                    chance(0.5) && forgotten_.empty() ? std::optional<EndpointId>(random_below(kEndpoints))
                                                      : std::nullopt};
        }
        attempts_[event.message] = event.attempts;
        observe(event);
    }
    void finish(std::size_t index) {
        const InFlight out = in_flight_[index];
        OutcomeEvent event;
        event.message = out.message, event.endpoint = out.endpoint, event.attempt = out.attempt;
        event.rtt = now_ - out.sent;
        switch (behaviours_[out.endpoint % kDestinations]) {
            case Hangs:
                if (now_ - out.sent < ms(4000) && !chance(0.02)) return;
                event.outcome = Outcome::NoAnswer;
                break;
            case Refuses:
                event.outcome = chance(0.5) ? Outcome::TurnedAway : Outcome::Served;
                if (event.outcome == Outcome::TurnedAway && chance(0.6))
                    event.wait = ms(static_cast<std::int64_t>(random_below(900)));
                break;
            case Fails:
                event.outcome = chance(0.8) ? Outcome::ServerError : Outcome::Served;
                break;
            case Closed:
                event.outcome = Outcome::TurnedAway;
                if (chance(0.5)) event.wait = ms(static_cast<std::int64_t>(random_below(6000)));
                break;
            case Noisy:
                event.outcome = static_cast<Outcome>(random_below(9));
                break;
            case Down:
                event.outcome = Outcome::NoConnection;
                break;
            default:
                event.outcome = Outcome::Served;
        }
        if (chance(0.3)) event.report = LoadReport{chance(0.5) ? 0.0 : 0.95, chance(0.5) ? 0.0 : 20.0};
        event.terminal = event.outcome == Outcome::Served || chance(0.01);
        in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(index));
        observe(event);
    }

    bool decide(std::string& difference) {
        const auto actions = module_.decide(now_), other = other_module_.decide(now_);
        for (std::size_t i = 0; i < std::max(actions.size(), other.size()); ++i) {
            const std::string first = i < actions.size() ? to_text(actions[i]) : "nothing";
            const std::string second = i < other.size() ? to_text(other[i]) : "nothing";
            if (first == second) continue;
            difference = "at " + std::to_string(now_.count()) + " action " + std::to_string(i) + ": " +
                         first + ", the other module: " + second;
            return false;
        }
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<Send>(&action))
                in_flight_.push_back({send->message, send->endpoint, attempts_[send->message]++, now_});
            if (const auto* forget = std::get_if<Forget>(&action)) forgotten_.insert(forget->endpoint);
            ++action_count_;
        }
        return true;
    }

    const TrafficVariant& variant_;
    std::mt19937_64 random_;
    Settings settings_;
    Sender module_;
    Other other_module_;
    Time now_ = ms(1'000'000);
    std::map<std::size_t, Behaviour> behaviours_;
    std::map<MessageId, std::uint32_t> attempts_;  // attempts so far
    std::vector<InFlight> in_flight_;
    std::set<EndpointId> forgotten_;
    MessageId message_count_ = 0;
    std::size_t action_count_ = 0;
};

inline std::vector<TrafficVariant> traffic_variants() {
    return {TrafficVariant{"typical", [](Settings&) {}, 0.6},
        TrafficVariant{"low_load", [](Settings&) {}, 0.1},
        TrafficVariant{"nearly_full", [](Settings& s) { s.most_held = 25; }, 0.9},
        TrafficVariant{"few_slots", [](Settings& s) { s.slots = 3, s.cancel = false; }, 0.7},
        TrafficVariant{"many_slots", [](Settings& s) { s.slots = 64, s.most_held = 400; }, 0.95},
        TrafficVariant{"reservation", [](Settings& s) { s.floor_per_s = 2.0; }, 0.6},
        TrafficVariant{"listed_rates", [](Settings& s) { s.listed_rates = true, s.n_instances = 3; }, 0.6},
        TrafficVariant{"dedup_scopes",
            [](Settings& s) {
                s.classes[kDedup].dedup_scope = DedupScope::Endpoint;
                s.classes[kRetryable].effect = Effect::Dedup,
                s.classes[kRetryable].dedup_scope = DedupScope::Zone;
                s.loses_worth = LateWorth::Halving;
            },
            0.7},
        TrafficVariant{"ordering_keys",
            [](Settings& s) {
                for (auto& message_class : s.classes) message_class.sequential = true;
            },
            0.6},
        TrafficVariant{"zero_durations",
            [](Settings& s) {
                s.conn_idle = s.fall = s.warm_within = s.settle_after_doubt = Time(0),
                s.must_subscribe = true;
            },
            0.6}};
}
/// The seeds to run each variant with: `usual` of them, from a random first one. The environment may set the
/// first (LOCKGW_SEED) and their number, for long campaigns (LOCKGW_RUNS).
struct SeedRange {
    explicit SeedRange(std::uint64_t usual) {
        const char* seed = std::getenv("LOCKGW_SEED");
        const char* runs = std::getenv("LOCKGW_RUNS");
        first = seed != nullptr ? std::stoull(seed) : std::random_device{}();
        last = first + (runs != nullptr ? std::stoull(runs) : usual);
    }
    std::uint64_t first, last;
};

}  // namespace cometspoke::testing
