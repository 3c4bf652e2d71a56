/// lockgw: the command line. docs/operators/commands.md.
///
/// Exit codes: 0 well, 1 the file (or what it was to do) is wrong, 2 wrong usage.
#include <CLI/CLI.hpp>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "program/commands.hpp"
#include "program/signals.hpp"

namespace {

std::string environment(const char* name) {
    const char* value = std::getenv(name);
    return value == nullptr ? "" : value;
}

}  // namespace

int main(int count, char** words) {
    using namespace lockgw::program;
    hold_signals_back();  // serve() heeds them; the default action of SIGHUP would end the process
    CLI::App app(
        "lockgw: takes messages from clients, keeps them, and delivers each to an endpoint of its "
        "destination.");
    app.require_subcommand(0, 1);
    Sources sources;
    sources.node_config = environment("NODE_CONFIG");
    sources.operator_file = environment("LOCKGW_CONFIG");
    sources.state = environment("NODE_STATE");
    sources.listen_fd = environment("NODE_LISTEN_FD");
    sources.console = environment("NODE_CONSOLE");
    const auto common = [&sources](CLI::App* command) {
        command->add_option("--node-config", sources.node_config, "the platform's file (or NODE_CONFIG)");
        command->add_option("--members", sources.members, "a list of members in discovery's form")
            ->check(CLI::ExistingFile);
    };

    CLI::App* run = app.add_subcommand("run", "serve until SIGTERM; the default without a command");
    run->add_option("--config", sources.operator_file, "the operator's file (or LOCKGW_CONFIG)");
    run->add_option("--node-config", sources.node_config, "the platform's file (or NODE_CONFIG)");
    run->add_option("--state", sources.state, "the folder that lasts (or NODE_STATE)");

    bool json = false;
    std::string newer;
    CLI::App* check =
        app.add_subcommand("check", "read a file, check it and run its expectations, without any traffic");
    check->add_option("FILE", sources.operator_file, "the operator's file")->required();
    check->add_option("NEW", newer, "another one: say what would change, and which expectations break");
    check->add_flag("--json", json, "for programs");
    common(check);

    CLI::App* routes = app.add_subcommand("routes", "print the table of routes as it would be in force");
    bool running = false;
    std::string socket;
    routes->add_option("FILE", sources.operator_file, "the operator's file");
    routes->add_flag("--running", running, "those in force in the running process");
    routes->add_flag("--json", json, "for programs");
    common(routes);

    CLI::App* status = app.add_subcommand("status", "what the running process holds and whom it knows");
    status->add_flag("--json", json, "for programs");
    CLI::App* spread = app.add_subcommand("spread", "which targets get which part of its calls, and why");
    spread->add_flag("--json", json, "for programs");
    CLI::App* tier = app.add_subcommand("tier", "which forwarders are there, since when, by whose word");
    tier->add_flag("--json", json, "for programs");
    CLI::App* reload = app.add_subcommand("reload", "have the running process read its files anew");
    CLI::App* target = app.add_subcommand("target", "take a target out, or put it back");
    target->require_subcommand(1);
    std::string target_id;
    std::vector<CLI::App*> orders{app.add_subcommand("ready", "whether the running process serves"),
        app.add_subcommand("out-of-service", "let its clients go, and take nothing new in"),
        app.add_subcommand("in-service", "back to work"),
        target->add_subcommand("offline", "nothing new goes to it, whatever discovery says"),
        target->add_subcommand("online", "it may serve again")};
    for (CLI::App* command : {orders[3], orders[4]})
        command->add_option("ID", target_id, "as discovery lists it")->required();
    CLI::App* return_command =
        app.add_subcommand("return", "how it came back: what was believed, what it owes still");
    return_command->add_flag("--json", json, "for programs");
    CLI::App* work = app.add_subcommand("work", "machines taken out in an order that the forwarders settle");
    work->require_subcommand(1);
    WorkWish task;
    std::vector<CLI::App*> works{work->add_subcommand("status", "who is out, who goes next, why others wait"),
        work->add_subcommand("plan", "propose a plan"),
        work->add_subcommand("request", "let this forwarder go alone, at its turn"),
        work->add_subcommand("approve", "the plan runs, or runs on"),
        work->add_subcommand("hold", "nobody goes any more"),
        work->add_subcommand("cancel", "the same for good; who has not begun comes back"),
        work->add_subcommand("done", "work on a machine is done, or it is mended"),
        work->add_subcommand("force-in", "a machine no longer counts as out"),
        work->add_subcommand("force-out", "a machine goes whatever the plan says"),
        work->add_subcommand("join", "this voter lost its record, and may vote all the same")};
    works[0]->add_flag("--json", task.json, "for programs");
    works[0]->add_flag("--watch", task.watch, "each second, until the plan is over");
    works[1]->add_option("FILE", task.file, "docs/operators/work.md")->required()->check(CLI::ExistingFile);
    works[1]->add_flag("--approve", task.approve, "and let it run");
    works[2]->add_option("--for", task.for_s, "seconds that it may be out")->check(CLI::Range(1, 86400));
    works[2]->add_option("--why", task.why, "for the others to read");
    works[6]->add_option("MACHINE", task.machine, "a host's name; by default this forwarder");
    for (CLI::App* force : {works[7], works[8]}) {
        force->add_option("MACHINE", task.machine, "a forwarder's number or a host's name")->required();
        force->add_flag("--yes", task.yes, "do it, whatever it breaks");
    }
    std::vector<std::string> plans;
    check->add_option("--plan", plans, "plans of work to check with it")->check(CLI::ExistingFile);
    std::vector<CLI::App*> asking{routes, status, spread, tier, return_command, reload};
    asking.insert(asking.end(), works.begin(), works.end());
    asking.insert(asking.end(), orders.begin(), orders.end());
    for (CLI::App* command : asking) {
        command->add_option("--socket", socket, "its control socket");
        command->add_option("--state", sources.state, "its folder that lasts (or NODE_STATE)");
    }
    run->add_option("--control", socket, "path of the control socket; by default in the folder that lasts");

    CLI::App* captures = app.add_subcommand("capture", "what was captured");
    captures->require_subcommand(1);
    CLI::App* list = captures->add_subcommand("list", "the segments of a folder");
    std::string folder;
    list->add_option("FOLDER", folder, "the folder of the capture")->required()->check(CLI::ExistingPath);
    list->add_flag("--json", json, "for programs");
    std::vector<CLI::App*> tells;
    for (const auto& [what, about] : {std::pair{"start", "have the running process begin to capture"},
             {"stop", "have it end"}, {"keep", "have it keep the minutes before now, and what comes next"}}) {
        tells.push_back(captures->add_subcommand(what, about));
        tells.back()->add_option("--socket", socket, "its control socket");
        tells.back()->add_option("--state", sources.state, "its folder that lasts (or NODE_STATE)");
    }
    CutWish part;
    CLI::App* cut = captures->add_subcommand("cut", "a part of a capture, as a file that can be replayed");
    cut->add_option("PATH", part.path, "a segment, or a folder of them")
        ->required()
        ->check(CLI::ExistingPath);
    cut->add_option("--out", part.out, "the new file")->required();
    cut->add_option("--from", part.from, "UTC, such as 2026-12-01 16:08:43.5, or the time of the day");
    cut->add_option("--to", part.to, "UTC");
    cut->add_option("--about", part.about, "from the first to the last of a message, destination or endpoint")
        ->excludes("--from")
        ->excludes("--to");
    cut->add_flag("--hide-names", part.hide_names, "endpoints, tenants and classes by numbers only");
    MinimiseWish least;
    CLI::App* minimise = captures->add_subcommand("minimise", "the smallest capture that shows a decision");
    minimise->add_option("PATH", least.path, "a segment, or a folder of them")
        ->required()
        ->check(CLI::ExistingPath);
    minimise->add_option("--decision", least.decision, "words of it, as --why prints them")->required();
    minimise->add_option("--out", least.out, "the new file")->required();
    minimise->add_option("--also", least.also, "words of a decision that must be met before it");
    minimise->add_option("--set", least.sets, "only what also loses the decision with this setting");
    minimise->add_option("--trials", least.trials, "at most")->check(CLI::Range(1, 1'000'000));
    ReplayWish wish;
    CLI::App* replay =
        app.add_subcommand("replay", "decide what was captured once more, and say where it differs");
    replay->add_option("PATH", wish.path, "a segment, or a folder of them")
        ->required()
        ->check(CLI::ExistingPath);
    replay->add_option("--why", wish.why, "the story of a message, a destination or an endpoint instead");
    replay->add_option("--set", wish.sets, "NAME=NUMBER: what if this setting had been so");
    replay->add_option("--lose-notes", wish.lost_notes, "PEER or all: what if its notes had not come");
    replay->add_option("--later", wish.later, "ENDPOINT=MS: what if its answers had come so much later");
    replay->add_option("--differences", wish.differences, "shown at most")->check(CLI::Range(1, 1000));
    replay->add_option("--timeline", wish.timeline, "draw it into this SVG file (of --why, if given)");
    replay->add_option("--until", wish.until, "a moment or a batch's number: what was known then");
    replay->add_flag("--step", wish.step, "batch by batch: n [COUNT], g MOMENT, s [ABOUT], q");
    replay->add_flag("--json", wish.json, "for programs");

    CLI::App* version = app.add_subcommand("version", "print the version");

    try {
        app.parse(count, words);
        if (!run->parsed() && !app.get_subcommands().empty()) let_signals_through();
    } catch (const CLI::ParseError& wrong) {
        return app.exit(wrong) == 0 ? kWell : kUsage;
    }
    if (version->parsed()) return print_version();
    if (list->parsed()) return list_captures(folder, json);
    if (cut->parsed()) return cut_capture(part);
    if (minimise->parsed()) return minimise_capture(least);
    if (replay->parsed()) return replay_capture(wish);
    if (check->parsed() && !plans.empty()) return check_plans(sources, plans);
    if (check->parsed())
        return newer.empty() ? check_file(sources, json) : compare_files(sources, newer, json);
    if (socket.empty() && !sources.state.empty() && !run->parsed())
        socket = (std::filesystem::path(sources.state) / kSocketName).string();
    for (const CLI::App* order : orders)
        if (order->parsed()) return tell_order(socket, order->get_name(), target_id);
    for (const CLI::App* tell : tells)
        if (tell->parsed()) return tell_capture(socket, tell->get_name());
    for (const CLI::App* one : works)
        if (one->parsed()) {
            task.what = one->get_name();
            return lockgw::program::work(socket, task);
        }
    if (status->parsed()) return print_status(socket, json);
    if (spread->parsed()) return print_spread(socket, json);
    if (tier->parsed()) return print_tier(socket, json);
    if (return_command->parsed()) return print_return(socket, json);
    if (reload->parsed()) return reload_running(socket);
    if (routes->parsed() && running) return print_running_routes(socket, json);
    if (routes->parsed() && sources.operator_file.empty()) {
        std::cerr << "lockgw routes: name a FILE, or write --running\n";
        return kUsage;
    }
    if (routes->parsed()) return print_routes(sources, json);
    return serve(sources, run->parsed() ? socket : "");
}
