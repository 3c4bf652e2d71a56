// A destination that comes back from an outage is cold: what all senders together send it, counted there,
// stays within what the settings allow, whatever each of them knows (lab/fleet.hpp).
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <vector>

#include "lab/fleet.hpp"

namespace lockgw::lab {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t kSeeds = 4;  // a hundred times slower there; the release build plays them all
#else
constexpr std::uint64_t kSeeds = 200;
#endif
constexpr Time kFails{6'000'000}, kReturns{14'000'000};
constexpr double kLater_s = 2.0;

struct Case {
    std::size_t senders = 1;
    double limit = 20.0;
    double before_s = 0.0;  ///< median time to full service before the bound on all senders, same seeds
};
std::ostream& operator<<(std::ostream& out, const Case& one) {
    return out << one.senders << " senders, limit " << one.limit;
}

FleetSettings outage(const Case& one, std::uint64_t seed) {
    FleetSettings settings;
    settings.senders = one.senders;
    settings.seed = seed;
    settings.span = Time(34'000'000);
    settings.uneven = 0.8;
    PartnerSettings struck, other;
    struck.demand = 0.7 * one.limit, struck.limit = one.limit;
    struck.changes = {{kFails, 0.0}, {kReturns, struck.limit}};
    other.demand = 10, other.limit = 20;
    settings.partners = {struck, other};
    // a fifth of them begin anew, shortly before the return and shortly after
    for (std::size_t i = 0; i < one.senders; i += 5)
        settings.restarts.push_back({kReturns + Time(i % 2 == 0 ? -700'000 : 400'000), i});
    return settings;
}

class ReturnBudget : public ::testing::TestWithParam<Case> {};
TEST_P(ReturnBudget, HoldsOverAllSenders) {
    std::vector<double> shares, seconds;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const FleetCount count = run(outage(GetParam(), seed));
        EXPECT_EQ(count.doubled_ends, 0u) << "seed " << seed;
        EXPECT_EQ(count.unended, 0u) << "seed " << seed;
        EXPECT_LE(count.partners[0].most_of_allowed, 1.0) << "seed " << seed;
        shares.push_back(count.partners[0].most_of_allowed);
        seconds.push_back(std::chrono::duration<double>(count.partners[0].served_again).count());
    }
    std::sort(shares.begin(), shares.end()), std::sort(seconds.begin(), seconds.end());
    std::cout << GetParam() << ": of the allowed median " << shares[kSeeds / 2] << ", most " << shares.back()
              << "; full service after median " << seconds[kSeeds / 2] << " s (before " << GetParam().before_s
              << "), most " << seconds.back() << " s\n";
    // no way back that serves nobody; a median of few seeds tells nothing
    if (kSeeds >= 100) {
        EXPECT_LE(seconds[kSeeds / 2], GetParam().before_s + kLater_s);
    }
}
INSTANTIATE_TEST_SUITE_P(Senders, ReturnBudget,
    ::testing::Values(Case{1, 20, 0.9}, Case{5, 20, 0.5}, Case{20, 20, 3.1}, Case{30, 20, 5.9},
        Case{20, 60, 0.5}, Case{30, 60, 1.1}));

}  // namespace
}  // namespace lockgw::lab
