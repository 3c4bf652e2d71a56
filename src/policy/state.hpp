/// What the decisions were tuned to (times in microseconds, shares and blends without a unit), and where they
/// keep what they know.
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

constexpr double kSigma = 1.0;                           // idle credit in sends: the design's default
constexpr double kLeastQuick = 0.02, kMostQuick = 20.0;  // bounds of what slot time makes of a weight
constexpr double kMaxDestinationSlotShare =
    0.75;                           // calls to one destination stay under this share of the slots
constexpr double kSickShare = 0.5;  // and at most this while it fails or is slow; also all sick ones together

// EndpointHealth l: the own part is between an even part and the whole. Steps are powers of n, the number of
// senders: the more they are, the rarer is each one's news and the further off its right part may be.
constexpr double kFall = -1.0 / 3.0;  // the first refusal: a third off among three senders, 3/4 among sixty
constexpr double kRise = 1.0 / 24.0;  // a success: eight for the first refusal after it
constexpr double kRiseRoom = 0.3;     // more with the told share of the limit that is left
constexpr double kLeastGain = 0.5;    // half an even part is always there while others keep to theirs

// In large fleets a sender hears of a partner too seldom by itself: what answers tell of limits is passed on.
constexpr std::size_t kNotesFrom = 16;    // senders
constexpr Time kLongestNews{10'000'000};  // no note puts a turn off for longer

constexpr double kUsualBlend = 0.05;    // the usual time to answer moves slowly, so slowness shows against it
constexpr double kUsualClip = 3.0;      // one long call counts as at most so many usual ones
constexpr double kSilentTimes = 5.0;    // summed waiting without a success, in usual times: exp(-5) by chance
constexpr Time kLeastUsual{50'000};     // floor of the usual time, against a sweep's coarseness
constexpr Time kFirstUsual{500'000};    // before any answer is known
constexpr double kRateBlend = 0.1;      // the own rate of successes: about the last ten
constexpr double kRateClip = 50.0;      // answers that come together are no rate of thousands a second
constexpr double kFailBlend = 0.3;      // two failures in a row from clean make 0.51
constexpr double kNewsAge_s = 4.0;      // outcomes older than this tell little of now: one failure trips
constexpr Time kLongWait{2'500'000};    // no limit makes wait so long: shut, and it opens then
constexpr double kRoomLeft = 0.9;       // refused with so much of the limit left: shut too
constexpr Time kSlowConnect{500'000};   // a connect that fails later found nobody: not an allowance used up
constexpr double kFailTrip = 0.5;       // most calls failing: an outage
constexpr double kSpoiltBlend = 0.1;    // seven spoilt answers in a row trip, one in ten among good never
constexpr double kFragileBar = 0.2;     // above this share of failures fragile messages wait
constexpr int kShutRefusals = 3;        // refusals in a row with no success between: shut, not above a limit
constexpr double kBudgetUse = 0.9;      // part of the fall-back budget used; limits lie below the capacity
constexpr double kLeastCapacity = 2.0;  // calls a second that any destination is taken to stand
constexpr double kArrivalRateMemory_s = 20.0,
                 kLeastKnowing = 0.05;    // own messages a second; share that knows
constexpr double kLeastTrials = 3.0;      // all senders together try so often in a fall-back window, at least
constexpr Time kTrialGap{250'000};        // sends to an endpoint that is sick are at least so far apart,
constexpr Time kLeastGap{10'000};         // and to one that answers again so far at most, and at least so
constexpr double kTimeOutTimes = 8.0;     // time-out in usual times, where a repeat is allowed
constexpr Time kLeastTimeOut{1'000'000};  // or, where it is shorter,
constexpr double kLeastTimes = 12.0;      // so many usual times of all destinations
constexpr double kTrialTimes = 2.5;       // the same for the gap between trials
constexpr Time kLeastPaced{50'000};
constexpr Time kLeastOvertaken{200'000};  // less where later calls to the endpoint were answered first
constexpr double kScarce = 0.75;          // above this share of the slots taken, stuck calls are in the way
constexpr Time kDropTrip{500'000};        // a drop and the repeat after it need this much of a dedup window
constexpr Time kRetryGap{50'000};  // pause of a message after an attempt that failed; doubles with each
constexpr std::uint32_t kPauseDoublings = 4;
constexpr Time kDedupMargin{100'000};     // a resend leaves this much before its window closes
constexpr Time kSweep{100'000};           // silence is looked for this often while calls are out
constexpr double kNewConnection = 0.7;    // choosing: a new connection weighs as so many calls in flight
constexpr double kOtherZone = 0.4;        // and another zone as so many
constexpr double kAhead = 0.5;            // and each call that it is ahead of its part of the calls
constexpr double kMostBehind = 2.0;       // or less where it is behind: so many at most
constexpr double kNotNamed = 2.0;         // and one that this sender was not given
constexpr Time kRecent{60'000'000};       // after a failed connect: allowances of connections seldom change
constexpr int kReuse = 3;                 // an idle connection is kept if reused within this part of its time
constexpr double kRoomKept = 0.1;         // share of most_held kept free for worth
constexpr double kLeastDrain = 0.5;       // messages a second that any destination is expected to take
constexpr Time kLongStall{60'000'000};    // a stall longer than any deadline is as good as this
constexpr Time kQuotaBurst{1'000'000};    // a tenant's quota may come this far at once
constexpr Time kTidyGap{1'000'000};       // what has gone is looked for at most so often
constexpr std::size_t kExactHeld = 2000;  // with more held in all, who goes for room is found among
constexpr std::size_t kLookAt = 8;        // so many destinations with most held, and as many in turn,
constexpr std::size_t kLookEnds = 16;     // and so many messages at each end of theirs
constexpr std::size_t kExactReady = 256;  // with more ready at a destination, who loses most by waiting is
constexpr std::size_t kLookAround = 64;   // found among so many at the front, and round the aim
constexpr std::size_t kMostEnds = 500;    // messages ended in one decision: others wait for it
constexpr Time kStateAge{60'000'000};     // what was learned of a destination tells nothing after this
constexpr Time kWatchGap{500'000};        // first pause after a failed list call; doubles
constexpr int kWatchDoublings = 4;

struct State {
    State(Settings settings, std::uint64_t seed)
        : settings_(std::move(settings)), random_(seed), tie_break_seed_(seed) {
        quota_tags_.resize(settings_.tenants.size(), kLongAgo);
        connect_refused_at_.resize(settings_.kinds.size(), kLongAgo);
        if (settings_.must_subscribe) next_watch_at_ = kLongAgo;
        const std::size_t most = std::min<std::size_t>(settings_.most_held, 1u << 20);
        messages_.reserve(most), expiry_queue_.reserve(most),
            endpoints_.reserve(1u << 16);  // none grows in a turn
    }

    bool has_own_route(const Endpoint& endpoint) const { return settings_.kinds[endpoint.kind].routes_apart; }
    DestinationId limit_key(const Endpoint& one) const {
        return has_own_route(one) ? static_cast<DestinationId>(one.known_as) : one.destination;
    }
    Route& route_of(Endpoint& endpoint) {
        return has_own_route(endpoint) ? endpoint.own_route : endpoint.destination_record->shared_route;
    }
    // l: an even part of the limit times what was learned. Without a known limit it is unbounded (0) until
    // the first refusal, and what the destination is seen to take stands for it.
    double limit(const Route& route, const Destination& destination) const {
        if (route.reported_limit > 0 && route.reported_remaining >= 0) {
            const double told = lockgw::rate_limits::fair_share(
                route.reported_remaining, destination.held.size(), destination.in_flight, tells());
            const double learned = route.share_factor > 0
                                       ? std::max(lockgw::rate_limits::kMinShare, route.share_factor)
                                       : senders();
            return route.reported_limit / sharers(route) * std::min(learned, told);
        }
        if (route.share_factor == 0.0) return route.known_limit;
        return capacity(route, destination) / sharers(route) * route.share_factor;
    }
    double capacity(const Route& route, const Destination& destination) const {
        return route.known_limit > 0 ? route.known_limit
                                     : std::max(kLeastCapacity, destination.served_rate * senders());
    }
    bool tells() const { return settings_.notes && settings_.n_instances >= kNotesFrom; }
    void retag(Route& route, const Destination& destination) const {
        route.limit_tag =
            route.limit_tag_base + from_seconds(route.limit_tag_intervals / limit(route, destination));
    }
    // Among equals each sender goes by an order of its own, lest all prefer the same one.
    std::uint64_t rank_of(EndpointId id) const {
        return tie_break_seed_ == 0 ? id : lockgw::splitmix64(tie_break_seed_ ^ lockgw::splitmix64(id));
    }
    double sharers(const Route& route) const { return route.sharers > 0 ? route.sharers : senders(); }
    double senders() const { return static_cast<double>(settings_.n_instances); }
    double usual(const Destination& destination) const {
        const double known =
            destination.typical_latency_s > 0 ? destination.typical_latency_s : overall_latency_s_;
        return std::max(known > 0 ? known : seconds(kFirstUsual), seconds(kLeastUsual));
    }
    // w by what a call brings for the time of its slot, and by that time: the slow must not hold up the
    // quick.
    double slot_weight(const Destination& one) const {
        const double quick = overall_latency_s_ > 0 ? overall_latency_s_ / usual(one) : 1.0;
        return one.weight * std::clamp(quick * quick, kLeastQuick, kMostQuick);
    }
    // A fixed span is meant for answers in a tenth of a second or more; where all answer sooner it shrinks.
    Time paced(Time span, double times) const {
        if (overall_latency_s_ <= 0) return span;
        return std::min(span, std::max(kLeastPaced, from_seconds(times * overall_latency_s_)));
    }
    // How long a call is waited for; less where later ones to its endpoint were answered.
    Time patience(const Destination& destination, bool passed = false) const {
        const Time least = passed ? kLeastOvertaken : paced(kLeastTimeOut, kLeastTimes);
        return std::max(from_seconds(kTimeOutTimes * usual(destination)), least);
    }
    // Failing or slow: an endpoint is not well (silent, failing, or warming up).
    bool ailing(const Destination& destination) const {
        return std::any_of(destination.endpoints.begin(), destination.endpoints.end(),
            [this](EndpointId id) { return endpoints_.at(id).health != Health::Healthy; });
    }
    double drain_rate(const Destination& destination) const {
        return std::max(kLeastDrain, destination.served_rate);
    }
    // While it ails, a destination is expected to stay so for as long again as it has been without a success.
    Time stalled(const Destination& destination, Time now) const {
        if (!ailing(destination)) return Time(0);
        return std::min(kLongStall, now - destination.last_served);
    }
    const ClassSettings& class_settings(const Message& one) const {
        return settings_.classes[one.message_class];
    }
    double worth_of(const Message& message, Time served) const {
        const ClassSettings& kind = settings_.classes[message.message_class];
        if (served >= message.deadline) return 0.0;
        const double worth = kind.worth * (message.over_quota ? settings_.over_share_worth : 1.0);
        return worth * remaining_value(kind, settings_.loses_worth, message.created_at, served);
    }
    // The connection used last is taken first; the freshest closes last.
    static bool has_idle(const Endpoint& endpoint, Time now) {
        return !endpoint.idle_expiries.empty() && endpoint.idle_expiries.back() > now;
    }
    static void take_connection(Endpoint& endpoint, Time now) {
        if (has_idle(endpoint, now)) return endpoint.idle_expiries.pop_back();
        endpoint.idle_expiries.clear();
    }

    Settings settings_;
    std::mt19937_64 random_;
    std::uint64_t tie_break_seed_;  // drawn for this sender alone
    std::unordered_map<DestinationId, Destination> destinations_;
    std::map<DestinationId, Destination*> active_destinations_;  // those that hold messages,
    SchedulingOrder by_share_tag_;                               // all of them by share tag,
    SchedulingOrder healthy_order_, unhealthy_idle_order_,
        unhealthy_busy_order_;  // and those that are not parked, apart
    Time share_tag_offset_{0};  // their share tags are kept less this
    std::set<std::pair<std::size_t, DestinationId>> by_held_count_;
    std::set<DestinationId> unlisted_destinations_;  // of all: those that no endpoint names
    lockgw::DueQueue<MessageId, Time> expiry_queue_, backoff_queue_;
    lockgw::DueQueue<std::uint64_t, Time> key_pause_queue_, key_cleanup_queue_;  // of keys in order
    lockgw::DueQueue<DestinationId, Time> destination_due_queue_;  // their next tag, wait or budget
    std::map<EndpointId, std::size_t> doubtful_counts_;            // messages that may have run there
    DestinationId shed_scan_cursor_ = 0;
    int unhealthy_calls_ = 0, watch_failures_ = 0;
    std::unordered_map<EndpointId, Endpoint> endpoints_;
    std::unordered_map<MessageId, Message> messages_;
    std::map<std::uint64_t, KeyQueue> key_queues_;
    std::map<std::pair<MessageId, std::uint32_t>, Attempt> attempts_;
    std::map<std::uint64_t, Call> calls_;
    std::vector<Time> quota_tags_;                       // by tenant
    std::vector<Time> connect_refused_at_;               // by kind, the last connect that was refused
    std::set<EndpointId> freed_endpoints_;               // calls ended there in this batch
    std::vector<std::set<EndpointId>> route_endpoints_;  // endpoints that each allows, from route 1 on
    std::set<EndpointId> unlisted_endpoints_;            // no longer listed, and not forgotten yet
    lockgw::rate_limits::RateLimitTable reported_limits_;
    std::map<DestinationId, EndpointId>
        endpoint_by_limit_key_;  // those whose routes are apart, by what all know them as
    Time next_gossip_at_{kLongAgo};
    std::vector<Action> actions_;
    std::uint64_t arrival_count_ = 0, call_count_ = 0;
    double overall_latency_s_ = 0.0;
    bool picked_by_reservation_ = false;
    Time next_watch_at_ = kNever, timer_at_{kLongAgo}, next_cleanup_at_{kLongAgo};
};

}  // namespace cometspoke::policy
