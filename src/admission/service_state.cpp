#include "admission/service_state.hpp"

namespace lockgw::admission {

bool ServiceState::order(bool in_service, const HandOver& plan, TimePoint now) {
    if (closed_ || in_service == (service_ == Service::In)) return false;
    service_ = in_service ? Service::In : Service::Leaving;
    if (ending_) return false;  // all are being let go already
    plan_.reset();
    if (in_service) return false;
    begin(plan, now);
    return true;
}

void ServiceState::begin_end(const HandOver& plan, TimePoint now) {
    ending_ = true;
    if (!closed_) begin(plan, now);
}

void ServiceState::close() {
    closed_ = true;
    plan_.reset();
}

ServiceState::Step ServiceState::step(std::size_t resting, TimePoint now) {
    Step step;
    if (!plan_) return step;
    const Span passed = now - since_;
    if (passed < plan_->limits().end) {
        step.let_go = plan_->due(resting, passed);
        step.next = plan_->limits().step;
        return step;
    }
    plan_.reset();
    if (!ending_) service_ = Service::Out;
    step.let_all_go = !ending_;
    step.close_door = ending_;
    return step;
}

void ServiceState::begin(const HandOver& plan, TimePoint now) {
    plan_ = plan;
    since_ = now;
}

}  // namespace lockgw::admission
