/// Registry of the targets: assigns the endpoint numbers that the decision module uses, and knows which
/// destinations have or recently had targets.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "discovery/target_list.hpp"

namespace lockgw {

class TargetRegistry {
public:
    using Clock = std::chrono::steady_clock;

    /// The number of a target; assigns a new one if it has none. Numbers are never reused, because a late
    /// outcome of a removed target must not be counted for another one. Throws BadInput beyond 100,000
    /// targets.
    cometspoke::EndpointId number_of(const std::string& name);
    std::optional<cometspoke::EndpointId> find(const std::string& name) const;
    /// The id of a target, or null if the number is not in use. Valid until the target is forgotten.
    const std::string* name_of(cometspoke::EndpointId number) const;
    /// Removes a target unless it is listed.
    void forget(cometspoke::EndpointId number);
    /// Calls use(number, name) for each target that has a number.
    template <class Use>
    void for_each(Use use) const {
        for (const auto& [number, entry] : entries_) use(number, entry.name);
    }

    /// Applies a full list or changes. Returns the numbers of the targets that are no longer listed.
    std::set<cometspoke::EndpointId> apply_list(const TargetList& list, Clock::time_point now);
    /// Whether messages for a destination are to be accepted: it has targets, or had some in the last 10 min.
    bool has_destination(std::int64_t destination, Clock::time_point now) const;
    /// True if no destination has targets or had some in the last 10 min, as before the first list.
    bool empty() const { return target_counts_.empty() && emptied_at_.empty(); }

private:
    struct Entry {
        std::string name;
        std::optional<std::int64_t> destination;  // none while the target is not listed
    };

    void set_destination(Entry& entry, std::optional<std::int64_t> destination, Clock::time_point now);

    std::map<std::string, cometspoke::EndpointId> numbers_;
    std::map<cometspoke::EndpointId, Entry> entries_;
    cometspoke::EndpointId next_number_ = 0;
    std::map<std::int64_t, std::size_t> target_counts_;     // by destination; only those with targets
    std::map<std::int64_t, Clock::time_point> emptied_at_;  // when a destination lost its last target
};

}  // namespace lockgw
