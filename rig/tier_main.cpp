// lockgw-tier: plays scenarios on whole tiers of real processes, and writes down what was counted.
//
//   lockgw-tier --program build/lockgw [--program other/lockgw] [--plain chance ...] --out folder
//               rig/scenarios/herd.toml ...
//
// Loopback only; each run is bounded by its scenario; all processes end with it.
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>

#include "config/operator_file.hpp"
#include "rig/tier/tier.hpp"

int main(int count, char** words) {
    using namespace lockgw::rig;
    CLI::App app("Plays scenarios on whole tiers of real processes.");
    std::vector<std::string> programs, scenarios, plain;
    std::string out, expect;
    std::uint64_t seeds = 1;
    app.add_option("--program", programs, "a build of the forwarder; several are played one after another")
        ->allow_extra_args(false)  // what follows is a scenario
        ->check(CLI::ExistingFile);
    app.add_option("--plain", plain, "after them a plain relay that goes by chance, two, round or first")
        ->allow_extra_args(false)
        ->check(CLI::IsMember({"chance", "two", "round", "first"}));
    app.add_option("--out", out, "a folder for table.txt, load.csv, result.json, load.svg and index.html");
    app.add_option("--expect", expect, "an operator's file whose [return] full_within_s each run must keep")
        ->check(CLI::ExistingFile);
    app.add_option("--seeds", seeds, "how many seeds of each, from the scenario's on")
        ->check(CLI::Range(1, 100));
    app.add_option("SCENARIO", scenarios, "TOML files")->required()->check(CLI::ExistingFile);
    CLI11_PARSE(app, count, words);
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0)
        limit.rlim_cur = limit.rlim_max, setrlimit(RLIMIT_NOFILE, &limit);
    try {
        std::vector<tier::Scenario> all;
        for (const std::string& path : scenarios) {
            std::ifstream stream(path);
            lockgw::config::Problems problems(path);
            all.push_back(tier::read_scenario({std::istreambuf_iterator<char>(stream), {}}, problems));
            if (problems.empty()) continue;
            std::cerr << problems.text();
            return 1;
        }
        std::optional<double> within;
        if (!expect.empty()) {
            lockgw::config::Problems problems(expect);
            within = lockgw::config::load_operator_file(expect, problems).recovery.full_within_s;
            if (!problems.empty()) throw std::runtime_error(problems.text());
            if (!within) throw std::runtime_error(expect + " has no [return] full_within_s");
        }
        struct Side {
            std::string name, program;
            std::map<std::string, std::string> environment;
        };
        std::vector<Side> sides;
        for (std::size_t i = 0; i < programs.size(); ++i)
            sides.push_back({programs.size() > 1 ? " " + std::to_string(i + 1) : "",
                std::filesystem::absolute(programs[i]).string(), {}});
        const auto own = std::filesystem::read_symlink("/proc/self/exe").parent_path();
        for (const std::string& order : plain)
            sides.push_back({" " + order, (own / "lockgw-plain").string(), {{"PLAIN_ORDER", order}}});
        if (sides.empty()) throw std::runtime_error("name a --program, or a --plain order");
        std::vector<tier::Result> results;
        for (const tier::Scenario& one : all)
            for (std::uint64_t seed = 0; seed < seeds; ++seed)
                for (const Side& side : sides) {
                    tier::Scenario scenario = one;
                    scenario.seed += seed;
                    const std::string name = scenario.name + side.name;
                    results.push_back(tier::run(
                        scenario, side.program,
                        [&](const std::string& what) { std::cerr << name << ": " << what << '\n'; },
                        side.environment));
                    results.back().name = name;
                }
        std::cout << tier::table_of(results);
        int code = 0;
        for (const tier::Result& one : results)
            if (within && one.returned.asked && (one.returned.full_s < 0 || one.returned.full_s > *within))
                std::cerr << one.name << ": not back within " << *within << " s\n", code = 1;
        if (out.empty()) return code;
        std::filesystem::create_directories(out);
        std::ofstream(out + "/table.txt") << tier::table_of(results);
        std::ofstream(out + "/load.csv") << tier::csv_of(results);
        std::ofstream(out + "/result.json") << tier::json_of(results);
        std::ofstream(out + "/load.svg") << tier::svg_of(results);
        std::ofstream(out + "/index.html") << tier::html_of(results);
        return code;
    } catch (const std::exception& bad) {
        std::cerr << "lockgw-tier: " << bad.what() << '\n';
        return 1;
    }
}
