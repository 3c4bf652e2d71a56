/// Keys that were added not long ago.
///
/// For telling a repeat from something new within a short time. Bounded: of more than `most` keys the oldest
/// are forgotten first. Times are the caller's and only advance. No I/O, no clock; one thread. Cost:
/// constant.
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

    /// `span`: how long a key is remembered.
    RecentSet(Span span, std::size_t most) : span_(span), most_(most) {}

    /// A key that is in it already stays for as long as it would have.
    void add(const Key& key, Time now) {
        forget_old(now);
        if (!keys_.insert(key).second) return;
        order_.emplace_back(now, key);
        if (order_.size() > most_) forget_first();
    }
    bool contains(const Key& key, Time now) {
        forget_old(now);
        return keys_.contains(key);
    }
    std::size_t size() const { return order_.size(); }

private:
    void forget_old(Time now) {
        while (!order_.empty() && order_.front().first + span_ <= now) forget_first();
    }
    void forget_first() {
        keys_.erase(order_.front().second);
        order_.pop_front();
    }

    Span span_;
    std::size_t most_;
    std::deque<std::pair<Time, Key>> order_;  // oldest first
    std::unordered_set<Key> keys_;
};

}  // namespace lockgw
