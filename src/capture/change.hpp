/// What if: a capture with something in it changed, to be decided once more.
///
/// Only what the module was told can be changed, not how the world would have gone on: a call that it makes
/// now and did not make then is never answered. What is told of the time behind the first difference is
/// therefore counted apart. No I/O, no clock.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <set>

#include "capture/replay.hpp"

namespace lockgw::capture {

struct Change {
    std::function<void(cometspoke::Settings&)> settings;  ///< may be empty
    /// Peers whose notes never came; all of them with `no_notes`.
    std::set<std::size_t> notes_lost;
    bool no_notes = false;
    /// How much later answers of an endpoint come. One that would come after the longest wait for it is none.
    std::map<cometspoke::EndpointId, Time> answers_later;

    bool events() const { return no_notes || !notes_lost.empty() || !answers_later.empty(); }
};

/// The segment with the changed events; its actions stay those that were captured. An answer that would come
/// behind the last batch is left out.
Segment changed(const Segment& segment, const Change& change);

/// How many actions of each kind were decided on.
struct Tally {
    static constexpr std::size_t kKinds = std::variant_size_v<cometspoke::Action>;
    std::array<std::uint64_t, kKinds> then{}, now{};
    std::size_t batches = 0;
};
const char* kind_of(std::size_t action);  ///< "sent", "refused", ...

struct WhatIf {
    std::size_t batches = 0;              ///< decided once more
    std::vector<Difference> differences;  ///< the first ones
    std::size_t different = 0;            ///< batches in all
    Tally before, behind;                 ///< the first difference; its batch is in `behind`
    std::optional<std::string> stopped;   ///< what the module threw
};
/// Decides all once more, also behind differences; keeps the first `most` of them.
WhatIf what_if(const Segment& segment, const Change& change, std::size_t most = 1,
    const std::function<void(std::size_t, std::size_t)>& progress = {});

}  // namespace lockgw::capture
