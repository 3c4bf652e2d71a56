// Coordinated maintenance with real processes: a host of targets, hooks, a lease that outlasts a killed
// process, and plans that are rejected.
#include <gtest/gtest.h>

#include <boost/asio/ip/udp.hpp>
#include <fstream>

#include "control/client.hpp"
#include "discovery_fixture.hpp"
#include "program/commands.hpp"

namespace lockgw {
namespace {

class MaintenanceProgramTest : public DiscoveryTest {
protected:
    static constexpr std::size_t kMembers = 3;

    MaintenanceProgramTest() : DiscoveryTest(3) {
        boost::asio::io_context io;
        std::vector<boost::asio::ip::udp::socket>
            taken;  // released together, so that the forwarders can bind the ports
        std::vector<std::string> peers;
        for (std::size_t i = 0; i < kMembers; ++i) {
            taken.emplace_back(
                io, boost::asio::ip::udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
            peers.push_back("127.0.0.1:" + std::to_string(taken.back().local_endpoint().port()));
        }
        directory.put_all({member("s-1", 0), member("s-2", 1), member("s-3", 2)});
        for (std::size_t i = 0; i < kMembers; ++i) {
            Json config = make_config("127.0.0.1:1", directory.address());
            config["settings"]["n_instances"] = kMembers, config["settings"]["me"] = i;
            config["settings"]["limits"]["peers"] = true;
            config["peer_listen"] = peers[i], config["peers"] = peers;
            nodes.push_back(std::make_unique<Node>(config));
            write_file(i, "");
        }
    }
    void TearDown() override {
        if (!HasFailure()) return;
        for (const auto& node : nodes) std::cerr << node->log() << '\n';
    }
    void write_file(std::size_t i, const std::string& more) {
        const auto path = nodes[i]->folder() / "operator.toml";
        std::ofstream(path) << "[tier]\non = true\n[log]\nlevel = \"info\"\n[work]\non = true\n" << more;
        nodes[i]->set_environment("LOCKGW_CONFIG", path.string());
    }
    void start_all() {
        for (const auto& node : nodes) node->start_ready();
    }
    Json ask(std::size_t node, Json args) {
        return control::ask(nodes[node]->state() / "control", "work", args);
    }
    Json status(std::size_t node) { return ask(node, {{"do", "status"}}); }
    /// Returns the reason for a refusal; empty if the command was carried out.
    std::string run_command(std::size_t node, const Json& args) {
        try {
            return ask(node, args), "";
        } catch (const control::Refused& refused) {
            return refused.what();
        }
    }
    bool waits_until(const std::function<bool()>& holds) {
        const auto until = std::chrono::steady_clock::now() + kDeadline;
        while (std::chrono::steady_clock::now() < until) {
            try {
                if (holds()) return true;
            } catch (const std::exception&) {  // the process is still starting
            }
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }
    /// Waits until all forwarders vote: a plan may not be decided before.
    void wait_all_joined() {
        for (std::size_t i = 0; i < kMembers; ++i)
            ASSERT_TRUE(waits_until([&] { return status(i).at("own").at("joined").get<bool>(); })) << i;
    }
    void submit_and_approve(const std::string& plan) {
        wait_all_joined();
        ASSERT_EQ(run_command(0, {{"do", "plan"}, {"text", plan}, {"approve", true}}), "");
    }
    std::size_t calls_to(std::size_t target) {
        std::size_t count = 0;
        for (const auto& call : targets.calls()) count += call.target == target;
        return count;
    }
    void send(std::size_t node, int count) {
        Client client(nodes[node]->address());
        for (int i = 0; i < count; ++i) ASSERT_EQ(enqueue(client, new_message_id()), "+OK");
    }
    std::vector<std::unique_ptr<Node>> nodes;
};

// A host is free for maintenance once no forwarder has a call in flight to it. From then on no forwarder
// calls it until the work is done, not even one that is killed and restarted meanwhile.
TEST_F(MaintenanceProgramTest, HostGetsNoCallsUntilItsMaintenanceIsDone) {
    rig::CallScript slow;
    slow.delay = 1500ms;
    start_all();
    targets.usual(0, slow);
    send(1, 30);
    ASSERT_TRUE(targets.wait_calls(10, kDeadline));
    const bool in_use = calls_to(0) > 0;
    submit_and_approve(
        "name = \"disk\"\nmost_out = 1\nleast_left = 0.5\neach_s = 60\n[[host]]\nname = \"h1\"\ntargets = "
        "[\"s-1\"]\n");
    const auto host_phase = [&](std::size_t node) {
        const Json outs = status(node).at("outs");
        return outs.empty() ? std::string("in") : outs[0].at("is").get<std::string>();
    };
    ASSERT_TRUE(waits_until([&] { return host_phase(1) == "leaving" || host_phase(1) == "free"; }));
    ASSERT_TRUE(waits_until([&] { return host_phase(1) == "free"; })) << status(1).dump(1);
    EXPECT_TRUE(in_use) << "no call was in flight to the host: the test checked less than intended";
    targets.usual(0, {});
    const std::size_t before = calls_to(0);
    nodes[1]->kill(), nodes[1]->wait();
    nodes[1]->start_ready();
    for (std::size_t i = 0; i < kMembers; ++i) send(i, 40);
    ASSERT_TRUE(waits_until([&] { return targets.effects_by_id().size() >= 150; }));
    EXPECT_EQ(calls_to(0), before) << "its host is under maintenance";
    EXPECT_NE(run_command(2, {{"do", "done"}, {"machine", "h2"}}), "") << "no such host";
    EXPECT_EQ(run_command(2, {{"do", "done"}, {"machine", "h1"}}), "");
    for (std::size_t i = 0; i < kMembers; ++i)
        EXPECT_TRUE(waits_until([&] { return status(i).at("mode") == "finished"; })) << i;
    EXPECT_TRUE(waits_until([&] {
        send(0, 5);
        return calls_to(0) > before;
    })) << "the host must get calls again";
}
// Each forwarder runs its own hook, one forwarder at a time. A hook that fails puts the plan on hold, and the
// status names the machine.
TEST_F(MaintenanceProgramTest, HooksRunOneAtATimeAndAFailureHoldsThePlan) {
    const auto hook_log = nodes[0]->folder() / "notes";
    for (std::size_t i = 0; i < kMembers; ++i) {
        const auto script = nodes[i]->folder() / "hook";
        std::ofstream(script) << "#!/bin/sh\necho begin $LOCKGW_WORK_MACHINE $LOCKGW_WORK_FENCE >>"
                              << hook_log.string() << "\nsleep 0.3\necho end $LOCKGW_WORK_MACHINE >>"
                              << hook_log.string() << "\ntest ! -e "
                              << (nodes[i]->folder() / "breaks").string() << '\n';
        std::filesystem::permissions(script, std::filesystem::perms::owner_all);
        write_file(i, "hook = [\"" + script.string() + "\"]\n");
    }
    std::ofstream(nodes[2]->folder() / "breaks") << "yes";
    start_all();
    submit_and_approve(
        "name = \"update\"\ntask = \"hook\"\nmost_out = 1\nleast_in = 2\neach_s = 30\nforwarders = "
        "\"0-2\"\n");
    ASSERT_TRUE(waits_until([&] { return status(0).at("mode") == "held"; })) << status(0).dump(1);
    const Json held = status(0);
    EXPECT_EQ(held.at("reason"), "broken");
    EXPECT_EQ(held.at("about"), "2");
    ASSERT_TRUE(waits_until([&] { return status(2).at("own").at("phase") == "working"; }));
    EXPECT_EQ(run_command(2, {{"do", "done"}}), "") << "an operator reports it as done";
    EXPECT_EQ(run_command(1, {{"do", "approve"}}), "");
    ASSERT_TRUE(waits_until([&] { return status(0).at("mode") == "finished"; })) << status(0).dump(1);
    std::ifstream stream(hook_log);
    int running = 0, started = 0;
    for (std::string line; std::getline(stream, line);) {
        running += line.starts_with("begin") ? 1 : -1, started += line.starts_with("begin");
        EXPECT_LE(running, 1) << "two hooks ran at once";
    }
    EXPECT_EQ(started, 3);
}
// A forwarder that is out for manual maintenance is killed and restarted: it must be out of service from its
// start, with the same lease, and the other forwarders wait for it.
TEST_F(MaintenanceProgramTest, LeaseOutlastsItsProcess) {
    start_all();
    wait_all_joined();
    ASSERT_EQ(run_command(1, {{"do", "request"}, {"for_s", 60}, {"why", "a new disk"}}), "");
    ASSERT_TRUE(waits_until([&] { return status(1).at("own").at("phase") == "working"; }))
        << status(1).dump(1);
    EXPECT_EQ(Client(nodes[1]->address()).ask({"PING"}).substr(0, 1), "-") << "it must be out of service";
    const auto fence = status(1).at("own").at("fence");
    nodes[1]->kill(), nodes[1]->wait();
    nodes[1]->start();
    ASSERT_TRUE(waits_until([&] { return status(1).at("own").at("phase") == "working"; }));
    EXPECT_EQ(status(1).at("own").at("fence"), fence);
    EXPECT_NE(run_command(0, {{"do", "request"}, {"for_s", 60}}), "") << "a plan is already in force";
    EXPECT_NE(run_command(0, {{"do", "done"}, {"machine", "1"}}), "")
        << "only the forwarder itself may report it as done";
    ASSERT_EQ(run_command(1, {{"do", "done"}}), "");
    ASSERT_TRUE(waits_until([&] { return status(0).at("mode") == "finished"; })) << status(0).dump(1);
    ASSERT_TRUE(waits_until([&] { return Client(nodes[1]->address()).ask({"PING"}) == "+PONG"; }));
}
// With most of the voters down no forwarder leaves service, and the operator is told why.
TEST_F(MaintenanceProgramTest, WithoutAMajorityNoForwarderLeavesService) {
    start_all();
    wait_all_joined();
    for (const std::size_t i : {1u, 2u}) nodes[i]->kill(), nodes[i]->wait();
    const std::string why = run_command(0, {{"do", "request"}, {"for_s", 60}});
    EXPECT_NE(why.find("voters"), std::string::npos) << why;
    EXPECT_EQ(status(0).at("own").at("phase"), "serving");
    EXPECT_EQ(Client(nodes[0]->address()).ask({"PING"}), "+PONG");
}
TEST_F(MaintenanceProgramTest, InvalidPlansAreRejectedWithAReason) {
    start_all();
    const auto error_of = [&](const std::string& text) {
        return run_command(0, {{"do", "plan"}, {"name", "p.toml"}, {"text", text}});
    };
    EXPECT_NE(error_of("name = \"p\"\nforwarders = \"0-3\"\n").find("forwarder 3 of a tier of 3"),
        std::string::npos);
    EXPECT_NE(error_of("name = \"p\"\nforwarders = \"0-2\"\nleast_in = 3\n").find("can never run"),
        std::string::npos);
    EXPECT_NE(
        error_of("name = \"p\"\n\nmost = 2\nforwarders = \"0\"\n").find("p.toml:3:"), std::string::npos);
    EXPECT_NE(error_of("name = \"p\"\nhours = \"22:00\"\nforwarders = \"0\"\n").find("p.toml:2:"),
        std::string::npos);
    EXPECT_NE(
        error_of("name = \"p\"\n[[host]]\nname = \"h\"\ntargets = [\"s-9\"]\n").find("no destination has"),
        std::string::npos);
    EXPECT_NE(error_of("name = \"p\"\n[[host]]\nname = \"h\"\ntargets = [\"s-1\", \"s-2\", \"s-3\"]\n")
                  .find("would be empty"),
        std::string::npos);
    EXPECT_NE(error_of("name = \"p\"\nleast_left = 0.9\n[[host]]\nname = \"h\"\ntargets = [\"s-1\"]\n")
                  .find("can never run"),
        std::string::npos);
    EXPECT_NE(
        error_of(
            "name = \"p\"\n[[host]]\nname = \"h\"\ntargets = [\"s-1\"]\n[[host]]\nname = \"i\"\ntargets = "
            "[\"s-1\"]\n")
            .find("runs on host"),
        std::string::npos);
}

// `lockgw check FILE --plan A --plan B`.
TEST(MaintenancePlans, AreCheckedAgainstTheOperatorFileAndEachOther) {
    rig::TemporaryFolder folder;
    const auto file = [&](const char* name, const std::string& text) {
        const auto path = folder.path() / name;
        std::ofstream(path) << text;
        return path.string();
    };
    program::Sources sources;
    sources.operator_file = EXAMPLE_FILE;
    const auto check = [&](const std::vector<std::string>& plans) {
        ::testing::internal::CaptureStderr();
        const int code = program::check_plans(sources, plans);
        return std::pair(code, ::testing::internal::GetCapturedStderr());
    };
    const std::string a =
        file("a.toml", "name = \"a\"\n[[host]]\nname = \"x\"\ntargets = [\"lab.example.org/a\"]\n");
    EXPECT_EQ(check({a}), (std::pair<int, std::string>(0, "")));
    const std::string b =
        file("b.toml", "name = \"b\"\n[[host]]\nname = \"x\"\ntargets = [\"lab.example.org/b\"]\n");
    const auto both = check({a, b});
    EXPECT_EQ(both.first, 1);
    EXPECT_NE(both.second.find("both name host \"x\""), std::string::npos) << both.second;
    const std::string empty =
        file("c.toml", "name = \"c\"\n[[host]]\nname = \"y\"\ntargets = [\"shop.example.org/a\"]\n");
    const auto emptying = check({empty});
    EXPECT_EQ(emptying.first, 1);
    EXPECT_NE(emptying.second.find("c.toml:2:"), std::string::npos) << emptying.second;
    EXPECT_NE(emptying.second.find("shop.example.org: it would be empty"), std::string::npos)
        << emptying.second;
}

}  // namespace
}  // namespace lockgw
