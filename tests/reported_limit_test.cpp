// What a told limit, and the share of it that is left, do to the pace of one sender of many: the sum over a
// hundred that each see little must not stand above a limit that refused calls use up.
#include <map>

#include "helpers.hpp"

namespace cometspoke::testing {
namespace {

constexpr double kLimit = 50.0;
constexpr std::size_t kSenders = 100;

Settings one_of_many() {
    Settings settings = make_settings();
    settings.n_instances = kSenders;
    settings.most_held = 1000;
    settings.max_attempts = 12;
    return settings;
}

class ToldLimit : public ::testing::Test {
protected:
    ToldLimit() { harness.list_endpoint(1, 1); }
    /// One message there and back, answered with what is left.
    void hear(double left) {
        harness.arrive(++last, 1);
        for (const Send& send : harness.decide_sends()) {
            harness.now += ms(50);
            harness.report_outcome(send, Outcome::Served, 0, Time(0), ms(50), LoadReport{left, kLimit});
        }
    }
    /// Sends to a partner that takes all, of `count` messages that are there at once.
    int sent_within(Time span, int count, double left) {
        for (int i = 0; i < count; ++i) harness.arrive(++last, 1);
        int sent = 0;
        for (const Time end = harness.now + span; harness.now < end; harness.now += ms(10))
            for (const Send& send : harness.decide_sends()) {
                ++sent;
                harness.report_outcome(send, Outcome::Served, 0, Time(0), ms(50), LoadReport{left, kLimit});
            }
        return sent;
    }

    SenderHarness harness{one_of_many()};
    MessageId last = 0;
};

// An even part is one call in 2 s. All hundred with a backlog stay under the limit together, whatever is left
// at a moment, for what is told is old by the next call.
TEST_F(ToldLimit, ABacklogGoesByAnEvenPart) {
    hear(0.0);
    const int with_none = sent_within(ms(18'000), 60, 0.0);
    EXPECT_LE(with_none, 9);
    EXPECT_GE(with_none, 6);
}
TEST_F(ToldLimit, ABacklogGoesLittleFasterWhereMuchIsLeft) {
    hear(1.0);
    const int with_all = sent_within(ms(18'000), 60, 1.0);
    EXPECT_LE(with_all, 11);
    EXPECT_GE(with_all, 9);
}
// Without a backlog a message need not wait for an even part's turn where there is room.
TEST_F(ToldLimit, AMessageAloneGoesSoonWhereMuchIsLeft) {
    hear(1.0);
    harness.now += ms(500);
    harness.arrive(++last, 1);
    EXPECT_EQ(harness.decide_sends().size(), 1u);
}
TEST_F(ToldLimit, AMessageAloneWaitsWhereNothingIsLeft) {
    hear(0.0);
    hear(0.0);  // this one's turn was set with the news of the first
    harness.now += ms(500);
    harness.arrive(++last, 1);
    EXPECT_TRUE(harness.decide_sends().empty());
    EXPECT_EQ(harness.advance(ms(2500)).size(), 1u);
}
// One refusal tells all that there is to know: nobody goes on at many times an even part until it hears more.
TEST_F(ToldLimit, OneRefusalIsEnough) {
    harness.arrive(++last, 1);
    const auto first = harness.decide_sends();
    ASSERT_EQ(first.size(), 1u);
    harness.now += ms(50);
    harness.report_outcome(first[0], Outcome::TurnedAway, 0, Time(0), ms(50), LoadReport{0.0, kLimit});
    int calls = 0;
    for (int i = 0; i < 30; ++i) harness.arrive(++last, 1);
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
