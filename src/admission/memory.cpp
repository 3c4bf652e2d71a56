#include "admission/memory.hpp"

namespace lockgw::admission {

void MemoryShares::change(Owner owner, std::size_t before, std::size_t after) {
    if (before == after) return;
    held_ += after - before;
    const auto found = owners_.try_emplace(owner, 0).first;
    if (found->second > 0) weights_.erase({found->second, owner});
    found->second += after - before;
    if (found->second > 0)
        weights_.insert({found->second, owner});
    else
        owners_.erase(found);
}

std::optional<Owner> MemoryShares::over() const {
    if (weights_.empty()) return std::nullopt;
    const auto& [bytes, heaviest] = *weights_.rbegin();
    const bool crowds_others = weights_.size() > 1 && bytes > most_ / 2;
    return crowds_others || held_ > most_ ? std::optional(heaviest) : std::nullopt;
}

std::size_t MemoryShares::held_by(Owner owner) const {
    const auto found = owners_.find(owner);
    return found == owners_.end() ? 0 : found->second;
}

}  // namespace lockgw::admission
