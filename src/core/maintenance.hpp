/// Carries out coordinated maintenance: exchanges messages with the other forwarders, persists the
/// coordinator's record before any message that follows from it is sent, runs the local steps (hook, restart)
/// and answers operators. The decisions are made in src/work.
///
/// Disabled unless the operator's file enables it and cluster membership is enabled.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/timer.hpp"
#include "config/config.hpp"
#include "core/cluster_membership.hpp"
#include "core/hook.hpp"
#include "subsetting/hash_ring.hpp"
#include "work/crew.hpp"

namespace lockgw {

class Maintenance {
public:
    /// What the forwarder supplies.
    struct Callbacks {
        std::function<void(work::Sight&)> observe;  ///< fills in the state of this process and of the targets
        std::function<void()> on_change;            ///< out_of_service() or targets_out() may have changed
        std::function<void()> restart;              ///< starts the drain that ends this process
    };
    /// Receives the reason for a refusal, or an empty string if the command was carried out.
    using Reply = std::function<void(const std::string&)>;

    Maintenance(asio::io_context& io, const Config& config, ClusterMembership& cluster, Callbacks callbacks);

    /// Reads the record of the earlier process. To be called before anything is sent or received.
    void start();
    bool enabled() const { return coordinator_.has_value(); }
    /// Returns whether this forwarder has to be out of service.
    bool out_of_service() const { return coordinator_ && coordinator_->away(); }
    /// Returns whether no new call may go to the target. `known_as`: its subsetting::gossip_id().
    bool is_target_out(std::uint64_t known_as) const {
        return coordinator_ && coordinator_->targets_out().contains(known_as);
    }
    bool is_target_out(const std::string& id) const {
        return coordinator_ && !coordinator_->targets_out().empty() &&
               is_target_out(subsetting::gossip_id(id));
    }
    const std::set<std::uint64_t>& targets_out() const;

    /// Executes an operator's command: "approve", "hold", "cancel", "done", "force-in", "force-out" or
    /// "join". `machine`: a forwarder's number or a host's name, for commands that concern one. `reply` is
    /// called once, in this call or later.
    void order(const std::string& command, const std::string& machine, Reply reply);
    /// Proposes another plan. `bytes`: the encoded plan; `approve`: it is also approved.
    void submit_plan(const std::string& bytes, bool approve, Reply reply);
    /// Proposes and approves a plan for this forwarder alone, for `for_s` seconds.
    void request_for_self(double for_s, const std::string& why, Reply reply);
    const std::optional<work::Plan>& plan() const;
    std::size_t member_count() const { return config_.peers.size(); }
    /// For operators and programs; docs/operators/work.md.
    Json status();

private:
    void run_round();
    void step();
    void run_tasks();
    bool persist();
    void propose(const work::Change& change, Reply reply, std::string plan = {});
    work::Sight observe();
    std::optional<work::Machine> parse_machine(const std::string& text) const;
    std::string name_of(work::Machine machine) const;
    void log_changes();

    asio::io_context& io_;
    const Config& config_;
    ClusterMembership& cluster_;
    Callbacks callbacks_;
    Timer timer_;
    std::optional<work::Crew> coordinator_;
    Hook hook_;
    std::optional<std::pair<work::Machine, std::uint32_t>> hook_target_;  // machine and fence of the hook
    std::map<std::uint32_t, bool> finished_tasks_;                        // by fence: whether they succeeded
    std::map<std::uint64_t, Reply> pending_replies_;                      // by ticket
    bool restarting_ = false, record_kept_ = true, warm_ = false, warm_logged_ = false;
    work::State logged_state_;
    std::optional<work::Crew::Phase> logged_phase_;
    std::uint64_t unreadable_messages_ = 0, failed_writes_ = 0;
};

}  // namespace lockgw
