/// Random traffic to a module, written down as a segment.
#pragma once

#include "capture/memory.hpp"
#include "capture/segment.hpp"
#include "random_traffic.hpp"

namespace cometspoke::testing {

/// A module whose whole life is written down, from a batch in the middle on.
class WrittenDown {
public:
    WrittenDown(const Settings& settings, std::uint64_t seed) : module_(settings, seed) {}
    void observe(const Event& event, Time now) {
        module_.observe(event, now);
        if (!bytes_.empty()) batch_.event(event, now);
    }
    std::vector<Action> decide(Time now) {
        auto actions = module_.decide(now);
        if (!bytes_.empty())
            bytes_ += lockgw::capture::frame(
                lockgw::capture::RecordKind::Batch, batch_.finish(number_, now, actions));
        if (++number_ == kFrom) {
            lockgw::capture::Head head;
            head.first = number_;
            head.steady = now;
            head.memory = lockgw::capture::memory_of(module_);
            bytes_ = lockgw::capture::magic() + lockgw::capture::frame(lockgw::capture::RecordKind::Head,
                                                    lockgw::capture::bytes_of(head));
        }
        return actions;
    }
    const std::string& bytes() const { return bytes_; }

private:
    static constexpr std::uint64_t kFrom = 40;
    Sender module_;
    std::string bytes_;
    lockgw::capture::BatchWriter batch_;
    std::uint64_t number_ = 0;
};

/// A segment of so many batches.
inline lockgw::capture::Segment written_down(const TrafficVariant& variant, std::uint64_t seed, int batches) {
    DifferentialRun<WrittenDown> both(variant, seed);
    std::string told;
    if (!both.run(batches, told)) throw std::runtime_error(told);
    return lockgw::capture::segment_of(both.other_module().bytes());
}

}  // namespace cometspoke::testing
