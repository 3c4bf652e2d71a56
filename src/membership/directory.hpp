/// Which targets there are: their numbers for the module, and which destinations the list has named.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "membership/member.hpp"

namespace lockgw {

class Directory {
public:
    using Clock = std::chrono::steady_clock;

    /// The target's number, a new one where it has none. Numbers are never used twice: an outcome of a target
    /// that has gone must not count for another.
    cometspoke::EndpointId number_of(const std::string& name);
    std::optional<cometspoke::EndpointId> find(const std::string& name) const;
    const std::string* name_of(cometspoke::EndpointId number) const;
    void forget(cometspoke::EndpointId number);
    /// use(number, name) for each that has a number.
    template <class Use>
    void each(Use use) const {
        for (const auto& [number, entry] : entries_) use(number, entry.name);
    }

    /// Takes what discovery tells; returns the numbers of those that are no longer listed.
    std::set<cometspoke::EndpointId> listed(const TargetList& told, Clock::time_point now);
    /// Whether a message for it makes sense: it has targets, or had some not long ago.
    bool has(std::int64_t destination, Clock::time_point now) const;
    /// No list has named any target so far.
    bool blank() const { return targets_.empty() && deserted_.empty(); }

private:
    struct Entry {
        std::string name;
        std::optional<std::int64_t> destination;  // while it is listed
    };

    void list(Entry& entry, std::optional<std::int64_t> destination, Clock::time_point now);

    std::map<std::string, cometspoke::EndpointId> numbers_;
    std::map<cometspoke::EndpointId, Entry> entries_;
    cometspoke::EndpointId next_ = 0;
    std::map<std::int64_t, std::size_t> targets_;         // by destination, of those that have any
    std::map<std::int64_t, Clock::time_point> deserted_;  // when a destination's last target went
};

}  // namespace lockgw
