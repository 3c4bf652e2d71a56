/// A crew's changes on their way: proposed, built on the newest value, written to their end, answered.
#include <algorithm>

#include "work/crew.hpp"

namespace lockgw::work {
namespace {

using What = Change::What;
constexpr unsigned kMostDoublings = 3;
constexpr Time kPatienceForPeople{10'000'000};  // a person is told that it is not settled

}  // namespace

void Crew::back_off(Time now) {
    const Time most = settings_.backoff * (1 << std::min(tries_++, kMostDoublings));
    not_before_ = now + drawn(most);
    promised_ = false;
}

void Crew::settled(bool done, const std::string& why) {
    if (wanted_) {
        const Change& change = wanted_->change;
        if (done && (change.what == What::Take || change.what == What::Force || change.what == What::Renew))
            if (const Out* out = state_.out(change.machine); out != nullptr && out->steward == settings_.own)
                leases_[out->fence] = *wanted_->begun;
        if (wanted_->ticket != 0) answers_.push_back({wanted_->ticket, done, why});
    }
    wanted_.reset();
    tries_ = 0, promised_ = false;
    refusal_.clear();
}

void Crew::propose(Time now) {
    ++counts_.proposals;
    began_ = sent_ = now;
    // a grant that was won by an earlier try holds from that one's begin; what is renewed, from the last
    // one's
    if (!wanted_->begun || wanted_->change.what == What::Renew) wanted_->begun = now;
    const Message message = proposer_.begin(round_);
    round_ = proposer_.ballot().round;
    changed_ = true;
    send_to_voters(message);
}

void Crew::promised(const Sight& sight, Time now) {
    promised_ = false;
    if (!wanted_ || proposer_.phase() != Proposer::Phase::Preparing) return;
    const std::string& value = proposer_.value();
    const auto current = value.empty() ? std::optional(State()) : state_of(value);
    if (!current) return proposer_.give_up(), settled(false, "the value that was kept cannot be read");
    const Change& change = wanted_->change;
    Facts known = facts(sight);
    if (current->plan != state_.plan) known.plan = nullptr;  // what is known here is an earlier one
    const Out* out = current->out(change.machine);
    // an earlier try of the same got through, and nobody heard: it is made sure of
    const bool again =
        (change.what == What::Take && out != nullptr && out->steward == settings_.own) ||
        (change.what == What::Plan && current->plan == change.plan && current->mode == Mode::Proposed);
    Applied after = again ? Applied{*current, {}} : apply(*current, change, known);
    refusal_ = after.why;
    if (!after.state) {
        if (current->version <= state_.version) {
            proposer_.give_up();
            return settled(false, refusal_);
        }
        // it stands against a value that some voters have accepted, and that nobody here knows to be chosen:
        // whoever wrote it may be gone, so it is written to its end
        after.state = current;
    }
    began_ = sent_ = now;
    send_to_voters(proposer_.accept(bytes_of(*after.state)));
}

void Crew::go_on(const Sight& sight, Time now) {
    if (promised_) promised(sight, now);
    if (proposer_.phase() != Proposer::Phase::Idle &&
        now - began_ > settings_.answer * (1 + std::min(tries_, kMostDoublings))) {
        proposer_.give_up();
        back_off(now);
    }
    if (const auto message = proposer_.again(); message && now - sent_ >= settings_.again) {
        sent_ = now;
        for (const Number one : voters_)
            if (!proposer_.answered(one)) send(one, *message);
    }
    if (!wanted_ && !queue_.empty()) {
        wanted_ = std::move(queue_.front());
        queue_.pop_front();
    }
    if (!wanted_ || proposer_.phase() != Proposer::Phase::Idle) return;
    if (wanted_->ticket == 0) {
        // what cannot be by what is known here (any more) is not tried; a person's word is
        const Applied would = apply(state_, wanted_->change, facts(sight));
        if (!would.state) return settled(false, would.why);
    }
    if (wanted_->ticket != 0 && wanted_->begun && now - *wanted_->begun > kPatienceForPeople)
        return settled(false, "not settled: too few of the voters answer; ask again, it may have been done");
    if (now >= not_before_) propose(now);
}

std::uint64_t Crew::want(const Change& change, std::string plan) {
    queue_.push_front({change, ++tickets_, std::move(plan), {}});
    return tickets_;
}
void Crew::join() {
    voter_.join(value_.empty() ? Ballot{} : std::max(state_of_, Ballot{1, 0}), value_);
    changed_ = true;
}
std::optional<Change> Crew::proposing() const {
    return wanted_ ? std::optional(wanted_->change) : std::nullopt;
}

}  // namespace lockgw::work
