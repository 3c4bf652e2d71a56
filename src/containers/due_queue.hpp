/// Keys with a moment each: the earliest first, and any one changed or taken out by its key.
///
/// All calls take logarithmic time in the keys held, plus constant expected time. No clock, one thread.
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
    void set(const Key& key, When when) {
        const auto [found, fresh] = when_.try_emplace(key, when);
        if (!fresh) {
            if (found->second == when) return;
            order_.erase({found->second, key});
            found->second = when;
        }
        order_.insert({when, key});
    }
    void erase(const Key& key) {
        const auto found = when_.find(key);
        if (found == when_.end()) return;
        order_.erase({found->second, key});
        when_.erase(found);
    }
    /// Room for so many keys, so that set() need not make it (in one go, for all of them).
    void reserve(std::size_t keys) { when_.reserve(keys); }
    bool empty() const { return order_.empty(); }
    std::size_t size() const { return order_.size(); }
    /// The earliest moment; none where nothing is held.
    std::optional<When> next() const {
        return order_.empty() ? std::nullopt : std::optional(order_.begin()->first);
    }
    /// Those due at `now` or before, the earliest first (of one moment, the least key first), `most` of them.
    /// They stay.
    std::vector<Key> due(When now, std::size_t most = static_cast<std::size_t>(-1)) const {
        std::vector<Key> all;
        for (auto place = order_.begin(); place != order_.end() && place->first <= now && all.size() < most;
             ++place)
            all.push_back(place->second);
        return all;
    }
    /// The same, and they go.
    std::vector<Key> take_due(When now) {
        std::vector<Key> all = due(now);
        for (const Key& key : all) erase(key);
        return all;
    }

    /// For whoever keeps it elsewhere: an archive takes its members one by one.
    template <class Archive>
    void members(Archive& archive) {
        archive(order_)(when_);
    }

private:
    std::set<std::pair<When, Key>> order_;
    std::unordered_map<Key, When> when_;
};

}  // namespace lockgw
