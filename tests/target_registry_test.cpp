#include "discovery/target_registry.hpp"

#include <gtest/gtest.h>

namespace lockgw {
namespace {

using cometspoke::Condition;
using cometspoke::EndpointId;
using Gone = std::set<EndpointId>;
using namespace std::chrono_literals;

Target target(const std::string& id, std::int64_t destination, Condition condition = Condition::Ready) {
    Target target;
    target.id = id;
    target.destination = destination;
    target.condition = condition;
    return target;
}

class TargetRegistryTest : public ::testing::Test {
protected:
    Gone full_list(std::vector<Target> targets) {
        return registry.apply_list({1, true, std::move(targets)}, now);
    }
    Gone changes(std::vector<Target> targets) {
        return registry.apply_list({1, false, std::move(targets)}, now);
    }

    TargetRegistry registry;
    TargetRegistry::Clock::time_point now = TargetRegistry::Clock::now();
};

// A late outcome may still carry the old number and must not be counted for another target.
TEST_F(TargetRegistryTest, NeverReusesANumber) {
    changes({target("a", 1)});
    const EndpointId first = *registry.find("a");
    EXPECT_EQ(changes({target("a", 1, Condition::Gone)}), Gone{first});
    registry.forget(first);
    EXPECT_FALSE(registry.find("a"));
    EXPECT_EQ(registry.name_of(first), nullptr);
    changes({target("b", 1), target("a", 1)});
    EXPECT_NE(*registry.find("a"), first);
    EXPECT_NE(*registry.find("b"), first);
}

TEST_F(TargetRegistryTest, KeepsATargetThatIsListedAgain) {
    changes({target("a", 1)});
    changes({target("a", 1, Condition::Gone)});
    changes({target("a", 1)});
    registry.forget(*registry.find("a"));
    EXPECT_TRUE(registry.find("a"));
}

TEST_F(TargetRegistryTest, ReturnsTargetsMissingFromAFullList) {
    full_list({target("a", 1), target("b", 2)});
    EXPECT_EQ(full_list({target("b", 2)}), Gone{*registry.find("a")});
    EXPECT_EQ(changes({}), Gone{});
    EXPECT_EQ(changes({target("never", 3, Condition::Gone)}), Gone{});
    EXPECT_FALSE(registry.find("never"));
}

// A destination may have no targets while they are replaced. One that was never listed does not exist.
TEST_F(TargetRegistryTest, KeepsADestinationWithoutTargetsForAWhile) {
    EXPECT_TRUE(registry.empty());
    changes({target("a", 1), target("b", 2, Condition::Draining)});
    EXPECT_FALSE(registry.empty());
    EXPECT_TRUE(registry.has_destination(1, now));
    EXPECT_TRUE(registry.has_destination(2, now));
    EXPECT_FALSE(registry.has_destination(-1, now));
    changes({target("a", 2)});
    EXPECT_TRUE(registry.has_destination(1, now));
    EXPECT_FALSE(registry.has_destination(1, now + 24h));
    EXPECT_TRUE(registry.has_destination(2, now + 24h));
}

}  // namespace
}  // namespace lockgw
