#include "forwarder.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <iostream>
#include <utility>

namespace lockgw {

using namespace cometspoke;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr auto kHandOver = 450ms;   // new connections come for 0.4 s after SIGTERM
constexpr auto kDrainFor = 3400ms;  // SIGKILL comes 3.7 s after it
constexpr auto kRoomWait = 1000ms;  // when there is no room, some is likely to be free so much later
constexpr std::size_t kMostEndpoints = 100'000;  // names ever told by discovery
constexpr std::size_t kOtherDescriptors = 32;    // of the process beside clients and targets

Time now() { return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now().time_since_epoch()); }
Wall wall_now() { return std::chrono::time_point_cast<Wall::duration>(std::chrono::system_clock::now()); }

std::size_t most_target_connections(const Config& config) { return config.sockets / 4; }
std::size_t most_client_connections(const Config& config) {
    return config.sockets - most_target_connections(config) - kOtherDescriptors;
}

std::string busy(milliseconds wait) {
    return resp::error(wait > 0ms ? "BUSY " + std::to_string(wait.count()) : "BUSY");
}

bool proves_never_ran(Outcome outcome) {
    return outcome == Outcome::TurnedAway || outcome == Outcome::NoConnection || outcome == Outcome::NotSent;
}

}  // namespace

Forwarder::Forwarder(asio::io_context& io, Config config)
    : io_(io),
      config_(std::move(config)),
      journal_(config_.state, config_.disk_bytes),
      sender_(config_.settings, config_.seed),
      targets_(io, config_, most_target_connections(config_),
          [this](const OutcomeEvent& event) { outcome(event); }),
      discovery_(
          io, config_,
          [this](const TargetList& told) { list(told, told.complete ? ListKind::Full : ListKind::Changes); },
          [this](MessageId id) {
              journal_.confirmed(id);
              stop_if_done();
          }),
      peers_(io, config_, [this](const PeerNote& note) { observe(note); }),
      clients_(io, config_, most_client_connections(config_),
          [this](Message message, Time left, Clients::Answer answer) {
              enqueue(std::move(message), left, std::move(answer));
          }),
      timer_(io),
      drain_step_(io),
      drain_end_(io) {}

void Forwarder::start() {
    try {
        list(list_of(config_.known), ListKind::Cached);
    } catch (const std::exception& bad) {
        std::cerr << "config: no known list: " << bad.what() << '\n';
    }
    take_up();
    peers_.start();
    discovery_.start();
    clients_.listen();
}

/// What an earlier process owed is owed still, with what it knew of each attempt.
void Forwarder::take_up() {
    const Wall wall = wall_now();
    for (const Entry* entry : journal_.in_order()) {
        const Message& message = entry->message;
        if (entry->notice) {
            discovery_.report(message.id, *entry->notice);
            continue;
        }
        const auto kind = config_.names.classes.find(message.message_class);
        if (kind == config_.names.classes.end()) {  // the operator took the class away meanwhile
            end(message.id, {});
            continue;
        }
        MessageEvent event;
        event.message = message.id;
        event.destination = message.destination;
        event.message_class = kind->second;
        if (const auto tenant = config_.names.tenants.find(message.tenant);
            tenant != config_.names.tenants.end())
            event.tenant = tenant->second;
        event.left = message.deadline - wall;
        event.attempts = entry->attempts;
        if (const auto& first = entry->may_have_run())
            event.doubt = MessageEvent::Doubt{wall - first->since, endpoint_of(first->target)};
        observe(event);
    }
}

void Forwarder::list(const TargetList& told, ListKind kind) {
    ListEvent event;
    event.kind = kind;
    const auto index = [](const settings::Index& names, const std::string& name, const char* what) {
        return name.empty() ? 0 : settings::index_of(names, name, what);
    };
    for (const Target& target : told.targets) try {
            ListEntry entry;
            entry.zone = index(config_.names.zones, target.zone, "locality");
            entry.kind = index(config_.names.kinds, target.kind, "flavor");
            entry.endpoint = endpoint_of(target.id);
            entry.destination = target.destination;
            entry.rate = target.rate;
            entry.condition = target.condition;
            targets_.set_address(entry.endpoint, target.address);
            event.entries.push_back(entry);
        } catch (const settings::BadInput& bad) {
            std::cerr << "discovery: passed over an entry: " << bad.what() << '\n';
        }
    observe(event);
}

void Forwarder::enqueue(Message message, Time left, Clients::Answer answer) {
    const MessageId id = message.id;
    if (const auto twin = newcomers_.find(id); twin != newcomers_.end()) {
        twin->second.answer = [first = std::move(twin->second.answer), answer = std::move(answer)](
                                  const std::string& text) {
            first(text);
            answer(text);
        };
        return;
    }
    // A client that met a closed connection hands the same id in once more: it is held already.
    if (journal_.find(id) != nullptr) return answer(resp::simple("OK"));
    if (held() + newcomers_.size() >= config_.settings.most_held) return answer(busy(kRoomWait));
    MessageEvent event;
    event.message = id;
    event.destination = message.destination;
    event.message_class = config_.names.classes.at(message.message_class);
    if (!message.tenant.empty()) event.tenant = config_.names.tenants.at(message.tenant);
    event.left = left;
    newcomers_.emplace(id, Newcomer{std::move(message), std::move(answer)});
    observe(event);
}

void Forwarder::outcome(const OutcomeEvent& event) {
    const Entry* entry = journal_.find(event.message);
    if (entry != nullptr && !entry->notice) {
        if (event.terminal)
            journal_.delivered(event.message);
        else
            journal_.end_attempt(event.message, proves_never_ran(event.outcome));
    }
    observe(event);
    stop_if_done();
}

/// All that happens in one turn of the loop is told before the one decision on it.
void Forwarder::observe(const Event& event) {
    sender_.observe(event, now());
    if (std::exchange(turn_due_, true)) return;
    asio::post(io_, [this] { turn(); });
}

void Forwarder::turn() {
    turn_due_ = false;
    const std::vector<Action> actions = sender_.decide(now());
    answer_newcomers(actions);
    for (const Action& action : actions) std::visit([this](const auto& one) { carry_out(one); }, action);
}

/// Before any call goes out: a message is delivered only if its client has heard that it was taken on.
void Forwarder::answer_newcomers(const std::vector<Action>& actions) {
    for (const auto& [id, newcomer] : std::exchange(newcomers_, {}))
        newcomer.answer(answer_for(newcomer, actions));
}

std::string Forwarder::answer_for(const Newcomer& newcomer, const std::vector<Action>& actions) {
    const MessageId id = newcomer.message.id;
    for (const Action& action : actions) {
        const auto* refuse = std::get_if<Refuse>(&action);
        if (refuse != nullptr && refuse->message == id)
            return busy(std::chrono::duration_cast<milliseconds>(refuse->retry_after));
        const auto* fail = std::get_if<Fail>(&action);
        if (fail != nullptr && fail->message == id) return resp::error("ERR out of time");
    }
    if (journal_.take_on(newcomer.message)) return resp::simple("OK");
    observe(AbandonedEvent{id});
    return busy(kRoomWait);
}

void Forwarder::carry_out(const Send& send) {
    const std::string& target = endpoint_names_.at(send.endpoint);
    const Entry* entry = journal_.find(send.message);
    const std::uint32_t attempt = entry != nullptr ? entry->attempts : 0;
    if (entry == nullptr || !journal_.begin_attempt(send.message, target, wall_now())) {
        OutcomeEvent event;
        event.message = send.message;
        event.endpoint = send.endpoint;
        event.attempt = attempt;
        event.outcome = Outcome::NotSent;
        return observe(event);
    }
    targets_.start(
        {send.message, send.endpoint, attempt, entry->message.key, entry->message.body, send.time_out});
}
void Forwarder::carry_out(const CancelAttempt& cancel) { targets_.cancel(cancel.message, cancel.attempt); }
void Forwarder::carry_out(const Refuse& refuse) {
    end(refuse.message, {true, std::chrono::duration_cast<milliseconds>(refuse.retry_after)});
}
void Forwarder::carry_out(const Fail& fail) { end(fail.message, {}); }
void Forwarder::carry_out(const SetTimer& timer) {
    timer_.expires_after(timer.delay);
    timer_.async_wait([this](auto cancelled) {
        if (!cancelled) observe(TimerFired{});
    });
}
void Forwarder::carry_out(const CloseIdle& close) { targets_.close_idle(close.endpoint); }
void Forwarder::carry_out(const TellPeers& tell) { peers_.tell(tell.to, tell.bytes); }
void Forwarder::carry_out(const Log& log) { std::cerr << log.text << '\n'; }

void Forwarder::end(MessageId id, const Notice& notice) {
    if (journal_.find(id) == nullptr) return;  // its client has the answer itself
    journal_.end(id, notice);
    discovery_.report(id, notice);
}

void Forwarder::reload(const Config& fresh) {
    const Sender checked(fresh.settings, fresh.seed);  // it knows best which settings make no sense
    discovery_.move_to(fresh.discovery);
}

void Forwarder::drain() {
    if (std::exchange(draining_, true)) return;
    drain_step_.expires_after(kHandOver);
    drain_step_.async_wait([this](auto) {
        clients_.drain();
        stop_if_done();
    });
    drain_end_.expires_after(kDrainFor);
    drain_end_.async_wait([this](auto) { io_.stop(); });
}

/// With nothing owed and no client left, there is nothing to wait for.
void Forwarder::stop_if_done() {
    if (draining_ && drain_step_.expiry() <= std::chrono::steady_clock::now() && clients_.empty() &&
        journal_.entries().empty())
        io_.stop();
}

EndpointId Forwarder::endpoint_of(const std::string& name) {
    const auto found = endpoints_.find(name);
    if (found != endpoints_.end()) return found->second;
    if (endpoints_.size() >= kMostEndpoints) throw settings::BadInput("too many targets");
    const auto id = static_cast<EndpointId>(endpoint_names_.size());
    endpoint_names_.push_back(name);
    endpoints_.emplace(name, id);
    return id;
}

std::size_t Forwarder::held() const {
    return static_cast<std::size_t>(std::count_if(journal_.entries().begin(), journal_.entries().end(),
        [](const auto& entry) { return !entry.second.notice; }));
}

}  // namespace lockgw
