// The built program between stub sockets: clients, targets and discovery.
#include "node_fixture.hpp"

namespace lockgw {
namespace {

// One of a hundred that start together: it serves by the list as last had, asks for what has changed since,
// in its own time within 2 s, and holds long, for each end of a watch is a call.
TEST_F(NodeTest, OneOfManyAsksForChangesOnlyAndHoldsLong) {
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
// What the agent has counts as told, and new sends must have stopped 500 ms after a drain is: however many
// start together, none may wait for longer with its first request.
TEST_F(NodeTest, OneOfVeryManyAsksBeforeADrainWouldBind) {
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
// Where drains bind sooner they are asked about sooner. This seed draws the end of the span; a busy machine
// only ever adds to it, so that the shortest of some starts tells.
TEST_F(NodeTest, OneOfVeryManyAsksByTheGraceOfTheSettings) {
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
// A request that hangs is followed by another the sooner, too: 0.4 of the grace after it should have been
// answered.
TEST_F(NodeTest, AsksBesideAnAnswerThatHangsByTheGraceOfTheSettings) {
    constexpr auto kWait = 1000ms, kUsual = 200ms;  // for a whole list; and what it may be late by usually
    node.config()["settings"]["n_instances"] = 3;   // asks for the whole list
    node.config()["settings"]["contract"]["drain_grace_ms"] = 50;
    auto shortest = Clock::duration::max();
    for (int i = 0; i < 5; ++i) {
        node.start();
        const Exchange hangs = agent_request("/v1/servers");
        const auto asked = Clock::now();
        agent_request("/v1/servers");
        shortest = std::min(shortest, Clock::now() - asked);
        node.kill(), node.wait();
    }
    EXPECT_LT(shortest, kWait + kUsual - 50ms);
}
// One of very many holds its watches for 10 s. A whole list, for which it asks without a hold, must not be
// waited for as long: with that request silent nothing is watched.
TEST_F(NodeTest, OneOfVeryManyAsksAgainSoonWhereAWholeListNeverComes) {
    node.config()["settings"]["n_instances"] = 300;
    node.config()["known"] = nullptr;
    node.start();
    std::vector<Exchange> silent;  // their connections stay open
    for (int hung = 0; hung < 3; ++hung) {
        const auto before = Clock::now();
        silent.push_back(agent_request("/v1/servers"));
        EXPECT_LT(Clock::now() - before, 5s) << hung;
        EXPECT_EQ(std::string(silent.back().request.target()), "/v1/servers");
    }
}
TEST_F(NodeTest, OneOfFewAsksForTheWholeListAtOnce) {
    node.config()["settings"]["n_instances"] = 3;
    node.start();
    const Exchange first = agent_request("/v1/servers");
    EXPECT_EQ(std::string(first.request.target()), "/v1/servers");
    respond_json(first, target_list(1, true, {member("s-1", target.address(), 7)}));
    EXPECT_EQ(std::string(agent_request("/v1/servers").request.target()), "/v1/servers?from=1&hold_ms=1500");
}

TEST_F(NodeTest, DeliversUnchangedOverOneConnection) {
    node.config()["settings"]["family_info"]["slots"] = 1;  // the second call follows the first answer
    node.start_ready();
    Client client = node.client();
    const std::string body("\0\r\n$5\xff", 6);
    // both are held before the first answer: a connection that nothing waits for is closed
    const std::vector<std::string> ids{id, "00000000000000aa"};
    for (const std::string& one : ids) ASSERT_EQ(enqueue(client, one, "keyed", 30000, body), "+OK");
    for (const std::string& one : ids) {
        const Exchange call = target.next();
        EXPECT_EQ(call.request.method(), http::verb::post);
        EXPECT_EQ(call.request.target(), "/v1/messages");
        EXPECT_EQ(call.header("X-Call-Id"), one);
        EXPECT_EQ(call.header("Idempotency-Key"), "5c0f6e1a2b3d4c59");
        EXPECT_GT(std::stoi(call.header("X-Budget-Ms")), 0);
        EXPECT_LE(std::stoi(call.header("X-Budget-Ms")), 30000);
        EXPECT_EQ(call.request.body(), body);
        call.answer(200, "X-Load-Report: x0=0.4,x1=25\r\n");
    }
    EXPECT_EQ(target.connections(), 1);
}

TEST_F(NodeTest, TakesPipelinedRequestsAndAnswersInOrder) {
    node.start_ready();
    Client client = node.client();
    const std::string request = "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$16\r\n" + id +
                                "\r\n$25\r\nc=safe,t=acme,d=9,dest=99\r\n$1\r\nB\r\n";
    client.send(request + "*1\r\n$4\r\nPING\r\n*1\r\n$3\r\nODD\r\n");
    EXPECT_EQ(client.line(), "+OK");
    EXPECT_EQ(client.line(), "+PONG");
    EXPECT_EQ(client.line().substr(0, 4), "-ERR");
}

// An id comes twice when its client met a closed connection: it is one message.
TEST_F(NodeTest, TakesAnIdOnOnce) {
    node.start_ready();
    Client client = node.client();
    EXPECT_EQ(enqueue(client, id), "+OK");
    const Exchange call = target.next();
    EXPECT_EQ(enqueue(client, id), "+OK");
    call.answer(200);
    EXPECT_TRUE(target.no_request_within(300ms));
}

class Repeated : public NodeTest, public ::testing::WithParamInterface<const char*> {};
TEST_P(Repeated, GoesAgainUnderTheSameId) {
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
INSTANTIATE_TEST_SUITE_P(Node, Repeated,
    ::testing::Values("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 503 X\r\nContent-Length: 0\r\nX-Over-Slots: 1\r\n\r\n",
        "HTTP/1.1 504 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 429 X\r\nContent-Length: 0\r\nRetry-After: what\r\n\r\n",
        "HTTP/1.1 999 X\r\nX-Load-Report: x0=,=,x9\r\nContent-Length: 0\r\n\r\n", "this is no HTTP\r\n\r\n",
        ""));

TEST_F(NodeTest, HeedsAToldWait) {
    node.config()["settings"]["family_info"]["slots"] = 1;  // nothing goes out before the wait is told
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange call = target.next();
    const auto told = Clock::now();
    call.answer(429, "Retry-After: 0.7\r\n");
    ASSERT_EQ(enqueue(client, "00000000000000aa"), "+OK");
    target.next().answer(200);
    EXPECT_GE(Clock::now() - told, 700ms);
}

// 410: the message is over; neither another call nor a notice is owed.
TEST_F(NodeTest, EndsAWithdrawnMessageInSilence) {
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

// The outcome stands with the first line: a connection that breaks behind it must not undo a delivery.
TEST_F(NodeTest, CountsAFirstLineOf200AsDelivered) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange call = target.next();
    call.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    call.hang_up();
    EXPECT_TRUE(target.no_request_within(500ms));
}

TEST_F(NodeTest, GivesUpACallByClosingAndTellsTheEnd) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "safe", 700), "+OK");
    const Exchange call = target.next();
    const auto ended = final_statuses(agent_request("/reports"));
    ASSERT_EQ(ended.size(), 1u);
    EXPECT_EQ(ended[0], (Json{{"ref", id}, {"result", "dead"}}));
    EXPECT_LE(std::stoi(call.header("X-Budget-Ms")), 700);
}

TEST_F(NodeTest, NeverRepeatsAnUnsafeMessageInDoubt) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    target.next().hang_up();
    EXPECT_EQ(final_statuses(agent_request("/reports"))[0], (Json{{"ref", id}, {"result", "dead"}}));
    EXPECT_TRUE(target.no_request_within(300ms));
}

// A target may close an idle connection: a call written to it would end as a reset, and an unsafe one is
// lost.
TEST_F(NodeTest, DoesNotReuseAConnectionThatTheTargetClosed) {
    node.start_ready();
    Client client = node.client();
    for (const char* one : {"00000000000000a1", "00000000000000a2", "00000000000000a3"}) {
        ASSERT_EQ(enqueue(client, one, "unsafe"), "+OK");
        const Exchange call = target.next();
        EXPECT_EQ(call.header("X-Call-Id"), one);
        call.answer(200);
        call.hang_up();
        std::this_thread::sleep_for(100ms);  // the close is on its way
    }
    EXPECT_EQ(target.connections(), 3);
}

// A client that is refused is told when to come back: otherwise it comes into the same full house.
TEST_F(NodeTest, AnswersBusyAndWhenToComeBackWhenItHoldsAllThatItMay) {
    node.config()["settings"]["limits"]["most_held"] = 4;
    node.start_ready();
    Client client = node.client();
    std::string last;
    for (int i = 0; i < 8 && !last.starts_with("-"); ++i)
        last = enqueue(client, "00000000000000a" + std::to_string(i), "safe", 30000, "B", 99);
    ASSERT_TRUE(last.starts_with("-BUSY ")) << last;
    EXPECT_GT(std::stoi(last.substr(6)), 0);
}

// Room on disk is finite: what cannot be kept is not owed.
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

TEST_F(NodeTest, DeliversAfterSigkillWhatItHeld) {
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

TEST_F(NodeTest, AfterSigkillAnUnsafeCallThatWasOutIsNotRepeated) {
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

TEST_F(NodeTest, AfterSigkillAKeyedCallGoesAgainInsideItsWindow) {
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
TEST_F(NodeTest, AfterSigkillAKeyedCallDoesNotGoAgainWhenItsWindowIsOver) {
    node.config()["settings"]["classes"][1]["window_ms"] = 100;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "keyed"), "+OK");
    target.next();
    node.kill();
    node.wait();
    std::this_thread::sleep_for(150ms);                            // the window is over
    node.config()["settings"]["classes"][1]["window_ms"] = 20000;  // it was taken under the other
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
    const Exchange out = target.next();
    EXPECT_EQ(out.header("X-Call-Id"), "00000000000000aa");  // so the first one's slot is free again
    node.kill();
    node.wait();
    node.start_ready();
    const Exchange again = target.next();
    EXPECT_EQ(again.header("X-Call-Id"), "00000000000000aa");
    EXPECT_TRUE(target.no_request_within(300ms));
}

TEST_F(NodeTest, AfterSigkillAnOverdueMessageGetsItsNoticeAtOnce) {
    node.start_ready();
    {
        Client client = node.client();
        ASSERT_EQ(enqueue(client, id, "safe", 1000, "B", 99), "+OK");
    }
    node.kill();
    node.wait();
    std::this_thread::sleep_for(1100ms);  // its time runs out meanwhile
    node.start_ready();
    EXPECT_EQ(final_statuses(agent_request("/reports"))[0], (Json{{"ref", id}, {"result", "dead"}}));
}

TEST_F(NodeTest, RepeatsANoticeUntilItIsConfirmed) {
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

TEST_F(NodeTest, AfterSigtermHandsClientsOnAndDeliversWhatItHolds) {
    node.start_ready();
    Client idle = node.client();
    Client client = node.client();
    EXPECT_EQ(idle.ask({"PING"}), "+PONG");
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange call = target.next();
    node.terminate();
    Client late = node.client();  // the front goes on dealing out connections for a moment
    EXPECT_EQ(enqueue(late, "00000000000000aa"), "+OK");
    EXPECT_TRUE(idle.ended());
    EXPECT_TRUE(late.ended());
    call.answer(200);
    target.next().answer(200);
    const int status = node.wait();
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
    EXPECT_TRUE(node.refuses());
}

TEST_F(NodeTest, AfterSigtermEndsInTimeAndTakesUpTheRest) {
    node.config()["known"] = target_list(1, true, {});
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const auto begun = Clock::now();
    node.terminate();
    const int status = node.wait();
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
    EXPECT_LT(Clock::now() - begun, 3700ms + kDeadline);
    node.config()["known"] = target_list(1, true, {member("s-1", target.address(), 7)});
    node.start_ready();
    EXPECT_EQ(target.next().header("X-Call-Id"), id);
}

// ---- discovery ----

TEST_F(NodeTest, FollowsChangesOfTheList) {
    HttpStub other;
    node.start_ready();
    const Exchange whole = agent_request("/v1/servers");
    EXPECT_EQ(whole.request.target(), "/v1/servers");
    respond_json(whole, target_list(5, true, {member("s-1", target.address(), 7)}));
    const Exchange watch = agent_request("/v1/servers");
    EXPECT_EQ(std::string(watch.request.target()).substr(0, 27), "/v1/servers?from=5&hold_ms=");
    respond_json(watch, target_list(6, false,
                            {member("s-1", target.address(), 7, "terminating"),
                                member("s-2", other.address(), 7), {{"id", 5}}}));
    EXPECT_EQ(std::string(agent_request("/v1/servers").request.target()).substr(0, 18), "/v1/servers?from=6");
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    EXPECT_EQ(other.next().header("X-Call-Id"), id);
    EXPECT_TRUE(target.no_request_within(200ms));
}

TEST_F(NodeTest, ReconnectsToDiscoveryThatIsSilentOrOdd) {
    node.start_ready();
    agent_request("/v1/servers");  // never answered
    agent_request("/v1/servers").hang_up();
    agent_request("/v1/servers").write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{\"re");
    agent_request("/v1/servers").write("no HTTP at all\r\n\r\n");
    respond_json(agent_request("/v1/servers"), Json::array());
    respond_json(agent_request("/v1/servers"), target_list(2, false, {}));
    EXPECT_EQ(agent_request("/v1/servers").request.target(), "/v1/servers");  // still wants the whole list
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");  // and goes on with the list that it has
    EXPECT_EQ(target.next().header("X-Call-Id"), id);
}

// ---- bad input ----

// The module uses no notes so far; what comes in must do no harm all the same.
TEST_F(NodeTest, LivesThroughOddDatagrams) {
    asio::io_context io;
    Udp::socket peer(io, {asio::ip::address_v4::loopback(), 0});
    const Udp::endpoint listens = Udp::socket(io, {node.address().address(), 0}).local_endpoint();
    node.config()["peer_listen"] = listens.address().to_string() + ":" + std::to_string(listens.port());
    node.config()["peers"] = {"127.0.0.1:" + std::to_string(peer.local_endpoint().port())};
    node.start_ready();
    for (const std::size_t size : {0, 1, 256, 257, 9000})
        peer.send_to(asio::buffer(std::string(size, '\xff')), listens);
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    target.next().answer(200);
    EXPECT_EQ(client.ask({"PING"}), "+PONG");
}

TEST_F(NodeTest, ClosesAnIdleConnectionForANewClientAtItsLimit) {
    node.config()["limits"]["sockets"] = 64;
    node.start_ready();
    std::list<Client> clients;
    for (int i = 0; i < 40; ++i) {
        clients.emplace_back(node.address());
        ASSERT_EQ(clients.back().ask({"PING"}), "+PONG") << i;
    }
    EXPECT_TRUE(clients.front().ended());
}

TEST_F(NodeTest, EndsABadStartWithOnePlainLine) {
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
