// Operator control of the built program between simulated targets and discovery: the console, targets taken
// out and put back, and the forwarder's own drain.
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>

#include "discovery_fixture.hpp"

namespace lockgw {
namespace {

using Clock = std::chrono::steady_clock;

class OperatorControlTest : public DiscoveryTest {
protected:
    OperatorControlTest() {
        console = text_of(rig::free_endpoint());
        node.config()["console"] = console;
        node.config()["settings"]["limits"]["most_held"] = 4000;
    }
    /// Sends raw bytes to the console and returns the whole response.
    std::string send_raw(const std::string& bytes) const {
        asio::io_context io;
        Tcp::socket socket(io);
        socket.connect(tcp_endpoint(console, "console"));
        asio::write(socket, asio::buffer(bytes));
        std::string answer;
        boost::system::error_code ended;
        asio::read(socket, asio::dynamic_buffer(answer), ended);
        return answer;
    }
    /// Sends a request to the console and returns the status of the response; 0 if there is none.
    int request(const std::string& method, const std::string& path) const {
        const std::string answer =
            send_raw(method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
        return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
    }
    int order(const std::string& path) const { return request("PUT", "/control/" + path); }
    std::string submit(Client& client, int number, int deadline_ms = 30000) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", number);
        return client.ask(
            {"ENQUEUE", "0", id, "c=safe,t=acme,d=" + std::to_string(deadline_ms) + ",dest=7", "B"});
    }
    std::size_t calls_to(std::size_t target) const {
        std::size_t count = 0;
        for (const auto& received : targets.calls()) count += received.target == target;
        return count;
    }

    std::string console;
};

TEST_F(OperatorControlTest, ConsoleAnswersValidAndInvalidRequestsWithTheirStatus) {
    start_with({member("s-1", 0)});
    EXPECT_EQ(request("GET", "/control/ready"), 200);
    EXPECT_EQ(request("PUT", "/control/ready"), 405);
    EXPECT_EQ(request("GET", "/nothing"), 404);
    EXPECT_EQ(order("targets/never/offline"), 404);
    EXPECT_EQ(order("targets/never/online"), 404);
    EXPECT_EQ(order("targets/%zz/offline"), 400);
    EXPECT_EQ(order("targets/s-1/offline"), 200);
    EXPECT_EQ(order("targets/s-1/offline"), 200);
    EXPECT_EQ(order("targets/s-1/online"), 200);
    EXPECT_NE(send_raw("what is this\r\n\r\n").find(" 400 "), std::string::npos);
    EXPECT_NE(
        send_raw("GET /control/ready HTTP/1.1\r\nA: " + std::string(10000, 'a') + "\r\n\r\n").find(" 431 "),
        std::string::npos);
    EXPECT_NE(send_raw("PUT /control/in-service HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n")
                  .find(" 413 "),
        std::string::npos);
    EXPECT_NE(send_raw("GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n").find("Connection: close"),
        std::string::npos);
}

// The console answers in time beside 64 connections to it that send nothing and many idle clients.
TEST_F(OperatorControlTest, ConsoleAnswersInTimeBesideSilentConnections) {
    start_with({member("s-1", 0)});
    std::deque<Client> silent, idle_clients;
    for (int i = 0; i < 64; ++i) silent.emplace_back(tcp_endpoint(console, "console"));
    for (int i = 0; i < 300; ++i) idle_clients.emplace_back(node.address());
    SchedulingLagMonitor machine_lag;
    for (int i = 0; i < 5; ++i) {
        const auto started = Clock::now();
        EXPECT_EQ(request("GET", "/control/ready"), 200);
        const auto took = Clock::now() - started;
        EXPECT_LT(took - machine_lag.max_lag(started, Clock::now()), 900ms);
    }
    EXPECT_EQ(order("targets/s-1/offline"), 200);
}

// From the positive answer to the order until it is revoked, a target that was taken out gets no new call,
// whatever discovery says about it and also after SIGKILL.
TEST_F(OperatorControlTest, ATargetTakenOutGetsNoCallsWhateverDiscoverySays) {
    start_with({member("s-1", 0), member("s-2", 1)});
    Client client = node.client();
    EXPECT_EQ(order("targets/s-1/offline"), 200);
    const std::size_t before = calls_to(0);
    for (int i = 0; i < 10; ++i) ASSERT_EQ(submit(client, i), "+OK");
    ASSERT_TRUE(targets.wait_calls(before + 10, kDeadline));
    directory.put(member("s-1", 0, 7, "terminated"));
    directory.put(member("s-1", 2));  // a replacement with the same id and another address
    ASSERT_TRUE(directory.wait_asked_from(directory.revision(), kDeadline));
    for (int i = 10; i < 20; ++i) ASSERT_EQ(submit(client, i), "+OK");
    ASSERT_TRUE(targets.wait_calls(before + 20, kDeadline));
    node.kill(), node.wait();
    node.start_ready();
    Client new_client = node.client();
    ASSERT_TRUE(directory.wait_asked_from(directory.revision(), kDeadline));
    for (int i = 20; i < 30; ++i) ASSERT_EQ(submit(new_client, i), "+OK");
    ASSERT_TRUE(targets.wait_calls(before + 30, kDeadline));
    EXPECT_EQ(calls_to(0), before);
    EXPECT_EQ(calls_to(2), 0u);
    EXPECT_EQ(order("targets/s-1/online"), 200);
    EXPECT_EQ(order("targets/s-2/offline"), 200);  // only the target that was put back is left
    for (int i = 30; i < 33; ++i) ASSERT_EQ(submit(new_client, i), "+OK");
    const auto until = Clock::now() + kDeadline;
    while (calls_to(2) == 0 && Clock::now() < until) std::this_thread::sleep_for(10ms);
    EXPECT_GT(calls_to(2), 0u);
}

// A target that is put back starts slowly again, however much it served before.
TEST_F(OperatorControlTest, ATargetPutBackGoesThroughSlowStart) {
    start_with({member("s-1", 0)});
    Client client = node.client();
    for (int i = 0; i < 40; ++i) ASSERT_EQ(submit(client, i), "+OK");
    ASSERT_TRUE(targets.wait_calls(40, kDeadline));
    EXPECT_EQ(order("targets/s-1/offline"), 200);
    for (int i = 40; i < 80; ++i) ASSERT_EQ(submit(client, i), "+OK");
    EXPECT_EQ(order("targets/s-1/online"), 200);
    const auto put_back_at = Clock::now();
    ASSERT_TRUE(targets.wait_calls(80, kDeadline));
    std::size_t early = 0;
    for (const auto& received : targets.calls())
        early += received.first_byte > put_back_at && received.first_byte < put_back_at + 300ms;
    EXPECT_LE(early, 12u) << "without a slow start all 40 would have been sent at once";
}

TEST_F(OperatorControlTest, OrdersForARemovedTargetAreAcceptedAlsoAfterARestart) {
    start_with({member("s-1", 0), member("s-2", 1)});
    directory.put(member("s-1", 0, 7, "terminated"));
    ASSERT_TRUE(directory.wait_asked_from(directory.revision(), kDeadline));
    EXPECT_EQ(order("targets/s-1/offline"), 200);
    EXPECT_EQ(order("targets/s-1/online"), 200);
    node.kill(), node.wait();
    node.start_ready();
    EXPECT_EQ(order("targets/s-1/offline"), 200);
    EXPECT_EQ(order("targets/s-3/offline"), 404);
}

// Out of service, PING gets an error at once, and connected clients are served for the grace period and then
// disconnected with no reply pending. In service again, clients are served at once.
TEST_F(OperatorControlTest, OutOfServiceDisconnectsClientsWithoutPendingReplies) {
    start_with({member("s-1", 0)});
    std::deque<Client> idle_clients;
    for (int i = 0; i < 20; ++i) {
        idle_clients.emplace_back(node.address());
        ASSERT_EQ(submit(idle_clients.back(), i), "+OK");
    }
    const auto from = Clock::now();
    Client busy = node.client();
    EXPECT_EQ(order("out-of-service"), 200);
    EXPECT_TRUE(node.client().ask({"PING"}).starts_with("-"));
    EXPECT_EQ(request("GET", "/control/ready"), 200);
    EXPECT_EQ(submit(busy, 100), "+OK") << "within the grace period";
    int accepted = 0;
    for (int i = 101; i < 100000; ++i) {  // a client that sends without pause
        const std::string answer = submit(busy, i, 2000);
        if (answer != "+OK" && !answer.starts_with("-BUSY")) break;
        accepted += answer == "+OK";
    }
    EXPECT_GT(accepted, 0);
    for (Client& idle : idle_clients) EXPECT_TRUE(idle.ended());
    EXPECT_LT(Clock::now() - from, 4s);
    EXPECT_TRUE(node.client().ask({"PING"}).starts_with("-"));
    // On a busy machine the grace period may still run after the busy client was disconnected.
    std::string reply = "+OK";
    for (int i = 200000; reply == "+OK" && Clock::now() - from < 4s; ++i) {
        Client late = node.client();
        reply = submit(late, i);
    }
    EXPECT_TRUE(reply.starts_with("-BUSY")) << reply;
    EXPECT_EQ(order("out-of-service"), 200);
    EXPECT_EQ(order("in-service"), 200);
    Client new_client = node.client();
    EXPECT_EQ(new_client.ask({"PING"}), "+PONG");
    EXPECT_EQ(submit(new_client, 100002), "+OK");
}

// The only target of a destination is taken out while the connection for a call to it is being established:
// nothing is written to it, and the message is delivered once it is put back.
TEST_F(OperatorControlTest, OfflineWhileConnectingSendsNothing) {
    start_with({member("s-1", 0)});
    targets.freeze(0, 900ms);
    std::this_thread::sleep_for(100ms);  // until its accept queue is full and connections stay pending
    Client client = node.client();
    ASSERT_EQ(submit(client, 1), "+OK");
    std::this_thread::sleep_for(100ms);
    EXPECT_EQ(order("targets/s-1/offline"), 200);
    std::this_thread::sleep_for(2500ms);  // longer than the kernel takes to retry the connection
    EXPECT_EQ(calls_to(0), 0u) << node.log();
    EXPECT_EQ(order("targets/s-1/online"), 200);
    EXPECT_TRUE(targets.wait_calls(1, kDeadline));
}

// Taking a target out and putting it back does not shorten a retry-after that it has sent.
TEST_F(OperatorControlTest, RetryAfterOutlastsOfflineAndOnline) {
    start_with({member("s-1", 0)});
    rig::CallScript refuse;
    refuse.status = 429, refuse.headers = "Retry-After: 2\r\n";
    targets.next(0, refuse);
    Client client = node.client();
    ASSERT_EQ(submit(client, 1), "+OK");
    ASSERT_TRUE(targets.wait_calls(1, kDeadline));
    std::this_thread::sleep_for(50ms);
    const auto refused_at = Clock::now();
    EXPECT_EQ(order("targets/s-1/offline"), 200);
    EXPECT_EQ(order("targets/s-1/online"), 200);
    ASSERT_EQ(submit(client, 2), "+OK");
    ASSERT_TRUE(targets.wait_calls(2, kDeadline));
    EXPECT_GT(targets.calls()[1].first_byte - refused_at, 1800ms);
}

// Clients that never read their replies are disconnected too.
TEST_F(OperatorControlTest, OutOfServiceDisconnectsClientsThatNeverRead) {
    start_with({member("s-1", 0)});
    const std::size_t before = node.descriptors();
    std::deque<Client> not_reading;
    for (int i = 0; i < 5; ++i) {
        not_reading.emplace_back(node.address());
        for (int k = 0; k < 20; ++k) not_reading.back().send(rig::command({"PING", std::string(2000, 'x')}));
    }
    EXPECT_EQ(order("out-of-service"), 200);
    const auto from = Clock::now();
    while (node.descriptors() > before + 1 && Clock::now() < from + kDeadline)
        std::this_thread::sleep_for(20ms);
    EXPECT_LT(Clock::now() - from, 4s);
    EXPECT_TRUE(node.client().ask({"PING"}).starts_with("-"));
}

TEST_F(OperatorControlTest, OutOfServiceSurvivesARestartAndSilentClientsAreDisconnected) {
    start_with({member("s-1", 0)});
    EXPECT_EQ(order("out-of-service"), 200);
    node.kill(), node.wait();
    node.start();
    const auto until = Clock::now() + kDeadline;
    while (node.refuses() && Clock::now() < until) std::this_thread::sleep_for(10ms);
    EXPECT_TRUE(node.client().ask({"PING"}).starts_with("-"));
    Client silent = node.client();
    EXPECT_TRUE(silent.ended());
    EXPECT_EQ(order("in-service"), 200);
    EXPECT_EQ(node.client().ask({"PING"}), "+PONG");
}

}  // namespace
}  // namespace lockgw
