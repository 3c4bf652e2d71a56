/// The tuning constants of the decision module and the state that it keeps between decisions.
///
/// Durations of type Time are in microseconds, names ending in _s are in seconds; shares and smoothing
/// factors have no unit. The records that the state consists of are in records/records.hpp.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

#include "base/splitmix64.hpp"
#include "base/value_decay.hpp"
#include "containers/due_queue.hpp"
#include "rate_limits/fair_share.hpp"
#include "rate_limits/gossip_schedule.hpp"
#include "records/merge_learned.hpp"
#include "records/spillover.hpp"

namespace cometspoke::policy {

// ---- scheduling (mClock) ----

// Sigma: calls that a destination may catch up on after it was idle; the default of the mClock design.
constexpr double kIdleCreditCalls = 1.0;
// Bounds of the factor by which the latency of a destination changes its weight (State::slot_weight).
constexpr double kMinSpeedFactor = 0.02, kMaxSpeedFactor = 20.0;
// Calls to one destination stay under this share of the slots.
constexpr double kMaxDestinationSlotShare = 0.75;
// The same for a destination that fails or is slow, and also for all such destinations together.
constexpr double kMaxUnhealthySlotShare = 0.5;

// ---- rate limits ----

// This sender's part of a shared rate limit (l) is learned from refusals and successes. It lies between an
// even share (the limit divided by the number of senders) and the whole limit. The steps are powers of n, the
// number of senders: the more senders there are, the more rarely each gets an answer and the further off its
// part may be.
constexpr double kRefusalExponent =
    -1.0 / 3.0;  // the first refusal: minus 1/3 with 3 senders, minus 3/4 with 60
constexpr double kSuccessExponent = 1.0 / 24.0;  // eight successes make up for the first refusal
// Added, times the reported share of the limit that is left.
constexpr double kSuccessExponentPerShareLeft = 0.3;
constexpr double kMinLearnedShare = 0.5;  // half an even share is always free while the others keep to theirs

// In a large fleet a sender calls an endpoint too rarely to know its limit from its own answers alone:
// senders tell one another of the limits that answers report.
constexpr std::size_t kGossipMinSenders = 16;
constexpr Time kMaxGossipDelay{10'000'000};  // a peer's report delays the next call by at most this

// ---- health of endpoints ----

// The typical latency changes slowly, so that slowness shows against it.
constexpr double kLatencySmoothing = 0.05;
constexpr double kLatencyClipFactor = 3.0;  // one long call counts as at most this many typical latencies
// An endpoint is unhealthy when the waiting time of its calls, summed since its last success, is above this
// many typical latencies; by chance alone that has a probability of exp(-5).
constexpr double kSilenceLatencies = 5.0;
// Lower bound of the typical latency: silence is checked only every kSilenceCheckInterval.
constexpr Time kMinTypicalLatency{50'000};
constexpr Time kInitialTypicalLatency{500'000};  // before any answer is known
constexpr double kServedRateSmoothing = 0.1;     // averages this sender's successes over about the last ten
// Upper bound of one sample of that rate: answers that arrive together do not mean thousands a second.
constexpr double kMaxServedRateSample = 50.0;
constexpr double kFailureSmoothing = 0.3;  // two failures in a row after none give a failure share of 0.51
// Older outcomes say little about the present: after about this time without one, a single failure means an
// outage.
constexpr double kFailureMemory_s = 4.0;
// A retry-after wait above this is no rate limit: the endpoint has an outage until the wait ends.
constexpr Time kOutageRetryAfter{2'500'000};
constexpr double kOutageShareLeft = 0.9;  // refused although so much of the limit is left: an outage too
// A connect that fails later than this reached nobody. One that fails sooner may have met a limit of
// connections.
constexpr Time kSlowConnectFailure{500'000};
constexpr double kOutageFailureShare = 0.5;  // most calls fail: an outage
// Seven unreadable answers in a row make an outage; one in ten among good ones never does.
constexpr double kUnreadableSmoothing = 0.1;
constexpr double kMaxFragileFailureShare = 0.2;  // fragile messages wait while more calls than this fail
// Then one of them goes as a trial so long after the latest call or outcome; at an endpoint that is unhealthy
// it is likely to be lost.
constexpr Time kFragileTrialPause{250'000}, kFragileOutageTrialPause{4'000'000};
constexpr int kOutageRefusals = 3;  // refusals in a row without a success: an outage, not a rate limit

// ---- recovery of endpoints ----

// Share of the recovery budget that is used. Known limits stand for the capacity, which lies above them.
constexpr double kRecoveryBudgetUse = 0.9;
constexpr double kMinCapacityPerS = 2.0;  // calls per second that any destination is assumed to sustain
// Time constant of the average arrival rate, and the least share of the senders that is assumed to know of an
// outage.
constexpr double kArrivalRateMemory_s = 20.0, kMinAwareShare = 0.05;
constexpr double kMinTrialsPerWindow = 3.0;  // calls of all senders together in a recovery window, at least
// Least time between calls to an unhealthy endpoint. Between calls to one that answers again it is the
// longest time, or `longest_gap` of EndpointHealth::charge_recovery_budget() where that is longer.
constexpr Time kUnhealthyTrialGap{250'000};
constexpr Time kMinRecoveryGap{10'000};  // least time between calls to an endpoint that answers again

// ---- timeouts, retries and cancelled calls ----

constexpr double kCallTimeoutLatencies = 8.0;      // Timeout in typical latencies, where a repeat is allowed.
constexpr Time kMinCallTimeout{1'000'000};         // Least timeout, unless the next constant gives less.
constexpr double kMinCallTimeoutLatencies = 12.0;  // Least timeout in typical latencies of all destinations.
constexpr double kTrialGapLatencies = 2.5;         // kUnhealthyTrialGap is shortened in the same way
constexpr Time kMinScaledSpan{50'000};             // no span is shortened below this
// In place of kMinCallTimeout where later calls were answered first.
constexpr Time kMinOvertakenTimeout{200'000};
// With more of the slots taken, stuck calls keep others from a slot.
constexpr double kScarceSlotShare = 0.75;
// Part of a dedup window that a cancelled call and its repeat need.
constexpr Time kCancelAndResendTime{500'000};
constexpr Time kFirstBackoff{50'000};  // pause of a message after a failed attempt; doubles with each
constexpr std::uint32_t kMaxBackoffDoublings = 4;
constexpr Time kDedupWindowMargin{100'000};  // a repeat is sent at least this long before its window closes
constexpr Time kSilenceCheckInterval{100'000};  // while calls are out

// ---- choice of an endpoint: costs in calls in flight ----

constexpr double kNewConnectionCost = 0.7;
constexpr double kOtherZoneCost = 0.4;
// For each call that the endpoint is ahead of its part of the calls.
constexpr double kAheadOfShareCost = 0.5;
// An endpoint behind its part costs less, for at most this many calls.
constexpr double kMaxCallsBehindShare = 2.0;
constexpr double kOutsideSubsetCost = 2.0;  // for an endpoint outside this sender's subset

// ---- connections ----

// Idle connections are closed for so long after a refused connect: limits of connections seldom change.
constexpr Time kConnectRefusedMemory{60'000'000};
// An idle connection is kept if it is reused within conn_idle divided by this.
constexpr int kIdleReuseDivisor = 3;

// ---- load shedding ----

// Share of Settings::most_held kept free for messages of more value.
constexpr double kFreeCapacityShare = 0.1;
constexpr double kMinDrainRate = 0.5;  // messages per second that any destination is expected to take
constexpr Time kMaxExpectedOutage{60'000'000};  // beyond any deadline a longer outage makes no difference
constexpr Time kQuotaBurst{1'000'000};          // a tenant may use its quota this far ahead
constexpr Time kCleanupInterval{1'000'000};     // least time between two removals of unreferenced state
// With more messages held, the message to shed is chosen from a sample.
constexpr std::size_t kMaxHeldForExactShedding = 2000;
// The sample takes this many destinations with the longest queues, and as many others in round-robin order;
constexpr std::size_t kShedScanDestinations = 8;
constexpr std::size_t kShedScanPerQueueEnd = 16;  // this many messages at either end of each
// With more messages ready at a destination, the one that loses the most value by waiting is chosen from a
// sample.
constexpr std::size_t kMaxReadyForExactPick = 256;
// The sample takes of each class this many messages at the front, and as many on either side of its aim.
constexpr std::size_t kPickScanMessages = 64;
// Messages ended in one decision, since other messages wait until it is made; the rest end in the next
// decisions.
constexpr std::size_t kMaxEndsPerDecision = 500;
// What was learned about a destination is out of date after this.
constexpr Time kDestinationStateLifetime{60'000'000};

// ---- list of discovery ----

constexpr Time kFirstWatchBackoff{500'000};  // pause after a failed list call; doubles with each
constexpr int kMaxWatchBackoffDoublings = 4;

/// All that one sender knows between decisions. Not thread-safe; Sender owns it.
struct State {
    State(Settings settings, std::uint64_t seed)
        : settings_(std::move(settings)), random_(seed), tie_break_seed_(seed) {
        quota_tags_.resize(settings_.tenants.size(), kLongAgo);
        connect_refused_at_.resize(settings_.kinds.size(), kLongAgo);
        if (settings_.must_subscribe) next_watch_at_ = kLongAgo;
        const std::size_t capacity = std::min<std::size_t>(settings_.most_held, 1u << 20);
        // so that no decision pays for a rehash
        messages_.reserve(capacity), expiry_queue_.reserve(capacity), endpoints_.reserve(1u << 16);
    }

    // Whether the endpoint has a rate limit, waits and outages of its own instead of its destination's.
    bool has_own_route(const Endpoint& endpoint) const { return settings_.kinds[endpoint.kind].routes_apart; }
    // The key of the endpoint's rate limit in reports between senders: the same at all of them.
    DestinationId limit_key(const Endpoint& endpoint) const {
        return has_own_route(endpoint) ? static_cast<DestinationId>(endpoint.known_as) : endpoint.destination;
    }
    Route& route_of(Endpoint& endpoint) {
        return has_own_route(endpoint) ? endpoint.own_route : endpoint.destination_record->shared_route;
    }
    // This sender's rate limit in calls per second (l): an even share of the shared limit times the learned
    // factor. Without a known limit it is unbounded (0) until the first refusal; from then on the rate at
    // which the destination is seen to answer takes the place of the limit. Where an answer reported how much
    // of the limit is left, fair_share() bounds the learned factor.
    double sender_limit(const Route& route, const Destination& destination) const {
        if (route.reported_limit > 0 && route.reported_remaining >= 0) {
            const double fair = lockgw::rate_limits::fair_share(
                route.reported_remaining, destination.held.size(), destination.in_flight, gossips_limits());
            const double learned = route.share_factor > 0
                                       ? std::max(lockgw::rate_limits::kMinShare, route.share_factor)
                                       : sender_count();
            return route.reported_limit / senders_sharing(route) * std::min(learned, fair);
        }
        if (route.share_factor == 0.0) return route.known_limit;
        return estimated_capacity(route, destination) / senders_sharing(route) * route.share_factor;
    }
    // Calls per second from all senders that the destination takes: its known limit, else what it is seen to
    // answer.
    double estimated_capacity(const Route& route, const Destination& destination) const {
        return route.known_limit > 0 ? route.known_limit
                                     : std::max(kMinCapacityPerS, destination.served_rate * sender_count());
    }
    bool gossips_limits() const { return settings_.notes && settings_.n_instances >= kGossipMinSenders; }
    // Recomputes the limit tag (L) from its last step, after the limit has changed.
    void update_limit_tag(Route& route, const Destination& destination) const {
        route.limit_tag =
            route.limit_tag_base + from_seconds(route.limit_tag_intervals / sender_limit(route, destination));
    }
    // Order among endpoints of equal cost. It differs from sender to sender, so that not all prefer the same
    // endpoint.
    std::uint64_t tie_break_rank(EndpointId id) const {
        return tie_break_seed_ == 0 ? id : lockgw::splitmix64(tie_break_seed_ ^ lockgw::splitmix64(id));
    }
    double senders_sharing(const Route& route) const {
        return route.sharers > 0 ? route.sharers : sender_count();
    }
    double sender_count() const { return static_cast<double>(settings_.n_instances); }
    double typical_latency_s(const Destination& destination) const {
        const double known =
            destination.typical_latency_s > 0 ? destination.typical_latency_s : overall_latency_s_;
        return std::max(known > 0 ? known : seconds(kInitialTypicalLatency), seconds(kMinTypicalLatency));
    }
    // The weight (w) by what a call delivers per slot time, and again by slot time (hence the square): calls
    // to slow destinations must not hold up those to quick ones.
    double slot_weight(const Destination& destination) const {
        const double speed =
            overall_latency_s_ > 0 ? overall_latency_s_ / typical_latency_s(destination) : 1.0;
        return destination.weight * std::clamp(speed * speed, kMinSpeedFactor, kMaxSpeedFactor);
    }
    // `span`, or `latencies` typical latencies where that is shorter: fixed spans are meant for answers that
    // take a tenth of a second or more.
    Time scaled_to_latency(Time span, double latencies) const {
        if (overall_latency_s_ <= 0) return span;
        return std::min(span, std::max(kMinScaledSpan, from_seconds(latencies * overall_latency_s_)));
    }
    // How long to wait for an answer; less for a call that is overtaken (a later one to its endpoint was
    // answered).
    Time call_timeout(const Destination& destination, bool overtaken = false) const {
        const Time least =
            overtaken ? kMinOvertakenTimeout : scaled_to_latency(kMinCallTimeout, kMinCallTimeoutLatencies);
        return std::max(from_seconds(kCallTimeoutLatencies * typical_latency_s(destination)), least);
    }
    // A destination is unhealthy while any of its endpoints is: silent, failing, or in slow start.
    bool has_unhealthy_endpoint(const Destination& destination) const {
        return std::any_of(destination.endpoints.begin(), destination.endpoints.end(),
            [this](EndpointId id) { return endpoints_.at(id).health != Health::Healthy; });
    }
    // Whether a fragile message may go to the endpoint: hardly any calls fail there, or it has not been heard
    // of for a while. Where no messages of other classes go, nothing but such a trial shows that it is well.
    bool takes_fragile(const Endpoint& endpoint, Time now) const {
        return !fails_too_often(endpoint) || (endpoint.in_flight == 0 && fragile_trial_at(endpoint) <= now);
    }
    static bool fails_too_often(const Endpoint& endpoint) {
        return endpoint.failure_rate > kMaxFragileFailureShare || endpoint.health == Health::Unhealthy;
    }
    static Time fragile_trial_at(const Endpoint& endpoint) {
        const Time latest = std::max(endpoint.last_call_at, endpoint.last_outcome_at);
        return latest +
               (endpoint.health == Health::Unhealthy ? kFragileOutageTrialPause : kFragileTrialPause);
    }
    bool holds_fragile(const Destination& destination) const {
        return std::any_of(
            destination.held_by_class.begin(), destination.held_by_class.end(), [this](const auto& held) {
                return held.second > 0 && settings_.classes[held.first].effect == Effect::Fragile;
            });
    }
    // Messages per second that the destination is expected to take.
    double drain_rate(const Destination& destination) const {
        return std::max(kMinDrainRate, destination.served_rate);
    }
    // An unhealthy destination is expected to stay so for as long again as it has been without a success.
    Time expected_outage(const Destination& destination, Time now) const {
        if (!has_unhealthy_endpoint(destination)) return Time(0);
        return std::min(kMaxExpectedOutage, now - destination.last_served);
    }
    const ClassSettings& class_settings(const Message& message) const {
        return settings_.classes[message.message_class];
    }
    // The value of a message that is delivered at `served`: 0 from its deadline on.
    double value_at(const Message& message, Time served) const {
        const ClassSettings& message_class = settings_.classes[message.message_class];
        if (served >= message.deadline) return 0.0;
        const double value = message_class.worth * (message.over_quota ? settings_.over_share_worth : 1.0);
        return value * remaining_value(message_class, settings_.loses_worth, message.created_at, served);
    }
    // Idle connections are a stack: the connection used last is taken first, and is the last to close.
    static bool has_idle_connection(const Endpoint& endpoint, Time now) {
        return !endpoint.idle_expiries.empty() && endpoint.idle_expiries.back() > now;
    }
    static void take_connection(Endpoint& endpoint, Time now) {
        if (has_idle_connection(endpoint, now)) return endpoint.idle_expiries.pop_back();
        endpoint.idle_expiries.clear();
    }

    Settings settings_;
    std::mt19937_64 random_;
    std::uint64_t tie_break_seed_;  // see tie_break_rank()
    std::unordered_map<DestinationId, Destination> destinations_;
    std::map<DestinationId, Destination*> active_destinations_;  // those that hold messages
    SchedulingOrder by_share_tag_;                               // all active destinations
    // Active destinations that are not parked, by share tag and health (MclockTags::enter_order).
    SchedulingOrder healthy_order_, unhealthy_idle_order_, unhealthy_busy_order_;
    Time share_tag_offset_{0};  // the share tags of active destinations are stored less this
    std::set<std::pair<std::size_t, DestinationId>> by_held_count_;  // active destinations by messages held
    std::set<DestinationId> unlisted_destinations_;  // those that no endpoint was last listed for
    lockgw::DueQueue<MessageId, Time> expiry_queue_, backoff_queue_;
    // By ordering key: when the pause after a doubtful attempt ends, and when an empty queue may be removed.
    lockgw::DueQueue<std::uint64_t, Time> key_pause_queue_, key_cleanup_queue_;
    // The next tag, wait or recovery budget of each destination that falls due.
    lockgw::DueQueue<DestinationId, Time> destination_due_queue_;
    std::map<EndpointId, std::size_t> doubtful_counts_;  // messages that may have run at the endpoint
    DestinationId shed_scan_cursor_ = 0;                 // round-robin position (lowest_value_of_sample)
    // Calls in flight to unhealthy destinations; failed list calls in a row.
    int unhealthy_calls_ = 0, watch_failures_ = 0;
    std::unordered_map<EndpointId, Endpoint> endpoints_;
    std::unordered_map<MessageId, Message> messages_;
    std::map<std::uint64_t, KeyQueue> key_queues_;
    // Attempts in flight, by message and attempt number, and calls in flight, by call number.
    std::map<std::pair<MessageId, std::uint32_t>, Attempt> attempts_;
    std::map<std::uint64_t, Call> calls_;
    std::vector<Time> quota_tags_;          // by tenant
    std::vector<Time> connect_refused_at_;  // by kind, the latest refused connect
    std::set<EndpointId> freed_endpoints_;  // calls ended there in this batch
    // The endpoints that each route allows, from route 1 on.
    std::vector<std::set<EndpointId>> route_endpoints_;
    std::set<EndpointId> unlisted_endpoints_;                    // no longer listed, and still referred to
    lockgw::rate_limits::RateLimitTable reported_limits_;        // reported by answers and peers
    std::map<DestinationId, EndpointId> endpoint_by_limit_key_;  // endpoints with a route of their own
    Time next_gossip_at_{kLongAgo};
    std::vector<Action> actions_;  // of the decision in progress
    std::uint64_t arrival_count_ = 0, call_count_ = 0;
    double overall_latency_s_ = 0.0;      // typical latency over all destinations; 0: none known
    bool picked_by_reservation_ = false;  // the current pick comes from mClock's reservation phase
    Time next_watch_at_ = kNever, timer_at_{kLongAgo}, next_cleanup_at_{kLongAgo};
};

}  // namespace cometspoke::policy
