#include "rig/soak/client_load.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <istream>

#include "rig/node.hpp"

namespace lockgw::rig::soak {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds kReconnect{50};
constexpr std::uint64_t kIdsOfOneClient = 1u << 24;

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
    std::deque<std::string> unanswered;  // ids, in the order in which they were handed in
    bool connected = false;
};

ClientLoad::ClientLoad(
    asio::io_context& io, const ClientPlan& plan, std::mt19937_64& random, Observations& observations)
    : io_(io), plan_(plan), random_(random), observations_(observations), timer_(io) {}

void ClientLoad::start() {
    connect();
    tick();
}
void ClientLoad::stop() {
    stopped_ = true;
    timer_.cancel();
}

void ClientLoad::tick() {
    timer_.expires_after(std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(std::exponential_distribution<>(plan_.per_second)(random_))));
    timer_.async_wait([this](auto cancelled) {
        if (cancelled || stopped_) return;
        if (session_->connected) submit();
        tick();
    });
}

void ClientLoad::submit() {
    static const char* const classes[] = {"safe", "keyed", "unsafe", "unsafe"};
    const std::string id = id_text((plan_.forwarder + 1) * kIdsOfOneClient + ++submitted_);
    const std::string message_class = classes[random_() % std::size(classes)];
    const auto destination =
        static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(plan_.destinations));
    ObservedMessage& message = observations_.messages[id];
    message.message_class = message_class;
    message.forwarder = plan_.forwarder;
    message.submitted = Clock::now();
    session_->unanswered.push_back(id);
    const std::string names = "c=" + message_class + ",t=acme,d=" + std::to_string(plan_.deadline.count()) +
                              ",k=" + id + ",dest=" + std::to_string(destination);
    boost::system::error_code ignored;
    asio::write(
        session_->socket, asio::buffer(command({"ENQUEUE", "0000000000000000", id, names, "BODY"})), ignored);
}

void ClientLoad::connect() {
    if (stopped_) return;
    const auto session = std::make_shared<Session>(io_);
    session_ = session;
    session->socket.async_connect(plan_.address, [this, session](auto failed) {
        if (!failed) {
            session->connected = true;
            return read(session);
        }
        auto retry = std::make_shared<asio::steady_timer>(io_, kReconnect);
        retry->async_wait([this, retry](auto) { connect(); });
    });
}

void ClientLoad::read(const std::shared_ptr<Session>& session) {
    asio::async_read_until(session->socket, session->in, "\r\n", [this, session](auto failed, std::size_t) {
        if (failed) {
            session->connected = false;
            return connect();
        }
        std::istream stream(&session->in);
        std::string line;
        std::getline(stream, line);
        if (!session->unanswered.empty()) {
            const std::string id = session->unanswered.front();
            session->unanswered.pop_front();
            if (line.starts_with("+OK")) observations_.messages[id].accepted = Clock::now();
        }
        read(session);
    });
}

}  // namespace lockgw::rig::soak
