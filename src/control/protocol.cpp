#include "control/protocol.hpp"

namespace lockgw::control {

void Verbs::add(const std::string& name, Verb verb) {
    if (!verbs_.emplace(name, std::move(verb)).second)
        throw std::logic_error("verb " + name + " is there already");
}

std::string Verbs::answer(const std::string& line) const {
    Json answer{{"v", kVersion}, {"ok", false}};
    try {
        const Json request = Json::parse(line);
        if (!request.is_object()) throw Refused("the request is not an object");
        const auto version = request.find("v");
        if (version == request.end() || *version != kVersion)
            throw Refused("this server speaks version " + std::to_string(kVersion));
        const auto verb = request.find("verb");
        if (verb == request.end() || !verb->is_string()) throw Refused("there is no verb");
        const auto found = verbs_.find(verb->get<std::string>());
        if (found == verbs_.end()) throw Refused("unknown verb " + verb->dump());
        answer["result"] = found->second(request.value("args", Json::object()));
        answer["ok"] = true;
    } catch (const Refused& refused) {
        answer["error"] = refused.what();
        if (!refused.problems().empty()) answer["problems"] = refused.problems();
    } catch (const std::exception& bad) {
        answer["error"] = bad.what();
    }
    return answer.dump(-1, ' ', false, Json::error_handler_t::replace) + '\n';
}

}  // namespace lockgw::control
