// Rate limit reports of peers: the invariants of merging, the message encoding, and how a sender uses the
// reports.
#include <algorithm>
#include <cmath>
#include <limits>
#include <random>

#include "helpers.hpp"
#include "rate_limits/rate_limit_message.hpp"

namespace cometspoke::testing {
namespace {

using namespace lockgw::rate_limits;

std::vector<RateLimitReport> random_reports(std::mt19937_64& random, std::size_t count) {
    std::vector<RateLimitReport> reports;
    for (std::size_t i = 0; i < count; ++i)
        reports.push_back({static_cast<DestinationId>(random() % 4), 1.0 + static_cast<double>(random() % 3),
            static_cast<double>(random() % 3) / 2.0, ms(static_cast<std::int64_t>(random() % 5))});
    return reports;
}
std::string contents_of(const RateLimitTable& table) {
    std::string text;
    for (DestinationId id = 0; id < 4; ++id)
        if (const auto report = table.find(id))
            text += std::to_string(id) + ":" + std::to_string(report->limit) + "," +
                    std::to_string(report->remaining) + "@" + std::to_string(report->observed_at.count()) +
                    " ";
    return text;
}

TEST(RateLimitTable, MergesToTheSameStateInAnyOrderAndWithRepeats) {
    const std::uint64_t seed = std::random_device{}();
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    for (int run = 0; run < 500; ++run) {
        auto reports = random_reports(random, 12);
        RateLimitTable in_order, shuffled;
        for (const RateLimitReport& report : reports) in_order.merge(report);
        for (std::size_t i = 0, n = reports.size(); i < n; ++i) reports.push_back(reports[random() % n]);
        std::shuffle(reports.begin(), reports.end(), random);
        for (const RateLimitReport& report : reports) shuffled.merge(report);
        ASSERT_EQ(contents_of(in_order), contents_of(shuffled));
    }
}
TEST(RateLimitTable, PassesOnAReportAFewTimesAndNoOldReports) {
    RateLimitTable table;
    EXPECT_TRUE(table.merge({1, 10, 0.5, ms(1000)}));
    for (int i = 0; i < RateLimitTable::kTransmissions; ++i)
        EXPECT_EQ(table.take_unsent(8, ms(1000)).size(), 1u);
    EXPECT_FALSE(table.has_unsent());
    EXPECT_FALSE(table.merge({1, 20, 0.5, ms(900)}));  // older than the report in the table
    EXPECT_TRUE(table.merge({2, 10, 0.5, ms(1000)}));
    EXPECT_TRUE(table.take_unsent(8, ms(1000) + RateLimitTable::kMaxAge + ms(1)).empty());
    EXPECT_FALSE(table.has_unsent());
}
// A small change is merged but not passed on, until the sum of the changes since the last transmission is
// large enough.
TEST(RateLimitTable, PassesOnOnlySignificantChanges) {
    RateLimitTable table;
    Time now = ms(1000);
    table.merge({1, 20, 1.0, now});
    while (table.has_unsent()) table.take_unsent(8, now);
    int passed_on = 0;
    for (double remaining = 0.98; remaining > 0.69; remaining -= 0.02) {
        now += ms(100);
        EXPECT_TRUE(table.merge({1, 20, remaining, now}));
        passed_on += table.has_unsent();
        while (table.has_unsent()) table.take_unsent(8, now);
        EXPECT_DOUBLE_EQ(table.find(1)->remaining, remaining);
    }
    EXPECT_EQ(passed_on, 1);
    EXPECT_TRUE(table.merge({1, 10, 0.7, now + ms(1)}));
    EXPECT_TRUE(table.has_unsent());
}
TEST(RateLimitTable, RejectsInvalidReports) {
    RateLimitTable table;
    for (const RateLimitReport& invalid :
        {RateLimitReport{1, 0, 0.5, ms(1)}, RateLimitReport{1, -3, 0.5, ms(1)},
            RateLimitReport{1, 1e9, 0.5, ms(1)}, RateLimitReport{1, 10, 1.5, ms(1)},
            RateLimitReport{1, 10, -0.1, ms(1)}, RateLimitReport{1, NAN, 0.5, ms(1)}})
        EXPECT_FALSE(table.merge(invalid));
    EXPECT_EQ(table.size(), 0u);
}

TEST(RateLimitMessage, RoundTripKeepsReportsAndTheirAge) {
    const std::vector<RateLimitReport> reports{
        {0, 44.25, 0.0, ms(990)}, {-7, 0.5, 1.0, ms(1000)}, {1'000'000'007, 229.7, 0.4, ms(0)}};
    const std::string message = encode(reports, ms(1000));
    EXPECT_LE(message.size(), kMaxMessageBytes);
    const auto back = decode(message, ms(9000));  // on the receiver's clock
    ASSERT_TRUE(back);
    ASSERT_EQ(back->size(), reports.size());
    for (std::size_t i = 0; i < reports.size(); ++i) {
        EXPECT_EQ((*back)[i].destination, reports[i].destination);
        EXPECT_NEAR((*back)[i].limit, reports[i].limit, 0.006);
        EXPECT_NEAR((*back)[i].remaining, reports[i].remaining, 0.003);
        const Time age = ms(1000) - reports[i].observed_at, age_back = ms(9000) - (*back)[i].observed_at;
        EXPECT_GE(age_back, age);
        EXPECT_LE(age_back, age + kTransitAllowance + ms(4));
    }
}
TEST(RateLimitMessage, HoldsTheLargestReportsWithinTheSizeLimit) {
    const std::vector<RateLimitReport> reports(
        40, {std::numeric_limits<DestinationId>::min(), 1e6, 1.0, ms(0)});
    const std::string message = encode(reports, ms(1000));
    EXPECT_LE(message.size(), kMaxMessageBytes);
    const auto back = decode(message, ms(1000));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->size(), kMaxReports);
    EXPECT_EQ(back->front().destination, reports[0].destination);
}
// Passing a report on must not make it younger: it would circulate for ever and replace newer reports.
TEST(RateLimitMessage, AReportThatComesBackIsNotNewer) {
    RateLimitTable sender, receiver;
    Time now = ms(1000);
    sender.merge({1, 10, 0.5, now});
    for (int round = 0; round < 20; ++round) {
        now += ms(7);
        const auto received = decode(encode({{1, 10, 0.5, ms(1000)}}, now), now + kTransitAllowance);
        ASSERT_TRUE(received);
        receiver.merge(received->front());
        for (const RateLimitReport& report : receiver.take_unsent(8, now)) {
            const auto returned = decode(encode({report}, now), now + kTransitAllowance);
            ASSERT_TRUE(returned);
            EXPECT_FALSE(sender.merge(returned->front()));
        }
    }
}
TEST(RateLimitMessage, RejectsDamagedMessages) {
    const std::uint64_t seed = std::random_device{}();
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    const std::string message = encode({{3, 44.25, 0.2, ms(990)}, {8, 230, 0.9, ms(995)}}, ms(1000));
    for (std::size_t size = 0; size < message.size(); ++size)
        EXPECT_FALSE(decode(message.substr(0, size), ms(0)));
    EXPECT_FALSE(decode(message + "x", ms(0)));
    for (std::size_t index = 0; index < message.size(); ++index)
        for (int bit = 0; bit < 8; ++bit) {
            std::string damaged = message;
            damaged[index] = static_cast<char>(damaged[index] ^ (1 << bit));
            EXPECT_FALSE(decode(damaged, ms(0))) << index << '/' << bit;
        }
    for (int run = 0; run < 20000; ++run) {  // arbitrary bytes must not crash the decoder
        std::string any(random() % 300, '\0');
        for (char& byte : any) byte = static_cast<char>(random());
        if (!any.empty()) any[0] = kMessageType;
        (void)decode(any, ms(0));
    }
}

Settings settings_of(std::size_t senders, bool gossip = true) {
    Settings settings = make_settings();
    settings.n_instances = senders;
    settings.notes = gossip;
    settings.own_number = senders - 1;
    return settings;
}
std::vector<TellPeers> messages_after_an_answer(Settings settings) {
    SenderHarness harness(std::move(settings));
    harness.list_endpoint(1, 1);
    harness.arrive(1, 1);
    for (const Send& send : harness.decide_sends()) {
        harness.now += ms(50);
        harness.report_outcome(send, Outcome::Served, 0, Time(0), ms(50), LoadReport{0.3, 44.0});
    }
    return actions_of<TellPeers>(harness.decide());
}

TEST(RateLimitGossip, SendsTheReportOfAnAnswerToAFewPeers) {
    const auto messages = messages_after_an_answer(settings_of(100));
    EXPECT_EQ(messages.size(), 3u);
    for (const TellPeers& message : messages) {
        ASSERT_TRUE(message.to);
        EXPECT_LT(*message.to, 99u);  // not to itself
        const auto reports = decode(message.bytes, ms(0));
        ASSERT_TRUE(reports);
        ASSERT_EQ(reports->size(), 1u);
        EXPECT_NEAR(reports->front().limit, 44.0, 0.01);
    }
}
TEST(RateLimitGossip, IsNotSentIfDisabledOrInASmallCluster) {
    EXPECT_TRUE(messages_after_an_answer(settings_of(100, false)).empty());
    EXPECT_TRUE(messages_after_an_answer(settings_of(3)).empty());
}
// A sender whose limit is used up waits as long as its even share of the limit demands; a report that some of
// the limit remains ends the wait.
TEST(RateLimitGossip, AReportOfRemainingLimitEndsTheWait) {
    for (const bool reported : {false, true}) {
        SenderHarness harness(settings_of(100));
        harness.list_endpoint(1, 1);
        harness.arrive(1, 1);
        const auto first = harness.decide_sends();
        ASSERT_EQ(first.size(), 1u);
        harness.now += ms(50);
        harness.report_outcome(first[0], Outcome::TurnedAway, 0, Time(0), ms(50), LoadReport{0.0, 10.0});
        harness.decide();
        harness.now += ms(500);
        const std::string message = encode({{1, 500.0, 1.0, harness.now}}, harness.now);
        if (reported) harness.sender.observe(PeerNote{4, message}, harness.now + ms(40));
        EXPECT_EQ(harness.advance(ms(1000)).size(), reported ? 1u : 0u);
    }
}
// A forged report may claim a limit close to zero: it must not stop the calls to a destination for hours.
TEST(RateLimitGossip, AForgedLowLimitDelaysCallsForSecondsOnly) {
    SenderHarness harness(settings_of(100));
    harness.list_endpoint(1, 1);
    harness.arrive(1, 1);
    for (const Send& send : harness.decide_sends())
        harness.report_outcome(send, Outcome::Served, 0, Time(0), ms(50), LoadReport{0.5, 400.0});
    harness.decide();
    harness.now += ms(100);
    harness.sender.observe(
        PeerNote{4, encode({{1, 0.01, 0.0, harness.now + kTransitAllowance}}, harness.now)},
        harness.now + ms(1));
    harness.arrive(2, 1);
    EXPECT_EQ(harness.advance(ms(11'000)).size(), 1u);
}
// Nor may a forged report of a huge limit raise the call budget of a destination that recovers from an
// outage.
TEST(RateLimitGossip, AForgedHighLimitDoesNotRaiseTheRecoveryBudget) {
    std::size_t sent[2] = {0, 0};
    for (const bool forged : {false, true}) {
        SenderHarness harness(settings_of(100));
        harness.list_endpoint(1, 1);
        MessageId next = 1;
        harness.arrive(next++, 1);
        for (const Send& send : harness.decide_sends())
            harness.report_outcome(send, Outcome::Served, 0, Time(0), ms(50), LoadReport{0.5, 40.0});
        harness.now += ms(5000);
        harness.arrive(next++, 1);
        for (const Send& send : harness.decide_sends())
            harness.report_outcome(send, Outcome::TurnedAway, 0, ms(3000));  // outage
        harness.decide();
        for (int i = 0; i < 40; ++i) harness.arrive(next++, 1);
        for (const Time end = harness.now + ms(5000); harness.now < end; harness.now += ms(10)) {
            if (forged)
                harness.sender.observe(
                    PeerNote{4, encode({{1, 1e6, 1.0, harness.now}}, harness.now)}, harness.now);
            for (const Send& send : harness.decide_sends()) {
                ++sent[forged];
                harness.report_outcome(send, Outcome::ServerError, 0);
            }
        }
    }
    EXPECT_LE(sent[1], sent[0] + 2);
}
// A destination's retry-after binds: no report of a peer ends it, and none makes an unlisted destination
// available.
TEST(RateLimitGossip, NoReportEndsARetryAfter) {
    SenderHarness harness(settings_of(100));
    harness.list_endpoint(1, 1);
    harness.arrive(1, 1);
    const auto first = harness.decide_sends();
    harness.report_outcome(first.at(0), Outcome::TurnedAway, 0, ms(2000), ms(50), LoadReport{0.0, 10.0});
    harness.decide();
    for (int i = 0; i < 190; ++i) {
        harness.now += ms(10);
        harness.sender.observe(
            PeerNote{4, encode({{1, 1e6, 1.0, harness.now}, {9, 10, 1.0, harness.now}}, harness.now)},
            harness.now);
        EXPECT_TRUE(harness.decide_sends().empty());
    }
}

}  // namespace
}  // namespace cometspoke::testing
