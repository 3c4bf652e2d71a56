/// The forwarder while something changes under it: orders of operators, other settings, another process.
#include <fstream>
#include <utility>

#include "capture/memory.hpp"
#include "core/clocks.hpp"
#include "core/descriptors.hpp"
#include "core/forwarder.hpp"
#include "logging/log.hpp"

namespace lockgw {

using namespace cometspoke;
using namespace std::chrono_literals;

namespace {

constexpr auto kHandoverLook = 25ms, kHandoverStep = 2ms;  // between looks; once another asks
constexpr auto kOrdersLook = 50ms;  // for orders that another process of the same folder was given

}  // namespace

// ---- another process takes over ----

void Forwarder::may_hand_over(std::function<bool()> wanted, std::function<void()> over) {
    wanted_ = std::move(wanted);
    over_ = std::move(over);
    look_at_handover();
}

void Forwarder::look_at_handover() {
    using Step = handover::Yielding::Step;
    const bool calm = newcomers_.empty() && !turn_due_;  // everybody has been answered
    const auto step = yielding_.step(
        wanted_(), delivery_->calls(), !front_->empty() || !calm, std::chrono::steady_clock::now());
    if (step != Step::None)
        log::info("core", "handing over",
            {{"step", text_of(step)}, {"calls_out", delivery_->calls()}, {"held", journal_.unended()}});
    if (step == Step::StopCalls || step == Step::GoOn) {
        yielding_calls_ = step == Step::StopCalls;
        apply_pause();
    }
    if (step == Step::LetGo) front_->drain();
    if (step == Step::StopReading) front_->stop_reading();
    if (step == Step::HandOver) {
        journal_.keep_turn();
        keep_gone();
        write_knowledge();
        return over_();
    }
    const bool busy = yielding_.state() != handover::Yielding::State::Serving;
    handover_step_.expires_after(busy ? kHandoverStep : kHandoverLook);
    handover_step_.async_wait([this](auto cancelled) {
        if (!cancelled) look_at_handover();
    });
}

/// Messages are still taken in, and those whose time is up still end.
void Forwarder::apply_pause() {
    if (std::exchange(config_.settings.paused, attempts_paused()) == attempts_paused()) return;
    observe(SettingsEvent{config_.settings});
}

void Forwarder::write_knowledge() {
    handover::Known known;
    known.list = discovery_.list();
    directory_.each([&](EndpointId number, const std::string& id) {
        known.ids.emplace(id, number);
        if (const Time until = sender_.wait_until(number); until > steady_now())
            known.waits.emplace(id, until);
    });
    known.memory = capture::memory_of(sender_);
    const auto fresh = config_.state / (std::string(kKnowledge) + ".new");
    std::error_code failed;
    {
        std::ofstream stream(fresh, std::ios::binary | std::ios::trunc);
        const std::string bytes = handover::bytes_of(known, steady_now());
        stream.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        if (!stream.flush()) return void(std::filesystem::remove(fresh, failed));
    }
    std::filesystem::rename(fresh, config_.state / kKnowledge, failed);
}

/// Before any message is taken up.
void Forwarder::learn() {
    if (!known_) return;
    std::map<std::string, EndpointId> to;
    directory_.each([&](EndpointId number, const std::string& id) { to.emplace(id, number); });
    const std::size_t learned = handover::learn(sender_, *known_, to, config_.settings);
    log::info("core", "taken over",
        {{"targets_known", learned}, {"waits", known_->waits.size()}, {"messages", journal_.unended()}});
    known_.reset();
}

std::set<std::string> Forwarder::listed() const {
    std::set<std::string> ids;
    directory_.each([&](EndpointId, const std::string& id) { ids.insert(id); });
    return ids;
}

// ---- operators' orders ----

operations::Answer Forwarder::order(const operations::Order& order) {
    using operations::Answer;
    if (order.kind == operations::Order::Kind::Ready)
        return listening_ && !draining_ ? Answer{} : Answer{Answer::Kind::NotReady, "it does not serve"};
    const auto number = directory_.find(order.target);
    const bool listed = number && discovery_.view().current(order.target).has_value();
    const operations::Operations before = orders_.now();
    Answer answer;
    const bool kept = orders_.update([&](operations::Operations& state) {
        for (const std::string& id : gone_) state.gone(id);
        answer = state.give(order, listed, unix_ms());
    });
    if (kept) gone_.clear();
    if (!kept) answer = {Answer::Kind::NotKept, "the order could not be written down"};
    carry_out(before);
    log::info("core", "ordered",
        {{"what", text_of(order.kind)}, {"target", order.target}, {"answer", text_of(answer.kind)}});
    return answer;
}

/// Another process of the same folder may have had an order.
void Forwarder::look_at_orders() {
    const operations::Operations before = orders_.now();
    if (orders_.look()) carry_out(before);
    keep_gone();
    orders_step_.expires_after(kOrdersLook);
    orders_step_.async_wait([this](auto cancelled) {
        if (!cancelled) look_at_orders();
    });
}

void Forwarder::carry_out(const operations::Operations& before) {
    const auto moves = before.moves(orders_.now());
    if (moves.service) service();
    View::Update update;
    for (const auto* ids : {&moves.out, &moves.back})
        for (const std::string& id : *ids) {
            if (ids == &moves.back) told_cold_.erase(id);
            if (const auto target = discovery_.view().current(id)) update.told.targets.push_back(*target);
        }
    if (!update.told.targets.empty()) list(update);
}

/// Put back by hand, and not told to the module since.
bool Forwarder::told_cold(const Target& target) {
    return orders_.now().cold(target.id, unix_ms()) && told_cold_.insert(target.id).second;
}

/// An operator may still name it: kept a little later, for a list may say many at once.
void Forwarder::note_gone(const std::string& id) {
    if (!config_.console || orders_.now().known(id)) return;
    if (gone_.size() < operations::kGoneMost) gone_.push_back(id);
}
void Forwarder::keep_gone() {
    if (gone_.empty()) return;
    const bool kept = orders_.update([this](operations::Operations& state) {
        for (const std::string& id : gone_) state.gone(id);
    });
    if (kept) gone_.clear();
}

// ---- other settings ----

void Forwarder::reload(const Config& fresh, routes::Table routes) {
    using namespace cometspoke::settings;
    const Config bounded = within_descriptors(fresh);
    InForce next = taken_over({config_.names, config_.settings, tenants_},
        {bounded.names, bounded.settings, {}}, [this](std::size_t number) { return class_in_use(number); });
    const Sender checked(next.settings, fresh.seed);  // it knows best which settings make no sense
    config_.names = std::move(next.names);
    config_.settings = std::move(next.settings);
    config_.settings.paused = attempts_paused();  // no file says so: it is this process's state
    tenants_ = std::move(next.numbered_tenants);
    config_.connect_timeout = fresh.connect_timeout;
    config_.reports = fresh.reports;
    if (standing_) config_.settings.n_instances = standing_->limit_shares;
    share_terms();
    observe(SettingsEvent{config_.settings});
    discovery_.names(cometspoke::settings::names_in(config_.names.zones),
        cometspoke::settings::names_in(config_.names.kinds));
    config_.drain_grace = fresh.drain_grace;
    discovery_.drain_grace(config_.drain_grace);
    discovery_.move_to(fresh.discovery);
    routes_ = std::move(routes);
    config_.spread = fresh.spread;
    planner_.ordered(config_.spread, routes_.weights());
    reroute_held();
}

}  // namespace lockgw
