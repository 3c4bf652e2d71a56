/// Orderly work, carried out: the crew's notes go out and come in, its record is kept in the folder that
/// lasts before anything that follows from it is said, its steps are taken here, and persons are answered.
/// The decisions are src/work's.
///
/// Off where the operator's file does not turn it on, and without the watch on the tier.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "config/config.hpp"
#include "core/hook.hpp"
#include "core/tier.hpp"
#include "subsetting/hash_ring.hpp"
#include "work/crew.hpp"

namespace lockgw {

class Work {
public:
    /// What it asks of the forwarder, and what that sees.
    struct Needs {
        std::function<void(work::Sight&)> look;  ///< fills in what is this machine's and of targets
        std::function<void()> changed;           ///< away() or out() may differ from before
        std::function<void()> restart;           ///< the process is to end by its drain
    };
    /// What a person hears: a line that says why not, or empty.
    using Told = std::function<void(const std::string&)>;

    Work(asio::io_context& io, const Config& config, TierWatch& tier, Needs needs);

    /// Reads what the process before left; before anything is sent or taken in.
    void start();
    bool on() const { return crew_.has_value(); }
    /// This forwarder is to be out of service.
    bool away() const { return crew_ && crew_->away(); }
    /// Nothing new goes to the target of this name (subsetting::gossip_id).
    bool out(std::uint64_t known_as) const { return crew_ && crew_->targets_out().contains(known_as); }
    bool out(const std::string& id) const {
        return crew_ && !crew_->targets_out().empty() && out(subsetting::gossip_id(id));
    }
    const std::set<std::uint64_t>& all_out() const;

    /// "approve", "hold", "cancel", "done", "force-in", "force-out", "join"; `machine`: a forwarder's number
    /// or a host's name, where it is about one. Told once, in this call or later.
    void order(const std::string& what, const std::string& machine, Told told);
    /// Another plan, in bytes; `sure`: it is approved in the same breath.
    void plan(const std::string& bytes, bool sure, Told told);
    /// A plan for this machine alone, by a person's word; approved in the same breath.
    void request(double for_s, const std::string& why, Told told);
    const std::optional<work::Plan>& plan() const;
    std::size_t members() const { return config_.peers.size(); }
    /// For people and programs; docs/operators/work.md.
    Json status();

private:
    void round();
    void step();
    void tasks();
    bool keep();
    void want(const work::Change& change, Told told, std::string plan = {});
    work::Sight sight();
    std::optional<work::Machine> machine_of(const std::string& text) const;
    std::string name_of(work::Machine machine) const;
    void tell_changes();

    asio::io_context& io_;
    const Config& config_;
    TierWatch& tier_;
    Needs needs_;
    asio::steady_timer timer_;
    std::optional<work::Crew> crew_;
    Hook hook_;
    std::optional<std::pair<work::Machine, std::uint32_t>> hooked_;  // whom the hook was begun for
    std::map<std::uint32_t, bool> ended_;                            // tasks by fence: how they ended
    std::map<std::uint64_t, Told> asked_;                            // by ticket
    bool restarting_ = false, kept_ = true, warm_ = false, warm_told_ = false;
    work::State told_;  // in the log
    std::optional<work::Crew::Phase> phase_told_;
    std::uint64_t unread_ = 0, unkept_ = 0;
};

}  // namespace lockgw
