/// Load shedding: which messages are ended early because too many are held, and which tenants are over their
/// quota.
///
/// When more than 90 % of Settings::most_held are held (kFreeCapacityShare), shed_load() ends the messages
/// that will be of the least value by the time they can be delivered. Messages that may have run are never
/// shed. A message over its tenant's quota is not refused: it only counts less (Settings::over_share_worth).
#pragma once

#include "policy/message_lifecycle.hpp"

namespace cometspoke::policy {

struct LoadShedding : MessageLifecycle {
    using MessageLifecycle::MessageLifecycle;

    // This sender's part of a tenant's quota, as a tag that may run ahead of the clock by kQuotaBurst.
    bool over_quota(std::size_t index, Time now) {
        const Time gap = interval_of(settings_.tenants[index].quota_per_s / sender_count());
        const Time next = std::max(quota_tags_[index], now) + gap;
        if (next > now + std::max(gap, kQuotaBurst)) return true;
        quota_tags_[index] = next;
        return false;
    }
    // Of the messages that may be refused, ends the one that will be of the least value when its turn comes,
    // until enough capacity is free. So a destination that is down cannot use up the capacity of the others;
    // its clients retry meanwhile.
    void shed_load(Time now) {
        const auto capacity =
            static_cast<std::size_t>(static_cast<double>(settings_.most_held) * (1.0 - kFreeCapacityShare));
        while (messages_.size() > std::max<std::size_t>(1, capacity)) {
            const auto least = messages_.size() <= kMaxHeldForExactShedding ? lowest_value_of_all(now)
                                                                            : lowest_value_of_sample(now);
            if (!least) return;
            end_message(*least, now);
        }
    }
    struct ShedCandidate {
        std::optional<MessageId> id;
        double value = 0.0;
    };
    std::optional<MessageId> lowest_value_of_all(Time now) const {
        ShedCandidate least;
        for (const auto& [destination_id, destination] : active_destinations_) {
            Time turn = now + expected_outage(*destination, now);
            for (const auto& [arrival, id] : destination->held)
                consider_for_shedding(least, id, turn += interval_of(drain_rate(*destination)));
        }
        return least.id;
    }
    // With very many messages held: considers only both ends of the longest queues and of some others, taken
    // round-robin.
    std::optional<MessageId> lowest_value_of_sample(Time now) {
        ShedCandidate least;
        auto longest = by_held_count_.rbegin();
        for (std::size_t i = 0; i < kShedScanDestinations && longest != by_held_count_.rend(); ++i, ++longest)
            consider_queue_ends(least, *active_destinations_.at(longest->second), now);
        auto next = active_destinations_.upper_bound(shed_scan_cursor_);
        for (std::size_t i = 0; i < kShedScanDestinations && !active_destinations_.empty(); ++i, ++next) {
            if (next == active_destinations_.end()) next = active_destinations_.begin();
            shed_scan_cursor_ = next->first;
            consider_queue_ends(least, *next->second, now);
        }
        return least.id;
    }
    // Takes the messages at both ends of the destination's queue into account, each at its expected delivery
    // time.
    void consider_queue_ends(ShedCandidate& least, const Destination& destination, Time now) const {
        const Time start = now + expected_outage(destination, now),
                   gap = interval_of(drain_rate(destination));
        const auto size = static_cast<Time::rep>(destination.held.size());
        auto first = destination.held.begin();
        auto last = destination.held.rbegin();
        for (Time::rep i = 0; i < std::min<Time::rep>(kShedScanPerQueueEnd, size); ++i, ++first, ++last) {
            consider_for_shedding(least, first->second, start + gap * (i + 1));
            consider_for_shedding(least, last->second, start + gap * (size - i));
        }
    }
    // Keeps the message in `least` if it may be shed and is of less value; `turn`: its expected delivery
    // time.
    void consider_for_shedding(ShedCandidate& least, MessageId id, Time turn) const {
        const Message& message = messages_.at(id);
        if (message.open_attempts > 0 || message.doubt_since) return;
        const double value = value_at(message, turn);
        if (!least.id || value < least.value) least = {id, value};
    }
};

}  // namespace cometspoke::policy
