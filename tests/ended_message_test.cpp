// Answers after which a message must not be called again, in every doubt about whose answer it is or whether
// all of it has come. Each test forces the order.
#include "stray_answer_fixture.hpp"

namespace lockgw {
namespace {

const std::string kOver = "HTTP/1.1 410 X\r\nContent-Length: 0\r\n\r\n";
constexpr auto kToldWait = 1000ms;

class EndedMessage : public StrayAnswer {
protected:
    void expect_ended(const std::string& message) {
        EXPECT_TRUE(target.no_request_within(kNoMoreCalls)) << "called again";
        EXPECT_EQ(reported_of(message), (Json{{"ref", message}, {"result", "dead"}}));
        EXPECT_TRUE(target.no_request_within(0ms)) << "called again after its final status";
    }
    /// The only call of a message, the first on its connection.
    Exchange first_call(const std::string& message, const std::string& message_class = "safe") {
        node.start_ready();
        client = std::make_unique<Client>(node.address());
        EXPECT_EQ(enqueue(*client, message, message_class), "+OK");
        return target.next();
    }
};

// Incident bb8749: a message was called again after a 410, because the 410 came over a connection with
// unconfirmed deliveries. If it was the call's own the message is over; if not, its end is owed.
TEST_F(EndedMessage, A410BehindAnUnconfirmedDeliveryIsNotCalledAgain) {
    start();
    const std::string over = next_id();
    ASSERT_EQ(enqueue(*client, over), "+OK");
    const Exchange call = target.next();
    ASSERT_EQ(call.header("X-Call-Id"), over);
    ASSERT_TRUE(carried[call.connection].contains(kOk)) << "the order is not forced";
    call.write(kOver);
    expect_ended(over);
}

// A delivery was its own, and a server's word that it ends the idle connection came behind it: the message
// must not be called again after its own 200.
struct Contradiction {
    const char* message_class;
    int status;
};
void PrintTo(const Contradiction& one, std::ostream* out) { *out << one.message_class << "_" << one.status; }
class ContradictedDelivery : public EndedMessage, public ::testing::WithParamInterface<Contradiction> {};
TEST_P(ContradictedDelivery, IsNotCalledAgain) {
    start();
    std::this_thread::sleep_for(kRested);
    const std::string delivered = next_id();
    ASSERT_EQ(enqueue(*client, delivered, GetParam().message_class), "+OK");
    const Exchange call = target.next();
    ASSERT_EQ(call.header("X-Call-Id"), delivered);
    ASSERT_TRUE(carried[call.connection].contains(kOk)) << "the order is not forced";
    call.write(kOk);
    std::this_thread::sleep_for(kBetween);
    call.push("HTTP/1.1 " + std::to_string(GetParam().status) +
              " X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    expect_ended(delivered);
}
INSTANTIATE_TEST_SUITE_P(EndedMessage, ContradictedDelivery,
    ::testing::Values(Contradiction{"safe", 408}, Contradiction{"safe", 503}, Contradiction{"keyed", 408},
        Contradiction{"keyed", 503}, Contradiction{"unsafe", 408}, Contradiction{"unsafe", 503}));

// A server ends the idle connection by a 503 that crosses the call: what looks like its refusal does not
// prove that it never ran.
TEST_F(EndedMessage, A503ThatEndsAUsedConnectionProvesNothingOfAnUnsafeCall) {
    start();
    std::this_thread::sleep_for(kRested);
    const std::string ran = next_id();
    ASSERT_EQ(enqueue(*client, ran, "unsafe"), "+OK");
    const Exchange call = target.next();
    ASSERT_EQ(call.header("X-Call-Id"), ran);
    ASSERT_TRUE(carried[call.connection].contains(kOk)) << "the order is not forced";
    call.write("HTTP/1.1 503 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    call.hang_up();
    expect_ended(ran);
}

// A call hangs, and a copy of an earlier 200 is read in its place: its own answer never comes, and no silence
// tells that from a delivery. The message must not end in silence.
TEST_F(EndedMessage, ACopyInThePlaceOfAHungCallsAnswerEndsNoMessageInSilence) {
    start();
    std::this_thread::sleep_for(kRested);
    const std::string hung = next_id();
    ASSERT_EQ(enqueue(*client, hung, "unsafe", 4000), "+OK");
    const Exchange call = target.next();
    ASSERT_EQ(call.header("X-Call-Id"), hung);
    ASSERT_TRUE(carried[call.connection].contains(kOk)) << "the order is not forced";
    call.push(kOk);
    EXPECT_EQ(reported_of(hung), (Json{{"ref", hung}, {"result", "dead"}}));
}

// A 410 or 504 that breaks off behind its first line: the target has said that the message is over, or has no
// attempts left.
struct CutAnswer {
    const char* name;
    const char* message_class;
    const char* bytes;
};
void PrintTo(const CutAnswer& one, std::ostream* out) { *out << one.name; }
class CutOffEnd : public EndedMessage, public ::testing::WithParamInterface<CutAnswer> {};
TEST_P(CutOffEnd, IsNotCalledAgain) {
    const std::string over = next_id();
    const Exchange call = first_call(over, GetParam().message_class);
    call.write(GetParam().bytes);
    std::this_thread::sleep_for(kBetween);
    call.hang_up();
    expect_ended(over);
}
INSTANTIATE_TEST_SUITE_P(EndedMessage, CutOffEnd,
    ::testing::Values(CutAnswer{"in_the_head", "safe", "HTTP/1.1 410 X\r\nContent-Le"},
        CutAnswer{"in_the_body", "safe", "HTTP/1.1 410 X\r\nContent-Length: 9\r\n\r\nhalf"},
        CutAnswer{"behind_the_first_line", "keyed", "HTTP/1.1 410 X\r\n"},
        CutAnswer{"of_504", "safe", "HTTP/1.1 504 X\r\nContent-Length: 9\r\n\r\nhalf"}));

// The target counts all attempts of a message as used: its end is owed, and no call can help it.
TEST_F(EndedMessage, AMessageWithoutAttemptsLeftEndsWithItsFinalStatus) {
    const std::string used_up = next_id();
    first_call(used_up).answer(504);
    expect_ended(used_up);
}

// A told wait runs from when its answer is written, also if the answer breaks off behind its head.
TEST_F(EndedMessage, AWaitIsHeededThoughItsAnswerBreaksOff) {
    const std::string refused = next_id();
    const Exchange call = first_call(refused);
    call.write("HTTP/1.1 429 X\r\nRetry-After: 1.0\r\nContent-Length: 9\r\n\r\nhalf");
    std::this_thread::sleep_for(kBetween);
    call.hang_up();
    EXPECT_TRUE(target.no_request_within(kToldWait - 2 * kBetween));
    EXPECT_EQ(target.next().header("X-Call-Id"), refused);
}

// A delivery over a used connection may be a copy: its final status is owed, also by the process after a
// termination, where the agent did not take it. Nobody is called.
TEST_F(EndedMessage, ADeliveryInDoubtIsReportedAgainAfterATerminationUntilItIsTaken) {
    start();
    std::this_thread::sleep_for(kRested);
    const std::string message = next_id();
    ASSERT_EQ(enqueue(*client, message, "safe"), "+OK");
    const Exchange call = target.next();
    ASSERT_TRUE(carried[call.connection].contains(kOk)) << "the order is not forced";
    call.write(kOk);
    std::this_thread::sleep_for(kBetween);
    node.terminate();
    std::this_thread::sleep_for(kBetween);
    node.kill(), node.wait();
    take_reports_unanswered();
    node.start();
    expect_ended(message);
    Client returned = node.client();
    EXPECT_EQ(enqueue(returned, message, "safe"), "+OK");
    EXPECT_TRUE(target.no_request_within(kNoMoreCalls)) << "called again when it was handed in again";
}

}  // namespace
}  // namespace lockgw
