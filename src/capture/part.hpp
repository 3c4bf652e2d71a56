/// Parts of a capture: segments joined to one, the part of one that matters, and what may leave the house.
///
/// A part begins with what the module knew there, found by deciding all before it once more. No I/O, no
/// clock.
#pragma once

#include <cstdint>
#include <vector>

#include "capture/story.hpp"

namespace lockgw::capture {

/// Places of batches in a segment: [first, last).
struct Part {
    std::size_t first = 0, last = 0;
    bool empty() const { return first >= last; }
};

/// Segments that follow one another without a gap, as one; in the order given. A new one begins behind a
/// batch that is missing, and with another process. One whose head cannot be read is left out.
std::vector<Segment> joined(std::vector<Segment> segments);

/// Batches decided at these moments of the system clock (milliseconds, both included).
Part part_between(const Segment& segment, std::int64_t from, std::int64_t to);
/// From the first to the last batch that is about the subject. Empty where none is.
Part part_about(const Segment& segment, const Subject& subject);

/// Throws BadCapture where this build decides otherwise before the part: what the module knew there is not
/// known then; or where the part is empty.
Segment cut(const Segment& segment, Part part);

/// Names of endpoints, tenants and classes become numbers. Ids, keys, moments and waits stay: decisions hang
/// on them.
void hide_names(Segment& segment);

}  // namespace lockgw::capture
