/// Forwarder: planned maintenance, which takes forwarders and hosts of targets out of service in turn.
#include <algorithm>

#include "core/clocks.hpp"
#include "core/forwarder.hpp"
#include "policy/state.hpp"
#include "subsetting/hash_ring.hpp"

namespace lockgw {

using namespace cometspoke;

Maintenance::Callbacks Forwarder::maintenance_callbacks() {
    return {[this](work::Sight& observed) { observe_for_maintenance(observed); },
        [this] { apply_maintenance(); }, [this] { drain(); }};
}

/// Fills in what the maintenance has to know of this process and of the targets.
void Forwarder::observe_for_maintenance(work::Sight& observed) {
    observed.serves = listening_ && !draining_ && orders_.now().in_service();
    observed.drained =
        frontend_->empty() && journal_.unended() == 0 && submitted_.empty() && delivery_->calls() == 0;
    observed.warm = recovery_.complete();
    const auto& plan = maintenance_.plan();
    if (!plan) return;
    // hosts with no serving target although the plan has not taken them out
    std::map<std::uint64_t, const routes::ListedEndpoint*> by_name;
    for (const auto& [destination, members] : members_.by_destination())
        for (const auto& member : members) by_name.emplace(subsetting::gossip_id(member.id), &member);
    const auto serves = [by_name](std::uint64_t name) {
        const auto found = by_name.find(name);
        return found != by_name.end() && found->second->condition == Condition::Ready;
    };
    for (const work::Place& place : plan->machines)
        if (work::is_host(place.machine) &&
            std::none_of(place.targets.begin(), place.targets.end(),
                [&](auto name) { return serves(name) || maintenance_.is_target_out(name); }))
            observed.lost.push_back(place.machine);
    observed.left = [this, &plan](work::Machine machine) { return capacity_without(*plan, machine); };
    observed.let_go = [this, &plan](work::Machine machine) {
        const auto index = plan->index_of(machine);
        if (!index) return false;
        bool free = true;
        directory_.for_each([&](EndpointId number, const std::string& id) {
            const auto& names = plan->machines[*index].targets;
            if (std::find(names.begin(), names.end(), subsetting::gossip_id(id)) == names.end()) return;
            const auto endpoint = sender_.state().endpoints_.find(number);
            free = free && maintenance_.is_target_out(subsetting::gossip_id(id)) &&
                   (endpoint == sender_.state().endpoints_.end() || endpoint->second.in_flight == 0);
        });
        return free;
    };
}

/// The capacity that stays if the machine is taken out, in percent, of the destination that would keep least.
/// 0 if some destination would keep less than is used of it now, as its targets report.
unsigned Forwarder::capacity_without(const work::Plan& plan, work::Machine machine) {
    const auto index = plan.index_of(machine);
    if (!index) return 0;
    unsigned least = 100;
    for (const auto& [destination, members] : members_.by_destination()) {
        double total = 0, remaining = 0;
        bool affected = false;
        for (const auto& member : members) {
            const std::uint64_t name = subsetting::gossip_id(member.id);
            const auto target = discovery_.view().find(member.id);
            const double size = target && target->rate > 0 ? target->rate : 1;
            const auto& removed = plan.machines[*index].targets;
            const bool leaves = std::find(removed.begin(), removed.end(), name) != removed.end();
            affected = affected || leaves;
            total += size;
            if (!leaves && member.condition == Condition::Ready && !maintenance_.is_target_out(name))
                remaining += size;
        }
        if (!affected || total <= 0) continue;
        const double used = used_share(destination);
        least =
            std::min(least, remaining < used * total ? 0u : static_cast<unsigned>(100 * remaining / total));
    }
    return least;
}

/// The share of a destination's limit that is in use, as its targets reported within the last 10 s; 0 if none
/// is known.
double Forwarder::used_share(DestinationId destination) {
    const auto found = sender_.state().destinations_.find(destination);
    if (found == sender_.state().destinations_.end()) return 0;
    double used = 0;
    for (const auto& report : sender_.state().reported_limits_.all())
        if (report.destination == destination && steady_now() - report.observed_at < std::chrono::seconds(10))
            used = std::max(used, 1 - report.remaining);
    return std::clamp(used, 0.0, 1.0);
}

/// The forwarder is in service unless an operator or maintenance has taken it out. Tells the clients'
/// frontend and the other forwarders.
void Forwarder::update_in_service() {
    const bool in_service = orders_.now().in_service() && !maintenance_.out_of_service();
    frontend_->set_in_service(in_service);
    cluster_.leave(!in_service || draining_);
}

/// Applies changes of what the plan takes out of service: this forwarder, or targets.
void Forwarder::apply_maintenance() {
    if (std::exchange(out_for_maintenance_, maintenance_.out_of_service()) != maintenance_.out_of_service() &&
        listening_)
        update_in_service();
    const auto& out = maintenance_.targets_out();
    if (out == targets_in_maintenance_) return;
    const std::set<std::uint64_t> before = std::exchange(targets_in_maintenance_, out);
    TargetView::Update update;
    directory_.for_each([&](EndpointId, const std::string& id) {
        const std::uint64_t name = subsetting::gossip_id(id);
        const bool was_out = before.contains(name), is_out = out.contains(name);
        if (was_out == is_out) return;
        if (was_out) maintenance_ended_[id] = steady_now();
        if (const auto target = discovery_.view().find(id)) update.list.targets.push_back(*target);
    });
    if (!update.list.targets.empty()) apply_target_list(update);
}

/// Whether the target was put back after maintenance within the last 60 s and the module has not been told
/// yet that it is cold. True only once for each time that it is put back.
bool Forwarder::take_cold_after_maintenance(const std::string& id) {
    const auto ended = maintenance_ended_.find(id);
    if (ended == maintenance_ended_.end()) return false;
    const bool cold = steady_now() - ended->second < std::chrono::seconds(60);
    maintenance_ended_.erase(ended);
    return cold;
}

}  // namespace lockgw
