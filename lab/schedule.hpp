/// Steps by simulated time: those of one instant in the order in which they were planned. Threads: one.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>

namespace lockgw::lab {

template <class Instant>
class Schedule {
public:
    /// That of the step that runs, or of the last one.
    Instant now() const { return now_; }
    void at(Instant when, std::function<void()> step) { steps_.push({when, ++order_, std::move(step)}); }
    /// Until none is left, or the next one is after `end`.
    void run(Instant end) {
        while (!steps_.empty() && !(end < steps_.top().at)) {
            auto next = std::move(const_cast<Step&>(steps_.top()));
            steps_.pop();
            now_ = next.at;
            next.what();
        }
    }

private:
    struct Step {
        Instant at;
        std::uint64_t order;
        std::function<void()> what;
        bool operator<(const Step& other) const {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    std::priority_queue<Step> steps_;
    Instant now_{};
    std::uint64_t order_ = 0;
};

}  // namespace lockgw::lab
