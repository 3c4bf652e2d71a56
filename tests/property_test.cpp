#include <array>
#include <map>
#include <random>
#include <set>

#include "helpers.hpp"

namespace cometspoke::testing {
namespace {

// Feeds arbitrary legal event sequences (random outcomes, no model of servers) and asserts the rules that can
// be seen from the Sender's own events and actions.
class World {
public:
    explicit World(std::uint64_t seed) : random_(seed), settings_(make_settings()), sender_(settings_, seed) {
        for (EndpointId id = 0; id < kEndpoints; ++id) list(id, Condition::Ready);
    }

    void run(int steps) {
        for (int i = 0; i < steps; ++i) {
            now_ += ms(1 + static_cast<std::int64_t>(pick(40)));
            if (chance(0.5)) arrive();
            if (chance(0.02)) list(static_cast<EndpointId>(pick(kEndpoints)), condition());
            while (!out_.empty() && chance(0.35)) finish();
            sender_.observe(TimerFired{}, now_);
            for (const Action& action : sender_.decide(now_))
                std::visit([this](const auto& a) { act(a); }, action);
            overdue();
        }
        EXPECT_GT(sends_, steps / 20);
    }
    const std::vector<std::string>& trace() const { return trace_; }

private:
    static constexpr EndpointId kEndpoints = 9;
    struct Told {
        MessageEvent event;
        Time deadline{0};
        bool over = false;
        std::uint32_t attempts = 0;
        int out = 0;
        std::optional<Time> doubt;
    };
    struct Out {
        MessageId message;
        EndpointId endpoint;
        std::uint32_t attempt;
        Time sent;
    };

    std::size_t pick(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_); }
    bool chance(double p) { return std::bernoulli_distribution(p)(random_); }
    Condition condition() {
        return std::array{Condition::Ready, Condition::Ready, Condition::Draining, Condition::Gone}[pick(4)];
    }
    static DestinationId destination_of(EndpointId id) { return id / 3; }
    // the wait binds the destination, or the endpoint where its kind (1) has routes apart
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
        event.message = ++last_;
        event.destination = static_cast<DestinationId>(pick(3));
        event.message_class = pick(4);
        if (event.message_class == kSequential) event.key = pick(5);
        if (chance(0.5)) event.tenant = 0;
        event.left = ms(200 + static_cast<std::int64_t>(pick(9000)));
        told_[event.message] = {event, now_ + event.left, false, 0, 0, std::nullopt};
        if (event.key) lines_[*event.key].push_back(event.message);
        sender_.observe(event, now_);
    }
    void finish() {
        const std::size_t at = pick(out_.size());
        const Out one = out_[at];
        out_.erase(out_.begin() + static_cast<std::ptrdiff_t>(at));
        Told& told = told_.at(one.message);
        OutcomeEvent event;
        event.message = one.message;
        event.endpoint = one.endpoint;
        event.attempt = one.attempt;
        event.outcome = chance(0.5) ? Outcome::Served : static_cast<Outcome>(1 + pick(6));
        event.rtt = now_ - one.sent;
        if (event.outcome == Outcome::TurnedAway && chance(0.5))
            event.wait = ms(static_cast<std::int64_t>(pick(900)));
        --told.out;
        const bool never_ran = event.outcome == Outcome::TurnedAway || event.outcome == Outcome::NoConnection;
        if (!never_ran) told.doubt = std::min(told.doubt.value_or(one.sent), one.sent);
        if (event.outcome == Outcome::Served) told.over = true;
        event.terminal = told.over;
        if (event.wait > Time(0))
            waits_[route_of(one.endpoint)] = std::max(waits_[route_of(one.endpoint)], now_ + event.wait);
        const bool doubt = event.outcome == Outcome::NoAnswer || event.outcome == Outcome::ConnectionLost ||
                           event.outcome == Outcome::CalledOff;
        if (told.event.key && doubt)
            rests_[*told.event.key][one.message] = now_ + settings_.settle_after_doubt;
        sender_.observe(event, now_);
    }

    void act(const Send& send) {
        ++sends_;
        note("send", send.message);
        Told& told = told_.at(send.message);
        const ClassSettings& kind = settings_.classes[told.event.message_class];
        ASSERT_FALSE(told.over);
        ASSERT_EQ(told.out, 0) << "two attempts at once";
        ASSERT_EQ(destination_of(send.endpoint), told.event.destination);
        ASSERT_EQ(conditions_.at(send.endpoint), Condition::Ready) << "drain";
        ASSERT_LE(waits_[route_of(send.endpoint)], now_) << "wait";
        if (told.doubt) {
            ASSERT_NE(kind.effect, Effect::Fragile);
            if (kind.effect == Effect::Dedup) {
                ASSERT_LE(now_, *told.doubt + kind.window);
            }
        }
        if (told.event.key) order(send.message, *told.event.key);
        out_.push_back({send.message, send.endpoint, told.attempts++, now_});
        ASSERT_LE(told.attempts, settings_.max_attempts);
        ++told.out;
    }
    void order(MessageId id, std::uint64_t key) {
        for (const MessageId earlier : lines_.at(key)) {
            if (earlier == id) break;
            ASSERT_TRUE(told_.at(earlier).over && told_.at(earlier).out == 0) << "order";
            ASSERT_LE(rests_[key][earlier], now_) << "rest";
        }
    }
    void act(const Refuse& refuse) {
        const Told& told = told_.at(refuse.message);
        const Effect effect = settings_.classes[told.event.message_class].effect;
        if (effect == Effect::Fragile) {
            ASSERT_FALSE(told.doubt || told.out > 0) << "refused in doubt";
        }
        end(refuse.message);
    }
    void act(const Fail& fail) { end(fail.message); }
    void act(const CancelAttempt& cancel) { ASSERT_LT(cancel.attempt, told_.at(cancel.message).attempts); }
    template <class Other>
    void act(const Other&) {}
    void end(MessageId id) {
        note("end", id);
        ASSERT_FALSE(told_.at(id).over) << "two final answers";
        told_.at(id).over = true;
    }
    void overdue() {
        for (auto& [id, told] : told_) ASSERT_TRUE(told.over || told.deadline > now_) << "no answer in time";
    }
    void note(const char* what, MessageId id) { trace_.push_back(what + std::to_string(id)); }

    std::mt19937_64 random_;
    Settings settings_;
    Sender sender_;
    Time now_ = ms(5000);
    MessageId last_ = 0;
    int sends_ = 0;
    std::map<MessageId, Told> told_;
    std::map<std::uint64_t, std::vector<MessageId>> lines_;
    std::map<std::uint64_t, std::map<MessageId, Time>> rests_;
    std::map<std::int64_t, Time> waits_;
    std::map<EndpointId, Condition> conditions_;
    std::vector<Out> out_;
    std::vector<std::string> trace_;
};

TEST(Property, RulesHoldOnArbitraryEvents) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        World world(seed);
        world.run(1500);
        if (HasFatalFailure()) FAIL() << "seed " << seed;
    }
}

TEST(Property, SameEventsSameActions) {
    World one(7), other(8), again(7);
    one.run(500);
    other.run(500);
    again.run(500);
    EXPECT_EQ(one.trace(), again.trace());
    EXPECT_NE(one.trace(), other.trace());
}

}  // namespace
}  // namespace cometspoke::testing
