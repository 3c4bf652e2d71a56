/// Why did it do that: what happened to one message, one endpoint or one destination, in plain words.
///
/// Told from a replay, so that what the module knew at each moment stands beside what it was told and did.
/// No I/O, no clock.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "capture/replay.hpp"

namespace lockgw::capture {

/// What a story is about; one of them is set.
struct Subject {
    std::optional<cometspoke::MessageId> message;
    std::optional<cometspoke::EndpointId> endpoint;
    std::optional<cometspoke::DestinationId> destination;
};
/// 16 hex digits.
std::optional<cometspoke::MessageId> message_of(const std::string& text);
/// 16 hex digits: a message; "destination N" or a whole number: a destination; the name of an endpoint, or
/// "endpoint N". None where the segment knows no such thing.
std::optional<Subject> subject_of(const Segment& segment, const std::string& text);

struct Line {
    std::uint64_t batch = 0;
    std::int64_t wall_ms = 0;
    std::string text;
};

/// At most `most` lines; the last one says so where there were more.
std::vector<Line> story_of(const Segment& segment, const Subject& subject, std::size_t most = 10'000);

using NameOf = std::function<std::string(cometspoke::EndpointId)>;
/// What the module knows between two batches, in lines: of all destinations that hold something or have an
/// endpoint which is not well, or of the subject alone. At most `most`; the last one says so where there are
/// more.
std::vector<std::string> known_then(cometspoke::policy::State& state, Time now, const NameOf& name_of,
    const Subject& subject = {}, std::size_t most = 200);

/// Words for what both sides say; `name_of`: of an endpoint.
NameOf names_of(const Segment& segment);
std::string text_of(const cometspoke::Event& event, const Head& head, const NameOf& name_of);
std::string text_of(const cometspoke::Action& action, const NameOf& name_of);
/// The moment on the system clock.
std::int64_t wall_of(const Head& head, Time at);

}  // namespace lockgw::capture
