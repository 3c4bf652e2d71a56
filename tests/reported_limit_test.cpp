// How a reported rate limit, and the reported share of it that is left, change the rate of one sender of
// many. Refused calls use up the limit too, so that a hundred senders that each see little of it must stay
// below it together.
#include <map>

#include "helpers.hpp"

namespace cometspoke::testing {
namespace {

constexpr double kLimit = 50.0;
constexpr std::size_t kSenders = 100;

Settings settings_of_one_of_many() {
    Settings settings = make_settings();
    settings.n_instances = kSenders;
    settings.most_held = 1000;
    settings.max_attempts = 12;
    return settings;
}

class ReportedLimit : public ::testing::Test {
protected:
    ReportedLimit() { harness.list_endpoint(1, 1); }
    /// Delivers one message; the answer reports the limit and the share of it that is left.
    void exchange(double left) {
        harness.arrive(++last_id, 1);
        for (const Send& send : harness.decide_sends()) {
            harness.now += ms(50);
            harness.report_outcome(send, Outcome::Served, 0, Time(0), ms(50), LoadReport{left, kLimit});
        }
    }
    /// The number of calls within `span` to an endpoint that accepts all, with `count` messages that arrive
    /// at once.
    int sent_within(Time span, int count, double left) {
        for (int i = 0; i < count; ++i) harness.arrive(++last_id, 1);
        int sent = 0;
        for (const Time end = harness.now + span; harness.now < end; harness.now += ms(10))
            for (const Send& send : harness.decide_sends()) {
                ++sent;
                harness.report_outcome(send, Outcome::Served, 0, Time(0), ms(50), LoadReport{left, kLimit});
            }
        return sent;
    }

    SenderHarness harness{settings_of_one_of_many()};
    MessageId last_id = 0;
};

// An even share is one call in 2 s. A hundred senders with backlogs stay below the limit together, whatever
// share of it is reported as left, for that report is out of date by the next call.
TEST_F(ReportedLimit, BacklogIsSentAtAnEvenPart) {
    exchange(0.0);
    const int sent_count = sent_within(ms(18'000), 60, 0.0);
    EXPECT_LE(sent_count, 9);
    EXPECT_GE(sent_count, 6);
}
TEST_F(ReportedLimit, BacklogIsSentLittleFasterWhenMuchIsLeft) {
    exchange(1.0);
    const int sent_count = sent_within(ms(18'000), 60, 1.0);
    EXPECT_LE(sent_count, 11);
    EXPECT_GE(sent_count, 9);
}
// Without a backlog a message need not wait for this sender's even share while enough of the limit is left.
TEST_F(ReportedLimit, SingleMessageIsSentSoonWhenMuchIsLeft) {
    exchange(1.0);
    harness.now += ms(500);
    harness.arrive(++last_id, 1);
    EXPECT_EQ(harness.decide_sends().size(), 1u);
}
TEST_F(ReportedLimit, SingleMessageWaitsWhenNothingIsLeft) {
    exchange(0.0);
    exchange(0.0);  // its limit tag was set by the first report
    harness.now += ms(500);
    harness.arrive(++last_id, 1);
    EXPECT_TRUE(harness.decide_sends().empty());
    EXPECT_EQ(harness.advance(ms(2500)).size(), 1u);
}
// A single refusal is enough: the sender does not go on at many times an even share until it learns more.
TEST_F(ReportedLimit, OneRefusalSetsTheRate) {
    harness.arrive(++last_id, 1);
    const auto first = harness.decide_sends();
    ASSERT_EQ(first.size(), 1u);
    harness.now += ms(50);
    harness.report_outcome(first[0], Outcome::TurnedAway, 0, Time(0), ms(50), LoadReport{0.0, kLimit});
    int calls = 0;
    for (int i = 0; i < 30; ++i) harness.arrive(++last_id, 1);
    std::map<MessageId, std::uint32_t> attempts{{first[0].message, 1}};
    for (const Time end = harness.now + ms(20'000); harness.now < end; harness.now += ms(10))
        for (const Send& send : harness.decide_sends()) {
            ++calls;
            harness.report_outcome(send, Outcome::TurnedAway, attempts[send.message]++, Time(0), ms(50),
                LoadReport{0.0, kLimit});
        }
    EXPECT_LE(calls, 11);
    EXPECT_GE(calls, 5);
}

}  // namespace
}  // namespace cometspoke::testing
