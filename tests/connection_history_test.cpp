// What the answers of a kept connection prove, and which endpoints get one call a connection.
#include "deliveries/http/connection_history.hpp"

#include <gtest/gtest.h>

#include "deliveries/http/refusal_record.hpp"
#include "deliveries/http/stray_record.hpp"

namespace lockgw {
namespace {

using namespace std::chrono_literals;
using cometspoke::Effect;
using Kind = AnswerKind;
using Time = ConnectionHistory::Time;

const Time kStart{std::chrono::hours(1)};

/// A connection that has carried one call, answered at kStart.
ConnectionHistory used_once(Kind kind = Kind::Delivered) {
    ConnectionHistory history;
    history.begin_call(kStart - 10ms);
    history.end_answer(kind, Certainty::Certain, kStart);
    return history;
}

/// And a second one at the same time, whose delivery may be a copy.
ConnectionHistory used_twice() {
    ConnectionHistory history = used_once();
    history.begin_call(kStart);
    history.end_answer(Kind::Delivered, Certainty::Doubtful, kStart);
    return history;
}

TEST(ConnectionHistoryTest, TheFirstAnswerIsItsCallsOwn) {
    ConnectionHistory history;
    history.begin_call(kStart);
    EXPECT_EQ(history.judge(Kind::Delivered, true), Certainty::Certain);
    EXPECT_EQ(history.judge(Kind::Refused, true), Certainty::Certain);
}
TEST(ConnectionHistoryTest, ALaterAnswerOfAKindThatItCarriedMayBeACopyHoweverLongItHasRested) {
    for (const Kind kind : {Kind::Delivered, Kind::RetryAfter, Kind::Refused, Kind::SlotsTaken, Kind::Over,
             Kind::AttemptsUsed}) {
        ConnectionHistory history = used_once(kind);
        history.begin_call(kStart + std::chrono::hours(1));
        EXPECT_EQ(history.judge(kind, true), Certainty::Doubtful);
        EXPECT_EQ(history.judge(Kind::Error, true), Certainty::Certain) << "it equals no earlier one";
    }
}
TEST(ConnectionHistoryTest, AfterARestARefusalOrADeliveryThatNoEarlierAnswerEqualsIsCertain) {
    ConnectionHistory history = used_twice();
    history.begin_call(kStart + ConnectionHistory::kRestTime);
    EXPECT_EQ(history.judge(Kind::Refused, true), Certainty::Certain);
    EXPECT_EQ(history.judge(Kind::Delivered, false), Certainty::Certain);
}
TEST(ConnectionHistoryTest, WithoutARestARefusalMayBeAnEarlierCalls) {
    ConnectionHistory history = used_twice();
    history.begin_call(kStart + ConnectionHistory::kRestTime - 1ms);
    EXPECT_EQ(history.judge(Kind::Refused, true), Certainty::Doubtful);
    EXPECT_EQ(history.judge(Kind::Delivered, false), Certainty::Doubtful);
}
TEST(ConnectionHistoryTest, WhatCannotBearADoubtfulRefusalGoesOverAConnectionThatProvesOne) {
    const auto now = kStart + 999ms;
    for (const ConnectionHistory& history : {ConnectionHistory(), used_once()})
        for (const Effect effect : {Effect::Retryable, Effect::Dedup, Effect::Fragile})
            EXPECT_TRUE(history.may_carry(effect, true, now)) << "new, or its answer was certain";
    for (const ConnectionHistory& history : {used_twice(), used_once(Kind::Refused)}) {
        EXPECT_TRUE(history.may_carry(Effect::Retryable, true, now));
        EXPECT_TRUE(history.may_carry(Effect::Dedup, false, now)) << "its target refuses nothing";
        EXPECT_FALSE(history.may_carry(Effect::Dedup, true, now));
        EXPECT_FALSE(history.may_carry(Effect::Fragile, false, now));
    }
    EXPECT_TRUE(used_twice().may_carry(Effect::Fragile, true, kStart + 1000ms)) << "it has rested";
    EXPECT_FALSE(used_once(Kind::Refused).may_carry(Effect::Fragile, false, kStart + std::chrono::hours(1)));
}
TEST(ConnectionHistoryTest, BehindCertainAnswersARefusalIsCertainAtOnce) {
    ConnectionHistory history = used_once();
    history.begin_call(kStart);
    EXPECT_EQ(history.judge(Kind::Refused, true), Certainty::Certain);
}
TEST(ConnectionHistoryTest, BehindARefusalADeliveryIsCertain) {
    ConnectionHistory history = used_once(Kind::Refused);
    history.begin_call(kStart);
    EXPECT_EQ(history.judge(Kind::Delivered, true), Certainty::Certain);
}
TEST(ConnectionHistoryTest, ALaterAnswerThatEndsTheConnectionMayBeTheServersWordAboutIt) {
    ConnectionHistory history;
    history.begin_call(kStart);
    EXPECT_EQ(history.judge(Kind::Refused, false), Certainty::Certain) << "the first answer";
    history = used_once();
    history.begin_call(kStart);
    EXPECT_EQ(history.judge(Kind::Refused, false), Certainty::Doubtful);
    EXPECT_EQ(history.judge(Kind::Delivered, false), Certainty::Certain)
        << "no server ends a connection by a 200";
}

TEST(RefusalRecordTest, AnEndpointRefusesForATimeBehindItsLastRefusal) {
    RefusalRecord record;
    EXPECT_FALSE(record.refuses(1, kStart));
    record.record(1, kStart - 1s);
    record.record(1, kStart);
    EXPECT_TRUE(record.refuses(1, kStart + RefusalRecord::kSpan - 1ms));
    EXPECT_FALSE(record.refuses(1, kStart + RefusalRecord::kSpan));
    EXPECT_FALSE(record.refuses(2, kStart));
    record.forget(1);
    EXPECT_FALSE(record.refuses(1, kStart));
}

TEST(StrayRecordTest, AnEndpointWithStraysGetsOneCallAConnectionForATime) {
    StrayRecord record;
    EXPECT_FALSE(record.single_use(1, kStart));
    EXPECT_EQ(record.record(1, kStart), StrayRecord::kFirstSpan);
    EXPECT_TRUE(record.single_use(1, kStart));
    EXPECT_FALSE(record.single_use(2, kStart));
    EXPECT_TRUE(record.single_use(1, kStart + StrayRecord::kFirstSpan - 1s));
    EXPECT_FALSE(record.single_use(1, kStart + StrayRecord::kFirstSpan));
}
TEST(StrayRecordTest, TheTimeDoublesWithEachRelapseUpToABound) {
    StrayRecord record;
    Time now = kStart;
    EXPECT_EQ(record.record(1, now), StrayRecord::kFirstSpan);
    EXPECT_EQ(record.record(1, now), StrayRecord::kFirstSpan) << "while it lasts it is no relapse";
    for (int i = 0; i < 10; ++i) {
        now += StrayRecord::kLongestSpan;
        record.record(1, now);
    }
    EXPECT_EQ(record.record(1, now + StrayRecord::kLongestSpan), StrayRecord::kLongestSpan);
    record.forget(1);
    EXPECT_FALSE(record.single_use(1, now));
}

}  // namespace
}  // namespace lockgw
