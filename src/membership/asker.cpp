#include "membership/asker.hpp"

#include <utility>

#include "logging/log.hpp"

namespace lockgw {

Asker::Asker(boost::asio::io_context& io, AskPlan::Limits limits, std::uint64_t seed, std::size_t most_bytes,
    Make make, Over over, Peek peek)
    : io_(io),
      most_bytes_(most_bytes),
      plan_(limits, seed),
      make_(std::move(make)),
      over_(std::move(over)),
      peek_(std::move(peek)),
      timer_(io) {}
Asker::~Asker() { leave(); }

void Asker::move_to(const boost::asio::ip::tcp::endpoint& address, AskPlan::Clock::duration pause) {
    leave();
    if (pause > AskPlan::Clock::duration::zero()) plan_.not_before(AskPlan::Clock::now() + pause);
    address_ = address;
    moved_in_ = true;
    step();
}

void Asker::leave() {
    timer_.cancel();
    plan_.clear();
    for (const auto& [request, connection] : out_) connection->give_up();
    out_.clear();
    if (spare_) spare_->give_up();
    spare_.reset();
}

void Asker::want(bool wanted) {
    plan_.want(wanted);
    if (moved_in_) step();
}

void Asker::limits(const AskPlan::Limits& limits) {
    plan_.limits(limits);
    if (moved_in_) step();
}

void Asker::step() {
    const AskPlan::Steps steps = plan_.steps(AskPlan::Clock::now());
    for (const std::uint64_t request : steps.give_up) {
        const Connection connection = std::move(out_.extract(request).mapped());
        told(request, connection->give_up());
    }
    if (peek_)
        for (const std::uint64_t request : steps.peek) looked_at(request);
    if (steps.begin) begin(*steps.begin);
    spare_descriptor_.acquire();
    arm();
}

void Asker::arm() {
    const auto due = plan_.due();
    if (!due) return;
    timer_.expires_at(*due);
    timer_.async_wait([this](auto cancelled) {
        if (!cancelled) step();
    });
}

void Asker::begin(std::uint64_t request) {
    Connection connection = std::exchange(spare_, nullptr);
    if (!connection)
        connection = std::make_shared<AgentConnection>(io_, address_, spare_descriptor_, most_bytes_);
    out_.emplace(request, connection);
    Request made = make_(request);
    plan_.holds(request, made.hold);
    connection->ask(
        made.verb, made.path, std::move(made.body),
        [this, request](AskPlan::Phase phase) {
            plan_.reached(request, phase, AskPlan::Clock::now());
            arm();  // each phase has limits of its own
        },
        [this, request](const AgentConnection::Answer& answer) { over(request, answer); });
}

void Asker::over(std::uint64_t request, const AgentConnection::Answer& answer) {
    const Connection connection = std::move(out_.extract(request).mapped());
    if (connection->reusable() && !spare_) spare_ = connection;
    const Verdict verdict = told(request, answer);
    if (verdict == Verdict::Refused) return ended(request, AskPlan::End::Refused);
    if (verdict != Verdict::Later) return judged(request, verdict == Verdict::Good);
    plan_.reached(request, AskPlan::Phase::Judging, AskPlan::Clock::now());
    step();
}

void Asker::judged(std::uint64_t request, bool good) {
    ended(request, good ? AskPlan::End::Good : AskPlan::End::Failed);
}
void Asker::ended(std::uint64_t request, AskPlan::End end) {
    plan_.ended(request, end, AskPlan::Clock::now());
    step();
}

void Asker::looked_at(std::uint64_t request) try {
    peek_(request, out_.at(request)->peek());
} catch (const std::exception& fault) {
    log::error("discovery", "an answer could not be looked at", {{"why", fault.what()}});
}

/// What the receiver makes of an answer must not end the asking.
Asker::Verdict Asker::told(std::uint64_t request, const AgentConnection::Answer& answer) try {
    return over_(request, answer);
} catch (const std::exception& fault) {
    log::error("discovery", "an answer could not be taken", {{"why", fault.what()}});
    return Verdict::Failed;
}

}  // namespace lockgw
