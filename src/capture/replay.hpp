/// A captured segment, decided once more: the same module is told the same, batch by batch.
///
/// Where a build decides otherwise than the one that was captured, that is a difference, not an error: it is
/// told with what both decided, and the replay can go on by what was captured. No I/O, no clock.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "capture/segment.hpp"

namespace lockgw::capture {

/// One batch in which this build decided otherwise.
struct Difference {
    std::size_t place = 0;  ///< of the batch in the segment
    std::uint64_t number = 0;
    Time at{0};
    std::vector<cometspoke::Action> then, now;
    std::string failed;  ///< what the module threw, if it did
};

class Replay {
public:
    /// `segment` outlives it. `change`: made to the settings first (what-if). Throws BadCapture where there
    /// is no head, or its memory is of a module with other members.
    explicit Replay(const Segment& segment, const std::function<void(cometspoke::Settings&)>& change = {});

    /// Whether another batch can be trusted: those behind a gap cannot.
    bool more() const { return place_ < most_; }
    /// Decides the next one. The difference, if there is one.
    std::optional<Difference> step();
    /// The place of the next one.
    std::size_t place() const { return place_; }
    /// What the module knows now, before the next one.
    cometspoke::policy::State& state() { return module_.state(); }
    cometspoke::Sender& module() { return module_; }

private:
    const Segment& segment_;
    std::size_t place_ = 0, most_ = 0;
    cometspoke::Sender module_;
};

/// The first difference, or none. `progress`: batches done, of how many; now and then.
std::optional<Difference> first_difference(const Segment& segment,
    const std::function<void(cometspoke::Settings&)>& change = {},
    const std::function<void(std::size_t, std::size_t)>& progress = {});

}  // namespace lockgw::capture
