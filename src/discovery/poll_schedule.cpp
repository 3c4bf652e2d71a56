#include "discovery/poll_schedule.hpp"

#include <algorithm>

namespace lockgw {

PollSchedule::Time PollSchedule::overdue_time(const Request& request) const {
    switch (request.phase) {
        case Phase::Connecting:
            return request.phase_start + limits_.connect_overdue;
        case Phase::Waiting:
            return request.phase_start + request.hold + limits_.answer_overdue;
        case Phase::Reading:
            return request.phase_start + limits_.read_overdue;
        case Phase::Processing:
            return Time::max();
    }
    return request.phase_start;
}
PollSchedule::Time PollSchedule::timeout_time(const Request& request) const {
    switch (request.phase) {
        case Phase::Connecting:
            return request.phase_start + limits_.connect_timeout;
        case Phase::Waiting:
            return request.phase_start + request.hold + limits_.answer_timeout;
        case Phase::Reading:
            return std::max(request.phase_start + limits_.read_timeout, may_grow_until(request));
        case Phase::Processing:
            return Time::max();
    }
    return request.phase_start;
}

PollSchedule::Time PollSchedule::may_grow_until(const Request& request) const {
    if (request.phase != Phase::Reading) return Time::min();
    return std::min(request.last_progress + limits_.max_pause,
        request.phase_start + std::max(limits_.slow_read_timeout, limits_.read_timeout));
}

PollSchedule::Time PollSchedule::slow_until(const Request& request) const {
    const bool grew_overdue = request.last_progress >= request.phase_start + limits_.read_overdue;
    return grew_overdue ? may_grow_until(request) : Time::min();
}

bool PollSchedule::any_slow(Time now) const {
    return std::any_of(in_flight_.begin(), in_flight_.end(),
        [&](const auto& entry) { return slow_until(entry.second) > now; });
}

/// The oldest request whose answer has begun and may still grow; end() if there is none.
PollSchedule::Requests::iterator PollSchedule::oldest_growing(Time now) {
    return std::find_if(in_flight_.begin(), in_flight_.end(),
        [&](const auto& entry) { return may_grow_until(entry.second) > now; });
}

PollSchedule::Time PollSchedule::inspection_time(const Request& request) const {
    return request.phase == Phase::Reading ? request.inspected + limits_.read_overdue : Time::max();
}

bool PollSchedule::any_on_time(Time now) const {
    return std::any_of(in_flight_.begin(), in_flight_.end(),
        [&](const auto& entry) { return overdue_time(entry.second) > now; });
}

PollSchedule::Steps PollSchedule::next_steps(Time now) {
    Steps steps;
    for (auto entry = in_flight_.begin(); entry != in_flight_.end();) {
        if (timeout_time(entry->second) > now) {
            if (inspection_time(entry->second) <= now) {
                entry->second.inspected = now;
                steps.inspect.push_back(entry->first);
            }
            ++entry;
            continue;
        }
        steps.cancel.push_back(entry->first);
        entry = in_flight_.erase(entry);
        record_failure(now);
    }
    if (!enabled_ || now < earliest_start_ || any_on_time(now)) return steps;
    const bool beside_slow = any_slow(now);
    if (beside_slow && now < last_start_ + parallel_interval()) return steps;
    make_room(now, steps);
    if (now < earliest_start_) return steps;
    if (beside_slow) ++parallel_starts_;
    last_start_ = now;
    steps.start = next_request_++;
    in_flight_.emplace(*steps.start, Request{Phase::Connecting, now, now, limits_.hold, now});
    return steps;
}

/// Cancels requests until another one may be started. All of them are overdue.
void PollSchedule::make_room(Time now, Steps& steps) {
    for (;;) {
        const auto kept = oldest_growing(now);
        if (in_flight_.size() < (kept == in_flight_.end() ? kMaxInFlight : kMaxInFlightBesideAnswer)) return;
        const auto entry = replaceable(kept, now);
        const bool slow = slow_until(entry->second) > now;
        // the partial answer is evaluated on cancellation anyway
        std::erase(steps.inspect, entry->first);
        steps.cancel.push_back(entry->first);
        in_flight_.erase(entry);
        if (!slow) record_failure(now);
    }
}

/// The oldest request besides `kept` whose answer is not slow. If all are slow, the newest, which has
/// received least.
PollSchedule::Requests::iterator PollSchedule::replaceable(Requests::iterator kept, Time now) {
    for (auto entry = in_flight_.begin(); entry != in_flight_.end(); ++entry)
        if (entry != kept && slow_until(entry->second) <= now) return entry;
    return std::prev(in_flight_.end());
}

/// Between the starts of two requests beside a slow answer.
PollSchedule::Duration PollSchedule::parallel_interval() const {
    const unsigned doublings = std::min(parallel_starts_, 8u);
    return std::min(limits_.max_parallel_interval, limits_.read_overdue * (1 << doublings));
}

void PollSchedule::set_limits(const Limits& limits) { limits_ = limits; }

void PollSchedule::set_hold(std::uint64_t request, Duration hold) {
    if (const auto found = in_flight_.find(request); found != in_flight_.end()) found->second.hold = hold;
}

void PollSchedule::enter_phase(std::uint64_t request, Phase phase, Time now) {
    const auto found = in_flight_.find(request);
    if (found == in_flight_.end()) return;
    const Duration hold = found->second.hold;  // the limits may have changed since the request was sent
    found->second = {phase, now, now, hold, now};
}

void PollSchedule::record_progress(std::uint64_t request, Time now) {
    const auto found = in_flight_.find(request);
    if (found != in_flight_.end() && found->second.phase == Phase::Reading) found->second.last_progress = now;
}

void PollSchedule::finish(std::uint64_t request, Result result, Time now) {
    if (in_flight_.erase(request) == 0) return;
    if (result == Result::Failed) return record_failure(now);
    if (result == Result::Overloaded) return record_overload(now);
    consecutive_failures_ = consecutive_overloads_ = parallel_starts_ = 0;
    earliest_start_ = now;
}

/// The first failure sets no delay: after an answer that was cut off, the next one is often complete.
void PollSchedule::record_failure(Time now) {
    ++consecutive_failures_;
    if (consecutive_failures_ == 1) return;
    const unsigned doublings = std::min(consecutive_failures_ - 2, 8u);
    earliest_start_ = now + std::min(limits_.max_retry_delay, limits_.first_retry_delay * (1 << doublings));
}

void PollSchedule::record_overload(Time now) {
    ++consecutive_failures_;
    const unsigned doublings = std::min(consecutive_overloads_++, 8u);
    const Duration max_delay =
        std::min(limits_.max_overload_delay, limits_.first_overload_delay * (1 << doublings));
    earliest_start_ = now + Duration(std::uniform_int_distribution<Duration::rep>(
                                max_delay.count() / 2, max_delay.count())(random_));
}

void PollSchedule::reset() {
    in_flight_.clear();
    consecutive_failures_ = consecutive_overloads_ = parallel_starts_ = 0;
    earliest_start_ = {};
}

std::optional<PollSchedule::Time> PollSchedule::next_due() const {
    std::optional<Time> due;
    const auto no_later_than = [&](Time time) { due = due ? std::min(*due, time) : time; };
    Time on_time_until = earliest_start_, slow_answer_until = Time::min();
    for (const auto& [id, request] : in_flight_) {
        no_later_than(timeout_time(request));
        no_later_than(inspection_time(request));
        on_time_until = std::max(on_time_until, overdue_time(request));
        slow_answer_until = std::max(slow_answer_until, slow_until(request));
    }
    const Time next_parallel_start = std::min(last_start_ + parallel_interval(), slow_answer_until);
    if (enabled_) no_later_than(std::max(on_time_until, next_parallel_start));
    return due == Time::max() ? std::nullopt : due;  // Processing ends by a call of finish(), not by time
}

}  // namespace lockgw
