/// The words of the control socket: one JSON object a line, in both directions.
///
///     {"v":1,"verb":"status","args":{}}
///     {"v":1,"ok":true,"result":{...}}   or   {"v":1,"ok":false,"error":"...","problems":["..."]}
///
/// Verbs are registered by the subsystems that answer them; none is built in. Pure: no sockets, no clock.
#pragma once

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <variant>

namespace lockgw::control {

using Json = nlohmann::json;

constexpr int kVersion = 1;
constexpr std::size_t kMostRequest = 64 * 1024;        ///< bytes of a line to the server
constexpr std::size_t kMostAnswer = 64 * 1024 * 1024;  ///< and of one from it

/// What a verb throws where it cannot do what it was asked; `problems`: one line each.
class Refused : public std::runtime_error {
public:
    explicit Refused(const std::string& why, std::string problems = {})
        : std::runtime_error(why), problems_(std::move(problems)) {}
    const std::string& problems() const { return problems_; }

private:
    std::string problems_;
};

/// What a verb came to.
using Outcome = std::variant<Json, Refused>;
/// Called once, on the loop's thread, in the verb's call or later.
using Promise = std::function<void(const Outcome&)>;

class Verbs {
public:
    using Verb = std::function<Json(const Json& args)>;
    using LateVerb = std::function<void(const Json& args, Promise)>;

    /// Throws std::logic_error where the name is taken.
    void add(const std::string& name, Verb verb);
    /// One whose answer takes long: the loop goes on meanwhile.
    void add_later(const std::string& name, LateVerb verb);
    /// Gives `tell` the answer to one line, with its end, in this call or later, once. Never throws for what
    /// the line or a verb says.
    void answer(const std::string& line, std::function<void(std::string)> tell) const;

private:
    std::map<std::string, LateVerb> verbs_;
};

}  // namespace lockgw::control
