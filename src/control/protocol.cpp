#include "control/protocol.hpp"

namespace lockgw::control {

namespace {

std::string text_of(const Outcome& outcome) {
    Json answer{{"v", kVersion}, {"ok", std::holds_alternative<Json>(outcome)}};
    if (const auto* refused = std::get_if<Refused>(&outcome)) {
        answer["error"] = refused->what();
        if (!refused->problems().empty()) answer["problems"] = refused->problems();
    } else {
        answer["result"] = std::get<Json>(outcome);
    }
    return answer.dump(-1, ' ', false, Json::error_handler_t::replace) + '\n';
}

struct Asked {
    std::string verb;
    Json args;
};
Asked asked(const std::string& line) {
    const Json request = Json::parse(line);
    if (!request.is_object()) throw Refused("the request is not an object");
    const auto version = request.find("v");
    if (version == request.end() || *version != kVersion)
        throw Refused("this server speaks version " + std::to_string(kVersion));
    const auto verb = request.find("verb");
    if (verb == request.end() || !verb->is_string()) throw Refused("there is no verb");
    return {verb->get<std::string>(), request.value("args", Json::object())};
}

}  // namespace

void Verbs::add_later(const std::string& name, LateVerb verb) {
    if (!verbs_.emplace(name, std::move(verb)).second)
        throw std::logic_error("verb " + name + " is there already");
}

void Verbs::add(const std::string& name, Verb verb) {
    add_later(
        name, [verb = std::move(verb)](const Json& args, const Promise& promise) { promise(verb(args)); });
}

void Verbs::answer(const std::string& line, std::function<void(std::string)> tell) const {
    // A verb that throws has not kept its promise, and one that kept it does not throw.
    const auto promise = [tell](const Outcome& outcome) { tell(text_of(outcome)); };
    try {
        const Asked request = asked(line);
        const auto found = verbs_.find(request.verb);
        if (found == verbs_.end()) throw Refused("unknown verb " + Json(request.verb).dump());
        found->second(request.args, promise);
    } catch (const Refused& refused) {
        promise(refused);
    } catch (const std::exception& bad) {
        promise(Refused(bad.what()));
    }
}

}  // namespace lockgw::control
