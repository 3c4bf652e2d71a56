// Failures that pass at a start: it is tried again, within the 10 s in which a restarted process has to be
// ready. What cannot pass ends it at once.
#include <filesystem>
#include <thread>

#include "node_fixture.hpp"

namespace lockgw {
namespace {

constexpr auto kHeld = 700ms;
constexpr auto kReadyWithin = 9s;
constexpr auto kAtOnce = 3s;

class StartRetry : public NodeTest {
protected:
    bool ready_within(Clock::duration span) {
        const auto until = Clock::now() + span;
        while (Clock::now() < until) try {
                if (node.client().ask({"PING"}) == "+PONG") return true;
            } catch (const boost::system::system_error&) {
                std::this_thread::sleep_for(10ms);
            }
        return false;
    }
};

TEST_F(StartRetry, AnAddressThatIsHeldForAMomentIsTriedAgain) {
    asio::io_context io;
    Tcp::acceptor held(io, node.address());
    node.start();
    std::this_thread::sleep_for(kHeld);
    held.close();
    EXPECT_TRUE(ready_within(kReadyWithin)) << node.log();
    EXPECT_TRUE(node.logs("the start failed and is tried again")) << node.log();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    target.next().answer(200);
}

TEST_F(StartRetry, AFolderThatIsNotThereEndsTheStartAtOnce) {
    node.set_environment("NODE_STATE", (node.folder() / "not there").string());
    const auto begun = Clock::now();
    node.start();
    ASSERT_NE(node.wait(), 0);
    EXPECT_LT(Clock::now() - begun, kAtOnce);
    EXPECT_TRUE(node.logs("cannot start")) << node.log();
    EXPECT_FALSE(node.logs("tried again")) << node.log();
}

}  // namespace
}  // namespace lockgw
