/// When to ask an agent, when to ask it a second time beside the first, and when to give a request up.
///
/// No I/O, no clock: times are the caller's. Deterministic. Not thread-safe. The caller carries out the steps
/// and tells how far each request has come; no more than two are out at once.
///
///   Connecting --connected--> Waiting --first byte--> Reading --ended--> (over)
///                                                        |
///                                                        +--last byte of a long answer--> Judging --> (over)
///
/// Each phase but the last has two limits. Past the first the request is overdue: it is left to go on, and
/// another one is begun beside it, on a connection of its own; what has come of its answer is looked at again
/// and again, for it may hold the news of a drain. Past the second it is given up. A request that fails is
/// followed by another at once, and then after pauses that double, up to one that is well within the 200 ms
/// for which the platform holds a watch to go on. One that is refused (the agent answers that it is
/// overloaded) is never followed at once: pauses begin longer, double further, and each is drawn between half
/// and all of it, so that many who ask the same agent neither keep it overloaded nor come back together.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace lockgw {

class AskPlan {
public:
    using Clock = std::chrono::steady_clock;
    using Time = Clock::time_point;
    using Span = std::chrono::milliseconds;

    struct Limits {
        Span hold{0};  ///< how long the agent may keep an answer back; part of Waiting
        Span connect_overdue{150}, connect_most{600};
        Span answer_overdue{200}, answer_most{1000};  ///< from the request to the first byte, beyond hold
        Span read_overdue{150}, read_most{2000};      ///< from the first byte to the last
        Span first_pause{10}, most_pause{100};        ///< after failures in a row but the first
        Span refused_pause{200}, refused_most{3200};  ///< after refusals in a row, the first among them
    };
    enum class Phase {
        Connecting,
        Waiting,
        Reading,
        Judging,  ///< all of it has come; what it says is being worked out, on this side
    };
    enum class End { Good, Failed, Refused };
    struct Steps {
        std::vector<std::uint64_t> give_up;
        std::vector<std::uint64_t> peek;  ///< being read for long: what has come so far should be looked at
        std::optional<std::uint64_t> begin;  ///< a new request, by this number
    };

    static constexpr std::size_t kMostOut = 2;

    AskPlan(Limits limits, std::uint64_t seed) : limits_(limits), random_(seed) {}

    /// Nothing is begun before that: many that start together need not ask together.
    void not_before(Time when) { not_before_ = when; }
    /// Whether there is anything to ask. While not, nothing is begun; what is out goes on.
    void want(bool wanted) { wanted_ = wanted; }
    /// Others from now on. A request that waits already may be held for as long as it asked for.
    void limits(const Limits& limits);
    /// What to do now; no request stands in two of its lists. A request to begin counts as Connecting, one to
    /// give up as over.
    Steps steps(Time now);
    /// A request that was begun asks its agent to answer within `hold`, not within the one of the limits.
    void holds(std::uint64_t request, Span hold);
    /// How far a request has come. Numbers that are over are passed over.
    void reached(std::uint64_t request, Phase phase, Time now);
    void ended(std::uint64_t request, End end, Time now);
    /// All that is out is over: another agent.
    void clear();

    /// When steps() has something to do; none while that waits for an event.
    std::optional<Time> due() const;
    std::size_t out() const { return out_.size(); }
    unsigned failures() const { return failures_; }

private:
    struct Request {
        Phase phase = Phase::Connecting;
        Time since{};
        Time peeked{};
        Span hold{};  // that it asked for
    };
    Time overdue_at(const Request& request) const;
    Time given_up_at(const Request& request) const;
    Time peek_at(const Request& request) const;
    bool one_is_fresh(Time now) const;
    void failed(Time now);
    void refused(Time now);

    Limits limits_;
    std::mt19937_64 random_;
    std::map<std::uint64_t, Request> out_;
    std::uint64_t next_ = 1;
    bool wanted_ = false;
    unsigned failures_ = 0;  // in a row, refusals among them
    unsigned refusals_ = 0;  // since the last good end
    Time not_before_{};      // after failures
};

}  // namespace lockgw
