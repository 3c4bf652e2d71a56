#include "spread/planner.hpp"

#include <algorithm>
#include <cmath>

#include "base/units.hpp"

namespace lockgw::spread {

using cometspoke::seconds;

namespace {
constexpr double kReuse =
    3.0;  // the module keeps a connection that is used again within this part of its life
}

void Planner::put(const std::string& id, DestinationId destination, double size, bool ready) {
    if (const auto home = home_.find(id); home != home_.end() && (home->second != destination || !ready))
        erase(id);
    if (!ready) return;
    home_[id] = destination;
    if (all_.try_emplace(destination, destination).first->second.ring.put(id, size))
        changed_.insert(destination);
}
void Planner::erase(const std::string& id) {
    const auto home = home_.find(id);
    if (home == home_.end()) return;
    all_.at(home->second).ring.erase(id);
    changed_.insert(home->second);
    home_.erase(home);
}

void Planner::asked(DestinationId destination, Time now) {
    const auto found = all_.find(destination);
    if (found == all_.end()) return;
    One& one = found->second;
    if (one.count <= 0 || now - one.counted > kLongUnused) one.first = one.counted = now, one.count = 0;
    one.count = one.count * std::exp(-seconds(now - one.counted) / seconds(kMemory)) + 1;
    one.counted = now;
    if (one.ring.size() > 1 && differs(wanted(one, now), one.width)) changed_.insert(destination);
}

/// Fading counts since the first message over the time that they stand for.
double Planner::rate(const One& one, Time now) const {
    if (one.count <= 0) return 0;
    const double memory = seconds(kMemory);
    const double known = std::max(1.0, seconds(now - one.first));
    const double stands_for = std::max(1.0, memory * (1 - std::exp(-known / memory)));
    return one.count * std::exp(-seconds(now - one.counted) / memory) / stands_for;
}

double Planner::wanted(const One& one, Time now) const {
    const auto targets = static_cast<double>(one.ring.size());
    const double part = targets / static_cast<double>(std::max<std::size_t>(1, standing_.forwarders));
    const double life = standing_.idle > Time(0) ? seconds(standing_.idle) : 60.0;
    const double fed = rate(one, now) * life / kReuse / kUses;
    // it keeps the connections that it has
    if (standing_.forwarders < kManyForwarders && fed < std::max(part, Ring::kOneTarget)) return 0;
    return std::min(std::max({fed, part, 1.0}), std::max(1.0, targets));
}
bool Planner::differs(double wanted, double width) {
    if (wanted == 0 || width == 0) return wanted != width;
    return wanted > width * kStep || wanted < width / kStep;
}

std::vector<Planner::Change> Planner::changes(Time now, std::size_t most) {
    std::vector<Change> all;
    while (!changed_.empty() && all.size() < most) {
        const DestinationId destination = *changed_.begin();
        changed_.erase(changed_.begin());
        One& one = all_.at(destination);
        if (const double width = wanted(one, now); differs(width, one.width)) one.width = width;
        std::vector<Part> parts;
        if (one.ring.size() > 1 && one.width > 0)
            parts = one.ring.arc(standing_.point, one.width, standing_.forwarders);
        const bool told = !parts.empty() || !one.parts.empty();
        one.parts = parts;
        if (told) all.push_back({destination, std::move(parts)});
        if (one.ring.size() == 0) all_.erase(destination);
    }
    return all;
}

std::vector<Planner::Row> Planner::rows(Time now) const {
    std::vector<Row> rows;
    for (const auto& [destination, one] : all_) {
        std::string why = "an arc of " + std::to_string(one.parts.size()) + " of " +
                          std::to_string(one.ring.size()) + " targets, as wide as the own traffic feeds";
        if (one.ring.size() < 2)
            why = "the only target";
        else if (one.parts.empty())
            why = "few forwarders and little traffic: connections that are there are used";
        else if (one.parts.size() == 1)
            why = "little traffic: the target at the own point alone";
        rows.push_back({destination, one.ring.size(), rate(one, now), one.width, why, one.parts});
    }
    return rows;
}

}  // namespace lockgw::spread
