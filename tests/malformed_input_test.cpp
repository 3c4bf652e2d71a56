// Malformed, oversized, incomplete and missing input, from clients and from discovery.
#include "node_fixture.hpp"

namespace lockgw {
namespace {

using rig::command;

class MalformedInputTest : public NodeTest {
protected:
    /// Submits a message and expects its delivery.
    void expect_delivery(Client& client, const std::string& id) {
        ASSERT_EQ(enqueue(client, id), "+OK");
        const Exchange call = target.next();
        EXPECT_EQ(call.header("X-Call-Id"), id);
        call.answer(200);
    }
};

// After an error in the framing nothing more can be read from the stream, so the connection is closed.
TEST_F(MalformedInputTest, FramingErrorsAreAnsweredAndTheConnectionIsClosed) {
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
    expect_delivery(client, id);
}

// After invalid values the stream is still readable.
TEST_F(MalformedInputTest, InvalidValuesAreAnsweredAndTheConnectionStaysOpen) {
    node.start_ready();
    respond_json(agent_request("/v1/servers"), target_list(2, true, {member("s-1", target.address(), 7)}));
    const Exchange poll = agent_request("/v1/servers?from=2");
    Client client = node.client();
    EXPECT_EQ(client.ask({"ENQUEUE"}).substr(0, 5), "-ERR ");
    EXPECT_EQ(client.ask({"ENQUEUE", "0", "c=safe,t=acme,d=9,dest=7", "B"}).substr(0, 5), "-ERR ");  // no id
    EXPECT_EQ(enqueue(client, "xyz").substr(0, 5), "-ERR ");
    EXPECT_EQ(enqueue(client, id, "odd\r\n").substr(0, 5), "-ERR ");
    EXPECT_EQ(enqueue(client, id, "safe", -5).substr(0, 5), "-ERR ");
    for (const char* words : {"c=safe,t=acme,d=soon,dest=7", "c=safe,t=acme,d=nan,dest=7",
             "c=safe,t=acme,d=9", "c=safe,t=acme,d=9,dest=99999999999999999999", "safe"})
        EXPECT_EQ(client.ask({"ENQUEUE", "0", id, words, "B"}).substr(0, 5), "-ERR ") << words;
    for (const int unknown : {-1, 8, 70000})
        EXPECT_EQ(enqueue(client, id, "safe", 30000, "B", unknown).substr(0, 5), "-ERR ") << unknown;
    expect_delivery(client, id);
}

// Until the full list has arrived from discovery, an unknown destination may be a new one: the message is
// refused as busy and not rejected.
TEST_F(MalformedInputTest, UnknownDestinationsAreBusyUntilTheFullListArrives) {
    node.start_ready();
    Client client = node.client();
    EXPECT_EQ(enqueue(client, id, "safe", 30000, "B", 8).substr(0, 6), "-BUSY ");
}

// The deadline of a class bounds the deadline that a client asks for.
TEST_F(MalformedInputTest, DeadlinesAreCappedByTheClass) {
    node.config()["settings"]["classes"][0]["hard_limit_ms"] = 9000;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "safe", 80'000'000), "+OK");
    EXPECT_LE(std::stoi(target.next().header("X-Budget-Ms")), 9000);
}

TEST_F(MalformedInputTest, IncompleteCommandsAndSilentConnectionsTimeOut) {
    node.start_ready();
    Client incomplete = node.client(), silent = node.client(), normal = node.client();
    EXPECT_EQ(normal.ask({"PING"}), "+PONG");
    incomplete.send(command({"PING", "x"}).substr(0, 12));
    EXPECT_EQ(incomplete.line().substr(0, 5), "-ERR ");
    EXPECT_TRUE(incomplete.ended());
    EXPECT_TRUE(silent.ended());
    EXPECT_EQ(normal.ask({"PING"}), "+PONG");  // it may stay idle between requests while connections are free
}

TEST_F(MalformedInputTest, ClientsAreServedBesideHundredsOfSilentConnections) {
    node.start_ready();
    std::list<Client> silent;
    for (int i = 0; i < 500; ++i) silent.emplace_back(node.address());
    Client client = node.client();
    expect_delivery(client, id);
    for (Client& connection : silent) EXPECT_TRUE(connection.ended());
    expect_delivery(client, "00000000000000aa");
}

// Hundreds of pipelined commands are answered in order, and other clients are served meanwhile.
TEST_F(MalformedInputTest, HundredsOfPipelinedCommandsAreAnsweredInOrder) {
    node.start_ready();
    Client pipelining = node.client(), normal = node.client();
    std::string bytes;
    for (int i = 0; i < 1000; ++i)
        bytes += command({"ENQUEUE", "0", "no id", "c=safe", "B"}) + command({"PING"});
    pipelining.send(bytes);
    expect_delivery(normal, id);
    for (int i = 0; i < 1000; ++i) {
        ASSERT_EQ(pipelining.line().substr(0, 5), "-ERR ") << i;
        ASSERT_EQ(pipelining.line(), "+PONG") << i;
    }
}

// A command may arrive byte by byte, while another client is served.
TEST_F(MalformedInputTest, ACommandMayArriveByteByByte) {
    node.start_ready();
    Client slow = node.client(), normal = node.client();
    const std::string bytes = command(
        {"ENQUEUE", "0000000000000000", id, "c=safe,t=acme,d=30000,k=5c0f6e1a2b3d4c59,dest=7", "BODY"});
    for (std::size_t i = 0; i + 1 < bytes.size(); ++i) {
        slow.send(bytes.substr(i, 1));
        if (i == bytes.size() / 2) expect_delivery(normal, "00000000000000aa");
    }
    slow.send(bytes.substr(bytes.size() - 1));
    EXPECT_EQ(slow.line(), "+OK");
    const Exchange call = target.next();
    EXPECT_EQ(call.header("X-Call-Id"), id);
    EXPECT_EQ(call.request.body(), "BODY");
    call.answer(200);
}

// Unknown commands in a pipelined batch are answered in their place, and the others are served.
TEST_F(MalformedInputTest, UnknownCommandsInABatchAreAnsweredInOrder) {
    node.start_ready();
    Client client = node.client();
    client.send(command({"PING"}) + command({"FLUSHALL"}) + command({"PING"}) + command({"", "x"}) +
                command({"PING"}));
    for (const char* answer : {"+PONG", "-ERR ", "+PONG", "-ERR ", "+PONG"})
        EXPECT_EQ(client.line().substr(0, 5), answer);
    expect_delivery(client, id);
}

// Clients repeatedly send ten thousand commands at once and disconnect before they have read a reply. Memory
// stays bounded, no descriptors are leaked, and other clients are served meanwhile.
TEST_F(MalformedInputTest, FloodsOfDisconnectedClientsLeaveNothingBehind) {
    constexpr int kFloods = 8, kCommands = 10'000;
    constexpr std::size_t kMemory = 64u << 20;
    node.start_ready();
    Client normal = node.client();
    expect_delivery(normal, id);
    const auto descriptors = node.descriptors();
    const auto memory = node.resident_bytes();
    std::string flood;
    for (int i = 0; i < kCommands; ++i) flood += command({"PING", "a text that is sent back to its sender"});
    for (int i = 0; i < kFloods; ++i) {
        Client client = node.client();
        std::thread sender([&] {
            try {
                client.send(flood);
            } catch (const boost::system::system_error&) {  // disconnected by the forwarder meanwhile
            }
        });
        expect_delivery(normal, "00000000000000b" + std::to_string(i));
        sender.join();
        client.reset();
    }
    const auto until = Clock::now() + kDeadline;
    // deliveries over a used connection are reported: the agent takes the reports, so that their connections
    // end
    while (node.descriptors() > descriptors && Clock::now() < until) final_status_of("of nobody", 10ms);
    EXPECT_LE(node.descriptors(), descriptors);
    EXPECT_LE(node.resident_bytes(), memory + kMemory);
}

/// Answers of discovery that are valid JSON and not a valid list.
class InvalidList : public MalformedInputTest, public ::testing::WithParamInterface<const char*> {};

// The known list stays in force, the agent is polled again, and messages are delivered.
TEST_P(InvalidList, LeavesTheKnownListInForce) {
    node.start_ready();
    const Exchange first = agent_request("/v1/servers");
    const std::string body = GetParam();
    first.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const Exchange again = agent_request("/v1/servers");
    Client client = node.client();
    expect_delivery(client, id);
    respond_json(again, target_list(5, true, {member("s-1", target.address(), 7)}));
    EXPECT_EQ(std::string(agent_request("/v1/servers").request.target()).find("/v1/servers?from=5"), 0u);
    expect_delivery(client, "00000000000000aa");
}
INSTANTIATE_TEST_SUITE_P(MalformedInput, InvalidList,
    ::testing::Values("[]", "null", "17", "\"list\"", "{}", R"({"revision":2})",
        R"({"revision":"2","complete":true,"members":[]})", R"({"revision":2,"complete":1,"members":[]})",
        R"({"revision":2,"complete":true,"members":{}})",
        R"({"revision":-2,"complete":true,"members":"none"})",
        R"({"revision":2e300,"complete":false,"members":null})"));

// If a list has two entries for one target and one of them drains it, the target gets no new calls.
TEST_F(MalformedInputTest, OfDuplicateListEntriesTheDrainingOneCounts) {
    HttpStub second_target;
    node.start_ready();
    respond_json(agent_request("/v1/servers"),
        target_list(2, true,
            {member("s-1", target.address(), 7, "terminating"), member("s-1", target.address(), 7),
                member("s-2", second_target.address(), 7)}));
    agent_request("/v1/servers?from=2");
    Client client = node.client();
    for (const char* message_id : {"00000000000000a1", "00000000000000a2", "00000000000000a3"}) {
        ASSERT_EQ(enqueue(client, message_id), "+OK");
        second_target.next().answer(200);
    }
    EXPECT_TRUE(target.no_request_within(100ms));
}

// An endless list is abandoned at a size limit, so that its memory is bounded, and messages are delivered
// meanwhile.
TEST_F(MalformedInputTest, AnEndlessListIsAbandoned) {
    constexpr std::size_t kChunk = 1 << 20, kChunks = 64, kMemory = 48u << 20;
    node.config()["limits"]["memory_mb"] = 64;
    node.start_ready();
    Client client = node.client();
    expect_delivery(client, id);
    const auto memory = node.resident_bytes();
    std::string endless = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t i = 0; i < kChunks; ++i) endless += "100000\r\n" + std::string(kChunk, ' ') + "\r\n";
    agent_request("/v1/servers").write(endless);
    std::size_t most = 0;
    for (int i = 0; i < 8; ++i) {
        expect_delivery(client, "00000000000000c" + std::to_string(i));
        most = std::max(most, node.resident_bytes());
    }
    EXPECT_LE(most, memory + kMemory);
    respond_json(agent_request("/v1/servers"), target_list(9, true, {member("s-1", target.address(), 7)}));
    agent_request("/v1/servers?from=9");
    expect_delivery(client, "00000000000000aa");
}

// Long incomplete commands of many clients stay within their share of the memory.
TEST_F(MalformedInputTest, MemoryOfIncompleteCommandsIsBounded) {
    node.config()["limits"]["memory_mb"] = 4;
    node.start_ready();
    std::list<Client> clients;
    const std::string incomplete_command = "*2\r\n$4\r\nPING\r\n$60000\r\n" + std::string(50'000, 'h');
    for (int i = 0; i < 60; ++i) {
        clients.emplace_back(node.address());
        clients.back().send(incomplete_command);
    }
    EXPECT_EQ(clients.front().line(), "-ERR too much at once");
    Client client = node.client();
    expect_delivery(client, id);
}

// Descriptors must not grow with the number of connections that have ended.
TEST_F(MalformedInputTest, EndedConnectionsLeakNoDescriptors) {
    node.start_ready();
    Client normal = node.client();
    EXPECT_EQ(normal.ask({"PING"}), "+PONG");
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
