// lockgw-ways: plays all ways to choose a target on tiers of several sizes in simulated time, and prints
// the worst and the mean over the seeds.
//
//   lockgw-ways [--seeds 10] [--csv FILE] [--svg FILE]
#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>

#include "lab/ways.hpp"

namespace {

using namespace lockgw::lab;

struct Case {
    const char* name;
    WaysSettings settings;
};

std::vector<Case> cases() {
    const auto of = [](std::size_t forwarders, std::size_t targets, double rate, double heavy = 1) {
        WaysSettings one;
        one.forwarders = forwarders, one.targets = targets, one.rate = rate, one.heavy = heavy;
        return one;
    };
    std::vector<Case> all{{"1 and 1", of(1, 1, 5)}, {"2 and 4", of(2, 4, 20)}, {"3 and 300", of(3, 300, 500)},
        {"10 and 5", of(10, 5, 10)}, {"30 and 10", of(30, 10, 5)}, {"100 and 20", of(100, 20, 2)},
        {"300 and 30, 0.2 a second", of(300, 30, 0.2)},
        {"300 and 30, a tenth ten times", of(300, 30, 0.5, 10)}, {"300 and 30, 5 a second", of(300, 30, 5)}};
    WaysSettings one = of(100, 20, 2);
    one.lacking = 0.1;
    all.push_back({"100 and 20, lists lack a tenth", one});
    one = of(100, 20, 2), one.claimed = 0.1;
    all.push_back({"100 and 20, a tenth claims another's number", one});
    one = of(100, 20, 2), one.gone = 0.5;
    all.push_back({"100 and 20, half of the forwarders gone", one});
    one = of(100, 20, 2), one.slow = 4, one.one_at_a_time = true, one.service_s = 0.04;
    all.push_back({"100 and 20, one target slow by 4, one call at a time", one});
    return all;
}

}  // namespace

int main(int count, char** words) {
    CLI::App app("Ways to choose a target, in simulated time.");
    std::uint64_t seeds = 10;
    std::string csv, only;
    app.add_option("--seeds", seeds, "from 1 on")->check(CLI::Range(1, 1000));
    app.add_option("--csv", csv, "a file for every run's figures");
    double warm = 20;
    app.add_option("--warm", warm, "seconds that are not judged, of 20 more")->check(CLI::Range(0, 1000));
    app.add_option("--only", only, "cases whose name has this in it");
    CLI11_PARSE(app, count, words);
    std::ofstream table;
    if (!csv.empty()) {
        table.open(csv);
        table << "case,way,seed,most,least,dispersion,idle,nobodys,connections,messages,p99_ms,slow\n";
    }
    for (const Case& one : cases()) {
        if (std::string_view(one.name).find(only) == std::string_view::npos) continue;
        std::printf("%s\n  %-18s %6s %6s %6s %5s %7s %8s %6s\n", one.name, "way", "most", "least", "1 s",
            "idle", "conn/m", "p99 ms", "slow");
        for (const Way way : kWays) {
            double most = 0, least = 1e9, dispersion = 0, connections = 0, p99 = 0, slow = 0;
            std::size_t idle = 0;
            const auto n = static_cast<double>(seeds);
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                WaysSettings settings = one.settings;
                settings.seed = seed;
                settings.warm_s = warm, settings.seconds = warm + 20;
                const WaysCount found = play(way, settings);
                const double each = static_cast<double>(found.connections) /
                                    static_cast<double>(std::max<std::size_t>(1, found.messages));
                most = std::max(most, found.load.most), least = std::min(least, found.load.least);
                dispersion += found.load.dispersion / n, idle += found.load.idle;
                connections += each / n, p99 = std::max(p99, found.p99_s), slow += found.slow_share / n;
                if (table.is_open())
                    table << '"' << one.name << "\"," << text_of(way) << ',' << seed << ',' << found.load.most
                          << ',' << found.load.least << ',' << found.load.dispersion << ',' << found.load.idle
                          << ',' << found.nobodys << ',' << found.connections << ',' << found.messages << ','
                          << found.p99_s * 1000 << ',' << found.slow_share << '\n';
            }
            std::printf("  %-18s %6.2f %6.2f %6.2f %5zu %7.3f %8.0f %6.2f\n", text_of(way), most, least,
                dispersion, idle, connections, p99 * 1000, slow);
        }
        std::fflush(stdout);
    }
    return 0;
}
