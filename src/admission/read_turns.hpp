/// Whether a connection that has something to read is read at once, or in its turn.
///
/// Most connections say little: they are read as soon as the kernel tells. Who sends more than `burst` beyond
/// `per_s` is heavy for as long as that lasts: its reads wait in a line, taken by deficit round-robin over
/// the owners with their bytes as cost, `turn` bytes in each turn of the loop. So the others wait for one
/// small part of what the heavy send, however many these are; and where nobody else asks, nothing is held
/// back (the line is worked on in every turn). No I/O, no clock, one thread.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

#include "admission/crowd.hpp"
#include "admission/fair_queue.hpp"

namespace lockgw::admission {

using Instant = std::chrono::steady_clock::time_point;
using Span = std::chrono::steady_clock::duration;

struct ReadLimits {
    double per_s = 1024 * 1024;           ///< bytes a second that are no burden
    double burst = 64 * 1024;             ///< and so many at once beside it
    std::size_t turn = 16 * 1024;         ///< bytes of heavy ones read in a turn of the loop
    std::size_t each = 2048;              ///< what a read costs beside its bytes, in bytes
    std::size_t most_waiting = 1u << 20;  ///< heavy ones in line: more than there are connections
};

/// A leaky bucket: what one connection has sent lately.
class ReadMeter {
public:
    void count(std::size_t bytes, const ReadLimits& limits, Instant now) {
        const std::chrono::duration<double> passed = now - std::exchange(at_, now);
        level_ = std::max(0.0, level_ - passed.count() * limits.per_s) + static_cast<double>(bytes);
        last_ = bytes;
    }
    bool heavy(const ReadLimits& limits, Instant now) const {
        const std::chrono::duration<double> passed = now - at_;
        return level_ - passed.count() * limits.per_s > limits.burst;
    }
    /// Bytes of the latest read.
    std::size_t last() const { return last_; }
    void forget_last() { last_ = 0; }

private:
    double level_ = 0;
    std::size_t last_ = 0;
    Instant at_{};
};

/// The heavy ones in line. `Item` names a connection; it stands here once at the most.
template <class Item>
class ReadTurns {
public:
    explicit ReadTurns(const ReadLimits& limits) : limits_(limits), line_(limits.most_waiting) {}

    const ReadLimits& limits() const { return limits_; }
    bool empty() const { return line_.empty(); }
    std::size_t size() const { return line_.size(); }

    /// `expected`: the bytes that it is likely to be read next.
    void push(Owner owner, Item item, std::size_t expected) {
        line_.push(owner, std::move(item), expected + limits_.each, limits_.turn);
    }
    /// Calls `read(item)`, which gives the bytes read, until a turn's worth is read or nobody waits. Items
    /// that are pushed meanwhile are left for the next turn.
    template <class Read>
    void take_turn(Read read) {
        std::size_t spent = 0;
        for (std::size_t left = line_.size(); left > 0 && spent < limits_.turn; --left)
            spent += limits_.each + read(line_.pop(false));
    }

private:
    ReadLimits limits_;
    FairQueue<Item> line_;
};

}  // namespace lockgw::admission
