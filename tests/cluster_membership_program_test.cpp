// Cluster membership with real processes and the configuration file in deploy/: a forwarder dies, restarts
// with and without its state folder, and leaves by an operator's order or by SIGTERM.
#include <gtest/gtest.h>

#include <boost/asio/ip/udp.hpp>

#include "control/client.hpp"
#include "node_fixture.hpp"

namespace lockgw {
namespace {

class ClusterMembershipProgramTest : public ::testing::Test {
protected:
    static constexpr std::size_t kMembers = 3;

    ClusterMembershipProgramTest() {
        boost::asio::io_context io;
        std::vector<boost::asio::ip::udp::socket>
            taken;  // released together, so that the forwarders can bind the ports
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
    Json ask(std::size_t node, const std::string& verb, const Json& args = Json::object()) {
        return control::ask(nodes[node]->state() / "control", verb, args);
    }
    /// State of `member` as `node` sees it.
    std::string state(std::size_t node, std::size_t member) {
        return ask(node, "tier").at("members").at(member).at("is").get<std::string>();
    }
    std::int64_t incarnation(std::size_t node, std::size_t member) {
        return ask(node, "tier").at("members").at(member).at("incarnation").get<std::int64_t>();
    }
    /// Waits until each of `observers` sees `member` in the wanted state.
    void expect_state(std::vector<std::size_t> observers, std::size_t member, const std::string& wanted) {
        const auto until = Clock::now() + kDeadline;
        for (const std::size_t observer : observers) {
            while (state(observer, member) != wanted && Clock::now() < until)
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            ASSERT_EQ(state(observer, member), wanted) << "member " << member << " as seen by " << observer;
        }
    }
    void expect_all_alive() {
        for (std::size_t member = 0; member < kMembers; ++member) expect_state({0, 1, 2}, member, "alive");
    }
    std::vector<std::unique_ptr<Node>> nodes;
};

TEST_F(ClusterMembershipProgramTest, DetectsDeathRestartAndDeparture) {
    for (const auto& node : nodes) node->start_ready();
    expect_all_alive();
    const std::int64_t first = incarnation(0, 1);

    nodes[1]->kill(), nodes[1]->wait();
    expect_state({0, 2}, 1, "gone");
    nodes[1]->start_ready();
    expect_all_alive();
    const std::int64_t second = incarnation(0, 1);
    EXPECT_GT(second, first) << "the incarnation is kept in the state folder";

    nodes[1]->kill(), nodes[1]->wait();
    expect_state({0, 2}, 1, "gone");
    std::filesystem::remove_all(nodes[1]->state());
    nodes[1]->start_ready();
    expect_all_alive();
    EXPECT_GT(incarnation(0, 1), second) << "although the folder was lost";

    ask(2, "order", {{"what", "out-of-service"}});
    expect_state({0, 1}, 2, "left");
    const auto until = Clock::now() + kDeadline;
    while (ask(0, "tier").at("present") != 2 && Clock::now() < until)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    EXPECT_EQ(ask(0, "tier").at("present"), 2);
    ask(2, "order", {{"what", "in-service"}});
    expect_all_alive();

    nodes[2]->terminate(), nodes[2]->wait();
    expect_state({0, 1}, 2, "left");
    std::this_thread::sleep_for(std::chrono::seconds(4));  // longer than the failure detector waits
    expect_state({0, 1}, 2, "left");
    const Json views = ask(0, "tier").at("views");
    EXPECT_EQ(views.at("same"), views.at("of"));
}

// A folder has the path of the control socket: the forwarder must serve without the socket and log that.
// Guards against a failure seen on a system that keeps socket files of killed processes: the process could
// not be restarted.
TEST_F(ClusterMembershipProgramTest, ServesWithoutAControlSocket) {
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
