// Subsets without processes: the load that the forwarders of a cluster put on each target together, and how
// the subsets of one forwarder follow its traffic, slow targets, slow start and the operator.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <random>

#include "subsetting/subset_planner.hpp"

namespace lockgw::subsetting {
namespace {

using namespace std::chrono_literals;

HashRing ring_of(std::size_t targets, std::int64_t destination = 7) {
    HashRing ring(destination);
    for (std::size_t i = 0; i < targets; ++i) ring.put("t-" + std::to_string(i), 1);
    return ring;
}
/// The load on each target, as a multiple of the even share, if all forwarders have the same traffic.
std::map<std::string, double> loads(const HashRing& ring, std::size_t forwarders, double targets) {
    std::map<std::string, double> load;
    const auto even_share = static_cast<double>(forwarders) / static_cast<double>(ring.size());
    for (std::size_t i = 0; i < forwarders; ++i) {
        double sum = 0;
        for (const SubsetTarget& target :
            ring.subset(evenly_spaced_position(i, forwarders), targets, forwarders))
            load[target.id] += target.weight / even_share, sum += target.weight;
        EXPECT_NEAR(sum, 1, 1e-9);
    }
    return load;
}

struct Case {
    std::size_t forwarders, targets;
    double subset_size, max_load, min_load;
};
std::ostream& operator<<(std::ostream& out, const Case& param) {
    return out << param.forwarders << '_' << param.targets << '_' << static_cast<int>(param.subset_size * 10);
}
class ClusterLoad : public ::testing::TestWithParam<Case> {};
// For many destinations: the weights of each forwarder sum to 1, and every target is used and gets about its
// even share.
TEST_P(ClusterLoad, IsEvenOverTheTargets) {
    const Case& param = GetParam();
    for (std::int64_t destination = 0; destination < 40; ++destination) {
        const auto load = loads(ring_of(param.targets, destination), param.forwarders, param.subset_size);
        ASSERT_EQ(load.size(), param.targets) << "destination " << destination;
        for (const auto& [id, value] : load) {
            EXPECT_LE(value, param.max_load) << id << " of destination " << destination;
            EXPECT_GE(value, param.min_load) << id << " of destination " << destination;
        }
    }
}
INSTANTIATE_TEST_SUITE_P(Subsetting, ClusterLoad,
    ::testing::Values(Case{1, 1, 1, 1, 1}, Case{100, 20, 1, 1.21, 0.79}, Case{100, 20, 2.7, 1.1, 0.9},
        Case{300, 30, 1, 1.11, 0.89}, Case{300, 30, 2.7, 1.06, 0.94}, Case{300, 2, 1, 1.01, 0.99},
        Case{3, 300, 1, 1.05, 0.95}, Case{2, 2, 2, 1.01, 0.99}));

// Neither the order of the list nor duplicates in it change a subset.
TEST(HashRing, DoesNotDependOnTheOrderOfTheList) {
    std::vector<int> order(20);
    for (int i = 0; i < 20; ++i) order[static_cast<std::size_t>(i)] = i;
    std::mt19937 random(3);
    const auto expected = ring_of(20).subset(0.3, 3, 100);
    for (int round = 0; round < 20; ++round) {
        std::shuffle(order.begin(), order.end(), random);
        HashRing ring(7);
        for (const int i : order) ring.put("t-" + std::to_string(i), 1);
        for (const int i : order) EXPECT_FALSE(ring.put("t-" + std::to_string(i), 1));
        const auto found = ring.subset(0.3, 3, 100);
        ASSERT_EQ(found.size(), expected.size());
        for (std::size_t i = 0; i < found.size(); ++i) {
            EXPECT_EQ(found[i].id, expected[i].id);
            EXPECT_EQ(found[i].weight, expected[i].weight);
        }
    }
}

// A larger target gets a larger share, in proportion to its size.
TEST(HashRing, GivesLoadInProportionToSize) {
    HashRing ring = ring_of(10);
    ring.put("t-3", 3);  // of a total of 12
    const auto load = loads(ring, 300, 2.5);
    EXPECT_NEAR(load.at("t-3"), 3.0 * 10 / 12, 0.15);
    EXPECT_NEAR(load.at("t-4"), 10.0 / 12, 0.15);
}

// The share of a removed target goes to others; docs/spread.md gives how much more of the load moves with it.
TEST(HashRing, RemovingATargetMovesLittleLoadOfTheOthers) {
    constexpr std::size_t kForwarders = 100, kTargets = 20;
    double moved = 0;
    for (std::int64_t destination = 0; destination < 20; ++destination) {
        const HashRing before = ring_of(kTargets, destination);
        HashRing after = before;
        after.erase("t-5");
        for (std::size_t i = 0; i < kForwarders; ++i) {
            std::map<std::string, double> old_weights;
            for (const SubsetTarget& target :
                before.subset(evenly_spaced_position(i, kForwarders), 2.7, kForwarders))
                old_weights[target.id] = target.weight;
            for (const SubsetTarget& target :
                after.subset(evenly_spaced_position(i, kForwarders), 2.7, kForwarders))
                moved += std::max(0.0, target.weight - old_weights[target.id]);
        }
    }
    moved /= 20.0 * kForwarders;
    EXPECT_LE(moved, 0.3);
    EXPECT_GE(moved, 1.0 / kTargets - 0.01);
}

// With a random half of the forwarders gone, the remaining ones still cover all targets.
TEST(HashRing, HalfOfTheForwardersCoverAllTargets) {
    std::mt19937 random(9);
    for (std::int64_t destination = 0; destination < 20; ++destination) {
        const HashRing ring = ring_of(20, destination);
        std::map<std::string, double> load;
        for (std::size_t i = 0; i < 100; ++i)
            if (random() % 2 == 0)
                for (const SubsetTarget& target : ring.subset(evenly_spaced_position(i, 100), 2.7, 100))
                    load[target.id] += target.weight;
        EXPECT_EQ(load.size(), 20u);
    }
}

TEST(GossipId, IsAboveTheNumbersOfDestinations) {
    EXPECT_EQ(gossip_id("s-1"), gossip_id("s-1"));
    EXPECT_NE(gossip_id("s-1"), gossip_id("s-2"));
    EXPECT_GE(gossip_id("s-1"), std::uint64_t{1} << 40);
}

// Forwarders without numbers get positions that are spread over the whole ring.
TEST(HashedPosition, SpreadsForwardersOverTheRing) {
    std::map<int, int> tenths;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) ++tenths[static_cast<int>(hashed_position(seed) * 10)];
    for (const auto& [tenth, count] : tenths) EXPECT_NEAR(count, 100, 40) << tenth;
}

class SubsetPlannerTest : public ::testing::Test {
protected:
    void put_targets(std::size_t targets) {
        for (std::size_t i = 0; i < targets; ++i) planner.put("t-" + std::to_string(i), 7, 1, true);
    }
    /// Sends messages at an even rate for `duration_s`; returns the changes reported meanwhile.
    std::vector<SubsetPlanner::Change> send_messages(double rate, double duration_s) {
        std::vector<SubsetPlanner::Change> changes;
        const auto until = now + Time(static_cast<Time::rep>(duration_s * 1e6));
        while (now < until) {
            now += Time(static_cast<Time::rep>(1e6 / rate));
            planner.record_message(7, now);
            for (auto& change : planner.take_changes(now)) changes.push_back(std::move(change));
        }
        return changes;
    }
    Time now{1'000'000'000};
    SubsetPlanner planner{{evenly_spaced_position(17, 100), 100, Time(10'000'000)}};
};

TEST_F(SubsetPlannerTest, SubsetGrowsAndShrinksWithTheTraffic) {
    put_targets(20);
    ASSERT_EQ(planner.take_changes(now).size(), 1u);
    EXPECT_EQ(planner.reports(now)[0].targets.size(), 1u) << "little traffic keeps one connection in use";
    send_messages(2, 60);
    const auto report = planner.reports(now)[0];
    EXPECT_NEAR(report.message_rate, 2, 0.3);
    EXPECT_GE(report.targets.size(), 2u);
    EXPECT_LE(report.targets.size(), 5u);
    send_messages(50, 60);
    EXPECT_EQ(planner.reports(now)[0].targets.size(), 20u);
    send_messages(0.2, 300);
    EXPECT_EQ(planner.reports(now)[0].targets.size(), 1u);
}
TEST_F(SubsetPlannerTest, SteadyTrafficKeepsTheSubset) {
    put_targets(20);
    send_messages(2, 60);
    EXPECT_LE(send_messages(2, 600).size(), 1u);
}
TEST_F(SubsetPlannerTest, ReportsChangesOfTheListOnly) {
    put_targets(20);
    EXPECT_EQ(planner.take_changes(now).size(), 1u);
    put_targets(20);
    EXPECT_TRUE(planner.take_changes(now).empty());
    planner.put("t-3", 7, 1, false);  // drains
    const auto changes = planner.take_changes(now);
    ASSERT_EQ(changes.size(), 1u);
    for (const SubsetTarget& target : changes[0].targets) EXPECT_NE(target.id, "t-3");
    planner.put("t-4", 8, 1, true);  // moves
    EXPECT_EQ(planner.take_changes(now).size(), 1u) << "destination 8 has a single target, so no subset";
    for (std::size_t i = 0; i < 20; ++i) planner.erase("t-" + std::to_string(i));
    const auto emptied = planner.take_changes(now);
    ASSERT_EQ(emptied.size(), 1u);
    EXPECT_TRUE(emptied[0].targets.empty());
    EXPECT_TRUE(planner.reports(now).empty());
}
// A cluster of three has no subsets with little traffic, so that open connections are reused; with enough
// traffic it has them.
TEST(SmallCluster, HasSubsetsOnlyWithEnoughTraffic) {
    SubsetPlanner planner({evenly_spaced_position(0, 3), 3, Time(10'000'000)});
    Time now(1'000'000'000);
    for (int i = 0; i < 300; ++i) planner.put("t-" + std::to_string(i), 7, 1, true);
    for (int i = 0; i < 200; ++i) planner.record_message(7, now += Time(500'000));
    EXPECT_TRUE(planner.take_changes(now).empty());
    for (int i = 0; i < 100'000; ++i) planner.record_message(7, now += Time(1'000));
    const auto changes = planner.take_changes(now);
    ASSERT_EQ(changes.size(), 1u);
    EXPECT_GE(changes[0].targets.size(), 100u);
}

// ---- slow targets, slow start and the operator's configuration ----

/// All targets of a subset have the same latency except for t-`slow`, whose latency is `factor` times as
/// long.
struct Latencies {
    std::size_t slow;
    double factor;
};
class SlowTargetTest : public SubsetPlannerTest {
protected:
    /// Distributes calls by the weights for `duration_s`; returns the weights at the end.
    std::map<std::string, double> serve(const Latencies& latencies, double duration_s) {
        const auto until = now + Time(static_cast<Time::rep>(duration_s * 1e6));
        while (now < until) {
            now += Time(50'000);
            planner.record_message(7, now);
            planner.take_changes(now);
            const auto report = planner.reports(now)[0];
            for (const SubsetTarget& target : report.targets) {
                credit[target.id] += target.weight;
                if (credit[target.id] < 1) continue;
                credit[target.id] -= 1;
                const bool slow = target.id == "t-" + std::to_string(latencies.slow);
                planner.record_answer(
                    target.id, Time(static_cast<Time::rep>(20'000 * (slow ? latencies.factor : 1))), now);
            }
        }
        std::map<std::string, double> weights;
        const auto reports = planner.reports(now);
        for (const SubsetTarget& target : reports[0].targets) weights[target.id] = target.weight;
        return weights;
    }
    std::map<std::string, double> credit;
};
TEST_F(SlowTargetTest, ReducesTheWeightUntilTheTargetRecovers) {
    put_targets(20);
    const auto before = serve({0, 1}, 60);
    ASSERT_EQ(before.size(), 20u) << "20 messages a second keep connections to all targets in use";
    const double full_weight = before.at("t-4");
    const auto slow = serve({4, 4}, 30);
    EXPECT_LT(slow.at("t-4"), 0.4 * full_weight);
    EXPECT_GT(slow.at("t-4"), 0.1 * full_weight) << "enough calls remain to measure it";
    double sum = 0;
    for (const auto& [id, weight] : slow) sum += weight;
    EXPECT_NEAR(sum, 1, 1e-9);
    EXPECT_NE(planner.reports(now)[0].target_reasons[4].size(), 0u);
    EXPECT_NEAR(serve({4, 1}, 60).at("t-4"), full_weight, 1e-9);
}
TEST_F(SlowTargetTest, KeepsWeightsBelowTwiceTheMedianLatency) {
    put_targets(20);
    const auto before = serve({0, 1}, 60);
    EXPECT_EQ(serve({4, 1.8}, 30), before);
}
TEST_F(SlowTargetTest, ChangesAWeightByAtMostOneStepASecond) {
    put_targets(20);
    double last = serve({0, 1}, 60).at("t-4");
    for (int second = 0; second < 20; ++second) {
        const double next = serve({4, 10}, 1).at("t-4");
        EXPECT_GE(next, last / SubsetPlanner::kMaxSpeedStep / 1.05);
        last = next;
    }
}
// The load that the whole cluster puts on a started target rises gradually, since the steps of the forwarders
// are offset from one another.
TEST(SlowStart, RaisesTheLoadOnAStartedTargetGradually) {
    constexpr std::size_t kForwarders = 100, kTargets = 20;
    const Time started_at(1'000'000'000);
    std::vector<SubsetPlanner> cluster;
    for (std::size_t i = 0; i < kForwarders; ++i) {
        SubsetPlanner& planner = cluster.emplace_back(SubsetParameters{
            evenly_spaced_position(i, kForwarders), kForwarders, Time(10'000'000), Time(10'000'000), 0.16});
        for (std::size_t t = 0; t < kTargets; ++t)
            planner.put(
                "t-" + std::to_string(t), 7, 1, true, t == 4 ? std::optional(started_at) : std::nullopt);
        for (Time time = started_at - Time(60'000'000); time < started_at; time += Time(400'000))
            planner.record_message(7, time);
    }
    double last = 0;
    for (int second = 0; second <= 11; ++second) {
        const Time now = started_at + Time(second * 1'000'000);
        double load = 0;
        for (SubsetPlanner& planner : cluster) {
            planner.take_changes(now);
            const auto reports = planner.reports(now);
            for (const SubsetTarget& target : reports[0].targets)
                load += target.id == "t-4" ? target.weight : 0;
        }
        load *= static_cast<double>(kTargets) / kForwarders;
        EXPECT_LE(load - last, 0.45) << "second " << second;
        EXPECT_LE(load, 0.16 + 0.84 * (second + 2) / 10.0 + 0.1) << "second " << second;
        last = load;
    }
    EXPECT_NEAR(last, 1, 0.15);
}
// Lists report the start as an age, so the same start differs slightly from list to list and must not begin
// slow start again; a later start must.
TEST(SlowStart, BeginsAgainOnlyForALaterStart) {
    SubsetPlanner planner({0.3, 100, Time(10'000'000), Time(10'000'000), 0.16});
    const Time started_at(1'000'000'000);
    for (int t = 0; t < 20; ++t)
        planner.put("t-" + std::to_string(t), 7, 1, true, t == 4 ? std::optional(started_at) : std::nullopt);
    for (const int later_s : {2, 5, 9, 12}) {  // the last two close to the end of slow start and after it
        const Time now = started_at + Time(later_s * 1'000'000);
        planner.take_changes(now);
        planner.put("t-4", 7, 1, true, started_at + Time(700));
        EXPECT_TRUE(planner.take_changes(now).empty()) << later_s;
    }
    planner.put("t-4", 7, 1, true, started_at + Time(13'000'000));
    EXPECT_EQ(planner.take_changes(started_at + Time(13'000'000)).size(), 1u) << "the target was restarted";
}
TEST(SlowStart, KeepsWeightsEvenIfAllTargetsStartTogether) {
    SubsetPlanner all_starting({0.3, 100, Time(10'000'000), Time(10'000'000), 0.16});
    SubsetPlanner all_running({0.3, 100, Time(10'000'000), Time(10'000'000), 0.16});
    const Time started_at(1'000'000'000);
    for (int t = 0; t < 20; ++t) {
        all_starting.put("t-" + std::to_string(t), 7, 1, true, started_at);
        all_running.put("t-" + std::to_string(t), 7, 1, true);
    }
    for (int second = 0; second < 12; ++second) {
        const Time now = started_at + Time(second * 1'000'000);
        all_starting.take_changes(now), all_running.take_changes(now);
        const auto a = all_starting.reports(now)[0].targets, b = all_running.reports(now)[0].targets;
        ASSERT_EQ(a.size(), b.size());
        for (std::size_t i = 0; i < a.size(); ++i) EXPECT_NEAR(a[i].weight, b[i].weight, 1e-9);
    }
}
TEST_F(SubsetPlannerTest, AppliesTheOperatorsBoundsAndWeights) {
    put_targets(20);
    send_messages(50, 30);
    ASSERT_EQ(planner.reports(now)[0].targets.size(), 20u);
    planner.apply_config({true, std::nullopt, 5.0}, {});
    ASSERT_EQ(planner.take_changes(now).size(), 1u);
    EXPECT_LE(planner.reports(now)[0].targets.size(), 7u);
    planner.apply_config({false, std::nullopt, std::nullopt}, {});
    const auto changes = planner.take_changes(now);
    ASSERT_EQ(changes.size(), 1u);
    EXPECT_TRUE(changes[0].targets.empty());
    planner.apply_config({}, {{"t-4", 3.0}});
    planner.take_changes(now);
    double heavy = 0, other = 0, ignored = 0;
    const auto reports = planner.reports(now);
    for (const SubsetTarget& target : reports[0].targets)
        (target.id == "t-4" ? heavy : target.id == "t-5" ? other : ignored) = target.weight;
    EXPECT_NEAR(heavy / other, 3, 0.01);
}
TEST(ConnectionEstimate, CountsTheConnectionsOfAClusterToOneTarget) {
    const SubsetParameters parameters{0, 100, Time(10'000'000)};
    const HashRing ring = ring_of(20);
    const ConnectionEstimate low_rate = estimate_connections(ring, "t-3", parameters, {}, 0.1, 0.05);
    EXPECT_NEAR(static_cast<double>(low_rate.forwarders), 5, 1)
        << "a twentieth of the forwarders, each with one connection";
    EXPECT_NEAR(low_rate.connections, static_cast<double>(low_rate.forwarders), 1e-9);
    EXPECT_EQ(estimate_connections(ring, "t-3", parameters, {}, 100, 0.05).forwarders, 100u);
    SubsetConfig bounded;
    bounded.max_targets = 2;
    EXPECT_LE(estimate_connections(ring, "t-3", parameters, bounded, 100, 0.05).forwarders, 20u);
}

}  // namespace
}  // namespace lockgw::subsetting
