/// The states of a message, from its arrival to its final answer, and the queues of ordering keys.
///
/// A message is held until it ends. Meanwhile it is out (an attempt is under way), in backoff after a failed
/// attempt, waiting for its ordering key, or ready. It is doubtful once an attempt may have run:
/// apply_outcome() decides that, and backoff_after() and resend_deadline() decide when and until when it may
/// be retried.
#pragma once

#include "policy/endpoint_health.hpp"

namespace cometspoke::policy {

struct MessageLifecycle : EndpointHealth {
    using EndpointHealth::EndpointHealth;

    // An attempt of a message has ended: with its final answer the message is removed, otherwise it is held
    // for a retry.
    void apply_outcome(const OutcomeEvent& event, const Call& call, Time now) {
        const bool never_ran = event.outcome == Outcome::TurnedAway ||
                               event.outcome == Outcome::NoConnection || event.outcome == Outcome::NotSent;
        const auto found = messages_.find(event.message);
        if (found == messages_.end()) return;
        Message& message = found->second;
        --message.open_attempts;
        if (event.terminal || event.outcome == Outcome::Served) return remove_message(event.message, now);
        message.not_before = now + backoff_after(message, now);
        if (!never_ran && (!message.doubt_since || call.sent_at < *message.doubt_since)) {
            message.doubt_since = call.sent_at;
            set_doubtful_endpoint(message, call.endpoint);
        }
        message_changed(event.message, now);
    }
    void set_doubtful_endpoint(Message& message, std::optional<EndpointId> endpoint) {
        if (message.doubt_endpoint && --doubtful_counts_.at(*message.doubt_endpoint) == 0)
            doubtful_counts_.erase(*message.doubt_endpoint);
        message.doubt_endpoint = endpoint;
        if (endpoint) ++doubtful_counts_[*endpoint];
    }
    // To be called when anything of a message has changed: recomputes when it expires, when its backoff ends
    // and whether it is ready.
    void message_changed(MessageId id, Time now) {
        const auto found = messages_.find(id);
        if (found == messages_.end()) return;
        Message& message = found->second;
        expiry_queue_.set(id, expires_at(message));
        const bool in_backoff = message.open_attempts == 0 && message.not_before > now;
        in_backoff ? backoff_queue_.set(id, message.not_before) : backoff_queue_.erase(id);
        set_ready(id, message,
            message.open_attempts == 0 && !in_backoff &&
                (!message.key || key_turn_at(id, *message.key) <= now));
        reschedule(message.destination, now);
    }
    void set_ready(MessageId id, Message& message, bool is_ready) {
        if (std::exchange(message.in_ready_queue, is_ready) == is_ready) return;
        auto& ready = destinations_.at(message.destination).ready;
        const std::size_t group = message.message_class;
        is_ready ? ready.insert(group, message.arrival, message.created_at, id)
                 : ready.erase(group, message.arrival, message.created_at);
    }
    // To be called when the queue of an ordering key has changed: recomputes when its first message may be
    // sent, and when the queue may be removed.
    void key_queue_changed(std::uint64_t key, Time now) {
        const auto found = key_queues_.find(key);
        if (found == key_queues_.end()) return key_pause_queue_.erase(key), key_cleanup_queue_.erase(key);
        const KeyQueue& queue = found->second;
        const bool paused = queue.paused_until > now;
        const bool unused = queue.waiting.empty() && queue.open_attempts == 0 && paused;
        unused ? key_cleanup_queue_.set(key, queue.paused_until) : key_cleanup_queue_.erase(key);
        const bool blocked = !queue.waiting.empty() && queue.open_attempts == 0 && paused &&
                             queue.pause_exempt != queue.waiting.front();
        blocked ? key_pause_queue_.set(key, queue.paused_until) : key_pause_queue_.erase(key);
        if (!queue.waiting.empty()) message_changed(queue.waiting.front(), now);
    }
    // Adds a new message to those that its destination holds.
    void add_held(DestinationId id, Destination& destination, MessageId message_id, const Message& message) {
        by_held_count_.erase({destination.held.size(), id});
        destination.held.emplace(message.arrival, message_id);
        by_held_count_.insert({destination.held.size(), id});
        ++destination.held_by_class[message.message_class];
    }
    // The backoff after a failed attempt: exponential. From half of the allowed attempts on, the attempts
    // left are spread over the time left, for otherwise they would be used up in the middle of a long outage.
    Time backoff_after(const Message& message, Time now) const {
        const Time doubled =
            kFirstBackoff * (1 << std::min<std::uint32_t>(message.attempts - 1, kMaxBackoffDoublings));
        const std::size_t most = class_settings(message).max_attempts;
        if (message.attempts * 2 < most || message.attempts >= most) return doubled;
        const auto left = static_cast<Time::rep>(most - message.attempts);
        return std::max(doubled, (message.deadline - now) / (left + 1));
    }
    // An attempt of a message with an ordering key has ended. If it may still be running, the next message of
    // the key waits for Settings::settle_after_doubt; a repeat of the same message does not.
    void apply_key_outcome(std::uint64_t key, const OutcomeEvent& event, Time now) {
        KeyQueue& queue = key_queues_.at(key);
        --queue.open_attempts;
        if (event.outcome == Outcome::NoAnswer || event.outcome == Outcome::ConnectionLost ||
            event.outcome == Outcome::CalledOff)
            queue.paused_until = std::max(queue.paused_until, now + settings_.settle_after_doubt),
            queue.pause_exempt = event.message;
        remove_key_queue_if_idle(key, now);
        key_queue_changed(key, now);
    }
    void remove_key_queue_if_idle(std::uint64_t key, Time now) {
        const KeyQueue& queue = key_queues_.at(key);
        if (queue.waiting.empty() && queue.open_attempts == 0 && queue.paused_until <= now)
            key_queues_.erase(key);
    }
    // From when on the ordering key allows the message to be sent; kNever while another message of the key
    // goes first.
    Time key_turn_at(MessageId id, std::uint64_t key) const {
        const KeyQueue& queue = key_queues_.at(key);
        if (queue.open_attempts > 0 || queue.waiting.front() != id) return kNever;
        return queue.pause_exempt == id ? kLongAgo : queue.paused_until;
    }
    // Until when a further attempt may be sent without the message taking effect twice: any time while it is
    // retryable or not doubtful, never for a doubtful fragile one, and for a dedup one until its window
    // closes.
    Time resend_deadline(const Message& message) const {
        const ClassSettings& message_class = settings_.classes[message.message_class];
        if (message_class.effect == Effect::Retryable || !message.doubt_since) return kNever;
        if (message_class.effect == Effect::Fragile) return kLongAgo;
        return *message.doubt_since + message_class.window - kDedupWindowMargin;
    }
    // Ends the messages whose deadline has passed, or that may have no further attempt.
    void end_expired(Time now) {
        std::vector<MessageId> expired =
            expiry_queue_.due(now, kMaxEndsPerDecision);  // the rest with the next timer
        std::sort(expired.begin(), expired.end());
        for (const MessageId id : expired) end_message(id, now);
    }
    Time expires_at(const Message& message) const {
        if (message.open_attempts > 0) return message.deadline;
        if (message.attempts >= class_settings(message).max_attempts) return kLongAgo;
        return std::min(message.deadline, resend_deadline(message));
    }
    // Whether the client may be told that handing the message in again does no harm (Refuse). Once a dedup
    // message may have run this cannot be promised: its repeat is a new message, without a doubt, to
    // whichever sender takes it, and may be sent after the window of the first attempt.
    bool may_refuse(const Message& message) const {
        if (settings_.classes[message.message_class].effect == Effect::Retryable) return true;
        return message.open_attempts == 0 && !message.doubt_since;
    }
    // Gives the message its final answer.
    void end_message(MessageId id, Time now) {
        // At the deadline the client has no time left for a retry: a refusal would promise something useless.
        if (messages_.at(id).deadline > now && may_refuse(messages_.at(id)))
            actions_.emplace_back(Refuse{id, retry_after(messages_.at(id), now)});
        else
            actions_.emplace_back(Fail{id});
        remove_message(id, now);
    }
    // When the client should retry: once the outage or the backlog is likely to be over, and while there is
    // still time to deliver.
    Time retry_after(const Message& message, Time now) const {
        const Destination& destination = destinations_.at(message.destination);
        const double backlog_s = static_cast<double>(destination.held.size()) / drain_rate(destination);
        const Time delay = std::max(expected_outage(destination, now), from_seconds(backlog_s));
        return std::min(delay, (message.deadline - now) / 2);
    }
    // Removes a message that has ended, or that its client has abandoned. Its attempts that are out stay
    // counted.
    void remove_message(MessageId id, Time now) {
        const auto found = messages_.find(id);
        if (found == messages_.end()) return;
        Message& message = found->second;
        const DestinationId destination_id = message.destination;
        Destination& destination = destinations_[destination_id];
        set_ready(id, message, false);
        set_doubtful_endpoint(message, std::nullopt);
        expiry_queue_.erase(id), backoff_queue_.erase(id);
        by_held_count_.erase({destination.held.size(), destination_id});
        destination.held.erase(message.arrival);
        --destination.held_by_class[message.message_class];
        const std::size_t held = destination.held.size();
        held == 0 ? deactivate(destination_id, destination)
                  : void(by_held_count_.insert({held, destination_id}));
        const auto key = message.key;
        if (key) {
            std::deque<MessageId>& waiting = key_queues_.at(*key).waiting;
            waiting.front() == id ? waiting.pop_front() : void(std::erase(waiting, id));
            remove_key_queue_if_idle(*key, now);
        }
        messages_.erase(found);
        if (key) key_queue_changed(*key, now);
        reschedule(destination_id, now);
    }
};

}  // namespace cometspoke::policy
