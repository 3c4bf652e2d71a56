// lockgw_rig_crowd: who is served at the door of a forwarder, by kind of crowd, of one build or of two.
//
//   lockgw_rig_crowd --program build/lockgw [--beside OLD/lockgw] [--places 256] [--seconds 4] [--kinds a,b]
//
// Each kind of crowd is played alone and then all together, against a forwarder of its own with targets and a
// directory of this rig; the first line is the well-behaved clients alone.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "rig/crowd.hpp"
#include "rig/directory.hpp"
#include "rig/node.hpp"
#include "rig/targets.hpp"

using namespace lockgw::rig;
using std::chrono::milliseconds;

namespace {

struct Options {
    std::string program, beside;
    std::size_t places = 256, size = 0;
    double seconds = 4;
    std::vector<std::string> kinds;
    bool json = false;
};

struct Kind {
    const char* name;
    void (*set)(CrowdPlan&, std::size_t places);
};

/// Sizes for 256 places; they grow with the places, rates do not.
const std::vector<Kind> kKinds{{"none", [](CrowdPlan&, std::size_t) {}},
    {"hoarders", [](CrowdPlan& plan, std::size_t places) { plan.hoarders = places / 2; }},
    {"pretenders", [](CrowdPlan& plan, std::size_t places) { plan.pretenders = places / 2; }},
    {"keepers", [](CrowdPlan& plan, std::size_t) { plan.keepers_per_s = 300; }},
    {"one-shot", [](CrowdPlan& plan, std::size_t) { plan.good_kept = 1; }},
    {"silent", [](CrowdPlan& plan, std::size_t places) { plan.silent = places * 2 / 5; }},
    {"storm", [](CrowdPlan& plan, std::size_t) { plan.storm_per_s = 3000; }},
    {"resets", [](CrowdPlan& plan, std::size_t) { plan.resets_per_s = 1500, plan.knockers_per_s = 1500; }},
    {"halves", [](CrowdPlan& plan, std::size_t places) { plan.halves = places / 2, plan.slow = places / 4; }},
    {"announcers",
        [](CrowdPlan& plan, std::size_t places) { plan.announcers = std::min<std::size_t>(places, 250); }},
    {"deaf", [](CrowdPlan& plan, std::size_t places) { plan.deaf = places / 4; }},
    {"pipeliners", [](CrowdPlan& plan, std::size_t) { plan.pipeliners = 4; }},
    {"flood", [](CrowdPlan& plan, std::size_t) { plan.flood_per_s = 10 * plan.good_per_s; }},
    {"sources",
        [](CrowdPlan& plan, std::size_t places) {
            plan.sources = 1000, plan.silent = places * 2 / 5, plan.hoarders = places / 2;
        }},
    {"all", [](CrowdPlan& plan, std::size_t places) {
         plan.hoarders = places / 2, plan.silent = places * 2 / 5, plan.halves = places / 8;
         plan.slow = places / 8, plan.storm_per_s = 3000, plan.keepers_per_s = 100;
         plan.good_kept = 0.5;
     }}};

struct Result {
    Tallies tallies;
    double cpu_share = 0;
    std::size_t memory = 0;
};

Result run(const std::string& program, const Kind& kind, const Options& options) {
    Directory directory;
    Targets targets(4);
    Node node(make_config("127.0.0.1:1", directory.address()), program);
    // as the forwarder divides its descriptors: a quarter for targets, 32 others, the rest for clients
    node.config()["limits"]["sockets"] = (options.places + 32) * 4 / 3;
    node.config()["limits"]["disk_mb"] = 64;
    node.config()["settings"]["family_info"]["slots"] = 64;
    node.config()["settings"]["limits"]["most_held"] = 20'000;
    node.config()["settings"]["tenants"] = {{{"name", "acme"}}, {{"name", "other"}}};
    std::vector<nlohmann::json> members;
    CrowdPlan plan;
    plan.cells.clear();
    for (int i = 0; i < 4; ++i) {
        members.push_back({{"id", "s-" + std::to_string(i)},
            {"host_port", targets.address(static_cast<std::size_t>(i))}, {"locality", "a"},
            {"flavor", "shop"}, {"cell", i}, {"phase", "in_service"}, {"size", 1.0}, {"up_since_ms", 0}});
        plan.cells.push_back(i);
    }
    directory.put_all(members);
    node.start_ready();
    directory.wait_asked_from(directory.revision(), kDeadline);
    plan.address = node.address();
    plan.span = milliseconds(static_cast<int>(options.seconds * 1000));
    plan.good_pool = options.places / 2;
    plan.flood_tenant = "other";
    kind.set(plan, options.size > 0 ? options.size : options.places);
    const double before = node.cpu_seconds();
    Result result;
    result.tallies = play(plan);
    result.cpu_share = (node.cpu_seconds() - before) / options.seconds;
    result.memory = node.resident_bytes();
    return result;
}

void print_head() {
    std::cout << std::left << std::setw(12) << "crowd" << std::setw(8) << "build" << std::right;
    for (const char* head : {"share", "p50 ms", "p99 ms", "x alone", "late", "cut", "busy", "cpu", "MB"})
        std::cout << std::setw(9) << head;
    std::cout << "   the crowd: connects, closed\n";
}

void print(const Kind& kind, const char* build, const Result& result, double alone) {
    const Tally& good = result.tallies.at("good");
    std::cout << std::left << std::setw(12) << kind.name << std::setw(8) << build << std::right << std::fixed
              << std::setprecision(3) << std::setw(9) << good.served_share() << std::setprecision(2)
              << std::setw(9) << good.quantile(0.5) << std::setw(9) << good.quantile(0.99) << std::setw(9)
              << (alone > 0 ? good.quantile(0.99) / alone : 1.0) << std::setw(9) << good.timed_out
              << std::setw(9) << good.cut << std::setw(9) << good.busy << std::setw(9) << result.cpu_share
              << std::setw(9) << static_cast<double>(result.memory) / 1e6 << "   ";
    for (const auto& [name, one] : result.tallies)
        if (name != "good") std::cout << name << ' ' << one.connects << ' ' << one.closed << "; ";
    std::cout << std::endl;
}

}  // namespace

int main(int count, char** words) {
    CLI::App app("Who is served at the door of a forwarder while others crowd, hoard and storm.");
    Options options;
    app.add_option("--program", options.program, "the forwarder")->required()->check(CLI::ExistingFile);
    app.add_option("--beside", options.beside, "another build, in the same run")->check(CLI::ExistingFile);
    app.add_option("--places", options.places, "client connections that it may hold")
        ->check(CLI::Range(32, 20000));
    app.add_option("--size", options.size, "of the crowds: as for so many places; 0: as for --places");
    app.add_option("--seconds", options.seconds, "of each play")->check(CLI::Range(0.5, 60.0));
    app.add_option("--kinds", options.kinds, "only these crowds")->delimiter(',');
    app.add_flag("--json", options.json, "for programs");
    CLI11_PARSE(app, count, words);
    try {
        nlohmann::json all = nlohmann::json::array();
        std::map<std::string, double> alone;
        if (!options.json) print_head();
        for (const Kind& kind : kKinds) {
            const bool wanted =
                options.kinds.empty() || std::string(kind.name) == "none" ||
                std::find(options.kinds.begin(), options.kinds.end(), kind.name) != options.kinds.end();
            if (!wanted) continue;
            for (const auto& [build, program] :
                {std::pair{"beside", options.beside}, std::pair{"program", options.program}}) {
                if (program.empty()) continue;
                const Result result = run(program, kind, options);
                if (std::string(kind.name) == "none") alone[build] = result.tallies.at("good").quantile(0.99);
                if (options.json)
                    all.push_back({{"crowd", kind.name}, {"build", build}, {"places", options.places},
                        {"cpu_share", result.cpu_share}, {"clients", json_of(result.tallies)}});
                else
                    print(kind, build, result, alone[build]);
            }
        }
        if (options.json) std::cout << all.dump(2) << '\n';
    } catch (const std::exception& bad) {
        std::cerr << "lockgw_rig_crowd: " << bad.what() << '\n';
        return 1;
    }
}
