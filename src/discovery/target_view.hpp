/// The current view of the targets, combined from the answers of the discovery agent and the configured list.
///
/// No I/O and no clock: the caller passes the time, which never goes back. Deterministic. Not thread-safe.
///
/// Lists and revisions: the agent numbers the states of its data with a growing revision. A full list
/// replaces the view; changes update it from the revision that they were requested from. A list stays in
/// force until a later answer replaces or changes it, however long that takes, also while the agent does not
/// answer.
///
/// Invariants (docs/membership.md has the complete table):
/// - A drain or departure takes precedence over stale data. In an answer that is cut off, rejected or partly
///   invalid it stops the target at once, also one that is not listed yet: an answer that was created before
///   may arrive after it and list the target as Ready. The stop lasts until an answer that was requested
///   later is accepted, since that one contains whatever the earlier one may have said.
/// - A lower revision in an answer that was requested after the last accepted one means that the agent has
///   reset its revisions, and its full list is accepted. In an answer requested earlier it means that the
///   answer is late: only its drains and departures are applied.
/// - A known target is suspended when its entry cannot be read, or its address is listed for another target,
///   until an entry of its own is accepted.
/// - A stopped or suspended target is reported as Draining: it gets no new calls.
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

#include "discovery/target_list.hpp"

namespace lockgw {

class TargetView {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Stops that are remembered for targets that are not listed. Further ones are logged and ignored, which
    /// bounds the memory that an agent without an acceptable answer can take.
    static constexpr std::size_t kMaxUnlistedStops = 10'000;

    /// The request that an answer belongs to.
    struct ListRequest {
        std::uint64_t agent_epoch = 0;              ///< agent_epoch() when the request was sent
        std::optional<std::int64_t> from_revision;  ///< base of the requested changes; none: the full list
        Time sent_at{};
    };
    /// The result of an answer.
    struct Update {
        bool accepted = false;      ///< the answer counts, so the request need not be repeated
        bool changed = false;       ///< `list` is to be passed on
        bool more_follows = false;  ///< this is a batch of an answer, and another one follows at once
        /// A full list or changes for the core. Stopped and suspended targets are Draining in it.
        TargetList list;
        std::vector<std::string> restarted_ids;  ///< targets that run as another process than before
        std::vector<std::string> warnings;       ///< for the log, one line each
    };
    /// Whether a call may still be sent to a target; checked immediately before its first byte.
    enum class SendCheck { Allowed, Gone, Draining, Moved, OtherDestination };

    /// The names of the zones and kinds in the settings. An entry with another name is invalid.
    TargetView(std::set<std::string> zones, std::set<std::string> kinds);

    /// Applies the configured list. It is in force until the first full list of an agent. If `amendable` is
    /// set and it is a valid full list, it counts as the agent's own at its revision, and only changes are
    /// requested.
    Update apply_known_list(const TargetList& list, Time now, bool amendable = false);
    /// Applies a complete answer of the agent.
    Update apply_answer(const ListRequest& request, const TargetList& list, Time now);
    /// Starts to apply a long full list in batches, so that the event loop is not blocked. `list` must be
    /// ordered by sort_stops_first(). The list is accepted or rejected here. If it is accepted, call
    /// apply_batch() while batches_pending(), and nothing else that changes the view until then.
    /// has_full_list() changes with the last batch.
    Update begin_batches(const ListRequest& request, TargetList list, Time now);
    bool batches_pending() const { return batched_list_ != nullptr; }
    /// The memory of the last list that was applied in batches, so that the caller can free it elsewhere:
    /// freeing a large list takes long.
    std::shared_ptr<const void> release_finished_list() { return std::exchange(finished_list_, nullptr); }
    /// Applies at most `max_entries` entries. The result contains changes, never a full list.
    Update apply_batch(std::size_t max_entries);
    /// Applies the drains and departures of an answer that was cut off or cannot be parsed as a whole.
    Update apply_partial_answer(const ListRequest& request, const TargetList& entries, Time now);
    /// Another agent replaces the present one. Its revisions are independent, so its full list is needed. The
    /// view stays in force until then.
    void switch_agent();
    /// Replaces the names of the zones and kinds.
    void set_known_names(std::set<std::string> zones, std::set<std::string> kinds) {
        zones_ = std::move(zones), kinds_ = std::move(kinds);
    }

    /// Counts the agents. An answer to a request of an earlier epoch is ignored.
    std::uint64_t agent_epoch() const { return agent_epoch_; }
    /// The revision to request changes from; none if the full list is needed.
    std::optional<std::int64_t> poll_from_revision() const {
        return full_list_needed_ ? std::nullopt : revision_;
    }
    /// True if an agent has listed all targets at least once.
    bool has_full_list() const { return has_full_list_; }
    /// When the last accepted answer of this agent came; none before the first.
    std::optional<Time> last_accepted_at() const { return last_accepted_at_; }

    SendCheck check_send(const std::string& id, const Tcp::endpoint& address, std::int64_t destination) const;
    /// A target with the condition that is passed to the core; none if it is not listed.
    std::optional<Target> find(const std::string& id) const;
    /// The view in the format of the agent's lists, or null if it is empty. `complete` is set only if the
    /// present agent has given a revision: without one, no changes can be requested from it.
    nlohmann::json list_json() const;
    /// When the present condition of a target was first received; none if it is not listed.
    std::optional<Time> condition_since(const std::string& id) const;
    std::size_t size() const { return members_.size(); }

private:
    struct Member {
        Target target;           // from the last accepted answer that names it
        bool stopped = false;    // there is a stop in `stops_`
        bool suspended = false;  // its entry cannot be read, or its address belongs to another target now
        Time condition_since{};
        cometspoke::Condition effective_condition() const;
    };
    using Members = std::map<std::string, Member>;
    struct BatchedList {
        TargetList list;
        Time requested_at{}, received_at{};
        std::size_t next_target = 0, next_invalid = 0;  // indices into the list
        struct Listed {
            cometspoke::Condition condition;
            bool known_before;  // the view had the target before this list
        };
        std::unordered_map<std::string, Listed> listed;  // entries applied so far, by id
        std::optional<std::string> checked_up_to;        // members up to this id were checked for removal
    };

    std::optional<Update> check_revision(
        const ListRequest& request, const TargetList& list, Time now, std::string& reset_warning);
    bool apply_entry(std::size_t index, Update& update);
    bool erase_unlisted(std::size_t max_entries, Update& update);
    bool has_known_names(const Target& target, std::string& error) const;
    TargetList normalized(const TargetList& list, Update& update) const;
    Update apply_list(const TargetList& list, Time requested_at, Time now);
    Update apply_stops_only(const TargetList& list, Time now, std::string warning);
    bool upsert(const Target& target, Time now, Update& update);
    void suspend(const InvalidEntry& entry, Time now, Update& update);
    void erase_unlisted(const std::set<std::string>& listed);
    void suspend_others_at_address(const std::set<std::string>& listed_ready, Update& update);
    void clear_superseded_stops(Time requested_at, Update& update);
    bool remember_stop(const std::string& id, Time now, Update& update);
    void erase(Members::iterator member);
    void append_target(const Member& member, Update& update) const;

    std::set<std::string> zones_, kinds_;
    Members members_;  // all targets except those that are Gone
    // Ready targets by address; several may have the same one
    std::set<std::pair<Tcp::endpoint, std::string>> ready_by_address_;
    // when a drain or departure was last read in an answer that was not accepted, by id, listed or not
    std::map<std::string, Time> stops_;
    std::uint64_t agent_epoch_ = 0;
    std::optional<std::int64_t> revision_;
    bool full_list_needed_ = true, has_full_list_ = false;
    Time last_answer_at_{};     // when the last accepted answer of any agent came
    Time revision_reset_at_{};  // when the agent last reset its revisions
    std::optional<Time> last_accepted_at_;
    std::shared_ptr<BatchedList> batched_list_;
    std::shared_ptr<const void> finished_list_;
};

/// Orders the entries for TargetView::begin_batches(): drains, then departures, then the rest. Stops are thus
/// applied first, and of two entries for one id the stopping one takes effect.
void sort_stops_first(TargetList& list);

const char* text_of(TargetView::SendCheck check);

}  // namespace lockgw
