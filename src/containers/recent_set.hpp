/// A set of keys that expire a fixed time after they were added.
///
/// Used to recognize repeats within a short time. Its size is bounded: if it holds more than `capacity` keys,
/// the oldest is removed. The caller supplies the times, which must not decrease. No I/O, no clock. Not
/// thread-safe. Operations take amortized constant time.
#pragma once

#include <cstddef>
#include <deque>
#include <unordered_set>
#include <utility>

namespace lockgw {

template <class Key, class Time>
class RecentSet {
public:
    using Span = decltype(Time{} - Time{});

    /// `lifetime`: how long a key is kept.
    RecentSet(Span lifetime, std::size_t capacity) : lifetime_(lifetime), capacity_(capacity) {}

    /// Adds a key. Adding a key that is already present does not extend its lifetime.
    void add(const Key& key, Time now) {
        remove_expired(now);
        if (!keys_.insert(key).second) return;
        order_.emplace_back(now, key);
        if (order_.size() > capacity_) remove_oldest();
    }
    bool contains(const Key& key, Time now) {
        remove_expired(now);
        return keys_.contains(key);
    }
    std::size_t size() const { return order_.size(); }

private:
    void remove_expired(Time now) {
        while (!order_.empty() && order_.front().first + lifetime_ <= now) remove_oldest();
    }
    void remove_oldest() {
        keys_.erase(order_.front().second);
        order_.pop_front();
    }

    Span lifetime_;
    std::size_t capacity_;
    std::deque<std::pair<Time, Key>> order_;  // oldest first
    std::unordered_set<Key> keys_;
};

}  // namespace lockgw
