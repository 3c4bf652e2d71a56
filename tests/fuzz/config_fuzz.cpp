// The operator's file under libFuzzer: whatever stands in it, it is read, compiled and its expectations run
// without a fault; every problem is one line; and the same text gives the same problems. Run by
// tests/fuzz/run.
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

#include "config/operator_file.hpp"
#include "routes/expectations.hpp"

using namespace lockgw;

namespace {

[[noreturn]] void broken(const char* law) {
    std::cerr << "broken: " << law << '\n';
    std::abort();
}

routes::KnownNames known_of(const config::OperatorFile& file) {
    routes::KnownNames known;
    for (const auto& row : file.classes) {
        known.classes.push_back(row.name.text);
        for (const auto& kind : row.kinds) known.class_kinds[row.name.text].push_back(kind.text);
    }
    for (const auto& row : file.tenants) known.tenants.push_back(row.name.text);
    for (const auto& row : file.kinds) known.kinds.push_back(row.name.text);
    for (const auto& zone : file.zones) known.zones.push_back(zone.text);
    return known;
}

std::string problems_of(const std::string& text) {
    config::Problems problems("f");
    const auto file = config::read_operator_file(text, "f", problems);
    if (!problems.empty()) return problems.text();
    const auto known = known_of(file);
    const routes::RoutingTable table(file, known, problems);
    if (!problems.empty()) return problems.text();
    const auto members = routes::endpoints_from(file);
    routes::check_expectations({file, table, known, members}, problems);
    routes::routing_rows({file, table, known, members});
    return problems.text();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    const std::string problems = problems_of(text);
    if (problems != problems_of(text)) broken("the same text gives the same problems");
    for (std::size_t at = 0; at < problems.size();) {
        const std::size_t end = problems.find('\n', at);
        if (end == std::string::npos || problems.compare(at, 2, "f:") != 0)
            broken("every problem is one line");
        at = end + 1;
    }
    return 0;
}
