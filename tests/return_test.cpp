// The program killed and back: what it may not forget, what it must not believe, and at which pace it goes
// on. Counted from outside, by the stand-ins.
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

class ReturnTest : public DiscoveryTest {
protected:
    explicit ReturnTest(std::size_t count = 3) : DiscoveryTest(count) {
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
    Json told() { return control::ask(node.state() / "control", "return"); }
    void kill() { node.kill(), node.wait(); }
    void restart() { kill(), node.start_ready(); }
    std::string bytes(const fs::path& path) {
        std::ifstream stream(path, std::ios::binary);
        return {std::istreambuf_iterator<char>(stream), {}};
    }
    /// Written since, so that what was learned before stands in it.
    bool snapshot_after(const std::function<bool(const recovery::Snapshot&)>& holds) {
        return eventually([&] {
            const auto read = recovery::snapshot_of(bytes(node.state() / "learned"));
            return read.snapshot && holds(*read.snapshot);
        });
    }
    /// Calls that came while a wait ran which an earlier call was told; two that were out together know of
    /// none.
    std::size_t broken(std::chrono::milliseconds wait) const {
        std::size_t all = 0;
        const auto calls = targets.calls();
        for (std::size_t i = 0; i < calls.size(); ++i)
            for (std::size_t j = 0; j < i; ++j) {
                const auto after = calls[i].first_byte - calls[j].first_byte;
                if (calls[i].target != calls[j].target || after <= kRead || after >= wait - 2ms) continue;
                ++all;
                break;
            }
        return all;
    }
    static constexpr auto kRead = 40ms;  // an answer has been read by then
};

// A target refuses and names a wait; the process is killed at some instant after the answer has come, and is
// back long before the wait is over. RETURN_KILLS in the environment asks for more rounds.
TEST_F(ReturnTest, AToldWaitHoldsOverKillsAtRandomInstants) {
    const char* asked = std::getenv("RETURN_KILLS");
    const int rounds = asked ? std::atoi(asked) : 12;
    const unsigned seed = std::random_device{}();
    std::mt19937 random(seed);
    constexpr auto kWait = 700ms;
    targets.usual(0, refusal(kWait));
    start_with({member("s-0", 0)});
    std::size_t held = 0;
    for (int round = 0; round < rounds; ++round) {
        const std::size_t before = targets.calls().size();
        Client client = node.client();
        ASSERT_EQ(enqueue(client, new_message_id(), "safe", 7, 4'000), "+OK");
        ASSERT_TRUE(targets.wait_calls(before + 1, kDeadline)) << node.log();
        std::this_thread::sleep_for(kRead + std::chrono::milliseconds(random() % 400));
        restart();
        eventually([&] { return told().at("believed").at("waits") > 0; }, 100ms);  // with the list
        held += told().at("believed").at("waits").get<std::size_t>();
    }
    EXPECT_EQ(broken(kWait), 0u) << "seed " << seed << '\n' << node.log();
    EXPECT_GT(held, 0u) << "no round had a wait that ran on: seed " << seed;
    std::cout << "rounds " << rounds << ", calls " << targets.calls().size() << ", waits held " << held
              << ", seed " << seed << '\n';
}

// Killed with thirty messages owed; the target is well again. They come by and by, the first few of them
// first.
TEST_F(ReturnTest, WhatIsOwedIsTakenUpByAndBy) {
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
    std::this_thread::sleep_for(60ms);  // none is answered yet
    EXPECT_LE(targets.calls().size(), before + 2) << "half of the slots and more would go at once";
    ASSERT_TRUE(eventually([&] { return targets.effects_by_id().size() == 30; }))
        << node.log() << told().dump(1);
    EXPECT_TRUE(eventually([&] { return told().at("phase") == "full"; })) << told().dump(1);
    EXPECT_EQ(told().at("owed").at("all"), 30);
    EXPECT_FALSE(told().at("full_after_ms").is_null());
}
// A message that comes while the backlog is taken up is not queued behind it.
TEST_F(ReturnTest, ClientsAreServedWhileTheBacklogWaits) {
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
    const std::string fresh = new_message_id();
    ASSERT_EQ(enqueue(client, fresh, "safe", 7, 60'000), "+OK");
    ASSERT_TRUE(eventually([&] { return targets.effects_by_id().contains(fresh); })) << node.log();
    EXPECT_LE(targets.calls().size(), before + 12) << "it went after most of the backlog";
}

// An outage that was known is known still: the target is tried by its budget, not by each message.
TEST_F(ReturnTest, AKnownOutageIsBelieved) {
    CallScript bad;
    bad.status = 500, bad.takes_effect = false;
    targets.usual(0, bad);
    start_with({member("s-0", 0), member("s-1", 1)});
    Client client = node.client();
    for (int i = 0; i < 12; ++i) ASSERT_EQ(enqueue(client, new_message_id()), "+OK");
    ASSERT_TRUE(eventually([&] { return targets.effects_by_id().size() == 12; })) << node.log();
    ASSERT_TRUE(snapshot_after([](const auto& one) {
        return std::any_of(
            one.targets.begin(), one.targets.end(), [](const auto& t) { return t.outage.has_value(); });
    })) << node.log();
    restart();
    EXPECT_GE(told().at("believed").at("learned"), 1) << told().dump(1);
    const auto to_bad = [&] {
        const auto calls = targets.calls();
        return std::count_if(calls.begin(), calls.end(), [](const auto& call) { return call.target == 0; });
    };
    const auto before = to_bad();
    Client fresh = node.client();
    for (int i = 0; i < 20; ++i) ASSERT_EQ(enqueue(fresh, new_message_id()), "+OK");
    ASSERT_TRUE(eventually([&] { return targets.effects_by_id().size() == 32; })) << node.log();
    EXPECT_LE(to_bad() - before, 2) << node.log();
}

// ---- what is lost, torn or another's ----

TEST_F(ReturnTest, ALostJournalIsTold) {
    CallScript hang;
    hang.kind = CallScript::Kind::Hang;
    targets.usual(0, hang);
    start_with({member("s-0", 0)});
    Client client = node.client();
    for (int i = 0; i < 5; ++i) ASSERT_EQ(enqueue(client, new_message_id()), "+OK");
    ASSERT_TRUE(snapshot_after([](const auto& one) { return one.held == 5; }));
    kill();
    fs::remove(node.state() / "journal");
    node.start_ready();
    EXPECT_TRUE(told().at("lost").at("journal").get<bool>());
    EXPECT_TRUE(node.logs("a part of the folder is lost")) << node.log();
}
TEST_F(ReturnTest, ATornOrStrangeSnapshotIsNotRead) {
    start_with({member("s-0", 0)});
    Client client = node.client();
    ASSERT_EQ(enqueue(client, new_message_id()), "+OK");
    ASSERT_TRUE(snapshot_after([](const auto&) { return true; }));
    kill();
    const std::string whole = bytes(node.state() / "learned");
    std::string newer = whole, text = "nothing of the kind";
    newer[4] = 9;
    int served = 1;
    for (const std::string& spoilt : {whole.substr(0, whole.size() / 2), newer, text, std::string()}) {
        std::ofstream(node.state() / "learned", std::ios::binary | std::ios::trunc) << spoilt;
        node.start_ready();
        EXPECT_EQ(told().at("believed").at("facts"), 0);
        Client again = node.client();
        ASSERT_EQ(enqueue(again, new_message_id()), "+OK");
        ++served;
        ASSERT_TRUE(eventually([&] { return targets.effects_by_id().size() == std::size_t(served); }))
            << node.log();
        kill();
    }
    node.start_ready();
}
// Its file cannot be written: nothing else suffers, and it says so once.
TEST_F(ReturnTest, AFullDiskTakesNoSnapshotAndNothingElseSuffers) {
    fs::create_directories(node.state() / "learned.new" / "in the way");
    start_with({member("s-0", 0)});
    Client client = node.client();
    ASSERT_EQ(enqueue(client, new_message_id()), "+OK");
    ASSERT_TRUE(eventually([&] { return told().at("snapshots").at("failed") > 0; })) << told().dump(1);
    ASSERT_EQ(enqueue(client, new_message_id()), "+OK");
    EXPECT_TRUE(eventually([&] { return targets.effects_by_id().size() == 2; })) << node.log();
}
// Off by the operator's file: nothing is written, and what is owed goes at once, as before.
TEST_F(ReturnTest, OffMeansAsBefore) {
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
    EXPECT_EQ(told().at("owed").at("all"), 0);
}

// ---- peers: three that watch one another ----

class ReturnOfOneTest : public DiscoveryTest {
protected:
    static constexpr std::size_t kMembers = 3;
    ReturnOfOneTest() {
        std::vector<std::string> peers;
        {
            boost::asio::io_context io;
            std::vector<boost::asio::ip::udp::socket> taken;  // given back together: the forwarders bind them
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
            const auto taken_already = [this] {
                for (const auto& other : nodes)
                    if (other != nodes.back() && other->address() == nodes.back()->address()) return true;
                return nodes.back()->address() == node.address();
            };
            nodes.push_back(std::make_unique<Node>(config));
            while (taken_already()) nodes.back() = std::make_unique<Node>(config);
            nodes.back()->set_environment("LOCKGW_CONFIG", TIER_FILE);
        }
        for (const auto& one : nodes) one->start_ready();
    }
    Json ask(std::size_t who, const std::string& verb, const Json& args = Json::object()) {
        return control::ask(nodes[who]->state() / "control", verb, args);
    }
    void wait_all_alive() {
        ASSERT_TRUE(eventually([&] {
            for (std::size_t i = 0; i < kMembers; ++i) {
                const Json told = ask(i, "tier");
                for (const Json& row : told.at("members"))
                    if (row.at("is") != "alive") return false;
            }
            return true;
        }));
    }
    void let_them_grow_old() { std::this_thread::sleep_for(5200ms); }
    std::vector<std::unique_ptr<Node>> nodes;
};

// An operator has taken a target out at each of them. One loses its folder, and with it the order: its peers
// know.
TEST_F(ReturnOfOneTest, OrdersThatWereLostAreAskedForBeforeTheFirstSend) {
    wait_all_alive();
    for (std::size_t i = 0; i < kMembers; ++i)
        ASSERT_TRUE(eventually([&] {
            try {
                return ask(i, "order", {{"what", "offline"}, {"target", "s-0"}}).contains("done");
            } catch (const control::Refused&) {
                return false;  // it is not listed there yet
            }
        }));
    let_them_grow_old();
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
// A copy of the folder is put back in which a keyed message has not been sent yet. It was, since, and took
// effect: the peers heard of the process after the copy was made, so the message may have run, and its window
// is over.
TEST_F(ReturnOfOneTest, AnOldCopyDoesNotSendAKeyedMessageAgain) {
    wait_all_alive();
    CallScript refused;  // it surely has not run there
    refused.status = 429, refused.takes_effect = false, refused.headers = "Retry-After: 0.2\r\n";
    targets.usual(0, refused), targets.usual(1, refused);
    Client client = nodes[2]->client();
    const std::string id = new_message_id();
    ASSERT_EQ(enqueue(client, id, "keyed", 7, 60'000), "+OK");
    ASSERT_TRUE(eventually([&] { return fs::exists(nodes[2]->state() / "learned"); }));
    std::this_thread::sleep_for(400ms);  // a snapshot that is as old as the copy
    const fs::path copy = nodes[2]->folder() / "copy";
    rig::copy_files(nodes[2]->state(), copy);
    targets.usual(0, {}), targets.usual(1, {});
    ASSERT_TRUE(eventually([&] { return targets.effects_by_id().contains(id); })) << nodes[2]->log();
    std::this_thread::sleep_for(
        16s);  // the copy lacks more than kLacking, and its mark may be 5 s old itself
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
