// One line, and the words for levels and forms. No state, no I/O.
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>

#include "logging/log.hpp"

namespace lockgw::log {
namespace {

constexpr std::size_t kMostText = 2000;  // bytes of one value

bool is_plain(const std::string& text) {
    for (const char letter : text)
        if (letter <= ' ' || letter == '"' || letter == '=' || letter > '~') return false;
    return !text.empty();
}

nlohmann::json json_of(const Value& value) {
    return std::visit(
        [](const auto& one) -> nlohmann::json {
            if constexpr (std::is_same_v<std::decay_t<decltype(one)>, std::string>)
                return one.substr(0, kMostText);
            else
                return one;
        },
        value.what);
}

std::string dumped(const nlohmann::json& json) {
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

std::string line_of(Form form, std::int64_t at, Level level, std::string_view part, std::string_view what,
    const Value* values, std::size_t count) {
    if (form == Form::Text) {
        std::string line = text_of(level);
        line.append(1, ' ').append(part).append(": ").append(what);
        for (const Value* value = values; value != values + count; ++value) {
            line.append(1, ' ').append(value->name).append(1, '=');
            const auto* text = std::get_if<std::string>(&value->what);
            line += text != nullptr && is_plain(*text) && text->size() <= kMostText ? *text
                                                                                    : dumped(json_of(*value));
        }
        return line;
    }
    const std::time_t seconds = at / 1000;
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    char day[40];
    const std::size_t length = std::strftime(day, sizeof day, "%Y-%m-%dT%H:%M:%S", &utc);
    std::snprintf(day + length, sizeof day - length, ".%03dZ", static_cast<int>(at % 1000));
    nlohmann::ordered_json line{{"at", day}, {"level", text_of(level)}, {"part", part}, {"what", what}};
    for (const Value* value = values; value != values + count; ++value)
        line[std::string(value->name)] = json_of(*value);
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

const char* text_of(Level level) {
    switch (level) {
        case Level::Debug:
            return "debug";
        case Level::Info:
            return "info";
        case Level::Warn:
            return "warn";
        case Level::Error:
            break;
    }
    return "error";
}

bool level_of(std::string_view text, Level& level) {
    for (const Level one : {Level::Debug, Level::Info, Level::Warn, Level::Error})
        if (text == text_of(one)) return level = one, true;
    return false;
}
bool form_of(std::string_view text, Form& form) {
    if (text != "text" && text != "json") return false;
    form = text == "json" ? Form::Json : Form::Text;
    return true;
}

}  // namespace lockgw::log
