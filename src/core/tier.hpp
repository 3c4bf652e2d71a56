/// The watch on the tier, run: notes out each round, notes in, and its view told to those that go by it.
///
/// Off where the operator's file does not turn it on, or where there are no peers: then notes on limits go as
/// they are, one by one, and nobody is watched.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <random>

#include "config/config.hpp"
#include "discovery/peer_socket.hpp"
#include "notes/carrier.hpp"
#include "tier/parts.hpp"
#include "tier/watch.hpp"

namespace lockgw {

class TierWatch {
public:
    struct Standing {
        std::size_t present = 1;  ///< members that are or may be there
        std::size_t rank = 0;     ///< of this one among them
        std::size_t parts = 1;    ///< into how many a limit of all is cut
        bool operator==(const Standing&) const = default;
    };
    /// `changed`: at most once a second, not with each forwarder at the same instant; at once where there are
    /// more parts than before. `limits`: a note of another kind came, for the decision module.
    TierWatch(asio::io_context& io, const Config& config, std::function<void(const Standing&)> changed,
        std::function<void(cometspoke::PeerNote)> limits);

    void start();
    /// By order; while others are still told of it.
    void leave(bool left);
    /// A note of the module's: to one who is there, or, where the watch is off, to whom the module says.
    void tell(const cometspoke::TellPeers& note);
    bool on() const { return watch_.has_value(); }
    std::uint32_t incarnation() const { return watch_ ? watch_->incarnation() : 0; }
    /// Sections of other kinds.
    using Section = std::function<void(tier::Number from, const notes::Section&)>;
    void other(Section heard) { other_ = std::move(heard); }
    /// Those of work.
    void work(Section heard) { work_ = std::move(heard); }
    /// None where the watch is off.
    const tier::Watch* watch() const { return watch_ ? &*watch_ : nullptr; }
    /// One of those, to one member; within the budget, or not at all.
    void say(tier::Number to, notes::Kind kind, const std::string& bytes);
    /// Up to `most` of the others, by chance.
    std::vector<tier::Number> some(std::size_t most);
    /// How long ago a process of this member that was there before the one named was heard of; none: not
    /// since the start of this one.
    std::optional<tier::Time> heard_before(tier::Number who, std::uint32_t incarnation) const;
    /// Members whose process was seen to be another one within this, and those that are gone.
    std::size_t back_of_late(tier::Time span) const;
    /// For people; docs/operators/tier.md.
    Json status() const;

private:
    void round();
    void send(tier::Number peer, const std::string& limits = {});
    void came(const cometspoke::PeerNote& note);
    void say(const std::vector<tier::Watch::Change>& changes);
    void stand();
    void remember();
    std::uint32_t next_incarnation() const;

    const Config& config_;
    std::function<void(const Standing&)> changed_;
    std::function<void(cometspoke::PeerNote)> limits_;
    PeerSocket peers_;
    asio::steady_timer timer_;
    std::mt19937_64 random_;
    std::optional<tier::Watch> watch_;
    std::optional<tier::Parts> parts_;
    notes::Outbox outbox_;
    notes::Inbox inbox_;
    Standing told_;
    std::size_t pause_ = 0;     // rounds until the next change may be told
    std::vector<bool> frames_;  // by peer, whether it speaks in frames
    std::uint64_t unknown_ = 0, spoilt_ = 0;
    Section other_, work_;
    struct Seen {
        std::uint32_t incarnation = 0, before = 0;
        std::optional<tier::Time> heard, heard_before;  // when
        std::optional<tier::Time> anew;                 // when it was seen to be another process
    };
    std::vector<Seen> seen_;  // by member
};

}  // namespace lockgw
