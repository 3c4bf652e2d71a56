#include "deliveries/http/answer.hpp"

#include <gtest/gtest.h>

namespace lockgw {
namespace {

using State = Answer::State;

constexpr cometspoke::Time kLongestWait = std::chrono::seconds(60);

const std::string kDelivered = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

TEST(Answer, ReadsASoundOneByteByByte) {
    Answer answer;
    EXPECT_TRUE(answer.empty());
    for (std::size_t i = 0; i + 1 < kDelivered.size(); ++i)
        ASSERT_EQ(answer.feed(kDelivered.substr(i, 1)), State::Open) << i;
    EXPECT_EQ(answer.feed(kDelivered.substr(kDelivered.size() - 1)), State::Whole);
    EXPECT_TRUE(answer.says_delivered());
    EXPECT_TRUE(answer.reusable());
    EXPECT_EQ(answer.observed().kind, AnswerKind::Delivered);
    EXPECT_TRUE(answer.observed().whole);
}

// The message has been delivered, whatever becomes of the rest.
class StillDelivered : public ::testing::TestWithParam<const char*> {};
TEST_P(StillDelivered, ByItsFirstLine) {
    Answer answer;
    EXPECT_NE(answer.feed(std::string("HTTP/1.1 200 OK\r\n") + GetParam()), State::Whole);
    EXPECT_NE(answer.ended(), State::Whole);
    EXPECT_TRUE(answer.says_delivered());
    EXPECT_FALSE(answer.reusable());
}
INSTANTIATE_TEST_SUITE_P(Answer, StillDelivered,
    ::testing::Values("", "no colon here\r\n\r\n", "Content-Length: -1\r\n\r\n",
        "Content-Length: 3000000000\r\n\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "X-Half: ", "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n"));

// What Beast holds before it has read anything says 200.
class Nothing : public ::testing::TestWithParam<const char*> {};
TEST_P(Nothing, IsDeliveredByNoise) {
    Answer answer;
    answer.feed(GetParam());
    EXPECT_EQ(answer.ended(), State::Spoilt);
    EXPECT_FALSE(answer.says_delivered());
    EXPECT_FALSE(answer.reusable());
}
INSTANTIATE_TEST_SUITE_P(Answer, Nothing,
    ::testing::Values("", "\xff\xfe noise", "ICY 200 OK\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n",
        "HTTP/1.1 OK 200\r\n\r\n", "HTTP/1.1 200", "HTTP/1.1 2000 OK\r\n\r\n",
        "HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\nhalf", "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"));

TEST(Answer, KnowsNoiseAtItsFirstByte) {
    Answer answer;
    EXPECT_EQ(answer.feed("x"), State::Spoilt);
}

// Taken for the answer, a 1xx would make a failure of a delivery.
TEST(Answer, SkipsABoundedNumberOf1xx) {
    const std::string early = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    Answer answer;
    EXPECT_EQ(answer.feed(early), State::Open);
    EXPECT_TRUE(answer.empty());
    EXPECT_EQ(answer.feed(early + kDelivered), State::Whole);
    EXPECT_EQ(answer.observed().kind, AnswerKind::Delivered);
    EXPECT_TRUE(answer.observed().whole);
    EXPECT_TRUE(answer.reusable());
    Answer endless;
    State state = State::Open;
    for (int i = 0; i < 100 && state == State::Open; ++i) state = endless.feed(early);
    EXPECT_EQ(state, State::Spoilt);
}

TEST(Answer, BoundsHeadsAndBodies) {
    Answer head;
    State state = head.feed("HTTP/1.1 503 X\r\n");
    for (int i = 0; i < 1000 && state == State::Open; ++i)
        state = head.feed("X-Pad: " + std::string(100, 'p') + "\r\n");
    EXPECT_EQ(state, State::Spoilt);
    Answer body;
    state = body.feed("HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < 1000 && state == State::Open; ++i)
        state = body.feed("100\r\n" + std::string(256, 'b') + "\r\n");
    EXPECT_EQ(state, State::Spoilt);
}

// What stands behind an answer would be taken for the next one's.
TEST(Answer, WithMoreBehindItIsSoundAndTheLast) {
    Answer answer;
    EXPECT_EQ(answer.feed(kDelivered + kDelivered), State::Whole);
    EXPECT_TRUE(answer.says_delivered());
    EXPECT_FALSE(answer.reusable());
    Answer last;
    EXPECT_EQ(last.feed("HTTP/1.1 503 X\r\nConnection: close\r\n\r\n"), State::Open);
    EXPECT_EQ(last.ended(), State::Whole);  // it tells no length: the end of the connection is its end
    EXPECT_EQ(last.observed().kind, AnswerKind::Refused);
    EXPECT_TRUE(last.observed().whole);
    EXPECT_FALSE(last.reusable());
}

TEST(Answer, ClipsAToldWait) {
    const auto wait = [](const std::string& told) {
        Answer answer;
        answer.feed("HTTP/1.1 429 X\r\nContent-Length: 0\r\nRetry-After: " + told + "\r\n\r\n");
        return answer.told_wait(kLongestWait);
    };
    EXPECT_EQ(wait("0.5"), std::chrono::milliseconds(500));
    EXPECT_EQ(wait("86400"), kLongestWait);
    EXPECT_EQ(wait("99999999999999999999"), cometspoke::Time(0));
    EXPECT_EQ(wait("-1"), cometspoke::Time(0));
    EXPECT_EQ(wait("nan"), cometspoke::Time(0));
}

TEST(Answer, TakesALoadReportWholeOrNotAtAll) {
    const auto report = load_report_of("x0=0.4, x1=25,x7=odd");
    ASSERT_TRUE(report);
    EXPECT_EQ(report->left, 0.4);
    EXPECT_EQ(report->limit, 25.0);
    EXPECT_EQ(load_report_of("x0=7,x1=25")->left, 1.0);
    for (const char* bad : {"", "x0=0.4", "x1=25", "x0=0.4,x1=", "x0=nan,x1=25", "x0=-1,x1=25",
             "x0=0.4,x1=1e99", "x0=0.4,x1=25,,", "x0=0.4,x1=25,x0=0.5", "\xff\xff", "x0=0.4;x1=25"})
        EXPECT_FALSE(load_report_of(bad)) << bad;
}

}  // namespace
}  // namespace lockgw
