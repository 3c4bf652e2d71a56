#include "clients.hpp"

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

constexpr auto kAcceptPause = 20ms;  // after a failed accept, such as one for want of descriptors
constexpr auto kSweep = 200ms;
constexpr auto kSilent = 2s;      // a client that has asked for nothing is waited for so long,
constexpr auto kUnfinished = 2s;  // so long for the rest of a command,
constexpr auto kUnread = 2s;      // so long for a client to take its answer,
constexpr auto kLinger = 500ms;   // and so long for it to read a last -ERR
constexpr auto kIdle = std::chrono::seconds(60);          // between requests; where room is short only
constexpr auto kIdleWhenShort = std::chrono::seconds(2);  // so long
constexpr auto kJustConnected = 100ms;                    // its request is likely on the way
constexpr std::size_t kBufferShare = 8;                   // of the memory: for commands that have not ended
constexpr std::size_t kMostDiscarded = 256 * 1024;        // of what follows a last -ERR
constexpr double kLongestMs = 86.4e6;                     // a day: no class keeps a message so long
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
    // no message of the class may be delivered for longer, whatever its client says
    left = std::min(cometspoke::settings::from_ms(left_ms), config.settings.classes[index].deadline);
    message.deadline = now + left;
    message.body = command[4];
    return message;
}

/// One connection: reads a command, has it answered, writes the answer, and only then goes on.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
public:
    using State = Clients::State;

    ClientSession(Tcp::socket socket, Clients& owner) : socket_(std::move(socket)), owner_(owner) {}

    void start() {
        boost::system::error_code ignored;
        socket_.set_option(Tcp::no_delay(true), ignored);
        socket_.non_blocking(true, ignored);
        auto& silent = owner_.sessions_[state_];
        place_ = silent.insert(silent.end(), shared_from_this());
        ++owner_.count_;
        await();
    }

    Clock::time_point since() const { return since_; }
    /// Something has come that is not read yet: to close now would lose a request.
    bool unread() {
        boost::system::error_code failed;
        return socket_.available(failed) > 0;
    }

    void close() {
        if (closed_) return;
        closed_ = true;
        boost::system::error_code ignored;
        socket_.close(ignored);
        const auto self = shared_from_this();
        owner_.sessions_[state_].erase(place_);
        --owner_.count_;
        owner_.buffered_ -= std::exchange(buffered_, 0);
        owner_.accept();
    }

    /// A last answer, and a close once it is written.
    void turn_away(const std::string& why) {
        last_ = true;
        parser_ = resp::Parser();
        count_buffered();
        write(resp::error("ERR " + why));
    }

private:
    void enter(State state) {
        since_ = Clock::now();
        auto& place = owner_.sessions_[state];
        place.splice(place.end(), owner_.sessions_[state_], place_);
        state_ = state;
    }

    /// No buffer of its own: many connections are silent.
    void await() {
        if (std::exchange(awaiting_, true)) return;
        socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](auto failed) {
            self->awaiting_ = false;
            if (self->closed_) return;
            failed ? self->close() : self->take();
        });
    }
    void take() try {
        boost::system::error_code failed;
        const std::size_t count = socket_.read_some(asio::buffer(owner_.in_), failed);
        if (failed == asio::error::would_block) return await();
        if (failed) return close();
        if (last_) return discard(count);
        parser_.feed({owner_.in_.data(), count});
        next();
    } catch (const std::exception& fault) {
        std::cerr << "client: " << fault.what() << '\n';
        close();
    }

    void next() try {
        const auto command = parser_.next();
        count_buffered();
        if (command) {
            enter(State::Asked);
            return owner_.handle(
                *command, [self = shared_from_this()](std::string text) { self->answer(std::move(text)); });
        }
        if (parser_.midway()) {
            if (state_ != State::Partly) enter(State::Partly);
            owner_.bound_buffers();
            if (last_) return;
        } else {
            if (owner_.draining_ && !unread()) return close();
            if (state_ != State::Silent) enter(State::Idle);
            owner_.accept();  // at the limit its place may go to a client that waits
            if (closed_) return;
        }
        await();
    } catch (const resp::Unreadable& bad) {
        turn_away(bad.what());
    }

    void count_buffered() {
        owner_.buffered_ += parser_.held() - buffered_;
        buffered_ = parser_.held();
    }

    void answer(std::string text) {
        if (!closed_) write(std::move(text));
    }
    void write(std::string text) {
        enter(State::Writing);
        out_ = std::move(text);
        asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this()](auto failed, std::size_t) {
            if (self->closed_) return;
            if (failed) return self->close();
            self->last_ ? self->finish() : self->next();
        });
    }

    /// Closing with bytes unread would reset the connection and might take the -ERR with it.
    void finish() {
        enter(State::Leaving);
        boost::system::error_code ignored;
        socket_.shutdown(Tcp::socket::shutdown_send, ignored);
        await();
    }
    void discard(std::size_t count) {
        discarded_ += count;
        discarded_ > kMostDiscarded ? close() : await();
    }

    Tcp::socket socket_;
    Clients& owner_;
    State state_ = State::Silent;
    Clients::Sessions::iterator place_;
    Clock::time_point since_ = Clock::now();
    resp::Parser parser_;
    std::string out_;
    std::size_t buffered_ = 0, discarded_ = 0;
    bool awaiting_ = false, last_ = false, closed_ = false;
};

Clients::Clients(asio::io_context& io, const Config& config, std::size_t most_connections, Enqueue enqueue)
    : io_(io),
      config_(config),
      most_(most_connections),
      enqueue_(std::move(enqueue)),
      acceptor_(io),
      pause_(io),
      sweep_(io) {}
Clients::~Clients() = default;

void Clients::listen() {
    acceptor_.open(config_.listen.protocol());
    acceptor_.set_option(Tcp::acceptor::reuse_address(true));
    acceptor_.bind(config_.listen);
    acceptor_.listen();
    acceptor_.non_blocking(true);
    accept();
    sweep();
}

void Clients::accept() {
    if (draining_ || accepting_ || !make_room()) return;  // room is made by a close, which may accept too
    if (accepting_) return;
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
    std::make_shared<ClientSession>(std::move(socket), *this)->start();
}

/// At the limit one that has its answer or has asked for nothing goes, the longest so first; half a command
/// and what was just connected come last, and one with a request open never goes.
bool Clients::make_room() {
    if (count_ < most_) return true;
    return close_first(Leaving, 0s) || close_first(Silent, kJustConnected) ||
           close_first(Idle, kIdleWhenShort) || close_first(Partly, kUnfinished / 4) ||
           close_first(Idle, 0s) || close_first(Silent, 0s);
}
/// The one that came to this state first, if that is so long ago.
bool Clients::close_first(State state, Clock::duration rest) {
    Sessions& all = sessions_[state];
    if (all.empty()) return false;
    const auto session = all.front();
    if (Clock::now() - session->since() < rest) return false;
    if ((state == Silent || state == Idle) && session->unread()) return false;
    session->close();
    return true;
}

/// Many that each send half of a long command must not fill the memory.
void Clients::bound_buffers() {
    const std::size_t most = config_.memory_bytes / kBufferShare;
    while (buffered_ > most && !sessions_[Partly].empty())
        std::shared_ptr(sessions_[Partly].front())->turn_away("too much at once");
}

/// What is owed to every connection in time: an answer or a close.
void Clients::sweep() {
    while (close_first(Silent, kSilent)) continue;
    while (close_first(Writing, kUnread)) continue;
    while (close_first(Leaving, kLinger)) continue;
    while (close_first(Idle, count_ > most_ / 2 ? kIdleWhenShort : kIdle)) continue;
    Sessions& partly = sessions_[Partly];
    while (!partly.empty() && Clock::now() - partly.front()->since() >= kUnfinished)
        std::shared_ptr(partly.front())->turn_away("a command without an end");
    sweep_.expires_after(kSweep);
    sweep_.async_wait([this](auto cancelled) {
        if (!cancelled) sweep();
    });
}

void Clients::drain() {
    accept_waiting();
    draining_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const State state : {Silent, Idle}) {
        const Sessions all = sessions_[state];
        for (const auto& session : all)
            if (!session->unread()) session->close();
    }
}

/// Closing the listener resets connections that wait in its queue, with the requests written to them.
void Clients::accept_waiting() {
    boost::system::error_code failed;
    while (count_ < most_) {
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

}  // namespace lockgw
