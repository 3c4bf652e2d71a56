// State is one object behind one lock: the loop writes, the worker's thread may, and the start and the end
// change it. spdlog's own registry is not used, so that two programs of one process (tests) share nothing.
#include "logging/log.hpp"

#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace lockgw::log {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kWaiting = 1024;   // lines
constexpr std::size_t kMostKinds = 256;  // of (part, what) that are counted apart
constexpr unsigned kEachSecond = 50;     // lines of one of them

/// How many lines of one (part, what) have come in this second, and how many of them were left out.
struct Counted {
    Clock::time_point second{};
    unsigned written = 0;
    std::int64_t left_out = 0;
};

struct State {
    std::mutex mutex;
    Settings settings;
    std::shared_ptr<spdlog::details::thread_pool> thread;
    std::shared_ptr<spdlog::logger> logger;
    std::map<std::string, Counted, std::less<>> counted;
};

// The one log of a process: there is one standard error, too.
State& state() {
    static State one;
    return one;
}

std::shared_ptr<spdlog::sinks::sink> sink() {
    auto made = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    made->set_pattern("%v");
    return made;
}

spdlog::level::level_enum spdlog_level(Level level) {
    switch (level) {
        case Level::Debug:
            return spdlog::level::debug;
        case Level::Info:
            return spdlog::level::info;
        case Level::Warn:
            return spdlog::level::warn;
        case Level::Error:
            break;
    }
    return spdlog::level::err;
}

std::shared_ptr<spdlog::logger> prepared(std::shared_ptr<spdlog::logger> logger) {
    logger->set_level(spdlog::level::trace);  // chosen before a line is made
    logger->flush_on(spdlog::level::trace);
    return logger;
}

/// None where this second has had enough; else how many were left out since the last line.
std::optional<std::int64_t> admitted(State& now, std::string_view part, std::string_view what) {
    std::string kind;
    kind.reserve(part.size() + what.size() + 1);
    kind.append(part).append(1, ' ').append(what);
    auto found = now.counted.find(kind);
    if (found == now.counted.end()) {
        if (now.counted.size() >= kMostKinds) kind = "others";
        found = now.counted.try_emplace(kind).first;
    }
    Counted& counted = found->second;
    const auto time = Clock::now();
    if (time - counted.second >= std::chrono::seconds(1)) counted.second = time, counted.written = 0;
    if (counted.written >= kEachSecond) {
        ++counted.left_out;
        return std::nullopt;
    }
    ++counted.written;
    return std::exchange(counted.left_out, 0);
}

}  // namespace

void start(const Settings& settings) try {
    State& now = state();
    const std::lock_guard lock(now.mutex);
    now.settings = settings;
    now.logger.reset();
    now.thread = std::make_shared<spdlog::details::thread_pool>(kWaiting, 1);
    now.logger = prepared(std::make_shared<spdlog::async_logger>(
        "lockgw", sink(), now.thread, spdlog::async_overflow_policy::overrun_oldest));
} catch (const std::exception&) {  // without a thread lines are written by whoever has them
}

void set(const Settings& settings) {
    State& now = state();
    const std::lock_guard lock(now.mutex);
    now.settings = settings;
}

void stop() {
    State& now = state();
    const std::lock_guard lock(now.mutex);
    now.logger.reset();
    now.thread.reset();  // ends once all that waits is written
}

void write(Level level, std::string_view part, std::string_view what, Values values) try {
    State& now = state();
    const std::lock_guard lock(now.mutex);
    if (level < now.settings.least) return;
    const auto left_out = admitted(now, part, what);
    if (!left_out) return;
    std::vector<Value> all(values);
    if (*left_out > 0) all.emplace_back("left_out", *left_out);
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    if (!now.logger) now.logger = prepared(std::make_shared<spdlog::logger>("lockgw", sink()));
    const std::string line =
        line_of(now.settings.form, at.count(), level, part, what, all.data(), all.size());
    now.logger->log(spdlog_level(level), spdlog::string_view_t(line.data(), line.size()));
} catch (const std::exception&) {  // a line that cannot be written must not end what it tells of
}

}  // namespace lockgw::log
