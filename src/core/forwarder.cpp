#include "core/forwarder.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <fstream>
#include <iterator>
#include <utility>

#include "base/condition.hpp"
#include "core/admission_limits.hpp"
#include "core/clocks.hpp"
#include "core/descriptors.hpp"
#include "core/subset_parameters.hpp"
#include "logging/log.hpp"

namespace lockgw {

using namespace cometspoke;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr auto kDrainCheck = 100ms;
// From the order to end, which SIGKILL follows after 3.7 s: when nothing more is read from clients, when the
// process ends, and when it ends although an answer to a client is still to be written.
constexpr auto kReadFor = 3300ms, kDrainFor = 3400ms, kDrainAtMost = 3600ms;
constexpr auto kAnswersCheck = 10ms;
// A client whose connection ended before it had read its answer hands the same message in once more, under
// the same id: it waits 400 ms for the answer, and connects anew.
constexpr Time kRepeatedWithin = 2s;
constexpr std::size_t kMostEnded = 16'384;
constexpr auto kRoomWait = 1000ms;  // when there is no room, some is likely to be free so much later

/// Read once: it is of no use to a later process. Its list stands in for the one in the configuration.
std::optional<handover::Known> known_before(Config& config) {
    const auto path = config.state / kKnowledge;
    std::ifstream stream(path, std::ios::binary);
    if (!stream) return std::nullopt;
    const std::string bytes{std::istreambuf_iterator<char>(stream), {}};
    std::error_code ignored;
    std::filesystem::remove(path, ignored);
    auto known = handover::known_of(bytes, steady_now());
    if (known && known->list.is_object()) config.known = known->list;
    return known;
}

bool proves_never_ran(Outcome outcome) {
    return outcome == Outcome::TurnedAway || outcome == Outcome::NoConnection || outcome == Outcome::NotSent;
}

}  // namespace

Forwarder::Forwarder(asio::io_context& io, Config config, const Protocols& protocols, routes::Table routes)
    : io_(io),
      config_(within_descriptors(std::move(config))),
      tenants_(config_.names.tenants),
      known_(known_before(config_)),
      journal_(config_.state,
          config_.disk_bytes - orders_room(config_.disk_bytes) - snapshot_budget(config_.disk_bytes),
          config_.settings.most_held),
      orders_(config_.state, orders_room(config_.disk_bytes)),
      sender_(config_.settings, config_.seed),
      captures_(io, config_, sender_, directory_),
      routes_(std::move(routes)),
      planner_(subset_parameters(config_), config_.spread),
      delivery_(protocols.delivery(
          io, config_, most_target_connections(config_),
          [this](const Call& call, const Tcp::endpoint& address) { return may_have(call, address); },
          [this](const OutcomeEvent& event) { outcome(event); })),
      discovery_(
          io,
          {config_.discovery, config_.known, cometspoke::settings::names_in(config_.names.zones),
              cometspoke::settings::names_in(config_.names.kinds), config_.settings.n_instances, config_.seed,
              config_.drain_grace, list_bytes_for(config_.memory_bytes)},
          [this](const View::Update& update) { list(update); },
          [this](MessageId id) {
              open_turn();
              journal_.confirmed(id);
              stop_if_done();
          }),
      tier_(
          io, config_, [this](const ClusterMembership::Position& standing) { stand(standing); },
          [this](const PeerNote& note) { observe(note); }),
      recovery_(
          io, {config_, sender_, journal_, directory_, tier_},
          [this](const Event& event) { tell_module(event); }, [this] { open_turn(); }),
      work_(io, config_, tier_, work_needs()),
      front_(protocols.front(io, config_, most_client_connections(config_), *this)),
      timer_(io),
      drain_step_(io),
      drain_end_(io),
      orders_step_(io),
      handover_step_(io),
      ended_(kRepeatedWithin, kMostEnded) {}
Forwarder::~Forwarder() = default;

void Forwarder::start() {
    planner_.ordered(config_.spread, routes_.weights());
    tell_routes();
    discovery_.take_known();
    const bool handed_over = known_.has_value();
    learn();
    tier_.start();
    come_back(handed_over);
    work_.start();
    away_ = work_.out_of_service();
    take_up(handed_over);
    discovery_.start();
    if (!orders_.now().in_service() || away_) service();
    front_->listen();
    listening_ = true;
    if (config_.console) look_at_orders();
}

/// One copy of each class's terms for all its messages.
void Forwarder::share_terms() {
    const auto& classes = config_.settings.classes;
    terms_.resize(classes.size());
    for (std::size_t i = 0; i < classes.size(); ++i)
        if (!terms_[i] || !(*terms_[i] == classes[i]))
            terms_[i] = std::make_shared<ClassSettings>(classes[i]);
}

void Forwarder::list(const View::Update& update) {
    const TargetList& told = update.told;
    const auto gone = directory_.listed(told, std::chrono::steady_clock::now());
    if (told.complete) members_ = {};
    for (const EndpointId endpoint : gone) {
        if (const std::string* name = directory_.name_of(endpoint)) note_gone(*name), planner_.erase(*name);
        delivery_->forget(endpoint);
    }
    ListEvent event;
    event.kind = !told.complete              ? ListKind::Changes
                 : discovery_.view().whole() ? ListKind::Full
                                             : ListKind::Cached;
    for (const Target& target : told.targets) {
        const auto endpoint = directory_.find(target.id);
        if (!endpoint) continue;  // it went before it was ever listed here
        captures_.named(*endpoint, target.id);
        ListEntry entry;
        if (!target.zone.empty()) entry.zone = config_.names.zones.at(target.zone);
        if (!target.kind.empty()) entry.kind = config_.names.kinds.at(target.kind);
        entry.endpoint = *endpoint;
        entry.destination = target.destination;
        entry.rate = target.rate;
        entry.known_as = spread::known_as(target.id);
        entry.condition = target.condition;
        if (entry.condition == Condition::Ready &&
            (orders_.now().out(target.id) || work_.is_target_out(target.id)))
            entry.condition = Condition::Draining;  // by hand, or for work
        if (entry.condition == Condition::Ready) {
            delivery_->set_address(*endpoint, target.address);
            const bool worked_on = cold_from_work(target.id);
            entry.cold = told_cold(target) || worked_on;
        }
        if (entry.condition == Condition::Draining) delivery_->withdraw(*endpoint);
        event.entries.push_back(entry);
        planner_.put(target.id, target.destination, target.rate, entry.condition == Condition::Ready,
            began(target, entry.cold));
        if (target.condition == Condition::Gone)
            members_.erase(target.id);
        else
            members_.put({target.id, target.destination, target.kind, target.zone, entry.condition});
    }
    for (const std::string& id : update.restarted)  // connections to the process before it are dead
        if (const auto endpoint = directory_.find(id)) delivery_->close_idle(*endpoint);
    observe(event);
    recovery_.apply_list();
    if (!update.more) tell_routes();  // endpoints that they name may have got their numbers
}

/// The send gate: asked right before a call's first byte, on every path. A call may have been chosen before
/// the news of a drain or a told wait, and its connection may have taken long to come up.
bool Forwarder::may_have(const Call& call, const Tcp::endpoint& address) const {
    const std::string* name = directory_.name_of(call.endpoint);
    const auto gate = name == nullptr ? View::Gate::Gone
                      : orders_.now().out(*name) || work_.is_target_out(*name)
                          ? View::Gate::Draining
                          : discovery_.view().gate(*name, address, call.destination);
    const bool waits = sender_.wait_until(call.endpoint) > steady_now();
    if (gate == View::Gate::Open && !waits) return true;
    log::info("core", "not sent",
        {{"message", cometspoke::settings::id_text(call.message)}, {"target", name == nullptr ? "?" : *name},
            {"it", gate == View::Gate::Open ? "told to wait" : text_of(gate)}});
    return false;
}

void Forwarder::hand_in(Message message, Time left, Done done) {
    const MessageId id = message.id;
    if (const auto twin = newcomers_.find(id); twin != newcomers_.end()) {
        twin->second.done = [first = std::move(twin->second.done), done = std::move(done)](
                                const Reply& reply) {
            first(reply);
            done(reply);
        };
        return;
    }
    // A client that met a closed connection hands the same id in once more: it is held already, or has ended
    // meanwhile, and to take it on anew would have it run twice.
    if (journal_.find(id) != nullptr || ended_.contains(id, steady_now())) return done(Reply::taken());
    if (!directory_.has(message.destination, std::chrono::steady_clock::now()) && !directory_.blank())
        return done(
            discovery_.view().whole() ? Reply::rejected("unknown destination") : Reply::busy(kRoomWait));
    if (journal_.unended() + newcomers_.size() >= config_.settings.most_held)
        return done(Reply::busy(kRoomWait));
    const std::string& kind = kind_of(message.destination);
    if (routes_.wrong_kind(message.message_class, message.destination, kind))
        return done(Reply::rejected("this class does not go to a " + kind));
    const RouteId route = route_of(message);
    if (routes_.refuses(route)) return done(Reply::rejected("refused by " + routes_.rule_of(route)));
    // by name, for settings may have been taken over since the request was read
    const auto kind_now = config_.names.classes.find(message.message_class);
    if (kind_now == config_.names.classes.end())
        return done(Reply::rejected("unknown class " + message.message_class));
    MessageEvent event;
    event.message = id;
    event.route = route;
    event.destination = message.destination;
    event.message_class = kind_now->second;
    message.terms = terms_[kind_now->second];
    if (!message.tenant.empty()) {
        const auto tenant = config_.names.tenants.find(message.tenant);
        if (tenant == config_.names.tenants.end()) return done(Reply::rejected("unknown tenant"));
        event.tenant = tenant->second;
    }
    event.left = left;
    planner_.asked(message.destination, steady_now());
    newcomers_.emplace(id, Newcomer{std::move(message), std::move(done)});
    observe(event);
}

void Forwarder::outcome(const OutcomeEvent& event) {
    open_turn();
    const Entry* entry = journal_.find(event.message);
    if (entry != nullptr && !entry->notice) {
        if (event.wait > Time(0))  // before anything follows from it
            recovery_.record_retry_after(event.endpoint, entry->message.destination, event.wait);
        if (event.terminal)
            journal_.delivered(event.message), ended_.add(event.message, steady_now()),
                recovery_.on_message_ended(event.message, event.outcome == Outcome::Served);
        else
            journal_.end_attempt(event.message, proves_never_ran(event.outcome));
    }
    recovery_.on_outcome(event);
    if (event.outcome == Outcome::Served)
        if (const std::string* name = directory_.name_of(event.endpoint))
            planner_.answered(*name, event.rtt, steady_now());
    observe(event);
    stop_if_done();
}

/// All that happens in one turn of the loop is told before the one decision on it.
void Forwarder::observe(const Event& event) {
    tell_module(event);
    open_turn();
}
/// The one place where the module is told anything.
void Forwarder::tell_module(const Event& event) {
    const Time at = steady_now();
    sender_.observe(event, at);
    captures_.observed(event, at);
}
void Forwarder::open_turn() {
    if (std::exchange(turn_due_, true)) return;
    journal_.begin_turn();
    asio::post(io_, [this] { turn(); });
}

void Forwarder::turn() {
    const auto begun = std::chrono::steady_clock::now();
    decide_and_act();
    longest_turn_ = std::max(longest_turn_, std::chrono::steady_clock::now() - begun);
}
/// First everything that was decided is in the journal, by one write; then it is done.
void Forwarder::decide_and_act() {
    turn_due_ = false;
    take_up_due(steady_now());
    const Time at = steady_now();  // not before anything that was told
    share_out(at);
    const std::vector<Action> actions = sender_.decide(at);
    captures_.decided(at, actions);
    auto replies = take_on(actions);
    std::vector<Recorded> recorded(actions.size());
    for (std::size_t i = 0; i < actions.size(); ++i) guarded([&] { recorded[i] = record(actions[i]); });
    if (!journal_.keep_turn()) take_back(replies, actions, recorded);
    answer_newcomers(replies);
    for (std::size_t i = 0; i < actions.size(); ++i)
        guarded([&] { std::visit([&](const auto& one) { carry_out(one, recorded[i]); }, actions[i]); });
}

/// What each newcomer hears, if the turn is kept.
Forwarder::Replies Forwarder::take_on(const std::vector<Action>& actions) {
    Replies replies;
    if (newcomers_.empty()) return replies;
    for (const Action& action : actions) {
        if (const auto* refuse = std::get_if<Refuse>(&action))
            replies.emplace(
                refuse->message, Reply::busy(std::chrono::duration_cast<milliseconds>(refuse->retry_after)));
        else if (const auto* fail = std::get_if<Fail>(&action))
            replies.emplace(fail->message, Reply::rejected("out of time"));
    }
    for (const auto& [id, newcomer] : newcomers_) {
        if (replies.contains(id)) continue;
        const bool taken = journal_.take_on(newcomer.message);
        replies.emplace(id, taken ? Reply::taken() : Reply::busy(kRoomWait));
        if (!taken) tell_module(AbandonedEvent{id});
    }
    return replies;
}

Forwarder::Recorded Forwarder::record(const Action& action) {
    if (const auto* send = std::get_if<Send>(&action)) return record(*send);
    if (const auto* refuse = std::get_if<Refuse>(&action))
        return record_end(
            refuse->message, {true, std::chrono::duration_cast<milliseconds>(refuse->retry_after)});
    if (const auto* fail = std::get_if<Fail>(&action)) return record_end(fail->message, {});
    return {};
}
Forwarder::Recorded Forwarder::record(const Send& send) {
    const std::string* target = directory_.name_of(send.endpoint);
    const Entry* entry = journal_.find(send.message);
    if (entry == nullptr) return {};
    const std::uint32_t attempt = entry->attempts;
    return {target != nullptr && journal_.begin_attempt(send.message, *target, moment_now()), attempt};
}
Forwarder::Recorded Forwarder::record_end(MessageId id, const FinalStatus& notice) {
    if (journal_.find(id) == nullptr) return {};  // its client has the answer itself
    journal_.end(id, notice);
    ended_.add(id, steady_now());
    recovery_.on_message_ended(id, false);
    return {true, 0};
}

/// The disk did not take the turn: nobody was taken on but those that a compaction within it has kept, and no
/// attempt begins.
void Forwarder::take_back(
    Replies& replies, const std::vector<Action>& actions, std::vector<Recorded>& recorded) {
    for (std::size_t i = 0; i < actions.size(); ++i)
        if (const auto* send = std::get_if<Send>(&actions[i]); send && recorded[i].kept) {
            recorded[i].kept = false;
            journal_.end_attempt(send->message, true);
        }
    for (auto& [id, reply] : replies) {
        if (reply.kind != Reply::Kind::Taken || !journal_.withdraw(id)) continue;
        reply = Reply::busy(kRoomWait);
        tell_module(AbandonedEvent{id});
    }
}

/// A fault in one action must not take the others of its turn with it, the timer least of all.
template <class Step>
void Forwarder::guarded(Step step) try {
    step();
} catch (const std::exception& fault) {
    log::error("core", "a step failed", {{"why", fault.what()}});
}

/// Before any call goes out: a message is delivered only if its client has heard that it was taken on.
void Forwarder::answer_newcomers(const Replies& replies) {
    for (const auto& [id, newcomer] : std::exchange(newcomers_, {}))
        guarded([&] { newcomer.done(replies.at(id)); });
}

void Forwarder::carry_out(const Send& send, const Recorded& recorded) {
    if (!recorded.kept) {
        OutcomeEvent event;
        event.message = send.message;
        event.endpoint = send.endpoint;
        event.attempt = recorded.attempt;
        event.outcome = Outcome::NotSent;
        return observe(event);
    }
    const Message& message = journal_.find(send.message)->message;
    delivery_->start({send.message, send.endpoint, recorded.attempt, message.destination, message.key,
        message.body, send.time_out, send.begin_by});
}
void Forwarder::carry_out(const CancelAttempt& cancel, const Recorded&) {
    delivery_->cancel(cancel.message, cancel.attempt);
}
void Forwarder::carry_out(const Refuse& refuse, const Recorded& recorded) {
    if (recorded.kept)
        discovery_.report(
            refuse.message, {true, std::chrono::duration_cast<milliseconds>(refuse.retry_after)});
}
void Forwarder::carry_out(const Fail& fail, const Recorded& recorded) {
    if (recorded.kept) discovery_.report(fail.message, {});
}
void Forwarder::carry_out(const SetTimer& timer, const Recorded&) {
    timer_.expires_after(timer.delay);
    timer_.async_wait([this](auto cancelled) {
        if (!cancelled) observe(TimerFired{});
    });
}
void Forwarder::carry_out(const CloseIdle& close, const Recorded&) { delivery_->close_idle(close.endpoint); }
void Forwarder::carry_out(const Forget& forget, const Recorded&) { directory_.forget(forget.endpoint); }
void Forwarder::carry_out(const TellPeers& tell, const Recorded&) { tier_.send_to_peers(tell); }
void Forwarder::carry_out(const Log& line, const Recorded&) { log::info("module", line.text); }

/// The module knows endpoints by their numbers.
void Forwarder::tell_routes() {
    if (routes_.size() == 0) return;
    RoutesEvent event;
    for (RouteId route = 1; route <= routes_.size(); ++route) {
        auto& only = event.only.emplace_back();
        for (const std::string& id : routes_.only(route))
            if (const auto endpoint = directory_.find(id)) only.push_back(*endpoint);
    }
    observe(event);
}

/// Who was taken on goes by the rules that are in force now; where these would refuse it, it was promised all
/// the same, and goes to any endpoint of its destination.
void Forwarder::reroute_held() {
    observe(RoutesEvent{});
    tell_routes();
    for (const auto& [id, entry] : journal_.entries())
        if (!entry.notice)
            observe(RerouteEvent{id, routes_.refuses(route_of(entry.message)) ? 0 : route_of(entry.message)});
}

RouteId Forwarder::route_of(const Message& message) const {
    return routes_.find(
        message.message_class, message.tenant, message.destination, kind_of(message.destination));
}
const std::string& Forwarder::kind_of(std::int64_t destination) const {
    static const std::string unknown;
    const auto& listed = members_.of(destination);
    return listed.empty() ? unknown : listed.front().kind;
}

routes::Resolution Forwarder::route(const routes::Query& query) const {
    return routes_.resolve(query, members_.of(query.destination));
}

Json Forwarder::status() const {
    const auto longest = std::chrono::duration<double, std::milli>(longest_turn_).count();
    std::map<std::int64_t, std::size_t> held;
    for (const auto& [id, entry] : journal_.entries())
        if (!entry.notice) ++held[entry.message.destination];
    Json destinations = Json::array();
    for (const auto& [number, members] : members_.all()) {
        Json endpoints = Json::array();
        for (const auto& one : members)
            endpoints.push_back(
                {{"name", routes_.endpoint_name(one.id)}, {"id", one.id}, {"is", text_of(one.condition)}});
        destinations.push_back({{"number", number}, {"name", routes_.name_of(number)},
            {"held", held.contains(number) ? held.at(number) : 0}, {"endpoints", std::move(endpoints)}});
    }
    return {{"name", config_.name}, {"draining", draining_}, {"in_service", orders_.now().in_service()},
        {"away_for_work", work_.out_of_service()}, {"out_by_hand", orders_.now().all_out()},
        {"held", journal_.unended()}, {"unconfirmed_ends", journal_.entries().size() - journal_.unended()},
        {"calls_out", delivery_->calls()}, {"slots", config_.settings.slots},
        {"most_held", config_.settings.most_held}, {"longest_turn_ms", longest}, {"routes", routes_.size()},
        {"capture", captures_.status()}, {"fronts", Json::array({front_->status()})},
        {"destinations", std::move(destinations)}};
}

void Forwarder::capture(const std::string& what, CaptureControl::Reply told) {
    if (what == "start")
        captures_.start(std::move(told));
    else if (what == "stop")
        captures_.stop(std::move(told));
    else if (what == "keep")
        captures_.keep(std::move(told));
    else
        return told("start, stop or keep, not \"" + what + '"');
    open_turn();
    if (what == "keep")
        asio::post(io_, [this] { open_turn(); });  // what is open ends with the decision after
}

void Forwarder::drain() {
    if (std::exchange(draining_, true)) return;
    tier_.leave(true);
    recovery_.stop_pacing();
    open_turn();
    // What the last of them still hand in has a second to be delivered.
    const admission::HandOver plan(hand_over_limits(config_.door), config_.settings.n_instances - 1);
    front_->hand_on(plan);
    drain_step_.expires_after(plan.limits().end + kDrainCheck);
    drain_step_.async_wait([this](auto) { stop_if_done(); });
    drained_by_ = std::chrono::steady_clock::now() + kDrainAtMost;
    drain_end_.expires_after(kReadFor);
    drain_end_.async_wait([this](auto) { stop_reading(); });
}

/// What a client has asked, and this process has read, is answered before it ends.
void Forwarder::stop_reading() {
    front_->stop_reading();
    drain_end_.expires_after(kDrainFor - kReadFor);
    drain_end_.async_wait([this](auto) { stop_when_answered(); });
}
void Forwarder::stop_when_answered() {
    const bool owes = front_->owes_answers() || !newcomers_.empty();
    if (!owes || std::chrono::steady_clock::now() >= drained_by_) return stop();
    drain_end_.expires_after(kAnswersCheck);
    drain_end_.async_wait([this](auto) { stop_when_answered(); });
}

/// With nothing owed and no client left, there is nothing to wait for.
void Forwarder::stop_if_done() {
    if (draining_ && drain_step_.expiry() <= std::chrono::steady_clock::now() && front_->empty() &&
        journal_.entries().empty())
        stop();
}

void Forwarder::stop() {
    recovery_.save_snapshot();
    const auto longest = std::chrono::duration_cast<std::chrono::microseconds>(longest_turn_);
    log::info("core", "ends", {{"longest_turn_us", longest.count()}});
    io_.stop();
}

}  // namespace lockgw
