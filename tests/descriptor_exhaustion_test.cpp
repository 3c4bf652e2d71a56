// File descriptors run out while the program runs, because others hold them or the limit was lowered.
#include <sys/resource.h>
#include <sys/stat.h>

#include <boost/asio/read.hpp>

#include "discovery_fixture.hpp"
#include "node_fixture.hpp"

namespace lockgw {
namespace {

class DescriptorExhaustionTest : public DiscoveryTest {
protected:
    DescriptorExhaustionTest() : DiscoveryTest(3) { node.config()["limits"]["disk_mb"] = 8; }

    void set_descriptor_limit(rlim_t most) {
        const rlimit wanted{most, 4096};
        ASSERT_EQ(prlimit(node.pid(), RLIMIT_NOFILE, &wanted, nullptr), 0);
    }
    /// Uses up all descriptors of the forwarder. The limit bounds the highest descriptor number, so it is set
    /// just above the highest open one, and idle clients take the free numbers below it.
    void exhaust_descriptors() {
        rlim_t most = 0;
        for (const auto& descriptor :
            std::filesystem::directory_iterator("/proc/" + std::to_string(node.pid()) + "/fd"))
            most = std::max<rlim_t>(most, std::stoul(descriptor.path().filename().string()) + 1);
        set_descriptor_limit(most);
        for (rlim_t i = 0; i <= most; ++i) idle_clients.emplace_back(node.address());
        ASSERT_TRUE(node.logs("cannot accept")) << node.log();
    }
    /// Submits a message until it is accepted, and returns its id. A client whose connection was closed in
    /// favour of a new one reconnects and submits the same id again.
    std::string submit(const char* message_class, int destination, const std::string& body = "BODY") {
        const std::string id = new_message_id();
        for (int i = 0; i < 100; ++i) {
            if (!client) client.emplace(node.address());
            try {
                client->send(rig::command({"ENQUEUE", "0000000000000000", id,
                    std::string("c=") + message_class + ",t=acme,d=30000,k=" + id +
                        ",dest=" + std::to_string(destination),
                    body}));
                if (client->line() == "+OK") break;
            } catch (const boost::system::system_error&) {
            }
            client.reset();
        }
        return id;
    }
    /// Sends an order to the console and returns the start of its response, up to the status.
    static std::string send_order(const Tcp::endpoint& console, const std::string& order) {
        asio::io_context io;
        Tcp::socket socket(io);
        socket.connect(console);
        asio::write(socket, asio::buffer("PUT /control/" + order + " HTTP/1.1\r\nHost: x\r\n\r\n"));
        std::string answer;
        boost::system::error_code ended;
        asio::read(socket, asio::dynamic_buffer(answer), ended);
        return answer.substr(0, 12);
    }
    static constexpr auto kDiscoveryDown = 3s;

    std::optional<Client> client;
    std::list<Client> idle_clients;
    ino_t journal_inode() const {
        struct stat info {};
        return ::stat((node.state() / "journal").c_str(), &info) == 0 ? info.st_ino : 0;
    }
};

// A call that cannot get a descriptor says nothing about its target. It uses an existing connection or is
// sent later, and the target is not considered unhealthy.
TEST_F(DescriptorExhaustionTest, MissingDescriptorsDoNotMakeATargetUnhealthy) {
    start_with({member("s-1", 0), member("s-2", 1, 8), member("s-3", 2, 9)});
    submit("safe", 7);
    exhaust_descriptors();
    std::vector<std::string> ids;
    for (const int destination : {7, 8, 9, 7, 8, 9}) ids.push_back(submit("unsafe", destination));
    const auto all_ran = [&] {
        const auto effects = targets.effects_by_id();
        return std::all_of(ids.begin(), ids.end(), [&](const auto& id) { return effects.contains(id); });
    };
    EXPECT_TRUE(eventually(all_ran, 2 * kDeadline)) << node.log();  // attempts are spread over 30 s
    for (const auto& [id, count] : targets.effects_by_id()) EXPECT_EQ(count, 1) << id;
    // A delivery over a connection that is closed for its descriptor cannot be confirmed: its final status
    // may be reported, which changes nothing. All have run; no other message may end in this way.
    for (const Json& notice : directory.notices()) {
        EXPECT_EQ(notice.at("result"), "dead");
        EXPECT_TRUE(targets.effects_by_id().contains(notice.at("ref").get<std::string>())) << notice;
    }
}

TEST_F(DescriptorExhaustionTest, TheJournalIsStillCompacted) {
    start_with({member("s-1", 0)});
    submit("safe", 7);
    const ino_t before = journal_inode();
    exhaust_descriptors();
    const std::string body(60'000, 'b');
    for (int i = 0; i < 400 && journal_inode() == before; ++i) submit("safe", 7, body);
    EXPECT_NE(journal_inode(), before) << "the journal was never compacted\n" << node.log();
}

TEST_F(DescriptorExhaustionTest, DiscoveryStillGetsANewConnection) {
    start_with({member("s-1", 0), member("s-2", 1)});
    exhaust_descriptors();
    directory.fault({rig::ListFault::Kind::Reset, 3});
    directory.put(member("s-1", 0, 7, "terminating"));
    ASSERT_TRUE(directory.wait_asked_from(directory.revision(), kDeadline)) << node.log();
}

TEST_F(DescriptorExhaustionTest, ClientsAreAcceptedAgainOnceDescriptorsAreFree) {
    start_with({member("s-1", 0)});
    submit("safe", 7);
    exhaust_descriptors();
    Client waiting(node.address());
    const std::string id = new_message_id();
    waiting.send(rig::command({"ENQUEUE", "0000000000000000", id, "c=safe,t=acme,d=30000,k=x,dest=7", "B"}));
    set_descriptor_limit(256);
    EXPECT_EQ(waiting.line(), "+OK") << node.log();
}

// Orders are carried out and stored although no descriptor is left, 64 connections to the console send
// nothing, and idle clients hold all others.
TEST_F(DescriptorExhaustionTest, OperatorsOrdersAreStillCarriedOut) {
    asio::io_context io;
    const auto console = rig::free_endpoint();
    node.config()["console"] = text_of(console);
    start_with({member("s-1", 0), member("s-2", 1)});
    std::list<Tcp::socket> console_connections;
    const auto connect_silently = [&] { console_connections.emplace_back(io).connect(console); };
    for (int i = 0; i < 8; ++i) connect_silently();
    exhaust_descriptors();
    for (int i = 0; i < 56; ++i) connect_silently();
    for (const char* order : {"targets/s-1/offline", "out-of-service", "in-service", "targets/s-2/offline"}) {
        EXPECT_EQ(send_order(console, order), "HTTP/1.1 200") << order << '\n' << node.log();
    }
    std::ifstream kept(node.state() / "orders");
    EXPECT_EQ(Json::parse(kept)["out"], (Json{"s-1", "s-2"}));
}

// Idle clients hold all descriptors while discovery is down. Messages are still delivered, orders are carried
// out, discovery is polled as soon as it can be reached, and once the idle clients leave new ones are
// accepted: all without a restart.
TEST_F(DescriptorExhaustionTest, IdleClientsHoldAllDescriptorsWhileDiscoveryIsDown) {
    const auto console = rig::free_endpoint();
    node.config()["console"] = text_of(console);
    start_with({member("s-1", 0), member("s-2", 1, 8)});
    submit("safe", 7);
    const ino_t before = journal_inode();
    // The pending poll takes the fault together with the change.
    directory.fault({rig::ListFault::Kind::Freeze, 0, kDiscoveryDown});
    const auto down_until = std::chrono::steady_clock::now() + kDiscoveryDown;
    directory.put(member("s-1", 0, 7, "terminating"));
    ASSERT_TRUE(eventually([&] { return directory.faults_left() == 0; }));
    exhaust_descriptors();

    std::vector<std::string> ids;
    const std::string body(60'000, 'b');
    for (int i = 0; i < 400 && journal_inode() == before; ++i) ids.push_back(submit("safe", 8, body));
    EXPECT_NE(journal_inode(), before) << "the journal was never compacted\n" << node.log();
    EXPECT_TRUE(eventually([&] { return targets.effects_by_id().contains(ids.back()); })) << node.log();
    EXPECT_EQ(send_order(console, "targets/s-2/offline"), "HTTP/1.1 200") << node.log();
    EXPECT_EQ(send_order(console, "targets/s-2/online"), "HTTP/1.1 200") << node.log();

    std::this_thread::sleep_until(down_until);
    EXPECT_TRUE(directory.wait_asked_from(directory.revision(), 6s)) << node.log();
    idle_clients.clear();
    Client late(node.address());
    EXPECT_EQ(late.ask({"PING"}), "+PONG") << node.log();
    const std::string last = submit("safe", 8);
    EXPECT_TRUE(eventually([&] { return targets.effects_by_id().contains(last); })) << node.log();
}

// Calls of a start that need a descriptor fail for a moment, one after another or three in a row: the start
// goes on within the 10 s in which a restarted process has to be ready, and owes what it owed before. A
// journal that cannot be opened must not pass for an empty one.
class StartWithoutDescriptors : public NodeTest, public ::testing::WithParamInterface<int> {
protected:
    static constexpr int kCallsOfAStart = 48;  // those behind it belong to what is served
    static constexpr int kParts = 8;

    bool ready_within(Clock::duration span) {
        const auto until = Clock::now() + span;
        while (Clock::now() < until) try {
                if (node.client().ask({"PING"}) == "+PONG") return true;
            } catch (const boost::system::system_error&) {
                std::this_thread::sleep_for(10ms);
            }
        return false;
    }
    void expect_owed_after_failures(int first, int count) {
        node.kill(), node.wait();
        node.set_environment("LD_PRELOAD", FAILING_CALLS_PATH);
        node.set_environment("LOCKGW_FAILING_CALLS", std::to_string(first) + " " + std::to_string(count));
        node.start();
        ASSERT_TRUE(ready_within(9s)) << "call " << first << ", " << count << "\n" << node.log();
        EXPECT_EQ(target.next().header("X-Call-Id"), id) << "call " << first << ", " << count << "\n"
                                                         << node.log();
    }
};
TEST_P(StartWithoutDescriptors, GoesOnAndOwesWhatItOwed) {
    node.config()["settings"]["limits"]["max_attempts"] = 1000;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "safe", 50'000), "+OK");
    EXPECT_EQ(target.next().header("X-Call-Id"), id);
    for (int first = GetParam(); first < kCallsOfAStart; first += kParts)
        for (const int count : {1, 3}) expect_owed_after_failures(first, count);
}
INSTANTIATE_TEST_SUITE_P(DescriptorExhaustion, StartWithoutDescriptors, ::testing::Range(0, 8));

}  // namespace
}  // namespace lockgw
