// What the tier settles on: its changes against the laws of the header, over random histories; its bytes;
// plans.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "work/ledger.hpp"
#include "work/register.hpp"

namespace lockgw::work {
namespace {

using What = Change::What;

Plan plan_of_forwarders(std::uint16_t count, std::uint16_t most_out) {
    Plan plan;
    plan.name = "test", plan.most_out = most_out;
    for (Machine i = 0; i < count; ++i) plan.machines.push_back({i, "", 0, {}, {}});
    return plan;
}
struct PlanFixture {
    explicit PlanFixture(Plan given, std::size_t members) : plan(std::move(given)) {
        facts.members = members, facts.plan = &plan, facts.sure = true;
        facts.left = [](Machine) { return 100u; };
        Change change;
        change.what = What::Plan, change.plan = digest_of(bytes_of(plan)),
        change.places = plan.machines.size();
        EXPECT_EQ(does(change), "");
        EXPECT_EQ(does({What::Approve}), "");
    }
    std::string does(const Change& change) {
        const Applied after = apply(state, change, facts);
        if (after.state) state = *after.state;
        return after.why;
    }
    std::string does(What what, Machine machine = kNobody, std::uint32_t fence = 0, std::uint16_t term = 0) {
        return does({what, machine, fence, term, 0, 0});
    }
    std::uint32_t fence_of(Machine machine) const { return state.out(machine)->fence; }
    Plan plan;
    Facts facts;
    State state;
};

TEST(Ledger, LetsSoManyGoAtATimeAndEachOnce) {
    PlanFixture fixture(plan_of_forwarders(5, 2), 5);
    EXPECT_EQ(fixture.does(What::Take, 0), "");
    EXPECT_NE(fixture.does(What::Take, 0), "") << "it is out";
    EXPECT_EQ(fixture.does(What::Take, 3), "");
    EXPECT_NE(fixture.does(What::Take, 4), "") << "two are out";
    EXPECT_EQ(fixture.does(What::Done, 0, fixture.fence_of(0)), "");
    EXPECT_NE(fixture.does(What::Take, 0), "") << "it has been done";
    EXPECT_EQ(fixture.does(What::Take, 4), "");
    EXPECT_EQ(fixture.state.fence, 3u);
}
TEST(Ledger, CountsWhoIsLostAndHoldsInDoubt) {
    PlanFixture fixture(plan_of_forwarders(9, 2), 9);
    fixture.facts.lost = {7};
    EXPECT_EQ(fixture.does(What::Take, 0), "");
    EXPECT_NE(fixture.does(What::Take, 1), "") << "one is out and one is lost";
    fixture.facts.lost = {0};
    EXPECT_EQ(fixture.does(What::Take, 1), "") << "who is out is not lost besides";
    PlanFixture unsure(plan_of_forwarders(9, 2), 9);
    unsure.facts.sure = false;
    EXPECT_NE(unsure.does(What::Take, 0), "");
    unsure.facts.sure = true, unsure.facts.plan = nullptr;
    EXPECT_NE(unsure.does(What::Take, 0), "") << "the plan is not known here";
}
TEST(Ledger, KeepsZonesLeastNumbersVotersAndHours) {
    Plan plan = plan_of_forwarders(9, 5);
    plan.zones = {"a", "b"}, plan.most_in_zone = 1, plan.least_in = 6;
    for (Place& one : plan.machines) one.zone = one.machine < 5 ? 1 : 2;
    PlanFixture fixture(plan, 9);
    EXPECT_EQ(fixture.does(What::Take, 0), "");
    EXPECT_NE(fixture.does(What::Take, 1), "") << "its zone has one out";
    EXPECT_EQ(fixture.does(What::Take, 6), "");
    PlanFixture least(plan_of_forwarders(9, 9), 9);
    least.plan.least_in = 7;
    EXPECT_EQ(least.does(What::Take, 0), "");
    EXPECT_EQ(least.does(What::Take, 1), "");
    EXPECT_NE(least.does(What::Take, 2), "") << "seven must stay";
    PlanFixture voting(plan_of_forwarders(9, 9), 9);
    voting.facts.voters = {0, 1, 2, 3, 4};
    EXPECT_EQ(voting.does(What::Take, 0), "");
    EXPECT_EQ(voting.does(What::Take, 1), "");
    EXPECT_NE(voting.does(What::Take, 2), "") << "three of five voters must stay";
    EXPECT_EQ(voting.does(What::Take, 7), "");
    PlanFixture night(plan_of_forwarders(3, 1), 3);
    night.plan.from = 22 * 60, night.plan.to = 6 * 60;
    night.facts.minute = 12 * 60;
    EXPECT_NE(night.does(What::Take, 0), "");
    night.facts.minute = 60;
    EXPECT_EQ(night.does(What::Take, 0), "");
}
TEST(Ledger, KeepsDestinationsOfHosts) {
    Plan plan;
    plan.name = "hosts", plan.most_out = 3;
    plan.machines = {{host_of("x"), "x", 0, {11}, {7}}, {host_of("y"), "y", 0, {12}, {7, 9}},
        {host_of("z"), "z", 0, {13}, {8}}};
    PlanFixture fixture(plan, 3);
    fixture.facts.left = [](Machine machine) { return machine == host_of("z") ? 40u : 60u; };
    EXPECT_EQ(fixture.does(What::Take, host_of("x")), "");
    EXPECT_NE(fixture.does(What::Take, host_of("y")), "") << "it shares destination 7";
    EXPECT_NE(fixture.does(What::Take, host_of("z")), "") << "40 percent would stay, 50 must";
    EXPECT_EQ(fixture.does(What::Free, host_of("x"), fixture.fence_of(host_of("x"))), "");
    EXPECT_EQ(fixture.does(What::Done, host_of("x"), fixture.fence_of(host_of("x"))), "");
    EXPECT_EQ(fixture.does(What::Take, host_of("y")), "");
}
TEST(Ledger, EndsNothingByAnotherNumberAndHoldsWhatBreaks) {
    PlanFixture fixture(plan_of_forwarders(4, 2), 4);
    EXPECT_EQ(fixture.does(What::Take, 0), "");
    for (const What what : {What::Done, What::Back, What::Broken, What::Renew, What::Free, What::Expire}) {
        EXPECT_NE(fixture.does(what, 0, fixture.state.fence + 1), "") << text_of(what);
        ASSERT_NE(fixture.state.out(0), nullptr) << text_of(what);
    }
    EXPECT_EQ(fixture.does(What::Renew, 0, fixture.fence_of(0)), "");
    EXPECT_NE(fixture.does(What::Expire, 0, fixture.fence_of(0), 0), "") << "it was renewed meanwhile";
    EXPECT_EQ(fixture.does(What::Expire, 0, fixture.fence_of(0), 1), "");
    EXPECT_EQ(fixture.state.out(0)->phase, Out::Phase::Overdue);
    EXPECT_EQ(fixture.state.mode, Mode::Held);
    EXPECT_EQ(fixture.state.about, 0);
    EXPECT_NE(fixture.does(What::Take, 1), "");
    EXPECT_EQ(fixture.does(What::Approve), "");
    EXPECT_EQ(fixture.does(What::Take, 1), "");
    EXPECT_NE(fixture.does(What::Take, 2), "") << "who is overdue counts as out";
    EXPECT_EQ(fixture.does(What::Broken, 1, fixture.fence_of(1)), "");
    EXPECT_EQ(fixture.state.reason, Reason::Broken);
    EXPECT_EQ(fixture.does(What::Drop, 0), "");
    EXPECT_EQ(fixture.does(What::Done, 1, fixture.fence_of(1)), "");
    EXPECT_EQ(fixture.state.done_count(), 1u) << "who was dropped has not been done";
    EXPECT_EQ(fixture.does(What::Force, 3), "") << "whatever the plan says";
    EXPECT_TRUE(fixture.state.out(3)->forced);
    EXPECT_EQ(state_of(bytes_of(fixture.state)), fixture.state);
    PlanFixture back(plan_of_forwarders(4, 2), 4);
    back.plan.overdue = Overdue::Back;
    EXPECT_EQ(back.does(What::Take, 0), "");
    EXPECT_EQ(back.does(What::Expire, 0, back.fence_of(0), 0), "");
    EXPECT_TRUE(back.state.outs.empty());
    EXPECT_EQ(back.state.mode, Mode::Approved);
}
TEST(Ledger, AnotherPlanComesOnlyWhereNothingIsOut) {
    PlanFixture fixture(plan_of_forwarders(3, 1), 3);
    Change other;
    other.what = What::Plan, other.plan = 77, other.places = 3;
    EXPECT_NE(fixture.does(other), "") << "one is in force";
    EXPECT_EQ(fixture.does(What::Take, 0), "");
    EXPECT_EQ(fixture.does(What::Hold), "");
    EXPECT_NE(fixture.does(other), "") << "one is out by it";
    EXPECT_EQ(fixture.does(What::Done, 0, fixture.fence_of(0)), "");
    EXPECT_EQ(fixture.does(other), "");
    EXPECT_EQ(fixture.state.epoch, 2u);
    EXPECT_EQ(fixture.state.mode, Mode::Proposed);
    EXPECT_EQ(fixture.state.done_count(), 0u);
}
TEST(Ledger, FinishesWhenAllAreDoneAndCancelledEndsForGood) {
    PlanFixture fixture(plan_of_forwarders(2, 1), 3);
    for (const Machine one : {0, 1}) {
        EXPECT_EQ(fixture.does(What::Take, one), "");
        EXPECT_EQ(fixture.does(What::Done, one, fixture.fence_of(one)), "");
    }
    EXPECT_EQ(fixture.state.mode, Mode::Finished);
    PlanFixture other(plan_of_forwarders(2, 1), 3);
    EXPECT_EQ(other.does(What::Take, 0), "");
    EXPECT_EQ(other.does(What::Cancel), "");
    EXPECT_NE(other.does(What::Approve), "");
    EXPECT_EQ(other.does(What::Back, 0, other.fence_of(0)), "");
    EXPECT_EQ(other.state.done_count(), 0u);
}

// Random changes by whoever, most of them senseless: the laws hold after each.
TEST(LedgerLaws, HoldOverRandomHistories) {
    const auto seed = std::random_device{}();
    std::mt19937_64 random(seed);
    for (int history = 0; history < 300; ++history) {
        const auto members = static_cast<std::uint16_t>(2 + random() % 12);
        Plan plan = plan_of_forwarders(members, static_cast<std::uint16_t>(1 + random() % 4));
        plan.zones = {"a", "b", "c"}, plan.most_in_zone = static_cast<std::uint16_t>(random() % 3);
        plan.least_in = static_cast<std::uint16_t>(random() % members);
        plan.overdue = random() % 2 ? Overdue::Back : Overdue::Out;
        for (Place& one : plan.machines) one.zone = static_cast<std::uint8_t>(random() % 4);
        PlanFixture fixture(plan, members);
        fixture.facts.voters = voters_of(members);
        std::set<std::uint32_t> fences;
        for (int step = 0; step < 200; ++step) {
            fixture.facts.lost.clear();
            for (Machine i = 0; i < members; ++i)
                if (random() % 8 == 0) fixture.facts.lost.push_back(i);
            const State before = fixture.state;
            Change change;
            change.what = static_cast<What>(random() % 11);  // all but force out
            if (change.what == What::Plan || change.what == What::Cancel) change.what = What::Take;
            change.machine = static_cast<Machine>(random() % members);
            const Out* out = before.out(change.machine);
            if (out != nullptr && random() % 4) change.fence = out->fence, change.term = out->term;
            fixture.does(change);
            const State& now = fixture.state;
            ASSERT_GE(now.fence, before.fence);
            ASSERT_LE(bytes_of(now).size(), kMostState);
            ASSERT_EQ(state_of(bytes_of(now)), now);
            std::set<Machine> missing(fixture.facts.lost.begin(), fixture.facts.lost.end());
            for (const Out& one : now.outs) missing.insert(one.machine);
            const bool went = now.outs.size() > before.outs.size();
            if (!went) continue;
            ASSERT_TRUE(fences.insert(now.fence).second) << "seed " << seed;
            ASSERT_LE(missing.size(), plan.most_out) << "seed " << seed << " history " << history;
            ASSERT_GE(members - missing.size(), plan.least_in) << "seed " << seed;
            std::map<int, std::size_t> zones;
            for (const Machine one : missing) ++zones[plan.zone_of(one)];
            const std::uint8_t zone = plan.zone_of(now.outs.back().machine);
            if (plan.most_in_zone > 0 && zone > 0) {
                ASSERT_LE(zones[zone], plan.most_in_zone) << "seed " << seed;
            }
        }
    }
}

TEST(LedgerOrder, ZonesTakeTurnsAndAllAgree) {
    Plan plan = plan_of_forwarders(30, 3);
    plan.zones = {"a", "b", "c"};
    for (Place& one : plan.machines) one.zone = static_cast<std::uint8_t>(1 + one.machine / 10);
    const auto order = order_of(plan, 99);
    EXPECT_EQ(std::set<Machine>(order.begin(), order.end()).size(), 30u);
    for (std::size_t i = 0; i < 30; i += 3) {
        std::set<std::uint8_t> zones;
        for (std::size_t j = i; j < i + 3; ++j) zones.insert(plan.zone_of(order[j]));
        EXPECT_EQ(zones.size(), 3u) << i;
    }
    EXPECT_NE(order, order_of(plan, 100)) << "another plan, another order";
}

// ---- plans ----

TEST(WorkPlan, IsReadAsItWasWritten) {
    std::mt19937 random(3);
    for (int i = 0; i < 500; ++i) {
        Plan plan = plan_of_forwarders(static_cast<std::uint16_t>(random() % 40), 2);
        plan.why = std::string(random() % 200, 'w'), plan.zones = {"a", "b"};
        for (Place& one : plan.machines) one.zone = static_cast<std::uint8_t>(random() % 3);
        for (unsigned hosts = random() % 4; hosts > 0; --hosts) {
            const std::string name = "h" + std::to_string(hosts);
            plan.machines.push_back({host_of(name), name, 1, {random(), random()}, {3, -4}});
        }
        const std::string bytes = bytes_of(plan);
        EXPECT_EQ(plan_of(bytes), plan);
        EXPECT_EQ(nonsense_of(plan, 40).empty(), !plan.machines.empty());
        for (std::size_t cut = 0; cut < bytes.size(); cut += 1 + random() % 7)
            EXPECT_FALSE(plan_of(bytes.substr(0, cut)));
    }
}
TEST(WorkPlan, OfThreeHundredFitsAndTellsItsDigest) {
    const Plan plan = plan_of_forwarders(300, 5);
    EXPECT_LE(bytes_of(plan).size(), 100u) << "a run is told as one";
    EXPECT_NE(digest_of(bytes_of(plan)), digest_of(bytes_of(plan_of_forwarders(299, 5))));
}
TEST(WorkPlan, NonsenseIsTold) {
    Plan plan = plan_of_forwarders(3, 1);
    EXPECT_EQ(nonsense_of(plan, 3), "");
    EXPECT_NE(nonsense_of(plan, 2), "") << "forwarder 2 of two";
    plan.least_in = 3;
    EXPECT_NE(nonsense_of(plan, 3), "") << "nobody may go";
    plan = plan_of_forwarders(3, 1), plan.machines.push_back(plan.machines[0]);
    EXPECT_NE(nonsense_of(plan, 3), "") << "one stands twice";
    plan = plan_of_forwarders(3, 1), plan.machines.push_back({host_of("x"), "x", 0, {}, {}});
    EXPECT_NE(nonsense_of(plan, 3), "") << "a host without targets";
    plan.machines.back().targets = {1}, plan.task = Task::Restart;
    EXPECT_NE(nonsense_of(plan, 3), "") << "targets are not restarted from here";
}

}  // namespace
}  // namespace lockgw::work
