// The users' terms of acceptance on rare moments, with real processes and connections, counted from outside.
#include <future>
#include <random>

#include "core/clocks.hpp"
#include "discovery_fixture.hpp"

namespace lockgw {
namespace {

using rig::CallScript;
using rig::ListFault;
using FaultKind = rig::ListFault::Kind;

// ---- discovery ----

// What discovery has to tell counts as told so long after it had it and could be reached; where a call was
// silent, so long after the wait that the call asked for.
constexpr auto kToldAfter = 6s;
constexpr auto kToldAfterHold = 2s;

/// One forwarder of a fleet, and an agent that misbehaves.
class FaultyAgent {
public:
    FaultyAgent(std::size_t fleet, unsigned seed)
        : random_(seed), targets_(1), node_(make_config("127.0.0.1:1", directory_.address())) {
        node_.config()["settings"]["n_instances"] = fleet;
        node_.config()["seed"] = std::to_string(seed);
        hold_ = fleet < 16 ? 1500ms : 100ms * static_cast<int>(fleet);
    }

    /// The longest time from when a change was there, and the agent answered, until the change was taken.
    std::chrono::milliseconds longest(int rounds) {
        directory_.put(target("in_service"));
        node_.start_ready();
        if (!directory_.wait_asked_from(directory_.revision(), kDeadline)) return kDeadline;
        std::chrono::milliseconds longest{0};
        for (int i = 0; i < rounds; ++i) longest = std::max(longest, one_change(i % 2 == 0));
        return longest;
    }
    std::chrono::milliseconds hold() const { return hold_; }
    std::string played() const { return played_; }
    std::string log() const { return node_.log(); }

private:
    std::chrono::milliseconds one_change(bool terminating) {
        const int faults = draw(0, 4);
        for (int i = 0; i < faults; ++i) add_fault();
        std::this_thread::sleep_for(std::chrono::milliseconds(draw(0, 1500)));
        directory_.put(target(terminating ? "terminating" : "in_service"));
        const auto until = rig::Clock::now() + 3 * kDeadline;
        while (directory_.faults_left() > 0 && rig::Clock::now() < until) std::this_thread::sleep_for(1ms);
        const auto reachable = rig::Clock::now();
        directory_.wait_asked_from(directory_.revision(), kDeadline);
        played_ += "| ";
        return std::chrono::duration_cast<std::chrono::milliseconds>(rig::Clock::now() - reachable);
    }
    void add_fault() {
        static constexpr FaultKind kinds[] = {FaultKind::Hang, FaultKind::Stop, FaultKind::Cut,
            FaultKind::Reset, FaultKind::Garbage, FaultKind::NoJson, FaultKind::Status, FaultKind::Refuse,
            FaultKind::Freeze, FaultKind::Late, FaultKind::Interim};
        ListFault fault;
        fault.kind = kinds[draw(0, std::size(kinds) - 1)];
        fault.at = static_cast<std::size_t>(draw(0, 200));
        fault.span = std::chrono::milliseconds(draw(50, 400));
        std::ostringstream name;
        name << fault << ' ';
        played_ += name.str();
        directory_.fault(fault);
    }
    int draw(int least, int most) { return std::uniform_int_distribution<>(least, most)(random_); }
    Json target(const char* phase) const {
        return {{"id", "s-1"}, {"host_port", targets_.address(0)}, {"locality", "a"}, {"flavor", "shop"},
            {"cell", 7}, {"phase", phase}, {"size", 1.0}, {"up_since_ms", 0}};
    }

    std::mt19937 random_;
    rig::Directory directory_;
    rig::Targets targets_;
    Node node_;
    std::chrono::milliseconds hold_{0};
    std::string played_;
};

// Calls that fail, are refused, given up or never answered, in any sequence. Several forwarders at once, for
// most of the time is waited.
TEST(DiscoveryAcceptance, AChangeIsTakenInTimeWhateverTheCallsBeforeItMet) {
    constexpr std::size_t fleets[] = {1, 3, 20, 60};
    constexpr int kEach = 2, kRounds = 3;
    const unsigned seed = std::random_device{}();
    std::list<FaultyAgent> agents;
    std::vector<std::future<std::chrono::milliseconds>> plays;
    for (const std::size_t fleet : fleets)
        for (int i = 0; i < kEach; ++i) {
            FaultyAgent& one = agents.emplace_back(fleet, seed + static_cast<unsigned>(agents.size()));
            plays.push_back(std::async(std::launch::async, [&one] { return one.longest(kRounds); }));
        }
    auto agent = agents.begin();
    for (auto& play : plays) {
        const auto bound = std::max<std::chrono::milliseconds>(kToldAfter, agent->hold() + kToldAfterHold);
        EXPECT_LE(play.get(), bound) << "seed " << seed << ": " << agent->played() << '\n' << agent->log();
        ++agent;
    }
}

// An agent that is overloaded refuses two calls in a row, and has had the change since the first of them: the
// change counts as told however the calls went.
TEST(DiscoveryAcceptance, TwoRefusalsInARowLeaveTimeToAskAgain) {
    constexpr std::size_t fleets[] = {3, 20, 300};
    const unsigned seed = std::random_device{}();
    std::vector<std::future<std::chrono::milliseconds>> plays;
    for (const std::size_t fleet : fleets)
        plays.push_back(std::async(std::launch::async, [fleet, seed]() -> std::chrono::milliseconds {
            rig::Directory directory;
            const rig::Targets targets(1);
            Node node(make_config("127.0.0.1:1", directory.address()));
            node.config()["settings"]["n_instances"] = fleet;
            node.config()["seed"] = std::to_string(seed);
            Json target{{"id", "s-1"}, {"host_port", targets.address(0)}, {"locality", "a"},
                {"flavor", "shop"}, {"cell", 7}, {"phase", "in_service"}, {"size", 1.0}, {"up_since_ms", 0}};
            directory.put(target);
            node.start_ready();
            if (!directory.wait_asked_from(directory.revision(), kDeadline)) return kDeadline;
            // each change ends the call that waits, which takes the next fault: grown pauses come first
            constexpr std::size_t kRefusals = 4, kAfterTheChange = 2;
            for (std::size_t i = 0; i < kRefusals; ++i) directory.fault({FaultKind::Status});
            directory.put(target);
            const auto until = rig::Clock::now() + 3 * kDeadline;
            while (directory.faults_left() > kAfterTheChange && rig::Clock::now() < until)
                std::this_thread::sleep_for(1ms);
            target["phase"] = "terminating";
            directory.put(target);
            const auto changed = rig::Clock::now();
            directory.wait_asked_from(directory.revision(), 3 * kDeadline);
            return std::chrono::duration_cast<std::chrono::milliseconds>(rig::Clock::now() - changed);
        }));
    for (std::size_t i = 0; i < plays.size(); ++i)
        EXPECT_LE(plays[i].get(), kToldAfter) << "seed " << seed << ", a fleet of " << fleets[i];
}

// ---- restart ----

class RestartAcceptance : public DiscoveryTest {
protected:
    static constexpr int kBacklog = 120;
    static constexpr auto kTime = 9s;     ///< that each message has
    static constexpr double kLimit = 25;  ///< calls a second: all are served in about half of their time

    void fill(Client& client) {
        for (int i = 0; i < kBacklog; ++i) {
            const std::string id = new_message_id();
            const bool unsafe = i % 2 == 0;
            ASSERT_EQ(enqueue(client, id, unsafe ? "unsafe" : "keyed", 7,
                          static_cast<int>(std::chrono::milliseconds(kTime).count())),
                "+OK");
            (unsafe ? unsafe_ : keyed_).insert(id);
        }
    }
    void never_tried(std::set<std::string>& ids) const {
        for (const auto& call : targets.calls()) ids.erase(call.id);
    }
    void slow_with_a_lowered_limit() {
        CallScript slow;
        slow.delay = 150ms;
        targets.usual(0, slow);
        targets.limit(0, kLimit);
    }
    bool all_over(const std::set<std::string>& ids) {
        return eventually([&] {
            const auto effects = targets.effects_by_id();
            return std::all_of(ids.begin(), ids.end(),
                [&](const std::string& id) { return effects.contains(id) || directory.notices_of(id) > 0; });
        });
    }
    std::size_t without_a_call(std::set<std::string> ids) const {
        never_tried(ids);
        return ids.size();
    }

    std::set<std::string> unsafe_, keyed_;
};

// Killed with a full backlog that it has hardly begun on, and back beside a slow target with a lowered limit:
// what it finds untried is attempted while it has time, counted for unsafe messages alone as well.
TEST_F(RestartAcceptance, WhatIsFoundUntriedIsAttempted) {
    CallScript hang;
    hang.kind = CallScript::Kind::Hang, hang.takes_effect = false;
    targets.usual(0, hang);
    node.config()["settings"]["limits"]["most_held"] = kBacklog;
    node.config()["settings"]["n_instances"] = 2;
    start_with({member("s-0", 0)});
    Client client = node.client();
    ASSERT_NO_FATAL_FAILURE(fill(client));
    node.kill(), node.wait();
    never_tried(unsafe_), never_tried(keyed_);
    ASSERT_GT(unsafe_.size(), 40u);
    ASSERT_GT(keyed_.size(), 40u);
    slow_with_a_lowered_limit();
    node.start_ready();
    ASSERT_TRUE(all_over(unsafe_) && all_over(keyed_)) << node.log();
    EXPECT_LE(2 * without_a_call(unsafe_), unsafe_.size());
    EXPECT_LE(2 * without_a_call(keyed_), keyed_.size());
    for (const auto& [id, count] : targets.effects_by_id()) EXPECT_EQ(count, 1) << id;
    std::cout << "without a call: " << without_a_call(unsafe_) << " of " << unsafe_.size() << " unsafe, "
              << without_a_call(keyed_) << " of " << keyed_.size() << " keyed\n";
}

}  // namespace
}  // namespace lockgw
