/// Maintains the subset of targets that this forwarder uses for each destination.
///
/// The caller records listed targets, messages and answers, and takes the subsets that have changed. The size
/// of a subset follows the forwarder's own traffic, so that the connections to all its targets stay in use.
/// It grows and shrinks in steps, so that not all forwarders of a cluster change their subsets at once. A
/// target that answers far more slowly than the others of its subset gets fewer calls. A target that has just
/// started gets its share of the calls gradually (slow start): all forwarders follow the same schedule, each
/// at a slightly different time. No I/O, no clock: times are the caller's.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cometspoke/sender.hpp"
#include "subsetting/hash_ring.hpp"

namespace lockgw::subsetting {

using cometspoke::DestinationId;
using cometspoke::Time;

/// The forwarder's position in its cluster, and the settings that subsets depend on.
struct SubsetParameters {
    double ring_position = 0;         ///< in [0, 1); see evenly_spaced_position()
    std::size_t forwarder_count = 1;  ///< of the cluster
    Time idle_timeout{0};             ///< of a connection; 0: none, and 60 s is assumed
    Time slow_start_window{0};        ///< a started target counts with its whole size after it; 0: at once
    double slow_start_initial_share = 1;  ///< share of its size that it counts with at the start
};
/// The operator's configuration; the bounds are numbers of targets.
struct SubsetConfig {
    bool enabled = true;  ///< false: no subsets; calls prefer connections that are already open
    std::optional<double> min_targets, max_targets;

    bool operator==(const SubsetConfig&) const = default;
};

/// Number of targets, in average segments of the ring, in the subset of a forwarder that sends `rate`
/// messages a second to a destination of `targets` targets; 0: no subset, all targets may be used.
double subset_size(
    const SubsetParameters& parameters, const SubsetConfig& config, std::size_t targets, double rate);

/// The load of the whole cluster on one target.
struct ConnectionEstimate {
    std::size_t forwarders = 0;  ///< that use the target
    double connections = 0;      ///< at least one from each of them, more where their calls overlap in time
};
/// Estimate for target `id` if each forwarder sends `rate` messages a second to the destination and an answer
/// takes `answer_s` seconds.
ConnectionEstimate estimate_connections(const HashRing& ring, const std::string& id,
    const SubsetParameters& parameters, const SubsetConfig& config, double rate, double answer_s);

/// The subsets of one forwarder, one for each destination.
class SubsetPlanner {
public:
    /// In a smaller cluster, unless the operator sets bounds, a destination has a subset only if the
    /// forwarder's own traffic keeps the connections to all targets of that subset in use.
    static constexpr std::size_t kMinForwarders = 16;
    /// Calls within a third of the idle timeout that make a connection worth keeping.
    static constexpr double kMinUses = 2.2;
    /// Sizes and speed factors stay as they are until they are off by this ratio.
    static constexpr double kChangeRatio = 1.3;
    static constexpr Time kRateMemory{20'000'000};    ///< time constant of the measured message rate
    static constexpr Time kRateExpiry{120'000'000};   ///< the rate restarts after this long without messages
    static constexpr double kSlowFactor = 2.0;        ///< a target is slow above this multiple of the median
    static constexpr double kMinSpeedFactor = 0.25;   ///< the slowest target keeps this part of its weight
    static constexpr double kMaxSpeedStep = 1.5;      ///< factor by which a speed factor changes at most,
    static constexpr Time kSpeedInterval{1'000'000};  ///< and the shortest time between two changes
    static constexpr int kSlowStartSteps = 8;

    explicit SubsetPlanner(const SubsetParameters& parameters, SubsetConfig config = {})
        : parameters_(parameters), config_(config) {}

    /// Adds or updates a target. One that is not `ready`, so may get no new calls, is removed; one that moved
    /// leaves its former destination. `started_at`: when the target started, if that was recently.
    void put(const std::string& id, DestinationId destination, double size, bool ready,
        std::optional<Time> started_at = std::nullopt);
    /// Removes the target, if there is one with this id.
    void erase(const std::string& id);
    /// Records a message for the destination, from which its message rate is measured.
    void record_message(DestinationId destination, Time now);
    /// Records the latency of a call that was served. Errors must not be recorded: they return quickly and
    /// would make a failing target look fast.
    void record_answer(const std::string& id, Time latency, Time now);
    /// Follows a change of the cluster: the forwarder's position and the number of forwarders, and the number
    /// of parts that rate limits are divided into.
    void set_position(double ring_position, std::size_t forwarder_count, std::size_t limit_parts);
    /// Replaces the operator's configuration. `weights`: factors on the sizes of targets, by id; 1 for those
    /// not named.
    void apply_config(const SubsetConfig& config, std::map<std::string, double> weights);

    /// A new subset, in place of the one that was last reported for the destination.
    struct Change {
        DestinationId destination;
        std::vector<SubsetTarget> targets;  ///< none: the destination no longer has a subset
    };
    /// Returns the changes since the last call, of at most `max_count` destinations.
    std::vector<Change> take_changes(Time now, std::size_t max_count = 64);

    /// The subset in force for a destination and the reason for it, for operators.
    struct Report {
        DestinationId destination;
        std::size_t target_count;          ///< of the whole destination
        double message_rate, subset_size;  ///< own messages a second; targets
        std::string reason;
        std::vector<SubsetTarget> targets;
        std::vector<std::string> target_reasons;  ///< of each of `targets`
    };
    std::vector<Report> reports(Time now) const;

private:
    struct DestinationState {
        explicit DestinationState(DestinationId destination) : ring(destination) {}
        HashRing ring;
        double message_count = 0;  // decays exponentially
        Time counted_at{0}, first_message{0};
        double subset_size = 0;             // as last reported; 0: no subset
        std::vector<SubsetTarget> targets;  // the same
        Time speed_checked_at{0};
    };
    struct Target {
        DestinationId destination = 0;
        double size = 1, weight = 1;            // as listed; the operator's factor
        Time last_start = Time::min() / 2;      // long ago where no start was reported
        std::optional<Time> slow_start_from;    // equal to last_start during slow start
        int slow_start_step = kSlowStartSteps;  // steps completed
        double latency_s = 0;                   // moving average
        int answer_count = 0;                   // up to kMinAnswers
        Time last_answer{0};
        double speed_factor = 1;  // on its weight; below 1: slow
    };
    double message_rate(const DestinationState& state, Time now) const;
    double desired_size(const DestinationState& state, Time now) const;
    static bool needs_resize(double desired, double current);
    double operator_weight(const std::string& id) const;
    double effective_size(const Target& target) const;
    Time slow_start_time(const Target& target, int step) const;
    void update_ring(const std::string& id, Target& target);
    void advance_slow_start(Time now);
    void update_speed_factors(DestinationState& state, Time now);
    std::vector<SubsetTarget> compute_subset(const DestinationState& state) const;
    std::string target_reason(const std::string& id) const;

    SubsetParameters parameters_;
    SubsetConfig config_;
    std::size_t limit_parts_ = 0;  // 0: one for each forwarder
    std::map<std::string, double> weights_;
    std::map<DestinationId, DestinationState> destinations_;
    std::map<std::string, Target> targets_;
    std::set<std::pair<Time, std::string>> slow_starting_;  // by the time of the next step
    std::set<DestinationId> changed_;
};

}  // namespace lockgw::subsetting
