// A client leaves before it has read its answers, and comes again with the same ids. What it has left behind
// is not taken on any more, and what has run does not run again, by whichever process the id is met.
#include "discovery_fixture.hpp"
#include "loop_fixture.hpp"

namespace lockgw {
namespace {

// An id that had ended was known for 2 s, and ran once more after that.
using ReturningClient = LoopTest;
TEST_F(ReturningClient, AnIdThatEndedSecondsAgoDoesNotRunAgain) {
    start();
    Client client(address);
    ASSERT_EQ(ask(client, message(id, "unsafe")), "+OK");
    beside_the_loop([&] { return target.next(); }).answer(200);
    ASSERT_TRUE(run_until([&] { return owed() == 0; }));
    ASSERT_TRUE(run_until([&, until = Clock::now() + 2500ms] { return Clock::now() > until; }));
    EXPECT_EQ(ask(client, message(id, "unsafe")), "+OK");
    ASSERT_TRUE(run_until([&, until = Clock::now() + 100ms] { return Clock::now() > until; }));
    EXPECT_TRUE(target.no_request_within(0ms)) << "it was sent once more";
}

/// The id comes again at another process of the same folder.
class ReturningToAnotherProcess : public DiscoveryTest {
protected:
    const std::string id = "9b1f03aa5c7e2d41";

    void run_once() {
        Client client = node.client();
        ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
        ASSERT_TRUE(targets.wait_calls(1, kDeadline));
        ASSERT_TRUE(eventually([&] { return targets.effects_by_id()[id] == 1; }));
        std::this_thread::sleep_for(100ms);  // its answer is read and written down
    }
    void come_again() {
        Client client = node.client();
        EXPECT_EQ(enqueue(client, id, "unsafe"), "+OK");
        const std::string other = new_message_id();
        ASSERT_EQ(enqueue(client, other, "unsafe"), "+OK");
        ASSERT_TRUE(eventually([&] { return targets.effects_by_id()[other] == 1; }));
        EXPECT_EQ(targets.effects_by_id()[id], 1) << "it was sent once more";
    }
};

// What had ended was known to one process alone.
TEST_F(ReturningToAnotherProcess, AnIdDoesNotRunAgainAfterSigkill) {
    start_with({member("s-1", 0)});
    run_once();
    for (int restart = 0; restart < 2; ++restart) {  // the second reads what the first has compacted
        node.kill(), node.wait();
        node.start_ready();
        come_again();
    }
}

TEST_F(ReturningToAnotherProcess, AnIdDoesNotRunAgainAfterAnUpgrade) {
    node.hold_listener();
    start_with({member("s-1", 0)});
    run_once();
    const pid_t old = node.pid(), fresh = node.start_beside({});
    ASSERT_TRUE(node.logs("taken over")) << node.log();
    ::kill(old, SIGTERM), ::waitpid(old, nullptr, 0);
    node.follow(fresh);
    come_again();
}

}  // namespace
}  // namespace lockgw
