#include <array>
#include <map>
#include <random>
#include <set>

#include "helpers.hpp"

namespace cometspoke::testing {
namespace {

// Passes random valid sequences of events (with random outcomes, without a model of servers) to a Sender and
// asserts the invariants that can be checked from its events and actions alone.
class RandomRun {
public:
    explicit RandomRun(std::uint64_t seed)
        : random_(seed), settings_(make_settings()), sender_(settings_, seed) {
        for (EndpointId id = 0; id < kEndpoints; ++id) list(id, Condition::Ready);
    }

    void run(int steps) {
        for (int i = 0; i < steps; ++i) {
            now_ += ms(1 + static_cast<std::int64_t>(random_below(40)));
            if (chance(0.5)) arrive();
            if (chance(0.02)) list(static_cast<EndpointId>(random_below(kEndpoints)), condition());
            while (!in_flight_.empty() && chance(0.35)) finish();
            sender_.observe(TimerFired{}, now_);
            for (const Action& action : sender_.decide(now_))
                std::visit([this](const auto& a) { check(a); }, action);
            check_deadlines();
        }
        EXPECT_GT(sends_, steps / 20);
    }
    const std::vector<std::string>& trace() const { return trace_; }

private:
    static constexpr EndpointId kEndpoints = 9;
    struct TrackedMessage {
        MessageEvent event;
        Time deadline{0};
        bool ended = false;
        std::uint32_t attempts = 0;
        int in_flight = 0;
        std::optional<Time> doubtful_since;
    };
    struct InFlight {
        MessageId message;
        EndpointId endpoint;
        std::uint32_t attempt;
        Time sent;
    };

    std::size_t random_below(std::size_t n) {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
    }
    bool chance(double p) { return std::bernoulli_distribution(p)(random_); }
    Condition condition() {
        return std::array{
            Condition::Ready, Condition::Ready, Condition::Draining, Condition::Gone}[random_below(4)];
    }
    static DestinationId destination_of(EndpointId id) { return id / 3; }
    // a retry-after applies to the destination, or only to the endpoint for kinds with routes_apart (kind 1)
    static std::int64_t route_of(EndpointId id) {
        return destination_of(id) == 1 ? 100 + id : destination_of(id);
    }

    void list(EndpointId id, Condition condition) {
        ListEvent event;
        event.kind = ListKind::Changes;
        event.entries.push_back(
            {id, destination_of(id), id % 2, static_cast<std::size_t>(destination_of(id)), 0.0, condition});
        conditions_[id] = condition;
        sender_.observe(event, now_);
    }
    void arrive() {
        MessageEvent event;
        event.message = ++last_id_;
        event.destination = static_cast<DestinationId>(random_below(3));
        event.message_class = random_below(4);
        if (event.message_class == kSequential) event.key = random_below(5);
        if (chance(0.5)) event.tenant = 0;
        event.left = ms(200 + static_cast<std::int64_t>(random_below(9000)));
        tracked_[event.message] = {event, now_ + event.left, false, 0, 0, std::nullopt};
        if (event.key) arrivals_by_key_[*event.key].push_back(event.message);
        sender_.observe(event, now_);
    }
    void finish() {
        const std::size_t at = random_below(in_flight_.size());
        const InFlight finished = in_flight_[at];
        in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(at));
        TrackedMessage& tracked = tracked_.at(finished.message);
        OutcomeEvent event;
        event.message = finished.message;
        event.endpoint = finished.endpoint;
        event.attempt = finished.attempt;
        event.outcome = chance(0.5) ? Outcome::Served : static_cast<Outcome>(1 + random_below(6));
        event.rtt = now_ - finished.sent;
        if (event.outcome == Outcome::TurnedAway && chance(0.5))
            event.wait = ms(static_cast<std::int64_t>(random_below(900)));
        --tracked.in_flight;
        const bool never_ran = event.outcome == Outcome::TurnedAway || event.outcome == Outcome::NoConnection;
        if (!never_ran)
            tracked.doubtful_since = std::min(tracked.doubtful_since.value_or(finished.sent), finished.sent);
        if (event.outcome == Outcome::Served) tracked.ended = true;
        event.terminal = tracked.ended;
        if (event.wait > Time(0))
            retry_after_until_[route_of(finished.endpoint)] =
                std::max(retry_after_until_[route_of(finished.endpoint)], now_ + event.wait);
        const bool may_still_run = event.outcome == Outcome::NoAnswer ||
                                   event.outcome == Outcome::ConnectionLost ||
                                   event.outcome == Outcome::CalledOff;
        if (tracked.event.key && may_still_run)
            key_pauses_[*tracked.event.key][finished.message] = now_ + settings_.settle_after_doubt;
        sender_.observe(event, now_);
    }

    void check(const Send& send) {
        ++sends_;
        add_to_trace("send", send.message);
        TrackedMessage& tracked = tracked_.at(send.message);
        const ClassSettings& kind = settings_.classes[tracked.event.message_class];
        ASSERT_FALSE(tracked.ended);
        ASSERT_EQ(tracked.in_flight, 0) << "two attempts of a message in flight";
        ASSERT_EQ(destination_of(send.endpoint), tracked.event.destination);
        ASSERT_EQ(conditions_.at(send.endpoint), Condition::Ready) << "not listed as ready";
        ASSERT_LE(retry_after_until_[route_of(send.endpoint)], now_) << "sent during the retry-after wait";
        if (tracked.doubtful_since) {
            ASSERT_NE(kind.effect, Effect::Fragile);
            if (kind.effect == Effect::Dedup) {
                ASSERT_LE(now_, *tracked.doubtful_since + kind.window);
            }
        }
        if (tracked.event.key) check_key_order(send.message, *tracked.event.key);
        in_flight_.push_back({send.message, send.endpoint, tracked.attempts++, now_});
        ASSERT_LE(tracked.attempts, settings_.max_attempts);
        ++tracked.in_flight;
    }
    void check_key_order(MessageId id, std::uint64_t key) {
        for (const MessageId earlier : arrivals_by_key_.at(key)) {
            if (earlier == id) break;
            ASSERT_TRUE(tracked_.at(earlier).ended && tracked_.at(earlier).in_flight == 0)
                << "sent before an earlier message with the same key had ended";
            ASSERT_LE(key_pauses_[key][earlier], now_) << "sent during the pause of its key";
        }
    }
    void check(const Refuse& refuse) {
        const TrackedMessage& tracked = tracked_.at(refuse.message);
        const Effect effect = settings_.classes[tracked.event.message_class].effect;
        if (effect != Effect::Retryable) {
            ASSERT_FALSE(tracked.doubtful_since || tracked.in_flight > 0)
                << "refused although it may have run";
        }
        end_once(refuse.message);
    }
    void check(const Fail& fail) { end_once(fail.message); }
    void check(const CancelAttempt& cancel) {
        ASSERT_LT(cancel.attempt, tracked_.at(cancel.message).attempts);
    }
    template <class Unchecked>
    void check(const Unchecked&) {}
    void end_once(MessageId id) {
        add_to_trace("end", id);
        ASSERT_FALSE(tracked_.at(id).ended) << "two final answers";
        tracked_.at(id).ended = true;
    }
    void check_deadlines() {
        for (auto& [id, tracked] : tracked_)
            ASSERT_TRUE(tracked.ended || tracked.deadline > now_) << "no final answer by the deadline";
    }
    void add_to_trace(const char* what, MessageId id) { trace_.push_back(what + std::to_string(id)); }

    std::mt19937_64 random_;
    Settings settings_;
    Sender sender_;
    Time now_ = ms(5000);
    MessageId last_id_ = 0;
    int sends_ = 0;
    std::map<MessageId, TrackedMessage> tracked_;
    std::map<std::uint64_t, std::vector<MessageId>> arrivals_by_key_;
    std::map<std::uint64_t, std::map<MessageId, Time>> key_pauses_;
    std::map<std::int64_t, Time> retry_after_until_;
    std::map<EndpointId, Condition> conditions_;
    std::vector<InFlight> in_flight_;
    std::vector<std::string> trace_;
};

TEST(Property, InvariantsHoldOnRandomEvents) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        RandomRun random_run(seed);
        random_run.run(1500);
        if (HasFatalFailure()) FAIL() << "seed " << seed;
    }
}

TEST(Property, SameEventsGiveSameActions) {
    RandomRun first(7), other(8), again(7);
    first.run(500);
    other.run(500);
    again.run(500);
    EXPECT_EQ(first.trace(), again.trace());
    EXPECT_NE(first.trace(), other.trace());
}

}  // namespace
}  // namespace cometspoke::testing
