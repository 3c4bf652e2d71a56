// Signals that come right after the program has begun, before it has read its file: they do what they do
// later.
#include "node_fixture.hpp"

namespace lockgw {
namespace {

class EarlySignal : public NodeTest {
protected:
    void start_with(int signal) {
        node.set_environment("LD_PRELOAD", EARLY_SIGNAL_PATH);
        node.set_environment("LOCKGW_EARLY_SIGNAL", std::to_string(signal));
        node.start();
    }
    bool eventually(const std::function<bool()>& what) {
        const auto until = Clock::now() + kDeadline;
        while (!what() && Clock::now() < until) std::this_thread::sleep_for(10ms);
        return what();
    }
};

// A SIGHUP ended the process.
TEST_F(EarlySignal, SighupIsAReload) {
    start_with(SIGHUP);
    EXPECT_TRUE(eventually([&] { return node.logs("configuration read anew"); })) << node.log();
    EXPECT_EQ(node.client().ask({"PING"}), "+PONG");
    node.terminate();
    EXPECT_EQ(node.wait(), 0);
}

// A SIGTERM ended it as one that has crashed.
TEST_F(EarlySignal, SigtermIsAnOrderToEnd) {
    start_with(SIGTERM);
    EXPECT_EQ(node.wait(), 0) << node.log();
}

}  // namespace
}  // namespace lockgw
