// Compares the decision module with its version before the linear scans were removed (tests/reference): the
// same random events must give the same actions in the same order. The present module samples where very many
// messages are held or ready; the sizes here stay below that.
#include "random_traffic.hpp"
#include "reference/logic_before.hpp"

namespace cometspoke::testing {
namespace {

class SameDecisions : public ::testing::TestWithParam<TrafficVariant> {};

TEST_P(SameDecisions, OnRandomEvents) {
    const SeedRange seeds(100);
    for (std::uint64_t seed = seeds.first; seed < seeds.last; ++seed) {
        DifferentialRun<SenderBefore> modules(GetParam(), seed);
        std::string difference;
        ASSERT_TRUE(modules.run(250, difference)) << "seed " << seed << ": " << difference;
    }
}

INSTANTIATE_TEST_SUITE_P(Module, SameDecisions, ::testing::ValuesIn(traffic_variants()),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace cometspoke::testing
