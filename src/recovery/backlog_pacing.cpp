#include "recovery/backlog_pacing.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace lockgw::recovery {
namespace {

// a usual time that was learned while all hung is no reason to give up what has seconds left
constexpr Time kMostHopeless{300'000};
constexpr double kMostPerS = 10'000, kLeastPerS = 2;

Time gap_of(double per_s) { return Time(static_cast<Time::rep>(1e6 / per_s)); }

/// Which goes first: what can be in time, by worth, then by urgency; then the rest.
std::vector<Owed> in_order(std::vector<Owed> owed, Time usual) {
    const std::vector<Owed> given = owed;
    const auto key = [usual](const Owed& one) { return std::tuple(one.left <= usual, -one.worth, one.left); };
    std::stable_sort(owed.begin(), owed.end(), [&](const Owed& a, const Owed& b) { return key(a) < key(b); });
    // within a line the order given holds: it takes the places that the line has
    std::map<std::uint64_t, std::deque<const Owed*>> lines;
    for (const Owed& one : given)
        if (one.line) lines[*one.line].push_back(&one);
    for (Owed& place : owed)
        if (place.line) {
            auto& line = lines.at(*place.line);
            place = *std::exchange(line.front(), nullptr);
            line.pop_front();
        }
    return owed;
}

}  // namespace

BacklogPacing::BacklogPacing(
    const BacklogPacingSettings& settings, std::vector<Owed> owed, double draw, Time now)
    : settings_(settings),
      all_(owed.size()),
      window_(static_cast<double>(std::max<std::size_t>(1, settings.first))) {
    per_s_ = std::max(kLeastPerS, settings.per_s);
    const double drained_s = std::chrono::duration<double>(settings.drained).count();
    most_per_s_ = std::max(per_s_, std::min(kMostPerS, static_cast<double>(all_) / drained_s));
    planned_ = now, draw_ = draw;
    plan();
    std::size_t rank = 0;
    for (Owed& one : in_order(std::move(owed), settings.usual)) {
        latest_[std::max(now, std::min(begins_ + settings.all, now + one.left - settings.margin))].push_back(
            one.id);
        if (one.left <= std::min(settings.usual, kMostHopeless) && one.left > Time(0) && !one.over)
            one.over = true, hopeless_.insert(one.id);
        if (one.over)
            over_.push_back(one.id);
        else
            groups_[group_of(one)].push_back(one.id);
        waits_.emplace(one.id, Waiting{std::move(one), rank++});
    }
    for (const auto& [group, ids] : groups_) stand(group);
}

void BacklogPacing::plan() {
    const auto others = static_cast<Time::rep>(settings_.together > 0 ? settings_.together - 1 : 0);
    const Time span = std::min(settings_.longest, settings_.each * others);
    begins_ = moved_ = planned_ + Time(static_cast<Time::rep>(draw_ * static_cast<double>(span.count())));
    tag_ = begins_;
}
void BacklogPacing::together(std::size_t count, Time now) {
    if (begun_ || count >= settings_.together || now >= begins_) return;
    settings_.together = std::max<std::size_t>(1, count);
    plan();
}

BacklogPacing::Group BacklogPacing::group_of(const Owed& one) const {
    return one.line ? Group{true, *one.line} : Group{false, static_cast<std::uint64_t>(one.destination)};
}

/// The group is ready, or parked where its first one's destination has its part out.
void BacklogPacing::stand(const Group& group) {
    auto& ids = groups_.at(group);
    while (!ids.empty() && !waits_.contains(ids.front())) ids.pop_front();
    if (ids.empty()) return;
    const Waiting& first = waits_.at(ids.front());
    const auto at = out_of_.find(first.owed.destination);
    if (at != out_of_.end() && at->second >= std::max<std::size_t>(1, window() / 2))
        parked_[first.owed.destination].push_back(group);
    else
        ready_.insert({first.rank, group});
}

std::vector<MessageId> BacklogPacing::release(Time now, bool hurry) {
    std::vector<MessageId> released;
    const auto take = [&](MessageId id) {
        if (waits_.erase(id) > 0) released.push_back(id);
    };
    for (; !latest_.empty() && latest_.begin()->first <= now; latest_.erase(latest_.begin()))
        for (const MessageId id : latest_.begin()->second) take(id);
    for (const MessageId id : std::exchange(over_, {})) take(id);
    if (hurry) begins_ = std::min(begins_, now);
    if (now < begins_ || waits_.empty()) return released;
    begun_ = true;
    step(now);
    if (hurry) window_ = 2.0 * static_cast<double>(all_ + 1);  // half of it is more than all
    if (window() > std::exchange(stood_, window()))            // parts are larger now
        for (const auto& [destination, groups] : std::exchange(parked_, {}))
            for (const Group& group : groups) stand(group);
    while (!ready_.empty() && out_.size() < window() && (tag_ <= now || hurry)) {
        const Group group = ready_.begin()->second;
        ready_.erase(ready_.begin());
        auto& ids = groups_.at(group);
        while (!ids.empty() && !waits_.contains(ids.front())) ids.pop_front();
        if (ids.empty()) continue;
        const MessageId id = ids.front();
        const DestinationId destination = waits_.at(id).owed.destination;
        const auto at = out_of_.find(destination);
        if (at == out_of_.end() || at->second < std::max<std::size_t>(1, window() / 2)) {
            ids.pop_front();
            out_.emplace(id, destination), ++out_of_[destination];
            take(id);
            const Time gap = gap_of(per_s_);
            tag_ = std::max(tag_, now - gap * static_cast<Time::rep>(settings_.first)) + gap;
        }
        stand(group);
    }
    return released;
}

/// Whatever is served or hangs: the rest must not wait for ever.
void BacklogPacing::step(Time now) {
    const auto steps = (now - moved_) / settings_.unmoved;
    if (steps <= 0) return;
    const double grown = std::exp2(static_cast<double>(std::min<Time::rep>(steps, 20)));
    window_ = std::min(static_cast<double>(settings_.most), window_ * grown);
    per_s_ = std::min(most_per_s_, per_s_ * grown);
    moved_ += steps * settings_.unmoved;
}

void BacklogPacing::turned_away(MessageId id, Time now) {
    if (!out_.contains(id)) return;
    ++refusals_, starting_ = false;
    window_ = std::max(1.0, window_ / 2);
    per_s_ = std::max(kLeastPerS, per_s_ / 2);
    moved_ = now;
}

void BacklogPacing::over(MessageId id, bool served) {
    if (waits_.erase(id) > 0) return;  // it ended without being taken up
    const auto found = out_.find(id);
    if (found == out_.end()) return;
    const DestinationId destination = found->second;
    if (const auto of = out_of_.find(destination); --of->second == 0) out_of_.erase(of);
    out_.erase(found);
    if (const auto parked = parked_.extract(destination))
        for (const Group& group : parked.mapped()) stand(group);
    if (!served) return;
    window_ = std::min(static_cast<double>(settings_.most), window_ + (starting_ ? 1.0 : 1.0 / window_));
}

std::optional<Time> BacklogPacing::next() const {
    if (waits_.empty()) return std::nullopt;
    Time next = begun_ ? moved_ + settings_.unmoved : begins_;
    if (begun_ && !ready_.empty() && out_.size() < window()) next = std::min(next, std::max(tag_, begins_));
    if (!latest_.empty()) next = std::min(next, latest_.begin()->first);
    return next;
}

BacklogPacing::Phase BacklogPacing::phase() const {
    if (waits_.empty() && out_.empty()) return Phase::Full;
    return waits_.size() == all_ ? Phase::Waiting : Phase::Releasing;
}

const char* text_of(BacklogPacing::Phase phase) {
    switch (phase) {
        case BacklogPacing::Phase::Waiting:
            return "waiting";
        case BacklogPacing::Phase::Releasing:
            return "releasing";
        case BacklogPacing::Phase::Full:
            return "full";
    }
    return "?";
}

}  // namespace lockgw::recovery
