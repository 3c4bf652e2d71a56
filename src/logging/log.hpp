/// The program's log: one line for one thing that happened, with named values.
///
///     log::warn("discovery", "no list", {{"why", why}, {"in_a_row", failures}});
///
/// Lines go to standard error, by a thread of their own (spdlog): whoever reads them slowly, or not at all,
/// never keeps the loop waiting. Bounded: where 1,024 lines wait, the oldest are dropped; one (part, what)
/// has 50 lines a second, and the next line of it tells how many were left out.
///
/// Forms: `text` (for people)  warn discovery: no list why="status 500" in_a_row=3
///        `json` (for programs), one object a line:
///        {"at":"2026-12-01T14:00:00.123Z","level":"warn","part":...}
///
/// Threads: any. Nothing here throws.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace lockgw::log {

enum class Level { Debug, Info, Warn, Error };
enum class Form { Text, Json };

struct Value {
    std::string_view name;
    std::variant<std::string, std::int64_t, double, bool> what;

    Value(std::string_view name, const char* text) : name(name), what(std::string(text)) {}
    Value(std::string_view name, std::string text) : name(name), what(std::move(text)) {}
    Value(std::string_view name, bool yes) : name(name), what(yes) {}
    Value(std::string_view name, double number) : name(name), what(number) {}
    template <class Whole>
    requires(std::is_integral_v<Whole> && !std::is_same_v<Whole, bool>)
        Value(std::string_view name, Whole number)
        : name(name), what(static_cast<std::int64_t>(number)) {}
};
using Values = std::initializer_list<Value>;

struct Settings {
    Level least = Level::Info;
    Form form = Form::Text;
};

/// Until the first call, and again after stop(): as Settings has it, without the thread.
void start(const Settings& settings);
/// Changes what is written from now on.
void set(const Settings& settings);
/// Writes out all that waits, and ends the thread.
void stop();

void write(Level level, std::string_view part, std::string_view what, Values values = {});
inline void debug(std::string_view part, std::string_view what, Values values = {}) {
    write(Level::Debug, part, what, values);
}
inline void info(std::string_view part, std::string_view what, Values values = {}) {
    write(Level::Info, part, what, values);
}
inline void warn(std::string_view part, std::string_view what, Values values = {}) {
    write(Level::Warn, part, what, values);
}
inline void error(std::string_view part, std::string_view what, Values values = {}) {
    write(Level::Error, part, what, values);
}

const char* text_of(Level level);
/// None where `text` is no level, or no form.
bool level_of(std::string_view text, Level& level);
bool form_of(std::string_view text, Form& form);

/// One line without its end, for tests and for whoever writes elsewhere. `at` in milliseconds since 1970.
std::string line_of(Form form, std::int64_t at, Level level, std::string_view part, std::string_view what,
    const Value* values, std::size_t count);

}  // namespace lockgw::log
