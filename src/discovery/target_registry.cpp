#include "discovery/target_registry.hpp"

#include <utility>

namespace lockgw {

using cometspoke::Condition;
using cometspoke::EndpointId;
using namespace std::chrono_literals;

namespace {

// How long a destination without targets is still known: its targets are probably being replaced.
constexpr auto kEmptyDestinationRetention = 10min;
constexpr std::size_t kMaxNumbers = 100'000;  // targets with a number, listed or not

}  // namespace

EndpointId TargetRegistry::number_of(const std::string& name) {
    const auto found = numbers_.find(name);
    if (found != numbers_.end()) return found->second;
    if (entries_.size() >= kMaxNumbers) throw cometspoke::settings::BadInput("too many targets");
    entries_.emplace(next_number_, Entry{name, std::nullopt});
    numbers_.emplace(name, next_number_);
    return next_number_++;
}

std::optional<EndpointId> TargetRegistry::find(const std::string& name) const {
    const auto found = numbers_.find(name);
    return found == numbers_.end() ? std::nullopt : std::optional(found->second);
}

const std::string* TargetRegistry::name_of(EndpointId number) const {
    const auto found = entries_.find(number);
    return found == entries_.end() ? nullptr : &found->second.name;
}

void TargetRegistry::forget(EndpointId number) {
    const auto found = entries_.find(number);
    if (found == entries_.end() || found->second.destination) return;
    numbers_.erase(found->second.name);
    entries_.erase(found);
}

void TargetRegistry::set_destination(
    Entry& entry, std::optional<std::int64_t> destination, Clock::time_point now) {
    const auto previous = std::exchange(entry.destination, destination);
    if (previous == destination) return;
    if (destination) {
        ++target_counts_[*destination];
        emptied_at_.erase(*destination);
    }
    if (previous && --target_counts_.at(*previous) == 0) {
        target_counts_.erase(*previous);
        emptied_at_.insert_or_assign(*previous, now);
    }
}

std::set<EndpointId> TargetRegistry::apply_list(const TargetList& list, Clock::time_point now) {
    std::set<EndpointId> gone;
    if (list.complete)
        for (const auto& [number, entry] : entries_)
            if (entry.destination) gone.insert(number);
    for (const Target& target : list.targets) {
        const bool listed = target.condition != Condition::Gone;
        if (!listed && !numbers_.contains(target.id)) continue;
        const EndpointId number = number_of(target.id);
        listed ? gone.erase(number) : gone.insert(number).second;
        if (listed) set_destination(entries_.at(number), target.destination, now);
    }
    for (const EndpointId number : gone) set_destination(entries_.at(number), std::nullopt, now);
    std::erase_if(
        emptied_at_, [now](const auto& entry) { return entry.second + kEmptyDestinationRetention <= now; });
    return gone;
}

bool TargetRegistry::has_destination(std::int64_t destination, Clock::time_point now) const {
    if (target_counts_.contains(destination)) return true;
    const auto found = emptied_at_.find(destination);
    return found != emptied_at_.end() && found->second + kEmptyDestinationRetention > now;
}

}  // namespace lockgw
