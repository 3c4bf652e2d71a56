// lockgw_rig_targets: stand-in targets as a program.
//
//   lockgw_rig_targets SCRIPT.json
//
// SCRIPT: {"targets": 4, "run_ms": 10000, "steps": [...]}; each step with `at_ms`, `target` and one of
//   "usual" or "next": {"kind": "answer|hang|reset|close|garbage|half", "status": 200, "delay_ms": 0,
//                       "headers": "Retry-After: 1\r\n", "takes_effect": true}
//   "freeze_ms": 800                          new connections do not come up for so long
//   "refuse_ms": 800
// It prints the addresses first, and at its end how many calls and effects each id and key had.
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "rig/targets.hpp"

using namespace lockgw::rig;
using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

CallScript script_of(const Json& told) {
    static const std::map<std::string, CallScript::Kind> kinds{{"answer", CallScript::Kind::Answer},
        {"hang", CallScript::Kind::Hang}, {"reset", CallScript::Kind::Reset},
        {"close", CallScript::Kind::Close}, {"garbage", CallScript::Kind::Garbage},
        {"half", CallScript::Kind::Half}};
    const auto kind = kinds.find(told.value("kind", "answer"));
    if (kind == kinds.end()) throw std::invalid_argument("unknown kind in " + told.dump());
    return {kind->second, told.value("status", 200), told.value("headers", ""),
        milliseconds(told.value("delay_ms", 0)), told.value("takes_effect", true)};
}

void act(Targets& targets, const Json& step) {
    const std::size_t target = step.at("target");
    if (step.contains("usual")) targets.usual(target, script_of(step.at("usual")));
    if (step.contains("next")) targets.next(target, script_of(step.at("next")));
    if (step.contains("freeze_ms")) targets.freeze(target, milliseconds(step.at("freeze_ms").get<int>()));
    if (step.contains("refuse_ms")) targets.refuse(target, milliseconds(step.at("refuse_ms").get<int>()));
}

}  // namespace

int main(int count, char** words) try {
    if (count != 2) {
        std::cerr << "usage: lockgw_rig_targets SCRIPT.json\n";
        return 2;
    }
    std::ifstream stream(words[1]);
    if (!stream) throw std::invalid_argument(std::string("cannot read ") + words[1]);
    const Json script = Json::parse(stream);
    const std::size_t number = script.at("targets");
    Targets targets(number);
    Json addresses = Json::array();
    for (std::size_t i = 0; i < number; ++i) addresses.push_back(targets.address(i));
    std::cout << Json{{"targets", addresses}}.dump() << std::endl;
    const auto start = Clock::now();
    for (const Json& step : script.value("steps", Json::array())) {
        std::this_thread::sleep_until(start + milliseconds(step.value("at_ms", 0)));
        act(targets, step);
    }
    std::this_thread::sleep_until(start + milliseconds(script.value("run_ms", 10'000)));
    std::cout << Json{{"calls", targets.calls().size()}, {"effects_by_id", targets.effects_by_id()},
                     {"effects_by_key", targets.effects_by_key()}}
                     .dump()
              << '\n';
} catch (const std::exception& bad) {
    std::cerr << "lockgw_rig_targets: " << bad.what() << '\n';
    return 1;
}
