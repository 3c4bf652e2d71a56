/// What discovery's answers say, read entry by entry. Pure: bytes in, values out.
///
/// An answer may be cut off, spoilt in places or hostile. What can be read of it is told apart from what
/// cannot, so that the news of a drain is never lost with the entry beside it. Form: the platform's protocol,
/// section "Discovery".
#pragma once

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cometspoke/sender.hpp"
#include "config/settings.hpp"

namespace lockgw {

using Json = nlohmann::json;
using Tcp = boost::asio::ip::tcp;

struct Target {
    std::string id;
    Tcp::endpoint address;  ///< unset where it is not Ready
    std::string zone, kind;
    std::int64_t destination = 0;
    double rate = 0.0;
    std::int64_t up_since_ms = 0;  ///< Unix time, milliseconds; 0: long ago
    cometspoke::Condition condition = cometspoke::Condition::Gone;
};
/// An entry of which no target can be made. Where its id can be read it still says something of that target.
struct BadEntry {
    std::optional<std::string> id;
    std::optional<cometspoke::Condition> condition;
    std::string why;
};
struct TargetList {
    std::int64_t revision = 0;
    bool complete = false;
    std::vector<Target> targets;
    std::vector<BadEntry> bad{};
};

constexpr std::size_t kMostTargets = 100'000;                                  ///< in one answer
constexpr std::size_t kMostIdLength = 256;                                     ///< bytes
constexpr std::size_t kLeastListBytes = 4u << 20, kMostListBytes = 64u << 20;  ///< of one answer

/// How long an answer a process of so much memory reads: a list takes some twelve times its bytes while it is
/// taken in, and two may come at once.
constexpr std::size_t list_bytes_for(std::size_t memory_bytes) {
    return std::clamp(memory_bytes / 24, kLeastListBytes, kMostListBytes);
}

/// An entry of such a list.
Json json_of(const Target& target, cometspoke::Condition condition);

/// Throws BadInput or a JSON error where it is no list.
TargetList list_of(const Json& body);

/// What an answer that was cut off or cannot be read as a whole still says of targets that stop: entries that
/// are whole by themselves, at most kMostTargets. Its revision and `complete` mean nothing. Never throws on
/// bad bytes.
TargetList stops_in(std::string_view text);

}  // namespace lockgw
