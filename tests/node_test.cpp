// The built program between stub servers: intake, calls, restarts, discovery and invalid input.
#include "node_fixture.hpp"

namespace lockgw {
namespace {

// When a hundred forwarders start together, each serves by its last known list and asks only for the changes
// since then, at its own time within 2 s. It asks the agent to hold the request long, because each end of a
// long poll costs a call.
TEST_F(NodeTest, OneOfAHundredForwardersPollsForChangesWithALongHold) {
    node.config()["settings"]["n_instances"] = 100;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    target.next().answer(200);
    const Exchange first = agent_request("/v1/servers");
    EXPECT_EQ(std::string(first.request.target()), "/v1/servers?from=1&hold_ms=10000");
    respond_json(first, target_list(1, false, {}));
    EXPECT_EQ(std::string(agent_request("/v1/servers").request.target()), "/v1/servers?from=1&hold_ms=10000");
}
// New calls to a target must have stopped 500 ms after the agent knows that it drains. So however many
// forwarders start together, none may send its first request later than that.
TEST_F(NodeTest, OneOfManyForwardersPollsFirstWithinTheDrainGrace) {
    node.config()["settings"]["n_instances"] = 300;
    for (const char* seed : {"8c1f30d27a5be964", "1", "2", "3"}) {
        node.config()["seed"] = seed;
        node.start_ready();
        const auto ready = Clock::now();
        Exchange first = agent_request("/v1/servers");
        EXPECT_LT(Clock::now() - ready, 450ms) << seed;
        EXPECT_EQ(std::string(first.request.target()), "/v1/servers?from=1&hold_ms=10000");
        node.kill(), node.wait();
    }
}
// A shorter drain grace makes the first request come sooner. This seed draws the end of the span. A busy
// machine can only add to the delay, so the shortest of several starts is checked.
TEST_F(NodeTest, FirstPollFollowsTheConfiguredDrainGrace) {
    node.config()["settings"]["n_instances"] = 300;
    node.config()["settings"]["contract"]["drain_grace_ms"] = 50;
    node.config()["seed"] = "1b";  // 300 ms of the 300 at most that a grace of 500 ms allows
    auto shortest = Clock::duration::max();
    for (int i = 0; i < 5; ++i) {
        node.start_ready();
        const auto ready = Clock::now();
        agent_request("/v1/servers");
        shortest = std::min(shortest, Clock::now() - ready);
        node.kill(), node.wait();
    }
    EXPECT_LT(shortest, 120ms);
}
// A second request follows one that hangs, 0.4 of the drain grace after the first should have been answered:
// with a shorter grace, sooner.
TEST_F(NodeTest, SecondPollBesideAHangingOneFollowsTheConfiguredDrainGrace) {
    constexpr auto kWait = 1000ms, kUsual = 200ms;  // for a full list; and the delay with the default grace
    node.config()["settings"]["n_instances"] = 3;   // requests the full list
    node.config()["settings"]["contract"]["drain_grace_ms"] = 50;
    auto shortest = Clock::duration::max();
    for (int i = 0; i < 5; ++i) {
        node.start();
        const Exchange hanging = agent_request("/v1/servers");
        const auto requested = Clock::now();
        agent_request("/v1/servers");
        shortest = std::min(shortest, Clock::now() - requested);
        node.kill(), node.wait();
    }
    EXPECT_LT(shortest, kWait + kUsual - 50ms);
}
// With very many forwarders a long poll is held for 10 s. A request for the full list, which asks for no
// hold, must time out sooner: while it is unanswered no change of the list is seen.
TEST_F(NodeTest, RetriesSoonWhenTheFullListDoesNotArrive) {
    node.config()["settings"]["n_instances"] = 300;
    node.config()["known"] = nullptr;
    node.start();
    std::vector<Exchange> unanswered;  // their connections stay open
    for (int hung = 0; hung < 3; ++hung) {
        const auto before = Clock::now();
        unanswered.push_back(agent_request("/v1/servers"));
        EXPECT_LT(Clock::now() - before, 5s) << hung;
        EXPECT_EQ(std::string(unanswered.back().request.target()), "/v1/servers");
    }
}
TEST_F(NodeTest, OneOfFewForwardersRequestsTheFullListAtOnce) {
    node.config()["settings"]["n_instances"] = 3;
    node.start();
    const Exchange first = agent_request("/v1/servers");
    EXPECT_EQ(std::string(first.request.target()), "/v1/servers");
    respond_json(first, target_list(1, true, {member("s-1", target.address(), 7)}));
    EXPECT_EQ(std::string(agent_request("/v1/servers").request.target()), "/v1/servers?from=1&hold_ms=1500");
}

TEST_F(NodeTest, DeliversBodiesUnchangedAndReusesTheConnection) {
    node.config()["settings"]["family_info"]["slots"] = 1;  // the second call starts after the first answer
    node.start_ready();
    Client client = node.client();
    const std::string body("\0\r\n$5\xff", 6);
    // both messages are accepted before the first answer: a connection with no waiting call is closed
    const std::vector<std::string> ids{id, "00000000000000aa"};
    for (const std::string& message_id : ids)
        ASSERT_EQ(enqueue(client, message_id, "keyed", 30000, body), "+OK");
    for (const std::string& message_id : ids) {
        const Exchange call = target.next();
        EXPECT_EQ(call.request.method(), http::verb::post);
        EXPECT_EQ(call.request.target(), "/v1/messages");
        EXPECT_EQ(call.header("X-Call-Id"), message_id);
        EXPECT_EQ(call.header("Idempotency-Key"), "5c0f6e1a2b3d4c59");
        EXPECT_GT(std::stoi(call.header("X-Budget-Ms")), 0);
        EXPECT_LE(std::stoi(call.header("X-Budget-Ms")), 30000);
        EXPECT_EQ(call.request.body(), body);
        call.answer(200, "X-Load-Report: x0=0.4,x1=25\r\n");
    }
    EXPECT_EQ(target.connections(), 1);
}

// A message that may not be repeated goes over no connection that has just brought a delivery which may be a
// copy: a refusal there might be the answer of the call before. One with a key can bear that, while its
// target refuses nothing; once it has refused, it goes as carefully (docs/answer-pairing.md).
TEST_F(NodeTest, WhatCannotBearADoubtfulRefusalUsesNoConnectionInDoubt) {
    node.config()["settings"]["family_info"]["slots"] = 1;
    node.start_ready();
    Client client = node.client();
    int ids = 100;
    const auto delivered = [&](const std::string& message_class, int messages) {
        std::vector<std::string> waiting;
        for (int i = 0; i < messages; ++i) {
            waiting.push_back("0000000000000" + std::to_string(ids++));
            ASSERT_EQ(enqueue(client, waiting.back(), message_class), "+OK");
        }
        for (const std::string& message : waiting) {
            const Exchange call = target.next();
            EXPECT_EQ(call.header("X-Call-Id"), message);
            EXPECT_EQ(call.header("Idempotency-Key"), "5c0f6e1a2b3d4c59");
            call.answer(200);
        }
    };
    delivered("keyed", 3);
    EXPECT_EQ(target.connections(), 1);
    delivered("unsafe", 3);  // none over the one in doubt; the third again over another
    EXPECT_EQ(target.connections(), 3);
    ASSERT_EQ(enqueue(client, id, "keyed"), "+OK");
    target.next().answer(503);
    target.next().answer(200);
    const int before = target.connections();
    delivered("keyed", 3);
    EXPECT_GT(target.connections(), before);
}

TEST_F(NodeTest, AnswersPipelinedRequestsInOrder) {
    node.start_ready();
    Client client = node.client();
    const std::string request = "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$16\r\n" + id +
                                "\r\n$25\r\nc=safe,t=acme,d=9,dest=99\r\n$1\r\nB\r\n";
    client.send(request + "*1\r\n$4\r\nPING\r\n*1\r\n$3\r\nODD\r\n");
    EXPECT_EQ(client.line(), "+OK");
    EXPECT_EQ(client.line(), "+PONG");
    EXPECT_EQ(client.line().substr(0, 4), "-ERR");
}

// A client whose connection was closed submits the same id again: it is one message.
TEST_F(NodeTest, DeliversAnIdSubmittedTwiceOnlyOnce) {
    node.start_ready();
    Client client = node.client();
    EXPECT_EQ(enqueue(client, id), "+OK");
    const Exchange call = target.next();
    EXPECT_EQ(enqueue(client, id), "+OK");
    call.answer(200);
    EXPECT_TRUE(target.no_request_within(300ms));
}

class RetriedAnswer : public NodeTest, public ::testing::WithParamInterface<const char*> {};
TEST_P(RetriedAnswer, IsRetriedUnderTheSameCallId) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange first = target.next();
    *GetParam() == '\0' ? first.hang_up() : first.write(GetParam());
    const Exchange second = target.next();
    EXPECT_EQ(second.header("X-Call-Id"), id);
    second.answer(200);
    EXPECT_TRUE(target.no_request_within(300ms));
}
INSTANTIATE_TEST_SUITE_P(Node, RetriedAnswer,
    ::testing::Values("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 503 X\r\nContent-Length: 0\r\nX-Over-Slots: 1\r\n\r\n",
        "HTTP/1.1 429 X\r\nContent-Length: 0\r\nRetry-After: what\r\n\r\n",
        "HTTP/1.1 999 X\r\nX-Load-Report: x0=,=,x9\r\nContent-Length: 0\r\n\r\n", "this is no HTTP\r\n\r\n",
        ""));

TEST_F(NodeTest, HonoursRetryAfter) {
    node.config()["settings"]["family_info"]["slots"] = 1;  // the second call waits for the first answer
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange call = target.next();
    const auto answered_at = Clock::now();
    call.answer(429, "Retry-After: 0.7\r\n");
    ASSERT_EQ(enqueue(client, "00000000000000aa"), "+OK");
    target.next().answer(200);
    EXPECT_GE(Clock::now() - answered_at, 700ms);
}

// 410 ends the message: no further call and no final status follow.
TEST_F(NodeTest, EndsAMessageAnsweredWith410WithoutAReport) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "safe", 1500), "+OK");
    target.next().answer(410);
    EXPECT_TRUE(target.no_request_within(300ms));
    ASSERT_EQ(enqueue(client, "00000000000000aa", "safe", 1500, "B", 99), "+OK");
    const auto ended = final_statuses(agent_request("/reports"));
    ASSERT_EQ(ended.size(), 1u);
    EXPECT_EQ(ended[0]["ref"], "00000000000000aa");
}

// The status line decides the outcome: a connection that breaks after it must not undo a delivery.
TEST_F(NodeTest, CountsAStatusLineOf200AsDelivered) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange call = target.next();
    call.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    call.hang_up();
    EXPECT_TRUE(target.no_request_within(500ms));
}

TEST_F(NodeTest, ReportsAMessageDeadAtItsDeadline) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "safe", 700), "+OK");
    const Exchange call = target.next();
    const auto ended = final_statuses(agent_request("/reports"));
    ASSERT_EQ(ended.size(), 1u);
    EXPECT_EQ(ended[0], (Json{{"ref", id}, {"result", "dead"}}));
    EXPECT_LE(std::stoi(call.header("X-Budget-Ms")), 700);
}

TEST_F(NodeTest, NeverRetriesAnUnsafeMessageThatMayHaveRun) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    target.next().hang_up();
    EXPECT_EQ(final_statuses(agent_request("/reports"))[0], (Json{{"ref", id}, {"result", "dead"}}));
    EXPECT_TRUE(target.no_request_within(300ms));
}

// A target may close an idle connection. A call written to it would end with a reset, and an unsafe message
// would be lost.
TEST_F(NodeTest, DoesNotReuseAConnectionThatTheTargetClosed) {
    node.start_ready();
    Client client = node.client();
    for (const char* message_id : {"00000000000000a1", "00000000000000a2", "00000000000000a3"}) {
        ASSERT_EQ(enqueue(client, message_id, "unsafe"), "+OK");
        const Exchange call = target.next();
        EXPECT_EQ(call.header("X-Call-Id"), message_id);
        call.answer(200);
        call.hang_up();
        std::this_thread::sleep_for(100ms);  // until the close has arrived
    }
    EXPECT_EQ(target.connections(), 3);
}

// A refused client is told when to retry, so that it does not come back while the forwarder is still full.
TEST_F(NodeTest, AnswersBusyWithRetryAfterAtTheLimitOfHeldMessages) {
    node.config()["settings"]["limits"]["most_held"] = 4;
    node.start_ready();
    Client client = node.client();
    std::string last;
    for (int i = 0; i < 8 && !last.starts_with("-"); ++i)
        last = enqueue(client, "00000000000000a" + std::to_string(i), "safe", 30000, "B", 99);
    ASSERT_TRUE(last.starts_with("-BUSY ")) << last;
    EXPECT_GT(std::stoi(last.substr(6)), 0);
}

// A message that the journal has no space for is refused.
TEST_F(NodeTest, AnswersBusyWhenTheJournalIsFull) {
    node.config()["limits"]["disk_mb"] = 0.3;
    node.start_ready();
    Client client = node.client();
    const std::string body(50'000, 'b');
    std::vector<std::string> answers;
    for (int i = 0; i < 6; ++i)
        answers.push_back(enqueue(client, "00000000000000a" + std::to_string(i), "safe", 30000, body, 99));
    EXPECT_EQ(answers.front(), "+OK");
    EXPECT_EQ(answers.back().substr(0, 5), "-BUSY");
}

// ---- restarts ----

TEST_F(NodeTest, AfterSigkillHeldMessagesAreDelivered) {
    node.config()["known"] = target_list(1, true, {});
    node.start_ready();
    {
        Client client = node.client();
        ASSERT_EQ(enqueue(client, id, "unsafe", 30000, "kept"), "+OK");
    }
    node.kill();
    EXPECT_TRUE(WIFSIGNALED(node.wait()));
    node.config()["known"] = target_list(1, true, {member("s-1", target.address(), 7)});
    node.start_ready();
    const Exchange call = target.next();
    EXPECT_EQ(call.header("X-Call-Id"), id);
    EXPECT_EQ(call.request.body(), "kept");
    EXPECT_LT(std::stoi(call.header("X-Budget-Ms")), 30000);
    call.answer(200);
    EXPECT_TRUE(target.no_request_within(300ms));
}

TEST_F(NodeTest, AfterSigkillAnUnsafeCallInProgressIsNotRetried) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    target.next();
    node.kill();
    node.wait();
    node.start_ready();
    EXPECT_EQ(final_statuses(agent_request("/reports"))[0], (Json{{"ref", id}, {"result", "dead"}}));
    EXPECT_TRUE(target.no_request_within(300ms));
}

TEST_F(NodeTest, AfterSigkillAKeyedCallIsRetriedWithinItsWindow) {
    node.config()["settings"]["classes"][1]["window_ms"] = 20000;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "keyed"), "+OK");
    target.next();
    node.kill();
    node.wait();
    node.start_ready();
    EXPECT_EQ(target.next().header("Idempotency-Key"), "5c0f6e1a2b3d4c59");
}
TEST_F(NodeTest, AfterSigkillAKeyedCallIsNotRetriedAfterItsWindow) {
    node.config()["settings"]["classes"][1]["window_ms"] = 100;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "keyed"), "+OK");
    target.next();
    node.kill();
    node.wait();
    std::this_thread::sleep_for(150ms);                            // until the window is over
    node.config()["settings"]["classes"][1]["window_ms"] = 20000;  // accepted under the old one
    node.start_ready();
    EXPECT_EQ(final_statuses(agent_request("/reports"))[0]["ref"], id);
    EXPECT_TRUE(target.no_request_within(300ms));
}

TEST_F(NodeTest, AfterSigkillADeliveredMessageIsNotSentAgain) {
    node.config()["settings"]["family_info"]["slots"] = 1;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    target.next().answer(200);
    ASSERT_EQ(enqueue(client, "00000000000000aa"), "+OK");
    const Exchange second = target.next();
    EXPECT_EQ(second.header("X-Call-Id"), "00000000000000aa");  // so the first call has freed its slot
    node.kill();
    node.wait();
    node.start_ready();
    const Exchange again = target.next();
    EXPECT_EQ(again.header("X-Call-Id"), "00000000000000aa");
    EXPECT_TRUE(target.no_request_within(300ms));
}

TEST_F(NodeTest, AfterSigkillAMessagePastItsDeadlineIsReportedAtOnce) {
    node.start_ready();
    {
        Client client = node.client();
        ASSERT_EQ(enqueue(client, id, "safe", 1000, "B", 99), "+OK");
    }
    node.kill();
    node.wait();
    std::this_thread::sleep_for(1100ms);  // past its deadline
    node.start_ready();
    EXPECT_EQ(final_statuses(agent_request("/reports"))[0], (Json{{"ref", id}, {"result", "dead"}}));
}

TEST_F(NodeTest, RepeatsAReportUntilItIsConfirmed) {
    node.start_ready();
    {
        Client client = node.client();
        ASSERT_EQ(enqueue(client, id, "safe", 100, "B", 99), "+OK");
    }
    agent_request("/reports").answer(500);
    agent_request("/reports").hang_up();
    agent_request("/reports");
    node.kill();
    node.wait();
    node.start_ready();
    const Exchange last = agent_request("/reports");
    EXPECT_EQ(final_statuses(last)[0]["ref"], id);
    last.answer(204);
    node.terminate();
    EXPECT_EQ(node.wait(), 0);
    EXPECT_TRUE(Journal(node.state(), 1 << 20).entries().empty());
}

TEST_F(NodeTest, SigtermHandsClientsOverAndDeliversHeldMessages) {
    node.start_ready();
    Client idle = node.client();
    Client client = node.client();
    EXPECT_EQ(idle.ask({"PING"}), "+PONG");
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange call = target.next();
    node.terminate();
    Client late = node.client();  // the load balancer still sends new connections for a moment
    EXPECT_EQ(enqueue(late, "00000000000000aa"), "+OK");
    EXPECT_TRUE(idle.ended());
    EXPECT_TRUE(late.ended());
    call.answer(200);
    target.next().answer(200);
    const int status = node.wait();
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
    EXPECT_TRUE(node.refuses());
}

TEST_F(NodeTest, SigtermEndsInTimeAndTheNextProcessDeliversTheRest) {
    node.config()["known"] = target_list(1, true, {});
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const auto started = Clock::now();
    node.terminate();
    const int status = node.wait();
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
    EXPECT_LT(Clock::now() - started, 3700ms + kDeadline);
    node.config()["known"] = target_list(1, true, {member("s-1", target.address(), 7)});
    node.start_ready();
    EXPECT_EQ(target.next().header("X-Call-Id"), id);
}

// ---- discovery ----

TEST_F(NodeTest, AppliesChangesOfTheTargetList) {
    HttpStub second_target;
    node.start_ready();
    const Exchange full_list = agent_request("/v1/servers");
    EXPECT_EQ(full_list.request.target(), "/v1/servers");
    respond_json(full_list, target_list(5, true, {member("s-1", target.address(), 7)}));
    const Exchange poll = agent_request("/v1/servers");
    EXPECT_EQ(std::string(poll.request.target()).substr(0, 27), "/v1/servers?from=5&hold_ms=");
    respond_json(poll, target_list(6, false,
                           {member("s-1", target.address(), 7, "terminating"),
                               member("s-2", second_target.address(), 7), {{"id", 5}}}));
    EXPECT_EQ(std::string(agent_request("/v1/servers").request.target()).substr(0, 18), "/v1/servers?from=6");
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    EXPECT_EQ(second_target.next().header("X-Call-Id"), id);
    EXPECT_TRUE(target.no_request_within(200ms));
}

TEST_F(NodeTest, RetriesDiscoveryAfterMissingOrInvalidAnswers) {
    node.start_ready();
    agent_request("/v1/servers");  // never answered
    agent_request("/v1/servers").hang_up();
    agent_request("/v1/servers").write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{\"re");
    agent_request("/v1/servers").write("no HTTP at all\r\n\r\n");
    respond_json(agent_request("/v1/servers"), Json::array());
    respond_json(agent_request("/v1/servers"), target_list(2, false, {}));
    EXPECT_EQ(agent_request("/v1/servers").request.target(), "/v1/servers");  // still requests the full list
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");  // and still uses the list that it has
    EXPECT_EQ(target.next().header("X-Call-Id"), id);
}

// ---- invalid input ----

// Datagrams from the address of a peer that are no valid gossip must do no harm.
TEST_F(NodeTest, IgnoresInvalidDatagramsFromPeers) {
    asio::io_context io;
    Udp::socket peer(io, {asio::ip::address_v4::loopback(), 0});
    const Udp::endpoint peer_listen = Udp::socket(io, {node.address().address(), 0}).local_endpoint();
    node.config()["peer_listen"] =
        peer_listen.address().to_string() + ":" + std::to_string(peer_listen.port());
    node.config()["peers"] = {"127.0.0.1:" + std::to_string(peer.local_endpoint().port())};
    node.start_ready();
    for (const std::size_t size : {0, 1, 256, 257, 9000})
        peer.send_to(asio::buffer(std::string(size, '\xff')), peer_listen);
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    target.next().answer(200);
    EXPECT_EQ(client.ask({"PING"}), "+PONG");
}

TEST_F(NodeTest, ClosesAnIdleConnectionForANewClientAtTheConnectionLimit) {
    node.config()["limits"]["sockets"] = 64;
    node.start_ready();
    std::list<Client> clients;
    for (int i = 0; i < 40; ++i) {
        clients.emplace_back(node.address());
        ASSERT_EQ(clients.back().ask({"PING"}), "+PONG") << i;
    }
    EXPECT_TRUE(clients.front().ended());
}

TEST_F(NodeTest, ReportsAnInvalidConfigurationInOneLogLine) {
    node.config()["settings"]["family_info"].erase("slots");
    node.start();
    const int status = node.wait();
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 1) << status;
    const std::string log = node.log();
    EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
    EXPECT_NE(log.find("slots"), std::string::npos) << log;
}

}  // namespace
}  // namespace lockgw
