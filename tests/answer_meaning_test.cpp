// The table of docs/answer-pairing.md: what each answer, in each doubt, means for its message.
#include "deliveries/http/answer_meaning.hpp"

#include <gtest/gtest.h>

#include <tuple>

namespace lockgw {
namespace {

using cometspoke::Effect;
using cometspoke::Outcome;
using Kind = AnswerKind;

constexpr Outcome kOtherwise = Outcome::Unreadable;

constexpr Effect kEffects[] = {Effect::Retryable, Effect::Dedup, Effect::Fragile};

void expect_end(ObservedAnswer answer, Certainty certainty, Effect effect, Outcome outcome, Fate fate) {
    const CallEnd end = end_of_call(answer, certainty, effect, kOtherwise);
    EXPECT_EQ(std::tuple(end.outcome, end.fate), std::tuple(outcome, fate))
        << "kind " << static_cast<int>(answer.kind) << ", whole " << answer.whole << ", certainty "
        << static_cast<int>(certainty) << ", effect " << static_cast<int>(effect);
}
void expect_end(ObservedAnswer answer, Certainty certainty, Outcome outcome, Fate fate) {
    for (const Effect effect : kEffects) expect_end(answer, certainty, effect, outcome, fate);
}

TEST(AnswerMeaningTest, AWholeAnswerOfTheCallItselfMeansWhatTheProtocolSays) {
    expect_end({Kind::Delivered, true}, Certainty::Certain, Outcome::Served, Fate::Over);
    expect_end({Kind::RetryAfter, true}, Certainty::Certain, Outcome::TurnedAway, Fate::Open);
    expect_end({Kind::Refused, true}, Certainty::Certain, Outcome::TurnedAway, Fate::Open);
    expect_end({Kind::SlotsTaken, true}, Certainty::Certain, Outcome::NotSent, Fate::Open);
    expect_end({Kind::AttemptsUsed, true}, Certainty::Certain, Outcome::NotSent, Fate::StatusOwed);
    expect_end({Kind::Over, true}, Certainty::Certain, Outcome::NotSent, Fate::Over);
    expect_end({Kind::Error, true}, Certainty::Certain, Outcome::ServerError, Fate::Open);
}
TEST(AnswerMeaningTest, ADeliveryThatMayBeACopyGetsNoFurtherCallAndItsFinalStatus) {
    for (const bool whole : {false, true}) {
        expect_end({Kind::Delivered, whole}, Certainty::Certain, Outcome::Served, Fate::Over);
        expect_end({Kind::Delivered, whole}, Certainty::Doubtful, Outcome::Served, Fate::StatusOwed);
    }
}
TEST(AnswerMeaningTest, ADoubtfulEndForbidsAFurtherCallAndOwesTheFinalStatus) {
    for (const Kind kind : {Kind::Over, Kind::AttemptsUsed})
        expect_end({kind, true}, Certainty::Doubtful, Outcome::CalledOff, Fate::StatusOwed);
}
TEST(AnswerMeaningTest, ADoubtfulRefusalCountsOnlyForWhatMayBeRepeated) {
    expect_end(
        {Kind::RetryAfter, true}, Certainty::Doubtful, Effect::Retryable, Outcome::TurnedAway, Fate::Open);
    expect_end(
        {Kind::Refused, true}, Certainty::Doubtful, Effect::Retryable, Outcome::TurnedAway, Fate::Open);
    expect_end(
        {Kind::SlotsTaken, true}, Certainty::Doubtful, Effect::Retryable, Outcome::NotSent, Fate::Open);
    expect_end({Kind::Error, true}, Certainty::Doubtful, Outcome::ServerError, Fate::Open);
    for (const Kind kind : {Kind::RetryAfter, Kind::Refused, Kind::SlotsTaken})
        for (const Effect effect : {Effect::Dedup, Effect::Fragile})
            expect_end({kind, true}, Certainty::Doubtful, effect, Outcome::CalledOff, Fate::Open);
}
TEST(AnswerMeaningTest, AnAnswerThatBreaksOffProvesNothingButForbidsWhatItsFirstLineForbids) {
    for (const Certainty certainty : {Certainty::Certain, Certainty::Doubtful}) {
        for (const Kind kind : {Kind::Over, Kind::AttemptsUsed})
            expect_end({kind, false}, certainty, kOtherwise, Fate::StatusOwed);
        for (const Kind kind : {Kind::None, Kind::RetryAfter, Kind::Refused, Kind::SlotsTaken, Kind::Error})
            expect_end({kind, false}, certainty, kOtherwise, Fate::Open);
    }
}
TEST(AnswerMeaningTest, AConnectionIsReusedOnlyBehindADelivery) {
    EXPECT_TRUE(keeps_connection(Kind::Delivered, true));
    EXPECT_FALSE(keeps_connection(Kind::Delivered, false));
    for (const Kind kind : {Kind::None, Kind::RetryAfter, Kind::Refused, Kind::SlotsTaken, Kind::AttemptsUsed,
             Kind::Over, Kind::Error})
        EXPECT_FALSE(keeps_connection(kind, true));
}

}  // namespace
}  // namespace lockgw
