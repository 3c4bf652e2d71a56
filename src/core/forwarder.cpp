#include "core/forwarder.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "base/condition.hpp"
#include "base/read_file.hpp"
#include "core/admission_limits.hpp"
#include "core/clocks.hpp"
#include "core/descriptor_budget.hpp"
#include "core/subset_parameters.hpp"
#include "logging/log.hpp"
#include "policy/state.hpp"

namespace lockgw {

using namespace cometspoke;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr auto kHandOverMargin = 100ms;  // after the last client has been handed over
// Shutdown, counted from the order to end (SIGKILL follows 3.7 s after it): when reading from clients stops,
// when the process ends, and when it ends even if a reply to a client is still to be written.
constexpr auto kStopReadingAfter = 3300ms, kStopAfter = 3400ms, kStopAtLatest = 3600ms;
constexpr auto kReplyPollInterval = 10ms;
constexpr auto kRetryAfterFull = 1000ms;  // retry-after when the journal or the held messages are full

/// Reads the hand-over state of the previous process and deletes its file: it is of no use to a later
/// process. The target list in it replaces the one of the configuration. None if there is no valid state.
std::optional<handover::Known> read_hand_over_state(Config& config) {
    const auto path = config.state / kHandOverStateFile;
    const auto bytes = read_file(path);
    if (!bytes) return std::nullopt;
    std::error_code ignored;
    std::filesystem::remove(path, ignored);
    auto known = handover::known_of(*bytes, steady_now());
    if (known && known->list.is_object()) config.known = known->list;
    return known;
}

/// The message may have been delivered. The values tell what ended it: its time, its attempts or its window.
void log_ended_in_doubt(const Entry& entry, const FinalStatus& status) {
    const Moment now = moment_now();
    const auto milliseconds_of = [](Time span) {
        return std::chrono::duration_cast<milliseconds>(span).count();
    };
    const auto in_doubt_for = elapsed(entry.may_have_run()->since, now);
    log::info("core", "ended in doubt",
        {{"message", cometspoke::settings::id_text(entry.message.id)},
            {"as", status.refused ? "bounced" : "dead"}, {"attempts", entry.attempts},
            {"in_doubt_ms", in_doubt_for ? milliseconds_of(*in_doubt_for) : -1},
            {"left_ms", milliseconds_of(time_until(entry.message.deadline, now))}});
}

bool proves_never_ran(Outcome outcome) {
    return outcome == Outcome::TurnedAway || outcome == Outcome::NoConnection || outcome == Outcome::NotSent;
}

}  // namespace

Forwarder::Forwarder(
    asio::io_context& io, Config config, const Protocols& protocols, routes::RoutingTable routes)
    : io_(io),
      config_(limit_slots_to_descriptors(std::move(config))),
      tenant_numbers_(config_.names.tenants),
      previous_process_(read_hand_over_state(config_)),
      journal_(config_.state,
          config_.disk_bytes - orders_room(config_.disk_bytes) - snapshot_budget(config_.disk_bytes),
          config_.settings.most_held),
      orders_(config_.state, orders_room(config_.disk_bytes)),
      sender_(config_.settings, config_.seed),
      captures_(io, config_, sender_, directory_),
      routes_(std::move(routes)),
      planner_(subset_parameters(config_), config_.spread),
      delivery_(protocols.delivery(io, config_, max_target_connections(config_),
          {[this](const Call& call, const Tcp::endpoint& address) { return may_send(call, address); },
              [this](const CallResult& result) { handle_outcome(result); },
              [this](EndpointId endpoint, Time wait) { handle_wait(endpoint, wait); }})),
      discovery_(
          io,
          {config_.discovery, config_.known, cometspoke::settings::names_in(config_.names.zones),
              cometspoke::settings::names_in(config_.names.kinds), config_.settings.n_instances, config_.seed,
              config_.drain_grace, max_list_bytes_for(config_.memory_bytes)},
          [this](const TargetView::Update& update) { apply_target_list(update); },
          [this](MessageId id) {
              schedule_turn();
              journal_.confirmed(id, moment_now());
              stop_if_done();
          }),
      cluster_(
          io, config_, [this](const ClusterMembership::Position& view) { apply_cluster_view(view); },
          [this](const PeerNote& note) { observe(note); }),
      recovery_(
          io, {config_, sender_, journal_, directory_, cluster_},
          [this](const Event& event) { notify_module(event); }, [this] { schedule_turn(); }),
      maintenance_(io, config_, cluster_, maintenance_callbacks()),
      frontend_(protocols.frontend(io, config_, max_client_connections(config_), *this)),
      timer_(io),
      clients_handed_over_timer_(io),
      drain_timer_(io),
      orders_timer_(io),
      hand_over_timer_(io) {}
Forwarder::~Forwarder() = default;

void Forwarder::start() {
    planner_.apply_config(config_.spread, routes_.endpoint_weights());
    observe_routes();
    discovery_.apply_known_list();
    const bool handed_over = previous_process_.has_value();
    load_hand_over_state();
    cluster_.start();
    start_recovery(handed_over);
    maintenance_.start();
    out_for_maintenance_ = maintenance_.out_of_service();
    recover_messages(handed_over);
    discovery_.start();
    if (!orders_.now().in_service() || out_for_maintenance_) update_in_service();
    frontend_->listen();
    listening_ = true;
    if (config_.console) poll_orders();
}

/// Refreshes the shared copies of the class settings. All messages of a class share one copy.
void Forwarder::update_class_terms() {
    const auto& classes = config_.settings.classes;
    class_terms_.resize(classes.size());
    for (std::size_t i = 0; i < classes.size(); ++i)
        if (!class_terms_[i] || !(*class_terms_[i] == classes[i]))
            class_terms_[i] = std::make_shared<ClassSettings>(classes[i]);
}

/// Applies an update from discovery to everything that knows targets: the directory of their numbers, the
/// delivery's addresses, the planner of the subsets, the members for routing, and the module.
void Forwarder::apply_target_list(const TargetView::Update& update) {
    const TargetList& list = update.list;
    const auto removed = directory_.apply_list(list, std::chrono::steady_clock::now());
    if (list.complete) members_ = {};
    for (const EndpointId endpoint : removed) {
        if (const std::string* name = directory_.name_of(endpoint))
            remember_removed_target(*name), planner_.erase(*name);
        delivery_->forget(endpoint);
    }
    ListEvent event;
    event.kind = !list.complete                      ? ListKind::Changes
                 : discovery_.view().has_full_list() ? ListKind::Full
                                                     : ListKind::Cached;
    for (const Target& target : list.targets) {
        const auto endpoint = directory_.find(target.id);
        if (!endpoint) continue;  // removed before it was ever listed here
        captures_.named(*endpoint, target.id);
        ListEntry entry;
        if (!target.zone.empty()) entry.zone = config_.names.zones.at(target.zone);
        if (!target.kind.empty()) entry.kind = config_.names.kinds.at(target.kind);
        entry.endpoint = *endpoint;
        entry.destination = target.destination;
        entry.rate = target.rate;
        entry.known_as = subsetting::gossip_id(target.id);
        entry.condition = target.condition;
        if (entry.condition == Condition::Ready &&
            (orders_.now().out(target.id) || maintenance_.is_target_out(target.id)))
            entry.condition = Condition::Draining;  // taken out by an operator or for maintenance
        if (entry.condition == Condition::Ready) {
            delivery_->set_address(*endpoint, target.address);
            const bool after_maintenance = take_cold_after_maintenance(target.id);
            entry.cold = take_cold_after_order(target) || after_maintenance;
        }
        if (entry.condition == Condition::Draining) delivery_->stop_new_calls(*endpoint);
        event.entries.push_back(entry);
        planner_.put(target.id, target.destination, target.rate, entry.condition == Condition::Ready,
            slow_start_since(target, entry.cold));
        if (target.condition == Condition::Gone)
            members_.erase(target.id);
        else
            members_.put({target.id, target.destination, target.kind, target.zone, entry.condition});
    }
    for (const std::string& id : update.restarted_ids)  // connections to its previous process are dead
        if (const auto endpoint = directory_.find(id)) delivery_->close_idle(*endpoint);
    observe(event);
    recovery_.apply_list();
    if (!update.more_follows) observe_routes();  // endpoints that routes name may now have numbers
}

/// The send gate, asked right before the first byte of every call. The call may have been decided before the
/// news of a drain or of a retry-after arrived, for instance while its connection was being established.
bool Forwarder::may_send(const Call& call, const Tcp::endpoint& address) const {
    const std::string* name = directory_.name_of(call.endpoint);
    const auto gate = name == nullptr ? TargetView::SendCheck::Gone
                      : orders_.now().out(*name) || maintenance_.is_target_out(*name)
                          ? TargetView::SendCheck::Draining
                          : discovery_.view().check_send(*name, address, call.destination);
    const bool must_wait = sender_.wait_until(call.endpoint) > steady_now();
    if (gate == TargetView::SendCheck::Allowed && !must_wait) return true;
    log::info("core", "not sent",
        {{"message", cometspoke::settings::id_text(call.message)}, {"target", name == nullptr ? "?" : *name},
            {"it", gate == TargetView::SendCheck::Allowed ? "told to wait" : text_of(gate)}});
    return false;
}

/// Checks the message, informs the module of it and leaves it for the turn, which decides and replies.
/// Replies at once if the message is rejected or refused, or is known already.
void Forwarder::submit(Message message, Time left, ReplyCallback on_reply) {
    const MessageId id = message.id;
    if (const auto same = submitted_.find(id); same != submitted_.end()) {
        same->second.on_reply = [first = std::move(same->second.on_reply), second = std::move(on_reply)](
                                    const Reply& reply) {
            first(reply);
            second(reply);
        };
        return;
    }
    // A client whose connection was closed submits the same id again. The message is held already or has
    // ended meanwhile; accepting it again would deliver it twice.
    if (journal_.find(id) != nullptr || journal_.has_ended(id, moment_now()))
        return on_reply(Reply::accepted());
    if (!directory_.has_destination(message.destination, std::chrono::steady_clock::now()) &&
        !directory_.empty())
        return on_reply(discovery_.view().has_full_list() ? Reply::rejected("unknown destination")
                                                          : Reply::busy(kRetryAfterFull));
    if (journal_.unended() + submitted_.size() >= config_.settings.most_held)
        return on_reply(Reply::busy(kRetryAfterFull));
    const std::string& kind = kind_of(message.destination);
    if (routes_.excludes_kind(message.message_class, message.destination, kind))
        return on_reply(Reply::rejected("this class does not go to a " + kind));
    const RouteId route = route_of(message);
    if (routes_.refuses(route)) return on_reply(Reply::rejected("refused by " + routes_.rule_text(route)));
    // looked up by name: the settings may have been reloaded since the request was read
    const auto message_class = config_.names.classes.find(message.message_class);
    if (message_class == config_.names.classes.end())
        return on_reply(Reply::rejected("unknown class " + message.message_class));
    MessageEvent event;
    event.message = id;
    event.route = route;
    event.destination = message.destination;
    event.message_class = message_class->second;
    message.terms = class_terms_[message_class->second];
    if (!message.tenant.empty()) {
        const auto tenant = config_.names.tenants.find(message.tenant);
        if (tenant == config_.names.tenants.end()) return on_reply(Reply::rejected("unknown tenant"));
        event.tenant = tenant->second;
    }
    event.left = left;
    planner_.record_message(message.destination, steady_now());
    submitted_.emplace(id, SubmittedMessage{std::move(message), std::move(on_reply)});
    observe(event);
}

/// The end of a call: records it, and passes it to the recovery, the planner and the module.
void Forwarder::handle_outcome(const CallResult& result) {
    const OutcomeEvent& event = result.event;
    schedule_turn();
    const Entry* entry = journal_.find(event.message);
    if (entry != nullptr && entry->owed()) {
        if (event.wait > Time(0))  // recorded before anything that depends on it
            recovery_.record_retry_after(event.endpoint, entry->message.destination, event.wait);
        if (result.fate == Fate::Open) {
            journal_.end_attempt(event.message, proves_never_ran(event.outcome));
        } else {
            const bool served = event.outcome == Outcome::Served;
            record_end(event.message, result.fate, served);
            recovery_.on_message_ended(event.message, served);
        }
    }
    recovery_.on_outcome(event);
    if (event.outcome == Outcome::Served)
        if (const std::string* name = directory_.name_of(event.endpoint))
            planner_.record_answer(*name, event.rtt, steady_now());
    observe(event);
    stop_if_done();
}

/// A wait that belongs to no call: it is recorded and heeded like that of an outcome.
void Forwarder::handle_wait(EndpointId endpoint, Time wait) {
    const auto& endpoints = sender_.state().endpoints_;
    const auto found = endpoints.find(endpoint);
    if (found == endpoints.end()) return;
    const std::int64_t destination = found->second.destination;
    schedule_turn();
    recovery_.record_retry_after(endpoint, destination, wait);
    cometspoke::LearnedEvent event;
    event.endpoints.push_back({endpoint, destination, steady_now() + wait, {}, {}});
    observe(event);
}

/// Records what is left to do for a message that gets no further call. `served`: the call was answered 200.
void Forwarder::record_end(MessageId id, Fate fate, bool served) {
    if (fate == Fate::StatusOwed) {
        FinalStatus status;
        status.perhaps_delivered = served;
        return end_message(id, status);
    }
    journal_.delivered(id, moment_now());
}

/// Passes an event to the module and has a turn decide on it. The module gets all events of a turn of the
/// loop before the one decision on them.
void Forwarder::observe(const Event& event) {
    notify_module(event);
    schedule_turn();
}
/// The only place where events are passed to the module; the capture gets them here too.
void Forwarder::notify_module(const Event& event) {
    const Time now = steady_now();
    sender_.observe(event, now);
    captures_.observed(event, now);
}
/// Opens the journal's batch and posts run_turn(), unless a turn is scheduled already.
void Forwarder::schedule_turn() {
    if (std::exchange(turn_scheduled_, true)) return;
    journal_.begin_turn();
    asio::post(io_, [this] { run_turn(); });
}

void Forwarder::run_turn() {
    const auto started = std::chrono::steady_clock::now();
    decide_and_act();
    longest_turn_ = std::max(longest_turn_, std::chrono::steady_clock::now() - started);
}
/// Everything that was decided is in the journal, by one write, before any of it is carried out.
void Forwarder::decide_and_act() {
    turn_scheduled_ = false;
    resume_released_messages(steady_now());
    const Time now = steady_now();  // not earlier than the time of any event
    update_subsets(now);
    const std::vector<Action> actions = sender_.decide(now);
    captures_.decided(now, actions);
    auto replies = accept_submitted(actions);
    std::vector<Recorded> recorded(actions.size());
    for (std::size_t i = 0; i < actions.size(); ++i) guarded([&] { recorded[i] = record(actions[i]); });
    if (!journal_.keep_turn()) undo_turn(replies, actions, recorded);
    report_ended();
    reply_to_submitters(replies);
    for (std::size_t i = 0; i < actions.size(); ++i)
        guarded([&] { std::visit([&](const auto& action) { carry_out(action, recorded[i]); }, actions[i]); });
}

/// Records the submitted messages that the module neither refused nor failed. Returns the replies to all of
/// them, which hold only if the turn's write succeeds.
Forwarder::Replies Forwarder::accept_submitted(const std::vector<Action>& actions) {
    Replies replies;
    if (submitted_.empty()) return replies;
    for (const Action& action : actions) {
        if (const auto* refuse = std::get_if<Refuse>(&action))
            replies.emplace(
                refuse->message, Reply::busy(std::chrono::duration_cast<milliseconds>(refuse->retry_after)));
        else if (const auto* fail = std::get_if<Fail>(&action))
            replies.emplace(fail->message, Reply::rejected("out of time"));
    }
    for (const auto& [id, submitted] : submitted_) {
        if (replies.contains(id)) continue;
        const bool accepted = journal_.take_on(submitted.message);
        replies.emplace(id, accepted ? Reply::accepted() : Reply::busy(kRetryAfterFull));
        if (!accepted) notify_module(AbandonedEvent{id});
    }
    return replies;
}

/// Records the begin of an attempt or the end of a message; other actions leave nothing in the journal.
Forwarder::Recorded Forwarder::record(const Action& action) {
    if (const auto* send = std::get_if<Send>(&action)) return record(*send);
    if (const auto* refuse = std::get_if<Refuse>(&action))
        return record_final_status(
            refuse->message, {true, std::chrono::duration_cast<milliseconds>(refuse->retry_after)});
    if (const auto* fail = std::get_if<Fail>(&action)) return record_final_status(fail->message, {});
    return {};
}
Forwarder::Recorded Forwarder::record(const Send& send) {
    const std::string* target = directory_.name_of(send.endpoint);
    const Entry* entry = journal_.find(send.message);
    if (entry == nullptr) return {};
    const std::uint32_t attempt = entry->attempts;
    return {target != nullptr && journal_.begin_attempt(send.message, *target, moment_now()), attempt};
}
/// Records how a message ended that was accepted in an earlier turn.
Forwarder::Recorded Forwarder::record_final_status(MessageId id, const FinalStatus& status) {
    const Entry* entry = journal_.find(id);
    if (entry == nullptr) return {};  // submitted in this turn: the reply is the final status
    if (entry->may_have_run()) log_ended_in_doubt(*entry, status);
    journal_.end(id, status, moment_now());
    recovery_.on_message_ended(id, false);
    return {true, 0};
}

/// The turn could not be written. No attempt begins, and the submitted messages are refused, except those
/// that a compaction of the journal within this turn has already written.
void Forwarder::undo_turn(
    Replies& replies, const std::vector<Action>& actions, std::vector<Recorded>& recorded) {
    for (std::size_t i = 0; i < actions.size(); ++i)
        if (const auto* send = std::get_if<Send>(&actions[i]); send && recorded[i].written) {
            recorded[i].written = false;
            journal_.end_attempt(send->message, true);
        }
    for (auto& [id, reply] : replies) {
        if (reply.kind != Reply::Kind::Accepted || !journal_.withdraw(id)) continue;
        reply = Reply::busy(kRetryAfterFull);
        notify_module(AbandonedEvent{id});
    }
}

/// Runs `step` and logs its exceptions: a fault in one action must not keep the others of the turn, and above
/// all the timer, from being carried out.
template <class Step>
void Forwarder::guarded(Step step) try {
    step();
} catch (const std::exception& fault) {
    log::error("core", "action failed", {{"why", fault.what()}});
}

/// Replies to the clients before any call goes out: a message is delivered only after its client was told
/// that it is accepted.
void Forwarder::reply_to_submitters(const Replies& replies) {
    for (const auto& [id, submitted] : std::exchange(submitted_, {}))
        guarded([&] { submitted.on_reply(replies.at(id)); });
}

/// Starts the call. An attempt that was not recorded must not begin: the module hears that it was not sent.
void Forwarder::carry_out(const Send& send, const Recorded& recorded) {
    if (!recorded.written) {
        OutcomeEvent event;
        event.message = send.message;
        event.endpoint = send.endpoint;
        event.attempt = recorded.attempt;
        event.outcome = Outcome::NotSent;
        return observe(event);
    }
    const Message& message = journal_.find(send.message)->message;
    delivery_->start({send.message, send.endpoint, recorded.attempt, message.destination, message.key,
        message.body, send.time_out, send.begin_by, message.terms ? message.terms->effect : Effect::Fragile});
}
void Forwarder::carry_out(const CancelAttempt& cancel, const Recorded&) {
    delivery_->cancel(cancel.message, cancel.attempt);
}
void Forwarder::carry_out(const Refuse& refuse, const Recorded& recorded) {
    if (recorded.written)
        discovery_.report_final_status(
            refuse.message, {true, std::chrono::duration_cast<milliseconds>(refuse.retry_after)});
}
void Forwarder::carry_out(const Fail& fail, const Recorded& recorded) {
    if (recorded.written) discovery_.report_final_status(fail.message, {});
}
void Forwarder::carry_out(const SetTimer& timer, const Recorded&) {
    timer_.call_after(timer.delay, [this] { observe(TimerFired{}); });
}
void Forwarder::carry_out(const CloseIdle& close, const Recorded&) { delivery_->close_idle(close.endpoint); }
void Forwarder::carry_out(const Forget& forget, const Recorded&) { directory_.forget(forget.endpoint); }
void Forwarder::carry_out(const TellPeers& message, const Recorded&) { cluster_.send_to_peers(message); }
void Forwarder::carry_out(const Log& line, const Recorded&) { log::info("module", line.text); }

/// Sends the module the endpoints that each route allows, by the numbers under which the module knows them.
void Forwarder::observe_routes() {
    if (routes_.route_count() == 0) return;
    RoutesEvent event;
    for (RouteId route = 1; route <= routes_.route_count(); ++route) {
        auto& allowed = event.only.emplace_back();
        for (const std::string& id : routes_.allowed_endpoints(route))
            if (const auto endpoint = directory_.find(id)) allowed.push_back(*endpoint);
    }
    observe(event);
}

/// Applies the present routing rules to all held messages. A message that these rules would refuse was
/// accepted already: it may go to any endpoint of its destination.
void Forwarder::reroute_held_messages() {
    observe(RoutesEvent{});
    observe_routes();
    for (const auto& [id, entry] : journal_.entries())
        if (entry.owed())
            observe(RerouteEvent{id, routes_.refuses(route_of(entry.message)) ? 0 : route_of(entry.message)});
}

RouteId Forwarder::route_of(const Message& message) const {
    return routes_.find_route(
        message.message_class, message.tenant, message.destination, kind_of(message.destination));
}
const std::string& Forwarder::kind_of(std::int64_t destination) const {
    static const std::string unknown;
    const auto& listed = members_.endpoints_of(destination);
    return listed.empty() ? unknown : listed.front().kind;
}

routes::Resolution Forwarder::resolve_route(const routes::Query& query) const {
    return routes_.resolve(query, members_.endpoints_of(query.destination));
}

Json Forwarder::status() const {
    const auto longest = std::chrono::duration<double, std::milli>(longest_turn_).count();
    std::map<std::int64_t, std::size_t> held;
    for (const auto& [id, entry] : journal_.entries())
        if (entry.owed()) ++held[entry.message.destination];
    Json destinations = Json::array();
    for (const auto& [number, members] : members_.by_destination()) {
        Json endpoints = Json::array();
        for (const auto& member : members)
            endpoints.push_back({{"name", routes_.endpoint_name(member.id)}, {"id", member.id},
                {"is", text_of(member.condition)}});
        destinations.push_back({{"number", number}, {"name", routes_.destination_name(number)},
            {"held", held.contains(number) ? held.at(number) : 0}, {"endpoints", std::move(endpoints)}});
    }
    return {{"name", config_.name}, {"draining", draining_}, {"in_service", orders_.now().in_service()},
        {"away_for_work", maintenance_.out_of_service()}, {"out_by_hand", orders_.now().all_out()},
        {"held", journal_.unended()}, {"unconfirmed_ends", journal_.entries().size() - journal_.unended()},
        {"calls_out", delivery_->calls()}, {"slots", config_.settings.slots},
        {"most_held", config_.settings.most_held}, {"longest_turn_ms", longest},
        {"routes", routes_.route_count()}, {"capture", captures_.status()},
        {"fronts", Json::array({frontend_->status()})}, {"destinations", std::move(destinations)}};
}

void Forwarder::control_capture(const std::string& command, CaptureControl::Reply on_done) {
    if (command == "start")
        captures_.start(std::move(on_done));
    else if (command == "stop")
        captures_.stop(std::move(on_done));
    else if (command == "keep")
        captures_.keep(std::move(on_done));
    else
        return on_done("start, stop or keep, not \"" + command + '"');
    schedule_turn();
    if (command == "keep")
        asio::post(io_, [this] { schedule_turn(); });  // the open batch ends with the decision after this one
}

/// Hands the clients over to the other forwarders, spread over time, and then ends as soon as nothing is left
/// to do. What is still held when the time is over stays in the journal for the next process.
void Forwarder::drain() {
    if (std::exchange(draining_, true)) return;
    cluster_.leave(true);
    recovery_.stop_pacing();
    schedule_turn();
    // The end of the hand-over leaves a second to deliver what the last clients submit.
    const admission::HandOver plan(hand_over_limits(config_.door), config_.settings.n_instances - 1);
    frontend_->hand_over_clients(plan);
    clients_handed_over_timer_.call_after(plan.limits().end + kHandOverMargin, [this] { stop_if_done(); });
    drain_deadline_ = std::chrono::steady_clock::now() + kStopAtLatest;
    drain_timer_.call_after(kStopReadingAfter, [this] { stop_reading(); });
}

/// Requests that this process has read are answered before it ends.
void Forwarder::stop_reading() {
    frontend_->stop_reading();
    drain_timer_.call_after(kStopAfter - kStopReadingAfter, [this] { stop_when_answered(); });
}
void Forwarder::stop_when_answered() {
    const bool replies_pending = frontend_->has_pending_replies() || !submitted_.empty();
    if (!replies_pending || std::chrono::steady_clock::now() >= drain_deadline_) return stop();
    drain_timer_.call_after(kReplyPollInterval, [this] { stop_when_answered(); });
}

/// Ends a drain early, once the journal is empty and no client is connected.
void Forwarder::stop_if_done() {
    if (draining_ && clients_handed_over_timer_.expiry() <= std::chrono::steady_clock::now() &&
        frontend_->empty() && journal_.entries().empty())
        stop();
}

void Forwarder::stop() {
    frontend_->refuse_unread();
    recovery_.save_snapshot();
    const auto longest = std::chrono::duration_cast<std::chrono::microseconds>(longest_turn_);
    log::info("core", "ends", {{"longest_turn_us", longest.count()}});
    io_.stop();
}

}  // namespace lockgw
