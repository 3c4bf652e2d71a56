/// The forwarder: passes what happens on its connections to the decision module as events, and carries out
/// the actions that the module decides. It makes no delivery decisions of its own.
///
/// One turn of the event loop. All events of a turn reach the module before its single decision; the first
/// one opens a batch in the journal and posts run_turn(). The turn then
///  1. passes on messages that the recovery has released, and changes of this forwarder's subsets,
///  2. calls Sender::decide() once,
///  3. records the outcome of the decision in the journal: newly accepted messages, begun attempts and final
///     statuses, all in one write,
///  4. replies to the clients whose messages were submitted in this turn,
///  5. carries out the actions: starts and cancels calls, reports final statuses, sets the timer.
/// So a client hears "accepted" only after its message is recorded, and a call begins only after its attempt
/// is recorded and its client has been answered. If the write fails, nothing that depends on it happens: no
/// attempt begins, and the submitted messages are refused as busy, unless the journal was compacted within
/// the turn and its file holds them already.
///
/// The implementation is split by topic: forwarder.cpp (turns, intake, drain), forwarder_recovery.cpp (taking
/// up the journal after a restart), forwarder_handover_orders_reload.cpp (changes while it runs),
/// forwarder_subsetting.cpp (this forwarder's share of the targets) and forwarder_maintenance.cpp.
/// Not thread-safe: everything runs on the loop's thread.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/timer.hpp"
#include "config/config.hpp"
#include "core/capture_control.hpp"
#include "core/cluster_membership.hpp"
#include "core/delivery.hpp"
#include "core/frontend.hpp"
#include "core/maintenance.hpp"
#include "core/recovery_coordinator.hpp"
#include "discovery/discovery_client.hpp"
#include "discovery/target_registry.hpp"
#include "handover/knowledge.hpp"
#include "handover/plan.hpp"
#include "operations/operations.hpp"
#include "routes/routing_table.hpp"
#include "store/journal.hpp"
#include "store/orders_file.hpp"
#include "subsetting/subset_planner.hpp"

namespace lockgw {

/// Factories of the protocols that a forwarder speaks with its clients and with its targets.
struct Protocols {
    FrontendFactory frontend;
    DeliveryFactory delivery;
};

using cometspoke::ClassSettings;
using cometspoke::RouteId;

/// File in the state folder through which a process passes its hand-over state to the process that takes
/// over.
constexpr const char* kHandOverStateFile = "known";

class Forwarder final : Intake {
public:
    /// Opens the state folder and reads the journal. Throws if the folder or an address cannot be used.
    Forwarder(
        asio::io_context& io, Config config, const Protocols& protocols, routes::RoutingTable routes = {});
    ~Forwarder();

    /// Recovers from the journal and the snapshots of the previous process, starts discovery and gossip, and
    /// begins to listen.
    void start();
    /// Applies what may change at run time: the address of discovery, the routes and the settings. Messages
    /// already held keep the class settings under which they were accepted. Throws if `fresh` is invalid;
    /// nothing has changed then.
    void reload(const Config& fresh, routes::RoutingTable routes = {});
    /// The status that `lockgw status` prints; docs/operators/commands.md.
    Json status() const;
    /// The endpoints that a message of the given class and tenant may go to now, by this process's own target
    /// list.
    routes::Resolution resolve_route(const routes::Query& query) const;
    const routes::RoutingTable& routes() const { return routes_; }
    const routes::EndpointIndex& members() const { return members_; }
    /// The targets of each destination, the share of the calls that each gets, and why.
    Json subset_status() const;
    /// Which forwarders of the cluster are alive, since when, and how that is known.
    Json cluster_status() const { return cluster_.status(); }
    /// The recovery after the last start: which learned facts were valid, how many messages wait for their
    /// release, and when the recovery was complete.
    Json recovery_status() const { return recovery_.status(); }
    /// Planned maintenance, which takes machines out of service in turn; docs/operators/work.md.
    Maintenance& maintenance() { return maintenance_; }
    /// `command`: "start", "stop" or "keep". `on_done` is called with the next decision; at once, with an
    /// error text, if the command is none of these.
    void control_capture(const std::string& command, CaptureControl::Reply on_done);
    /// Carries out an operator's order. The order is stored on disk before the answer is yes, and holds from
    /// then on, also over restarts.
    operations::Answer execute_order(const operations::Order& order);
    /// Lets another process take over as soon as `requested` returns true, which is polled. New calls stop,
    /// then the clients are disconnected; then the hand-over state is written to the state folder and `done`
    /// is called. Nothing is written after that.
    void enable_hand_over(std::function<bool()> requested, std::function<void()> done);
    /// Ids of the listed targets, and of removed ones that the module still refers to.
    std::set<std::string> listed_targets() const;
    /// Graceful shutdown: clients are handed over to the other forwarders, deliveries continue, and the loop
    /// stops before the platform's SIGKILL. A second call has no effect.
    void drain();

private:
    /// A message that a client submitted in this turn; it has no reply yet.
    struct SubmittedMessage {
        Message message;
        ReplyCallback on_reply;
    };

    // Recovery after a restart, and hand-over to another process.
    void start_recovery(bool handed_over);
    void apply_peer_state();
    void recover_messages(bool at_once);
    void resume_message(const Entry& entry);
    void resume_released_messages(cometspoke::Time now);
    void step_hand_over();
    bool attempts_paused() const { return paused_for_hand_over_ || paused_for_peer_orders_; }
    void apply_pause();
    void write_hand_over_state();
    void load_hand_over_state();
    bool class_in_use(std::size_t number) const;
    std::optional<std::size_t> class_number_of(const Message& message);
    void update_class_terms();

    // Routes, subsets, the cluster's members and the target list.
    void observe_routes();
    void update_subsets(cometspoke::Time now);
    void apply_cluster_view(const ClusterMembership::Position& view);
    void reroute_held_messages();
    RouteId route_of(const Message& message) const;
    const std::string& kind_of(std::int64_t destination) const;
    void apply_target_list(const TargetView::Update& update);
    bool take_cold_after_order(const Target& target);
    std::optional<cometspoke::Time> slow_start_since(const Target& target, bool put_back) const;
    void remember_removed_target(const std::string& id);
    void save_removed_targets();

    // Maintenance and operators' orders.
    Maintenance::Callbacks maintenance_callbacks();
    void observe_for_maintenance(work::Sight& observed);
    unsigned capacity_without(const work::Plan& plan, work::Machine machine);
    double used_share(cometspoke::DestinationId destination);
    void apply_maintenance();
    bool take_cold_after_maintenance(const std::string& id);
    void update_in_service();
    void poll_orders();
    void apply_order_changes(const operations::Operations& before);

    // Intake, calls and turns.
    bool may_send(const Call& call, const Tcp::endpoint& address) const;
    void submit(Message message, cometspoke::Time left, ReplyCallback on_reply) override;
    bool free_descriptor() override { return delivery_->close_one_idle(); }
    void handle_outcome(const CallResult& result);
    void handle_wait(EndpointId endpoint, cometspoke::Time wait);
    void record_end(MessageId id, Fate fate, bool served);
    void observe(const cometspoke::Event& event);
    void notify_module(const cometspoke::Event& event);
    void run_turn();
    void decide_and_act();
    using Replies = std::map<MessageId, Reply>;
    void reply_to_submitters(const Replies& replies);
    /// What the journal recorded of one action.
    struct Recorded {
        bool written = false;       ///< recorded, so that the action may be carried out
        std::uint32_t attempt = 0;  ///< of a Send: the number of the attempt
    };
    void schedule_turn();
    Recorded record(const cometspoke::Action& action);
    Recorded record(const cometspoke::Send& send);
    Recorded record_final_status(MessageId id, const FinalStatus& status);
    Replies accept_submitted(const std::vector<cometspoke::Action>& actions);
    void undo_turn(
        Replies& replies, const std::vector<cometspoke::Action>& actions, std::vector<Recorded>& recorded);
    template <class Step>
    void guarded(Step step);
    void stop_if_done();
    void stop_reading();
    void stop_when_answered();
    void stop();

    void carry_out(const cometspoke::Send& send, const Recorded& recorded);
    void carry_out(const cometspoke::CancelAttempt& cancel, const Recorded&);
    void carry_out(const cometspoke::Refuse& refuse, const Recorded& recorded);
    void carry_out(const cometspoke::Fail& fail, const Recorded& recorded);
    void carry_out(const cometspoke::SetTimer& timer, const Recorded&);
    void carry_out(const cometspoke::CloseIdle& close, const Recorded&);
    void carry_out(const cometspoke::Forget& forget, const Recorded&);
    void carry_out(const cometspoke::TellPeers& message, const Recorded&);
    void carry_out(const cometspoke::Log& log, const Recorded&);
    void carry_out(const cometspoke::Probe&, const Recorded&) {}      // probes are not allowed on sockets
    void carry_out(const cometspoke::Watch&, const Recorded&) {}      // discovery is always watched
    void carry_out(const cometspoke::FetchList&, const Recorded&) {}  // the full list is fetched at the start
    FinalStatus owed_status(const Entry& entry) const;
    void end_message(MessageId id, const FinalStatus& status);
    void report_ended();

    asio::io_context& io_;
    Config config_;  // with the changes that reloads have made
    // Dropped tenants too: held messages may still carry their numbers.
    cometspoke::settings::Index tenant_numbers_;
    std::vector<std::shared_ptr<const ClassSettings>> class_terms_;  // class settings by class number
    std::optional<handover::Known> previous_process_;  // hand-over state, until it has been loaded
    Journal journal_;
    OrdersFile orders_;
    std::set<std::string> cold_reported_;       // put back by an operator, reported to the module as cold
    std::vector<std::string> removed_targets_;  // to be saved with the orders
    handover::Yielding hand_over_;
    std::function<bool()> hand_over_requested_;
    std::function<void()> hand_over_done_;
    cometspoke::Sender sender_;
    TargetRegistry directory_;
    CaptureControl captures_;
    routes::RoutingTable routes_;
    routes::EndpointIndex members_;  // listed targets by destination
    subsetting::SubsetPlanner planner_;
    std::unique_ptr<Delivery> delivery_;
    DiscoveryClient discovery_;
    ClusterMembership cluster_;
    std::optional<ClusterMembership::Position>
        cluster_view_;  // none until it differs from the configured cluster
    RecoveryCoordinator recovery_;
    Maintenance maintenance_;
    bool out_for_maintenance_ = false;                           // as last applied to the frontend
    std::set<std::uint64_t> targets_in_maintenance_;             // as last reported to the module
    std::map<std::string, cometspoke::Time> maintenance_ended_;  // by target; until reported as cold
    bool peer_state_applied_ = false;                            // peers have answered, or were not asked
    std::set<std::uint64_t> out_by_peers_;  // targets taken out of service because peers said so
    std::unique_ptr<Frontend> frontend_;
    Timer timer_, clients_handed_over_timer_, drain_timer_, orders_timer_, hand_over_timer_;
    bool turn_scheduled_ = false, draining_ = false, listening_ = false;
    // Reasons why no attempt may begin. They are independent: clearing one must not clear the other.
    bool paused_for_hand_over_ = false;                       // another process is about to take over
    bool paused_for_peer_orders_ = false;                     // operators' orders may be known to peers only
    std::chrono::steady_clock::time_point drain_deadline_{};  // the drain ends no later than this
    std::chrono::steady_clock::duration longest_turn_{};      // reported in status() and at the end
    std::map<MessageId, SubmittedMessage> submitted_;         // in this turn, not answered yet
    std::vector<std::pair<MessageId, FinalStatus>> ended_;    // by end_message(), not reported yet
};

}  // namespace lockgw
