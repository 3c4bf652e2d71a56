/// Schedule of the polls of a discovery agent: when to send a request, when to send a second one in parallel,
/// and when to cancel one.
///
/// No I/O and no clock: the caller passes the time. Deterministic for a given seed. Not thread-safe. The
/// caller carries out the steps and reports the progress of each request. At most two requests are in flight,
/// and a third one while an answer is being received.
///
///   Connecting --connected--> Waiting --first byte--> Reading --finished--> (removed)
///                                                        |
///                                                        +--long answer complete--> Processing --> (removed)
///
/// A request is sent as soon as the one before it has succeeded. The agent holds it until there is something
/// to tell or the hold is over, so polling is continuous (long polling).
///
/// Each phase except Processing has two limits. After the first one the request is overdue: it continues, a
/// second one is started on a connection of its own, and the part of its answer that was received is
/// inspected at regular intervals, because it may contain the drain of a target. After the second limit the
/// request is cancelled. When there is no room for a new request, the oldest overdue one is cancelled
/// earlier.
///
/// An answer may be slow: a busy agent, a narrow link, a long list. The oldest one that has begun is received
/// to its end, which may take up to `slow_read_timeout`, and no newer request takes its place as long as its
/// pauses are shorter than `max_pause`. An answer that still grows after it is overdue is known to be slow.
/// The requests beside it follow at growing intervals, since they share the link and the agent's time with
/// it.
///
/// A failed request is retried at once, and later failures in a row after delays that double up to
/// `max_retry_delay`. That is well within the 200 ms after which the platform regards the polling as
/// interrupted. A request that the agent refused because it is overloaded is never retried at once: its
/// delays start longer, double up to a higher limit, and each is drawn at random between half of it and all
/// of it, so that many forwarders of one agent neither keep it overloaded nor return at the same moment.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace lockgw {

class PollSchedule {
public:
    using Clock = std::chrono::steady_clock;
    using Time = Clock::time_point;
    using Duration = std::chrono::milliseconds;

    struct Limits {
        Duration hold{0};  ///< how long the agent may hold an answer back (long poll); part of Waiting
        Duration connect_overdue{150}, connect_timeout{600};
        Duration answer_overdue{200}, answer_timeout{1000};  ///< from request to first byte, beyond hold
        Duration read_overdue{150}, read_timeout{2000};      ///< from the first byte to the last
        Duration max_pause{0}, slow_read_timeout{0};         ///< of a slow answer; 0: none is waited for
        Duration max_parallel_interval{1000};  ///< between the starts of requests beside a slow answer
        Duration first_retry_delay{10}, max_retry_delay{100};  ///< from the second failure in a row on
        Duration first_overload_delay{200}, max_overload_delay{3200};  ///< from the first refusal in a row on
    };
    enum class Phase {
        Connecting,
        Waiting,
        Reading,
        Processing,  ///< the answer is complete or has failed; this process is still evaluating it
    };
    enum class Result { Succeeded, Failed, Overloaded };
    /// What the caller has to do. No request occurs in more than one member.
    struct Steps {
        std::vector<std::uint64_t> cancel;
        std::vector<std::uint64_t> inspect;  ///< overdue while reading: inspect the partial answer
        std::optional<std::uint64_t> start;  ///< a new request with this number
    };

    static constexpr std::size_t kMaxInFlight = 2, kMaxInFlightBesideAnswer = 3;

    PollSchedule(Limits limits, std::uint64_t seed) : limits_(limits), random_(seed) {}

    /// No request is started before `when`, so that forwarders that start together need not poll together.
    void set_earliest_start(Time when) { earliest_start_ = when; }
    /// Whether there is anything to poll for. While disabled no request is started; those in flight continue.
    void set_enabled(bool enabled) { enabled_ = enabled; }
    /// Replaces the limits. A request in flight keeps the hold that it was sent with.
    void set_limits(const Limits& limits);
    /// What to do now. A request to start counts as Connecting from here on, a request to cancel as removed.
    Steps next_steps(Time now);
    /// The hold that a started request actually asks its agent for, instead of Limits::hold.
    void set_hold(std::uint64_t request, Duration hold);
    /// Reports the progress of a request. Numbers of removed requests are ignored.
    void enter_phase(std::uint64_t request, Phase phase, Time now);
    /// Reports that more of an answer was received; ignored in all phases but Reading.
    void record_progress(std::uint64_t request, Time now);
    void finish(std::uint64_t request, Result result, Time now);
    /// Removes all requests and forgets failures, for a new agent.
    void reset();

    /// When next_steps() will have something to do; none if that depends on a report of progress only.
    std::optional<Time> next_due() const;
    std::size_t in_flight() const { return in_flight_.size(); }
    unsigned consecutive_failures() const { return consecutive_failures_; }

private:
    struct Request {
        Phase phase = Phase::Connecting;
        Time phase_start{};
        Time inspected{};
        Duration hold{};       // that the request was sent with
        Time last_progress{};  // while Reading: when the last part of the answer was received
    };
    using Requests = std::map<std::uint64_t, Request>;
    /// Until when more of an answer is expected if none comes; Time::min() if it has not begun.
    Time may_grow_until(const Request& request) const;
    /// The same for an answer that is known to be slow; Time::min() for others.
    Time slow_until(const Request& request) const;
    bool any_slow(Time now) const;
    Requests::iterator oldest_growing(Time now);
    Requests::iterator replaceable(Requests::iterator kept, Time now);
    void make_room(Time now, Steps& steps);
    Duration parallel_interval() const;
    Time overdue_time(const Request& request) const;
    Time timeout_time(const Request& request) const;
    Time inspection_time(const Request& request) const;
    bool any_on_time(Time now) const;
    void record_failure(Time now);
    void record_overload(Time now);

    Limits limits_;
    std::mt19937_64 random_;
    Requests in_flight_;
    std::uint64_t next_request_ = 1;
    bool enabled_ = false;
    unsigned consecutive_failures_ = 0;   // includes refusals
    unsigned consecutive_overloads_ = 0;  // refusals since the last success
    Time earliest_start_{};               // set by results and by set_earliest_start()
    Time last_start_{};
    unsigned parallel_starts_ = 0;  // beside a slow answer, since the last success
};

}  // namespace lockgw
