// The built program with an operator's file: what check says is where messages go, a reload that fails
// changes nothing, and the control socket answers only its owner and within its bounds.
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <fstream>
#include <list>
#include <random>

#include "control/client.hpp"
#include "control/protocol.hpp"
#include "discovery_fixture.hpp"
#include "program/load.hpp"

namespace lockgw {
namespace {

class OperatorTest : public DiscoveryTest {
protected:
    OperatorTest() : DiscoveryTest(4) {}
    static std::string destination(const char* more = "") {
        return std::string("[[destination]]\nname = \"lab\"\nnumber = 7\n") +
               "[[destination.endpoint]]\nname = \"a\"\nid = \"s-1\"\n[[destination.endpoint]]\nname = "
               "\"b\"\n"
               "id = \"s-2\"\n[[destination.endpoint]]\nname = \"c\"\nid = \"s-3\"\n" +
               more;
    }
    void with_file(const std::string& text) {
        write(text);
        node.set_environment("LOCKGW_CONFIG", file().string());
    }
    void write(const std::string& text) const { std::ofstream(file()) << text; }
    std::filesystem::path file() const { return node.folder() / "operator.toml"; }
    std::filesystem::path socket() const { return node.state() / "control"; }
    void start_with_three() { start_with({member("s-1", 0), member("s-2", 1), member("s-3", 2)}); }
    /// Where so many messages of a class went.
    std::set<std::size_t> went(const std::string& kind, int count = 24) {
        const std::size_t before = targets.calls().size();
        Client client = node.client();
        for (int i = 0; i < count; ++i)
            EXPECT_EQ(enqueue(client, new_message_id(), kind), "+OK") << node.log();
        EXPECT_TRUE(targets.wait_calls(before + static_cast<std::size_t>(count), kDeadline)) << node.log();
        std::set<std::size_t> all;
        const auto calls = targets.calls();
        for (std::size_t i = before; i < calls.size(); ++i) all.insert(calls[i].target);
        return all;
    }
};

// Random routes by class: for each class the running process says (routes --running) where it goes, and there
// it goes, and nowhere else; the same after a reload that changes them under way.
TEST_F(OperatorTest, MessagesGoWhereTheTableSays) {
    std::mt19937 random(5);
    const char* const kinds[] = {"safe", "keyed", "unsafe"};
    const char* const names[] = {"a", "b", "c"};
    const auto random_routes = [&](std::map<std::string, std::set<std::size_t>>& wanted) {
        std::string text = destination();
        for (const char* kind : kinds) {
            const std::size_t first = random() % 3, second = random() % 3;
            wanted[kind] = {first, second};
            text += std::string("[[route]]\nname = \"r-") + kind + "\"\nclass = \"" + kind +
                    "\"\ndestination = \"lab\"\nendpoints = [\"" + names[first] + '"' +
                    (first == second ? "" : std::string(", \"") + names[second] + '"') + "]\n";
        }
        return text;
    };
    std::map<std::string, std::set<std::size_t>> wanted;
    with_file(random_routes(wanted));
    start_with_three();
    for (int round = 0; round < 12; ++round) {
        if (round > 0) {
            wanted.clear();
            write(random_routes(wanted));
            control::ask(socket(), "reload");
        }
        for (const auto& row : control::ask(socket(), "routes")) {
            if (row.at("destination") != "lab") continue;
            const std::string kind = row.at("class");
            std::set<std::size_t> said;
            for (const std::string name : row.at("endpoints"))
                said.insert(static_cast<std::size_t>(name[0] - 'a'));
            EXPECT_TRUE(kind == "*" || said == wanted.at(kind)) << kind;
        }
        for (const char* kind : kinds)
            for (const std::size_t target : went(kind, 12))
                EXPECT_TRUE(wanted[kind].contains(target)) << kind;
    }
}

// A message that is held for its route's endpoint goes by the new routes once they are in force.
TEST_F(OperatorTest, AHeldMessageFollowsTheRoutesInForce) {
    const std::string only_c = "[[route]]\nname = \"r\"\ndestination = \"lab\"\nendpoints = [\"c\"]\n";
    with_file(destination() + only_c);
    start_with({member("s-1", 0), member("s-2", 1)});  // c is not listed
    Client client = node.client();
    ASSERT_EQ(enqueue(client, new_message_id()), "+OK");
    std::this_thread::sleep_for(300ms);
    EXPECT_TRUE(targets.calls().empty());
    EXPECT_EQ(control::ask(socket(), "status").at("held"), 1);
    write(destination());
    control::ask(socket(), "reload");
    EXPECT_TRUE(targets.wait_calls(1, kDeadline)) << node.log();
}

TEST_F(OperatorTest, RefusesWhatARouteRefusesAndKeepsWhatItTook) {
    with_file(destination());
    rig::CallScript hang;
    hang.kind = rig::CallScript::Kind::Hang;
    targets.usual(0, hang);
    start_with({member("s-1", 0)});
    Client client = node.client();
    ASSERT_EQ(enqueue(client, new_message_id()), "+OK");
    write(destination("[[route]]\nname = \"closed\"\ndestination = \"lab\"\nrefuse = true\n"));
    control::ask(socket(), "reload");
    EXPECT_EQ(enqueue(client, new_message_id()), "-ERR refused by route \"closed\"");
    EXPECT_EQ(control::ask(socket(), "status").at("held"), 1);
}

// Under load: a new file whose expectation fails is named with rule and destination, and changes nothing.
// Unsafe messages: on a busy machine a call may run out of time, and one that may be repeated then is.
TEST_F(OperatorTest, AReloadThatFailsKeepsTheOldRoutes) {
    const std::string good = destination(
        "[[route]]\nname = \"to-b\"\nclass = \"unsafe\"\ndestination = \"lab\"\nendpoints = [\"b\"]\n"
        "[[expect]]\nname = \"safe to b\"\nclass = \"unsafe\"\ndestination = \"lab\"\nendpoints = [\"b\"]\n");
    with_file(good);
    start_with_three();
    std::atomic<bool> over = false;
    std::vector<std::string> taken;  // the thread's, until it has ended
    std::thread load([&] {
        Client client = node.client();
        for (unsigned i = 0x900000; !over; ++i) {
            char id[17];
            std::snprintf(id, sizeof id, "%016x", i);
            if (enqueue(client, id, "unsafe") == "+OK") taken.push_back(id);
        }
    });
    std::string broken = good;
    broken.replace(broken.find("endpoints = [\"b\"]"), 17, "endpoints = [\"a\"]");
    for (const std::string& text :
        {broken, good.substr(0, good.size() / 2) + "[[", std::string(1 << 20, 'x')})
        for (int i = 0; i < 5; ++i) {
            write(text);
            try {
                control::ask(socket(), "reload");
                ADD_FAILURE() << "taken over";
            } catch (const control::Refused& refused) {
                if (text == broken) {
                    EXPECT_NE(refused.problems().find("expect-failed: expectation \"safe to b\""),
                        std::string::npos)
                        << refused.problems();
                    EXPECT_NE(refused.problems().find("\"lab\""), std::string::npos);
                }
            }
        }
    over = true;
    load.join();
    EXPECT_FALSE(taken.empty());
    // Each has its one end: on a busy machine some are given up, and their clients hear so.
    EXPECT_TRUE(eventually([&] {
        const auto effects = targets.effects_by_id();
        return std::all_of(taken.begin(), taken.end(),
            [&](const auto& id) { return effects.contains(id) || directory.notices_of(id) > 0; });
    })) << node.log();
    for (const auto& call : targets.calls()) EXPECT_EQ(call.target, 1u);
    for (const auto& [id, count] : targets.effects_by_id()) EXPECT_EQ(count, 1) << id;
}

// [log] holds from the start, and a reload takes another form over.
TEST_F(OperatorTest, ItsLogHasTheFormThatTheFileSays) {
    with_file(destination("[log]\nform = \"json\"\n"));
    start_with_three();
    ASSERT_TRUE(node.logs("\"part\":\"config\"")) << node.log();
    EXPECT_TRUE(Json::accept(node.log().substr(0, node.log().find('\n')))) << node.log();
    write(destination());
    control::ask(socket(), "reload");
    ASSERT_TRUE(node.logs("info program: configuration read anew reloads=1")) << node.log();
    write(destination("[log]\nlevel = \"error\"\n"));
    control::ask(socket(), "reload");
    write("nonsense");
    EXPECT_THROW(control::ask(socket(), "reload"), control::Refused);
    ASSERT_TRUE(node.logs("error program: the old configuration stays")) << node.log();
    EXPECT_EQ(node.log().find("reloads=2"), std::string::npos) << node.log();
}

// A message in the journal whose class the new configuration no longer has still gets its one final answer.
TEST_F(OperatorTest, AClassThatWentLeavesNoMessageWithoutItsEnd) {
    rig::CallScript hang;
    hang.kind = rig::CallScript::Kind::Hang;
    targets.usual(0, hang);
    start_with({member("s-1", 0)});
    Client client = node.client();
    const std::string id = new_message_id();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    ASSERT_TRUE(targets.wait_calls(1, kDeadline));
    node.kill();
    node.wait();
    node.config()["settings"]["classes"].erase(2);
    node.start_ready();
    EXPECT_TRUE(eventually([&] { return directory.notices_of(id) > 0; })) << node.log();
    node.terminate();
    node.wait();
    EXPECT_EQ(targets.calls().size(), 1u);
}

// Reloads that are asked for while one is being read are all answered, and what is in force at their end is
// the file as it was when the last of them asked.
TEST_F(OperatorTest, ReloadsThatComeTogetherAreAllAnswered) {
    with_file(destination());
    start_with_three();
    for (int round = 0; round < 5; ++round) {
        std::string padded(200'000, '#');  // reading it takes a while
        padded += "\n" + destination();
        write(padded);
        std::atomic<int> well = 0;
        std::vector<std::thread> asking;
        for (int i = 0; i < 5; ++i)
            asking.emplace_back([&] { well += control::ask(socket(), "reload").at("routes") == 0; });
        for (std::thread& one : asking) one.join();
        EXPECT_EQ(well, 5);
        write(padded + "[[route]]\nname = \"r\"\nendpoints = [\"lab/a\"]\ndestination = \"lab\"\n");
        EXPECT_EQ(control::ask(socket(), "reload").at("routes"), 1);
        EXPECT_EQ(control::ask(socket(), "status").at("routes"), 1);
    }
}

// Beside an operator's file, too, NODE_CONFIG is refused where it lacks a key of the one in force.
TEST_F(OperatorTest, APlatformFileThatLacksAKeyIsRefusedBesideIt) {
    with_file(destination());
    start_with_three();
    for (const char* key : {"/name", "/limits/memory_mb", "/settings/limits/cancel"}) {
        Json file = node.config();
        const Json::json_pointer place(key);
        file[place.parent_pointer()].erase(place.back());
        node.reload(file.dump());
        try {
            control::ask(socket(), "reload");
            ADD_FAILURE() << "taken over without " << key;
        } catch (const control::Refused& refused) {
            EXPECT_NE(refused.problems().find(place.back()), std::string::npos) << refused.problems();
        }
    }
    EXPECT_EQ(control::ask(socket(), "status").at("reloads"), 0);
}

// Limits in the file hold: of one that NODE_CONFIG tells too the lower one; at the door a silent client is
// waited for as long as it says (2 s without it).
TEST_F(OperatorTest, ItsLimitsHold) {
    with_file(destination("[limits]\nheld = 1\n[door]\nsilent_ms = 60000\n"));
    rig::CallScript hang;
    hang.kind = rig::CallScript::Kind::Hang;
    targets.usual(0, hang);
    start_with({member("s-1", 0)});
    Client silent(node.address()), client = node.client();
    ASSERT_EQ(enqueue(client, new_message_id()), "+OK");
    EXPECT_EQ(enqueue(client, new_message_id()).substr(0, 5), "-BUSY");  // NODE_CONFIG has room for 40
    std::this_thread::sleep_for(4s);
    EXPECT_EQ(silent.ask({"PING"}), "+PONG");
}

// The memory that clients may fill, and the reading in turn, are what the file says; while it runs they stay.
TEST_F(OperatorTest, ItsLimitsOfMemoryAndReadingHold) {
    node.config()["limits"]["memory_mb"] = 40;
    with_file(
        destination("[door]\nmemory_share = 0.01\nread_kb_per_s = 8\nread_burst_kb = 4\nread_turn_kb = 2\n"));
    start_with({member("s-1", 0)});
    const Json front = control::ask(socket(), "status").at("fronts").at(0);
    EXPECT_EQ(front.at("most_held_bytes"), 40 * 1024 * 1024 / 100);
    EXPECT_EQ(front.at("read_limits"), Json({{"per_s", 8192.0}, {"burst", 4096.0}, {"turn", 2048}}));
    const std::string half = "*2\r\n$4\r\nPING\r\n$60000\r\n" + std::string(50'000, 'h');
    std::list<Client> greedy;  // 0.7 MB: far from the quarter of 40 MB that is usual
    for (int i = 0; i < 14; ++i) greedy.emplace_back(node.address()).send(half);
    EXPECT_EQ(greedy.front().line(), "-ERR too much at once");
    write(destination("[door]\nmemory_share = 0.5\n"));
    try {
        control::ask(socket(), "reload");
        ADD_FAILURE() << "taken over";
    } catch (const control::Refused& refused) {
        EXPECT_NE(refused.problems().find("needs-restart: [door]"), std::string::npos) << refused.problems();
    }
}

// Told to hand its clients on in 0.1 s, it ends before one that was told to end earlier and has the usual
// time.
TEST_F(OperatorTest, ItsTimeToHandClientsOnHolds) {
    start_with_three();
    Node quick(node.config());
    quick.config()["listen"] = text_of(quick.address());
    std::ofstream(quick.folder() / "operator.toml") << destination("[door]\nhand_over_ms = 100\n");
    quick.set_environment("LOCKGW_CONFIG", (quick.folder() / "operator.toml").string());
    quick.start_ready();
    Client usual = node.client(), handed_on = quick.client();
    ASSERT_EQ(usual.ask({"PING"}), "+PONG");
    ASSERT_EQ(handed_on.ask({"PING"}), "+PONG");
    node.terminate();
    quick.terminate();
    EXPECT_EQ(quick.wait(), 0) << quick.log();
    EXPECT_EQ(node.log().find("lockgw: ends"), std::string::npos) << node.log();
    EXPECT_EQ(node.wait(), 0) << node.log();
}

TEST_F(OperatorTest, TheControlSocketIsItsOwnersAndBounded) {
    with_file(destination());
    start_with_three();
    struct stat info {};
    ASSERT_EQ(::stat(socket().c_str(), &info), 0);
    EXPECT_EQ(info.st_mode & 0777, 0600u);
    EXPECT_THROW(control::ask(socket(), "nonsense"), control::Refused);
    EXPECT_THROW(control::ask(socket(), std::string(70'000, 'x')), std::exception);
    using Local = boost::asio::local::stream_protocol;
    boost::asio::io_context io;
    std::vector<std::unique_ptr<Local::socket>> many;
    for (int i = 0; i < 20; ++i) {  // idle ones take its places; it stays bounded, and messages go on
        many.push_back(std::make_unique<Local::socket>(io));
        boost::system::error_code ignored;
        many.back()->connect(Local::endpoint(socket().string()), ignored);
    }
    EXPECT_EQ(went("safe", 8).empty(), false);
    many.clear();
    ASSERT_TRUE(eventually([&] {
        try {
            return control::ask(socket(), "status").at("control_connections") <= 8;
        } catch (const std::exception&) {
            return false;
        }
    }));
}

// The README's first commands on the shipped example: `check` has no list of members to go by, and `run` has
// no platform that made its folder.
TEST_F(OperatorTest, TheExampleIsCheckedAndRunsWithoutAFolder) {
    config::Problems problems(EXAMPLE_FILE);
    for (const bool only_checked : {true, false}) {
        const auto loaded = program::load({EXAMPLE_FILE, "", "", "", only_checked}, problems);
        EXPECT_TRUE(loaded) << problems.text();
        EXPECT_FALSE(!loaded || loaded->members.empty());
    }
    std::ifstream stream(EXAMPLE_FILE);
    std::string text{std::istreambuf_iterator<char>(stream), {}};
    const auto put = [&](const std::string& before, const std::string& after) {
        const auto at = text.find(before);
        ASSERT_NE(at, std::string::npos) << before;
        text.replace(at, before.size(), after);
    };
    put("127.0.0.1:7379", rig::text_of(node.address()));
    put("state = \"lockgw-state\"", "state = \"" + (node.folder() / "made").string() + '"');
    for (const std::size_t i : {0u, 1u, 2u}) put("127.0.0.1:740" + std::to_string(i + 1), targets.address(i));
    with_file(text);
    node.alone();
    node.start_ready();
    struct stat folder {};
    ASSERT_EQ(::stat((node.folder() / "made").c_str(), &folder), 0) << node.log();
    EXPECT_EQ(folder.st_mode & 0777, 0700u);
    Client client = node.client();
    EXPECT_EQ(
        client.ask({"ENQUEUE", "0", new_message_id(), "c=order-submit,t=shop-supply,d=9000,k=1,dest=3", "B"}),
        "+OK");
    EXPECT_TRUE(targets.wait_calls(1, kDeadline)) << node.log();
}

// A folder whose own place is missing is not made: a disk may not be mounted.
TEST_F(OperatorTest, AFolderWithoutAPlaceEndsTheStart) {
    with_file("[instance]\nname = \"n\"\nlisten = \"" + rig::text_of(node.address()) + "\"\nstate = \"" +
              (node.folder() / "missing" / "made").string() +
              "\"\n[[class]]\nname = \"c\"\neffect = \"retryable\"\naim_ms = 1\ndeadline_ms = 2\n" +
              "[[destination]]\nname = \"lab\"\nnumber = 7\n[[destination.endpoint]]\nname = \"a\"\n"
              "address = \"127.0.0.1:9\"\n");
    node.alone();
    node.start();
    EXPECT_NE(node.wait(), 0);
    EXPECT_TRUE(node.logs("folder that lasts cannot be made")) << node.log();
}

TEST(ControlProtocol, AnswersEveryLineInItsForm) {
    control::Verbs verbs;
    verbs.add("echo", [](const control::Json& args) { return args; });
    verbs.add("fail", [](const control::Json&) -> control::Json { throw control::Refused("no", "a\nb"); });
    EXPECT_THROW(verbs.add("echo", {}), std::logic_error);
    control::Promise kept;
    verbs.add_later("later", [&](const control::Json&, control::Promise promise) { kept = promise; });
    std::string told;
    const auto answer = [&](const std::string& line) {
        verbs.answer(line, [&](std::string text) { told = std::move(text); });
        return control::Json::parse(told);
    };
    EXPECT_EQ(answer(R"({"v":1,"verb":"echo","args":{"x":1}})").at("result").at("x"), 1);
    EXPECT_EQ(answer(R"({"v":1,"verb":"fail"})").at("problems"), "a\nb");
    for (const char* line : {"", "x", "[]", "{}", R"({"v":2,"verb":"echo"})", R"({"v":1})",
             R"({"v":1,"verb":3})", R"({"v":1,"verb":"none"})", "{\"v\":1,\"verb\":\"\xff\"}"})
        EXPECT_FALSE(answer(line).at("ok")) << line;
    told.clear();
    verbs.answer(R"({"v":1,"verb":"later"})", [&](std::string text) { told = std::move(text); });
    EXPECT_TRUE(told.empty());
    kept(control::Json{{"y", 2}});
    EXPECT_EQ(control::Json::parse(told).at("result").at("y"), 2);
}

}  // namespace
}  // namespace lockgw
