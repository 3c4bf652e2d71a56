#include "recovery/snapshot_validity.hpp"

#include <utility>

namespace lockgw::recovery {
namespace {

void age(std::optional<Time>& since, Time by) {
    if (since) *since += by;
}

Limit limit_now(Limit one, Time by) {
    age(one.age, by);
    if (by > kLimitHolds) return {};
    if (by > kPartHolds) one.gain = 0;
    const bool fresh = one.age && *one.age <= kLeftHolds;
    if (one.left > 0 && !fresh) one.left = 0;
    if (one.heard > 0 && one.age && *one.age > kLimitHolds) one.heard = 0, one.left = -1;
    return one;
}

std::optional<Outage> outage_now(std::optional<Outage> one, Time by) {
    if (!one || by > kOutageHolds) return std::nullopt;
    one->fell += by;
    age(one->good, by), age(one->heard, by), age(one->returned, by);
    one->next_trial -= by;
    return one;
}

}  // namespace

ValidFacts valid_facts(const Snapshot& snapshot, const Moment& now) {
    ValidFacts result;
    result.age = elapsed(snapshot.at, now);
    result.facts.at = now, result.facts.held = snapshot.held, result.facts.orders = snapshot.orders;
    const auto count = [&result](bool holds) { ++(holds ? result.valid : result.dropped); };
    if (!result.age) {
        result.dropped = snapshot.targets.size() + snapshot.destinations.size();
        return result;
    }
    const Time by = *result.age;
    if (by <= kUsualHolds) result.facts.usual_s = snapshot.usual_s;
    for (const TargetFact& one : snapshot.targets) {
        TargetFact now_is{one.id, one.destination, outage_now(one.outage, by), limit_now(one.limit, by)};
        const bool holds = now_is.outage || now_is.limit.any();
        count(holds);
        if (holds) result.facts.targets.push_back(std::move(now_is));
    }
    for (DestinationFact one : snapshot.destinations) {
        one.limit = limit_now(one.limit, by);
        if (by > kRatesHold) one.served_per_s = one.asked_per_s = 0;
        if (by > kUsualHolds) one.usual_s = 0;
        const bool holds = one.limit.any() || one.usual_s > 0 || one.asked_per_s > 0;
        count(holds);
        if (holds) result.facts.destinations.push_back(one);
    }
    return result;
}

}  // namespace lockgw::recovery
