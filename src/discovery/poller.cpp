#include "discovery/poller.hpp"

#include <utility>

#include "logging/log.hpp"

namespace lockgw {

Poller::Poller(boost::asio::io_context& io, PollSchedule::Limits limits, std::uint64_t seed,
    std::size_t max_bytes, MakeRequest make_request, OnAnswer on_answer, OnPartialAnswer on_partial_answer)
    : io_(io),
      max_bytes_(max_bytes),
      schedule_(limits, seed),
      make_request_(std::move(make_request)),
      on_answer_(std::move(on_answer)),
      on_partial_answer_(std::move(on_partial_answer)),
      timer_(io) {}
Poller::~Poller() { cancel_all(); }

void Poller::set_agent(const boost::asio::ip::tcp::endpoint& address, PollSchedule::Clock::duration delay) {
    cancel_all();
    if (delay > PollSchedule::Clock::duration::zero())
        schedule_.set_earliest_start(PollSchedule::Clock::now() + delay);
    address_ = address;
    has_agent_ = true;
    run_schedule();
}

void Poller::cancel_all() {
    ++agent_changes_;
    timer_.cancel();
    schedule_.reset();
    for (const auto& [request, connection] : in_flight_) connection->cancel();
    in_flight_.clear();
}

void Poller::set_enabled(bool enabled) {
    schedule_.set_enabled(enabled);
    if (has_agent_) run_schedule();
}

void Poller::set_limits(const PollSchedule::Limits& limits) {
    schedule_.set_limits(limits);
    if (has_agent_) run_schedule();
}

void Poller::run_schedule() {
    const PollSchedule::Steps steps = schedule_.next_steps(PollSchedule::Clock::now());
    // A handler may set another agent, which cancels all requests and runs the schedule anew.
    const auto stale = [this, changes = agent_changes_] { return agent_changes_ != changes; };
    for (const std::uint64_t request : steps.cancel) {
        cancel_request(request);
        if (stale()) return;
    }
    for (const std::uint64_t request : steps.inspect) {
        inspect_partial(request);
        if (stale()) return;
    }
    if (steps.start) start_request(*steps.start);
    spare_descriptor_.acquire();
    arm_timer();
}

void Poller::arm_timer() {
    const auto due = schedule_.next_due();
    if (!due) return;
    timer_.call_at(*due, [this] { run_schedule(); });
}

void Poller::start_request(std::uint64_t request) {
    const auto connection = std::make_shared<AgentConnection>(io_, address_, spare_descriptor_, max_bytes_);
    in_flight_.emplace(request, connection);
    Request content = make_request_(request);
    schedule_.set_hold(request, content.hold);
    connection->send_request(
        content.verb, content.path, std::move(content.body),
        [this, request](PollSchedule::Phase phase) {
            schedule_.enter_phase(request, phase, PollSchedule::Clock::now());
            arm_timer();  // the limits differ between phases
        },
        [this, request] { schedule_.record_progress(request, PollSchedule::Clock::now()); },
        [this, request](const AgentConnection::Answer& answer) { handle_answer(request, answer); });
}

void Poller::cancel_request(std::uint64_t request) {
    const auto found = in_flight_.find(request);
    if (found == in_flight_.end()) return;
    const Connection connection = std::move(found->second);
    in_flight_.erase(found);
    evaluate(request, connection->cancel());
}

void Poller::handle_answer(std::uint64_t request, const AgentConnection::Answer& answer) {
    in_flight_.erase(request);
    // Its time may have passed already. Not even steps that the handler below causes may cancel it.
    schedule_.enter_phase(request, PollSchedule::Phase::Processing, PollSchedule::Clock::now());
    const Verdict verdict = evaluate(request, answer);
    if (verdict == Verdict::Overloaded) return finish(request, PollSchedule::Result::Overloaded);
    if (verdict != Verdict::Pending) return finish_processing(request, verdict == Verdict::Accepted);
    run_schedule();
}

void Poller::finish_processing(std::uint64_t request, bool accepted) {
    finish(request, accepted ? PollSchedule::Result::Succeeded : PollSchedule::Result::Failed);
}
void Poller::finish(std::uint64_t request, PollSchedule::Result result) {
    schedule_.finish(request, result, PollSchedule::Clock::now());
    run_schedule();
}

void Poller::inspect_partial(std::uint64_t request) try {
    const auto found = in_flight_.find(request);
    if (!on_partial_answer_ || found == in_flight_.end()) return;  // a handler may have cancelled it
    on_partial_answer_(request, found->second->partial_answer());
} catch (const std::exception& fault) {
    log::error("discovery", "inspecting a partial answer failed", {{"why", fault.what()}});
}

/// An exception while an answer is applied must not end the polling.
Poller::Verdict Poller::evaluate(std::uint64_t request, const AgentConnection::Answer& answer) try {
    return on_answer_(request, answer);
} catch (const std::exception& fault) {
    log::error("discovery", "applying an answer failed", {{"why", fault.what()}});
    return Verdict::Rejected;
}

}  // namespace lockgw
