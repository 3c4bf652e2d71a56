/// When rate limit reports are gossiped, and to which peers: a few chosen at random each time, so that a new
/// report reaches a hundred forwarders within a few rounds.
///
/// No I/O, no clock. Random numbers come from the caller's generator, so that a replay sends the same
/// messages.
#pragma once

#include <random>
#include <vector>

#include "base/units.hpp"
#include "rate_limits/rate_limit_message.hpp"

namespace lockgw::rate_limits {

/// Mean interval between the rounds of one forwarder; each interval is jittered by up to half of it.
constexpr Time kGossipInterval{250'000};
constexpr int kGossipFanout = 3;  // peers that each message is sent to

/// Returns the messages that forwarder `own` of `senders` (two or more) sends at `now`, and sets `next`, the
/// earliest time of the next round.
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
