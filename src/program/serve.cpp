/// `lockgw run`: who owns the folder, and when. Design: docs/handover.md.
#include <algorithm>
#include <csignal>
#include <optional>
#include <thread>

#include "base/passing_error.hpp"
#include "logging/log.hpp"
#include "program/commands.hpp"
#include "program/service.hpp"
#include "program/signals.hpp"
#include "program/standby_process.hpp"

namespace lockgw::program {
namespace {

using handover::Waiting;

// Without a listening socket that both can hold nobody can take over: another start is a mistake, or the one
// before is about to end.
constexpr std::chrono::milliseconds kEnding{2000}, kEndingStep{10};

// A restarted process has to be ready within 10 s.
constexpr std::chrono::milliseconds kStartRetries{8000};
constexpr std::chrono::milliseconds kFirstStartPause{50}, kLongestStartPause{500};

std::string plain(std::string what) {
    for (char& letter : what)
        if (letter == '\n') letter = ' ';
    return what;
}

std::set<std::string> ids_of(const routes::EndpointIndex& members) {
    std::set<std::string> ids;
    for (const auto& [destination, all] : members.by_destination())
        for (const auto& one : all) ids.insert(one.id);
    return ids;
}

/// What stands in the files now; they may have changed while it waited. A bad one keeps what was good.
std::shared_ptr<const Loaded> newest(const Sources& sources, std::shared_ptr<const Loaded> before) try {
    return std::make_shared<const Loaded>(loaded(sources, before.get()));
} catch (const std::exception& bad) {
    log::error("program", "the configuration read before stays", {{"why", plain(bad.what())}});
    return before;
}

/// The platform gives the folder. Without it there is nobody else to make it; its own parent must be there,
/// for a disk that is not mounted must not be hidden by a folder on another.
void make_folder(const Sources& sources, const std::filesystem::path& folder) {
    if (!sources.node_config.empty() || std::filesystem::is_directory(folder)) return;
    std::error_code failed;
    std::filesystem::create_directory(folder, failed);
    if (failed)
        throw std::runtime_error(
            "the folder that lasts cannot be made: " + folder.string() + ": " + failed.message());
    std::filesystem::permissions(folder, std::filesystem::perms::owner_all, failed);  // messages stand in it
    log::info("program", "made the folder that lasts", {{"folder", folder.string()}});
}

int listening_console(const Config& config) {
    if (!config.console) return -1;
    boost::asio::io_context io;
    console::Server early(io, [](const operations::Order&) { return operations::Answer{}; });
    early.listen(*config.console);
    return early.release();
}

void own_at_once(handover::LockFiles& locks, EndSignal& end) {
    for (auto waited = kEndingStep; !locks.try_owner(); waited += kEndingStep) {
        if (waited > kEnding || end.told())
            throw std::runtime_error("another process serves from this folder");
        std::this_thread::sleep_for(kEndingStep);
    }
}

/// One stretch after another: waiting for the one that owns, serving, standing by.
void serve_in_turn(const Sources& sources, const std::string& control, EndSignal& end_signal) {
    auto config = std::make_shared<const Loaded>(loaded(sources, nullptr));
    log::set(config->config.log);
    make_folder(sources, config->config.state);
    handover::LockFiles locks(config->config.state);
    int console = -1;
    std::set<std::string> listed = ids_of(config->members);
    const auto stand_by = [&](Waiting::Goal goal) {
        PendingOrders pending_orders(config->config.state, config->config.disk_bytes, listed);
        StandbyProcess standby(
            locks, goal, pending_orders, handover::ReloadRequest(config->config.state), console);
        const auto end = standby.run();
        console = standby.release_console();
        return end_signal.told() ? StandbyProcess::End::Leave : end;
    };
    if (!config->config.listen_fd) {
        own_at_once(locks, end_signal);
    } else if (!locks.try_owner()) {
        log::info("program", "another process serves: it is asked to hand over");
        console = listening_console(config->config);
        if (stand_by(Waiting::Goal::TakeOver) == StandbyProcess::End::Leave) return;
        config = newest(sources, config);
    }
    while (true) {
        Service::End end;
        bool told_to_end;
        {
            Service service(sources, control, config, locks, console);
            end = service.run();
            told_to_end = service.told_to_end() || end_signal.told();
            console = service.release_console();
            listed = service.listed();
            config = service.running();
        }
        locks.drop_owner();
        if (end == Service::End::Ended || told_to_end) return;
        log::info("program", "handed over");
        if (stand_by(Waiting::Goal::Spare) == StandbyProcess::End::Leave) return;
        log::warn("program", "nobody else serves: it is taken back");
        config = newest(sources, config);
    }
}

/// Starts again after failures that pass, for kStartRetries at most; throws what does not pass. A stretch of
/// service ends the count.
void serve_through_passing_errors(const Sources& sources, const std::string& control) {
    using Clock = std::chrono::steady_clock;
    auto pause = kFirstStartPause;
    auto first_failure = Clock::time_point::max();
    std::optional<EndSignal> end_signal;
    while (!end_is_pending()) {
        const auto begun = Clock::now();
        try {
            if (!end_signal) end_signal.emplace();
            return serve_in_turn(sources, control, *end_signal);
        } catch (const std::exception& failure) {
            const auto now = Clock::now();
            if (now - begun > kStartRetries) first_failure = now, pause = kFirstStartPause;
            first_failure = std::min(first_failure, now);
            if (!is_passing(failure) || now - first_failure > kStartRetries) throw;
            log::warn("program", "the start failed and is tried again",
                {{"why", plain(failure.what())}, {"in_ms", pause.count()}});
        }
        hold_signals_back();
        std::this_thread::sleep_for(pause);
        pause = std::min(2 * pause, kLongestStartPause);
    }
}

}  // namespace

int serve(const Sources& sources, const std::string& control) {
    hold_signals_back();            // until a loop heeds them: one that comes during the start waits for it
    std::signal(SIGPIPE, SIG_IGN);  // a log that nobody reads any more
    log::start({});
    int code = kWell;
    try {
        serve_through_passing_errors(sources, control);
    } catch (const std::exception& bad) {
        log::error("program", "cannot start", {{"why", plain(bad.what())}});
        code = kWrong;
    }
    hold_signals_back();
    log::stop();
    return code;
}

}  // namespace lockgw::program
