/// When rate limit reports are gossiped, and to which peers: a few chosen at random, so that a new report
/// reaches a hundred forwarders within some rounds.
///
/// No I/O, no clock; draws from the caller's random numbers, so that a replay sends the same.
#pragma once

#include <random>
#include <vector>

#include "base/units.hpp"
#include "rate_limits/rate_limit_message.hpp"

namespace lockgw::rate_limits {

constexpr Time kGossipInterval{
    250'000};  // mean time between the messages of one forwarder; each interval is jittered
constexpr int kGossipFanout = 3;  // peers that each message is sent to

/// The messages that forwarder `own` of `senders` (two or more) has to send at `now`. Sets `next`, the
/// earliest time of the following ones.
template <class Random>
std::vector<cometspoke::TellPeers> messages_due(
    RateLimitTable& table, Time now, std::size_t senders, std::size_t own, Random& random, Time& next) {
    std::vector<cometspoke::TellPeers> messages;
    if (!table.has_unsent() || now < next) return messages;
    const double jitter = std::uniform_real_distribution<double>(0.5, 1.5)(random);
    next = now + cometspoke::from_seconds(cometspoke::seconds(kGossipInterval) * jitter);
    const auto reports = table.take_unsent(kMaxReports, now);
    if (reports.empty()) return messages;
    const std::string bytes = encode(reports, now);
    for (int i = 0; i < kGossipFanout; ++i) {
        std::size_t peer = random() % (senders - 1);
        if (peer >= own) ++peer;
        messages.push_back({peer, bytes});
    }
    return messages;
}

}  // namespace lockgw::rate_limits
