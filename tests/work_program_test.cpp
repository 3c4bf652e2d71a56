// Machines taken out in turn, as processes: a host of targets, a hook, a grant over a kill, plans that make
// no sense.
#include <gtest/gtest.h>

#include <boost/asio/ip/udp.hpp>
#include <fstream>

#include "control/client.hpp"
#include "discovery_fixture.hpp"
#include "program/commands.hpp"

namespace lockgw {
namespace {

class WorkProgramTest : public DiscoveryTest {
protected:
    static constexpr std::size_t kMembers = 3;

    WorkProgramTest() : DiscoveryTest(3) {
        boost::asio::io_context io;
        std::vector<boost::asio::ip::udp::socket> taken;  // given back together: the forwarders bind them
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
    Json ask(std::size_t by, Json args) { return control::ask(nodes[by]->state() / "control", "work", args); }
    Json status(std::size_t by) { return ask(by, {{"do", "status"}}); }
    /// Why it was refused; empty: done.
    std::string does(std::size_t by, const Json& args) {
        try {
            return ask(by, args), "";
        } catch (const control::Refused& refused) {
            return refused.what();
        }
    }
    bool waits_until(const std::function<bool()>& holds) {
        const auto until = std::chrono::steady_clock::now() + kDeadline;
        while (std::chrono::steady_clock::now() < until) {
            try {
                if (holds()) return true;
            } catch (const std::exception&) {  // it starts
            }
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }
    /// A voter that does not vote yet keeps a plan from being settled.
    void all_join() {
        for (std::size_t i = 0; i < kMembers; ++i)
            ASSERT_TRUE(waits_until([&] { return status(i).at("own").at("joined").get<bool>(); })) << i;
    }
    void order(const std::string& plan) {
        all_join();
        ASSERT_EQ(does(0, {{"do", "plan"}, {"text", plan}, {"approve", true}}), "");
    }
    std::size_t calls_at(std::size_t target) {
        std::size_t count = 0;
        for (const auto& call : targets.calls()) count += call.target == target;
        return count;
    }
    void send(std::size_t by, int count) {
        Client client(nodes[by]->address());
        for (int i = 0; i < count; ++i) ASSERT_EQ(enqueue(client, new_message_id()), "+OK");
    }
    std::vector<std::unique_ptr<Node>> nodes;
};

// A host is free once all forwarders have let go of it: a call that is out holds it. Then nothing goes there,
// also not from one that is killed meanwhile and comes back, until its work is done.
TEST_F(WorkProgramTest, AHostIsLeftAloneByAllUntilItsWorkIsDone) {
    rig::CallScript slow;
    slow.delay = 1500ms;
    start_all();
    targets.usual(0, slow);
    send(1, 30);
    ASSERT_TRUE(targets.wait_calls(10, kDeadline));
    const bool held = calls_at(0) > 0;
    order(
        "name = \"disk\"\nmost_out = 1\nleast_left = 0.5\neach_s = 60\n[[host]]\nname = \"h1\"\ntargets = "
        "[\"s-1\"]\n");
    const auto is = [&](std::size_t by) {
        const Json outs = status(by).at("outs");
        return outs.empty() ? std::string("in") : outs[0].at("is").get<std::string>();
    };
    ASSERT_TRUE(waits_until([&] { return is(1) == "leaving" || is(1) == "free"; }));
    ASSERT_TRUE(waits_until([&] { return is(1) == "free"; })) << status(1).dump(1);
    EXPECT_TRUE(held) << "no call was out at the host: the test has shown less than it means to";
    targets.usual(0, {});
    const std::size_t before = calls_at(0);
    nodes[1]->kill(), nodes[1]->wait();
    nodes[1]->start_ready();
    for (std::size_t i = 0; i < kMembers; ++i) send(i, 40);
    ASSERT_TRUE(waits_until([&] { return targets.effects_by_id().size() >= 150; }));
    EXPECT_EQ(calls_at(0), before) << "its host is worked on";
    EXPECT_NE(does(2, {{"do", "done"}, {"machine", "h2"}}), "") << "no such host";
    EXPECT_EQ(does(2, {{"do", "done"}, {"machine", "h1"}}), "");
    for (std::size_t i = 0; i < kMembers; ++i)
        EXPECT_TRUE(waits_until([&] { return status(i).at("mode") == "finished"; })) << i;
    EXPECT_TRUE(waits_until([&] {
        send(0, 5);
        return calls_at(0) > before;
    })) << "it serves again";
}
// Each runs its own hook, one at a time; one that fails holds the rest, and says whom it is about.
TEST_F(WorkProgramTest, HooksRunInTurnAndOneThatFailsHoldsTheRest) {
    const auto notes = nodes[0]->folder() / "notes";
    for (std::size_t i = 0; i < kMembers; ++i) {
        const auto script = nodes[i]->folder() / "hook";
        std::ofstream(script) << "#!/bin/sh\necho begin $LOCKGW_WORK_MACHINE $LOCKGW_WORK_FENCE >>"
                              << notes.string() << "\nsleep 0.3\necho end $LOCKGW_WORK_MACHINE >>"
                              << notes.string() << "\ntest ! -e " << (nodes[i]->folder() / "breaks").string()
                              << '\n';
        std::filesystem::permissions(script, std::filesystem::perms::owner_all);
        write_file(i, "hook = [\"" + script.string() + "\"]\n");
    }
    std::ofstream(nodes[2]->folder() / "breaks") << "yes";
    start_all();
    order(
        "name = \"update\"\ntask = \"hook\"\nmost_out = 1\nleast_in = 2\neach_s = 30\nforwarders = "
        "\"0-2\"\n");
    ASSERT_TRUE(waits_until([&] { return status(0).at("mode") == "held"; })) << status(0).dump(1);
    const Json held = status(0);
    EXPECT_EQ(held.at("reason"), "broken");
    EXPECT_EQ(held.at("about"), "2");
    ASSERT_TRUE(waits_until([&] { return status(2).at("own").at("phase") == "working"; }));
    EXPECT_EQ(does(2, {{"do", "done"}}), "") << "a person has mended it";
    EXPECT_EQ(does(1, {{"do", "approve"}}), "");
    ASSERT_TRUE(waits_until([&] { return status(0).at("mode") == "finished"; })) << status(0).dump(1);
    std::ifstream stream(notes);
    int open = 0, begun = 0;
    for (std::string line; std::getline(stream, line);) {
        open += line.starts_with("begin") ? 1 : -1, begun += line.starts_with("begin");
        EXPECT_LE(open, 1) << "two at once";
    }
    EXPECT_EQ(begun, 3);
}
// One that is out for a person's work is killed and started: it is out from its first moment, and the others
// wait.
TEST_F(WorkProgramTest, AGrantOutlastsItsProcess) {
    start_all();
    all_join();
    ASSERT_EQ(does(1, {{"do", "request"}, {"for_s", 60}, {"why", "a new disk"}}), "");
    ASSERT_TRUE(waits_until([&] { return status(1).at("own").at("phase") == "working"; }))
        << status(1).dump(1);
    EXPECT_EQ(Client(nodes[1]->address()).ask({"PING"}).substr(0, 1), "-") << "it is out of service";
    const auto fence = status(1).at("own").at("fence");
    nodes[1]->kill(), nodes[1]->wait();
    nodes[1]->start();
    ASSERT_TRUE(waits_until([&] { return status(1).at("own").at("phase") == "working"; }));
    EXPECT_EQ(status(1).at("own").at("fence"), fence);
    EXPECT_NE(does(0, {{"do", "request"}, {"for_s", 60}}), "") << "a plan is in force";
    EXPECT_NE(does(0, {{"do", "done"}, {"machine", "1"}}), "") << "its own word is wanted";
    ASSERT_EQ(does(1, {{"do", "done"}}), "");
    ASSERT_TRUE(waits_until([&] { return status(0).at("mode") == "finished"; })) << status(0).dump(1);
    ASSERT_TRUE(waits_until([&] { return Client(nodes[1]->address()).ask({"PING"}) == "+PONG"; }));
}
// With most of the voters away nobody goes, and what is said to a person is why.
TEST_F(WorkProgramTest, WithoutAMajorityNobodyGoes) {
    start_all();
    all_join();
    for (const std::size_t i : {1u, 2u}) nodes[i]->kill(), nodes[i]->wait();
    const std::string why = does(0, {{"do", "request"}, {"for_s", 60}});
    EXPECT_NE(why.find("voters"), std::string::npos) << why;
    EXPECT_EQ(status(0).at("own").at("phase"), "serving");
    EXPECT_EQ(Client(nodes[0]->address()).ask({"PING"}), "+PONG");
}
TEST_F(WorkProgramTest, PlansThatMakeNoSenseAreTold) {
    start_all();
    const auto wrong = [&](const std::string& text) {
        return does(0, {{"do", "plan"}, {"name", "p.toml"}, {"text", text}});
    };
    EXPECT_NE(
        wrong("name = \"p\"\nforwarders = \"0-3\"\n").find("forwarder 3 of a tier of 3"), std::string::npos);
    EXPECT_NE(
        wrong("name = \"p\"\nforwarders = \"0-2\"\nleast_in = 3\n").find("can never run"), std::string::npos);
    EXPECT_NE(wrong("name = \"p\"\n\nmost = 2\nforwarders = \"0\"\n").find("p.toml:3:"), std::string::npos);
    EXPECT_NE(
        wrong("name = \"p\"\nhours = \"22:00\"\nforwarders = \"0\"\n").find("p.toml:2:"), std::string::npos);
    EXPECT_NE(wrong("name = \"p\"\n[[host]]\nname = \"h\"\ntargets = [\"s-9\"]\n").find("no destination has"),
        std::string::npos);
    EXPECT_NE(wrong("name = \"p\"\n[[host]]\nname = \"h\"\ntargets = [\"s-1\", \"s-2\", \"s-3\"]\n")
                  .find("would be empty"),
        std::string::npos);
    EXPECT_NE(wrong("name = \"p\"\nleast_left = 0.9\n[[host]]\nname = \"h\"\ntargets = [\"s-1\"]\n")
                  .find("can never run"),
        std::string::npos);
    EXPECT_NE(
        wrong("name = \"p\"\n[[host]]\nname = \"h\"\ntargets = [\"s-1\"]\n[[host]]\nname = \"i\"\ntargets = "
              "[\"s-1\"]\n")
            .find("runs on host"),
        std::string::npos);
}

// `lockgw check FILE --plan A --plan B`.
TEST(WorkPlans, AreCheckedBesideTheFileAndOneAnother) {
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
    const auto emptied = check({empty});
    EXPECT_EQ(emptied.first, 1);
    EXPECT_NE(emptied.second.find("c.toml:2:"), std::string::npos) << emptied.second;
    EXPECT_NE(emptied.second.find("shop.example.org: it would be empty"), std::string::npos)
        << emptied.second;
}

}  // namespace
}  // namespace lockgw
