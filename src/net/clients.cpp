#include "clients.hpp"

#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <iostream>
#include <utility>

namespace lockgw {

using cometspoke::settings::BadInput;
using cometspoke::settings::index_of;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

constexpr auto kLinger = 500ms;        // a client is given so long to read a last -ERR
constexpr auto kAcceptPause = 20ms;    // after a failed accept, such as one for want of descriptors
constexpr double kLongestMs = 86.4e6;  // a day: no class keeps a message so long
constexpr std::size_t kLongestKey = 128;

template <class T>
T number_of(std::string_view text, const char* what) {
    T value{};
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end) throw BadInput(std::string("bad number for ") + what);
    return value;
}

/// "c=notice,t=acme,d=8000" as names and values; a name that is unknown here is passed over.
std::map<std::string, std::string> pairs_of(const std::string& text) {
    std::map<std::string, std::string> pairs;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = std::min(text.find(',', at), text.size());
        const std::string pair = text.substr(at, end - at);
        const std::size_t equals = pair.find('=');
        if (equals == std::string::npos) throw BadInput("a name without a value");
        pairs.insert_or_assign(pair.substr(0, equals), pair.substr(equals + 1));
        at = end + 1;
    }
    return pairs;
}

/// The key goes on as a header of the call: nothing that could end a header line may be in it.
void check_key(const std::string& key) {
    if (key.size() > kLongestKey) throw BadInput("k is too long");
    for (const char letter : key)
        if (letter <= ' ' || letter > '~') throw BadInput("k holds an unprintable character");
}

}  // namespace

Message message_of(const resp::Command& command, const Config& config, Wall now, cometspoke::Time& left) {
    if (command.size() != 5) throw BadInput("wrong number of arguments for ENQUEUE");
    auto pairs = pairs_of(command[3]);
    const auto value = [&pairs](const char* name) -> const std::string& {
        const auto found = pairs.find(name);
        if (found == pairs.end()) throw BadInput(std::string("missing ") + name);
        return found->second;
    };
    Message message;
    message.id = cometspoke::settings::id_of(command[2]);
    message.message_class = value("c");
    const std::size_t index = index_of(config.names.classes, message.message_class, "class");
    if (!config.names.tenants.empty()) {
        message.tenant = value("t");
        index_of(config.names.tenants, message.tenant, "tenant");
    }
    const bool keyed = config.settings.classes[index].effect == cometspoke::Effect::Dedup;
    if (keyed || pairs.contains("k")) message.key = value("k");
    check_key(message.key);
    message.destination = number_of<std::int64_t>(value("dest"), "dest");
    const auto left_ms = number_of<double>(value("d"), "d");
    if (!(left_ms >= 0 && left_ms <= kLongestMs)) throw BadInput("bad number for d");
    left = cometspoke::settings::from_ms(left_ms);
    message.deadline = now + left;
    message.body = command[4];
    return message;
}

/// One connection: reads a command, has it answered, writes the answer, and only then goes on.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
public:
    ClientSession(Tcp::socket socket, Clients& owner)
        : socket_(std::move(socket)), linger_(socket_.get_executor()), owner_(owner) {}

    void read() {
        reading_ = true;
        socket_.async_read_some(
            asio::buffer(in_), [self = shared_from_this()](auto failed, std::size_t count) {
                self->reading_ = false;
                if (failed) return self->close();
                self->used_ = Clock::now();
                self->parser_.feed({self->in_.data(), count});
                self->next();
            });
        owner_.accept();  // idle now: at the limit its place may go to a client that waits
    }

    /// Between requests: nothing asked for is unanswered, nothing has come that is unread.
    bool idle() {
        boost::system::error_code failed;
        return reading_ && !parser_.midway() && socket_.available(failed) == 0;
    }
    Clock::time_point used() const { return used_; }

    void close() {
        boost::system::error_code ignored;
        socket_.close(ignored);
        linger_.cancel();
        owner_.leave(shared_from_this());
    }

private:
    void next() try {
        const auto command = parser_.next();
        if (command)
            return owner_.handle(
                *command, [self = shared_from_this()](std::string text) { self->write(std::move(text)); });
        if (owner_.draining_ && !parser_.midway()) {
            boost::system::error_code failed;
            if (socket_.available(failed) == 0) return close();
        }
        read();
    } catch (const resp::Unreadable& bad) {
        last_ = true;
        write(resp::error(std::string("ERR ") + bad.what()));
    }

    void write(std::string text) {
        out_ = std::move(text);
        asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this()](auto failed, std::size_t) {
            if (failed) return self->close();
            if (self->last_) return self->finish();
            self->next();
        });
    }

    /// Closing with bytes unread would reset the connection and take the -ERR with it.
    void finish() {
        boost::system::error_code ignored;
        socket_.shutdown(Tcp::socket::shutdown_send, ignored);
        linger_.expires_after(kLinger);
        linger_.async_wait([self = shared_from_this()](auto cancelled) {
            if (!cancelled) self->close();
        });
        discard();
    }
    void discard() {
        socket_.async_read_some(asio::buffer(in_), [self = shared_from_this()](auto failed, std::size_t) {
            failed ? self->close() : self->discard();
        });
    }

    Tcp::socket socket_;
    asio::steady_timer linger_;
    Clients& owner_;
    resp::Parser parser_;
    std::array<char, 16 * 1024> in_{};
    std::string out_;
    bool reading_ = false, last_ = false;
    Clock::time_point used_ = Clock::now();
};

Clients::Clients(asio::io_context& io, const Config& config, std::size_t most_connections, Enqueue enqueue)
    : io_(io),
      config_(config),
      most_(most_connections),
      enqueue_(std::move(enqueue)),
      acceptor_(io),
      pause_(io) {}
Clients::~Clients() = default;

void Clients::listen() {
    acceptor_.open(config_.listen.protocol());
    acceptor_.set_option(Tcp::acceptor::reuse_address(true));
    acceptor_.bind(config_.listen);
    acceptor_.listen();
    acceptor_.non_blocking(true);
    accept();
}

void Clients::accept() {
    if (draining_ || !make_room() || accepting_) return;  // room is made by a close, which may accept too
    accepting_ = true;
    acceptor_.async_accept([this](auto failed, Tcp::socket socket) {
        accepting_ = false;
        if (draining_ && failed) return;
        if (!failed) {
            accepted(std::move(socket));
            return accept();
        }
        pause_.expires_after(kAcceptPause);
        pause_.async_wait([this](auto cancelled) {
            if (!cancelled) accept();
        });
    });
}

void Clients::accepted(Tcp::socket socket) {
    boost::system::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    const auto session = std::make_shared<ClientSession>(std::move(socket), *this);
    sessions_.insert(session);
    session->read();
}

/// At the limit the idle connection used longest ago goes; while none is idle, none is accepted.
bool Clients::make_room() {
    if (sessions_.size() < most_) return true;
    std::shared_ptr<ClientSession> oldest;
    for (const auto& session : sessions_)
        if (session->idle() && (!oldest || session->used() < oldest->used())) oldest = session;
    if (oldest) oldest->close();
    return sessions_.size() < most_;
}

void Clients::drain() {
    accept_waiting();
    draining_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    const auto all = sessions_;
    for (const auto& session : all)
        if (session->idle()) session->close();
}

/// Closing the listener resets connections that wait in its queue, with the requests written to them.
void Clients::accept_waiting() {
    boost::system::error_code failed;
    while (sessions_.size() < most_) {
        Tcp::socket socket = acceptor_.accept(failed);
        if (failed) return;
        accepted(std::move(socket));
    }
}

void Clients::handle(const resp::Command& command, const Answer& answer) {
    using boost::algorithm::iequals;
    if (iequals(command[0], "PING"))
        return answer(command.size() == 2 ? resp::bulk(command[1]) : resp::simple("PONG"));
    if (!iequals(command[0], "ENQUEUE")) return answer(resp::error("ERR unknown command"));
    cometspoke::Time left{0};
    Message message;
    try {
        const auto now = std::chrono::time_point_cast<Wall::duration>(std::chrono::system_clock::now());
        message = message_of(command, config_, now, left);
    } catch (const BadInput& bad) {
        std::string text = std::string("ERR ") + bad.what();
        for (char& letter : text)  // what the client sent stands in it
            if (letter < ' ' || letter > '~') letter = '?';
        return answer(resp::error(text));
    }
    enqueue_(std::move(message), left, answer);
}

void Clients::leave(const std::shared_ptr<ClientSession>& session) {
    sessions_.erase(session);
    accept();
}

}  // namespace lockgw
