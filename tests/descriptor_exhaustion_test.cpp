// Descriptors run out while the program runs: others of the machine hold them, or its limit was lowered.
#include <sys/resource.h>
#include <sys/stat.h>

#include <boost/asio/read.hpp>

#include "membership_fixture.hpp"

namespace lockgw {
namespace {

class DescriptorsTest : public MembershipTest {
protected:
    DescriptorsTest() : MembershipTest(3) { node.config()["limits"]["disk_mb"] = 8; }

    void limit(rlim_t most) {
        const rlimit wanted{most, 4096};
        ASSERT_EQ(prlimit(node.pid(), RLIMIT_NOFILE, &wanted, nullptr), 0);
    }
    /// From now on no descriptor is to be had beyond those that are open. A limit binds the highest number:
    /// clients take the numbers below it that are free.
    void leave_none() {
        rlim_t most = 0;
        for (const auto& one :
            std::filesystem::directory_iterator("/proc/" + std::to_string(node.pid()) + "/fd"))
            most = std::max<rlim_t>(most, std::stoul(one.path().filename().string()) + 1);
        limit(most);
        for (rlim_t i = 0; i <= most; ++i) silent.emplace_back(node.address());
        ASSERT_TRUE(node.logs("cannot accept")) << node.log();
    }
    /// A client whose connection was closed, for one that came in, hands the same message in again.
    std::string hand_in(const char* kind, int cell, const std::string& body = "BODY") {
        const std::string id = fresh_id();
        for (int i = 0; i < 100; ++i) {
            if (!client) client.emplace(node.address());
            try {
                client->send(rig::command({"ENQUEUE", "0000000000000000", id,
                    std::string("c=") + kind + ",t=acme,d=30000,k=" + id + ",dest=" + std::to_string(cell),
                    body}));
                if (client->line() == "+OK") break;
            } catch (const boost::system::system_error&) {
            }
            client.reset();
        }
        return id;
    }
    /// The first words of what the console answers to an order.
    static std::string ordered(const Tcp::endpoint& console, const std::string& order) {
        asio::io_context io;
        Tcp::socket socket(io);
        socket.connect(console);
        asio::write(socket, asio::buffer("PUT /control/" + order + " HTTP/1.1\r\nHost: x\r\n\r\n"));
        std::string answer;
        boost::system::error_code ended;
        asio::read(socket, asio::dynamic_buffer(answer), ended);
        return answer.substr(0, 12);
    }
    static constexpr auto kDown = 3s;

    std::optional<Client> client;
    std::list<Client> silent;
    ino_t journal_file() const {
        struct stat info {};
        return ::stat((node.state() / "journal").c_str(), &info) == 0 ? info.st_ino : 0;
    }
};

// A call that finds no descriptor says nothing of its target: it goes over a connection that there is, or
// later, and the target is not held to be ill.
TEST_F(DescriptorsTest, ATargetIsNotBlamedForWantOfDescriptorsHere) {
    start_with({member("s-1", 0), member("s-2", 1, 8), member("s-3", 2, 9)});
    hand_in("safe", 7);
    leave_none();
    std::vector<std::string> ids;
    for (const int cell : {7, 8, 9, 7, 8, 9}) ids.push_back(hand_in("unsafe", cell));
    const auto all_ran = [&] {
        const auto effects = targets.effects_by_id();
        return std::all_of(ids.begin(), ids.end(), [&](const auto& id) { return effects.contains(id); });
    };
    EXPECT_TRUE(waits_for(all_ran, 2 * kDeadline)) << node.log();  // attempts are spread over 30 s
    for (const auto& [id, count] : targets.effects_by_id()) EXPECT_EQ(count, 1) << id;
    EXPECT_TRUE(directory.notices().empty()) << node.log();
}

TEST_F(DescriptorsTest, TheJournalIsWrittenAnewAllTheSame) {
    start_with({member("s-1", 0)});
    hand_in("safe", 7);
    const ino_t before = journal_file();
    leave_none();
    const std::string body(60'000, 'b');
    for (int i = 0; i < 400 && journal_file() == before; ++i) hand_in("safe", 7, body);
    EXPECT_NE(journal_file(), before) << "never compacted\n" << node.log();
}

TEST_F(DescriptorsTest, DiscoveryIsAskedOnOverANewConnection) {
    start_with({member("s-1", 0), member("s-2", 1)});
    leave_none();
    directory.fault({rig::ListFault::Kind::Reset, 3});
    directory.put(member("s-1", 0, 7, "terminating"));
    ASSERT_TRUE(directory.wait_asked_from(directory.revision(), kDeadline)) << node.log();
}

TEST_F(DescriptorsTest, ClientsComeInAgainOnceThereAreSome) {
    start_with({member("s-1", 0)});
    hand_in("safe", 7);
    leave_none();
    Client waiting(node.address());
    const std::string id = fresh_id();
    waiting.send(rig::command({"ENQUEUE", "0000000000000000", id, "c=safe,t=acme,d=30000,k=x,dest=7", "B"}));
    limit(256);
    EXPECT_EQ(waiting.line(), "+OK") << node.log();
}

// Sixty-four callers of the console that send nothing, clients that crowd the door, and not one descriptor
// left: operators are heard all the same, and their order is kept.
TEST_F(DescriptorsTest, OperatorsAreHeardWithNoneLeft) {
    asio::io_context io;
    const auto console = rig::free_endpoint();
    node.config()["console"] = text_of(console);
    start_with({member("s-1", 0), member("s-2", 1)});
    std::list<Tcp::socket> callers;
    const auto silent_caller = [&] { callers.emplace_back(io).connect(console); };
    for (int i = 0; i < 8; ++i) silent_caller();
    leave_none();
    for (int i = 0; i < 56; ++i) silent_caller();
    for (const char* order : {"targets/s-1/offline", "out-of-service", "in-service", "targets/s-2/offline"}) {
        EXPECT_EQ(ordered(console, order), "HTTP/1.1 200") << order << '\n' << node.log();
    }
    std::ifstream kept(node.state() / "orders");
    EXPECT_EQ(Json::parse(kept)["out"], (Json{"s-1", "s-2"}));
}

// Idle clients hold all descriptors while discovery is down. Messages go on, operators are heard, discovery
// is asked as soon as it can be reached, and once the idle ones go others come in: without a restart.
TEST_F(DescriptorsTest, IdleClientsHoldAllOfThemWhileDiscoveryIsDown) {
    const auto console = rig::free_endpoint();
    node.config()["console"] = text_of(console);
    start_with({member("s-1", 0), member("s-2", 1, 8)});
    hand_in("safe", 7);
    const ino_t before = journal_file();
    directory.fault(
        {rig::ListFault::Kind::Freeze, 0, kDown});  // the call that waits takes it with the change
    const auto down_until = std::chrono::steady_clock::now() + kDown;
    directory.put(member("s-1", 0, 7, "terminating"));
    ASSERT_TRUE(waits_for([&] { return directory.faults_left() == 0; }));
    leave_none();

    std::vector<std::string> ids;
    const std::string body(60'000, 'b');
    for (int i = 0; i < 400 && journal_file() == before; ++i) ids.push_back(hand_in("safe", 8, body));
    EXPECT_NE(journal_file(), before) << "the journal is not written anew\n" << node.log();
    EXPECT_TRUE(waits_for([&] { return targets.effects_by_id().contains(ids.back()); })) << node.log();
    EXPECT_EQ(ordered(console, "targets/s-2/offline"), "HTTP/1.1 200") << node.log();
    EXPECT_EQ(ordered(console, "targets/s-2/online"), "HTTP/1.1 200") << node.log();

    std::this_thread::sleep_until(down_until);
    EXPECT_TRUE(directory.wait_asked_from(directory.revision(), 6s)) << node.log();
    silent.clear();
    Client late(node.address());
    EXPECT_EQ(late.ask({"PING"}), "+PONG") << node.log();
    const std::string last = hand_in("safe", 8);
    EXPECT_TRUE(waits_for([&] { return targets.effects_by_id().contains(last); })) << node.log();
}

}  // namespace
}  // namespace lockgw
