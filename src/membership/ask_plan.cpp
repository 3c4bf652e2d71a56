#include "membership/ask_plan.hpp"

#include <algorithm>

namespace lockgw {

AskPlan::Time AskPlan::overdue_at(const Request& request) const {
    switch (request.phase) {
        case Phase::Connecting:
            return request.since + limits_.connect_overdue;
        case Phase::Waiting:
            return request.since + request.hold + limits_.answer_overdue;
        case Phase::Reading:
            return request.since + limits_.read_overdue;
        case Phase::Judging:
            return Time::max();
    }
    return request.since;
}
AskPlan::Time AskPlan::given_up_at(const Request& request) const {
    switch (request.phase) {
        case Phase::Connecting:
            return request.since + limits_.connect_most;
        case Phase::Waiting:
            return request.since + request.hold + limits_.answer_most;
        case Phase::Reading:
            return request.since + limits_.read_most;
        case Phase::Judging:
            return Time::max();
    }
    return request.since;
}

AskPlan::Time AskPlan::peek_at(const Request& request) const {
    return request.phase == Phase::Reading ? request.peeked + limits_.read_overdue : Time::max();
}

bool AskPlan::one_is_fresh(Time now) const {
    return std::any_of(
        out_.begin(), out_.end(), [&](const auto& entry) { return overdue_at(entry.second) > now; });
}

AskPlan::Steps AskPlan::steps(Time now) {
    Steps steps;
    for (auto place = out_.begin(); place != out_.end();) {
        if (given_up_at(place->second) > now) {
            if (peek_at(place->second) <= now) {
                place->second.peeked = now;
                steps.peek.push_back(place->first);
            }
            ++place;
            continue;
        }
        steps.give_up.push_back(place->first);
        place = out_.erase(place);
        failed(now);
    }
    if (!wanted_ || now < not_before_ || one_is_fresh(now)) return steps;
    if (out_.size() == kMostOut) {  // neither will do: the one that was begun first makes room
        std::erase(steps.peek, out_.begin()->first);  // what has come of it is looked at as it is given up
        steps.give_up.push_back(out_.begin()->first);
        out_.erase(out_.begin());
        failed(now);
        if (now < not_before_) return steps;
    }
    steps.begin = next_++;
    out_.emplace(*steps.begin, Request{Phase::Connecting, now, now, limits_.hold});
    return steps;
}

void AskPlan::limits(const Limits& limits) { limits_ = limits; }

void AskPlan::holds(std::uint64_t request, Span hold) {
    if (const auto found = out_.find(request); found != out_.end()) found->second.hold = hold;
}

void AskPlan::reached(std::uint64_t request, Phase phase, Time now) {
    const auto found = out_.find(request);
    if (found == out_.end()) return;
    const Span hold = found->second.hold;  // limits() may have changed since it was begun
    found->second = {phase, now, now, hold};
}

void AskPlan::ended(std::uint64_t request, End end, Time now) {
    if (out_.erase(request) == 0) return;
    if (end == End::Failed) return failed(now);
    if (end == End::Refused) return refused(now);
    failures_ = refusals_ = 0;
    not_before_ = now;
}

/// The first one is followed at once: what was cut off is often whole the next time.
void AskPlan::failed(Time now) {
    ++failures_;
    if (failures_ == 1) return;
    const unsigned doublings = std::min(failures_ - 2, 8u);
    not_before_ = now + std::min(limits_.most_pause, limits_.first_pause * (1 << doublings));
}

void AskPlan::refused(Time now) {
    ++failures_;
    const unsigned doublings = std::min(refusals_++, 8u);
    const Span longest = std::min(limits_.refused_most, limits_.refused_pause * (1 << doublings));
    not_before_ =
        now + Span(std::uniform_int_distribution<Span::rep>(longest.count() / 2, longest.count())(random_));
}

void AskPlan::clear() {
    out_.clear();
    failures_ = refusals_ = 0;
    not_before_ = {};
}

std::optional<AskPlan::Time> AskPlan::due() const {
    std::optional<Time> due;
    const auto no_later = [&](Time time) { due = due ? std::min(*due, time) : time; };
    Time fresh_until = not_before_;
    for (const auto& [number, request] : out_) {
        no_later(given_up_at(request));
        no_later(peek_at(request));
        fresh_until = std::max(fresh_until, overdue_at(request));
    }
    if (wanted_) no_later(fresh_until);
    return due == Time::max() ? std::nullopt : due;  // one is being judged: its end is an event
}

}  // namespace lockgw
