/// How fast a restarted forwarder sends the backlog that its journal held.
///
/// The start is drawn at random from a span that grows with the number of forwarders that restarted together.
/// From then on a window bounds the messages that are out and a rate bounds those released per second. Both
/// grow while messages are served, as TCP's congestion window does, and both are halved by a refusal. New
/// messages do not wait for the backlog. The most valuable messages go first and, among equals, the most
/// urgent. What only waits for its final status (deadline or window of repeats over) is released at once.
/// Invariants (tests/backlog_pacing_test.cpp):
///  1. Each message is released exactly once: at the latest `all` after the start and `margin` before its
///     deadline, whatever hangs or refuses. The decision module handles limits and outages from there on.
///  2. Of the released messages no more are out than the window allows, and half of it to one destination.
///  3. Of an ordered line an earlier message is never released after a later one, unless the latest moment of
///     the later one has come.
///  4. Before the drawn start only messages that wait for their final status are released.
///  5. No more are released per second than the rate allows. It doubles in each span without a refusal, up to
///     the rate that releases the whole backlog within `drained`: a short backlog needs no higher one, and
///     the peaks of forwarders that restarted together add up.
///
/// No I/O, no clock. Deterministic. One thread.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cometspoke/sender.hpp"

namespace lockgw::recovery {

using cometspoke::DestinationId;
using cometspoke::MessageId;
using cometspoke::Time;

struct Owed {
    MessageId id = 0;
    DestinationId destination = 0;
    double worth = 1;                   ///< if it were served now
    Time left{0};                       ///< until its end
    std::optional<std::uint64_t> line;  ///< those of one go in the order given
    bool over = false;                  ///< whatever happens, it is not sent any more
};

struct BacklogPacingSettings {
    std::size_t together = 1;  ///< forwarders that came back with this one, or may have
    std::size_t first = 2;     ///< out at first
    std::size_t most = 32;     ///< and at most
    Time usual{100'000};       ///< to answer
    Time each{10'000};         ///< of the span, for each that came back
    Time longest{500'000};     ///< the span, at most
    double per_s = 6;          ///< released at first
    Time drained{1'600'000};   ///< the rate grows no further than what releases the whole backlog within this
    Time unmoved{200'000};     ///< with nothing refused twice as many may be out, and go
    Time all{2'000'000};       ///< after the begin nothing is held any more,
    Time margin{1'500'000};    ///< nor what has so little time left
};

class BacklogPacing {
public:
    enum class Phase { Waiting, Releasing, Full };

    BacklogPacing() = default;
    /// `draw`: 0 to 1, by chance: where in the span it begins.
    BacklogPacing(const BacklogPacingSettings& settings, std::vector<Owed> owed, double draw, Time now);

    /// So many came back together, as is known by now: it begins earlier where they are fewer than was
    /// feared. Nothing changes once it has begun.
    void together(std::size_t count, Time now);
    /// Those to be taken up now, in this order. To be called again after each end, and at next().
    /// `hurry`: all that is left, whatever it costs.
    std::vector<MessageId> release(Time now, bool hurry = false);
    /// An attempt at one that was released was turned away for a limit, or the message is over.
    void turned_away(MessageId id, Time now);
    void over(MessageId id, bool served);
    /// When release() has something by itself; none: only after an end, or never.
    std::optional<Time> next() const;

    Phase phase() const;
    /// It has less time left than an answer usually takes: it is released at once, to be ended.
    bool hopeless(MessageId id) const { return hopeless_.contains(id); }
    bool holds(MessageId id) const { return waits_.contains(id); }
    std::size_t waiting() const { return waits_.size(); }
    std::size_t out() const { return out_.size(); }
    std::size_t window() const { return static_cast<std::size_t>(window_); }
    std::size_t owed() const { return all_; }
    std::size_t refusals() const { return refusals_; }
    Time begins() const { return begins_; }

private:
    using Group = std::pair<bool, std::uint64_t>;  // of a line, or of a destination's messages without one
    struct Waiting {
        Owed owed;
        std::size_t rank = 0;
    };
    Group group_of(const Owed& one) const;
    void plan();
    void step(Time now);
    void stand(const Group& group);

    BacklogPacingSettings settings_;
    std::map<MessageId, Waiting> waits_;
    std::map<Group, std::deque<MessageId>> groups_;  // each in order; some may have been released already
    std::set<std::pair<std::size_t, Group>> ready_;  // by the rank of their first
    std::map<DestinationId, std::vector<Group>> parked_;  // their first one's destination has its part out
    std::set<MessageId> hopeless_;
    std::vector<MessageId> over_;  // of those that only wait for their end
    std::map<Time, std::vector<MessageId>> latest_;
    std::map<MessageId, DestinationId> out_;
    std::map<DestinationId, std::size_t> out_of_;
    std::size_t all_ = 0, refusals_ = 0;
    std::size_t stood_ = 0;  // the window at which the parked ones were looked at
    double window_ = 0, per_s_ = 1;
    double most_per_s_ = 1;
    Time tag_{0};           // when the next one may be released
    bool starting_ = true;  // no refusal yet
    bool begun_ = false;
    Time begins_{0}, moved_{0}, planned_{0};
    double draw_ = 0;
};

const char* text_of(BacklogPacing::Phase phase);

}  // namespace lockgw::recovery
