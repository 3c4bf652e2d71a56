// An agent whose answers take their time: evenly, in bursts, over a narrow link, or without end (issue 61 C).
// A request used to be given up for the next but one 150 ms after the first byte of its answer, so that an
// agent that needed 0.6 s for its list was asked some 60 times in 20 s, and its list never came into force.
#include <gtest/gtest.h>

#include <iostream>

#include "discovery/discovery_client.hpp"
#include "rig/directory.hpp"

namespace lockgw {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using cometspoke::Condition;
using rig::Json;
using rig::Pace;

// What discovery has to tell counts as told so long after it had it and could be reached.
constexpr auto kToldAfter = 6s;
// No call may begin so long after a drain was written to the forwarder.
constexpr auto kDrainGrace = 500ms;
// Beyond the time that the agent needs for its answer.
constexpr auto kMargin = 1000ms;
constexpr std::size_t kMaxRequests = 20;
// The times are of the program as it is run: under the sanitizers building and parsing a list of 6,000
// targets alone takes seconds.
#ifdef __SANITIZE_ADDRESS__
constexpr std::size_t kManyTargets = 600;
#else
constexpr std::size_t kManyTargets = 6000;
#endif

Json member(const std::string& id, const char* phase = "in_service") {
    return {{"id", id}, {"host_port", "127.0.0.1:80"}, {"locality", "a"}, {"flavor", "shop"}, {"cell", 7},
        {"phase", phase}, {"size", 1.0}, {"up_since_ms", 0}};
}

std::vector<Json> members(std::size_t count) {
    std::vector<Json> all;
    for (std::size_t i = 1; i < count; ++i) all.push_back(member("n-" + std::to_string(i)));
    all.push_back(member("z-last"));
    return all;
}

class SlowDiscovery : public ::testing::Test {
protected:
    void start() { start_at(directory); }
    void start_at(const rig::Directory& agent) {
        DiscoveryClient::Settings settings;
        settings.address = address_of(agent);
        settings.zones = {"a"};
        settings.kinds = {"shop"};
        settings.drain_grace = kDrainGrace;
        settings.seed = 1;
        const auto ignore_confirmed = [](auto) {};
        client.emplace(
            io, std::move(settings), [](const auto&) {}, ignore_confirmed);
        client->start();
    }
    static Tcp::endpoint address_of(const rig::Directory& agent) {
        const std::string text = agent.address();
        const auto port = static_cast<std::uint16_t>(std::stoi(text.substr(text.rfind(':') + 1)));
        return {boost::asio::ip::address_v4::loopback(), port};
    }
    bool run_until(const std::function<bool()>& condition, Clock::duration within) {
        const auto end = Clock::now() + within;
        while (!condition()) {
            if (Clock::now() > end) return false;
            io.run_for(1ms);
        }
        return true;
    }
    void run_for(Clock::duration span) {
        run_until([] { return false; }, span);
    }
    bool ready(const std::string& id) const {
        const auto target = client->view().find(id);
        return target && target->condition == Condition::Ready;
    }
    void start_with_a_list(std::size_t count) {
        directory.put_all(members(count));
        start();
        ASSERT_TRUE(run_until([this] { return ready("z-last"); }, kToldAfter));
    }
    /// The agent starts anew with a whole list to be told.
    void need_the_full_list() {
        directory.count_anew(directory.revision() + 100);
        directory.put(member("z-new"));
    }
    /// Runs until the target is Ready, and prints what that took.
    void expect_in_force(const std::string& id, Clock::duration within, const rig::Directory& agent) {
        const std::size_t requests = agent.requests().size(), bytes = agent.paced_bytes();
        const auto begin = Clock::now();
        EXPECT_TRUE(run_until([&] { return ready(id); }, within)) << "not in force in time";
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin);
        const std::size_t asked = agent.requests().size() - requests;
        EXPECT_LE(asked, kMaxRequests);
        std::cout << "in force after " << took.count() << " ms, " << asked << " requests, "
                  << agent.paced_bytes() - bytes << " bytes\n";
    }

    rig::Directory directory;
    boost::asio::io_context io{1};
    std::optional<DiscoveryClient> client;
};

struct SlowList {
    Pace pace;
    std::size_t targets;
};
std::ostream& operator<<(std::ostream& out, const SlowList& list) {
    return out << list.targets << " targets over " << list.pace.span.count() << " ms in " << list.pace.pieces
               << " pieces, link " << list.pace.bytes_per_second;
}
class SlowListTest : public SlowDiscovery, public ::testing::WithParamInterface<SlowList> {
protected:
    /// At most three answers share the link; each may have to wait for the others.
    Clock::duration bound() const {
        constexpr double kBytesPerTarget = 170, kAnswersOnTheLink = 3;
        const Pace& pace = GetParam().pace;
        const double bytes = static_cast<double>(GetParam().targets) * kBytesPerTarget * kAnswersOnTheLink;
        const std::chrono::duration<double> link(
            pace.bytes_per_second > 0 ? bytes / pace.bytes_per_second : 0);
        return pace.span + kMargin + std::chrono::duration_cast<Clock::duration>(link);
    }
};

TEST_P(SlowListTest, ComesIntoForceAfterAStart) {
    directory.put_all(members(GetParam().targets));
    directory.pace(GetParam().pace);
    start();
    expect_in_force("z-last", bound(), directory);
}

TEST_P(SlowListTest, ComesIntoForceAfterAMoveInTheMiddleOfOne) {
    directory.put_all(members(GetParam().targets));
    directory.pace(GetParam().pace);
    start();
    run_for(GetParam().pace.span / 2);
    rig::Directory other;
    other.put_all(members(GetParam().targets - 1));
    other.put(member("z-other"));
    other.pace(GetParam().pace);
    client->switch_agent(address_of(other));
    const bool moved_in_time = !ready("z-last");
    expect_in_force("z-other", bound(), other);
    EXPECT_TRUE(moved_in_time);
}
INSTANTIATE_TEST_SUITE_P(Even, SlowListTest,
    ::testing::Values(SlowList{{200ms, 40}, 30}, SlowList{{600ms, 40}, 30}, SlowList{{1500ms, 40}, 30},
        SlowList{{5000ms, 40}, 30}, SlowList{{1500ms, 40}, kManyTargets}));
INSTANTIATE_TEST_SUITE_P(InBursts, SlowListTest,
    ::testing::Values(SlowList{{600ms, 3}, 30}, SlowList{{1500ms, 2}, 30}, SlowList{{5000ms, 4}, 30},
        SlowList{{5000ms, 6}, kManyTargets}));
INSTANTIATE_TEST_SUITE_P(OverANarrowLink, SlowListTest,
    ::testing::Values(SlowList{{0ms, 1, 1e6}, 30}, SlowList{{0ms, 1, 1e6}, kManyTargets}));

// The drain stands in a list that takes 3 s. It counts from the moment when it was written, and the target
// stays stopped when the list is in force.
TEST_F(SlowDiscovery, ADrainInASlowListIsKept) {
    start_with_a_list(60);
    directory.pace({3000ms, 60});
    directory.put(member("n-1", "terminating"));
    need_the_full_list();
    ASSERT_TRUE(run_until([this] { return directory.stop_told("n-1").has_value(); }, kToldAfter));
    const auto told = *directory.stop_told("n-1");
    EXPECT_TRUE(run_until([this] { return !ready("n-1"); }, told + kDrainGrace - Clock::now()));
    ASSERT_TRUE(run_until(
        [this] {
            EXPECT_FALSE(ready("n-1"));
            return ready("z-new");
        },
        kToldAfter));
    run_for(200ms);
    EXPECT_FALSE(ready("n-1"));
}

// Two answers at once, of which the one that was asked for first ends last.
TEST_F(SlowDiscovery, AQuickAnswerBesideASlowOneCounts) {
    start_with_a_list(60);
    directory.pace({5000ms, 60});
    need_the_full_list();
    run_for(100ms);  // the slow answer has begun
    directory.pace({0ms, 1});
    expect_in_force("z-new", kMargin, directory);
}

// No answer ever ends. Once the agent can be reached again, what it has to tell is known in time.
TEST_F(SlowDiscovery, AfterListsWithoutEndAChangeIsKnownInTime) {
    start_with_a_list(60);
    directory.pace({3'600'000ms, 36'000});
    need_the_full_list();
    const std::size_t requests = directory.requests().size();
    run_for(13s);  // longer than any answer is waited for
    EXPECT_LE(directory.requests().size() - requests, kMaxRequests);
    directory.pace({0ms, 1});
    expect_in_force("z-new", kToldAfter, directory);
}

}  // namespace
}  // namespace lockgw
