/// lockgw: the command line. docs/operators/commands.md.
///
/// Exit codes: 0 well, 1 the file (or what it was to do) is wrong, 2 wrong usage.
#include <CLI/CLI.hpp>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "program/commands.hpp"

namespace {

std::string environment(const char* name) {
    const char* value = std::getenv(name);
    return value == nullptr ? "" : value;
}

}  // namespace

int main(int count, char** words) {
    using namespace lockgw::program;
    CLI::App app(
        "lockgw: takes messages from clients, keeps them, and delivers each to an endpoint of its "
        "destination.");
    app.require_subcommand(0, 1);
    Sources sources;
    sources.node_config = environment("NODE_CONFIG");
    sources.operator_file = environment("LOCKGW_CONFIG");
    sources.state = environment("NODE_STATE");
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
    CLI::App* reload = app.add_subcommand("reload", "have the running process read its files anew");
    for (CLI::App* command : {routes, status, reload}) {
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
    ReplayWish wish;
    CLI::App* replay =
        app.add_subcommand("replay", "decide what was captured once more, and say where it differs");
    replay->add_option("PATH", wish.path, "a segment, or a folder of them")
        ->required()
        ->check(CLI::ExistingPath);
    replay->add_option("--why", wish.why, "the story of a message, a destination or an endpoint instead");
    replay->add_option("--set", wish.sets, "NAME=NUMBER: what if this setting had been so");
    replay->add_flag("--json", wish.json, "for programs");

    CLI::App* version = app.add_subcommand("version", "print the version");

    try {
        app.parse(count, words);
    } catch (const CLI::ParseError& wrong) {
        return app.exit(wrong) == 0 ? kWell : kUsage;
    }
    if (version->parsed()) return print_version();
    if (list->parsed()) return list_captures(folder, json);
    if (replay->parsed()) return replay_capture(wish);
    if (check->parsed())
        return newer.empty() ? check_file(sources, json) : compare_files(sources, newer, json);
    if (socket.empty() && !sources.state.empty() && !run->parsed())
        socket = (std::filesystem::path(sources.state) / kSocketName).string();
    if (status->parsed()) return print_status(socket, json);
    if (reload->parsed()) return reload_running(socket);
    if (routes->parsed() && running) return print_running_routes(socket, json);
    if (routes->parsed() && sources.operator_file.empty()) {
        std::cerr << "lockgw routes: name a FILE, or write --running\n";
        return kUsage;
    }
    if (routes->parsed()) return print_routes(sources, json);
    return serve(sources, run->parsed() ? socket : "");
}
