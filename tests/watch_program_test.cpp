// Forwarders that watch one another, as processes, by the file that deploy/ has for it: who dies, comes back
// with its folder and without, leaves by order, by SIGTERM.
#include <gtest/gtest.h>

#include <boost/asio/ip/udp.hpp>

#include "control/client.hpp"
#include "node_fixture.hpp"

namespace lockgw {
namespace {

class WatchProgramTest : public ::testing::Test {
protected:
    static constexpr std::size_t kMembers = 3;

    WatchProgramTest() {
        boost::asio::io_context io;
        std::vector<boost::asio::ip::udp::socket> taken;  // given back together: the forwarders bind them
        std::vector<std::string> peers;
        for (std::size_t i = 0; i < kMembers; ++i) {
            taken.emplace_back(
                io, boost::asio::ip::udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
            peers.push_back("127.0.0.1:" + std::to_string(taken.back().local_endpoint().port()));
        }
        for (std::size_t i = 0; i < kMembers; ++i) {
            Json config = make_config("127.0.0.1:1", "127.0.0.1:1");
            config.erase("discovery");
            config["known"] = target_list(1, true, {member("s-1", "127.0.0.1:9", 7)});
            config["settings"]["n_instances"] = kMembers, config["settings"]["me"] = i;
            config["settings"]["limits"]["peers"] = true;
            config["peer_listen"] = peers[i], config["peers"] = peers;
            nodes.push_back(std::make_unique<Node>(config));
            nodes.back()->set_environment("LOCKGW_CONFIG", TIER_FILE);
        }
    }
    void TearDown() override {
        if (!HasFailure()) return;
        for (const auto& node : nodes) std::cerr << node->log() << '\n';
    }
    Json ask(std::size_t by, const std::string& verb, const Json& args = Json::object()) {
        return control::ask(nodes[by]->state() / "control", verb, args);
    }
    std::string state(std::size_t by, std::size_t who) {
        return ask(by, "tier").at("members").at(who).at("is").get<std::string>();
    }
    std::int64_t incarnation(std::size_t by, std::size_t who) {
        return ask(by, "tier").at("members").at(who).at("incarnation").get<std::int64_t>();
    }
    /// As each of `by` sees it, in the end.
    void expect(std::vector<std::size_t> by, std::size_t who, const std::string& wanted) {
        const auto until = Clock::now() + kDeadline;
        for (const std::size_t one : by) {
            while (state(one, who) != wanted && Clock::now() < until)
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            ASSERT_EQ(state(one, who), wanted) << who << " as " << one << " sees it";
        }
    }
    void all_alive() {
        for (std::size_t who = 0; who < kMembers; ++who) expect({0, 1, 2}, who, "alive");
    }
    std::vector<std::unique_ptr<Node>> nodes;
};

TEST_F(WatchProgramTest, TellsWhoDiesComesBackAndLeaves) {
    for (const auto& node : nodes) node->start_ready();
    all_alive();
    const std::int64_t first = incarnation(0, 1);

    nodes[1]->kill(), nodes[1]->wait();
    expect({0, 2}, 1, "gone");
    nodes[1]->start_ready();
    all_alive();
    const std::int64_t second = incarnation(0, 1);
    EXPECT_GT(second, first) << "it is kept in the folder";

    nodes[1]->kill(), nodes[1]->wait();
    expect({0, 2}, 1, "gone");
    std::filesystem::remove_all(nodes[1]->state());
    nodes[1]->start_ready();
    all_alive();
    EXPECT_GT(incarnation(0, 1), second) << "though the folder was lost";

    ask(2, "order", {{"what", "out-of-service"}});
    expect({0, 1}, 2, "left");
    const auto until = Clock::now() + kDeadline;
    while (ask(0, "tier").at("present") != 2 && Clock::now() < until)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    EXPECT_EQ(ask(0, "tier").at("present"), 2);
    ask(2, "order", {{"what", "in-service"}});
    all_alive();

    nodes[2]->terminate(), nodes[2]->wait();
    expect({0, 1}, 2, "left");
    std::this_thread::sleep_for(std::chrono::seconds(4));  // longer than it takes to be missed
    expect({0, 1}, 2, "left");
    const Json views = ask(0, "tier").at("views");
    EXPECT_EQ(views.at("same"), views.at("of"));
}

// The name of its control socket is taken by something that is none: it serves all the same, and says so. (A
// killed process's start failed there, on a system that leaves such names behind.)
TEST_F(WatchProgramTest, ServesWithoutAControlSocket) {
    std::filesystem::create_directories(nodes[0]->state() / "control" / "in the way");
    nodes[0]->start_ready();
    EXPECT_TRUE(nodes[0]->logs("there is no control socket")) << nodes[0]->log();
    nodes[0]->kill(), nodes[0]->wait();
    std::filesystem::remove_all(nodes[0]->state() / "control");
    nodes[0]->start_ready();
    EXPECT_EQ(state(0, 0), "alive");
}

}  // namespace
}  // namespace lockgw
