#include "rig/soak/client_load.hpp"

#include <algorithm>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <istream>
#include <iterator>

#include "rig/node.hpp"

namespace lockgw::rig::soak {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr Milliseconds kReconnect{50}, kLongestPatience{30}, kEarlyWithdrawal{400};
constexpr Milliseconds kLongestGap{20}, kGapExcused{40};  // between the two pieces of a batch
constexpr std::size_t kLargestBatch = 20;
constexpr std::uint64_t kIdsOfOneClient = 1u << 24;
constexpr std::size_t kMostRecent = 400;
constexpr int kMostTries = 3;  // the first and two after refusals

std::string id_text(std::uint64_t number) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

}  // namespace

struct ClientLoad::Session {
    explicit Session(asio::io_context& io) : socket(io) {}
    Tcp::socket socket;
    asio::streambuf in;
    std::deque<Request> unanswered;  // in the order in which they were handed in
    std::string held_back;           // bytes that wait for the second piece of a batch
    bool corked = false;             // that piece is still to come
    Clock::time_point corked_at;
    std::uint64_t batch = 0;           // that is being submitted
    std::uint64_t answered_batch = 0;  // of the latest answer
    bool connected = false, answered = false;
};

ClientLoad::ClientLoad(asio::io_context& io, const ClientPlan& plan, std::mt19937_64& random,
    Observations& observations, KilledSince killed_since)
    : io_(io),
      plan_(plan),
      random_(random),
      observations_(observations),
      killed_since_(std::move(killed_since)),
      timer_(io) {}

void ClientLoad::start() {
    connect();
    tick();
    if (plan_.bursts > 0) schedule_burst();
}
void ClientLoad::stop() {
    stopped_ = true;
    timer_.cancel();
}

bool ClientLoad::chance(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }
Milliseconds ClientLoad::up_to(Milliseconds most) {
    return Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(1, most.count())(random_));
}
void ClientLoad::later(Milliseconds delay, std::function<void()> step) {
    auto timer = std::make_shared<asio::steady_timer>(io_, delay);
    timer->async_wait([timer, step = std::move(step)](auto) { step(); });
}

void ClientLoad::tick() {
    timer_.expires_after(std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(std::exponential_distribution<>(plan_.per_second)(random_))));
    timer_.async_wait([this](auto cancelled) {
        if (cancelled || stopped_) return;
        if (session_->connected && !session_->corked) chance(plan_.batches) ? submit_batch() : submit();
        tick();
    });
}

void ClientLoad::submit() {
    static const char* const classes[] = {"safe", "keyed", "unsafe", "unsafe"};
    const std::string message_class = classes[random_() % std::size(classes)];
    const auto destination =
        static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(plan_.destinations));
    const Milliseconds deadline =
        plan_.shortest_deadline + up_to(plan_.longest_deadline - plan_.shortest_deadline + Milliseconds(1));
    hand_in({"", Clock::now(), 0}, message_class, destination, deadline);
}

/// Written in two pieces: an end of the connection may come between them.
void ClientLoad::submit_batch() {
    const auto session = session_;
    session->corked = true;
    session->corked_at = Clock::now();
    session->batch = ++batches_;
    for (std::size_t left = 2 + random_() % (kLargestBatch - 1); left > 0; --left) submit();
    session->batch = 0;
    write_out(*session, random_() % session->held_back.size());
    later(up_to(kLongestGap), [this, session] {
        session->corked = false;
        if (Clock::now() - session->corked_at > kGapExcused)
            for (Request& request : session->unanswered) request.batch = 0;
        write_out(*session, session->held_back.size());
    });
}
void ClientLoad::write_out(Session& session, std::size_t count) {
    boost::system::error_code ignored;
    asio::write(session.socket, asio::buffer(session.held_back, count), ignored);
    session.held_back.erase(0, count);
}

/// As a new message.
void ClientLoad::hand_in(
    Order order, const std::string& message_class, std::int64_t destination, Milliseconds deadline) {
    const std::string id = id_text((plan_.forwarder + 1) * kIdsOfOneClient + ++submitted_);
    if (order.key.empty()) order.key = id;
    const std::string mark = ++order.tries > 1 ? ",r=1" : "";
    ObservedMessage& message = observations_.messages[id];
    message.message_class = message_class;
    message.key = order.key;
    message.effect = plan_.effects.at(message_class);
    message.destination = destination;
    message.forwarder = plan_.forwarder;
    message.submitted = Clock::now();
    message.deadline = deadline;
    const std::string names = "c=" + message_class + ",t=acme,d=" + std::to_string(deadline.count()) +
                              ",k=" + order.key + ",dest=" + std::to_string(destination) + mark;
    if (plan_.hands_in_again) orders_.emplace(id, order);
    recent_.push_back(id);
    if (recent_.size() > kMostRecent) recent_.pop_front();
    if (chance(plan_.withdrawn)) later(up_to(withdrawal_by(message)), [this, id] { withdraw(id); });
    send({id, command({"ENQUEUE", "0000000000000000", id, names, "BODY"}), Clock::now(), false});
    if (chance(plan_.impatient))
        later(up_to(kLongestPatience), [this, session = session_, id] {
            const auto waits = [&](const Request& request) { return request.id == id; };
            if (std::none_of(session->unanswered.begin(), session->unanswered.end(), waits)) return;
            for (const Request& request : session->unanswered)
                observations_.messages[request.id].given_up = true;
            session->unanswered.clear();
            boost::system::error_code ignored;
            session->socket.close(ignored);
        });
}

void ClientLoad::on_refused(const std::string& id) {
    const auto found = orders_.find(id);
    if (found == orders_.end()) return;
    const Order order = found->second;
    orders_.erase(found);
    const ObservedMessage message = observations_.messages.at(id);
    const bool in_window =
        message.effect != Effect::Keyed || Clock::now() - order.first_submitted < plan_.keyed_window;
    if (stopped_ || !session_->connected || order.tries >= kMostTries || message.withdrawn || !in_window)
        return;
    ++observations_.handed_in_again;
    hand_in(order, message.message_class, message.destination, message.deadline);
}

/// Half of them early, while most messages are still open.
Milliseconds ClientLoad::withdrawal_by(const ObservedMessage& message) {
    return chance(0.5) ? kEarlyWithdrawal : message.deadline;
}

void ClientLoad::send(Request request) {
    request.batch = session_->batch;
    session_->held_back += request.bytes;
    if (!session_->corked) write_out(*session_, session_->held_back.size());
    session_->unanswered.push_back(std::move(request));
}

/// From now on its target answers 410.
void ClientLoad::withdraw(const std::string& id) {
    ObservedMessage& message = observations_.messages[id];
    if (!message.withdrawn) message.withdrawn = Clock::now();
}
void ClientLoad::schedule_burst() {
    const auto pause = std::chrono::duration<double>(std::exponential_distribution<>(plan_.bursts)(random_));
    later(std::chrono::duration_cast<Milliseconds>(pause), [this] {
        if (stopped_) return;
        withdraw_burst();
        schedule_burst();
    });
}
/// A client of one destination leaves: all that it has handed in lately is withdrawn.
void ClientLoad::withdraw_burst() {
    const auto destination =
        static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(plan_.destinations));
    for (const std::string& id : recent_)
        if (observations_.messages[id].destination == destination) withdraw(id);
}

void ClientLoad::connect() {
    if (stopped_) return;
    const auto session = std::make_shared<Session>(io_);
    session_ = session;
    session->socket.async_connect(plan_.address, [this, session](auto failed) {
        if (failed) return later(kReconnect, [this] { connect(); });
        boost::system::error_code ignored;
        session->socket.set_option(Tcp::no_delay(true), ignored);
        session->connected = true;
        for (Request& request : std::exchange(to_repeat_, {})) {
            observations_.messages[request.id].submitted =
                Clock::now();  // its time counts from its last byte
            send(std::move(request));
        }
        read(session);
    });
}

void ClientLoad::read(const std::shared_ptr<Session>& session) {
    asio::async_read_until(session->socket, session->in, "\r\n", [this, session](auto failed, std::size_t) {
        if (failed) return lost(session);
        session->answered = true;
        std::istream stream(&session->in);
        std::string line;
        std::getline(stream, line);
        if (!session->unanswered.empty()) {
            const std::string id = session->unanswered.front().id;
            session->answered_batch = session->unanswered.front().batch;
            session->unanswered.pop_front();
            if (line.starts_with("+OK")) observations_.messages[id].accepted = Clock::now();
            if (line.starts_with("-BUSY")) {
                observations_.messages[id].turned_away = true;
                on_refused(id);
            }
        }
        read(session);
    });
}

/// A request that its connection's end has crossed is sent once more. Where the forwarder was killed, or
/// where a crowd may have had a new connection shut unread, nothing is known of it. Of a batch that was
/// answered in part the rest had come, or did within a moment.
void ClientLoad::lost(const std::shared_ptr<Session>& session) {
    session->connected = false;
    for (Request& request : session->unanswered) {
        const bool excused = killed_since_(request.sent) || (observations_.crowd && !session->answered);
        const bool late = session->corked && Clock::now() - session->corked_at > kGapExcused;
        const bool cut = request.batch != 0 && request.batch == session->answered_batch && !late;
        if (excused) {
            observations_.messages[request.id].given_up = true;
        } else if (request.repeated || cut) {
            observations_.messages[request.id].closed_unanswered = true;
        } else {
            request.repeated = true;
            to_repeat_.push_back(std::move(request));
        }
    }
    session->unanswered.clear();
    connect();
}

}  // namespace lockgw::rig::soak
