// lockgw-works: tiers whose machines are taken out in turn, in simulated time, with faults; beside a script
// that asks nobody. The worst of the seeds; a picture of one play.
//
//   lockgw-works [--seeds 10] [--most 300] [--only TEXT] [--svg FILE]
#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>

#include "lab/works.hpp"

namespace {

using namespace lockgw::lab;
using What = WorkFault::What;

struct Case {
    std::string name;
    WorksSettings settings;
};

std::vector<Case> cases(std::size_t most) {
    std::vector<Case> all;
    for (const std::size_t n : {3ul, 5ul, 10ul, 30ul, 100ul, 300ul}) {
        if (n > most) break;
        WorksSettings base;
        base.members = n, base.drift = 0.05;
        base.plan.most_out = static_cast<std::uint16_t>(n < 10 ? 1 : n < 100 ? 3 : 10);
        base.plan.task = lockgw::work::Task::Restart;
        base.plan.each = lockgw::work::Time(20'000'000);
        const auto add = [&](const char* what, const WorksSettings& one) {
            all.push_back({std::to_string(n) + " " + what, one});
        };
        add("calm", base);
        WorksSettings one = base;
        one.lost = 0.3, one.doubled = 0.1;
        add("30 % lost, 10 % doubled", one);
        one = base, one.most_s = 2, one.seconds = 1200;
        add("notes up to 2 s late", one);
        const std::size_t tenth = std::max<std::size_t>(1, n / 10);
        one = base, one.lost = 0.05;
        one.faults = {{What::Kill, 12, 15, 0, tenth - 1}, {What::Stop, 35, 25, n / 2, n / 2 + tenth - 1},
            {What::Cut, 70, 15, 0, n / 3}, {What::Mute, 95, 10, n - tenth, n - 1},
            {What::Full, 30, 30, 1, 1}};
        add("kills, stops, a cut", one);
        one.plan.overdue = lockgw::work::Overdue::Back;
        add("the same, overdue is back", one);
        one = base, one.plan.task = lockgw::work::Task::Hook, one.breaks = 0.1;
        add("a tenth come back broken", one);
    }
    return all;
}

void picture(const std::string& path, const std::vector<std::pair<std::string, WorksCount>>& plays,
    std::size_t allowed) {
    std::ofstream out(path);
    std::size_t seconds = 1, most = allowed;
    for (const auto& [name, play] : plays)
        for (const std::size_t one : play.out_by_second)
            most = std::max(most, one), seconds = std::max(seconds, play.out_by_second.size());
    const double x = 800.0 / static_cast<double>(seconds), y = 160.0 / static_cast<double>(most);
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"900\" height=\"" << 220 * plays.size()
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n";
    double top = 30;
    for (const auto& [name, play] : plays) {
        out << "<text x=\"60\" y=\"" << top - 8 << "\">" << name << ": out or lost, by second (" << most
            << " at the top)</text>\n<polyline fill=\"none\" stroke=\"#1f6fb2\" points=\"";
        for (std::size_t i = 0; i < play.out_by_second.size(); ++i)
            out << 60 + x * static_cast<double>(i) << ','
                << top + 160 - y * static_cast<double>(play.out_by_second[i]) << ' ';
        const double line = top + 160 - y * static_cast<double>(allowed);
        out << "\"/>\n<line x1=\"60\" x2=\"860\" y1=\"" << line << "\" y2=\"" << line
            << "\" stroke=\"#c0392b\" stroke-dasharray=\"4\"/>\n";
        top += 220;
    }
    out << "</svg>\n";
}

}  // namespace

int main(int count, char** words) {
    CLI::App app("Work in turn, in simulated time.");
    std::uint64_t seeds = 10;
    std::size_t most = 100;
    std::string only, svg;
    app.add_option("--seeds", seeds, "from 1 on")->check(CLI::Range(1, 10000));
    app.add_option("--most", most, "members at most")->check(CLI::Range(3, 300));
    app.add_option("--only", only, "cases whose name has this in it");
    app.add_option("--svg", svg, "a picture of the last case, first seed");
    CLI11_PARSE(app, count, words);
    std::printf("%-32s %-9s %8s %8s %7s %7s %9s %9s %9s  %s\n", "case", "way", "most out", "allowed",
        "broken", "not done", "took s", "worst s", "notes/s", "best s");
    std::vector<std::pair<std::string, WorksCount>> plays;
    std::size_t allowed = 0;
    int wrong = 0;
    for (const Case& one : cases(most)) {
        if (one.name.find(only) == std::string::npos) continue;
        plays.clear();
        for (const bool guarded : {true, false}) {
            std::size_t out = 0, broken = 0, unfinished = 0;
            double took = 0, worst = 0, notes = 0, best = 0;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                WorksSettings settings = one.settings;
                settings.seed = seed, settings.guarded = guarded;
                const WorksCount found = play(settings);
                if (seed == 1)
                    plays.emplace_back(one.name + (guarded ? ", settled" : ", by a script"), found);
                out = std::max(out, found.most_out), best = found.best_s;
                broken += !found.broken.empty(), unfinished += found.took_s < 0;
                if (guarded && !found.broken.empty())
                    std::printf(
                        "  seed %llu: %s\n", static_cast<unsigned long long>(seed), found.broken.c_str()),
                        ++wrong;
                const double span = found.took_s < 0 ? settings.seconds : found.took_s;
                took += span / static_cast<double>(seeds), worst = std::max(worst, span);
                notes +=
                    static_cast<double>(found.notes) / span / static_cast<double>(settings.members * seeds);
            }
            allowed = one.settings.plan.most_out;
            std::printf("%-32s %-9s %8zu %8zu %7zu %7zu %9.1f %9.1f %9.2f  %.1f\n", one.name.c_str(),
                guarded ? "settled" : "script", out, allowed, broken, unfinished, took, worst, notes, best);
            std::fflush(stdout);
        }
    }
    if (!svg.empty()) picture(svg, plays, allowed);
    return wrong > 0;
}
