#include "program/standby_process.hpp"

#include <csignal>
#include <utility>

#include "logging/log.hpp"
#include "program/signals.hpp"

namespace lockgw::program {
namespace {

constexpr std::chrono::milliseconds kLook{3};  // a lock that is let go of is to be taken at once

}  // namespace

StandbyProcess::StandbyProcess(
    handover::LockFiles& locks, handover::Waiting::Goal goal, PendingOrders& pending_orders, int console)
    : signals_(io_, SIGTERM, SIGINT, SIGHUP),
      locks_(locks),
      waiting_(goal, std::chrono::steady_clock::now()),
      pending_orders_(pending_orders),
      console_(io_, [this](const operations::Order& order) { return pending_orders_.order(order); }),
      step_(io_) {
    console_.adopt(console);
}

StandbyProcess::End StandbyProcess::run() {
    heed();
    look();
    let_signals_through();
    run_guarded(io_);
    hold_signals_back();
    return end_;
}

/// Files are read when it takes over: SIGHUP has nothing to add.
void StandbyProcess::heed() {
    signals_.async_wait([this](auto failed, int signal) {
        if (failed) return;
        if (signal == SIGHUP) return heed();
        io_.stop();
    });
}

void StandbyProcess::look() {
    const auto step = waiting_.step(locks_, std::chrono::steady_clock::now());
    if (step != handover::Waiting::Step::None) {
        end_ = step == handover::Waiting::Step::Own ? End::Owns : End::Leave;
        return io_.stop();
    }
    step_.call_after(kLook, [this] { look(); });
}

}  // namespace lockgw::program
