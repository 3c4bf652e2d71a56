// lockgw-soak: real forwarders under seeded faults, checked from outside (docs/measurements/soak.md).
//
//   lockgw-soak --program build/lockgw --seed 7 --seconds 30 --copied 0.2 --copy-lag-ms 40 --one-way-ms 8
//   --hold-ups
//
// Prints one JSON object; exits with 1 where a rule was broken, with the story of each message concerned.
#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>
#include <random>

#include "rig/soak/soak.hpp"

int main(int argc, char** argv) try {
    lockgw::rig::soak::SoakPlan plan;
    std::int64_t seconds = plan.span.count(), copy_lag = 0, one_way = 0,
                 keyed_window = plan.keyed_window.count();
    plan.link.refused = 0.3;
    CLI::App app("Real forwarders under seeded faults");
    app.add_option("--program", plan.program, "the forwarder")->required();
    app.add_option("--seed", plan.seed, "draws traffic and faults; 0: one is drawn, and printed");
    app.add_option("--seconds", seconds, "for which messages are handed in")->check(CLI::Range(1, 3600));
    app.add_option("--rate", plan.messages_per_second, "messages a second")->check(CLI::Range(1.0, 5000.0));
    app.add_option("--copied", plan.link.copied, "share of answers that are written twice");
    app.add_option("--copy-lag-ms", copy_lag, "a copy comes at most so long behind its answer");
    app.add_option("--one-way-ms", one_way, "delay of each direction");
    app.add_option("--refused", plan.link.refused, "share of calls that are refused");
    app.add_option("--reset", plan.link.reset, "share of calls whose connection is reset");
    app.add_flag("--hold-ups", plan.hold_ups, "forwarders are stopped for up to 150 ms now and then");
    app.add_option("--unasked", plan.link.unasked,
        "share of answers behind which the idle connection is ended by a 408 or 503");
    app.add_option("--withdrawn", plan.withdrawn, "share of messages that are withdrawn");
    app.add_option("--bursts", plan.bursts, "withdrawals of a whole destination by each client, a second");
    app.add_flag("--terminations", plan.terminations, "forwarders get SIGTERM, and SIGKILL 3.7 s later");
    app.add_flag("--hanging-spells", plan.hanging_spells, "destinations hang for 2 to 3 s now and then");
    app.add_option("--keyed-window-ms", keyed_window, "targets drop the repeat of a key for so long");
    app.add_flag("--crashes", plan.crashes, "the targets of a destination die with calls out now and then");
    app.add_flag("--hand-in-again", plan.hand_in_again, "clients hand refused messages in again at once");
    app.add_option(
        "--batches", plan.batches, "share of requests that are written with others, in two pieces");
    app.add_option("--crowd", plan.crowd, "idle connections to each forwarder");
    app.add_flag("--broken-files", plan.broken_files, "SIGHUP with sound and with broken files");
    app.add_flag("--console-drains", plan.console_drains, "forwarders are taken out of service and put back");
    app.add_flag("--slow-discovery", plan.slow_discovery, "discovery takes 0.5 to 3 s for an answer");
    bool drawn = false;
    app.add_flag(
        "--drawn", drawn, "all faults are drawn from the seed; other options for faults are ignored");
    app.add_flag("--kills", plan.kills, "forwarders are killed and started again now and then");
    CLI11_PARSE(app, argc, argv);
    if (plan.seed == 0) plan.seed = std::random_device()();
    plan.span = std::chrono::seconds(seconds);
    plan.link.copy_lag = std::chrono::milliseconds(copy_lag);
    plan.link.one_way = std::chrono::milliseconds(one_way);
    plan.keyed_window = std::chrono::milliseconds(keyed_window);
    if (drawn) lockgw::rig::soak::draw_faults(plan);
    const auto result = lockgw::rig::soak::play(plan);
    std::cout << result.report.dump() << '\n';
    for (const auto& violation : result.violations)
        std::cerr << lockgw::rig::soak::text_of(violation.rule) << ": " << violation.story << '\n';
    return result.violations.empty() ? 0 : 1;
} catch (const std::exception& fault) {
    std::cerr << "lockgw-soak: " << fault.what() << '\n';
    return 2;
}
