// Many processes killed at once, each with a journal as full as it may be: how soon they serve again.
#include <sched.h>

#include <memory>
#include <thread>

#include "core/clocks.hpp"
#include "node_fixture.hpp"

namespace lockgw {
namespace {

constexpr std::size_t kProcesses = 30;
constexpr auto kReadyWithin = 10s;
constexpr std::size_t kRoom = 2 << 20;  // of a journal: what disk_mb = 3 leaves it, and less

/// This process and its children run on these cores alone while it lives.
class OnCores {
public:
    explicit OnCores(int count) {
        sched_getaffinity(0, sizeof before_, &before_);
        cpu_set_t some;
        CPU_ZERO(&some);
        for (int core = 0; core < CPU_SETSIZE && count > 0; ++core)
            if (CPU_ISSET(core, &before_)) CPU_SET(core, &some), --count;
        sched_setaffinity(0, sizeof some, &some);
    }
    ~OnCores() { sched_setaffinity(0, sizeof before_, &before_); }

private:
    cpu_set_t before_{};
};

class ReadinessTest : public ::testing::TestWithParam<int> {
protected:
    static bool answers(const Node& node) try {
        Client client(node.address());
        return client.ask({"PING"}) == "+PONG";
    } catch (const boost::system::system_error&) {
        return false;
    }
    static std::size_t fill(const Node& node) {
        std::filesystem::create_directories(node.state());
        Journal journal(node.state(), kRoom);
        Message message;
        message.message_class = "safe", message.tenant = "acme", message.destination = 7;
        message.body = std::string(120, 'b');
        message.deadline = moment_now() + 60s;
        do ++message.id;
        while (journal.take_on(message));
        return journal.unended();
    }
};

TEST_P(ReadinessTest, NineInTenAreReadyInTime) {
    HttpStub agent, target;  // neither answers
    std::vector<std::unique_ptr<Node>> nodes;
    const OnCores cores(GetParam());
    for (std::size_t i = 0; i < kProcesses; ++i) {
        Json config = make_config("127.0.0.1:1", agent.address());
        config["known"] = target_list(1, true, {member("s-1", target.address(), 7)});
        config["settings"]["n_instances"] = kProcesses;
        config["settings"]["limits"]["most_held"] = 4000;
        nodes.push_back(std::make_unique<Node>(config));
        ASSERT_GT(fill(*nodes.back()), 1000u);
    }
    for (auto& node : nodes) node->start_ready();
    for (auto& node : nodes) node->kill();
    for (auto& node : nodes) node->wait();
    const auto begun = Clock::now();
    for (auto& node : nodes) node->start();
    std::vector<Clock::duration> ready;
    for (auto& node : nodes) {
        while (!answers(*node) && Clock::now() - begun < 3 * kReadyWithin) std::this_thread::sleep_for(10ms);
        ready.push_back(Clock::now() - begun);
    }
    const auto in_time = static_cast<std::size_t>(
        std::count_if(ready.begin(), ready.end(), [](auto span) { return span < kReadyWithin; }));
    EXPECT_GE(in_time * 10, kProcesses * 9);
    std::cout << "ready: the last after " << std::chrono::duration<double>(ready.back()).count() << " s\n";
    for (auto& node : nodes) node->kill(), node->wait();
}
INSTANTIATE_TEST_SUITE_P(Cores, ReadinessTest, ::testing::Values(2, 6));

}  // namespace
}  // namespace lockgw
