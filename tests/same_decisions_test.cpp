// The module against itself before its walks were taken out: the same random events, the same actions in the
// same order. What is left to approximation (very many held or ready) is beyond the sizes here.
#include "random_traffic.hpp"
#include "reference/logic_before.hpp"

namespace cometspoke::testing {
namespace {

class SameDecisions : public ::testing::TestWithParam<TrafficVariant> {};

TEST_P(SameDecisions, OverRandomEvents) {
    const SeedRange seeds(100);
    for (std::uint64_t seed = seeds.first; seed < seeds.last; ++seed) {
        DifferentialRun<SenderBefore> both(GetParam(), seed);
        std::string told;
        ASSERT_TRUE(both.run(250, told)) << "seed " << seed << ": " << told;
    }
}

INSTANTIATE_TEST_SUITE_P(Module, SameDecisions, ::testing::ValuesIn(traffic_variants()),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace cometspoke::testing
