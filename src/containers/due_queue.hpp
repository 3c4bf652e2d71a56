/// Keys with a due time each: ordered by due time, and any key can be changed or removed.
///
/// Every operation takes logarithmic time in the number of keys, plus expected constant time for the hash
/// lookup. Does not read a clock. Not thread-safe.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lockgw {

template <class Key, class When>
class DueQueue {
public:
    /// Inserts the key or changes its due time.
    void set(const Key& key, When when) {
        const auto [found, inserted] = due_times_.try_emplace(key, when);
        if (!inserted) {
            if (found->second == when) return;
            order_.erase({found->second, key});
            found->second = when;
        }
        order_.insert({when, key});
    }
    void erase(const Key& key) {
        const auto found = due_times_.find(key);
        if (found == due_times_.end()) return;
        order_.erase({found->second, key});
        due_times_.erase(found);
    }
    /// Allocates hash buckets for `keys` keys now, so that set() does not rehash up to that number.
    void reserve(std::size_t keys) { due_times_.reserve(keys); }
    bool empty() const { return order_.empty(); }
    std::size_t size() const { return order_.size(); }
    /// Returns the earliest due time; none if the queue is empty.
    std::optional<When> next() const {
        return order_.empty() ? std::nullopt : std::optional(order_.begin()->first);
    }
    /// Returns at most `max_count` keys that are due at `now`, ordered by due time and then by key. The keys
    /// stay in the queue.
    std::vector<Key> due(When now, std::size_t max_count = static_cast<std::size_t>(-1)) const {
        std::vector<Key> keys;
        for (auto entry = order_.begin();
             entry != order_.end() && entry->first <= now && keys.size() < max_count; ++entry)
            keys.push_back(entry->second);
        return keys;
    }
    /// Removes and returns all keys that are due at `now`, in the order of due().
    std::vector<Key> take_due(When now) {
        std::vector<Key> keys = due(now);
        for (const Key& key : keys) erase(key);
        return keys;
    }

    /// Passes the members to `archive` for serialization.
    template <class Archive>
    void serialize(Archive& archive) {
        archive(order_)(due_times_);
    }

private:
    std::set<std::pair<When, Key>> order_;
    std::unordered_map<Key, When> due_times_;
};

}  // namespace lockgw
