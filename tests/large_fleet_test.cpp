// Failures found with fleets of fifty and more senders, each reproduced in small and without the bench.
#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "helpers.hpp"

namespace cometspoke::testing {
namespace {

Settings fleet_settings(std::size_t senders) {
    Settings settings = make_settings();
    settings.n_instances = senders;
    settings.max_attempts = 8;
    return settings;
}

// Many senders that saw a small destination fail return to it: their calls in any recovery window together
// stay within fall_multiple x present capacity x window, with some allowance for chance.
TEST(LargeFleet, SendersTogetherStayWithinTheRecoveryBudget) {
    constexpr std::size_t kSenders = 60;
    constexpr double kCapacity = 10.0;
    std::vector<SenderHarness> harnesses;
    for (std::size_t i = 0; i < kSenders; ++i) {
        Settings settings = fleet_settings(kSenders);
        settings.listed_rates = true;
        harnesses.emplace_back(settings, i + 1);
        harnesses.back().list_endpoint(0, 1, 0, kCapacity);
    }
    std::vector<Time> sent;
    std::map<MessageId, std::uint32_t> tries;
    MessageId next = 1;
    const Time start = harnesses[0].now, back = start + ms(15000), end = back + ms(8000);
    for (Time now = start; now < end; now += ms(20))
        for (std::size_t i = 0; i < kSenders; ++i) {
            SenderHarness& harness = harnesses[i];
            harness.now = now;
            if ((now - start) / ms(20) % 150 == static_cast<Time::rep>(i * 2)) harness.arrive(next++, 1);
            for (const Send& send : harness.decide_sends()) {
                if (now >= back) sent.push_back(now);
                harness.report_outcome(send, now < back ? Outcome::ServerError : Outcome::Served,
                    tries[send.message]++, Time(0), ms(10));
            }
        }
    EXPECT_GT(sent.size(), 5u);
    const double fall = 2.0;
    for (const Time from : sent) {
        const auto in_window = std::count_if(
            sent.begin(), sent.end(), [&](Time at) { return at >= from && at < from + ms(2000); });
        const double warm =
            std::min(1.0, 0.2 + 0.8 * static_cast<double>((from - back + ms(2000)).count()) / 1e7);
        EXPECT_LE(static_cast<double>(in_window), 2.0 * warm * kCapacity * fall * 1.3 + 2.0);
    }
}

// All senders got the same retry-after, with which a destination said until when it is closed: they must not
// all call it when it ends.
TEST(LargeFleet, SendersDoNotAllReturnAtTheEndOfARetryAfter) {
    std::size_t at_once = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SenderHarness harness(fleet_settings(40), seed);
        harness.list_endpoint(0, 1);
        harness.list_endpoint(1, 1);  // the other endpoint shares the wait
        for (MessageId id = 1; id <= 3; ++id) harness.arrive(id, 1);
        const auto out = harness.decide_sends();
        ASSERT_FALSE(out.empty());
        for (const Send& send : out) harness.report_outcome(send, Outcome::TurnedAway, 0, ms(8000));
        EXPECT_TRUE(harness.advance(ms(7990)).empty());
        at_once += harness.advance(ms(200)).size();
    }
    EXPECT_LE(at_once, 10u);
}

// The times at which a single message is sent when each attempt is refused because the limit is used up.
std::vector<Time> refused_sends(std::size_t senders, double limit, std::size_t count) {
    SenderHarness harness(fleet_settings(senders));
    harness.list_endpoint(0, 1);
    harness.arrive(1, 1);
    std::vector<Time> at;
    for (const Time end = harness.now + ms(19000); at.size() < count && harness.now < end;
         harness.now += ms(1))
        for (const Send& send : harness.decide_sends()) {
            harness.report_outcome(send, Outcome::TurnedAway, static_cast<std::uint32_t>(at.size()), Time(0),
                ms(20), LoadReport{0.0, limit});
            at.push_back(harness.now);
        }
    return at;
}

// A refusal that reports a used-up limit is no outage, however many follow one another.
TEST(LargeFleet, UsedUpLimitIsNoOutage) { EXPECT_EQ(refused_sends(40, 40.0, 5).size(), 5u); }

// From the first refusal on, each one delays a sender without other calls by about the time that an even part
// of the limit takes. Many senders that retry faster can use up a limit by their refused calls alone.
TEST(LargeFleet, RefusalsSpaceTheRetries) {
    const auto at = refused_sends(300, 100.0, 5);
    ASSERT_EQ(at.size(), 5u);
    EXPECT_GT(at[1] - at[0], ms(1500));
    EXPECT_GT(at[4] - at[3], ms(1500));
}

// An endpoint that is down refuses connects, as does one with too many connections. Once it is known to be
// down, idle connections of its kind are kept: otherwise each call to the others costs a handshake for a
// minute.
TEST(LargeFleet, EndpointThatIsDownClosesNoIdleConnections) {
    SenderHarness harness;
    harness.list_endpoint(0, 1);
    harness.list_endpoint(1, 2);
    MessageId next = 1;
    harness.arrive(next++, 1);
    std::uint32_t refused = 0;
    for (const Time end = harness.now + ms(19500); refused < 4 && harness.now < end; harness.now += ms(10))
        for (const Send& send : harness.decide_sends())
            harness.report_outcome(send, Outcome::NoConnection, refused++, Time(0), ms(1));
    ASSERT_EQ(refused, 4u);
    std::size_t closed = 0, sent = 0;
    for (int i = 0; i < 10; ++i) {  // in steady use
        harness.now += ms(500);
        harness.arrive(next++, 2);
        for (const Send& send : harness.decide_sends()) {
            if (send.endpoint != 1) continue;
            ++sent;
            harness.now += ms(50);
            harness.report_outcome(send, Outcome::Served);
        }
        if (i > 0)
            for (const CloseIdle& close : actions_of<CloseIdle>(harness.decide()))
                closed += close.endpoint == 1;
    }
    EXPECT_EQ(sent, 10u);
    EXPECT_EQ(closed, 0u);
}

// An idle connection that would seldom be reused is closed, and one in steady use is kept. After two refused
// connects of the kind without a success between them none is kept. A single refused connect may be the
// network's fault.
TEST(LargeFleet, SeldomUsedIdleConnectionsAreClosed) {
    SenderHarness harness;
    harness.list_endpoint(0, 1);
    MessageId next = 1;
    const auto closes_after = [&](Time pause) {
        harness.now += pause;
        harness.arrive(next, 1);
        const auto out = harness.decide_sends();
        EXPECT_EQ(out.size(), 1u);
        harness.now += ms(50);
        harness.report_outcome(out.at(0), Outcome::Served);
        ++next;
        return actions_of<CloseIdle>(harness.decide()).size();
    };
    EXPECT_EQ(closes_after(ms(0)), 1u);
    EXPECT_EQ(closes_after(ms(9000)), 1u);
    EXPECT_EQ(closes_after(ms(1000)), 0u);
    harness.arrive(next, 1);
    const auto out = harness.decide_sends();
    ASSERT_EQ(out.size(), 1u);
    harness.report_outcome(out[0], Outcome::NoConnection, 0, Time(0), ms(10));
    harness.advance(ms(500));
    harness.report_outcome(out[0], Outcome::Served, 1);
    EXPECT_EQ(actions_of<CloseIdle>(harness.decide()).size(), 0u);
    harness.now += ms(10);
    harness.arrive(++next, 1);
    harness.arrive(++next, 1);
    const auto two = harness.decide_sends();
    ASSERT_EQ(two.size(), 2u);
    for (const Send& send : two) {
        harness.report_outcome(send, Outcome::NoConnection, 0, Time(0), ms(10));
        harness.now += ms(10);
    }
    harness.advance(ms(1000));
    for (const Send& send : two) harness.report_outcome(send, Outcome::Served, 1);
    ++next;
    EXPECT_EQ(actions_of<CloseIdle>(harness.decide()).size(), 1u);
    EXPECT_EQ(closes_after(ms(1000)), 1u);
}

// With rare calls a single failure is all that is known; with frequent calls it is one of many outcomes.
TEST(LargeFleet, FailureWeighsMoreAfterAPause) {
    for (const bool rare_calls : {true, false}) {
        SenderHarness harness(fleet_settings(60));
        harness.list_endpoint(0, 1);
        MessageId next = 1;
        for (int i = 0; i < 5; ++i) {
            harness.now += rare_calls ? ms(6000) : ms(300);
            harness.arrive(next++, 1);
            const auto out = harness.decide_sends();
            ASSERT_EQ(out.size(), 1u);
            harness.now += ms(50);
            harness.report_outcome(out[0], i < 4 ? Outcome::Served : Outcome::ServerError);
        }
        harness.arrive(next, 1);
        EXPECT_EQ(harness.advance(ms(200)).empty(), rare_calls);
    }
}

// A sender without an outcome for a whole slow start tries an endpoint with an outage more and more often:
// with few messages it would otherwise keep to the smallest recovery budget long after the return.
TEST(LargeFleet, TrialsGetMoreFrequentInALongOutage) {
    std::vector<std::int64_t> waits;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Settings settings = fleet_settings(200);
        settings.fall = ms(3000);
        settings.classes[kRetryable].deadline = ms(200000);
        SenderHarness harness(settings, seed);
        harness.list_endpoint(0, 1, 0, 0.0);
        harness.arrive(1, 1, kRetryable, std::nullopt, ms(200000));
        const auto out = harness.decide_sends();
        ASSERT_FALSE(out.empty());
        for (const Send& send : out) harness.report_outcome(send, Outcome::ServerError);
        const auto next = harness.advance(ms(60000), ms(100));
        ASSERT_FALSE(next.empty());
        waits.push_back((next[0].first - Time(1'000'000'000)).count());
    }
    EXPECT_GT(*std::min_element(waits.begin(), waits.end()), 10'000'000);
    EXPECT_LT(*std::max_element(waits.begin(), waits.end()), 50'000'000);
}

// A connect that times out reached nobody: an outage at once. One that is refused immediately may have met a
// limit of connections.
TEST(LargeFleet, SlowConnectFailureIsAnOutage) {
    for (const bool slow : {true, false}) {
        SenderHarness harness(fleet_settings(60));
        harness.list_endpoint(0, 1);
        harness.arrive(1, 1);
        const auto out = harness.decide_sends();
        ASSERT_EQ(out.size(), 1u);
        harness.now += slow ? ms(1000) : ms(10);
        harness.report_outcome(out[0], Outcome::NoConnection, 0, Time(0), slow ? ms(1000) : ms(10));
        EXPECT_EQ(harness.advance(ms(300)).empty(), slow);
    }
}

// Many messages with the same deadline: each decision ends a bounded number of them, the next timers the
// rest, and each message ends exactly once.
TEST(Expiry, ManyMessagesWithOneDeadlineEndInBoundedSteps) {
    constexpr std::size_t kMessages = 5000;
    Settings settings = make_settings();
    settings.most_held = 2 * kMessages;
    SenderHarness harness(settings);
    for (MessageId id = 1; id <= kMessages; ++id) harness.arrive(id, 1);  // without an endpoint
    harness.decide();
    harness.now += ms(20000);
    std::set<MessageId> ended;
    std::size_t decisions = 0;
    for (; ended.size() < kMessages && decisions < 100; ++decisions) {
        const auto actions = harness.decide();
        const auto fails = actions_of<Fail>(actions);
        EXPECT_LE(fails.size(), 500u);
        for (const Fail& fail : fails) EXPECT_TRUE(ended.insert(fail.message).second);
        if (ended.size() == kMessages) break;
        const auto timers = actions_of<SetTimer>(actions);
        ASSERT_EQ(timers.size(), 1u);
        EXPECT_LE(timers[0].delay, ms(1));
        harness.now += timers[0].delay;
    }
    EXPECT_EQ(ended.size(), kMessages);
    EXPECT_LE(decisions, 10u);
}

}  // namespace
}  // namespace cometspoke::testing
