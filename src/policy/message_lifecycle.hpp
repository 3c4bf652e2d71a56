/// The life of a message: held, out, in doubt, pausing, ended; and of the lines of keys in order.
#pragma once

#include "policy/endpoint_health.hpp"

namespace cometspoke::policy {

struct MessageLifecycle : EndpointHealth {
    using EndpointHealth::EndpointHealth;

    void settle(const OutcomeEvent& event, const Call& call, Time now) {
        const bool never_ran = event.outcome == Outcome::TurnedAway ||
                               event.outcome == Outcome::NoConnection || event.outcome == Outcome::NotSent;
        const auto found = messages_.find(event.message);
        if (found == messages_.end()) return;
        Message& message = found->second;
        --message.open_attempts;
        if (event.terminal || event.outcome == Outcome::Served) return forget(event.message, now);
        message.not_before = now + pause_after(message, now);
        if (!never_ran && (!message.doubt_since || call.sent_at < *message.doubt_since)) {
            message.doubt_since = call.sent_at;
            set_doubt(message, call.endpoint);
        }
        changed(event.message, now);
    }
    void set_doubt(Message& message, std::optional<EndpointId> at) {
        if (message.doubt_endpoint && --doubtful_counts_.at(*message.doubt_endpoint) == 0)
            doubtful_counts_.erase(*message.doubt_endpoint);
        message.doubt_endpoint = at;
        if (at) ++doubtful_counts_[*at];
    }
    // A message has changed: when it ends, when its pause does, and whether it may go stand anew.
    void changed(MessageId id, Time now) {
        const auto found = messages_.find(id);
        if (found == messages_.end()) return;
        Message& message = found->second;
        expiry_queue_.set(id, ends_at(message));
        const bool pausing = message.open_attempts == 0 && message.not_before > now;
        pausing ? backoff_queue_.set(id, message.not_before) : backoff_queue_.erase(id);
        make_ready(id, message,
            message.open_attempts == 0 && !pausing && (!message.key || turn_at(id, *message.key) <= now));
        reschedule(message.destination, now);
    }
    void make_ready(MessageId id, Message& message, bool is_ready) {
        if (std::exchange(message.in_ready_queue, is_ready) == is_ready) return;
        auto& ready = destinations_.at(message.destination).ready;
        const std::size_t kind = message.message_class;
        is_ready ? ready.insert(kind, message.arrival, message.created_at, id)
                 : ready.erase(kind, message.arrival, message.created_at);
    }
    // Whose turn it is in a key's line, and from when on.
    void line_changed(std::uint64_t key, Time now) {
        const auto found = key_queues_.find(key);
        if (found == key_queues_.end()) return key_pause_queue_.erase(key), key_cleanup_queue_.erase(key);
        const KeyQueue& line = found->second;
        const bool rests = line.paused_until > now;
        const bool stale = line.waiting.empty() && line.open_attempts == 0 && rests;
        stale ? key_cleanup_queue_.set(key, line.paused_until) : key_cleanup_queue_.erase(key);
        const bool held_up = !line.waiting.empty() && line.open_attempts == 0 && rests &&
                             line.pause_exempt != line.waiting.front();
        held_up ? key_pause_queue_.set(key, line.paused_until) : key_pause_queue_.erase(key);
        if (!line.waiting.empty()) changed(line.waiting.front(), now);
    }
    void hold(DestinationId id, Destination& destination, MessageId message_id, const Message& message) {
        by_held_count_.erase({destination.held.size(), id});
        destination.held.emplace(message.arrival, message_id);
        by_held_count_.insert({destination.held.size(), id});
        ++destination.held_by_class[message.message_class];
    }
    // Doubling; from half of the allowed attempts on, those left are spread over the time left: otherwise
    // they are used up in the middle of a long outage.
    Time pause_after(const Message& message, Time now) const {
        const Time doubled =
            kRetryGap * (1 << std::min<std::uint32_t>(message.attempts - 1, kPauseDoublings));
        const std::size_t most = class_settings(message).max_attempts;
        if (message.attempts * 2 < most || message.attempts >= most) return doubled;
        const auto left = static_cast<Time::rep>(most - message.attempts);
        return std::max(doubled, (message.deadline - now) / (left + 1));
    }
    void settle_key(std::uint64_t key, const OutcomeEvent& event, Time now) {
        KeyQueue& line = key_queues_.at(key);
        --line.open_attempts;
        if (event.outcome == Outcome::NoAnswer || event.outcome == Outcome::ConnectionLost ||
            event.outcome == Outcome::CalledOff)
            line.paused_until = std::max(line.paused_until, now + settings_.settle_after_doubt),
            line.pause_exempt = event.message;
        drop_line(key, now);
        line_changed(key, now);
    }
    void drop_line(std::uint64_t key, Time now) {
        const KeyQueue& line = key_queues_.at(key);
        if (line.waiting.empty() && line.open_attempts == 0 && line.paused_until <= now)
            key_queues_.erase(key);
    }
    Time turn_at(MessageId id, std::uint64_t key) const {
        const KeyQueue& line = key_queues_.at(key);
        if (line.open_attempts > 0 || line.waiting.front() != id) return kNever;
        return line.pause_exempt == id ? kLongAgo : line.paused_until;
    }
    Time resend_until(const Message& message) const {
        const ClassSettings& kind = settings_.classes[message.message_class];
        if (kind.effect == Effect::Retryable || !message.doubt_since) return kNever;
        if (kind.effect == Effect::Fragile) return kLongAgo;
        return *message.doubt_since + kind.window - kDedupMargin;
    }
    // A message is over when its time is, or when no further attempt is allowed.
    void end_overdue(Time now) {
        std::vector<MessageId> over = expiry_queue_.due(now, kMostEnds);  // the rest by the next timer
        std::sort(over.begin(), over.end());
        for (const MessageId id : over) end(id, now);
    }
    Time ends_at(const Message& message) const {
        if (message.open_attempts > 0) return message.deadline;
        if (message.attempts >= class_settings(message).max_attempts) return kLongAgo;
        return std::min(message.deadline, resend_until(message));
    }
    bool may_refuse(const Message& message) const {
        if (message.open_attempts == 0 && !message.doubt_since) return true;
        const ClassSettings& kind = settings_.classes[message.message_class];
        return kind.effect == Effect::Retryable ||
               (kind.effect == Effect::Dedup && kind.dedup_scope == DedupScope::All);
    }
    void end(MessageId id, Time now) {
        // at its deadline a client has no time to come again: a refusal would promise what helps nobody
        if (messages_.at(id).deadline > now && may_refuse(messages_.at(id)))
            actions_.emplace_back(Refuse{id, come_back_in(messages_.at(id), now)});
        else
            actions_.emplace_back(Fail{id});
        forget(id, now);
    }
    // When a client should come again: once the outage or the backlog is likely to be over, and while there
    // is still time to deliver.
    Time come_back_in(const Message& message, Time now) const {
        const Destination& destination = destinations_.at(message.destination);
        const double backlog = static_cast<double>(destination.held.size()) / drain_rate(destination);
        const Time over = std::max(stalled(destination, now), from_seconds(backlog));
        return std::min(over, (message.deadline - now) / 2);
    }
    void forget(MessageId id, Time now) {
        const auto found = messages_.find(id);
        if (found == messages_.end()) return;
        Message& message = found->second;
        const DestinationId destination_id = message.destination;
        Destination& destination = destinations_[destination_id];
        make_ready(id, message, false);
        set_doubt(message, std::nullopt);
        expiry_queue_.erase(id), backoff_queue_.erase(id);
        by_held_count_.erase({destination.held.size(), destination_id});
        destination.held.erase(message.arrival);
        --destination.held_by_class[message.message_class];
        const std::size_t held = destination.held.size();
        held == 0 ? deactivate(destination_id, destination)
                  : void(by_held_count_.insert({held, destination_id}));
        const auto key = message.key;
        if (key) {
            std::deque<MessageId>& turn = key_queues_.at(*key).waiting;
            turn.front() == id ? turn.pop_front() : void(std::erase(turn, id));
            drop_line(*key, now);
        }
        messages_.erase(found);
        if (key) line_changed(*key, now);
        reschedule(destination_id, now);
    }
};

}  // namespace cometspoke::policy
