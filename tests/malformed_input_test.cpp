// Clients that send what cannot be read, too much, too little or nothing.
#include "node_fixture.hpp"

namespace lockgw {
namespace {

using rig::command;

class RudeTest : public NodeTest {
protected:
    void expect_served(Client& client, const std::string& id) {
        ASSERT_EQ(enqueue(client, id), "+OK");
        const Exchange call = target.next();
        EXPECT_EQ(call.header("X-Call-Id"), id);
        call.answer(200);
    }
};

// An error in the framing ends the stream: nothing behind it can be read.
TEST_F(RudeTest, AnswersAndClosesWhatCannotBeRead) {
    node.start_ready();
    const std::string endless(100'000, 'x');
    for (const std::string& bytes : {std::string("GET / HTTP/1.1\r\n\r\n"), std::string("*1\r\n$-5\r\n"),
             std::string("*999999\r\n"), std::string("*1\r\n$60000000\r\n"),
             std::string("*1\r\n$99999999999999999999\r\n"), std::string("*2\r\n$4\r\nPINGPING\r\n"),
             std::string("\xff\xfe\r\n"), "*" + endless, "*1\r\n$" + endless}) {
        Client client = node.client();
        client.send(bytes);
        EXPECT_EQ(client.line().substr(0, 5), "-ERR ") << bytes.substr(0, 20);
        EXPECT_TRUE(client.ended());
    }
    Client client = node.client();
    expect_served(client, id);
}

// An error in the values leaves the stream readable.
TEST_F(RudeTest, AnswersBadValuesAndReadsOn) {
    node.start_ready();
    respond_json(agent_request("/v1/servers"), target_list(2, true, {member("s-1", target.address(), 7)}));
    const Exchange watch = agent_request("/v1/servers?from=2");
    Client client = node.client();
    EXPECT_EQ(client.ask({"ENQUEUE"}).substr(0, 5), "-ERR ");
    EXPECT_EQ(client.ask({"ENQUEUE", "0", "c=safe,t=acme,d=9,dest=7", "B"}).substr(0, 5), "-ERR ");  // no id
    EXPECT_EQ(enqueue(client, "xyz").substr(0, 5), "-ERR ");
    EXPECT_EQ(enqueue(client, id, "odd\r\n").substr(0, 5), "-ERR ");
    EXPECT_EQ(enqueue(client, id, "safe", -5).substr(0, 5), "-ERR ");
    for (const char* words : {"c=safe,t=acme,d=soon,dest=7", "c=safe,t=acme,d=nan,dest=7",
             "c=safe,t=acme,d=9", "c=safe,t=acme,d=9,dest=99999999999999999999", "safe"})
        EXPECT_EQ(client.ask({"ENQUEUE", "0", id, words, "B"}).substr(0, 5), "-ERR ") << words;
    for (const int nowhere : {-1, 8, 70000})
        EXPECT_EQ(enqueue(client, id, "safe", 30000, "B", nowhere).substr(0, 5), "-ERR ") << nowhere;
    expect_served(client, id);
}

// Before discovery has told its whole list a destination may be new: no is not final then.
TEST_F(RudeTest, IsBusyForAnUnknownDestinationUntilItHasAWholeList) {
    node.start_ready();
    Client client = node.client();
    EXPECT_EQ(enqueue(client, id, "safe", 30000, "B", 8).substr(0, 6), "-BUSY ");
}

// No message of a class may be delivered for longer than the class allows, whatever its client says.
TEST_F(RudeTest, BelievesNoDeadlineBeyondTheClass) {
    node.config()["settings"]["classes"][0]["hard_limit_ms"] = 9000;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "safe", 80'000'000), "+OK");
    EXPECT_LE(std::stoi(target.next().header("X-Budget-Ms")), 9000);
}

TEST_F(RudeTest, EndsHalfACommandAndASilentConnection) {
    node.start_ready();
    Client half = node.client(), silent = node.client(), usual = node.client();
    EXPECT_EQ(usual.ask({"PING"}), "+PONG");
    half.send(command({"PING", "x"}).substr(0, 12));
    EXPECT_EQ(half.line().substr(0, 5), "-ERR ");
    EXPECT_TRUE(half.ended());
    EXPECT_TRUE(silent.ended());
    EXPECT_EQ(usual.ask({"PING"}), "+PONG");  // it may rest between requests while there is room
}

TEST_F(RudeTest, ServesTheUsualAmongHundredsThatSayNothing) {
    node.start_ready();
    std::list<Client> silent;
    for (int i = 0; i < 500; ++i) silent.emplace_back(node.address());
    Client client = node.client();
    expect_served(client, id);
    for (Client& one : silent) EXPECT_TRUE(one.ended());
    expect_served(client, "00000000000000aa");
}

// A connection with hundreds of commands waiting is answered in order, and others meanwhile.
TEST_F(RudeTest, TakesHundredsOfCommandsAtOnce) {
    node.start_ready();
    Client many = node.client(), usual = node.client();
    std::string bytes;
    for (int i = 0; i < 1000; ++i)
        bytes += command({"ENQUEUE", "0", "no id", "c=safe", "B"}) + command({"PING"});
    many.send(bytes);
    expect_served(usual, id);
    for (int i = 0; i < 1000; ++i) {
        ASSERT_EQ(many.line().substr(0, 5), "-ERR ") << i;
        ASSERT_EQ(many.line(), "+PONG") << i;
    }
}

// Slow writers: each byte comes by itself, with a client's whole batch in between.
TEST_F(RudeTest, ReadsACommandThatComesByteByByte) {
    node.start_ready();
    Client slow = node.client(), usual = node.client();
    const std::string bytes = command(
        {"ENQUEUE", "0000000000000000", id, "c=safe,t=acme,d=30000,k=5c0f6e1a2b3d4c59,dest=7", "BODY"});
    for (std::size_t i = 0; i + 1 < bytes.size(); ++i) {
        slow.send(bytes.substr(i, 1));
        if (i == bytes.size() / 2) expect_served(usual, "00000000000000aa");
    }
    slow.send(bytes.substr(bytes.size() - 1));
    EXPECT_EQ(slow.line(), "+OK");
    const Exchange call = target.next();
    EXPECT_EQ(call.header("X-Call-Id"), id);
    EXPECT_EQ(call.request.body(), "BODY");
    call.answer(200);
}

// Unknown commands in the middle of a batch are answered in their place, and the rest is served.
TEST_F(RudeTest, AnswersUnknownCommandsInTheMiddleOfABatch) {
    node.start_ready();
    Client client = node.client();
    client.send(command({"PING"}) + command({"FLUSHALL"}) + command({"PING"}) + command({"", "x"}) +
                command({"PING"}));
    for (const char* answer : {"+PONG", "-ERR ", "+PONG", "-ERR ", "+PONG"})
        EXPECT_EQ(client.line().substr(0, 5), answer);
    expect_served(client, id);
}

// Ten thousand commands at once, and their sender is gone before it has read an answer, again and again:
// nothing of it stays, and others are served meanwhile.
TEST_F(RudeTest, LivesThroughFloodsWhoseSendersAreGone) {
    constexpr int kFloods = 8, kCommands = 10'000;
    constexpr std::size_t kMemory = 64u << 20;
    node.start_ready();
    Client usual = node.client();
    expect_served(usual, id);
    const auto descriptors = node.descriptors();
    const auto memory = node.resident_bytes();
    std::string flood;
    for (int i = 0; i < kCommands; ++i) flood += command({"PING", "a text that is sent back to its sender"});
    for (int i = 0; i < kFloods; ++i) {
        Client client = node.client();
        std::thread sender([&] {
            try {
                client.send(flood);
            } catch (const boost::system::system_error&) {  // turned away meanwhile
            }
        });
        expect_served(usual, "00000000000000b" + std::to_string(i));
        sender.join();
        client.reset();
    }
    const auto until = Clock::now() + kDeadline;
    while (node.descriptors() > descriptors && Clock::now() < until) std::this_thread::sleep_for(10ms);
    EXPECT_LE(node.descriptors(), descriptors);
    EXPECT_LE(node.resident_bytes(), memory + kMemory);
}

/// Bodies of discovery's answers that are JSON, and no list or a strange one.
class StrangeList : public RudeTest, public ::testing::WithParamInterface<const char*> {};

// The list as known stays in force, the agent is asked again, and messages go on.
TEST_P(StrangeList, ChangesNothingOfWhatIsKnown) {
    node.start_ready();
    const Exchange first = agent_request("/v1/servers");
    const std::string body = GetParam();
    first.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const Exchange again = agent_request("/v1/servers");
    Client client = node.client();
    expect_served(client, id);
    respond_json(again, target_list(5, true, {member("s-1", target.address(), 7)}));
    EXPECT_EQ(std::string(agent_request("/v1/servers").request.target()).find("/v1/servers?from=5"), 0u);
    expect_served(client, "00000000000000aa");
}
INSTANTIATE_TEST_SUITE_P(Rude, StrangeList,
    ::testing::Values("[]", "null", "17", "\"list\"", "{}", R"({"revision":2})",
        R"({"revision":"2","complete":true,"members":[]})", R"({"revision":2,"complete":1,"members":[]})",
        R"({"revision":2,"complete":true,"members":{}})",
        R"({"revision":-2,"complete":true,"members":"none"})",
        R"({"revision":2e300,"complete":false,"members":null})"));

// An entry that stands twice: the one that stops its target counts, for nothing may be sent where one says
// so.
TEST_F(RudeTest, AnEntryThatStandsTwiceInAListStopsItsTargetIfOneDoes) {
    HttpStub other;
    node.start_ready();
    respond_json(agent_request("/v1/servers"),
        target_list(2, true,
            {member("s-1", target.address(), 7, "terminating"), member("s-1", target.address(), 7),
                member("s-2", other.address(), 7)}));
    agent_request("/v1/servers?from=2");
    Client client = node.client();
    for (const char* one : {"00000000000000a1", "00000000000000a2", "00000000000000a3"}) {
        ASSERT_EQ(enqueue(client, one), "+OK");
        other.next().answer(200);
    }
    EXPECT_TRUE(target.no_request_within(100ms));
}

// A list without end: it is given up, its memory is bounded, and messages go on meanwhile.
TEST_F(RudeTest, BoundsAListWithoutEnd) {
    constexpr std::size_t kChunk = 1 << 20, kChunks = 64, kMemory = 48u << 20;
    node.config()["limits"]["memory_mb"] = 64;
    node.start_ready();
    Client client = node.client();
    expect_served(client, id);
    const auto memory = node.resident_bytes();
    std::string endless = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t i = 0; i < kChunks; ++i) endless += "100000\r\n" + std::string(kChunk, ' ') + "\r\n";
    agent_request("/v1/servers").write(endless);
    std::size_t most = 0;
    for (int i = 0; i < 8; ++i) {
        expect_served(client, "00000000000000c" + std::to_string(i));
        most = std::max(most, node.resident_bytes());
    }
    EXPECT_LE(most, memory + kMemory);
    respond_json(agent_request("/v1/servers"), target_list(9, true, {member("s-1", target.address(), 7)}));
    agent_request("/v1/servers?from=9");
    expect_served(client, "00000000000000aa");
}

// Half commands of many clients, long ones, stay within a share of the memory.
TEST_F(RudeTest, BoundsWhatUnendedCommandsHold) {
    node.config()["limits"]["memory_mb"] = 4;
    node.start_ready();
    std::list<Client> halves;
    const std::string half = "*2\r\n$4\r\nPING\r\n$60000\r\n" + std::string(50'000, 'h');
    for (int i = 0; i < 60; ++i) {
        halves.emplace_back(node.address());
        halves.back().send(half);
    }
    EXPECT_EQ(halves.front().line(), "-ERR too much at once");
    Client client = node.client();
    expect_served(client, id);
}

// Memory and descriptors must not grow with the connections that have been.
TEST_F(RudeTest, KeepsNothingOfConnectionsThatEnded) {
    node.start_ready();
    Client usual = node.client();
    EXPECT_EQ(usual.ask({"PING"}), "+PONG");
    const auto before = node.descriptors();
    for (int i = 0; i < 300; ++i) {
        Client client = node.client();
        client.send(i % 2 == 0 ? "noise\r\n" : "*1\r\n");
        if (i % 2 == 0) {
            EXPECT_EQ(client.line().substr(0, 5), "-ERR ");
        }
    }
    const auto until = Clock::now() + kDeadline;
    while (node.descriptors() > before && Clock::now() < until) std::this_thread::sleep_for(10ms);
    EXPECT_LE(node.descriptors(), before);
}

}  // namespace
}  // namespace lockgw
