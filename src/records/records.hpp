/// State records of one sender: endpoints, destinations, messages, calls and queues of ordering keys.
///
/// Plain data: nothing in this file makes decisions, does I/O or reads a clock. Times are microseconds on the
/// decision module's own clock. src/policy/ owns the records and fills them.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/units.hpp"
#include "containers/grouped_queue.hpp"

namespace cometspoke::policy {

constexpr Time kNever{4'000'000'000'000'000'000}, kLongAgo{-4'000'000'000'000'000'000};

using SchedulingOrder = std::set<std::pair<Time, DestinationId>>;  // by share tag

enum class Health { Healthy, Unhealthy, Recovering };  // Recovering: also while a long Retry-After lasts

// Rate limit and waits: one record for all endpoints of a destination, or one for each endpoint if the
// endpoint's kind has KindSettings::routes_apart.
struct Route {
    Time wait_until{kLongAgo};  // end of the longest known Retry-After
    Time limit_tag{kLongAgo};   // mClock limit tag (L)
    double known_limit = 0.0;   // calls per second from all senders, listed or reported; 0: unknown
    double share_factor = 0.0;  // own share of it, in even shares; 0: not refused yet, so all of it
    int limit_reductions = 0;   // reductions of share_factor since the last success
    double reported_limit =
        0.0;  // newest limit in an answer, received here or by a peer; used for pacing only
    double reported_remaining = -1.0;  // share of the limit that remained then; below 0: never reported
    Time limit_tag_base{kLongAgo};     // limit_tag is limit_tag_base
    double limit_tag_intervals = 1.0;  // plus this many intervals of the limit
    double sharers = 0.0;              // senders that share the limit, as even shares; 0: all senders
};

struct Endpoint {
    DestinationId destination = 0;
    // Record of `destination`; it is kept as long as an endpoint names the destination.
    struct Destination* destination_record = nullptr;
    std::size_t zone = 0;
    std::size_t kind = 0;
    Condition condition = Condition::Gone;
    Route own_route;  // used if KindSettings::routes_apart
    int in_flight = 0;
    std::vector<Time> idle_expiries;  // when each idle connection closes
    Time last_call_at{kLongAgo};      // when the latest call was sent
    Time last_outcome_at{kLongAgo};   // latest outcome that counted for health
    bool frequently_called = false;   // the latest call followed soon after the one before it
    bool is_counted = false;          // included in Destination::endpoint_count
    Health health = Health::Healthy;
    bool failure_seen = false;  // since it became unhealthy
    double failure_rate = 0.0;  // moving average of the share of calls that fail
    int consecutive_refusals = 0;
    Time last_success_at{kLongAgo}, last_refusal_at{kLongAgo}, connection_lost_at{kLongAgo},
        connect_failed_at{kLongAgo};
    Time unhealthy_since{kLongAgo};
    double aware_share = 1.0;     // share of the senders that know of the outage
    Time recovery_start{0};       // first success after an outage, or the end of its Retry-After
    Time recovery_tag{kLongAgo};  // limit tag while it is not healthy: the recovery budget
    double weight = 0.0;          // assigned share of this sender's calls; 0: outside the subset
    double virtual_finish = 0.0;  // when its share is used up, on Destination::virtual_time's scale
    std::uint64_t known_as = 0;   // ListEntry::known_as
};

struct Destination {
    Route shared_route;
    std::set<EndpointId> endpoints;
    std::map<std::uint64_t, MessageId> held;  // by arrival; messages with an open attempt stay in it
    std::map<std::size_t, std::size_t> held_by_class;
    lockgw::GroupedQueue<std::size_t, MessageId, Time> ready;  // messages that may be sent, by class
    std::size_t endpoint_count = 0;               // endpoints whose latest list entry names this destination
    SchedulingOrder* scheduling_order = nullptr;  // the order that it is in; null while it is parked
    bool parked = false;             // cannot be scheduled until some of its state changes or falls due
    double weight = 1.0;             // mClock weight (w): the listed rate, if there is one
    Time reservation_tag{kLongAgo};  // mClock reservation tag (R)
    Time share_tag{kLongAgo};        // mClock share tag (P); while messages are held, less the common offset
    int in_flight = 0;
    double typical_latency_s = 0.0;  // slow moving average of the response time; 0: unknown
    double message_rate = 0;         // own messages per second, as of last_message_at
    Time last_message_at{kLongAgo};
    double served_rate = 0;  // moving average of the own successes per second
    Time last_served{kLongAgo};
    bool subsetted = false;              // SpreadEvent has assigned shares to its endpoints
    double virtual_time = 0.0;           // calls to endpoints of the subset so far
    double newest_endpoint_limit = 0.0;  // KindSettings::routes_apart: newest limit reported by an endpoint
    Time spillover_tag{kLongAgo};        // when the next spillover call may be sent (records/spillover.hpp)
};

struct Message {
    std::size_t message_class = 0;
    DestinationId destination = 0;
    std::uint64_t arrival = 0;
    std::optional<std::uint64_t> key;
    Time created_at{0}, deadline{0}, not_before{kLongAgo};
    bool over_quota = false;
    std::uint32_t attempts = 0, route = 0;
    int open_attempts = 0;
    std::optional<Time> doubt_since;  // when the first attempt that may have run was sent
    std::optional<EndpointId> doubt_endpoint;
    bool in_ready_queue = false;  // in Destination::ready
};

struct Call {
    EndpointId endpoint = 0;
    Endpoint* endpoint_record = nullptr;  // record of `endpoint`; it is kept while calls are in flight
    Time sent_at{0};
    std::size_t open_attempts = 0;
    bool health_counted = false;  // an outcome of this call has been counted for the endpoint's health
    bool overtaken = false;       // a later call to the same endpoint was answered first
};

struct Attempt {
    std::uint64_t call = 0;  // the call that carries it
    std::optional<std::uint64_t> key;
    bool cancelled = false;
};

// Messages that share an ordering key: sent one at a time, in order of arrival.
struct KeyQueue {
    std::deque<MessageId> waiting;
    int open_attempts = 0;  // attempts without an outcome
    Time paused_until{kLongAgo};
    MessageId pause_exempt = 0;  // message that may be sent during the pause
};

}  // namespace cometspoke::policy
