// A refusal promises that handing the message in again does no harm. A keyed message that may have run must
// not be refused: its repeat is a new message to whichever sender takes it, may be held there until the
// window of the key has closed, and then takes effect a second time.
#include <string>

#include "helpers.hpp"

namespace cometspoke::testing {
namespace {

constexpr MessageId kMessage = 1;
constexpr DestinationId kDestination = 1;
constexpr Time kStep = ms(10);

struct FinalAnswer {
    bool refused = false;
    Time at{0};  ///< since the message arrived
};

bool proves_never_ran(Outcome outcome) {
    return outcome == Outcome::TurnedAway || outcome == Outcome::NoConnection || outcome == Outcome::NotSent;
}

std::string name_of(const std::tuple<Effect, DedupScope, Outcome>& parameters) {
    static const char* const effects[] = {"retryable", "dedup", "fragile"};
    static const char* const scopes[] = {"all", "zone", "endpoint"};
    static const char* const outcomes[] = {"served", "server_error", "turned_away", "no_answer",
        "no_connection", "connection_lost", "called_off", "not_sent", "unreadable"};
    const auto [effect, scope, outcome] = parameters;
    return std::string(effects[static_cast<int>(effect)]) + "_" + scopes[static_cast<int>(scope)] + "_" +
           outcomes[static_cast<int>(outcome)];
}

/// One message, whose first attempt ends with an outcome, and whose destination then has no endpoint.
class RefusalTest : public ::testing::TestWithParam<std::tuple<Effect, DedupScope, Outcome>> {
protected:
    Effect effect() const { return std::get<0>(GetParam()); }
    Outcome outcome() const { return std::get<2>(GetParam()); }
    /// A repeat does no harm, whenever and by whichever sender it is made.
    bool repeat_is_harmless() const { return effect() == Effect::Retryable || proves_never_ran(outcome()); }

    Settings settings_with(std::size_t max_attempts) const {
        Settings settings = make_settings();
        settings.classes[0] = make_class(effect());
        settings.classes[0].dedup_scope = std::get<1>(GetParam());
        settings.max_attempts = max_attempts;
        return settings;
    }
    void attempt_once(SenderHarness& harness) {
        harness.list_endpoint(0, kDestination);
        harness.arrive(kMessage, kDestination, 0);
        const auto sends = harness.decide_sends();
        ASSERT_EQ(sends.size(), 1u);
        harness.list_endpoint(0, kDestination, 0, 0.0, Condition::Gone);
        harness.now += ms(100);
        harness.report_outcome(sends[0], outcome());
    }
    static std::vector<FinalAnswer> answers_within(SenderHarness& harness, Time span) {
        std::vector<FinalAnswer> found;
        const Time began = harness.now;
        for (; harness.now < began + span; harness.now += kStep) {
            const auto actions = harness.decide();
            for (const Refuse& refuse : actions_of<Refuse>(actions))
                if (refuse.message == kMessage) found.push_back({true, harness.now - began});
            for (const Fail& fail : actions_of<Fail>(actions))
                if (fail.message == kMessage) found.push_back({false, harness.now - began});
        }
        return found;
    }
    void expect_one_honest_answer(const std::vector<FinalAnswer>& answers) const {
        ASSERT_EQ(answers.size(), 1u);
        EXPECT_TRUE(!answers[0].refused || repeat_is_harmless()) << "refused after " << answers[0].at.count();
    }
};

TEST_P(RefusalTest, WhenItsWindowOrItsTimeEnds) {
    SenderHarness harness(settings_with(4));
    attempt_once(harness);
    const auto answers = answers_within(harness, ms(21'000));
    expect_one_honest_answer(answers);
    const bool window_counts = effect() == Effect::Dedup && !proves_never_ran(outcome());
    if (window_counts) {
        EXPECT_LE(answers[0].at, make_class(effect()).window);
    }
}

TEST_P(RefusalTest, WhenItsAttemptsAreUsedUp) {
    SenderHarness harness(settings_with(1));
    attempt_once(harness);
    const auto answers = answers_within(harness, ms(1000));
    expect_one_honest_answer(answers);
    if (repeat_is_harmless()) {
        EXPECT_TRUE(answers[0].refused) << "the client may well hand it in again";
    }
}

TEST_P(RefusalTest, WhenARestartFindsItBehindItsWindow) {
    if (proves_never_ran(outcome())) return;  // its journal holds no doubt then
    SenderHarness harness(settings_with(4));
    MessageEvent event;
    event.message = kMessage;
    event.destination = kDestination;
    event.message_class = 0;
    event.left = ms(10'000);
    event.attempts = 1;
    event.doubt = MessageEvent::Doubt{ms(6000), {}};
    harness.sender.observe(event, harness.now);
    expect_one_honest_answer(answers_within(harness, ms(11'000)));
}

TEST_P(RefusalTest, WhenTooManyAreHeld) {
    SenderHarness harness(settings_with(4));
    attempt_once(harness);
    for (MessageId id = 2; id <= 300; ++id) harness.arrive(id, kDestination, kSequential);
    for (const FinalAnswer& answer : answers_within(harness, ms(500)))
        EXPECT_TRUE(!answer.refused || repeat_is_harmless());
}

INSTANTIATE_TEST_SUITE_P(Module, RefusalTest,
    ::testing::Combine(::testing::Values(Effect::Retryable, Effect::Dedup, Effect::Fragile),
        ::testing::Values(DedupScope::All, DedupScope::Zone, DedupScope::Endpoint),
        ::testing::Values(Outcome::ServerError, Outcome::TurnedAway, Outcome::NoAnswer, Outcome::NoConnection,
            Outcome::ConnectionLost, Outcome::CalledOff, Outcome::Unreadable)),
    [](const auto& info) { return name_of(info.param); });

}  // namespace
}  // namespace cometspoke::testing
