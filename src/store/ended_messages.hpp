/// The ids of messages that have ended lately, each with the moment of its end.
///
/// A client whose connection ended before it had read its reply hands the same id in again, and the message
/// must not run twice. An id is kept for a fixed time after its end; beyond a fixed number the oldest goes.
/// The caller supplies the moments, also those of an earlier process. No I/O, no clock. Not thread-safe.
/// Operations take amortized constant time.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <unordered_set>

#include "base/clocks.hpp"
#include "cometspoke/sender.hpp"

namespace lockgw {

class EndedMessages {
public:
    struct Ended {
        cometspoke::MessageId id = 0;
        Moment at;
    };

    /// `lifetime`: how long an id is kept.
    EndedMessages(std::chrono::microseconds lifetime, std::size_t capacity)
        : lifetime_(lifetime), capacity_(capacity) {}

    /// Adding an id that is already present does not extend its lifetime.
    void add(cometspoke::MessageId id, const Moment& at) {
        remove_expired(at);
        if (!ids_.insert(id).second) return;
        in_order_.push_back({id, at});
        if (in_order_.size() > capacity_) remove_oldest();
    }
    bool contains(cometspoke::MessageId id, const Moment& now) {
        remove_expired(now);
        return ids_.contains(id);
    }
    /// In the order in which they were added.
    const std::deque<Ended>& in_order() const { return in_order_; }
    std::size_t size() const { return in_order_.size(); }

private:
    void remove_expired(const Moment& now) {
        while (!in_order_.empty()) {
            const auto age = elapsed(in_order_.front().at, now);
            if (!age || *age < lifetime_) return;  // an unknown age: the clock was set
            remove_oldest();
        }
    }
    void remove_oldest() {
        ids_.erase(in_order_.front().id);
        in_order_.pop_front();
    }

    std::chrono::microseconds lifetime_;
    std::size_t capacity_;
    std::deque<Ended> in_order_;
    std::unordered_set<cometspoke::MessageId> ids_;
};

}  // namespace lockgw
