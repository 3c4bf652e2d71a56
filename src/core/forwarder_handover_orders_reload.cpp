/// Forwarder: the hand-over to another process, operators' orders, and reloads of the configuration.
#include <fstream>
#include <utility>

#include "capture/memory.hpp"
#include "core/clocks.hpp"
#include "core/descriptor_budget.hpp"
#include "core/forwarder.hpp"
#include "logging/log.hpp"

namespace lockgw {

using namespace cometspoke;
using namespace std::chrono_literals;

namespace {

constexpr auto kHandOverPollInterval = 25ms, kHandOverStepInterval = 2ms;  // idle; once requested
constexpr auto kOrdersPollInterval = 50ms;  // for orders given to another process of the same state folder

}  // namespace

// ---- hand-over to another process ----

void Forwarder::enable_hand_over(std::function<bool()> requested, std::function<void()> done) {
    hand_over_requested_ = std::move(requested);
    hand_over_done_ = std::move(done);
    step_hand_over();
}

/// Polls whether another process asks to take over, and carries out the next step of the hand-over. The steps
/// are decided by handover::Yielding.
void Forwarder::step_hand_over() {
    using Step = handover::Yielding::Step;
    const bool all_answered = submitted_.empty() && !turn_scheduled_;
    const auto step = hand_over_.step(hand_over_requested_(), delivery_->calls(),
        !frontend_->empty() || !all_answered, std::chrono::steady_clock::now());
    if (step != Step::None)
        log::info("core", "handing over",
            {{"step", text_of(step)}, {"calls_out", delivery_->calls()}, {"held", journal_.unended()}});
    if (step == Step::StopCalls || step == Step::GoOn) {
        paused_for_hand_over_ = step == Step::StopCalls;
        apply_pause();
    }
    if (step == Step::LetGo) frontend_->drain();
    if (step == Step::StopReading) frontend_->stop_reading();
    if (step == Step::HandOver) {
        frontend_->refuse_unread();
        journal_.keep_turn();
        save_removed_targets();
        write_hand_over_state();
        return hand_over_done_();
    }
    const bool handing_over = hand_over_.state() != handover::Yielding::State::Serving;
    hand_over_timer_.call_after(
        handing_over ? kHandOverStepInterval : kHandOverPollInterval, [this] { step_hand_over(); });
}

/// Tells the module whether new attempts may begin. While they may not, messages are still accepted, and
/// those that reach their deadline still end.
void Forwarder::apply_pause() {
    if (std::exchange(config_.settings.paused, attempts_paused()) == attempts_paused()) return;
    observe(SettingsEvent{config_.settings});
}

/// Writes what the next process needs to know of the targets: the list, their numbers and retry-after times,
/// and the module's memory. A new file replaces the old one, so that it is there whole or not at all.
/// Failures are ignored: the next process then starts without this knowledge.
void Forwarder::write_hand_over_state() {
    handover::Known known;
    known.list = discovery_.list_json();
    directory_.for_each([&](EndpointId number, const std::string& id) {
        known.ids.emplace(id, number);
        if (const Time until = sender_.wait_until(number); until > steady_now())
            known.waits.emplace(id, until);
    });
    known.memory = capture::memory_of(sender_);
    const auto fresh = config_.state / (std::string(kHandOverStateFile) + ".new");
    std::error_code failed;
    {
        std::ofstream stream(fresh, std::ios::binary | std::ios::trunc);
        const std::string bytes = handover::bytes_of(known, steady_now());
        stream.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        if (!stream.flush()) return void(std::filesystem::remove(fresh, failed));
    }
    std::filesystem::rename(fresh, config_.state / kHandOverStateFile, failed);
}

/// Passes the hand-over state of the previous process to the module, before any message is resumed.
void Forwarder::load_hand_over_state() {
    if (!previous_process_) return;
    std::map<std::string, EndpointId> numbers;
    directory_.for_each([&](EndpointId number, const std::string& id) { numbers.emplace(id, number); });
    const std::size_t learned = handover::learn(sender_, *previous_process_, numbers, config_.settings);
    log::info("core", "taken over",
        {{"targets_known", learned}, {"waits", previous_process_->waits.size()},
            {"messages", journal_.unended()}});
    previous_process_.reset();
}

std::set<std::string> Forwarder::listed_targets() const {
    std::set<std::string> ids;
    directory_.for_each([&](EndpointId, const std::string& id) { ids.insert(id); });
    return ids;
}

// ---- operators' orders ----

/// Answers whether the order is in force: it is stored first, and then applied.
operations::Answer Forwarder::execute_order(const operations::Order& order) {
    using operations::Answer;
    if (order.kind == operations::Order::Kind::Ready)
        return listening_ && !draining_ ? Answer{} : Answer{Answer::Kind::NotReady, "it does not serve"};
    const auto number = directory_.find(order.target);
    const bool listed = number && discovery_.view().find(order.target).has_value();
    const operations::Operations before = orders_.now();
    Answer answer;
    const bool kept = orders_.update([&](operations::Operations& state) {
        for (const std::string& id : removed_targets_) state.gone(id);
        answer = state.give(order, listed, unix_ms());
    });
    if (kept) removed_targets_.clear();
    if (!kept) answer = {Answer::Kind::NotKept, "the order could not be written down"};
    apply_order_changes(before);
    log::info("core", "ordered",
        {{"what", text_of(order.kind)}, {"target", order.target}, {"answer", text_of(answer.kind)}});
    return answer;
}

/// Applies orders that were given to another process of the same state folder, and saves the ids of removed
/// targets.
void Forwarder::poll_orders() {
    const operations::Operations before = orders_.now();
    if (orders_.look()) apply_order_changes(before);
    save_removed_targets();
    orders_timer_.call_after(kOrdersPollInterval, [this] { poll_orders(); });
}

/// Applies the difference between the orders `before` and those in force now: the service state, and targets
/// taken out or put back.
void Forwarder::apply_order_changes(const operations::Operations& before) {
    const auto moves = before.moves(orders_.now());
    if (moves.service) update_in_service();
    TargetView::Update update;
    for (const auto* ids : {&moves.out, &moves.back})
        for (const std::string& id : *ids) {
            if (ids == &moves.back) cold_reported_.erase(id);
            if (const auto target = discovery_.view().find(id)) update.list.targets.push_back(*target);
        }
    if (!update.list.targets.empty()) apply_target_list(update);
}

/// Whether an operator has put the target back recently and the module has not been told yet that it is cold.
/// True only once for each time that it is put back.
bool Forwarder::take_cold_after_order(const Target& target) {
    return orders_.now().cold(target.id, unix_ms()) && cold_reported_.insert(target.id).second;
}

/// Remembers the id of a target that is no longer listed, because operators may still give orders about it.
/// The ids are saved later in one go, for a list may remove many targets at once.
void Forwarder::remember_removed_target(const std::string& id) {
    if (!config_.console || orders_.now().known(id)) return;
    if (removed_targets_.size() < operations::kGoneMost) removed_targets_.push_back(id);
}
void Forwarder::save_removed_targets() {
    if (removed_targets_.empty()) return;
    const bool kept = orders_.update([this](operations::Operations& state) {
        for (const std::string& id : removed_targets_) state.gone(id);
    });
    if (kept) removed_targets_.clear();
}

// ---- reload of the configuration ----

void Forwarder::reload(const Config& fresh, routes::RoutingTable routes) {
    using namespace cometspoke::settings;
    const Config bounded = limit_slots_to_descriptors(fresh);
    InForce next = taken_over({config_.names, config_.settings, tenant_numbers_},
        {bounded.names, bounded.settings, {}}, [this](std::size_t number) { return class_in_use(number); });
    const Sender checked(next.settings, fresh.seed);  // throws if the settings are invalid
    config_.names = std::move(next.names);
    config_.settings = std::move(next.settings);
    config_.settings.paused = attempts_paused();  // the state of this process, in no file
    tenant_numbers_ = std::move(next.numbered_tenants);
    config_.connect_timeout = fresh.connect_timeout;
    config_.reports = fresh.reports;
    if (cluster_view_) config_.settings.n_instances = cluster_view_->limit_shares;
    update_class_terms();
    observe(SettingsEvent{config_.settings});
    discovery_.set_known_names(cometspoke::settings::names_in(config_.names.zones),
        cometspoke::settings::names_in(config_.names.kinds));
    config_.drain_grace = fresh.drain_grace;
    discovery_.set_drain_grace(config_.drain_grace);
    discovery_.switch_agent(fresh.discovery);
    routes_ = std::move(routes);
    config_.spread = fresh.spread;
    planner_.apply_config(config_.spread, routes_.endpoint_weights());
    reroute_held_messages();
}

}  // namespace lockgw
