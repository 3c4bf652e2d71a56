/// What happens on the sockets as the module's events, and the module's actions carried out. No decisions.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "containers/recent_set.hpp"
#include "core/capture_control.hpp"
#include "core/cluster_membership.hpp"
#include "core/delivery.hpp"
#include "core/front.hpp"
#include "core/maintenance.hpp"
#include "core/recovery_coordinator.hpp"
#include "handover/knowledge.hpp"
#include "handover/plan.hpp"
#include "membership/directory.hpp"
#include "membership/discovery.hpp"
#include "operations/operations.hpp"
#include "routes/table.hpp"
#include "spread/planner.hpp"
#include "store/journal.hpp"
#include "store/orders_file.hpp"

namespace lockgw {

/// The protocols that a forwarder speaks.
struct Protocols {
    MakeFront front;
    MakeDelivery delivery;
};

using cometspoke::ClassSettings;
using cometspoke::RouteId;

/// In the folder that lasts: what one process knew, for the one that takes over.
constexpr const char* kKnowledge = "known";

class Forwarder final : Intake {
public:
    /// Takes up what the journal holds. Throws where the folder or an address cannot be used.
    Forwarder(asio::io_context& io, Config config, const Protocols& protocols, routes::Table routes = {});
    ~Forwarder();

    void start();
    /// Takes over what may change while it runs: the address of discovery, the routes and the settings.
    /// Messages that are held keep the terms under which they were taken. Throws where `fresh` makes no
    /// sense; nothing has changed then.
    void reload(const Config& fresh, routes::Table routes = {});
    /// For people and programs; docs/operators/commands.md.
    Json status() const;
    /// Whom the message of a class and tenant may go to now, by this process's own list.
    routes::Resolution route(const routes::Query& query) const;
    const routes::Table& routes() const { return routes_; }
    const routes::Members& members() const { return members_; }
    /// Each destination's targets, which part of the calls they get, and why.
    Json spread() const;
    /// Who of the tier is there, since when, and by whose word.
    Json tier() const { return tier_.status(); }
    /// How it came back: what was believed, what is owed still, and when it was full.
    Json recovery_status() const { return recovery_.status(); }
    /// Machines that are taken out in order; docs/operators/work.md.
    Maintenance& work() { return work_; }
    /// "start", "stop" or "keep"; `told` is called with the next decision, at once where it is none of them.
    void capture(const std::string& what, CaptureControl::Reply told);
    /// What an operator orders: it is written down before it is a yes, and holds from then on.
    operations::Answer order(const operations::Order& order);
    /// Another process may take over whenever `wanted` says so: calls and clients are let go step by step,
    /// and then `over` is called, with nothing written any more. What it knows stands in the folder then.
    void may_hand_over(std::function<bool()> wanted, std::function<void()> over);
    /// Ids that it has listed.
    std::set<std::string> listed() const;
    /// Hands the clients on, goes on delivering, and stops the loop well before it would be killed.
    void drain();

private:
    struct Newcomer {
        Message message;
        Done done;
    };

    void come_back(bool handed_over);
    void heed_peers();
    void take_up(bool at_once);
    void take_up(const Entry& entry);
    void take_up_due(cometspoke::Time now);
    void look_at_handover();
    bool attempts_paused() const { return yielding_calls_ || awaiting_orders_; }
    void apply_pause();
    void write_knowledge();
    void learn();
    bool class_in_use(std::size_t number) const;
    std::optional<std::size_t> class_of(const Message& message);
    void share_terms();
    void tell_routes();
    void share_out(cometspoke::Time now);
    void stand(const ClusterMembership::Position& standing);
    void reroute_held();
    RouteId route_of(const Message& message) const;
    const std::string& kind_of(std::int64_t destination) const;
    void list(const View::Update& update);
    bool told_cold(const Target& target);
    std::optional<cometspoke::Time> began(const Target& target, bool put_back) const;
    void note_gone(const std::string& id);
    void keep_gone();
    Maintenance::Callbacks work_needs();
    void look_for_work(work::Sight& sight);
    unsigned left_without(const work::Plan& plan, work::Machine machine);
    double used_part(cometspoke::DestinationId destination);
    void heed_work();
    bool cold_from_work(const std::string& id);
    void service();
    void look_at_orders();
    void carry_out(const operations::Operations& before);
    bool may_have(const Call& call, const Tcp::endpoint& address) const;
    void hand_in(Message message, cometspoke::Time left, Done done) override;
    bool give_descriptor() override { return delivery_->close_one(); }
    void outcome(const cometspoke::OutcomeEvent& event);
    void observe(const cometspoke::Event& event);
    void tell_module(const cometspoke::Event& event);
    void turn();
    void decide_and_act();
    using Replies = std::map<MessageId, Reply>;
    void answer_newcomers(const Replies& replies);
    struct Recorded {
        bool kept = false;
        std::uint32_t attempt = 0;  ///< of a Send
    };
    void open_turn();
    Recorded record(const cometspoke::Action& action);
    Recorded record(const cometspoke::Send& send);
    Recorded record_end(MessageId id, const FinalStatus& notice);
    Replies take_on(const std::vector<cometspoke::Action>& actions);
    void take_back(
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
    void carry_out(const cometspoke::TellPeers& tell, const Recorded&);
    void carry_out(const cometspoke::Log& log, const Recorded&);
    void carry_out(const cometspoke::Probe&, const Recorded&) {}      // not allowed on sockets
    void carry_out(const cometspoke::Watch&, const Recorded&) {}      // discovery is always watched
    void carry_out(const cometspoke::FetchList&, const Recorded&) {}  // and its whole list asked for first
    void end(MessageId id, const FinalStatus& notice);

    asio::io_context& io_;
    Config config_;                        // as taken over by reloads
    cometspoke::settings::Index tenants_;  // those dropped too, by the numbers that held messages may bear
    std::vector<std::shared_ptr<const ClassSettings>> terms_;  // of the classes, by their numbers
    std::optional<handover::Known> known_;                     // of the process before
    Journal journal_;
    OrdersFile orders_;
    std::set<std::string> told_cold_;  // to the module, since they were put back
    std::vector<std::string> gone_;    // to be kept with the orders
    handover::Yielding yielding_;
    std::function<bool()> wanted_;
    std::function<void()> over_;
    cometspoke::Sender sender_;
    Directory directory_;
    CaptureControl captures_;
    routes::Table routes_;
    routes::Members members_;  // as listed, by destination
    spread::Planner planner_;
    std::unique_ptr<Delivery> delivery_;
    Discovery discovery_;
    ClusterMembership tier_;
    std::optional<ClusterMembership::Position> standing_;  // once it differs from what was told at the start
    RecoveryCoordinator recovery_;
    Maintenance work_;
    bool away_ = false;                 // by work, as told to the front
    std::set<std::uint64_t> work_out_;  // targets, as told to the module
    std::map<std::string, cometspoke::Time> back_from_work_;
    bool asked_ = false;              // peers have answered, or were not asked
    std::set<std::uint64_t> heeded_;  // targets out by their word
    std::unique_ptr<Front> front_;
    asio::steady_timer timer_, drain_step_, drain_end_, orders_step_, handover_step_;
    bool turn_due_ = false, draining_ = false, listening_ = false;
    // Why no attempt may begin; each comes and goes by itself, and neither may end the other.
    bool yielding_calls_ = false;                         // another process is about to take over
    bool awaiting_orders_ = false;                        // operators' orders may be known to peers alone
    std::chrono::steady_clock::time_point drained_by_{};  // an ordered end comes no later
    std::chrono::steady_clock::duration longest_turn_{};  // told at the end
    std::map<MessageId, Newcomer> newcomers_;             // handed in this turn, not answered yet
    RecentSet<MessageId, cometspoke::Time> ended_;        // their clients may not have read `taken` yet
};

}  // namespace lockgw
