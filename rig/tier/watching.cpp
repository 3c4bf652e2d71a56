#include "rig/tier/watching.hpp"

#include <algorithm>
#include <ctime>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace lockgw::rig::tier {

namespace {

using What = Fault::What;
constexpr double kLeastDeath_s = 4, kSlack_s = 12;  // a fault's consequences end so long after it

struct Line {
    std::size_t by = 0, who = 0;
    double at_s = 0;
    bool gone = false;
};

double seconds_of(const std::string& at, std::int64_t begun_ms) {
    std::tm utc{};
    if (strptime(at.c_str(), "%Y-%m-%dT%H:%M:%S", &utc) == nullptr || at.size() < 23) return -1;
    const std::int64_t ms = static_cast<std::int64_t>(timegm(&utc)) * 1000 + std::atoi(at.c_str() + 20);
    return static_cast<double>(ms - begun_ms) / 1000;
}

std::vector<Line> lines_of(const std::vector<std::string>& logs, std::int64_t begun_ms) {
    std::vector<Line> lines;
    for (std::size_t by = 0; by < logs.size(); ++by) {
        std::istringstream log(logs[by]);
        for (std::string text; std::getline(log, text);) {
            if (text.find("\"part\":\"tier\"") == std::string::npos) continue;
            const auto line = nlohmann::json::parse(text, nullptr, false);
            if (line.is_discarded() || line.value("what", "") != "member") continue;
            const std::string is = line.value("is", ""), was = line.value("was", "");
            if (is != "gone" && was != "gone") continue;
            lines.push_back({by, line.value("who", std::size_t{0}),
                seconds_of(line.value("at", ""), begun_ms), is == "gone"});
        }
    }
    return lines;
}

/// Done to `who` itself at that time, or a little before.
bool touched(const Scenario& scenario, std::size_t who, double at_s) {
    return std::any_of(scenario.faults.begin(), scenario.faults.end(), [&](const Fault& one) {
        const bool forwarders = one.what == What::Kill || one.what == What::Forget ||
                                one.what == What::Stop || one.what == What::Cut;
        const double end = one.for_s > 0 ? one.at_s + one.for_s + kSlack_s : 1e9;
        return forwarders && who >= one.who.first && who <= one.who.last && at_s >= one.at_s && at_s < end;
    });
}

}  // namespace

Watching watching(const Scenario& scenario, const std::vector<std::string>& logs, std::int64_t begun_ms) {
    Watching found;
    const auto lines = lines_of(logs, begun_ms);
    double last_end = 0;
    for (const Fault& fault : scenario.faults) {
        last_end = std::max(last_end, fault.at_s + fault.for_s);
        const bool kills = fault.what == What::Kill || fault.what == What::Forget;
        if (!kills || (fault.for_s > 0 && fault.for_s < kLeastDeath_s)) continue;
        for (std::size_t who = fault.who.first; who <= fault.who.last; ++who) {
            ++found.deaths;
            for (std::size_t by = 0; by < logs.size(); ++by) {
                // what is done to it while it would see that counts as well
                if (touched(scenario, by, fault.at_s + 0.01) ||
                    touched(scenario, by, fault.at_s + kLeastDeath_s))
                    continue;
                const auto line = std::find_if(lines.begin(), lines.end(), [&](const Line& one) {
                    return one.by == by && one.who == who && one.gone && one.at_s >= fault.at_s;
                });
                const double end = fault.for_s > 0 ? fault.at_s + fault.for_s : 1e9;
                if (line == lines.end() || line->at_s > end)
                    ++found.unseen;
                else
                    found.seen_by_all_s = std::max(found.seen_by_all_s, line->at_s - fault.at_s);
            }
        }
    }
    for (const Line& line : lines) {
        if (line.gone && line.at_s >= 0 && line.at_s < scenario.seconds &&
            !touched(scenario, line.who, line.at_s) && !touched(scenario, line.by, line.at_s))
            ++found.false_gone;
        if (line.at_s < scenario.seconds) found.settled_s = std::max(found.settled_s, line.at_s - last_end);
    }
    return found;
}

}  // namespace lockgw::rig::tier
