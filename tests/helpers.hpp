/// Shared by the tests of the decision module: settings, shorthands for events, and access to actions.
#pragma once

#include <gtest/gtest.h>

#include <vector>

#include "cometspoke/sender.hpp"

namespace cometspoke::testing {

constexpr Time ms(std::int64_t count) { return Time(count * 1000); }

inline ClassSettings make_class(Effect effect) {
    ClassSettings result;
    result.effect = effect;
    result.window = ms(5000);
    result.aim = ms(2000);
    result.deadline = ms(20000);
    return result;
}

enum : std::size_t { kRetryable = 0, kDedup = 1, kFragile = 2, kSequential = 3 };

inline Settings make_settings() {
    Settings settings;
    settings.classes = {make_class(Effect::Retryable), make_class(Effect::Dedup), make_class(Effect::Fragile),
        make_class(Effect::Retryable)};
    settings.classes[kSequential].sequential = true;
    settings.kinds.resize(3);
    settings.kinds[1].routes_apart = true;
    settings.kinds[2].per_call = 4;
    settings.zones = 2;
    settings.zone = 0;
    settings.tenants = {{10.0}};
    settings.slots = 8;
    settings.most_held = 100;
    settings.max_attempts = 4;
    settings.cancel = true;
    settings.conn_idle = ms(10000);
    settings.fall = ms(2000);
    settings.warm_within = ms(10000);
    settings.settle_after_doubt = ms(300);
    settings.fall_multiple = 2.0;
    settings.cold_from = 0.2;
    return settings;
}

/// The actions of one type, in their order.
template <class T>
std::vector<T> actions_of(const std::vector<Action>& actions) {
    std::vector<T> found;
    for (const Action& action : actions)
        if (const auto* match = std::get_if<T>(&action)) found.push_back(*match);
    return found;
}

/// A Sender with a simulated clock, and shorthands for its events.
class SenderHarness {
public:
    explicit SenderHarness(Settings settings = make_settings(), std::uint64_t seed = 1)
        : sender(std::move(settings), seed) {}

    void list_endpoint(EndpointId endpoint, DestinationId destination, std::size_t kind = 0,
        double rate = 0.0, Condition condition = Condition::Ready, std::size_t zone = 0) {
        ListEvent event;
        event.kind = ListKind::Changes;
        event.entries.push_back({endpoint, destination, zone, kind, rate, condition});
        sender.observe(event, now);
    }
    void arrive(MessageId message, DestinationId destination, std::size_t message_class = kRetryable,
        std::optional<std::uint64_t> key = std::nullopt, Time left = ms(20000)) {
        sender.observe(MessageEvent{message, destination, message_class, std::nullopt, key, left}, now);
    }
    void report_outcome(const Send& send, Outcome result, std::uint32_t attempt = 0, Time wait = Time(0),
        Time rtt = ms(100), std::optional<LoadReport> report = std::nullopt) {
        OutcomeEvent event;
        event.message = send.message;
        event.endpoint = send.endpoint;
        event.attempt = attempt;
        event.outcome = result;
        event.terminal = result == Outcome::Served;
        event.rtt = rtt;
        event.wait = wait;
        event.report = report;
        sender.observe(event, now);
    }
    std::vector<Action> decide() { return sender.decide(now); }
    /// Makes a decision and returns its sends.
    std::vector<Send> decide_sends() { return actions_of<Send>(decide()); }
    /// Makes a decision and returns the ids of the messages sent.
    std::vector<MessageId> decide_sent_ids() {
        std::vector<MessageId> ids;
        for (const Send& send : decide_sends()) ids.push_back(send.message);
        return ids;
    }
    /// Advances the clock by `span` in steps, with a decision at each, and returns the sends with their
    /// times.
    std::vector<std::pair<Time, Send>> advance(Time span, Time step = ms(10)) {
        std::vector<std::pair<Time, Send>> found;
        for (const Time end = now + span; now < end;) {
            now += step;
            for (const Send& send : decide_sends()) found.emplace_back(now, send);
        }
        return found;
    }

    Sender sender;
    Time now = ms(1'000'000);
};

}  // namespace cometspoke::testing
