/// The interface of the decision module: its settings, events and actions, and the class Sender.
///
/// - Units: every time is a std::chrono::microseconds count on the caller's own monotonic clock.
/// - Ownership: a Sender owns all its state and shares nothing with other Senders.
/// - Threads: a Sender is not thread-safe; only one thread at a time may call it. It starts no thread and
/// does no I/O.
/// - Determinism: the same settings, seed, events and times give the same actions.
///
/// A destination has endpoints; a message is delivered to one of the endpoints of its destination. A call is
/// one request to an endpoint. It carries one or more attempts, and an attempt is one try to deliver one
/// message. The worth of a message is its value, which falls when it is delivered late.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cometspoke {

using Time = std::chrono::microseconds;
using MessageId = std::uint64_t;
using EndpointId = std::uint32_t;
using DestinationId = std::int64_t;
using RouteId = std::uint32_t;  ///< 0: any endpoint of the destination

/// The effect of a repeated delivery: harmless; dropped by the endpoint within a window; or executed a second
/// time.
enum class Effect { Retryable, Dedup, Fragile };
/// Which endpoints of a destination drop a repeat of a Dedup message: all, those in the zone of the first
/// attempt, or only the endpoint of the first attempt.
enum class DedupScope { All, Zone, Endpoint };
/// How the worth of a message falls after its aim: linearly to late_worth at the deadline, or by half with
/// each further aim.
enum class LateWorth { Linear, Halving };

struct ClassSettings {
    Effect effect = Effect::Retryable;
    DedupScope dedup_scope = DedupScope::All;
    Time window{0};    ///< how long repeats are dropped, counted from the first attempt that may have run
    Time aim{0};       ///< full worth when delivered within this time of its arrival
    Time deadline{0};  ///< after this time it has no worth, and the client gets a final answer
    double worth = 1.0;
    double late_worth = 0.0;
    bool sequential = false;  ///< messages with the same key are delivered one at a time, in arrival order
    std::size_t max_attempts = 0;  ///< attempts of one message of this class; 0: Settings::max_attempts

    bool operator==(const ClassSettings&) const = default;
};

struct TenantSettings {
    double quota_per_s = 0.0;  ///< messages per second over all senders; 0: no quota
};

struct KindSettings {
    bool routes_apart = false;  ///< each endpoint has a rate limit, waits and outages of its own
    std::size_t per_call = 1;   ///< messages that one call may carry
};

/// The settings of a Sender. Those that come from the operator's rules have the same names as there.
struct Settings {
    std::vector<ClassSettings> classes;
    std::vector<TenantSettings> tenants;
    std::vector<KindSettings> kinds;
    std::optional<std::size_t> zone;  ///< index of this sender's own zone
    std::size_t zones = 0;
    std::size_t n_instances = 1;
    std::size_t slots = 0;      ///< calls in flight at once
    std::size_t most_held = 0;  ///< messages held at once
    std::size_t max_attempts = 1;
    bool cancel = false;
    bool must_subscribe = false;    ///< list changes arrive only after a Watch action
    bool listed_rates = false;      ///< ListEntry::rate is the destination's agreed rate
    double floor_per_s = 0.0;       ///< reserved calls per second of each destination (r of mClock); 0: none
    double over_share_worth = 1.0;  ///< factor on the worth of messages above their tenant's quota
    LateWorth loses_worth = LateWorth::Linear;
    Time conn_idle{0};           ///< how long an idle connection stays open
    Time fall{0};                ///< window of the recovery budget (fall_multiple)
    Time warm_within{0};         ///< slow start: until an endpoint that returned has its full capacity again
    Time settle_after_doubt{0};  ///< pause of a key after an attempt that may still be running
    double fall_multiple = 1.0;  ///< recovery budget: calls per window, in multiples of the present capacity
    double cold_from = 1.0;      ///< slow start: share of the capacity that is there right after the return
    bool paused = false;         ///< no attempt is started
    bool notes = false;          ///< senders exchange messages (TellPeers, PeerNote)
    std::size_t own_number = 0;  ///< index of this sender among n_instances
};

// ---- events ----

enum class Condition { Gone, Ready, Draining };
enum class ListKind { Cached, Full, Changes, Failed };

struct ListEntry {
    EndpointId endpoint = 0;
    DestinationId destination = 0;
    std::size_t zone = 0;
    std::size_t kind = 0;
    double rate = 0.0;  ///< agreed calls per second from all senders; only with Settings::listed_rates
    Condition condition = Condition::Ready;
    /// It was out of service, and returns as after an outage. Set once, when it may serve again.
    bool cold = false;
    /// Identifies the endpoint in messages between senders: the same at all of them, and unique. 0: none is
    /// sent about it.
    std::uint64_t known_as = 0;
};
/// A list of endpoints from discovery. Cached and Full replace the list, Changes amends it, and Failed (the
/// list call failed) leaves it as it is.
struct ListEvent {
    ListKind kind = ListKind::Full;
    std::vector<ListEntry> entries;
};
/// A new message. It ends exactly once: by a terminal outcome, Refuse or Fail.
struct MessageEvent {
    MessageId message = 0;
    DestinationId destination = 0;
    std::size_t message_class = 0;
    std::optional<std::size_t> tenant;
    std::optional<std::uint64_t> key;
    Time left{0};  ///< time until its deadline; 0 or less: it is overdue
    /// For a message that was accepted before a restart: the attempts started so far, and the first of them
    /// that may have run, if any.
    std::uint32_t attempts = 0;
    struct Doubt {
        Time age{0};                           ///< time since it was sent
        std::optional<EndpointId> endpoint{};  ///< where it was sent, if that is still known
    };
    std::optional<Doubt> doubt{};
    RouteId route = 0;  ///< of the latest RoutesEvent: which endpoints the message may go to
};
/// The response of a streamed message has begun: from here on the attempt belongs to the client.
struct StreamStarted {
    MessageId message = 0;
    std::uint32_t attempt = 0;
};
/// How an attempt ended.
enum class Outcome {
    Served,          ///< delivered
    ServerError,     ///< an answer that reports an error; it may have run
    TurnedAway,      ///< refused; it has not run
    NoAnswer,        ///< timed out; it may have run
    NoConnection,    ///< no connection was made; it has not run
    ConnectionLost,  ///< lost while the call was out; it may have run
    CalledOff,       ///< cancelled or given up by this sender; it may have run
    NotSent,         ///< never sent; it has not run
    Unreadable       ///< an answer that cannot be read; it may have run
};
/// What an answer reports about the rate limit.
struct LoadReport {
    double left = 0.0;   ///< share of the limit that is left
    double limit = 0.0;  ///< calls per second from all senders; 0: no limit
};
/// The end of an attempt: exactly one for each Send.
struct OutcomeEvent {
    MessageId message = 0;
    EndpointId endpoint = 0;
    std::uint32_t attempt = 0;
    Outcome outcome = Outcome::Served;
    bool terminal = false;  ///< the message has its final answer
    Time rtt{0};
    Time wait{0};  ///< the retry-after wait, also of an answer that proves nothing else; 0: none
    std::optional<LoadReport> report;
};
/// Which endpoints each route allows, from route 1 on. Replaces all earlier routes. A route restricts a
/// message to some endpoints of its destination and changes nothing else.
struct RoutesEvent {
    std::vector<std::vector<EndpointId>> only;
};
/// Changes the route of a held message. Attempts that are out continue.
struct RerouteEvent {
    MessageId message = 0;
    RouteId route = 0;
};
/// New settings. Messages and lists refer to classes, tenants, kinds and zones by index: each of them keeps
/// its index, their settings may change, and new ones are appended.
struct SettingsEvent {
    Settings settings;
};
/// The subset of a destination's endpoints that this sender uses, with weights. Replaces the earlier subset
/// of the destination. An endpoint outside the subset gets a call only if none of the subset may have one, or
/// those of the subset are busier.
struct SpreadEvent {
    struct Part {
        EndpointId endpoint = 0;
        double weight = 1.0;  ///< above 0; the weights of a destination sum to 1
        /// The number of parts of this size that its limit is shared in, this sender's included; 0: one for
        /// each sender.
        double sharers = 0.0;
    };
    DestinationId destination = 0;
    std::vector<Part> parts;
};
/// Knowledge of another process that is still considered valid. It fills in only what this Sender does not
/// know itself; of two waits the one that ends later holds. Times are on the caller's clock and may be long
/// past.
struct LearnedEvent {
    struct Limit {
        double known = 0, gain = 0, heard = 0, left = -1;  ///< see policy::Route
        Time at{0};                                        ///< when an answer reported `heard`
    };
    struct Outage {
        bool answers = false;  ///< it was in slow start
        bool failure_seen = false;
        double failing = 0, knowing = 1;
        int refused_row = 0;
        Time fell{0}, last_good{0}, heard{0}, returned{0}, next_trial{0};
    };
    struct Endpoint {
        EndpointId endpoint = 0;
        DestinationId destination = 0;  ///< the fact is ignored if the endpoint belongs to another one by now
        std::optional<Time> wait_until{};
        std::optional<Outage> outage{};
        std::optional<Limit> limit{};  ///< its own limit, for kinds with routes_apart
    };
    struct Destination {
        DestinationId destination = 0;
        std::optional<Limit> limit{};
        double usual_s = 0, served_per_s = 0, asked_per_s = 0;
    };
    std::vector<Endpoint> endpoints;
    std::vector<Destination> destinations;
    double usual_s = 0;  ///< typical latency over all destinations
};
/// The client has given the message up: no answer is needed any more.
struct AbandonedEvent {
    MessageId message = 0;
};
/// The timer that SetTimer asked for has expired.
struct TimerFired {};
struct ProbeResult {
    EndpointId endpoint = 0;
    Outcome outcome = Outcome::Served;
    Time rtt{0};
    std::optional<LoadReport> report;
};
/// Bytes of a TellPeers action of another sender; `from`: its own_number.
struct PeerNote {
    std::size_t from = 0;
    std::string bytes;
};
using Event = std::variant<ListEvent, MessageEvent, StreamStarted, OutcomeEvent, AbandonedEvent, TimerFired,
    ProbeResult, PeerNote, RoutesEvent, RerouteEvent, SettingsEvent, SpreadEvent, LearnedEvent>;

// ---- actions ----

/// Start an attempt. The attempts of a message are numbered from 0, in the order of their Sends.
struct Send {
    MessageId message = 0;
    EndpointId endpoint = 0;
    Time time_out{0};
    /// Its last byte must be written by this time, or nothing of it sent: a repeat that is written later may
    /// take effect a second time.
    Time begin_by{Time::max()};
};
struct CancelAttempt {
    MessageId message = 0;
    std::uint32_t attempt = 0;
};
/// Final answer: the message never ran, or may be repeated at any time. The client may retry after the given
/// time.
struct Refuse {
    MessageId message = 0;
    Time retry_after{0};
};
/// Final answer: given up. Whether the message took effect is not known.
struct Fail {
    MessageId message = 0;
};
/// Send TimerFired after this time; replaces an earlier timer.
struct SetTimer {
    Time delay{0};
};
struct Probe {
    EndpointId endpoint = 0;
};
/// Close the idle connections to the endpoint.
struct CloseIdle {
    EndpointId endpoint = 0;
};
/// Send the bytes to one other sender (by its own_number), or to all if `to` is empty.
struct TellPeers {
    std::optional<std::size_t> to;
    std::string bytes;
};
/// Subscribe to list changes.
struct Watch {
    bool on = true;
};
struct FetchList {};
struct Log {
    std::string text;
};
/// The endpoint is no longer listed, and nothing in the Sender refers to it any more. Its number must not be
/// used again.
struct Forget {
    EndpointId endpoint = 0;
};
using Action = std::variant<Send, CancelAttempt, Refuse, Fail, SetTimer, Probe, CloseIdle, TellPeers, Watch,
    FetchList, Log, Forget>;

namespace policy {
struct State;
}

/// Makes the decisions of one sender. Pass every event to observe(), then call decide() once for the batch
/// and carry out the actions in order. Message ids that are unknown, or no longer known, are ignored.
class Sender {
public:
    /// Throws std::invalid_argument, which names the setting, if the settings are invalid.
    Sender(Settings settings, std::uint64_t seed);
    ~Sender();
    Sender(Sender&&) noexcept;
    Sender& operator=(Sender&&) noexcept;

    /// Throws std::invalid_argument if an event refers to a class, tenant, zone, kind or route that does not
    /// exist. The event then changes nothing.
    void observe(const Event& event, Time now);
    std::vector<Action> decide(Time now);
    /// The end of the endpoint's retry-after wait; a time long past if there is none, or if the endpoint is
    /// unknown.
    Time wait_until(EndpointId endpoint) const;
    /// The whole state between decisions (src/policy/state.hpp), for code that stores or shows it.
    policy::State& state();

private:
    class Logic;
    std::unique_ptr<Logic> logic_;
};

}  // namespace cometspoke
