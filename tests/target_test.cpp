// Targets that answer with noise, too much or without end, and targets that come and go.
#include "deliveries/http/targets.hpp"
#include "node_fixture.hpp"

namespace lockgw {
namespace {

class TargetTest : public NodeTest {
protected:
    void start_with_one_slot() {
        node.config()["settings"]["family_info"]["slots"] = 1;
        node.start_ready();
    }
    /// Serves one message and returns once its slot is free again.
    void expect_delivered(Client& client, const std::string& id, const std::string& kind = "safe") {
        ASSERT_EQ(enqueue(client, id, kind), "+OK");
        const Exchange call = target.next();
        EXPECT_EQ(call.header("X-Call-Id"), id);
        call.answer(200);
    }
};

// A first line of 200 is true, whatever follows; the connection is of no further use.
class Delivered : public TargetTest, public ::testing::WithParamInterface<const char*> {};
TEST_P(Delivered, ByAFirstLineOf200) {
    start_with_one_slot();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    target.next().write(GetParam());
    expect_delivered(client, "00000000000000aa");
    EXPECT_EQ(target.connections(), 2);
    EXPECT_TRUE(target.no_request_within(200ms));
}
INSTANTIATE_TEST_SUITE_P(Target, Delivered,
    ::testing::Values("HTTP/1.1 200 OK\r\nno colon here\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on",
        "HTTP/1.1 200 OK\r\nX-Never-Ends: p", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"));

// Only a sound answer proves that a message never ran: an unsafe one must not go again after any of these.
class Doubtful : public TargetTest, public ::testing::WithParamInterface<const char*> {};
TEST_P(Doubtful, MayHaveRun) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    target.next().write(GetParam());
    EXPECT_EQ(final_statuses(agent_request("/reports"))[0], (Json{{"ref", id}, {"result", "dead"}}));
    EXPECT_TRUE(target.no_request_within(200ms));
}
INSTANTIATE_TEST_SUITE_P(Target, Doubtful,
    ::testing::Values("noise\r\n\r\n", "ICY 200 OK\r\n\r\n", "HTTP/1.1 503 X\r\nno colon here\r\n\r\n",
        "HTTP/1.1 503 X\r\nContent-Length: 100\r\n\r\nhalf",
        "HTTP/1.1 429 X\r\nRetry-After: 1\r\nX-Never-Ends: p",
        "HTTP/1.1 504 X\r\nContent-Length: 3000000000\r\n\r\nand so on"));

TEST_F(TargetTest, SkipsWhatStandsAheadOfAnAnswer) {
    start_with_one_slot();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    const Exchange call = target.next();
    call.write("HTTP/1.1 102 Processing\r\n\r\n");
    std::this_thread::sleep_for(1500ms);  // longer than an answer may take once it has begun
    // handed in before the answer: a connection that nothing waits for is closed by design
    const std::string next = "00000000000000aa";
    ASSERT_EQ(enqueue(client, next), "+OK");
    call.write("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    const Exchange second = target.next();
    EXPECT_EQ(second.header("X-Call-Id"), next);
    second.answer(200);
    EXPECT_EQ(target.connections(), 1);
}

// Targets spoil answers now and then; that is no outage, and the others must not wait for it to end.
TEST_F(TargetTest, SpoiltAnswersNowAndThenMakeNoTargetSick) {
    node.start_ready();
    Client client = node.client();
    for (int i = 10; i < 40; ++i) {
        const std::string one = "00000000000000" + std::to_string(i);
        ASSERT_EQ(enqueue(client, one), "+OK");
        Exchange call = target.next();
        EXPECT_EQ(call.header("X-Call-Id"), one);
        if (i % 4 == 0) {
            const auto spoilt = Clock::now();
            call.write("noise\r\n\r\n");
            call = target.next();
            EXPECT_EQ(call.header("X-Call-Id"), one);
            EXPECT_LT(Clock::now() - spoilt, 5s);
        }
        call.answer(200);
    }
}

// Another target may have the address of one that has gone: its calls go over connections of its own.
TEST_F(TargetTest, UsesNoConnectionOfATargetThatHasGone) {
    start_with_one_slot();
    Client client = node.client();
    expect_delivered(client, id);
    respond_json(agent_request("/v1/servers"), target_list(1, true, {member("s-1", target.address(), 7)}));
    respond_json(agent_request("/v1/servers?from=1"),
        target_list(2, false,
            {member("s-1", target.address(), 7, "terminated"), member("s-2", target.address(), 7)}));
    const Exchange watch = agent_request("/v1/servers?from=2");
    expect_delivered(client, "00000000000000aa");
    EXPECT_EQ(target.connections(), 2);
}

// A target that went while its call was out: the outcome still counts for the message.
TEST_F(TargetTest, WaitsForTheCallsOfATargetThatHasGone) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    const Exchange call = target.next();
    respond_json(agent_request("/v1/servers"), target_list(1, true, {member("s-2", target.address(), 7)}));
    const Exchange watch = agent_request("/v1/servers?from=1");
    for (int i = 10; i < 14; ++i) {
        expect_delivered(client, "00000000000000" + std::to_string(i));
        std::this_thread::sleep_for(400ms);  // what nothing names is forgotten meanwhile
    }
    call.answer(200);
    EXPECT_EQ(final_status_of(id, 500ms), nullptr);
    EXPECT_EQ(client.ask({"PING"}), "+PONG");
}

// Calls, idle connections and answers without end together stay under the told number of descriptors.
TEST_F(TargetTest, StaysUnderItsDescriptors) {
    node.config()["limits"]["sockets"] = 64;
    node.config()["settings"]["family_info"]["slots"] = 200;
    node.config()["settings"]["limits"]["most_held"] = 400;
    node.start_ready();
    Client client = node.client();
    std::vector<Exchange> calls;
    for (int i = 100; i < 200; ++i) ASSERT_EQ(enqueue(client, "0000000000000" + std::to_string(i)), "+OK");
    for (int i = 0; i < 100; ++i) {
        const auto all = std::filesystem::directory_iterator("/proc/" + std::to_string(node.pid()) + "/fd");
        ASSERT_LE(std::distance(begin(all), end(all)), 64);
        target.next().write("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\nand no more");
    }
    EXPECT_EQ(client.ask({"PING"}), "+PONG");
}

// ---- the send gate by itself ----

/// Targets with a gate that the test holds: nothing else stands between a chosen call and its first byte.
class GateTest : public ::testing::Test {
protected:
    using Outcome = cometspoke::Outcome;
    GateTest() : config(read_config(make_config("127.0.0.1:1", "127.0.0.1:1"))) {
        Tcp::endpoint address = tcp_endpoint(target.address(), "target");
        targets.set_address(1, address);
    }
    void start(MessageId message) { targets.start({message, 1, 0, 7, "", "BODY", std::chrono::seconds(10)}); }
    Outcome outcome_of(MessageId message) {
        const auto until = std::chrono::steady_clock::now() + kDeadline;
        while (!outcomes.contains(message) && std::chrono::steady_clock::now() < until) io.run_one_for(10ms);
        return outcomes.at(message);
    }

    HttpStub target;
    asio::io_context io;
    Config config;
    bool open = true;
    std::map<MessageId, Outcome> outcomes;
    Targets targets{io, config, 8,
        {[this](const Call&, const Tcp::endpoint&) { return open; },
            [this](const CallResult& result) { outcomes[result.event.message] = result.event.outcome; }}};
};

TEST_F(GateTest, StopsACallOnANewConnectionAndOnAKeptOne) {
    open = false;
    start(1);
    EXPECT_EQ(outcome_of(1), Outcome::NotSent);
    open = true;
    start(2);
    while (target.no_request_within(10ms)) io.poll();
    target.next().answer(200);
    EXPECT_EQ(outcome_of(2), Outcome::Served);
    open = false;
    start(3);
    EXPECT_EQ(outcome_of(3), Outcome::NotSent);
    io.run_for(50ms);
    EXPECT_TRUE(target.no_request_within(50ms));  // not a byte of the two
}

}  // namespace
}  // namespace lockgw
