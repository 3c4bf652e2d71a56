/// A segment as a picture: time from left to right, a row for each destination (what it held, refusals,
/// messages given up) and one for each endpoint (its health, drains and told waits as bands, calls by how
/// they ended).
///
/// Drawn from a replay, so that what the module knew is in it. No I/O, no clock.
#pragma once

#include <string>

#include "capture/story.hpp"

namespace lockgw::capture {

struct TimelineWish {
    Subject subject;             ///< none set: the destinations with most events
    std::size_t most_rows = 60;  ///< endpoints and destinations together
};
/// An SVG document. Bounded by the rows and 1,000 columns, however long the segment is. A batch that this
/// build decides otherwise is marked, and ends it.
std::string timeline_of(const Segment& segment, const TimelineWish& wish = {});

}  // namespace lockgw::capture
