// Second copies of earlier answers on a kept connection that cross the next call: none may be taken for that
// call's own answer. Each test forces the order.
#include "stray_answer_fixture.hpp"

namespace lockgw {
namespace {

const std::string kWait = "HTTP/1.1 429 X\r\nRetry-After: 1.0\r\nContent-Length: 0\r\n\r\n";
constexpr auto kWaited = 700ms;  // of that wait, whatever the machine does
constexpr auto kAtOnce = 10ms;   // less than the first backoff of a refused message

// Incident 7f8772: a copy of a refusal that crosses the next call says that this call never ran; it is sent
// and run again (unsafe), or a second attempt is out beside it (keyed).
TEST_F(StrayAnswer, ACopyOfARefusalDoesNotRepeatACallThatRan) {
    start();
    for (const char* message_class : {"unsafe", "keyed"}) {
        ASSERT_EQ(enqueue(*client, next_id()), "+OK");
        const Exchange refused = target.next();
        answer(refused, kRefusal);
        answer(target.next(), kOk);  // the repeat
        const std::string id = next_id();
        ASSERT_EQ(enqueue(*client, id, message_class), "+OK");
        const Exchange call = target.next();
        EXPECT_EQ(call.header("X-Call-Id"), id);
        answer_behind_copy(call, kRefusal, kOk);
        EXPECT_TRUE(target.no_request_within(kNoMoreCalls)) << message_class;
    }
}

// A copy of a 200 says that a call was delivered which in truth was refused: the message must not end in
// silence. It gets no further call either: for all that the forwarder can know the 200 was its own.
class LostMessage : public StrayAnswer, public ::testing::WithParamInterface<const char*> {};
TEST_P(LostMessage, ACopyOfADeliveryEndsNoMessageThatWasRefused) {
    start();
    std::this_thread::sleep_for(kRested);
    const std::string id = next_id();
    ASSERT_EQ(enqueue(*client, id, GetParam()), "+OK");
    const Exchange call = target.next();
    ASSERT_EQ(call.header("X-Call-Id"), id);
    ASSERT_TRUE(carried[call.connection].contains(kOk)) << "the order is not forced";
    answer_behind_copy(call, kOk, kRefusal);
    EXPECT_EQ(reported_of(id), (Json{{"ref", id}, {"result", "dead"}}));
    EXPECT_TRUE(target.no_request_within(kNoMoreCalls))
        << "called again after what may have been its own 200";
}
INSTANTIATE_TEST_SUITE_P(StrayAnswer, LostMessage, ::testing::Values("safe", "keyed", "unsafe"));

// Once a copy was taken for an answer, that call's own answer comes behind the next call: it proves nothing
// about that one, and it is not forgotten either.
TEST_F(StrayAnswer, AnAnswerInWhosePlaceACopyCameIsNotTheNextCalls) {
    start();
    std::this_thread::sleep_for(kRested);
    const std::string refused = next_id(), ran = next_id();
    ASSERT_EQ(enqueue(*client, refused), "+OK");
    ASSERT_EQ(enqueue(*client, ran, "unsafe"), "+OK");
    const Exchange first = target.next();
    ASSERT_EQ(first.header("X-Call-Id"), refused);
    ASSERT_TRUE(carried[first.connection].contains(kOk)) << "the order is not forced";
    first.write(kOk);
    const Exchange second = target.next();
    ASSERT_EQ(second.header("X-Call-Id"), ran);
    first.push(kRefusal);
    std::this_thread::sleep_for(kBetween);
    second.write(kOk);
    EXPECT_EQ(reported_of(refused), (Json{{"ref", refused}, {"result", "dead"}}))
        << "the refused message ended in silence";
    EXPECT_TRUE(target.no_request_within(kNoMoreCalls))
        << "the other one ran twice, or the first was called again";
}

// A target that has sent a late copy sends more, and the next one may cross a call: each of its connections
// carries one call.
TEST_F(StrayAnswer, ATargetThatSendsLateCopiesGetsOneCallAConnection) {
    start();
    ASSERT_EQ(enqueue(*client, next_id()), "+OK");
    const Exchange call = target.next();
    call.write(kOk);
    std::this_thread::sleep_for(kBetween);
    call.push(kOk);
    EXPECT_TRUE(target.no_request_within(50ms));
    std::set<int> connections{call.connection};
    for (int i = 0; i < 3; ++i) {
        ASSERT_EQ(enqueue(*client, next_id()), "+OK");
        const Exchange next = target.next();
        EXPECT_TRUE(connections.insert(next.connection).second);
        next.write(kOk);
    }
    EXPECT_TRUE(node.logs("more answers than calls"));
}

// What comes in one piece with an answer closes its connection, and so crosses no call: others are used on.
TEST_F(StrayAnswer, ACopyThatComesWithItsAnswerEndsThatConnectionAlone) {
    start();
    ASSERT_EQ(enqueue(*client, next_id()), "+OK");
    const Exchange call = target.next();
    call.write(kOk + kOk);
    std::this_thread::sleep_for(kBetween);
    ASSERT_EQ(enqueue(*client, next_id()), "+OK");
    ASSERT_EQ(enqueue(*client, next_id()), "+OK");
    const Exchange second = target.next();
    EXPECT_NE(second.connection, call.connection);
    second.write(kOk);
    const Exchange third = target.next();
    EXPECT_EQ(third.connection, second.connection);
    third.write(kOk);
}

// The process dies before its agent has taken the final status of a delivery in doubt: the next one reports
// it again and calls nobody.
TEST_F(StrayAnswer, ADeliveryInDoubtIsReportedAgainAfterAKill) {
    start();
    std::this_thread::sleep_for(kRested);
    const std::string id = next_id();
    ASSERT_EQ(enqueue(*client, id, "unsafe"), "+OK");
    const Exchange call = target.next();
    ASSERT_TRUE(carried[call.connection].contains(kOk)) << "the order is not forced";
    call.write(kOk);
    std::this_thread::sleep_for(kBetween);
    node.kill(), node.wait();
    take_reports_unanswered();
    node.start();
    EXPECT_EQ(reported_of(id), (Json{{"ref", id}, {"result", "dead"}}));
    EXPECT_TRUE(target.no_request_within(kNoMoreCalls));
}

// Once its agent has taken it, it is over for good: no call and no report by the next process.
TEST_F(StrayAnswer, ADeliveryInDoubtWhoseStatusWasTakenIsOverAfterAKill) {
    start();
    std::this_thread::sleep_for(kRested);
    const std::string id = next_id();
    ASSERT_EQ(enqueue(*client, id, "unsafe"), "+OK");
    const Exchange call = target.next();
    ASSERT_TRUE(carried[call.connection].contains(kOk)) << "the order is not forced";
    call.write(kOk);
    EXPECT_EQ(reported_of(id), (Json{{"ref", id}, {"result", "dead"}}));
    std::this_thread::sleep_for(kBetween);
    node.kill(), node.wait();
    take_reports_unanswered();
    node.start_ready();
    EXPECT_TRUE(no_report_within(kNoMoreCalls));
    EXPECT_TRUE(target.no_request_within(0ms));
}

// The first delivery on a connection is its call's own: nothing is reported of it, ever.
TEST_F(StrayAnswer, TheFirstDeliveryOnAConnectionIsNotReported) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, next_id(), "unsafe"), "+OK");
    target.next().write(kOk);
    EXPECT_TRUE(no_report_within(kRested));
    node.kill(), node.wait();
    node.start_ready();
    EXPECT_TRUE(no_report_within(kNoMoreCalls));
    EXPECT_TRUE(target.no_request_within(0ms));
}

// While a target refuses nothing, a message with a key uses a connection at once that has just carried a
// delivery in doubt; one that may not be repeated does not, for a refusal would prove nothing there.
TEST_F(StrayAnswer, OnlyAMessageThatMayBeRepeatedUsesAConnectionInDoubt) {
    start();
    ASSERT_EQ(enqueue(*client, next_id(), "keyed"), "+OK");
    const Exchange keyed = target.next();
    EXPECT_TRUE(carried[keyed.connection].contains(kOk));
    answer(keyed, kOk);
    ASSERT_EQ(enqueue(*client, next_id(), "unsafe"), "+OK");
    const Exchange unsafe = target.next();
    EXPECT_FALSE(carried[unsafe.connection].contains(kOk));
    unsafe.write(kOk);
}

// Behind a refusal a connection is not used again: a copy of the refusal could be read while the own answer
// of the next call, a delivery, is on its way, and the message would be called again after its end.
TEST_F(StrayAnswer, AConnectionThatCarriedARefusalIsNotUsedAgain) {
    start();
    std::this_thread::sleep_for(kRested);
    ASSERT_EQ(enqueue(*client, next_id()), "+OK");
    const Exchange refused = target.next();
    ASSERT_TRUE(carried[refused.connection].contains(kOk)) << "the order is not forced";
    refused.write(kRefusal);
    const Exchange second = target.next();
    EXPECT_NE(second.connection, refused.connection);
    second.write(kOk);
}

// A copy of a 200 was read in the place of the call's own answer, which comes later and tells a wait: it
// holds.
TEST_F(StrayAnswer, AWaitThatIsToldBehindACopyOfADeliveryIsHeeded) {
    start();
    std::this_thread::sleep_for(kRested);
    ASSERT_EQ(enqueue(*client, next_id(), "safe"), "+OK");
    const Exchange call = target.next();
    ASSERT_TRUE(carried[call.connection].contains(kOk)) << "the order is not forced";
    call.push(kOk);
    std::this_thread::sleep_for(kBetween);
    call.push(kWait);
    std::this_thread::sleep_for(kBetween);
    ASSERT_EQ(enqueue(*client, next_id(), "safe"), "+OK");
    EXPECT_TRUE(target.no_request_within(kWaited));
    target.next().write(kOk);
}

// The same behind a doubtful refusal, which gives the call up: what its target had written by then is read.
TEST_F(StrayAnswer, AWaitThatIsToldBehindADoubtfulRefusalIsHeeded) {
    start();
    const std::string id = next_id();
    ASSERT_EQ(enqueue(*client, id), "+OK");
    const Exchange call = target.next();
    ASSERT_TRUE(carried[call.connection].contains(kOk)) << "the order is not forced";
    call.push(kRefusal);  // behind a doubtful delivery that has not rested
    std::this_thread::sleep_for(kAtOnce);
    call.push(kWait);
    EXPECT_TRUE(target.no_request_within(kWaited));
    target.next().write(kOk);
}

// A call that hangs is given up, and its target's refusal crosses that: the wait that it tells holds. It is
// no second answer, so connections are reused as before.
TEST_F(StrayAnswer, AWaitThatCrossesTheEndOfItsCallIsHeeded) {
    start();
    const std::string hung = next_id();
    ASSERT_EQ(enqueue(*client, hung, "unsafe", 500), "+OK");
    const Exchange call = target.next();
    ASSERT_EQ(reported_of(hung).at("result"), "dead");  // it is called no more
    call.push(kWait);
    std::this_thread::sleep_for(kBetween);
    ASSERT_EQ(enqueue(*client, next_id(), "safe"), "+OK");
    EXPECT_TRUE(target.no_request_within(kWaited));
    target.next().write(kOk);
    EXPECT_EQ(node.log().find("more answers than calls"), std::string::npos);
}

// ---- the discovery agent ----

// A second copy of an acknowledgement that crosses the next report: what the agent has not read is reported
// again.
TEST_F(StrayAnswer, ACopyOfAnAcknowledgementAcknowledgesNoOtherReport) {
    node.start_ready();
    Client client = node.client();
    const std::string acknowledged = "HTTP/1.1 204 X\r\n\r\n";
    const std::string first_id = next_id(), second_id = next_id();
    ASSERT_EQ(enqueue(client, first_id, "safe", 50, "BODY", 99), "+OK");
    const Exchange first = agent_request("/reports");
    first.write(acknowledged);
    ASSERT_EQ(enqueue(client, second_id, "safe", 50, "BODY", 99), "+OK");
    const Exchange second = agent_request("/reports");
    if (second.connection == first.connection) second.push(acknowledged);
    std::this_thread::sleep_for(kBetween);
    second.hang_up();  // its process died: it has not read the report
    EXPECT_EQ(reported_of(second_id), (Json{{"ref", second_id}, {"result", "dead"}}));
}

// A second copy of an older list that crosses the next poll brings no drained target back.
TEST_F(StrayAnswer, ACopyOfAnOlderListBringsNoDrainedTargetBack) {
    node.start_ready();
    const Json old_list = target_list(2, true, {member("s-1", target.address(), 7)});
    const Exchange first = agent_request("/v1/servers");
    respond_json(first, old_list);
    const Exchange watch = agent_request("/v1/servers?from=2");
    respond_json(watch, target_list(3, false, {member("s-1", target.address(), 7, "terminating")}));
    const Exchange next = agent_request("/v1/servers?from=3");
    if (next.connection == first.connection) respond_json(next, old_list);
    std::this_thread::sleep_for(kBetween);
    Client client = node.client();
    ASSERT_EQ(enqueue(client, next_id(), "safe", 1000), "+OK");
    EXPECT_TRUE(target.no_request_within(kNoMoreCalls));
}

}  // namespace
}  // namespace lockgw
