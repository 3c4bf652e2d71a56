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
#include <thread>

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
    bool json = false, costs = false;
};

struct Kind {
    const char* name;
    void (*set)(CrowdPlan&, std::size_t places);
};

/// A forwarder with four targets, ready for clients.
struct World {
    World(const std::string& program, std::size_t places, std::size_t held)
        : targets(4), node(make_config("127.0.0.1:1", directory.address()), program) {
        // as the forwarder divides its descriptors: a quarter for targets, 32 others, the rest for clients
        const std::size_t sockets = (places + 32) * 4 / 3;
        node.limit_descriptors(sockets);
        node.config()["limits"]["sockets"] = sockets;
        node.config()["limits"]["disk_mb"] = 64;
        node.config()["settings"]["family_info"]["slots"] = 64;
        node.config()["settings"]["limits"]["most_held"] = held;
        node.config()["settings"]["tenants"] = {{{"name", "acme"}}, {{"name", "other"}}};
        std::vector<nlohmann::json> members;
        for (int i = 0; i < 4; ++i) {
            members.push_back({{"id", "s-" + std::to_string(i)},
                {"host_port", targets.address(static_cast<std::size_t>(i))}, {"locality", "a"},
                {"flavor", "shop"}, {"cell", i}, {"phase", "in_service"}, {"size", 1.0}, {"up_since_ms", 0}});
            cells.push_back(i);
        }
        directory.put_all(members);
        node.start_ready();
        directory.wait_asked_from(directory.revision(), kDeadline);
    }
    CrowdPlan plan(double seconds) const {
        CrowdPlan plan;
        plan.cells = cells;
        plan.address = node.address();
        plan.span = milliseconds(static_cast<int>(seconds * 1000));
        return plan;
    }

    Directory directory;
    Targets targets;
    Node node;
    std::vector<int> cells;
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
    World world(program, options.places, 20'000);
    Node& node = world.node;
    CrowdPlan plan = world.plan(options.seconds);
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

// ---- costs ----

struct Cost {
    const char* what;
    double count = 0, cpu_seconds = 0;
};
using Count = double (*)(const Tallies&);

Cost cost_of(
    const char* what, const Options& options, std::size_t held, void (*set)(CrowdPlan&), Count count) {
    World world(options.program, options.places, held);
    if (held == 1) {  // the one that is held is never answered: all others are refused
        const CallScript hang{CallScript::Kind::Hang, 200, "", milliseconds(0), false};
        for (std::size_t i = 0; i < 4; ++i) world.targets.usual(i, hang);
    }
    CrowdPlan plan = world.plan(options.seconds);
    plan.good_per_s = 0;
    set(plan);
    const double before = world.node.cpu_seconds();
    const Tallies tallies = play(plan);
    return {what, count(tallies), world.node.cpu_seconds() - before};
}

/// So many connections that rest, from when all have come: CPU over some seconds, and memory.
void print_resting(const Options& options, std::size_t connections) {
    // with more than a quarter of the places taken they would be let go after 2 s
    World world(options.program, connections * 81 / 20, 20'000);
    CrowdPlan plan = world.plan(options.seconds + 4);
    plan.good_per_s = 0;
    plan.hoarders = connections;
    const std::size_t memory = world.node.resident_bytes();
    std::thread crowd([&plan] { play(plan); });
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(4);
    std::this_thread::sleep_until(until);
    const double before = world.node.cpu_seconds();
    const std::size_t open = world.node.descriptors();
    std::this_thread::sleep_for(milliseconds(static_cast<int>(options.seconds * 1000) - 500));
    const double cpu = (world.node.cpu_seconds() - before) / (options.seconds - 0.5);
    const auto taken = static_cast<double>(world.node.resident_bytes() - memory);
    crowd.join();
    std::cout << open << " descriptors open: " << std::setprecision(4) << cpu << " of a core, "
              << std::setprecision(0) << taken / static_cast<double>(connections) << " bytes for each\n";
}

void print_costs(const Options& options) {
    const Count connects = [](const Tallies& all) {
        double sum = 0;
        for (const auto& [name, one] : all) sum += static_cast<double>(one.connects);
        return sum;
    };
    const Count asked = [](const Tallies& all) { return static_cast<double>(all.at("good").asked); };
    const Cost costs[] = {
        cost_of(
            "comes and goes", options, 20'000, [](CrowdPlan& plan) { plan.knockers_per_s = 3000; }, connects),
        cost_of(
            "comes and resets", options, 20'000, [](CrowdPlan& plan) { plan.resets_per_s = 3000; }, connects),
        cost_of(
            "request, kept connection", options, 20'000, [](CrowdPlan& plan) { plan.good_per_s = 3000; },
            asked),
        cost_of(
            "refusal, kept connection", options, 1, [](CrowdPlan& plan) { plan.good_per_s = 3000; }, asked),
        cost_of(
            "request, new connection", options, 20'000,
            [](CrowdPlan& plan) { plan.good_per_s = 1500, plan.good_pool = 0; }, asked)};
    std::cout << std::left << std::setw(28) << "what" << std::right << std::setw(10) << "count"
              << std::setw(14) << "CPU us each" << '\n'
              << std::fixed;
    for (const Cost& one : costs)
        std::cout << std::left << std::setw(28) << one.what << std::right << std::setprecision(0)
                  << std::setw(10) << one.count << std::setprecision(1) << std::setw(14)
                  << one.cpu_seconds * 1e6 / one.count << '\n';
    print_resting(options, 1'000);
    print_resting(
        options, 3'650);  // of some 15,000 places, which take the 20,000 descriptors of a usual limit
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
    app.add_flag("--costs", options.costs, "CPU a connection, a request and a refusal, instead of crowds");
    CLI11_PARSE(app, count, words);
    try {
        if (options.costs) return print_costs(options), 0;
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
