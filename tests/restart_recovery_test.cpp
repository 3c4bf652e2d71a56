// Recovery of the program after it was killed: which state it must keep, which stored facts it must not use,
// and the pace at which it delivers its backlog. Checked from outside, by the calls that the test targets
// see.
#include <gtest/gtest.h>

#include <boost/asio/ip/udp.hpp>
#include <cstdlib>
#include <fstream>
#include <random>

#include "control/client.hpp"
#include "discovery_fixture.hpp"
#include "recovery/snapshot.hpp"

namespace lockgw {
namespace {

using rig::CallScript;
namespace fs = std::filesystem;

class RestartRecoveryTest : public DiscoveryTest {
protected:
    explicit RestartRecoveryTest(std::size_t count = 3) : DiscoveryTest(count) {
        std::ofstream(node.folder() / "operator.toml") << "[log]\nlevel = \"info\"\n";
        node.set_environment("LOCKGW_CONFIG", (node.folder() / "operator.toml").string());
    }
    static CallScript refusal(std::chrono::milliseconds wait) {
        CallScript script;
        script.status = 429, script.takes_effect = false;
        script.headers =
            "Retry-After: " + std::to_string(std::chrono::duration<double>(wait).count()) + "\r\n";
        return script;
    }
    Json recovery_status() { return control::ask(node.state() / "control", "return"); }
    void kill() { node.kill(), node.wait(); }
    void restart() { kill(), node.start_ready(); }
    std::string bytes(const fs::path& path) {
        std::ifstream stream(path, std::ios::binary);
        return {std::istreambuf_iterator<char>(stream), {}};
    }
    /// Waits for a snapshot that fulfils the condition.
    bool wait_for_snapshot(const std::function<bool(const recovery::Snapshot&)>& holds) {
        return eventually([&] {
            const auto read = recovery::snapshot_of(bytes(node.state() / "learned"));
            return read.snapshot && holds(*read.snapshot);
        });
    }
    /// Counts the calls that came before the Retry-After of an earlier call had passed. Calls that overlap
    /// the earlier one do not count, because they could not know of it.
    std::size_t early_calls(std::chrono::milliseconds wait) const {
        std::size_t count = 0;
        const auto calls = targets.calls();
        for (std::size_t i = 0; i < calls.size(); ++i)
            for (std::size_t j = 0; j < i; ++j) {
                const auto after = calls[i].first_byte - calls[j].first_byte;
                if (calls[i].target != calls[j].target || after <= kReadTime || after >= wait - 2ms) continue;
                ++count;
                break;
            }
        return count;
    }
    static constexpr auto kReadTime = 40ms;  // an answer is read within this time
};

// A target refuses with a Retry-After. The process is killed at a random time after the answer and restarted
// before the wait has passed; it must not call the target earlier. RETURN_KILLS in the environment sets the
// number of rounds.
TEST_F(RestartRecoveryTest, RetryAfterIsKeptAcrossKillsAtRandomTimes) {
    const char* requested = std::getenv("RETURN_KILLS");
    const int rounds = requested ? std::atoi(requested) : 12;
    const unsigned seed = std::random_device{}();
    std::mt19937 random(seed);
    constexpr auto kWait = 700ms;
    targets.usual(0, refusal(kWait));
    start_with({member("s-0", 0)});
    std::size_t applied_waits = 0;
    for (int round = 0; round < rounds; ++round) {
        const std::size_t before = targets.calls().size();
        Client client = node.client();
        ASSERT_EQ(enqueue(client, new_message_id(), "safe", 7, 4'000), "+OK");
        ASSERT_TRUE(targets.wait_calls(before + 1, kDeadline)) << node.log();
        std::this_thread::sleep_for(kReadTime + std::chrono::milliseconds(random() % 400));
        restart();
        eventually([&] { return recovery_status().at("believed").at("waits") > 0; },
            100ms);  // applied with the target list
        applied_waits += recovery_status().at("believed").at("waits").get<std::size_t>();
    }
    EXPECT_EQ(early_calls(kWait), 0u) << "seed " << seed << '\n' << node.log();
    EXPECT_GT(applied_waits, 0u) << "no wait outlasted a restart in any round: seed " << seed;
    std::cout << "rounds " << rounds << ", calls " << targets.calls().size() << ", waits applied "
              << applied_waits << ", seed " << seed << '\n';
}

// The process is killed with a backlog of 30 messages, and the target is healthy again. The backlog must be
// released gradually, a few messages at first.
TEST_F(RestartRecoveryTest, BacklogIsReleasedGradually) {
    node.config()["settings"]["n_instances"] = 2;
    CallScript hang;
    hang.kind = CallScript::Kind::Hang, hang.takes_effect = false;
    targets.usual(0, hang);
    start_with({member("s-0", 0)});
    Client client = node.client();
    for (int i = 0; i < 30; ++i) ASSERT_EQ(enqueue(client, new_message_id(), "safe", 7, 60'000), "+OK");
    kill();
    const std::size_t before = targets.calls().size();
    CallScript slow;
    slow.delay = 150ms;
    targets.usual(0, slow);
    node.start_ready();
    ASSERT_TRUE(targets.wait_calls(before + 1, kDeadline)) << node.log();
    std::this_thread::sleep_for(60ms);  // no call is answered yet
    EXPECT_LE(targets.calls().size(), before + 2)
        << "without pacing half of the slots or more would be used at once";
    ASSERT_TRUE(eventually([&] { return targets.effects_by_id().size() == 30; }))
        << node.log() << recovery_status().dump(1);
    EXPECT_TRUE(eventually([&] { return recovery_status().at("phase") == "full"; }))
        << recovery_status().dump(1);
    EXPECT_EQ(recovery_status().at("owed").at("all"), 30);
    EXPECT_FALSE(recovery_status().at("full_after_ms").is_null());
}
// A message that arrives while the backlog is being released must not be queued behind it.
TEST_F(RestartRecoveryTest, NewMessagesDoNotWaitForTheBacklog) {
    CallScript hang;
    hang.kind = CallScript::Kind::Hang, hang.takes_effect = false;
    targets.usual(0, hang);
    start_with({member("s-0", 0)});
    {
        Client client = node.client();
        for (int i = 0; i < 35; ++i) ASSERT_EQ(enqueue(client, new_message_id(), "safe", 7, 60'000), "+OK");
    }
    kill();
    CallScript slow;
    slow.delay = 300ms;
    targets.usual(0, slow);
    const std::size_t before = targets.calls().size();
    node.start_ready();
    Client client = node.client();
    const std::string new_message = new_message_id();
    ASSERT_EQ(enqueue(client, new_message, "safe", 7, 60'000), "+OK");
    ASSERT_TRUE(eventually([&] { return targets.effects_by_id().contains(new_message); })) << node.log();
    EXPECT_LE(targets.calls().size(), before + 12) << "the new message was sent after most of the backlog";
}

// A known outage must still be known after a restart: the target is then tried within its budget only, not by
// every message.
TEST_F(RestartRecoveryTest, KnownOutageIsRestoredFromTheSnapshot) {
    CallScript failure;
    failure.status = 500, failure.takes_effect = false;
    targets.usual(0, failure);
    start_with({member("s-0", 0), member("s-1", 1)});
    Client client = node.client();
    for (int i = 0; i < 12; ++i) ASSERT_EQ(enqueue(client, new_message_id()), "+OK");
    ASSERT_TRUE(eventually([&] { return targets.effects_by_id().size() == 12; })) << node.log();
    ASSERT_TRUE(wait_for_snapshot([](const auto& snapshot) {
        return std::any_of(snapshot.targets.begin(), snapshot.targets.end(),
            [](const auto& target) { return target.outage.has_value(); });
    })) << node.log();
    restart();
    EXPECT_GE(recovery_status().at("believed").at("learned"), 1) << recovery_status().dump(1);
    const auto calls_to_failing_target = [&] {
        const auto calls = targets.calls();
        return std::count_if(calls.begin(), calls.end(), [](const auto& call) { return call.target == 0; });
    };
    const auto before = calls_to_failing_target();
    Client new_client = node.client();
    for (int i = 0; i < 20; ++i) ASSERT_EQ(enqueue(new_client, new_message_id()), "+OK");
    ASSERT_TRUE(eventually([&] { return targets.effects_by_id().size() == 32; })) << node.log();
    EXPECT_LE(calls_to_failing_target() - before, 2) << node.log();
}

// ---- lost, damaged or foreign files ----

TEST_F(RestartRecoveryTest, LostJournalIsReported) {
    CallScript hang;
    hang.kind = CallScript::Kind::Hang;
    targets.usual(0, hang);
    start_with({member("s-0", 0)});
    Client client = node.client();
    for (int i = 0; i < 5; ++i) ASSERT_EQ(enqueue(client, new_message_id()), "+OK");
    ASSERT_TRUE(wait_for_snapshot([](const auto& snapshot) { return snapshot.held == 5; }));
    kill();
    fs::remove(node.state() / "journal");
    node.start_ready();
    EXPECT_TRUE(recovery_status().at("lost").at("journal").get<bool>());
    EXPECT_TRUE(node.logs("a part of the folder is lost")) << node.log();
}
TEST_F(RestartRecoveryTest, DamagedOrForeignSnapshotIsNotRead) {
    start_with({member("s-0", 0)});
    Client client = node.client();
    ASSERT_EQ(enqueue(client, new_message_id()), "+OK");
    ASSERT_TRUE(wait_for_snapshot([](const auto&) { return true; }));
    kill();
    const std::string whole = bytes(node.state() / "learned");
    std::string newer_version = whole, text = "nothing of the kind";
    newer_version[4] = 9;
    int served = 1;
    for (const std::string& invalid :
        {whole.substr(0, whole.size() / 2), newer_version, text, std::string()}) {
        std::ofstream(node.state() / "learned", std::ios::binary | std::ios::trunc) << invalid;
        node.start_ready();
        EXPECT_EQ(recovery_status().at("believed").at("facts"), 0);
        Client again = node.client();
        ASSERT_EQ(enqueue(again, new_message_id()), "+OK");
        ++served;
        ASSERT_TRUE(eventually([&] { return targets.effects_by_id().size() == std::size_t(served); }))
            << node.log();
        kill();
    }
    node.start_ready();
}
// The snapshot file cannot be written: messages are delivered all the same, and the failure is counted.
TEST_F(RestartRecoveryTest, DeliversMessagesWhenTheSnapshotCannotBeWritten) {
    fs::create_directories(node.state() / "learned.new" / "in the way");
    start_with({member("s-0", 0)});
    Client client = node.client();
    ASSERT_EQ(enqueue(client, new_message_id()), "+OK");
    ASSERT_TRUE(eventually([&] { return recovery_status().at("snapshots").at("failed") > 0; }))
        << recovery_status().dump(1);
    ASSERT_EQ(enqueue(client, new_message_id()), "+OK");
    EXPECT_TRUE(eventually([&] { return targets.effects_by_id().size() == 2; })) << node.log();
}
// With snapshots and pacing disabled in the operator's file nothing is written, and the whole backlog is sent
// at once.
TEST_F(RestartRecoveryTest, DisabledWritesNoSnapshotAndDoesNotPace) {
    std::ofstream(node.folder() / "operator.toml") << "[return]\nsnapshots = false\npace = false\n";
    CallScript hang;
    hang.kind = CallScript::Kind::Hang, hang.takes_effect = false;
    targets.usual(0, hang);
    start_with({member("s-0", 0)});
    Client client = node.client();
    for (int i = 0; i < 6; ++i) ASSERT_EQ(enqueue(client, new_message_id(), "safe", 7, 60'000), "+OK");
    kill();
    const std::size_t before = targets.calls().size();
    targets.usual(0, {});
    node.start_ready();
    ASSERT_TRUE(targets.wait_calls(before + 6, kDeadline));
    EXPECT_FALSE(fs::exists(node.state() / "learned"));
    EXPECT_EQ(recovery_status().at("owed").at("all"), 0);
}

// ---- a cluster of three forwarders ----

class ClusterRestartTest : public DiscoveryTest {
protected:
    static constexpr std::size_t kMembers = 3;
    ClusterRestartTest() {
        std::vector<std::string> peers;
        {
            boost::asio::io_context io;
            std::vector<boost::asio::ip::udp::socket>
                taken;  // released together, so that the forwarders can bind the ports
            for (std::size_t i = 0; i < kMembers; ++i) {
                taken.emplace_back(
                    io, boost::asio::ip::udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
                peers.push_back("127.0.0.1:" + std::to_string(taken.back().local_endpoint().port()));
            }
        }
        directory.put_all({member("s-0", 0), member("s-1", 1)});
        for (std::size_t i = 0; i < kMembers; ++i) {
            Json config = make_config("127.0.0.1:1", directory.address());
            config["settings"]["n_instances"] = kMembers, config["settings"]["me"] = i;
            config["settings"]["limits"]["peers"] = true;
            config["peer_listen"] = peers[i], config["peers"] = peers;
            const auto address_in_use = [this] {
                for (const auto& earlier : nodes)
                    if (earlier != nodes.back() && earlier->address() == nodes.back()->address()) return true;
                return nodes.back()->address() == node.address();
            };
            nodes.push_back(std::make_unique<Node>(config));
            while (address_in_use()) nodes.back() = std::make_unique<Node>(config);
            nodes.back()->set_environment("LOCKGW_CONFIG", TIER_FILE);
        }
        for (const auto& member : nodes) member->start_ready();
    }
    Json ask(std::size_t index, const std::string& verb, const Json& args = Json::object()) {
        return control::ask(nodes[index]->state() / "control", verb, args);
    }
    void wait_all_alive() {
        ASSERT_TRUE(eventually([&] {
            for (std::size_t i = 0; i < kMembers; ++i) {
                const Json status = ask(i, "tier");
                for (const Json& row : status.at("members"))
                    if (row.at("is") != "alive") return false;
            }
            return true;
        }));
    }
    /// Waits until the processes no longer count as young (5 s): answers of young peers are not relied on.
    void wait_until_not_young() { std::this_thread::sleep_for(5200ms); }
    std::vector<std::unique_ptr<Node>> nodes;
};

// An operator has taken a target offline at each forwarder. One of them loses its folder and with it the
// order: it must learn the order from its peers before it sends anything.
TEST_F(ClusterRestartTest, LostOrdersAreFetchedFromPeersBeforeTheFirstCall) {
    wait_all_alive();
    for (std::size_t i = 0; i < kMembers; ++i)
        ASSERT_TRUE(eventually([&] {
            try {
                return ask(i, "order", {{"what", "offline"}, {"target", "s-0"}}).contains("done");
            } catch (const control::Refused&) {
                return false;  // the target is not listed there yet
            }
        }));
    wait_until_not_young();
    nodes[2]->kill(), nodes[2]->wait();
    fs::remove_all(nodes[2]->state());
    const std::size_t before = targets.calls().size();
    nodes[2]->start_ready();
    Client client = nodes[2]->client();
    for (int i = 0; i < 12; ++i) ASSERT_EQ(enqueue(client, new_message_id()), "+OK");
    ASSERT_TRUE(targets.wait_calls(before + 12, kDeadline)) << nodes[2]->log();
    for (const auto& call : targets.calls()) EXPECT_EQ(call.target, 1u) << nodes[2]->log();
    EXPECT_EQ(ask(2, "status").at("out_by_hand"), Json::array({"s-0"}));
    EXPECT_EQ(ask(2, "return").at("peers").at("out_by_hand"), 1);
}
// A copy of the folder is restored in which a keyed message has not been sent yet, although it was sent and
// took effect after the copy was made. The peers heard of the process after that time, so the message may
// have run; its deduplication window is over, and it must not be sent again.
TEST_F(ClusterRestartTest, RestoredOldFolderDoesNotResendAKeyedMessage) {
    wait_all_alive();
    CallScript refused;  // a refused call has certainly not run
    refused.status = 429, refused.takes_effect = false, refused.headers = "Retry-After: 0.2\r\n";
    targets.usual(0, refused), targets.usual(1, refused);
    Client client = nodes[2]->client();
    const std::string id = new_message_id();
    ASSERT_EQ(enqueue(client, id, "keyed", 7, 60'000), "+OK");
    ASSERT_TRUE(eventually([&] { return fs::exists(nodes[2]->state() / "learned"); }));
    std::this_thread::sleep_for(400ms);  // so that a snapshot as old as the copy exists
    const fs::path copy = nodes[2]->folder() / "copy";
    rig::copy_files(nodes[2]->state(), copy);
    targets.usual(0, {}), targets.usual(1, {});
    ASSERT_TRUE(eventually([&] { return targets.effects_by_id().contains(id); })) << nodes[2]->log();
    std::this_thread::sleep_for(
        16s);  // the copy must be older than kLacking, and its snapshot may be 5 s old when it is made
    nodes[2]->kill(), nodes[2]->wait();
    fs::remove_all(nodes[2]->state());
    fs::rename(copy, nodes[2]->state());
    nodes[2]->start_ready();
    ASSERT_TRUE(eventually([&] { return ask(2, "return").at("phase") == "full"; })) << nodes[2]->log();
    EXPECT_FALSE(ask(2, "return").at("lost").at("folder_older_ms").is_null()) << nodes[2]->log();
    EXPECT_EQ(targets.effects_by_id().at(id), 1) << nodes[2]->log();
}

}  // namespace
}  // namespace lockgw
