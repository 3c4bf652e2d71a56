// lockgw-watches: tiers of watches in simulated time, beside beats to all and probes: how long a death takes
// to be seen, false deaths, bytes, and when views agree again. The worst of the seeds, the mean of bytes.
//
//   lockgw-watches [--seeds 5] [--most 300] [--only TEXT]
#include <CLI/CLI.hpp>
#include <cstdio>

#include "lab/watches.hpp"

int main(int count, char** words) {
    using namespace lockgw::lab;
    using What = WatchFault::What;
    CLI::App app("Watches of whole tiers, in simulated time.");
    std::uint64_t seeds = 5;
    std::size_t most = 300;
    std::string only;
    app.add_option("--seeds", seeds, "from 1 on")->check(CLI::Range(1, 10000));
    app.add_option("--most", most, "members at most")->check(CLI::Range(2, 1000));
    app.add_option("--only", only, "cases whose name has this in it");
    bool alone = false;
    std::uint64_t first = 1;
    app.add_flag("--alone", alone, "without the baselines");
    app.add_option("--first", first, "the first seed");
    CLI11_PARSE(app, count, words);
    std::printf("%-34s %-14s %8s %8s %7s %8s %8s %7s %6s\n", "case", "way", "seen by", "first", "false",
        "agreed", "B/s", "notes/s", "right");
    for (const std::size_t n : {2ul, 3ul, 10ul, 30ul, 100ul, 300ul, 1000ul}) {
        if (n > most) break;
        struct Case {
            std::string name;
            WatchesSettings settings;
        };
        WatchesSettings base;
        base.members = n;
        std::vector<Case> cases;
        const auto add = [&](const std::string& name, const WatchesSettings& one) {
            cases.push_back({std::to_string(n) + " " + name, one});
        };
        WatchesSettings one = base;
        one.faults = {{What::Kill, 15, 0, 1, 1}};
        add("one killed", one);
        one.lost = 0.3, one.doubled = 0.1, one.seconds = 60;
        add("one killed, 30 % lost", one);
        if (n >= 10) {
            one = base, one.faults = {{What::Kill, 5, 10, n * 3 / 10, n - 1}};
            add("70 % killed for 10 s", one);
            one.faults = {{What::Forget, 5, 0.1, n / 2, n / 2}};
            add("one back in 0.1 s, no folder", one);
            one.faults = {{What::Stop, 5, 10, n * 3 / 10, n - 1}};
            add("70 % stopped for 10 s", one);
            one.faults = {{What::Cut, 5, 10, 0, n / 2 - 1}};
            add("cut in halves for 10 s", one);
            one = base, one.late_rounds_s = 0.6;
            add("all late by up to 0.6 s", one);
        }
        for (const Case& each : cases) {
            if (each.name.find(only) == std::string::npos) continue;
            for (const WatchWay way : {WatchWay::Gossip, WatchWay::Beats, WatchWay::Swim}) {
                if (way != WatchWay::Gossip && (alone || n > 300)) continue;
                WatchesCount worst;
                double bytes = 0, notes = 0;
                bool right = true, never = false;
                for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
                    WatchesSettings settings = each.settings;
                    settings.seed = seed, settings.way = way;
                    const WatchesCount found = play(settings);
                    worst.false_gone += found.false_gone;
                    worst.death_seen_s = std::max(worst.death_seen_s, found.death_seen_s);
                    worst.first_seen_s =
                        seed == first ? found.first_seen_s : std::min(worst.first_seen_s, found.first_seen_s);
                    worst.agreed_s = std::max(worst.agreed_s, found.agreed_s);
                    never |= found.agreed_s < 0;
                    bytes += found.bytes_per_s / static_cast<double>(seeds);
                    notes += found.notes_per_s / static_cast<double>(seeds);
                    right &= found.right;
                }
                std::printf("%-34s %-14s %8.2f %8.2f %7llu %8s %8.0f %7.1f %6s\n", each.name.c_str(),
                    text_of(way), worst.death_seen_s, worst.first_seen_s,
                    static_cast<unsigned long long>(worst.false_gone),
                    never ? "never" : std::to_string(worst.agreed_s).substr(0, 5).c_str(), bytes, notes,
                    right ? "yes" : "NO");
                std::fflush(stdout);
            }
        }
    }
    return 0;
}
