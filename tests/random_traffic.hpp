/// Random events for the decision module and for another one beside it, which must do the same.
///
/// Partners with moods (well, hanging, refusing with waits, failing, shut, noisy, down), lists that change,
/// messages of all classes, keys, restarts: all from one seed.
#pragma once

#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <sstream>

#include "helpers.hpp"

namespace cometspoke::testing {

inline std::string text_of(const Action& action) {
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

struct TrafficVariant {
    const char* name;
    void (*set)(Settings&);
    double load = 0.5;  ///< chance of a message at a step
};
inline std::ostream& operator<<(std::ostream& out, const TrafficVariant& one) { return out << one.name; }

/// `Other` is made of settings and a seed, and is told and asked as a Sender is.
template <class Other>
class DifferentialRun {
public:
    static constexpr EndpointId kEndpoints = 14;
    DifferentialRun(const TrafficVariant& variant, std::uint64_t seed)
        : variant_(variant),
          random_(seed),
          settings_(settings_of(variant)),
          present_(settings_, seed),
          other_(settings_, seed) {
        for (EndpointId id = 0; id < kEndpoints; ++id) list(id, Condition::Ready);
    }

    /// False where the two part; `told` then says how.
    bool run(int steps, std::string& told) {
        for (int i = 0; i < steps; ++i) {
            if (!chance(0.15)) now_ += Time(static_cast<Time::rep>(pick(chance(0.05) ? 3'000'000 : 40'000)));
            for (std::size_t n = chance(0.02) ? 30 : 1; n > 0; --n)
                if (chance(variant_.load)) arrive();
            if (chance(0.03)) moods_[pick(kDestinations)] = static_cast<Mood>(pick(Moods));
            if (chance(0.02)) list(static_cast<EndpointId>(pick(kEndpoints)), condition());
            if (chance(0.003)) whole_list();
            if (chance(0.01) && !known_.empty())
                observe(AbandonedEvent{
                    std::next(known_.begin(), static_cast<std::ptrdiff_t>(pick(known_.size())))->first});
            for (std::size_t n = out_.size(); n > 0; --n)
                if (chance(0.4)) finish(pick(out_.size()));
            if (!decide(told)) return false;
        }
        return true;
    }

    Other& other_module() { return other_; }

private:
    static constexpr std::size_t kDestinations = 6;
    enum Mood { Well, Hangs, Refuses, Fails, Shut, Noisy, Down, Moods };
    struct Out {
        MessageId message;
        EndpointId endpoint;
        std::uint32_t attempt;
        Time sent;
    };

    static Settings settings_of(const TrafficVariant& variant) {
        Settings settings = make_settings();
        settings.classes[kSequential].aim = ms(500);
        settings.classes[kDedup].aim = ms(800);
        settings.most_held = 120;
        variant.set(settings);
        return settings;
    }
    std::size_t pick(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_); }
    bool chance(double p) { return std::bernoulli_distribution(p)(random_); }
    Condition condition() {
        return std::array{Condition::Ready, Condition::Ready, Condition::Draining, Condition::Gone}[pick(4)];
    }
    void observe(const Event& event) {
        present_.observe(event, now_);
        other_.observe(event, now_);
    }
    ListEntry entry(EndpointId id, Condition condition) {
        ListEntry entry{id, static_cast<DestinationId>(id % kDestinations), id % 2, id % kDestinations % 3,
            0.0, condition};
        if (chance(0.02)) entry.destination = static_cast<DestinationId>(pick(kDestinations));  // it moves
        if (settings_.listed_rates) entry.rate = 1.0 + static_cast<double>(pick(40));
        return entry;
    }
    void list(EndpointId id, Condition condition) {
        if (forgotten_.contains(id)) return;
        observe(ListEvent{ListKind::Changes, {entry(id, condition)}});
    }
    void whole_list() {
        ListEvent event;
        for (EndpointId id = 0; id < kEndpoints; ++id)
            if (!forgotten_.contains(id) && chance(0.85))
                event.entries.push_back(entry(id, Condition::Ready));
        observe(event);
    }
    void arrive() {
        MessageEvent event;
        event.message = ++messages_ * 7919 % 1'000'003;  // ids in no order
        event.destination = static_cast<DestinationId>(pick(kDestinations + 1));
        event.message_class = pick(settings_.classes.size());
        if (chance(0.5)) event.tenant = 0;
        if (event.message_class == kSequential || chance(0.1)) event.key = pick(5);
        event.left = chance(0.1) ? ms(static_cast<std::int64_t>(pick(600))) : ms(20000);
        if (chance(0.05)) {  // taken on before a restart
            event.attempts = static_cast<std::uint32_t>(pick(4));
            if (chance(0.5))
                event.doubt = MessageEvent::Doubt{ms(static_cast<std::int64_t>(pick(5000))),
                    chance(0.5) && forgotten_.empty() ? std::optional<EndpointId>(pick(kEndpoints))
                                                      : std::nullopt};
        }
        known_[event.message] = event.attempts;
        observe(event);
    }
    void finish(std::size_t which) {
        const Out out = out_[which];
        OutcomeEvent event;
        event.message = out.message, event.endpoint = out.endpoint, event.attempt = out.attempt;
        event.rtt = now_ - out.sent;
        switch (moods_[out.endpoint % kDestinations]) {
            case Hangs:
                if (now_ - out.sent < ms(4000) && !chance(0.02)) return;
                event.outcome = Outcome::NoAnswer;
                break;
            case Refuses:
                event.outcome = chance(0.5) ? Outcome::TurnedAway : Outcome::Served;
                if (event.outcome == Outcome::TurnedAway && chance(0.6))
                    event.wait = ms(static_cast<std::int64_t>(pick(900)));
                break;
            case Fails:
                event.outcome = chance(0.8) ? Outcome::ServerError : Outcome::Served;
                break;
            case Shut:
                event.outcome = Outcome::TurnedAway;
                if (chance(0.5)) event.wait = ms(static_cast<std::int64_t>(pick(6000)));
                break;
            case Noisy:
                event.outcome = static_cast<Outcome>(pick(9));
                break;
            case Down:
                event.outcome = Outcome::NoConnection;
                break;
            default:
                event.outcome = Outcome::Served;
        }
        if (chance(0.3)) event.report = LoadReport{chance(0.5) ? 0.0 : 0.95, chance(0.5) ? 0.0 : 20.0};
        event.terminal = event.outcome == Outcome::Served || chance(0.01);
        out_.erase(out_.begin() + static_cast<std::ptrdiff_t>(which));
        observe(event);
    }

    bool decide(std::string& told) {
        const auto present = present_.decide(now_), other = other_.decide(now_);
        for (std::size_t i = 0; i < std::max(present.size(), other.size()); ++i) {
            const std::string now = i < present.size() ? text_of(present[i]) : "nothing";
            const std::string then = i < other.size() ? text_of(other[i]) : "nothing";
            if (now == then) continue;
            told = "at " + std::to_string(now_.count()) + " action " + std::to_string(i) + ": " + now +
                   ", the other " + then;
            return false;
        }
        for (const Action& action : present) {
            if (const auto* send = std::get_if<Send>(&action))
                out_.push_back({send->message, send->endpoint, known_[send->message]++, now_});
            if (const auto* forget = std::get_if<Forget>(&action)) forgotten_.insert(forget->endpoint);
            ++actions_;
        }
        return true;
    }

    const TrafficVariant& variant_;
    std::mt19937_64 random_;
    Settings settings_;
    Sender present_;
    Other other_;
    Time now_ = ms(1'000'000);
    std::map<std::size_t, Mood> moods_;
    std::map<MessageId, std::uint32_t> known_;  // attempts so far
    std::vector<Out> out_;
    std::set<EndpointId> forgotten_;
    MessageId messages_ = 0;
    std::size_t actions_ = 0;
};

inline std::vector<TrafficVariant> traffic_variants() {
    return {TrafficVariant{"usual", [](Settings&) {}, 0.6}, TrafficVariant{"idle", [](Settings&) {}, 0.1},
        TrafficVariant{"full_room", [](Settings& s) { s.most_held = 25; }, 0.9},
        TrafficVariant{"few_slots", [](Settings& s) { s.slots = 3, s.cancel = false; }, 0.7},
        TrafficVariant{"many_slots", [](Settings& s) { s.slots = 64, s.most_held = 400; }, 0.95},
        TrafficVariant{"floor", [](Settings& s) { s.floor_per_s = 2.0; }, 0.6},
        TrafficVariant{"rates", [](Settings& s) { s.listed_rates = true, s.n_instances = 3; }, 0.6},
        TrafficVariant{"scopes",
            [](Settings& s) {
                s.classes[kDedup].dedup_scope = DedupScope::Endpoint;
                s.classes[kRetryable].effect = Effect::Dedup,
                s.classes[kRetryable].dedup_scope = DedupScope::Zone;
                s.loses_worth = LateWorth::Halving;
            },
            0.7},
        TrafficVariant{"keys",
            [](Settings& s) {
                for (auto& kind : s.classes) kind.sequential = true;
            },
            0.6},
        TrafficVariant{"no_spans",
            [](Settings& s) {
                s.conn_idle = s.fall = s.warm_within = s.settle_after_doubt = Time(0),
                s.must_subscribe = true;
            },
            0.6}};
}
/// Of each variant, from a fresh seed unless LOCKGW_SEED tells one; more in long campaigns (LOCKGW_RUNS).
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
