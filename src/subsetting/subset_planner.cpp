#include "subsetting/subset_planner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/units.hpp"

namespace lockgw::subsetting {

using cometspoke::seconds;

namespace {

// The decision module keeps a connection that is used again within this part of its idle timeout.
constexpr double kReuseDivisor = 3.0;
constexpr double kLatencyBlend = 0.2, kLatencyClip = 4.0;  // a single long answer does not make a target slow
constexpr int kMinAnswers = 5;                             // before a target is compared with others
constexpr Time kLatencyMaxAge{20'000'000};                 // an older latency is no longer compared
// Lists report when a target started as an age; between two lists the same start differs by less than this.
constexpr Time kStartTolerance{1'000'000};
constexpr double kMinRateSpan_s = 5;  // a rate is computed over no less time than this

std::string percent(double share) {
    return std::to_string(static_cast<int>(std::lround(100 * share))) + " %";
}

}  // namespace

double subset_size(
    const SubsetParameters& parameters, const SubsetConfig& config, std::size_t targets, double rate) {
    if (!config.enabled) return 0;
    const auto target_count = static_cast<double>(targets);
    const double even_share =
        target_count / static_cast<double>(std::max<std::size_t>(1, parameters.forwarder_count));
    const double idle_s = parameters.idle_timeout > Time(0) ? seconds(parameters.idle_timeout) : 60.0;
    const double kept_in_use = rate * idle_s / kReuseDivisor / SubsetPlanner::kMinUses;
    const bool bounded = config.min_targets || config.max_targets;
    // too little traffic in a small cluster: calls go to connections that are already open
    if (!bounded && parameters.forwarder_count < SubsetPlanner::kMinForwarders &&
        kept_in_use < std::max(even_share, HashRing::kMinSharedSize))
        return 0;
    double size = std::max({kept_in_use, even_share, 1.0});
    if (size * SubsetPlanner::kChangeRatio >= target_count)
        size = std::max(1.0, target_count);  // less than a factor of kChangeRatio below the whole ring
    if (config.min_targets) size = std::max(size, *config.min_targets);
    if (config.max_targets) size = std::min(size, std::max(even_share, *config.max_targets));
    return std::min(size, std::max(1.0, target_count));
}

ConnectionEstimate estimate_connections(const HashRing& ring, const std::string& id,
    const SubsetParameters& parameters, const SubsetConfig& config, double rate, double answer_s) {
    ConnectionEstimate total;
    const double size = subset_size(parameters, config, ring.size(), rate);
    for (std::size_t i = 0; i < parameters.forwarder_count; ++i) {
        double weight = 1;  // without a subset a forwarder may send all its calls to the one target
        if (size > 0 && ring.size() > 1) {
            const auto subset = ring.subset(
                evenly_spaced_position(i, parameters.forwarder_count), size, parameters.forwarder_count);
            const auto found = std::find_if(
                subset.begin(), subset.end(), [&](const SubsetTarget& target) { return target.id == id; });
            if (found == subset.end()) continue;
            weight = found->weight;
        }
        ++total.forwarders;
        total.connections += std::max(1.0, rate * weight * answer_s);
    }
    return total;
}

void SubsetPlanner::put(const std::string& id, DestinationId destination, double size, bool ready,
    std::optional<Time> started_at) {
    const auto found = targets_.find(id);
    if (found != targets_.end() && (found->second.destination != destination || !ready)) erase(id);
    if (!ready) return;
    Target& target = targets_[id];
    target.destination = destination;
    target.size = size;
    target.weight = operator_weight(id);
    const bool slow_start =
        started_at && parameters_.slow_start_window > Time(0) && parameters_.slow_start_initial_share < 1;
    if (slow_start && *started_at > target.last_start + kStartTolerance) {
        if (target.slow_start_from)
            slow_starting_.erase({slow_start_time(target, target.slow_start_step), id});
        target.slow_start_from = target.last_start = *started_at;
        target.slow_start_step = 0;
        slow_starting_.insert({slow_start_time(target, 0), id});
    }
    destinations_.try_emplace(destination, destination);
    update_ring(id, target);
}
void SubsetPlanner::update_ring(const std::string& id, Target& target) {
    if (destinations_.at(target.destination).ring.put(id, effective_size(target)))
        changed_.insert(target.destination);
}
void SubsetPlanner::erase(const std::string& id) {
    const auto found = targets_.find(id);
    if (found == targets_.end()) return;
    const Target& target = found->second;
    if (target.slow_start_from) slow_starting_.erase({slow_start_time(target, target.slow_start_step), id});
    destinations_.at(target.destination).ring.erase(id);
    changed_.insert(target.destination);
    targets_.erase(found);
}

double SubsetPlanner::operator_weight(const std::string& id) const {
    const auto found = weights_.find(id);
    return found == weights_.end() ? 1.0 : found->second;
}
/// The size that the target's segment of the ring has now.
double SubsetPlanner::effective_size(const Target& target) const {
    const double progress = static_cast<double>(target.slow_start_step) / kSlowStartSteps;
    const double size = target.size > 0 ? target.size : 1;
    return size * target.weight *
           (parameters_.slow_start_initial_share + (1 - parameters_.slow_start_initial_share) * progress);
}
/// When the target goes from `step` to the next; offset by the ring position, so that the forwarders do not
/// change their calls to it all at once.
Time SubsetPlanner::slow_start_time(const Target& target, int step) const {
    const double progress = (step + parameters_.ring_position) / kSlowStartSteps;
    return *target.slow_start_from +
           cometspoke::from_seconds(seconds(parameters_.slow_start_window) * progress);
}
void SubsetPlanner::advance_slow_start(Time now) {
    while (!slow_starting_.empty() && slow_starting_.begin()->first <= now) {
        const std::string id = slow_starting_.begin()->second;
        slow_starting_.erase(slow_starting_.begin());
        Target& target = targets_.at(id);
        while (target.slow_start_step < kSlowStartSteps &&
               slow_start_time(target, target.slow_start_step) <= now)
            ++target.slow_start_step;
        if (target.slow_start_step < kSlowStartSteps)
            slow_starting_.insert({slow_start_time(target, target.slow_start_step), id});
        else
            target.slow_start_from.reset();
        update_ring(id, target);
    }
}

void SubsetPlanner::set_position(double ring_position, std::size_t forwarder_count, std::size_t limit_parts) {
    // the times of slow start steps depend on the ring position
    std::vector<std::string> slow_starting;
    for (const auto& [time, id] : slow_starting_) slow_starting.push_back(id);
    slow_starting_.clear();
    parameters_.ring_position = ring_position,
    parameters_.forwarder_count = std::max<std::size_t>(1, forwarder_count), limit_parts_ = limit_parts;
    for (const std::string& id : slow_starting) {
        const Target& target = targets_.at(id);
        slow_starting_.insert({slow_start_time(target, target.slow_start_step), id});
    }
    for (const auto& [destination, state] : destinations_) changed_.insert(destination);
}

void SubsetPlanner::apply_config(const SubsetConfig& config, std::map<std::string, double> weights) {
    if (config != config_)
        for (const auto& [destination, state] : destinations_) changed_.insert(destination);
    config_ = config;
    weights_ = std::move(weights);
    for (auto& [id, target] : targets_) {
        target.weight = operator_weight(id);
        update_ring(id, target);
    }
}

void SubsetPlanner::record_message(DestinationId destination, Time now) {
    const auto found = destinations_.find(destination);
    if (found == destinations_.end()) return;
    DestinationState& state = found->second;
    if (state.message_count <= 0 || now - state.counted_at > kRateExpiry)
        state.first_message = state.counted_at = now, state.message_count = 0;
    state.message_count =
        state.message_count * std::exp(-seconds(now - state.counted_at) / seconds(kRateMemory)) + 1;
    state.counted_at = now;
    if (state.ring.size() > 1 && needs_resize(desired_size(state, now), state.subset_size))
        changed_.insert(destination);
}

void SubsetPlanner::record_answer(const std::string& id, Time latency, Time now) {
    const auto found = targets_.find(id);
    if (found == targets_.end()) return;
    Target& target = found->second;
    const double sample_s = std::max(1e-6, seconds(latency));
    if (target.answer_count == 0 || now - target.last_answer > kLatencyMaxAge)
        target.latency_s = sample_s, target.answer_count = 0;
    target.latency_s +=
        kLatencyBlend * (std::min(sample_s, kLatencyClip * target.latency_s) - target.latency_s);
    target.answer_count = std::min(target.answer_count + 1, kMinAnswers);
    target.last_answer = now;
    DestinationState& state = destinations_.at(target.destination);
    if (state.targets.size() < 2 || now - state.speed_checked_at < kSpeedInterval) return;
    state.speed_checked_at = now;
    update_speed_factors(state, now);
}

/// Compares each target of the subset with the lower median latency of the subset, so that none counts as
/// slow where most are slow. A target without recent answers gets its full weight back, so that it can be
/// measured again.
void SubsetPlanner::update_speed_factors(DestinationState& state, Time now) {
    const auto measured = [&](const Target& target) {
        return target.answer_count >= kMinAnswers && now - target.last_answer <= kLatencyMaxAge;
    };
    std::vector<double> latencies;
    std::vector<Target*> subset;  // without those removed since the subset was last reported
    for (const SubsetTarget& member : state.targets)
        if (const auto found = targets_.find(member.id); found != targets_.end())
            subset.push_back(&found->second);
    for (const Target* target : subset)
        if (measured(*target)) latencies.push_back(target->latency_s);
    double median = 0;
    if (latencies.size() > 1) {
        const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
        std::nth_element(latencies.begin(), middle, latencies.end());
        median = *middle;
    }
    for (Target* member : subset) {
        Target& target = *member;
        const bool slow = median > 0 && measured(target) && target.latency_s > kSlowFactor * median;
        const double wanted = slow ? std::max(kMinSpeedFactor, median / target.latency_s) : 1.0;
        if (slow ? wanted < target.speed_factor * kChangeRatio && wanted > target.speed_factor / kChangeRatio
                 : target.speed_factor >= 1)
            continue;
        target.speed_factor =
            std::clamp(wanted, target.speed_factor / kMaxSpeedStep, target.speed_factor * kMaxSpeedStep);
        changed_.insert(target.destination);
    }
}

/// The decayed message count, divided by the time that it represents: the integral of the decay since the
/// first message.
double SubsetPlanner::message_rate(const DestinationState& state, Time now) const {
    if (state.message_count <= 0) return 0;
    const double memory = seconds(kRateMemory);
    const double elapsed = std::max(kMinRateSpan_s, seconds(now - state.first_message));
    const double represented = std::max(kMinRateSpan_s, memory * (1 - std::exp(-elapsed / memory)));
    return state.message_count * std::exp(-seconds(now - state.counted_at) / memory) / represented;
}

double SubsetPlanner::desired_size(const DestinationState& state, Time now) const {
    return subset_size(parameters_, config_, state.ring.size(), message_rate(state, now));
}
bool SubsetPlanner::needs_resize(double desired, double current) {
    if (desired == 0 || current == 0) return desired != current;
    return desired > current * kChangeRatio || desired < current / kChangeRatio;
}

/// Speed factors change the weights but not `sharers`: all forwarders reduce their calls to a slow target
/// alike, so its limit is still shared by the same forwarders.
std::vector<SubsetTarget> SubsetPlanner::compute_subset(const DestinationState& state) const {
    std::vector<SubsetTarget> subset =
        state.ring.subset(parameters_.ring_position, state.subset_size, parameters_.forwarder_count);
    double sum = 0;
    for (SubsetTarget& target : subset) sum += target.weight *= targets_.at(target.id).speed_factor;
    for (SubsetTarget& target : subset) {
        target.weight /= sum;
        if (limit_parts_ > 0)
            target.sharers *=
                static_cast<double>(limit_parts_) / static_cast<double>(parameters_.forwarder_count);
    }
    return subset;
}

std::vector<SubsetPlanner::Change> SubsetPlanner::take_changes(Time now, std::size_t max_count) {
    advance_slow_start(now);
    std::vector<Change> changes;
    while (!changed_.empty() && changes.size() < max_count) {
        const DestinationId destination = *changed_.begin();
        changed_.erase(changed_.begin());
        DestinationState& state = destinations_.at(destination);
        if (const double desired = desired_size(state, now); needs_resize(desired, state.subset_size))
            state.subset_size = desired;
        std::vector<SubsetTarget> subset;
        if (state.ring.size() > 1 && state.subset_size > 0) subset = compute_subset(state);
        const bool has_or_had_subset = !subset.empty() || !state.targets.empty();
        state.targets = subset;
        if (has_or_had_subset) changes.push_back({destination, std::move(subset)});
        if (state.ring.size() == 0) destinations_.erase(destination);
    }
    return changes;
}

std::string SubsetPlanner::target_reason(const std::string& id) const {
    const auto found = targets_.find(id);
    if (found == targets_.end()) return "gone";
    const Target& target = found->second;
    std::string reasons;
    const auto add = [&reasons](const std::string& text) { reasons += (reasons.empty() ? "" : "; ") + text; };
    if (target.slow_start_from)
        add("slow start: counts with " +
            percent((parameters_.slow_start_initial_share +
                     (1 - parameters_.slow_start_initial_share) * target.slow_start_step / kSlowStartSteps)) +
            " of its size");
    if (target.speed_factor < 1) add("slow: gets " + percent(target.speed_factor) + " of its part");
    if (weights_.contains(id)) add("weight set by the operator");
    return reasons.empty() ? "its part of the ring" : reasons;
}

std::vector<SubsetPlanner::Report> SubsetPlanner::reports(Time now) const {
    std::vector<Report> reports;
    for (const auto& [destination, state] : destinations_) {
        std::string reason = "a subset of " + std::to_string(state.targets.size()) + " of " +
                             std::to_string(state.ring.size()) +
                             " targets, sized by the traffic of this forwarder";
        if (state.ring.size() < 2)
            reason = "the only target";
        else if (!config_.enabled)
            reason = "no subset, by the operator's order (arcs = false): open connections are preferred";
        else if (state.targets.empty())
            reason = "no subset, for few forwarders and little traffic: open connections are preferred";
        else if (state.targets.size() == 1)
            reason = "little traffic: only the target at this forwarder's position on the ring";
        std::vector<std::string> target_reasons;
        for (const SubsetTarget& target : state.targets)
            target_reasons.push_back(this->target_reason(target.id));
        reports.push_back({destination, state.ring.size(), message_rate(state, now), state.subset_size,
            std::move(reason), state.targets, std::move(target_reasons)});
    }
    return reports;
}

}  // namespace lockgw::subsetting
