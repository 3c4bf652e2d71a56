/// Which targets there are, as far as this forwarder was told: answers of several sources in, one view out.
///
/// No I/O, no clock: times are the caller's and only advance. Deterministic. Not thread-safe.
///
/// What is believed (docs/membership.md has the whole table):
/// - A whole list stands for itself; changes amend the revision that they were asked from.
/// - A drain or departure wins over staleness: heard in a cut-off, doubtful or spoilt answer it holds the
///   target at once, until an answer that was asked for later says what is so.
/// - A revision that goes back in an answer that was asked for after the last one: the agent counts anew, and
///   its whole list is taken. In an answer asked for earlier: it is late, and only its drains are heeded.
/// - A known target whose entry cannot be read is held until one about it can.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "membership/member.hpp"

namespace lockgw {

class View {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Which request an answer belongs to.
    struct Asked {
        std::uint64_t epoch = 0;           ///< of the agent, as epoch() told when it was asked
        std::optional<std::int64_t> from;  ///< the revision that changes were asked from; none: all
        Time sent{};
    };
    /// What an answer came to.
    struct Update {
        bool taken = false;   ///< the answer counts: nothing need be asked again because of it
        bool heeded = false;  ///< `told` says something new
        bool more = false;    ///< another part of the same answer follows at once
        /// In discovery's form, for the core: whole or changes, with targets that are held as Draining.
        TargetList told;
        std::vector<std::string> restarted;  ///< ids whose process is another than before
        std::vector<std::string> remarks;    ///< for the log, one line each
    };
    /// Whether a call may still go to a target: asked right before its first byte.
    enum class Gate { Open, Gone, Draining, Moved, OtherDestination };

    /// The names of zones and kinds that the settings know.
    View(std::set<std::string> zones, std::set<std::string> kinds);

    /// The list that the configuration has: believed until an agent's first whole list, or, where it is the
    /// agent's own up to its revision, amended from there.
    Update known(const TargetList& list, Time now, bool amend = false);
    /// A whole answer of the agent.
    Update answered(const Asked& asked, const TargetList& list, Time now);
    /// A long whole answer, with stops_first(), to be taken in by parts: judged now, and where it counts
    /// go_on() takes the next part for as long as taking(). The caller goes on to the end before it tells the
    /// view anything else. Until then whole() stays as it was.
    Update begin(const Asked& asked, TargetList list, Time now);
    bool taking() const { return taking_ != nullptr; }
    /// What is left of a list that has been taken: where it is large, dropping it takes long, too.
    std::shared_ptr<const void> let_go() { return std::exchange(spent_, nullptr); }
    /// Takes at most `most` entries; what it tells are changes.
    Update go_on(std::size_t most);
    /// What could be read of an answer that was cut off or cannot be read as a whole.
    Update cut_off(const Asked& asked, const TargetList& entries, Time now);
    /// Another agent takes the place of the present one: its revisions are its own, and its whole list is
    /// needed. What is known stays in force meanwhile.
    void new_agent();
    /// The settings know other names now.
    void names(std::set<std::string> zones, std::set<std::string> kinds) {
        zones_ = std::move(zones), kinds_ = std::move(kinds);
    }

    std::uint64_t epoch() const { return epoch_; }
    /// What to ask changes from; none where the whole list is needed.
    std::optional<std::int64_t> ask_from() const { return whole_needed_ ? std::nullopt : revision_; }
    /// An agent has told all targets at least once.
    bool whole() const { return whole_; }
    /// When this agent's last answer that counts came; none before the first.
    std::optional<Time> heard() const { return heard_; }

    Gate gate(const std::string& id, const Tcp::endpoint& address, std::int64_t destination) const;
    /// A target as it is told to the core; none where it is not known.
    std::optional<Target> current(const std::string& id) const;
    /// The view in discovery's form, complete where its agent has told a revision: one that has not cannot be
    /// amended. Null where it is empty.
    nlohmann::json list() const;
    /// When the present condition of a target was told; none where it is not known.
    std::optional<Time> told_at(const std::string& id) const;
    std::size_t size() const { return members_.size(); }

private:
    struct Member {
        Target target;         // as last told by an answer that counts
        bool stopped = false;  // a drain or departure heard in an answer that does not count
        bool held = false;     // its entry cannot be read, or its address is another's now
        Time stopped_at{};     // when that was heard
        Time told{};
        cometspoke::Condition effective() const;
    };
    using Members = std::map<std::string, Member>;
    struct Taking {
        TargetList list;
        Time asked{}, now{};
        std::size_t next = 0, next_bad = 0;  // of its entries; of its bad ones
        struct Named {
            cometspoke::Condition condition;
            bool before;  // it was known before this list
        };
        std::unordered_map<std::string, Named> named;  // so far
        std::optional<std::string> erased_to;          // members up to this id are named, or gone
    };

    std::optional<Update> doubted(const Asked& asked, const TargetList& list, Time now, std::string& remark);
    bool take_entry(std::size_t place, Update& update);
    bool erase_unnamed(std::size_t most, Update& update);
    bool readable(const Target& target, std::string& why) const;
    TargetList sound(const TargetList& list, Update& update) const;
    Update take(const TargetList& list, Time asked, Time now);
    Update heed_stops(const TargetList& list, Time now, std::string remark);
    bool put(const Target& target, Time now, Update& update);
    void hold(const BadEntry& bad, Time now, Update& update);
    void erase_unnamed(const std::set<std::string>& named);
    void hold_others_at(const std::set<std::string>& named_ready, Update& update);
    void release_stops(Time asked, Update& update);
    void erase(Members::iterator member);
    void tell(const Member& member, Update& update) const;

    std::set<std::string> zones_, kinds_;
    Members members_;                                     // those not gone
    std::set<std::pair<Tcp::endpoint, std::string>> at_;  // Ready ones by address: many may share one
    std::set<std::string> stopped_;                       // ids of members that are stopped, or were
    std::uint64_t epoch_ = 0;
    std::optional<std::int64_t> revision_;
    bool whole_needed_ = true, whole_ = false;
    Time accepted_at_{};  // when the last answer that counts came
    Time anew_at_{};      // when the agent was last seen to count anew
    std::optional<Time> heard_;
    std::shared_ptr<Taking> taking_;
    std::shared_ptr<const void> spent_;
};

/// For View::begin(): drains, then departures, then the others, so that what stops a target is taken first
/// and of two entries for one id the one that stops it counts.
void stops_first(TargetList& list);

const char* text_of(View::Gate gate);

}  // namespace lockgw
