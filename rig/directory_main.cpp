// lockgw_rig_directory: the stand-in for the agent of discovery as a program.
//
//   lockgw_rig_directory ADDRESS SCRIPT.json
//
// SCRIPT is a list of steps, each with `at_ms` from the start and one of
//   "put": [member, ...]                      a new version of the list
//   "fault": {"kind": "stop", "at": 100, "span_ms": 0, "times": 1}
//   "count_anew": 0                           the agent forgets its versions
//   "end": true
// It prints one JSON line a step, and at its end the notices that it was given.
#include <fstream>
#include <iostream>

#include "rig/directory.hpp"

using namespace lockgw::rig;

namespace {

void act(Directory& directory, const Json& step) {
    if (step.contains("put")) directory.put_all(step.at("put").get<std::vector<Json>>());
    if (step.contains("count_anew")) directory.count_anew(step.at("count_anew"));
    if (!step.contains("fault")) return;
    const Json& told = step.at("fault");
    const ListFault fault{fault_kind(told.at("kind")), told.value("at", std::size_t{0}),
        std::chrono::milliseconds(told.value("span_ms", 0))};
    for (int i = 0; i < told.value("times", 1); ++i) directory.fault(fault);
}

}  // namespace

int main(int count, char** words) try {
    if (count != 3) {
        std::cerr << "usage: lockgw_rig_directory HOST:PORT SCRIPT.json\n";
        return 2;
    }
    const std::string place = words[1];
    const auto colon = place.rfind(':');
    if (colon == std::string::npos) throw std::invalid_argument("no HOST:PORT: " + place);
    const auto host = boost::asio::ip::make_address_v4(place.substr(0, colon));
    if (!host.is_loopback()) throw std::invalid_argument("not a loopback address: " + place);
    std::ifstream stream(words[2]);
    if (!stream) throw std::invalid_argument(std::string("cannot read ") + words[2]);
    const Json script = Json::parse(stream);
    Directory directory({host, static_cast<std::uint16_t>(std::stoi(place.substr(colon + 1)))});
    const auto start = Clock::now();
    for (const Json& step : script) {
        std::this_thread::sleep_until(start + std::chrono::milliseconds(step.value("at_ms", 0)));
        act(directory, step);
        std::cout << step.dump() << std::endl;
        if (step.value("end", false)) break;
    }
    for (const Json& notice : directory.notices()) std::cout << notice.dump() << '\n';
} catch (const std::exception& bad) {
    std::cerr << "lockgw_rig_directory: " << bad.what() << '\n';
    return 1;
}
