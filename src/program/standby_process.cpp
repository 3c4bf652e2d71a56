#include "program/standby_process.hpp"

#include <csignal>
#include <utility>

#include "logging/log.hpp"
#include "program/signals.hpp"

namespace lockgw::program {
namespace {

constexpr std::chrono::milliseconds kLook{3};  // a lock that is let go of is to be taken at once

}  // namespace

StandbyProcess::StandbyProcess(handover::LockFiles& locks, handover::Waiting::Goal goal,
    PendingOrders& pending_orders, const handover::ReloadRequest& reload_request, int console)
    : signals_(io_, SIGTERM, SIGINT, SIGHUP),
      locks_(locks),
      waiting_(goal, std::chrono::steady_clock::now()),
      pending_orders_(pending_orders),
      reload_request_(reload_request),
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

void StandbyProcess::heed() {
    signals_.async_wait([this](auto failed, int signal) {
        if (failed) return;
        if (signal != SIGHUP) return io_.stop();
        reload_pending_ = true;
        pass_on_reload();
        heed();
    });
}

/// The owner may have read its files before they were changed. Tried again at each look until it is stored.
void StandbyProcess::pass_on_reload() {
    if (!reload_pending_ || !reload_request_.post()) return;
    reload_pending_ = false;
    log::info("program", "the request to read the configuration anew is passed on");
}

void StandbyProcess::look() {
    pass_on_reload();
    const auto step = waiting_.step(locks_, std::chrono::steady_clock::now());
    if (step != handover::Waiting::Step::None) {
        end_ = step == handover::Waiting::Step::Own ? End::Owns : End::Leave;
        return io_.stop();
    }
    step_.call_after(kLook, [this] { look(); });
}

}  // namespace lockgw::program
