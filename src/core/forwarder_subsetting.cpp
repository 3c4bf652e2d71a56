/// Forwarder: its subset of the targets, and its share of limits that hold for the whole cluster.
#include "core/clocks.hpp"
#include "core/forwarder.hpp"

namespace lockgw {

using namespace cometspoke;
using std::chrono::milliseconds;

/// When the target began to serve, if it is still in its slow start. `put_back`: an operator or maintenance
/// has just put it back, so that its slow start begins now.
std::optional<Time> Forwarder::slow_start_since(const Target& target, bool put_back) const {
    if (put_back) return steady_now();
    if (target.up_since_ms <= 0) return std::nullopt;
    const milliseconds age(std::max<std::int64_t>(0, unix_ms() - target.up_since_ms));
    if (age >= config_.settings.warm_within) return std::nullopt;
    return steady_now() - std::chrono::duration_cast<Time>(age);
}

/// Tells the module which targets of each destination are in this forwarder's subset, where that has changed.
void Forwarder::update_subsets(Time now) {
    for (const auto& change : planner_.take_changes(now)) {
        SpreadEvent event;
        event.destination = change.destination;
        for (const subsetting::SubsetTarget& part : change.targets)
            if (const auto endpoint = directory_.find(part.id))
                event.parts.push_back({*endpoint, part.weight, part.sharers});
        notify_module(event);
    }
}

/// Other forwarders have joined or left the cluster: its subsets, its share of limits and the pace of its
/// requests to discovery follow.
void Forwarder::apply_cluster_view(const ClusterMembership::Position& view) {
    cluster_view_ = view;
    planner_.set_position(
        subsetting::evenly_spaced_position(view.rank, view.present), view.present, view.limit_shares);
    config_.settings.n_instances = view.limit_shares;
    discovery_.set_forwarder_count(view.present);
    observe(SettingsEvent{config_.settings});
}

Json Forwarder::subset_status() const {
    Json all = Json::array();
    for (const auto& row : planner_.reports(steady_now())) {
        Json targets = Json::array();
        for (std::size_t i = 0; i < row.targets.size(); ++i) {
            const subsetting::SubsetTarget& part = row.targets[i];
            targets.push_back({{"name", routes_.endpoint_name(part.id)}, {"id", part.id},
                {"weight", part.weight}, {"sharers", part.sharers}, {"why", row.target_reasons[i]}});
        }
        all.push_back({{"number", row.destination}, {"name", routes_.destination_name(row.destination)},
            {"listed", row.target_count}, {"rate", row.message_rate}, {"width", row.subset_size},
            {"why", row.reason}, {"targets", std::move(targets)}});
    }
    return all;
}

}  // namespace lockgw
