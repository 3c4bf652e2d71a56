// lockgw-fleet: a fleet of decision modules through an outage of one partner in three, in simulated time.
// Prints how first tries and messages ended, summed over the seeds.
//
//   lockgw-fleet [--seeds 10] [--senders 3] [--down-s 10]
#include <CLI/CLI.hpp>
#include <cstdio>

#include "lab/fleet.hpp"

namespace {

using namespace lockgw::lab;

constexpr Time kSecond{1'000'000};

/// The first partner refuses connections for `down_s` from 6 s on and loses the answers of calls that are
/// out.
FleetSettings outage(std::size_t senders, int down_s, bool retries_at_once) {
    FleetSettings settings;
    settings.senders = senders;
    settings.span = 40 * kSecond;
    settings.retries_at_once = retries_at_once;
    PartnerSettings struck{12, 20, {{6 * kSecond, 0}, {(6 + down_s) * kSecond, 20}}};
    struck.loses_answers = true;
    struck.answer = Time(250'000);
    settings.partners = {struck, {16, 25, {}}, {16, 25, {}}};
    return settings;
}

void play(const char* name, std::size_t senders, int down_s, bool retries_at_once, std::uint64_t seeds) {
    PartnerCount sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        FleetSettings settings = outage(senders, down_s, retries_at_once);
        settings.seed = seed;
        const PartnerCount one = run(settings).all();
        sum.offered += one.offered, sum.in_time += one.in_time, sum.late += one.late;
        sum.ends_refused += one.ends_refused, sum.ends_failed += one.ends_failed;
        sum.took_effect_again += one.took_effect_again;
    }
    const auto n = [](std::uint64_t count) { return static_cast<unsigned long long>(count); };
    std::printf(
        "%-22s offered %llu, in time %llu, late %llu, refused %llu, failed %llu, took effect again %llu\n",
        name, n(sum.offered), n(sum.in_time), n(sum.late), n(sum.ends_refused), n(sum.ends_failed),
        n(sum.took_effect_again));
}

}  // namespace

int main(int count, char** words) {
    CLI::App app("A fleet of decision modules through an outage, in simulated time.");
    std::uint64_t seeds = 10;
    std::size_t senders = 3;
    int down_s = 10;
    app.add_option("--seeds", seeds, "from 1 on")->check(CLI::Range(1, 1000));
    app.add_option("--senders", senders, "forwarders")->check(CLI::Range(1, 300));
    app.add_option("--down-s", down_s, "length of the outage")->check(CLI::Range(1, 30));
    CLI11_PARSE(app, count, words);
    play("clients wait", senders, down_s, false, seeds);
    play("clients come at once", senders, down_s, true, seeds);
    return 0;
}
