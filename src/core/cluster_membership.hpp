/// Runs the failure detector among the forwarders: sends and receives gossip each round and reports changes
/// of the cluster to the components that depend on them.
///
/// Disabled unless the operator's file enables it and peers are configured. Messages on rate limits are then
/// sent one by one without a frame, and no member is monitored.
#pragma once

#include <functional>
#include <optional>
#include <random>

#include "base/timer.hpp"
#include "config/config.hpp"
#include "discovery/peer_socket.hpp"
#include "notes/carrier.hpp"
#include "tier/parts.hpp"
#include "tier/watch.hpp"

namespace lockgw {

class ClusterMembership {
public:
    /// Position of this forwarder in the cluster.
    struct Position {
        std::size_t present = 1;       ///< members that are present or may be
        std::size_t rank = 0;          ///< index of this forwarder among them
        std::size_t limit_shares = 1;  ///< shares that a cluster-wide limit is divided into
        bool operator==(const Position&) const = default;
    };
    /// `on_change`: called at most about once per second, at a different time in each forwarder; at once if
    /// the number of limit shares grows. `on_rate_limits`: receives rate limit messages for the decision
    /// module.
    ClusterMembership(asio::io_context& io, const Config& config,
        std::function<void(const Position&)> on_change,
        std::function<void(cometspoke::PeerNote)> on_rate_limits);

    void start();
    /// Announces that this forwarder leaves the cluster by order, or returns. Peers are still told of it.
    void leave(bool left);
    /// Sends a message of the decision module: to a present member, or to the recipient that the message
    /// names if the failure detector is disabled.
    void send_to_peers(const cometspoke::TellPeers& message);
    bool enabled() const { return detector_.has_value(); }
    std::uint32_t incarnation() const { return detector_ ? detector_->incarnation() : 0; }
    using SectionHandler = std::function<void(tier::Number from, const notes::Section&)>;
    /// Sets the handler of recovery sections (notes::Kind::Question and Answer).
    void on_recovery_section(SectionHandler handler) { recovery_handler_ = std::move(handler); }
    /// Sets the handler of maintenance sections (notes::Kind::Work).
    void on_maintenance_section(SectionHandler handler) { maintenance_handler_ = std::move(handler); }
    /// Null if disabled.
    const tier::Watch* failure_detector() const { return detector_ ? &*detector_ : nullptr; }
    /// Sends one section to one member. Dropped if the send budget is used up.
    void send_section(tier::Number to, notes::Kind kind, const std::string& bytes);
    /// Returns up to `count` other members, chosen at random.
    std::vector<tier::Number> random_peers(std::size_t count);
    /// Returns how long ago a process of this member with a lower incarnation was last heard; none if this
    /// process has not heard one.
    std::optional<tier::Time> previous_process_last_heard(
        tier::Number member, std::uint32_t incarnation) const;
    /// Counts the members whose process was seen to be a new one within `span`, and those that are gone.
    std::size_t recently_restarted(tier::Time span) const;
    /// For operators; docs/operators/tier.md.
    Json status() const;

private:
    void run_round();
    void send(tier::Number peer, const std::string& rate_limits = {});
    void receive(const cometspoke::PeerNote& message);
    void log_changes(const std::vector<tier::Watch::Change>& changes);
    void update_position();
    void update_history();
    std::uint32_t next_incarnation() const;

    const Config& config_;
    std::function<void(const Position&)> on_change_;
    std::function<void(cometspoke::PeerNote)> on_rate_limits_;
    PeerSocket peers_;
    Timer timer_;
    std::mt19937_64 random_;
    std::optional<tier::Watch> detector_;
    std::optional<tier::Parts> limit_shares_;
    notes::Outbox outbox_;
    notes::Inbox inbox_;
    Position reported_;
    std::size_t change_pause_ = 0;    // rounds until the next change may be reported
    std::vector<bool> sends_frames_;  // by peer: its build sends frames
    std::uint64_t unknown_sections_ = 0, invalid_sections_ = 0;
    SectionHandler recovery_handler_, maintenance_handler_;
    /// When the current process of a member and the one before it were last heard.
    struct ProcessHistory {
        std::uint32_t incarnation = 0, previous_incarnation = 0;
        std::optional<tier::Time> heard_at, previous_heard_at;
        std::optional<tier::Time> restarted_at;  // when the incarnation was seen to change
    };
    std::vector<ProcessHistory> history_;  // by member
};

}  // namespace lockgw
