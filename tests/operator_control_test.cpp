// Daily running: the console, targets out by hand, and the drain, of the built program between stand-ins.
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>

#include "membership_fixture.hpp"

namespace lockgw {
namespace {

using Clock = std::chrono::steady_clock;

class DailyTest : public MembershipTest {
protected:
    DailyTest() {
        console = text_of(rig::free_endpoint());
        node.config()["console"] = console;
        node.config()["settings"]["limits"]["most_held"] = 4000;
    }
    /// A raw request; the whole answer.
    std::string raw(const std::string& bytes) const {
        asio::io_context io;
        Tcp::socket socket(io);
        socket.connect(tcp_endpoint(console, "console"));
        asio::write(socket, asio::buffer(bytes));
        std::string answer;
        boost::system::error_code ended;
        asio::read(socket, asio::dynamic_buffer(answer), ended);
        return answer;
    }
    int call(const std::string& method, const std::string& path) const {
        const std::string answer =
            raw(method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
        return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
    }
    int order(const std::string& path) const { return call("PUT", "/control/" + path); }
    std::string hand_in(Client& client, int number, int left_ms = 30000) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", number);
        return client.ask(
            {"ENQUEUE", "0", id, "c=safe,t=acme,d=" + std::to_string(left_ms) + ",dest=7", "B"});
    }
    std::size_t calls_at(std::size_t target) const {
        std::size_t count = 0;
        for (const auto& one : targets.calls()) count += one.target == target;
        return count;
    }

    std::string console;
};

TEST_F(DailyTest, TheConsoleAnswersEachCallAndSpoiltOnesWithTheirStatus) {
    start_with({member("s-1", 0)});
    EXPECT_EQ(call("GET", "/control/ready"), 200);
    EXPECT_EQ(call("PUT", "/control/ready"), 405);
    EXPECT_EQ(call("GET", "/nothing"), 404);
    EXPECT_EQ(order("targets/never/offline"), 404);
    EXPECT_EQ(order("targets/never/online"), 404);
    EXPECT_EQ(order("targets/%zz/offline"), 400);
    EXPECT_EQ(order("targets/s-1/offline"), 200);
    EXPECT_EQ(order("targets/s-1/offline"), 200);
    EXPECT_EQ(order("targets/s-1/online"), 200);
    EXPECT_NE(raw("what is this\r\n\r\n").find(" 400 "), std::string::npos);
    EXPECT_NE(raw("GET /control/ready HTTP/1.1\r\nA: " + std::string(10000, 'a') + "\r\n\r\n").find(" 431 "),
        std::string::npos);
    EXPECT_NE(
        raw("PUT /control/in-service HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n").find(" 413 "),
        std::string::npos);
    EXPECT_NE(
        raw("GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n").find("Connection: close"), std::string::npos);
}

// Sixty-four callers that send nothing, and clients that crowd the door: each call is answered in time.
TEST_F(DailyTest, SilentCallersAndCrowdsHoldUpNobody) {
    start_with({member("s-1", 0)});
    std::deque<Client> silent, crowd;
    for (int i = 0; i < 64; ++i) silent.emplace_back(tcp_endpoint(console, "console"));
    for (int i = 0; i < 300; ++i) crowd.emplace_back(node.address());
    Heartbeat heart;
    for (int i = 0; i < 5; ++i) {
        const auto from = Clock::now();
        EXPECT_EQ(call("GET", "/control/ready"), 200);
        const auto took = Clock::now() - from;
        EXPECT_LT(took - heart.lag(from, Clock::now()), 900ms);
    }
    EXPECT_EQ(order("targets/s-1/offline"), 200);
}

// No matter what discovery says, and over SIGKILL: nothing new from the yes until the call back.
TEST_F(DailyTest, ATargetOutByHandGetsNothingWhateverListsSay) {
    start_with({member("s-1", 0), member("s-2", 1)});
    Client client = node.client();
    EXPECT_EQ(order("targets/s-1/offline"), 200);
    const std::size_t before = calls_at(0);
    for (int i = 0; i < 10; ++i) ASSERT_EQ(hand_in(client, i), "+OK");
    ASSERT_TRUE(targets.wait_calls(before + 10, kDeadline));
    directory.put(member("s-1", 0, 7, "terminated"));
    directory.put(member("s-1", 2));  // a replacement under the same id, elsewhere
    ASSERT_TRUE(directory.wait_asked_from(directory.revision(), kDeadline));
    for (int i = 10; i < 20; ++i) ASSERT_EQ(hand_in(client, i), "+OK");
    ASSERT_TRUE(targets.wait_calls(before + 20, kDeadline));
    node.kill(), node.wait();
    node.start_ready();
    Client again = node.client();
    ASSERT_TRUE(directory.wait_asked_from(directory.revision(), kDeadline));
    for (int i = 20; i < 30; ++i) ASSERT_EQ(hand_in(again, i), "+OK");
    ASSERT_TRUE(targets.wait_calls(before + 30, kDeadline));
    EXPECT_EQ(calls_at(0), before);
    EXPECT_EQ(calls_at(2), 0u);
    EXPECT_EQ(order("targets/s-1/online"), 200);
    EXPECT_EQ(order("targets/s-2/offline"), 200);  // only the one put back is left
    for (int i = 30; i < 33; ++i) ASSERT_EQ(hand_in(again, i), "+OK");
    const auto until = Clock::now() + kDeadline;
    while (calls_at(2) == 0 && Clock::now() < until) std::this_thread::sleep_for(10ms);
    EXPECT_GT(calls_at(2), 0u);
}

// Cold: however warm it was before, it is tried again a little at a time.
TEST_F(DailyTest, ATargetPutBackIsColdAgain) {
    start_with({member("s-1", 0)});
    Client client = node.client();
    for (int i = 0; i < 40; ++i) ASSERT_EQ(hand_in(client, i), "+OK");
    ASSERT_TRUE(targets.wait_calls(40, kDeadline));
    EXPECT_EQ(order("targets/s-1/offline"), 200);
    for (int i = 40; i < 80; ++i) ASSERT_EQ(hand_in(client, i), "+OK");
    EXPECT_EQ(order("targets/s-1/online"), 200);
    const auto back = Clock::now();
    ASSERT_TRUE(targets.wait_calls(80, kDeadline));
    std::size_t early = 0;
    for (const auto& one : targets.calls()) early += one.first_byte > back && one.first_byte < back + 300ms;
    EXPECT_LE(early, 12u) << "a warm target would have been sent all 40 at once";
}

TEST_F(DailyTest, OneThatHasGoneIsKnownAlsoAfterARestart) {
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

// PING says no at once, who is connected is served and then let go, and the way back is short.
TEST_F(DailyTest, ADrainLetsClientsGoWithNoAnswerOwed) {
    start_with({member("s-1", 0)});
    std::deque<Client> resting;
    for (int i = 0; i < 20; ++i) {
        resting.emplace_back(node.address());
        ASSERT_EQ(hand_in(resting.back(), i), "+OK");
    }
    const auto from = Clock::now();
    Client busy = node.client();
    EXPECT_EQ(order("out-of-service"), 200);
    EXPECT_TRUE(node.client().ask({"PING"}).starts_with("-"));
    EXPECT_EQ(call("GET", "/control/ready"), 200);
    EXPECT_EQ(hand_in(busy, 100), "+OK") << "the grace";
    int taken = 0;
    for (int i = 101; i < 100000; ++i) {  // one that pipelines without pause
        const std::string answer = hand_in(busy, i, 2000);
        if (answer != "+OK" && !answer.starts_with("-BUSY")) break;
        taken += answer == "+OK";
    }
    EXPECT_GT(taken, 0);
    for (Client& one : resting) EXPECT_TRUE(one.ended());
    EXPECT_LT(Clock::now() - from, 4s);
    EXPECT_TRUE(node.client().ask({"PING"}).starts_with("-"));
    std::string said =
        "+OK";  // on a busy machine the last of the grace may run when the busy one has been let go
    for (int i = 200000; said == "+OK" && Clock::now() - from < 4s; ++i) {
        Client late = node.client();
        said = hand_in(late, i);
    }
    EXPECT_TRUE(said.starts_with("-BUSY")) << said;
    EXPECT_EQ(order("out-of-service"), 200);
    EXPECT_EQ(order("in-service"), 200);
    Client back = node.client();
    EXPECT_EQ(back.ask({"PING"}), "+PONG");
    EXPECT_EQ(hand_in(back, 100002), "+OK");
}

// Its connection is still being made when the only target of a destination is taken out: nothing is written
// to it, and the message goes once it is put back.
TEST_F(DailyTest, OfflineWhileAConnectionIsMade) {
    start_with({member("s-1", 0)});
    targets.freeze(0, 900ms);
    std::this_thread::sleep_for(100ms);  // until its queue is full, and connections do not come up
    Client client = node.client();
    ASSERT_EQ(hand_in(client, 1), "+OK");
    std::this_thread::sleep_for(100ms);
    EXPECT_EQ(order("targets/s-1/offline"), 200);
    std::this_thread::sleep_for(2500ms);  // past the time at which the kernel tries the connection again
    EXPECT_EQ(calls_at(0), 0u) << node.log();
    EXPECT_EQ(order("targets/s-1/online"), 200);
    EXPECT_TRUE(targets.wait_calls(1, kDeadline));
}

// Told to wait, out and back: the wait is not shortened by it.
TEST_F(DailyTest, OfflineAndBackDuringAToldWait) {
    start_with({member("s-1", 0)});
    rig::CallScript refuse;
    refuse.status = 429, refuse.headers = "Retry-After: 2\r\n";
    targets.next(0, refuse);
    Client client = node.client();
    ASSERT_EQ(hand_in(client, 1), "+OK");
    ASSERT_TRUE(targets.wait_calls(1, kDeadline));
    std::this_thread::sleep_for(50ms);
    const auto told = Clock::now();
    EXPECT_EQ(order("targets/s-1/offline"), 200);
    EXPECT_EQ(order("targets/s-1/online"), 200);
    ASSERT_EQ(hand_in(client, 2), "+OK");
    ASSERT_TRUE(targets.wait_calls(2, kDeadline));
    EXPECT_GT(targets.calls()[1].first_byte - told, 1800ms);
}

// Clients that never read their answers are let go too.
TEST_F(DailyTest, ADrainBesideClientsThatNeverRead) {
    start_with({member("s-1", 0)});
    const std::size_t before = node.descriptors();
    std::deque<Client> deaf;
    for (int i = 0; i < 5; ++i) {
        deaf.emplace_back(node.address());
        for (int k = 0; k < 20; ++k) deaf.back().send(rig::command({"PING", std::string(2000, 'x')}));
    }
    EXPECT_EQ(order("out-of-service"), 200);
    const auto from = Clock::now();
    while (node.descriptors() > before + 1 && Clock::now() < from + kDeadline)
        std::this_thread::sleep_for(20ms);
    EXPECT_LT(Clock::now() - from, 4s);
    EXPECT_TRUE(node.client().ask({"PING"}).starts_with("-"));
}

TEST_F(DailyTest, ADrainOutlastsTheProcessAndASilentClientIsLetGo) {
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
