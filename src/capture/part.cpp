#include "capture/part.hpp"

#include <algorithm>
#include <iterator>
#include <set>

#include "capture/archive.hpp"
#include "capture/memory.hpp"

namespace lockgw::capture {

namespace {

bool follows(const Segment& before, const Segment& next) {
    return next.head->process == before.head->process &&
           next.head->first == before.head->first + before.batches.size();
}

void append(Segment& to, Segment next) {
    std::set<cometspoke::EndpointId> known;
    for (const Named& one : to.names) known.insert(one.endpoint);
    for (Named& one : next.names)
        if (known.insert(one.endpoint).second) to.names.push_back(std::move(one));
    std::move(next.batches.begin(), next.batches.end(), std::back_inserter(to.batches));
}

}  // namespace

std::vector<Segment> joined(std::vector<Segment> segments) {
    std::vector<Segment> all;
    for (Segment& next : segments) {
        if (!next.head) continue;
        next.batches.resize(next.whole());
        if (!all.empty() && follows(all.back(), next))
            append(all.back(), std::move(next));
        else
            all.push_back(std::move(next));
    }
    return all;
}

Part part_between(const Segment& segment, std::int64_t from, std::int64_t to) {
    Part part{0, segment.whole()};
    const auto at = [&](std::size_t place) { return wall_of(*segment.head, segment.batches[place].decided); };
    while (!part.empty() && at(part.first) < from) ++part.first;
    while (!part.empty() && at(part.last - 1) > to) --part.last;
    return part;
}

Part part_about(const Segment& segment, const Subject& subject) {
    const std::vector<Line> lines = story_of(segment, subject, SIZE_MAX);
    if (lines.empty()) return {};
    const auto [least, most] = std::minmax_element(
        lines.begin(), lines.end(), [](const Line& a, const Line& b) { return a.batch < b.batch; });
    return {least->batch - segment.head->first, most->batch - segment.head->first + 1};
}

Segment cut(const Segment& segment, Part part) {
    part.last = std::min(part.last, segment.whole());
    if (part.empty()) throw BadCapture("no batch of it is in that part");
    Segment out;
    Replay replay(segment);
    out.head = *segment.head;
    while (replay.place() < part.first)
        if (const auto difference = replay.step())
            throw BadCapture("this build decides otherwise in batch " + std::to_string(difference->number) +
                             ", ahead of the part: what was known at its beginning is not known");
    out.head->memory = memory_of(replay.module());
    out.head->first += part.first;
    out.head->why = "cut out";
    out.names = segment.names;
    out.batches.assign(segment.batches.begin() + static_cast<std::ptrdiff_t>(part.first),
        segment.batches.begin() + static_cast<std::ptrdiff_t>(part.last));
    return out;
}

void hide_names(Segment& segment) {
    segment.names.clear();
    if (!segment.head) return;
    for (auto* names : {&segment.head->classes, &segment.head->tenants, &segment.head->kinds}) names->clear();
}

}  // namespace lockgw::capture
