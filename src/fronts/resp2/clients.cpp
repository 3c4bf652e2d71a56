#include "fronts/resp2/clients.hpp"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "core/admission_limits.hpp"
#include "core/clocks.hpp"
#include "logging/log.hpp"

namespace lockgw {

using admission::Class;
using admission::Overload;
using cometspoke::settings::BadInput;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

constexpr auto kAcceptPause = 20ms;  // after a failed accept, such as one for want of descriptors
constexpr auto kRoomPause = 5ms;     // until somebody's grace is over
constexpr auto kSweep = 200ms;
constexpr auto kSweepOn = 1ms;        // where one turn was not enough
constexpr auto kAbandonedFrom = 1ms;  // a request that has waited so long may have lost its client
constexpr auto kTell = 5s;            // between log lines
constexpr auto kLeaving = 1500ms;     // out of service: all clients are let go by then
constexpr auto kOutWait = 1000ms;     // and who comes later is told to come again after this
// In one turn of the loop: each costs some 50 us with what it has sent already, and a request waits for all
// of them in each of the four turns that it takes.
constexpr std::size_t kAccepts = 2;
constexpr std::size_t kSweeps = 8;
constexpr std::size_t kBatch = 128;         // requests handed on in one turn
constexpr std::size_t kLastAccepts = 8192;  // when the listener closes: more than its queue holds
constexpr std::uint64_t kCostUnit = 4096;   // bytes of a body that weigh as much as one more request
constexpr std::uint64_t kLeastQuantum = 18, kMostQuantum = 1800;  // a body of 64 KiB goes in one round
constexpr admission::Owner kTenant = admission::Owner{1} << 40;   // tenants beside sources

admission::Owner source_of(const Tcp::endpoint& from) {
    return from.address().is_v4() ? from.address().to_v4().to_uint()
                                  : std::hash<std::string>{}(from.address().to_string()) % kTenant;
}

/// Rounds are shared out as the tenants' quotas are.
std::uint64_t quantum_of(const Config& config, std::size_t tenant) {
    double least = 0;
    for (const auto& one : config.settings.tenants)
        if (one.quota_per_s > 0 && (least == 0 || one.quota_per_s < least)) least = one.quota_per_s;
    const double own = config.settings.tenants[tenant].quota_per_s;
    if (least == 0 || own <= 0) return kLeastQuantum;
    return std::min(kMostQuantum, static_cast<std::uint64_t>(kLeastQuantum * own / least));
}

std::string busy(std::chrono::milliseconds wait) {
    return resp::error(wait.count() > 0 ? "BUSY " + std::to_string(wait.count()) : "BUSY");
}
std::string text_of(const Reply& reply) {
    switch (reply.kind) {
        case Reply::Kind::Accepted:
            return resp::simple("OK");
        case Reply::Kind::Busy:
            return busy(reply.wait);
        case Reply::Kind::Rejected:
            break;
    }
    return resp::error("ERR " + reply.why);
}

}  // namespace

Clients::Clients(asio::io_context& io, const Config& config, std::size_t most_connections, Intake& intake)
    : io_(io),
      config_(config),
      intake_(intake),
      door_(connection_limits(most_connections, config.door)),
      overload_(overload_limits(config.door)),
      waiting_(most_connections),
      listener_(io),
      pause_(io),
      sweep_(io),
      hand_on_(io),
      memory_(client_memory_limit(config.memory_bytes, config.door)),
      read_turns_(read_limits(config.door)) {}
/// The loop may live on and hold handlers of the connections: they are closed here.
Clients::~Clients() {
    service_.close();
    while (!sessions_.empty()) Session(sessions_.begin()->second)->close();
}

// ---- connections ----

void Clients::listen() {
    listener_.open(config_);
    accept();
    sweep();
}

void Clients::accept() {
    make_room();
    if (service_.closed() || accepting_ || pausing_) return;
    if (door_.room() == 0)
        return pause_accepting(kRoomPause);  // somebody's grace is over soon, or an answer is written
    accepting_ = true;
    listener_.wait([this](auto failed) {
        accepting_ = false;
        if (service_.closed() || failed) return;
        accept_waiting(kAccepts);
        accept();
    });
}

void Clients::accept_waiting(std::size_t most) {
    for (std::size_t i = 0; i < most; ++i) {
        make_room();
        if (door_.room() == 0) return;
        Tcp::endpoint from;
        boost::system::error_code failed;
        Tcp::socket socket = listener_.accept(from, failed);
        if (failed == asio::error::would_block) return;
        if (failed == asio::error::connection_aborted) continue;
        if (failed) return accept_failed(failed);
        ++counters_.accepted;
        const admission::Owner source = source_of(from);
        const auto ticket = door_.enter(source, Clock::now());
        const auto session = std::make_shared<ClientSession>(std::move(socket), *this, ticket, source);
        sessions_.emplace(ticket, session);
        session->start();
    }
}

/// Mostly for want of descriptors, which others of this machine may hold: one is given back, for the next.
void Clients::accept_failed(const boost::system::error_code& why) {
    if (++counters_.accept_failed == 1) log::error("door", "cannot accept", {{"why", why.message()}});
    if (const auto farewell = door_.hand_on())
        send_away(*farewell);
    else
        intake_.free_descriptor();
    if (!pausing_) pause_accepting(kAcceptPause);
}
void Clients::pause_accepting(std::chrono::milliseconds span) {
    pausing_ = true;
    pause_.call_after(span, [this] {
        pausing_ = false;
        accept();
    });
}

/// Closes whom the door names. Bounded: who is read instead may stay, and is named again if it must.
void Clients::make_room() {
    if (std::exchange(making_room_, true)) return;
    for (std::size_t i = 0; i < kSweeps; ++i) {
        const auto farewell = door_.for_room(Clock::now());
        if (!farewell) break;
        send_away(*farewell);
    }
    making_room_ = false;
}

void Clients::send_away(const admission::Door::Farewell& farewell) {
    const Session session = sessions_.at(farewell.ticket);
    const auto from = static_cast<std::size_t>(farewell.from);
    const bool may_ask = farewell.from == Class::Partly
                             ? farewell.for_room
                             : farewell.from != Class::Writing && farewell.from != Class::Leaving;
    if (may_ask && session->unread()) return session->read_now();  // it has asked meanwhile
    ++(farewell.for_room ? counters_.for_room : counters_.timed_out)[from];
    if (farewell.from == Class::Partly)
        return session->turn_away(farewell.for_room ? busy(overload_.told_wait(Clock::now()))
                                                    : resp::error("ERR a command without an end"));
    may_be_sending(farewell) ? session->end_when_quiet() : session->close(farewell.for_room);
}

/// Whether a request of it may be on its way right now, so that a close would cross it. Who has asked before
/// may ask again at any instant; who never has, mostly says nothing, and is waited for only while all are let
/// go. Where a place is wanted at once there is no time for it.
bool Clients::may_be_sending(const admission::Door::Farewell& farewell) const {
    if (farewell.for_room) return false;
    switch (farewell.from) {
        case Class::Probed:
        case Class::Proved:
        case Class::Regular:
            return true;
        case Class::Silent:
        case Class::Trial:
            return service_.ending() || closing();
        default:
            return false;
    }
}

void Clients::closed(const ClientSession& session, bool for_room) {
    door_.left(session.ticket(), for_room);
    sessions_.erase(session.ticket());
    if (!making_room_) accept();
}

/// Many that each send half of a long command, or long ones that wait, must not fill the memory; nor those of
/// one source or tenant the part of the others.
void Clients::bound_memory() {
    while (const auto owner = memory_.over())
        if (!give_up_some(*owner)) return;
}
/// Half a command first: what is whole is nearer to its answer.
bool Clients::give_up_some(admission::Owner owner) {
    if (const auto half = door_.first_of(Class::Partly, owner)) {
        ++counters_.too_much;
        Session(sessions_.at(*half))->turn_away(resp::error("ERR too much at once"));
        return true;
    }
    const auto request = waiting_.drop_newest(owner);
    if (!request) return false;
    no_longer_waits(*request);
    ++counters_.too_much;
    request->session->answer(busy(overload_.told_wait(Clock::now())), true);
    return true;
}

/// Of one that sends more than others: its next read waits for its turn.
void Clients::read_in_turn(const Session& session) {
    read_turns_.push(door_.owner(session->ticket()), session, session->meter().last());
    if (std::exchange(reading_in_turn_, true)) return;
    asio::post(io_, [this] { read_turn(); });
}
void Clients::read_turn() {
    read_turns_.take_turn([](const Session& session) { return session->read_in_turn(); });
    reading_in_turn_ = !read_turns_.empty();
    if (reading_in_turn_) asio::post(io_, [this] { read_turn(); });
}

/// What is owed to every connection in time: an answer or a close.
void Clients::sweep() {
    bool more = true;  // thousands that came together are overdue together: the others must not wait for them
    for (std::size_t i = 0; i < kSweeps && more; ++i) {
        const auto farewell = door_.overdue(Clock::now());
        more = farewell.has_value();
        if (more) send_away(*farewell);
    }
    if (service_.service() == Service::Out)
        let_all_go();  // who connects now is let go, too, unless it asks at once
    tell();
    sweep_.call_after(more ? kSweepOn : kSweep, [this] { sweep(); });
}

/// One line now and then, while there is something to tell.
void Clients::tell() {
    const auto now = Clock::now();
    if (now - told_at_ < kTell) return;
    const auto sum = [](const auto& from) {
        std::uint64_t all = 0;
        for (const auto one : from) all += one;
        return all;
    };
    const auto since = [this](auto DoorCounters::*which) { return counters_.*which - told_.*which; };
    const auto for_room = sum(counters_.for_room) - sum(told_.for_room);
    if (for_room == 0 && since(&DoorCounters::refused) == 0 && since(&DoorCounters::gone) == 0 &&
        since(&DoorCounters::accept_failed) == 0 && since(&DoorCounters::too_much) == 0)
        return;
    told_at_ = now;
    std::string by_class;
    for (std::size_t i = 0; i < admission::kClasses; ++i)
        if (const auto count = counters_.for_room[i] - told_.for_room[i]; count > 0)
            by_class += (by_class.empty() ? "" : " ") + std::to_string(count) + ' ' +
                        admission::text_of(static_cast<Class>(i));
    log::info("door", "crowded",
        {{"accepted", since(&DoorCounters::accepted)}, {"closed_for_room", for_room}, {"of_these", by_class},
            {"handed_in", since(&DoorCounters::served)},
            {"refused_after_a_wait", since(&DoorCounters::refused)},
            {"given_up_by_clients", since(&DoorCounters::gone)},
            {"for_want_of_memory", since(&DoorCounters::too_much)},
            {"accept_failed", since(&DoorCounters::accept_failed)}, {"connections", door_.count()},
            {"unproved", door_.unproved()},
            {"grace_ms", std::chrono::duration_cast<std::chrono::milliseconds>(door_.grace()).count()}});
    told_ = counters_;
}

// ---- requests ----

void Clients::handle(const Session& session, const resp::Command& command) {
    using boost::algorithm::iequals;
    if (iequals(command[0], "PING") && service_.service() != Service::In)
        return session->answer(resp::error("ERR out of service"), false);
    if (service_.service() == Service::Out) {
        if (!iequals(command[0], "ENQUEUE")) return session->answer(resp::error("ERR out of service"), false);
        ++counters_.refused;
        return session->answer(busy(kOutWait), false);
    }
    if (iequals(command[0], "PING"))
        return session->answer(command.size() == 2 ? resp::bulk(command[1]) : resp::simple("PONG"), false);
    if (!iequals(command[0], "ENQUEUE")) return session->answer(resp::error("ERR unknown command"), false);
    if (!turned_away(session)) take_in(session, command);
}

/// Cheap: before anything of the request is read, and without the journal.
bool Clients::turned_away(const Session& session) {
    const auto now = Clock::now();
    const auto waited = now - session->arrived();
    if (waited >= kAbandonedFrom && session->is_over()) {
        ++counters_.gone;
        session->close();
        return true;
    }
    const auto verdict = overload_.judge(waited, now);
    if (verdict == Overload::Verdict::Serve) return false;
    if (verdict == Overload::Verdict::Gone && session->hung_up()) {
        ++counters_.gone;
        session->turn_away(busy(overload_.told_wait(now)));  // it may still read
        return true;
    }
    if (verdict == Overload::Verdict::Gone && !overload_.overloaded()) return false;  // a patient one
    ++counters_.refused;
    session->answer(busy(overload_.told_wait(now)), true);
    return true;
}

void Clients::take_in(const Session& session, const resp::Command& command) {
    Request request;
    request.session = session;
    try {
        const auto waited =
            std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - session->came());
        request.message = message_of(command, config_, moment_now() + -waited);
    } catch (const BadInput& bad) {
        std::string text = std::string("ERR ") + bad.what();
        for (char& letter : text)  // what the client sent stands in it
            if (letter < ' ' || letter > '~') letter = '?';
        return session->answer(resp::error(text), false);
    }
    queue(std::move(request));
}

void Clients::queue(Request request) {
    request.owner = request.session->source();
    std::uint64_t quantum = kLeastQuantum;
    if (!request.message.tenant.empty()) {
        const std::size_t tenant = config_.names.tenants.at(request.message.tenant);  // read just now
        request.owner = kTenant + tenant;
        quantum = quantum_of(config_, tenant);
        door_.told_tenant(request.session->ticket(), request.owner);
    }
    request.bytes = request.message.body.size();
    memory_.change(request.owner, 0, request.bytes);
    const std::uint64_t cost = 1 + request.bytes / kCostUnit;
    const auto owner = request.owner;
    const auto lost = waiting_.push(owner, std::move(request), cost, quantum);
    if (lost) {
        no_longer_waits(*lost);
        ++counters_.too_much;
        lost->session->answer(busy(overload_.told_wait(Clock::now())), true);
    }
    bound_memory();
    if (std::exchange(working_, true)) return;
    asio::post(io_, [this] { work(); });
}

void Clients::no_longer_waits(const Request& request) { memory_.change(request.owner, request.bytes, 0); }

/// A bounded part of what waits, all of it told to the module before its one decision; the rest in the next
/// turn of the loop, after what else has come.
void Clients::work() {
    for (std::size_t i = 0; i < kBatch && !waiting_.empty(); ++i) {
        Request request = waiting_.pop(overload_.overloaded());
        no_longer_waits(request);
        if (!turned_away(request.session)) hand_in(std::move(request));
    }
    working_ = !waiting_.empty();
    if (working_) asio::post(io_, [this] { work(); });
}

void Clients::hand_in(Request request) {
    ++counters_.served;
    const auto left =
        std::max<cometspoke::Time>(cometspoke::Time(0), time_until(request.message.deadline, moment_now()));
    intake_.submit(
        std::move(request.message), left, [session = std::move(request.session)](const Reply& reply) {
            session->answer(text_of(reply), reply.kind != Reply::Kind::Rejected);
        });
}

Json Clients::status() const {
    Json connections = Json::object();
    for (std::size_t i = 0; i < admission::kClasses; ++i)
        connections[admission::text_of(static_cast<Class>(i))] = door_.count(static_cast<Class>(i));
    return {{"front", "resp2"}, {"listen", address_text(config_.listen)}, {"connections", door_.count()},
        {"in_service", service_.service() == Service::In}, {"by_class", connections},
        {"accepted", counters_.accepted}, {"accept_failed", counters_.accept_failed},
        {"handed_in", counters_.served}, {"refused_after_a_wait", counters_.refused},
        {"given_up_by_clients", counters_.gone}, {"for_want_of_memory", counters_.too_much},
        {"overloaded", overload_.overloaded()}, {"held_bytes", memory_.held()},
        {"most_held_bytes", memory_.most()}, {"read_in_turn", read_turns_.size()},
        {"read_limits", {{"per_s", read_turns_.limits().per_s}, {"burst", read_turns_.limits().burst},
                            {"turn", read_turns_.limits().turn}}},
        {"grace_ms", std::chrono::duration<double, std::milli>(door_.grace()).count()}};
}

// ---- the end ----

/// Who has asked goes on being served for a while; the fronts have noticed by then.
void Clients::set_in_service(bool in_service) {
    admission::HandOverLimits limits = hand_over_limits(config_.door);
    limits.end = std::min(limits.end, admission::Span(kLeaving));
    limits.least = std::min(limits.least, limits.end);
    const auto now = Clock::now();
    if (service_.order(in_service, {limits, config_.settings.n_instances - 1}, now)) hand_on(now);
}

void Clients::hand_over_clients(const admission::HandOver& plan) {
    const auto now = Clock::now();
    service_.begin_end(plan, now);
    hand_on(now);
}

/// All at once would fall on the others in one instant.
void Clients::hand_on(admission::ServiceState::TimePoint now) {
    const std::size_t resting = door_.count(Class::Silent) + door_.count(Class::Trial) +
                                door_.count(Class::Probed) + door_.count(Class::Proved) +
                                door_.count(Class::Regular);
    const auto step = service_.step(resting, now);
    if (step.close_door) return drain();
    if (step.let_all_go) return let_all_go();  // the others have the rest; what still comes is turned away
    for (std::size_t left = step.let_go; left > 0; --left)
        if (const auto farewell = door_.hand_on()) send_away(*farewell);
    if (step.next) hand_on_.call_after(*step.next, [this] { hand_on(Clock::now()); });
}
void Clients::let_all_go() {
    for (std::size_t left = door_.count(); left > 0; --left) {
        const auto farewell = door_.hand_on();
        if (!farewell) return;
        send_away(*farewell);
    }
}

/// Closing the listener resets connections that wait in its queue, with the requests written to them.
void Clients::drain() {
    if (service_.closed()) return;
    if (!listener_.inherited())
        accept_waiting(kLastAccepts);  // those of an inherited one wait for the next process
    service_.close();
    listener_.close();
    pause_.cancel();
    hand_on_.cancel();
    let_all_go();
}

/// Of what has been read every request gets its answer; half a command is told to come again, and so is what
/// is read from now on.
void Clients::stop_reading() {
    drain();
    reading_ = false;
    while (const auto half = door_.first(Class::Partly)) Session(sessions_.at(*half))->turn_away(refusal());
    while (const auto resting = door_.hand_on()) {
        const Session session = sessions_.at(resting->ticket);
        session->unread() ? session->refuse_further() : session->end_sending();
    }
}

void Clients::refuse_unread() {
    std::vector<Session> all;
    for (const auto& [ticket, session] : sessions_) all.push_back(session);
    for (const Session& session : all) session->refuse_unread();
}

std::string Clients::refusal() {
    ++counters_.refused;
    return busy(kOutWait);
}

bool Clients::has_pending_replies() const {
    return door_.count(Class::Asked) > 0 || door_.count(Class::Writing) > 0 || refusing_sessions_ > 0;
}

}  // namespace lockgw
