/// Carries out the recovery after a restart: reads and writes the snapshot of learned facts, holds back calls
/// until a Retry-After of the earlier process has passed, asks peers for their state and releases the backlog
/// at a limited pace. The decisions are made in src/recovery.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "base/timer.hpp"
#include "core/cluster_membership.hpp"
#include "discovery/target_registry.hpp"
#include "notes/carrier.hpp"
#include "recovery/backlog_pacing.hpp"
#include "recovery/learning.hpp"
#include "recovery/peer_state_transfer.hpp"
#include "recovery/snapshot_validity.hpp"
#include "store/journal.hpp"

namespace lockgw {

/// Bytes reserved for snapshots out of `disk_bytes`, the limit of the state folder.
std::size_t snapshot_budget(std::size_t disk_bytes);

class RecoveryCoordinator {
public:
    struct Dependencies {
        const Config& config;
        cometspoke::Sender& sender;
        Journal& journal;
        const TargetRegistry& directory;
        ClusterMembership& cluster;
    };
    /// Passes an event to the decision module before its next decision.
    using EventSink = std::function<void(const cometspoke::Event&)>;
    /// `on_due`: part of the backlog can be released, or the peers have answered; the caller runs a turn.
    RecoveryCoordinator(
        asio::io_context& io, Dependencies dependencies, EventSink send_event, std::function<void()> on_due);

    /// Reads what the earlier process left. `handed_over`: that process passed on its own state and its peers
    /// run on, so only waits are read from the folder and no peer is asked. `orders`: operators' orders are
    /// present.
    void start(bool handed_over, bool orders);
    /// To be called after each target list: passes on the waits and facts of newly listed targets.
    void apply_list();
    /// A target answered with a Retry-After of `span`. To be called before anything follows from the answer.
    void record_retry_after(cometspoke::EndpointId endpoint, std::int64_t destination, cometspoke::Time span);

    /// Sets the backlog: the messages that the journal holds. release_backlog() returns them over time.
    void set_backlog(std::vector<recovery::Owed> backlog);
    std::vector<MessageId> release_backlog(cometspoke::Time now);
    /// Of a message from release_backlog(): returns whether it can no longer be delivered before its
    /// deadline.
    bool cannot_meet_deadline(MessageId id) const { return backlog_.hopeless(id); }
    /// Releases the rest of the backlog without pacing.
    void stop_pacing() { pacing_stopped_ = true; }
    void on_outcome(const cometspoke::OutcomeEvent& event);
    void on_message_ended(MessageId id, bool served);

    /// Returns whether recovery is complete: no message of the backlog is held back and no peer is asked.
    bool complete() const { return !backlog_pending_ && !awaiting_peers(); }
    /// Returns whether peers have yet to answer. Nothing may be sent until then if operators' orders were
    /// lost, since only the peers may know them.
    bool awaiting_peers() const { return peer_state_ && !peers_done_; }
    bool orders_lost() const { return orders_lost_; }
    const recovery::PeerStateTransfer::Taken& peer_facts() const { return peer_facts_; }
    /// Age of the last write to the folder, if that is older than the end of the earlier process: the folder
    /// is a restored copy.
    const std::optional<cometspoke::Time>& stale_folder_age() const { return stale_folder_age_; }
    /// Supplies the facts on targets that peers are told.
    std::function<std::vector<recovery::Said>()> facts_for_peers;

    /// Writes a snapshot now if it has changed and the budget allows it.
    void save_snapshot();
    Json status() const;

private:
    void save_periodically();
    void read_snapshot();
    void log_lost_state(bool orders);
    void ask_peers();
    void receive(tier::Number from, const notes::Section& section);
    void answer(tier::Number from, const recovery::Question& question);
    std::size_t recently_restarted(cometspoke::Time now);
    void finish_asking();
    void schedule_release();
    bool write_file(const std::string& bytes);
    recovery::Snapshot current_facts(cometspoke::Time now);

    Dependencies dependencies_;
    EventSink send_event_;
    std::function<void()> on_due_;
    Timer save_timer_, release_timer_, peer_timer_;
    std::mt19937_64 random_;
    notes::Allowance write_budget_;
    cometspoke::Time started_;
    recovery::ValidFacts valid_facts_;
    recovery::Snapshot unlisted_facts_;                       // of targets that are not listed yet
    std::map<std::string, cometspoke::Time> unlisted_waits_;  // the same: ends of waits
    std::optional<Moment> snapshot_time_;                     // last snapshot of the earlier process
    std::optional<cometspoke::Time> stale_folder_age_, complete_after_;
    std::optional<recovery::PeerStateTransfer> peer_state_;
    recovery::PeerStateTransfer::Taken peer_facts_;
    recovery::BacklogPacing backlog_;
    std::deque<cometspoke::Time> question_times_;  // when peers asked this process
    bool peers_done_ = false, pacing_stopped_ = false, backlog_pending_ = false, orders_lost_ = false,
         handed_over_ = false;
    bool journal_lost_ = false, snapshot_lost_ = false, folder_empty_ = false;
    std::uint64_t written_digest_ = 0;
    cometspoke::Time written_at_{0};
    std::size_t learned_ = 0, waits_applied_ = 0, writes_ = 0, failed_writes_ = 0, late_answers_ = 0;
};

}  // namespace lockgw
