#include "capture/trigger.hpp"

#include <algorithm>
#include <array>
#include <numeric>

namespace lockgw::capture {

namespace {
constexpr std::array<const char*, 4> kNames{"asked", "fell_sick", "given_up", "refused"};
constexpr Time kRefusalsWithin = std::chrono::seconds(1);
}  // namespace

const char* name_of(Cause cause) { return kNames.at(static_cast<std::size_t>(cause)); }

std::optional<Cause> cause_of(std::string_view name) {
    const auto found = std::find(kNames.begin(), kNames.end(), name);
    if (found == kNames.end()) return std::nullopt;
    return static_cast<Cause>(found - kNames.begin());
}

void Trigger::decided(Time now, const std::vector<cometspoke::Action>& actions) {
    for (const auto& action : actions) {
        if (std::holds_alternative<cometspoke::Fail>(action)) notice(Cause::GivenUp);
        if (!std::holds_alternative<cometspoke::Refuse>(action)) continue;
        refusals_.push_back(now);
        if (refusals_.size() > settings_.refusals) refusals_.pop_front();
        if (refusals_.size() == settings_.refusals && now - refusals_.front() <= kRefusalsWithin)
            notice(Cause::Refused);
    }
}

void Trigger::looked(std::set<cometspoke::EndpointId> ailing) {
    if (!std::includes(ailing_.begin(), ailing_.end(), ailing.begin(), ailing.end())) notice(Cause::FellSick);
    ailing_ = std::move(ailing);
}

std::optional<Cause> Trigger::due(Time now) {
    if (noticed_.empty()) return std::nullopt;
    const Cause cause = *noticed_.begin();
    noticed_.clear();
    if (last_ && now - *last_ < settings_.every) return std::nullopt;
    last_ = now;
    return cause;
}

std::size_t dropped_for(const std::vector<std::size_t>& kept, std::size_t coming, std::size_t most) {
    std::size_t total = std::accumulate(kept.begin(), kept.end(), coming), count = 0;
    while (total > most && count < kept.size()) total -= kept[count++];
    return count;
}

}  // namespace lockgw::capture
