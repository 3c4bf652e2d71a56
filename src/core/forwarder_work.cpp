/// The forwarder while machines are taken out in order: itself, or hosts of targets.
#include <algorithm>

#include "core/clocks.hpp"
#include "core/forwarder.hpp"
#include "policy/state.hpp"
#include "spread/ring.hpp"

namespace lockgw {

using namespace cometspoke;

Maintenance::Callbacks Forwarder::work_needs() {
    return {
        [this](work::Sight& sight) { look_for_work(sight); }, [this] { heed_work(); }, [this] { drain(); }};
}

void Forwarder::look_for_work(work::Sight& sight) {
    sight.serves = listening_ && !draining_ && orders_.now().in_service();
    sight.drained =
        front_->empty() && journal_.unended() == 0 && newcomers_.empty() && delivery_->calls() == 0;
    sight.warm = recovery_.complete();
    const auto& plan = work_.plan();
    if (!plan) return;
    // hosts of which no target serves, without anybody's word
    std::map<std::uint64_t, const routes::Member*> by_name;
    for (const auto& [destination, members] : members_.all())
        for (const auto& one : members) by_name.emplace(spread::known_as(one.id), &one);
    const auto serves = [by_name](std::uint64_t name) {
        const auto at = by_name.find(name);
        return at != by_name.end() && at->second->condition == Condition::Ready;
    };
    for (const work::Place& one : plan->machines)
        if (work::is_host(one.machine) &&
            std::none_of(one.targets.begin(), one.targets.end(),
                [&](auto name) { return serves(name) || work_.is_target_out(name); }))
            sight.lost.push_back(one.machine);
    sight.left = [this, &plan](work::Machine machine) { return left_without(*plan, machine); };
    sight.let_go = [this, &plan](work::Machine machine) {
        const auto at = plan->index_of(machine);
        if (!at) return false;
        bool free = true;
        directory_.each([&](EndpointId number, const std::string& id) {
            const auto& names = plan->machines[*at].targets;
            if (std::find(names.begin(), names.end(), spread::known_as(id)) == names.end()) return;
            const auto known = sender_.state().endpoints_.find(number);
            free = free && work_.is_target_out(spread::known_as(id)) &&
                   (known == sender_.state().endpoints_.end() || known->second.in_flight == 0);
        });
        return free;
    };
}

/// In percent, of the destination that would keep least; nothing where less would stay than it is used now,
/// by what its targets told.
unsigned Forwarder::left_without(const work::Plan& plan, work::Machine machine) {
    const auto at = plan.index_of(machine);
    if (!at) return 0;
    unsigned least = 100;
    for (const auto& [destination, members] : members_.all()) {
        double whole = 0, stays = 0;
        bool touched = false;
        for (const auto& one : members) {
            const std::uint64_t name = spread::known_as(one.id);
            const auto target = discovery_.view().current(one.id);
            const double size = target && target->rate > 0 ? target->rate : 1;
            const auto& gone = plan.machines[*at].targets;
            const bool goes = std::find(gone.begin(), gone.end(), name) != gone.end();
            touched = touched || goes;
            whole += size;
            if (!goes && one.condition == Condition::Ready && !work_.is_target_out(name)) stays += size;
        }
        if (!touched || whole <= 0) continue;
        const double used = used_part(destination);
        least = std::min(least, stays < used * whole ? 0u : static_cast<unsigned>(100 * stays / whole));
    }
    return least;
}

/// Of the limit of a destination, as last told; 0 where none is known.
double Forwarder::used_part(DestinationId destination) {
    const auto home = sender_.state().destinations_.find(destination);
    if (home == sender_.state().destinations_.end()) return 0;
    double used = 0;
    for (const auto& report : sender_.state().limits_.all())
        if (report.destination == destination && steady_now() - report.observed_at < std::chrono::seconds(10))
            used = std::max(used, 1 - report.remaining);
    return std::clamp(used, 0.0, 1.0);
}

void Forwarder::service() {
    const bool in = orders_.now().in_service() && !work_.out_of_service();
    front_->serve(in);
    tier_.leave(!in || draining_);
}

/// What is out by the plan has changed: itself, or targets.
void Forwarder::heed_work() {
    if (std::exchange(away_, work_.out_of_service()) != work_.out_of_service() && listening_) service();
    const auto& out = work_.targets_out();
    if (out == work_out_) return;
    const std::set<std::uint64_t> before = std::exchange(work_out_, out);
    View::Update update;
    directory_.each([&](EndpointId, const std::string& id) {
        const std::uint64_t name = spread::known_as(id);
        const bool was = before.contains(name), is = out.contains(name);
        if (was == is) return;
        if (was) back_from_work_[id] = steady_now();
        if (const auto target = discovery_.view().current(id)) update.told.targets.push_back(*target);
    });
    if (!update.told.targets.empty()) list(update);
}

/// Put back after work, and not told to the module as cold since.
bool Forwarder::cold_from_work(const std::string& id) {
    const auto back = back_from_work_.find(id);
    if (back == back_from_work_.end()) return false;
    const bool cold = steady_now() - back->second < std::chrono::seconds(60);
    back_from_work_.erase(back);
    return cold;
}

}  // namespace lockgw
