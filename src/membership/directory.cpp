#include "membership/directory.hpp"

#include <utility>

namespace lockgw {

using cometspoke::Condition;
using cometspoke::EndpointId;
using namespace std::chrono_literals;

namespace {

constexpr auto kDestinationMemory = 10min;  // its targets are being replaced, not given up
constexpr std::size_t kMostNumbers = 100'000;

}  // namespace

EndpointId Directory::number_of(const std::string& name) {
    const auto found = numbers_.find(name);
    if (found != numbers_.end()) return found->second;
    if (entries_.size() >= kMostNumbers) throw cometspoke::settings::BadInput("too many targets");
    entries_.emplace(next_, Entry{name, std::nullopt});
    numbers_.emplace(name, next_);
    return next_++;
}

std::optional<EndpointId> Directory::find(const std::string& name) const {
    const auto found = numbers_.find(name);
    return found == numbers_.end() ? std::nullopt : std::optional(found->second);
}

const std::string* Directory::name_of(EndpointId number) const {
    const auto found = entries_.find(number);
    return found == entries_.end() ? nullptr : &found->second.name;
}

void Directory::forget(EndpointId number) {
    const auto found = entries_.find(number);
    if (found == entries_.end() || found->second.destination) return;
    numbers_.erase(found->second.name);
    entries_.erase(found);
}

void Directory::list(Entry& entry, std::optional<std::int64_t> destination, Clock::time_point now) {
    const auto before = std::exchange(entry.destination, destination);
    if (before == destination) return;
    if (destination) {
        ++targets_[*destination];
        deserted_.erase(*destination);
    }
    if (before && --targets_.at(*before) == 0) {
        targets_.erase(*before);
        deserted_.insert_or_assign(*before, now);
    }
}

std::set<EndpointId> Directory::listed(const TargetList& told, Clock::time_point now) {
    std::set<EndpointId> gone;
    if (told.complete)
        for (const auto& [number, entry] : entries_)
            if (entry.destination) gone.insert(number);
    for (const Target& target : told.targets) {
        const bool here = target.condition != Condition::Gone;
        if (!here && !numbers_.contains(target.id)) continue;
        const EndpointId number = number_of(target.id);
        here ? gone.erase(number) : gone.insert(number).second;
        if (here) list(entries_.at(number), target.destination, now);
    }
    for (const EndpointId number : gone) list(entries_.at(number), std::nullopt, now);
    std::erase_if(deserted_, [now](const auto& entry) { return entry.second + kDestinationMemory <= now; });
    return gone;
}

bool Directory::has(std::int64_t destination, Clock::time_point now) const {
    if (targets_.contains(destination)) return true;
    const auto found = deserted_.find(destination);
    return found != deserted_.end() && found->second + kDestinationMemory > now;
}

}  // namespace lockgw
