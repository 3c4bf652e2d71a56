/// What is turned away: tenants over their quota, and who goes where the room is nearly full.
#pragma once

#include "policy/message_lifecycle.hpp"

namespace cometspoke::policy {

struct LoadShedding : MessageLifecycle {
    using MessageLifecycle::MessageLifecycle;

    // A tenant's own part of its quota, as a tag that may run ahead by kQuotaBurst.
    bool over_quota(std::size_t index, Time now) {
        const Time gap = interval_of(settings_.tenants[index].quota_per_s / senders());
        const Time next = std::max(quota_tags_[index], now) + gap;
        if (next > now + std::max(gap, kQuotaBurst)) return true;
        quota_tags_[index] = next;
        return false;
    }
    // Nearly full: of those that may be refused, the one that will be worth least when its turn comes goes. A
    // destination that is down thus cannot fill the room of the others; its clients come again meanwhile.
    void keep_room(Time now) {
        const auto most =
            static_cast<std::size_t>(static_cast<double>(settings_.most_held) * (1.0 - kRoomKept));
        while (messages_.size() > std::max<std::size_t>(1, most)) {
            const auto least = messages_.size() <= kExactHeld ? least_of_all(now) : least_of_some(now);
            if (!least) return;
            end(*least, now);
        }
    }
    struct Least {
        std::optional<MessageId> id;
        double worth = 0.0;
    };
    std::optional<MessageId> least_of_all(Time now) const {
        Least least;
        for (const auto& [destination_id, destination] : active_destinations_) {
            Time turn = now + stalled(*destination, now);
            for (const auto& [arrival, id] : destination->held)
                weigh(least, id, turn += interval_of(drain_rate(*destination)));
        }
        return least.id;
    }
    // Where very many are held: both ends of the longest lines, and of some others in turn.
    std::optional<MessageId> least_of_some(Time now) {
        Least least;
        auto longest = by_held_count_.rbegin();
        for (std::size_t i = 0; i < kLookAt && longest != by_held_count_.rend(); ++i, ++longest)
            weigh_ends(least, *active_destinations_.at(longest->second), now);
        auto next = active_destinations_.upper_bound(shed_scan_cursor_);
        for (std::size_t i = 0; i < kLookAt && !active_destinations_.empty(); ++i, ++next) {
            if (next == active_destinations_.end()) next = active_destinations_.begin();
            shed_scan_cursor_ = next->first;
            weigh_ends(least, *next->second, now);
        }
        return least.id;
    }
    void weigh_ends(Least& least, const Destination& destination, Time now) const {
        const Time start = now + stalled(destination, now), gap = interval_of(drain_rate(destination));
        const auto size = static_cast<Time::rep>(destination.held.size());
        auto first = destination.held.begin();
        auto last = destination.held.rbegin();
        for (Time::rep i = 0; i < std::min<Time::rep>(kLookEnds, size); ++i, ++first, ++last) {
            weigh(least, first->second, start + gap * (i + 1));
            weigh(least, last->second, start + gap * (size - i));
        }
    }
    void weigh(Least& least, MessageId id, Time turn) const {
        const Message& message = messages_.at(id);
        if (message.open_attempts > 0 || message.doubt_since) return;
        const double worth = worth_of(message, turn);
        if (!least.id || worth < least.worth) least = {id, worth};
    }
};

}  // namespace cometspoke::policy
