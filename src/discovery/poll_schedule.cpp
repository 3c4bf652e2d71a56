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
            return request.phase_start + limits_.read_timeout;
        case Phase::Processing:
            return Time::max();
    }
    return request.phase_start;
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
    if (in_flight_.size() == kMaxInFlight) {  // both are overdue: the older one is cancelled
        // the partial answer is evaluated on cancellation anyway
        std::erase(steps.inspect, in_flight_.begin()->first);
        steps.cancel.push_back(in_flight_.begin()->first);
        in_flight_.erase(in_flight_.begin());
        record_failure(now);
        if (now < earliest_start_) return steps;
    }
    steps.start = next_request_++;
    in_flight_.emplace(*steps.start, Request{Phase::Connecting, now, now, limits_.hold});
    return steps;
}

void PollSchedule::set_limits(const Limits& limits) { limits_ = limits; }

void PollSchedule::set_hold(std::uint64_t request, Duration hold) {
    if (const auto found = in_flight_.find(request); found != in_flight_.end()) found->second.hold = hold;
}

void PollSchedule::enter_phase(std::uint64_t request, Phase phase, Time now) {
    const auto found = in_flight_.find(request);
    if (found == in_flight_.end()) return;
    const Duration hold = found->second.hold;  // the limits may have changed since the request was sent
    found->second = {phase, now, now, hold};
}

void PollSchedule::finish(std::uint64_t request, Result result, Time now) {
    if (in_flight_.erase(request) == 0) return;
    if (result == Result::Failed) return record_failure(now);
    if (result == Result::Overloaded) return record_overload(now);
    consecutive_failures_ = consecutive_overloads_ = 0;
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
    consecutive_failures_ = consecutive_overloads_ = 0;
    earliest_start_ = {};
}

std::optional<PollSchedule::Time> PollSchedule::next_due() const {
    std::optional<Time> due;
    const auto no_later_than = [&](Time time) { due = due ? std::min(*due, time) : time; };
    Time on_time_until = earliest_start_;
    for (const auto& [id, request] : in_flight_) {
        no_later_than(timeout_time(request));
        no_later_than(inspection_time(request));
        on_time_until = std::max(on_time_until, overdue_time(request));
    }
    if (enabled_) no_later_than(on_time_until);
    return due == Time::max() ? std::nullopt : due;  // Processing ends by a call of finish(), not by time
}

}  // namespace lockgw
