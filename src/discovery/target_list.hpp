/// Parser for the answers of the discovery agent. Pure functions from bytes to values.
///
/// An answer may be cut off, damaged in places or hostile. Entries that can be read are kept apart from those
/// that cannot, so that an invalid entry never hides a drain in another one. The format is defined in the
/// platform's protocol, section "Discovery".
///
/// A list carries the agent's `revision`, a number that grows with each change of the agent's data. A full
/// list (`complete`) names every target; any other list contains the changes since the revision asked for.
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

/// One target as listed. A Draining target must get no new calls; a Gone target does not exist any more.
struct Target {
    std::string id;
    Tcp::endpoint address;  ///< unset unless Ready
    std::string zone, kind;
    std::int64_t destination = 0;
    double rate = 0.0;             ///< the field `size`
    std::int64_t up_since_ms = 0;  ///< start of the process, Unix time in milliseconds; 0: long ago
    cometspoke::Condition condition = cometspoke::Condition::Gone;
};
/// An entry that cannot be converted to a Target. Its id and condition are kept if they can be read.
struct InvalidEntry {
    std::optional<std::string> id;
    std::optional<cometspoke::Condition> condition;
    std::string error;
};
struct TargetList {
    std::int64_t revision = 0;
    bool complete = false;  ///< a full list; otherwise changes
    std::vector<Target> targets;
    std::vector<InvalidEntry> invalid{};
};

constexpr std::size_t kMaxTargets = 100'000;                                ///< entries of one answer
constexpr std::size_t kMaxIdLength = 256;                                   ///< bytes
constexpr std::size_t kMinListBytes = 4u << 20, kMaxListBytes = 64u << 20;  ///< see max_list_bytes_for()

/// The maximum size of an answer for a process with this much memory. Processing a list takes about twelve
/// times its size, and two answers may arrive at once.
constexpr std::size_t max_list_bytes_for(std::size_t memory_bytes) {
    return std::clamp(memory_bytes / 24, kMinListBytes, kMaxListBytes);
}

/// A target as an entry of a list, with the given condition. Anything but Ready is written as draining.
Json target_json(const Target& target, cometspoke::Condition condition);

/// Parses a list. Invalid entries go to TargetList::invalid. Throws BadInput or a JSON error if the body as a
/// whole is not a list.
TargetList parse_target_list(const Json& body);

/// Extracts the drains and departures from an answer that was cut off or cannot be parsed as a whole: all
/// complete entries that do not contain the text "in_service", at most kMaxTargets. Revision and `complete`
/// of the result have no meaning. Never throws on malformed input.
TargetList parse_stopping_entries(std::string_view text);

/// The same for an answer that is still being received. Each entry is returned once.
class StoppingEntriesReader {
public:
    /// The entries that are complete since the last call. `text` is everything received so far.
    TargetList read(std::string_view text);

private:
    bool find_first_entry(std::string_view text);

    bool in_members_ = false;
    std::size_t position_ = 0;       // behind the last complete entry
    std::size_t entries_found_ = 0;  // with those that cannot be read
};

}  // namespace lockgw
