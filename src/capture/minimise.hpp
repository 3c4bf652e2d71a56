/// The smallest capture that still shows a chosen decision, by delta debugging (Zeller and Hildebrandt,
/// "Simplifying and Isolating Failure-Inducing Input", IEEE TSE 28(2), 2002: ddmin).
///
/// Left out in turn, as long as the decision stays: what the module knew at the beginning, all about a
/// message, about an endpoint, batches, single events. What is left is decided once more, so that the result
/// is a capture of its own: a regression test is a replay of it. No I/O, no clock.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "capture/replay.hpp"

namespace lockgw::capture {

/// A decision: an action of a batch.
struct Chosen {
    std::size_t place = 0;
    cometspoke::Action action;
};
/// The first action whose words (capture/story.hpp) have `words` in them. None where there is none.
std::optional<Chosen> chosen(const Segment& segment, const std::string& words);

struct Minimal {
    Segment segment;             ///< ends with the batch of the decision
    bool knows_nothing = false;  ///< it begins with a module that knows nothing but its settings
    std::size_t trials = 0;
    std::size_t events_before = 0, events = 0;
};
/// At most `most` trials; what is found until then holds. `progress`: trials, events that are left.
/// `also`: decisions that must be met on the way, for a decision may have causes that were not meant: a
/// message is given up as well where no list was ever told. `changes`: only what also loses the decision with
/// these settings counts (a test of what they decide). Throws BadCapture where this build does not decide so
/// at all.
Minimal minimal(const Segment& segment, const Chosen& decision, std::size_t most = 4000,
    const std::vector<cometspoke::Action>& also = {},
    const std::function<void(cometspoke::Settings&)>& changes = {},
    const std::function<void(std::size_t, std::size_t)>& progress = {});

}  // namespace lockgw::capture
