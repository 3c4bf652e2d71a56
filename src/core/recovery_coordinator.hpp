/// A forwarder's coming back, carried out: what was learned is written down and believed by its age, told
/// waits are held, peers are asked, and what is owed is taken up at a pace. The decisions are src/recovery's.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "core/tier.hpp"
#include "discovery/target_registry.hpp"
#include "notes/carrier.hpp"
#include "recovery/backlog_pacing.hpp"
#include "recovery/learning.hpp"
#include "recovery/peer_state_transfer.hpp"
#include "recovery/snapshot_validity.hpp"
#include "store/journal.hpp"

namespace lockgw {

/// Of the folder's room, for snapshots.
std::size_t snapshot_room(std::size_t disk_bytes);

class RecoveryCoordinator {
public:
    struct Parts {
        const Config& config;
        cometspoke::Sender& sender;
        Journal& journal;
        const TargetRegistry& directory;
        TierWatch& tier;
    };
    /// `due`: something is to be taken up, or the asking is over: a turn is wanted.
    /// and `tell` the module something, before the next decision.
    using Tell = std::function<void(const cometspoke::Event&)>;
    RecoveryCoordinator(asio::io_context& io, Parts parts, Tell tell, std::function<void()> due);

    /// Reads what the process before left. `handed_over`: that one told all it knew by itself, and others run
    /// on: only waits are taken from the folder, and nobody is asked. `orders`: there are any now.
    void start(bool handed_over, bool orders);
    /// To be called after each list: waits and facts of targets that were not listed before are told.
    void listed();
    /// A target has told how long it is to be left alone; before anything follows from it.
    void wait_told(cometspoke::EndpointId endpoint, std::int64_t destination, cometspoke::Time span);

    /// What the journal owes; those that are to be taken up come by take_up().
    void owe(std::vector<recovery::Owed> owed);
    std::vector<MessageId> take_up(cometspoke::Time now);
    /// Of one that take_up() named: it cannot be in time any more.
    bool hopeless(MessageId id) const { return backlog_.hopeless(id); }
    /// Nothing is held back any more.
    void hurry() { hurry_ = true; }
    void outcome(const cometspoke::OutcomeEvent& event);
    void over(MessageId id, bool served);

    /// It serves as before: nothing that it owed waits any more.
    bool full() const { return !owes_ && !asking(); }
    /// Nothing may be sent yet: operators' orders may be known to peers alone.
    bool asking() const { return peer_state_ && !asked_; }
    bool orders_lost() const { return orders_lost_; }
    const recovery::PeerStateTransfer::Taken& taken() const { return taken_; }
    /// How long ago the folder was last written, where that is older than the process's end: it is a copy.
    const std::optional<cometspoke::Time>& folder_older() const { return folder_older_; }
    /// What peers are told of targets.
    std::function<std::vector<recovery::Said>()> tells;

    /// Writes what was learned now, if it may.
    void save();
    Json status() const;

private:
    void look();
    void read();
    void tell_lost(bool orders);
    void ask();
    void heard(tier::Number from, const notes::Section& section);
    void answer(tier::Number from, const recovery::Question& question);
    std::size_t back_of_late(cometspoke::Time now);
    void asking_over();
    void wake();
    bool write(const std::string& bytes);
    recovery::Snapshot present(cometspoke::Time now);

    Parts parts_;
    Tell tell_;
    std::function<void()> due_;
    asio::steady_timer look_, wake_, ask_;
    std::mt19937_64 random_;
    notes::Allowance bytes_;
    cometspoke::Time started_;
    recovery::ValidFacts valid_facts_;
    recovery::Snapshot pending_;                     // of targets that are not listed yet
    std::map<std::string, cometspoke::Time> waits_;  // the same; until when
    std::optional<Moment> mark_;                     // of the last process's last snapshot
    std::optional<cometspoke::Time> folder_older_, full_after_;
    std::optional<recovery::PeerStateTransfer> peer_state_;
    recovery::PeerStateTransfer::Taken taken_;
    recovery::BacklogPacing backlog_;
    std::deque<cometspoke::Time> questions_;  // when peers asked
    bool asked_ = false, hurry_ = false, owes_ = false, orders_lost_ = false, handed_over_ = false;
    bool journal_lost_ = false, learned_lost_ = false, empty_ = false;
    std::uint64_t gist_ = 0;
    cometspoke::Time written_at_{0};
    std::size_t learned_ = 0, waits_held_ = 0, writes_ = 0, failed_writes_ = 0, late_answers_ = 0;
};

}  // namespace lockgw
