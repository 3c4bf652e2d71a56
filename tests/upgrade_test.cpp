// A new version takes over under load: the built program twice, between stand-ins, with kills at random
// instants.
#include <atomic>
#include <cstdlib>
#include <random>

#include "discovery_fixture.hpp"

namespace lockgw {
namespace {

using Clock = std::chrono::steady_clock;
using rig::CallScript;

class UpgradeTest : public DiscoveryTest {
protected:
    UpgradeTest() {
        node.config()["settings"]["limits"]["most_held"] = 4000;
        node.hold_listener();
        node.set_environment("NODE_CONSOLE", console = new_console());
    }
    static std::string new_console() { return text_of(rig::free_endpoint()); }
    /// The status of a call; 0 where nobody answers.
    int call(const std::string& at, const std::string& verb, const std::string& path) const try {
        asio::io_context io;
        Tcp::socket socket(io);
        socket.connect(tcp_endpoint(at, "console"));
        asio::write(socket, asio::buffer(verb + " /control/" + path + " HTTP/1.1\r\nHost: x\r\n\r\n"));
        std::string answer;
        boost::system::error_code ended;
        asio::read(socket, asio::dynamic_buffer(answer), ended);
        return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
    } catch (const boost::system::system_error&) {
        return 0;
    }
    bool ready(const std::string& at) const {
        const auto until = Clock::now() + kDeadline;
        while (call(at, "GET", "ready") != 200) {
            if (Clock::now() > until) return false;
            std::this_thread::sleep_for(5ms);
        }
        return true;
    }
    /// As the platform does it: the new one's yes, then SIGTERM for the old one.
    void upgrade() {
        const std::string next = new_console();
        const pid_t old = node.pid(), fresh = node.start_beside({{"NODE_CONSOLE", next}});
        ASSERT_TRUE(ready(next)) << node.log();
        ::kill(old, SIGTERM);
        int status = 0;
        ::waitpid(old, &status, 0);
        EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status << node.log();
        node.follow(fresh);
        console = next;
    }
    static std::string id_of(int number) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", number);
        return id;
    }
    std::string hand_in(Client& client, int number, const char* kind = "safe", int left_ms = 20000) {
        return client.ask({"ENQUEUE", "0", id_of(number),
            std::string("c=") + kind + ",t=acme,d=" + std::to_string(left_ms) + ",k=" + id_of(number) +
                ",dest=7",
            "B"});
    }

    std::string console;
};

TEST_F(UpgradeTest, TheSharedListenerIsLeftAsItIs) {
    const int flags = fcntl(node.listener(), F_GETFL);
    ASSERT_EQ(flags & O_NONBLOCK, 0);
    start_with({member("s-1", 0)});
    for (int i = 0; i < 3; ++i) {
        ASSERT_NO_FATAL_FAILURE(upgrade());
        Client client = node.client();
        EXPECT_EQ(hand_in(client, i), "+OK");
        EXPECT_EQ(fcntl(node.listener(), F_GETFL), flags);
    }
    node.terminate(), node.wait();
    EXPECT_EQ(fcntl(node.listener(), F_GETFL), flags);
    Client waits(node.address());  // it still listens, with nobody behind it
    node.start_ready();
    EXPECT_EQ(waits.ask({"PING"}), "+PONG");
}

// Told waits and bans are of the forwarder, not of one process.
TEST_F(UpgradeTest, WaitsAndBansHoldOverIt) {
    start_with({member("s-1", 0), member("s-2", 1, 8)});
    CallScript refuse;
    refuse.status = 429, refuse.headers = "Retry-After: 3\r\n";
    targets.usual(0, refuse);
    EXPECT_EQ(call(console, "PUT", "targets/s-2/offline"), 200);
    Client client = node.client();
    ASSERT_EQ(hand_in(client, 1), "+OK");
    ASSERT_TRUE(targets.wait_calls(1, kDeadline));
    std::this_thread::sleep_for(50ms);
    const auto told = Clock::now();
    targets.usual(0, {});
    ASSERT_NO_FATAL_FAILURE(upgrade());
    Client again = node.client();
    for (int i = 2; i < 10; ++i) ASSERT_EQ(hand_in(again, i), "+OK");
    ASSERT_EQ(again.ask({"ENQUEUE", "0", id_of(99), "c=safe,t=acme,d=20000,dest=8", "B"}), "+OK");
    ASSERT_TRUE(targets.wait_calls(2, kDeadline));
    const auto calls = targets.calls();
    EXPECT_GT(calls[1].first_byte - told, 2500ms) << "told to wait 3 s";
    for (const auto& one : calls) EXPECT_NE(one.target, 1u) << "out by hand";
    EXPECT_EQ(call(console, "PUT", "targets/s-3/offline"), 404);
    EXPECT_EQ(call(console, "PUT", "targets/s-2/online"), 200);
}

// The new process reads its files before it says that it is ready. New settings whose SIGHUP came to the old
// process between the two never came into force: the old one, which had handed over, dropped the signal.
TEST_F(UpgradeTest, ASighupToTheProcessThatHasHandedOverIsHeeded) {
    start_with({member("s-1", 0)});
    const std::string next = new_console();
    const pid_t old = node.pid(), fresh = node.start_beside({{"NODE_CONSOLE", next}});
    ASSERT_TRUE(ready(next)) << node.log();
    Json express = node.config()["settings"]["classes"][0];
    express["name"] = "express";
    node.config()["settings"]["classes"].push_back(express);
    node.reload(node.config().dump());  // to the old one: it has not been told to end yet
    Client client = node.client();
    EXPECT_TRUE(eventually([&] { return hand_in(client, 1, "express") == "+OK"; })) << node.log();
    ::kill(old, SIGTERM), ::waitpid(old, nullptr, 0);
    node.follow(fresh);
    console = next;
}

// The same where the new process has not taken over yet: the one that serves reads its files anew.
TEST_F(UpgradeTest, ASighupToTheProcessThatWaitsIsHeeded) {
    start_with({member("s-1", 0)});
    ::kill(node.pid(), SIGSTOP);  // it neither hands over nor dies
    const std::string next = new_console();
    const pid_t old = node.pid(), fresh = node.start_beside({{"NODE_CONSOLE", next}});
    ASSERT_TRUE(eventually([&] { return call(next, "GET", "ready") == 503; })) << node.log();
    ::kill(fresh, SIGHUP);
    ASSERT_TRUE(node.logs("passed on"));
    ::kill(fresh, SIGKILL), ::waitpid(fresh, nullptr, 0);
    ::kill(old, SIGCONT);
    EXPECT_TRUE(node.logs("configuration read anew")) << node.log();
}

TEST_F(UpgradeTest, ANewOneThatCannotServeCostsNothing) {
    start_with({member("s-1", 0)});
    const auto bad = node.folder() / "bad.json";
    std::ofstream(bad) << "{";
    const pid_t fresh = node.start_beside({{"NODE_CONFIG", bad.string()}, {"NODE_CONSOLE", new_console()}});
    int status = 0;
    ::waitpid(fresh, &status, 0);
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) != 0);
    Client client = node.client();
    EXPECT_EQ(hand_in(client, 1), "+OK");
    EXPECT_EQ(call(console, "GET", "ready"), 200);
}

// Two at once and a third: each takes over from the one before, and the last one serves.
TEST_F(UpgradeTest, SeveralNewOnesComeOneAfterAnother) {
    start_with({member("s-1", 0)});
    std::vector<pid_t> pids{node.pid()};
    std::vector<std::string> consoles{console};
    for (int i = 0; i < 3; ++i) {
        consoles.push_back(new_console());
        pids.push_back(node.start_beside({{"NODE_CONSOLE", consoles.back()}}));
    }
    const auto until = Clock::now() + kDeadline;
    const auto serving = [&] {
        int count = 0;
        for (const auto& one : consoles) count += call(one, "GET", "ready") == 200;
        return count;
    };
    while (node.log().find("handed over") == std::string::npos && Clock::now() < until)
        std::this_thread::sleep_for(10ms);
    std::this_thread::sleep_for(500ms);
    EXPECT_EQ(serving(), 1);
    Client client = node.client();
    EXPECT_EQ(hand_in(client, 1), "+OK");
    // killed one by one, in any order, the rest go on
    for (std::size_t i = 0; i + 1 < pids.size(); ++i) {
        std::size_t owner = 0;
        while (owner < consoles.size() && call(consoles[owner], "GET", "ready") != 200) ++owner;
        ASSERT_LT(owner, consoles.size());
        ::kill(pids[owner], SIGKILL), ::waitpid(pids[owner], nullptr, 0);
        consoles.erase(consoles.begin() + static_cast<std::ptrdiff_t>(owner));
        pids.erase(pids.begin() + static_cast<std::ptrdiff_t>(owner));
        const auto by = Clock::now() + kDeadline;
        while (serving() != 1 && Clock::now() < by) std::this_thread::sleep_for(10ms);
        EXPECT_EQ(serving(), 1);
        Client next = node.client();
        EXPECT_EQ(hand_in(next, 10 + static_cast<int>(i)), "+OK");
    }
    node.follow(pids.front());
}

/// Hands messages in without pause, of all three classes, and remembers which were taken.
class Load {
public:
    explicit Load(const Tcp::endpoint& at) : at_(at), thread_([this] { run(); }) {}
    ~Load() { finish(); }
    void finish() {
        stopping_ = true;
        if (thread_.joinable()) thread_.join();
    }
    /// By class; of the unsafe ones that had no answer nothing is known.
    std::vector<int> taken[3];
    std::atomic<int> unanswered{0};

private:
    void run() {
        static const char* const kinds[] = {"safe", "keyed", "unsafe"};
        std::unique_ptr<Client> client;
        for (int number = 1; !stopping_; ++number) {
            char id[17];
            std::snprintf(id, sizeof id, "%016x", number);
            const std::vector<std::string> words{"ENQUEUE", "0", id,
                std::string("c=") + kinds[number % 3] + ",t=acme,d=30000,k=" + id + ",dest=7", "B"};
            std::string answer;
            for (int tries = 0; tries < 2 && answer.empty(); ++tries) try {
                    if (!client) client = std::make_unique<Client>(at_);
                    answer = client->ask(words);
                    if (answer.empty()) client.reset();
                } catch (const boost::system::system_error&) {
                    client.reset();
                }
            if (answer == "+OK") taken[number % 3].push_back(number);
            if (answer.empty()) ++unanswered;
            std::this_thread::sleep_for(1ms);
        }
    }
    Tcp::endpoint at_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

// Nothing lost, nothing unsafe doubled, whoever is killed when. LOCKGW_UPGRADES=200 for the long form.
TEST_F(UpgradeTest, UnderLoadWithKillsAtRandomInstants) {
    const char* told = std::getenv("LOCKGW_UPGRADES");
    const int rounds = told != nullptr ? std::atoi(told) : 8;
    const char* seeded = std::getenv("LOCKGW_SEED");
    const auto seed = seeded != nullptr ? std::strtoul(seeded, nullptr, 10) : std::random_device{}();
    std::printf("seed %lu, %d upgrades\n", static_cast<unsigned long>(seed), rounds);
    std::mt19937 random(static_cast<std::mt19937::result_type>(seed));
    const auto upto = [&](int most) {
        return std::chrono::milliseconds(random() % static_cast<unsigned>(most));
    };
    start_with({member("s-1", 0), member("s-2", 1), member("s-3", 2)});
    CallScript slow;
    slow.delay = 20ms;
    for (std::size_t i = 0; i < 3; ++i) targets.usual(i, slow);
    Load load(node.address());
    for (int i = 0; i < rounds; ++i) {
        std::this_thread::sleep_for(upto(100));
        const int what = static_cast<int>(random() % 4);
        if (what == 0) {
            ASSERT_NO_FATAL_FAILURE(upgrade());
            continue;
        }
        const std::string next = new_console();
        const pid_t old = node.pid(), fresh = node.start_beside({{"NODE_CONSOLE", next}});
        std::this_thread::sleep_for(upto(400));
        const pid_t dies = what == 1 ? old : fresh, stays = what == 1 ? fresh : old;
        if (what == 3) ::kill(stays, SIGTERM), std::this_thread::sleep_for(upto(200));
        ::kill(dies, SIGKILL), ::waitpid(dies, nullptr, 0);
        if (what == 3) {  // both are gone, or the one told to end is about to
            ::waitpid(stays, nullptr, 0);
            node.follow(0);
            node.set_environment("NODE_CONSOLE", console = new_console());
            node.start();
        } else {
            node.follow(stays);
            if (what == 1) console = next;
        }
        ASSERT_TRUE(ready(console)) << node.log();
    }
    load.finish();
    std::size_t taken = 0;
    const auto missing = [&] {
        const auto effects = targets.effects_by_id();
        int count = 0;
        for (const auto& of_class : load.taken)
            for (const int number : of_class)
                count += !effects.contains(id_of(number)) && directory.notices_of(id_of(number)) == 0;
        return count;
    };
    for (const auto& of_class : load.taken) taken += of_class.size();
    const auto until = Clock::now() + kDeadline;
    while (missing() > 0 && Clock::now() < until) std::this_thread::sleep_for(50ms);
    EXPECT_EQ(missing(), 0) << "of " << taken << " taken; seed " << seed;
    const auto effects = targets.effects_by_id();
    const auto keyed = targets.effects_by_key();
    int doubled = 0;
    for (const int number : load.taken[2])
        if (const auto found = effects.find(id_of(number)); found != effects.end())
            doubled += found->second > 1;
    EXPECT_EQ(doubled, 0) << "unsafe ones; seed " << seed;
    std::printf("taken %zu, without an answer %d\n", taken, load.unanswered.load());
    EXPECT_GT(taken, static_cast<std::size_t>(rounds));
}

}  // namespace
}  // namespace lockgw
