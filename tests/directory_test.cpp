#include "membership/directory.hpp"

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

class DirectoryTest : public ::testing::Test {
protected:
    Gone whole(std::vector<Target> targets) { return directory.listed({1, true, std::move(targets)}, now); }
    Gone changes(std::vector<Target> targets) {
        return directory.listed({1, false, std::move(targets)}, now);
    }

    Directory directory;
    Directory::Clock::time_point now = Directory::Clock::now();
};

// An outcome may still name the old number: it must not count for another target.
TEST_F(DirectoryTest, NeverUsesANumberTwice) {
    changes({target("a", 1)});
    const EndpointId first = *directory.find("a");
    EXPECT_EQ(changes({target("a", 1, Condition::Gone)}), Gone{first});
    directory.forget(first);
    EXPECT_FALSE(directory.find("a"));
    EXPECT_EQ(directory.name_of(first), nullptr);
    changes({target("b", 1), target("a", 1)});
    EXPECT_NE(*directory.find("a"), first);
    EXPECT_NE(*directory.find("b"), first);
}

TEST_F(DirectoryTest, ForgetsNoneThatIsListedAgain) {
    changes({target("a", 1)});
    changes({target("a", 1, Condition::Gone)});
    changes({target("a", 1)});
    directory.forget(*directory.find("a"));
    EXPECT_TRUE(directory.find("a"));
}

TEST_F(DirectoryTest, TellsWhatAWholeListLeavesOut) {
    whole({target("a", 1), target("b", 2)});
    EXPECT_EQ(whole({target("b", 2)}), Gone{*directory.find("a")});
    EXPECT_EQ(changes({}), Gone{});
    EXPECT_EQ(changes({target("never", 3, Condition::Gone)}), Gone{});
    EXPECT_FALSE(directory.find("never"));
}

// While its targets are replaced a destination may have none; one that was never listed does not exist.
TEST_F(DirectoryTest, KnowsADestinationForAWhile) {
    EXPECT_TRUE(directory.blank());
    changes({target("a", 1), target("b", 2, Condition::Draining)});
    EXPECT_FALSE(directory.blank());
    EXPECT_TRUE(directory.has(1, now));
    EXPECT_TRUE(directory.has(2, now));
    EXPECT_FALSE(directory.has(-1, now));
    changes({target("a", 2)});
    EXPECT_TRUE(directory.has(1, now));
    EXPECT_FALSE(directory.has(1, now + 24h));
    EXPECT_TRUE(directory.has(2, now + 24h));
}

}  // namespace
}  // namespace lockgw
