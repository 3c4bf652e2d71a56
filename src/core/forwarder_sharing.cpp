/// The forwarder as one of many: which part of the calls is its own, and into how many parts limits go.
#include "core/clocks.hpp"
#include "core/forwarder.hpp"

namespace lockgw {

using namespace cometspoke;
using std::chrono::milliseconds;

/// When it began to serve, where that is so lately that it still warms up.
std::optional<Time> Forwarder::began(const Target& target, bool put_back) const {
    if (put_back) return steady_now();
    if (target.up_since_ms <= 0) return std::nullopt;
    const milliseconds age(std::max<std::int64_t>(0, unix_ms() - target.up_since_ms));
    if (age >= config_.settings.warm_within) return std::nullopt;
    return steady_now() - std::chrono::duration_cast<Time>(age);
}

/// Which targets of each destination are this forwarder's part, where that has changed.
void Forwarder::share_out(Time now) {
    for (const auto& change : planner_.changes(now)) {
        SpreadEvent event;
        event.destination = change.destination;
        for (const spread::Part& part : change.parts)
            if (const auto endpoint = directory_.find(part.id))
                event.parts.push_back({*endpoint, part.weight, part.sharers});
        tell_module(event);
    }
}

/// Others of the tier have come or gone.
void Forwarder::stand(const ClusterMembership::Position& standing) {
    standing_ = standing;
    planner_.stand(
        spread::point_of(standing.rank, standing.present), standing.present, standing.limit_shares);
    config_.settings.n_instances = standing.limit_shares;
    discovery_.among(standing.present);
    observe(SettingsEvent{config_.settings});
}

Json Forwarder::spread() const {
    Json all = Json::array();
    for (const auto& row : planner_.rows(steady_now())) {
        Json targets = Json::array();
        for (std::size_t i = 0; i < row.parts.size(); ++i) {
            const spread::Part& part = row.parts[i];
            targets.push_back({{"name", routes_.endpoint_name(part.id)}, {"id", part.id},
                {"weight", part.weight}, {"sharers", part.sharers}, {"why", row.whys[i]}});
        }
        all.push_back(
            {{"number", row.destination}, {"name", routes_.name_of(row.destination)}, {"listed", row.targets},
                {"rate", row.rate}, {"width", row.width}, {"why", row.why}, {"targets", std::move(targets)}});
    }
    return all;
}

}  // namespace lockgw
