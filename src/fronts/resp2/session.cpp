#include "fronts/resp2/session.hpp"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <utility>

#include "fronts/resp2/clients.hpp"

namespace lockgw {

using admission::Instant;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t kMostDiscarded = 256 * 1024;  // of what follows a last answer
// Where a connection is to end, the rest of a batch may be on its way behind an answer. The connection ends
// when nothing has come for kLinger. Where the process ends or hands over a busy client must leave it soon:
// kLingerAtEnd is only longer than the 40 ms for which a small piece may wait for the delayed acknowledgement
// of the one before. If its client goes on, the connection ends kMostLinger after the first such answer, at
// once between two commands; what comes in one stream is refused, for kMostRefusing, which leaves time to
// read the last answers.
constexpr auto kLinger = std::chrono::milliseconds(100), kLingerAtEnd = std::chrono::milliseconds(50);
constexpr auto kMostLinger = std::chrono::milliseconds(1000), kMostRefusing = std::chrono::milliseconds(400);

/// What the kernel knows of a connection.
struct KernelState {
    /// How long the newest bytes have lain there, also while their connection was in the listener's queue.
    Clock::duration waited{};
    bool reset = false;  ///< by its client; what it sent before can still be read
};
KernelState kernel_state(int socket) {
    tcp_info info{};
    socklen_t length = sizeof info;
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &length) != 0) return {};
    return {std::chrono::milliseconds(info.tcpi_last_data_recv), info.tcpi_state == TCP_CLOSE};
}

}  // namespace

ClientSession::ClientSession(
    Tcp::socket socket, Clients& owner, admission::Ticket ticket, admission::Owner source)
    : socket_(std::move(socket)), owner_(owner), ticket_(ticket), source_(source) {}

void ClientSession::start() {
    boost::system::error_code ignored;
    socket_.set_option(Tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    take();
}

bool ClientSession::unread() {
    boost::system::error_code failed;
    return socket_.available(failed) > 0;
}

bool ClientSession::hung_up() {
    pollfd entry{socket_.native_handle(), POLLRDHUP, 0};
    return poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool ClientSession::is_over() { return closed_ || kernel_state(socket_.native_handle()).reset; }

void ClientSession::close(bool for_room) {
    if (closed_) return;
    closed_ = true;
    if (phase_ == Phase::Refusing) --owner_.refusing_sessions_;
    linger_timer_.reset();
    boost::system::error_code ignored;
    socket_.close(ignored);
    owner_.memory_.change(buffered_by_, std::exchange(buffered_, 0), 0);
    owner_.closed(*this, for_room);
}

void ClientSession::leave(Phase phase) {
    if (phase_ == Phase::Open) owner_.door_.leaves(ticket_, Clock::now());
    if (phase_ == Phase::Refusing) --owner_.refusing_sessions_;
    if (phase == Phase::Refusing) ++owner_.refusing_sessions_;
    phase_ = phase;
    linger_timer_.reset();
    if (phase == Phase::Refusing)
        parser_.skip_arguments();
    else
        parser_ = resp::Parser();
    count_buffered();
}
void ClientSession::turn_away(std::string answer) {
    if (closed_ || phase_ != Phase::Open) return;
    leave(Phase::Refusing);
    answered_early_ = !asking_ && parser_.midway();
    write(std::move(answer));
}
void ClientSession::refuse_further() {
    if (closed_ || phase_ != Phase::Open) return;
    leave(Phase::Refusing);
    refuse_next();
}
void ClientSession::end_sending() {
    if (closed_ || phase_ != Phase::Open) return;
    leave(Phase::Ended);
    finish();
}
void ClientSession::end_when_quiet() {
    if (closed_ || phase_ != Phase::Open) return;
    const Instant now = Clock::now();
    if (now - arrived_ >= linger_span()) return end_sending();
    let_go_ = true;
    owner_.door_.answering(ticket_, now);  // it does not rest, so that nobody else ends it
    linger();
}
void ClientSession::end_behind(std::string answer) {
    leave(Phase::Ended);
    write(std::move(answer));
}

/// No buffer of its own: many connections are silent.
void ClientSession::await() {
    if (std::exchange(awaiting_, true)) return;
    socket_.async_wait(Tcp::socket::wait_read, [this, self = shared_from_this()](auto failed) {
        awaiting_ = false;
        if (closed_) return;
        if (failed) return close();
        const bool at_once =
            phase_ == Phase::Open && !meter_.heavy(owner_.read_turns_.limits(), Clock::now());
        if (at_once) return take();  // who has its last answer has time
        if (!std::exchange(in_turn_, true)) owner_.read_in_turn(self);
    });
}

std::size_t ClientSession::read_in_turn() {
    in_turn_ = false;
    if (closed_ || awaiting_ || asking_) return 0;  // it was read out of turn meanwhile
    meter_.forget_last();
    take();
    return meter_.last();
}

void ClientSession::take() try {
    boost::system::error_code failed;
    const std::size_t count = socket_.read_some(asio::buffer(owner_.in_), failed);
    if (failed == asio::error::would_block) return await();
    if (failed) return close();
    const Instant now = Clock::now();
    meter_.count(count, owner_.read_turns_.limits(), now);
    if (phase_ == Phase::Ended) return discard(count);
    if (phase_ == Phase::Open && !owner_.reading()) leave(Phase::Refusing);
    const KernelState kernel = kernel_state(socket_.native_handle());
    if (kernel.reset) return close();  // nobody reads an answer: nothing of it is taken on
    arrived_ = came_ = now - kernel.waited;
    parser_.feed({owner_.in_.data(), count});
    phase_ == Phase::Open ? next() : refuse_next();
} catch (const std::exception& fault) {
    log::error("resp2", "a connection failed", {{"why", fault.what()}});
    close();
}

void ClientSession::next() try {
    if (!owner_.reading()) return refuse_further();
    const auto command = parser_.next();
    if (command) {
        owner_.door_.asked(ticket_, Clock::now());
        count_buffered();
        asking_ = true;
        return owner_.handle(shared_from_this(), *command);
    }
    if (parser_.midway()) {
        owner_.door_.began(ticket_, Clock::now());
        count_buffered();
        owner_.bound_memory();
        if (phase_ != Phase::Open || closed_) return;
    } else {
        count_buffered();
        if (is_to_end() && !linger()) return unread() ? refuse_further() : end_sending();
    }
    await();
} catch (const resp::Unreadable& bad) {
    end_behind(resp::error(std::string("ERR ") + bad.what()));
}

void ClientSession::refuse_unread() {
    if (closed_ || asking_ || phase_ == Phase::Ended || !unread()) return;
    if (phase_ == Phase::Open) leave(Phase::Refusing);
    boost::system::error_code failed;
    std::string text;
    for (std::size_t read = 0; phase_ == Phase::Refusing && read < kMostDiscarded;) {
        const std::size_t count = socket_.read_some(asio::buffer(owner_.in_), failed);
        if (failed) break;
        read += count;
        parser_.feed({owner_.in_.data(), count});
        text += refusals();
    }
    socket_.write_some(asio::buffer(text), failed);  // the end comes next: what does not fit now never will
    if (phase_ == Phase::Refusing) leave(Phase::Ended);
    socket_.shutdown(Tcp::socket::shutdown_send, failed);
}

/// Of all commands that have come whole.
std::string ClientSession::refusals() {
    std::string text;
    try {
        while (parser_.next())
            if (!std::exchange(answered_early_, false)) text += owner_.refusal();
    } catch (const resp::Unreadable& bad) {
        text += resp::error(std::string("ERR ") + bad.what());
        leave(Phase::Ended);
    }
    return text;
}

/// Answers all commands that have come whole, or waits for the next.
void ClientSession::refuse_next() {
    std::string text = refusals();
    if (phase_ == Phase::Ended) return write(std::move(text));
    count_buffered();
    if (!text.empty()) return write(std::move(text));
    if (linger()) return await();
    leave(Phase::Ended);
    finish();
}

void ClientSession::count_buffered() {
    const admission::Owner holder = closed_ ? buffered_by_ : owner_.door_.owner(ticket_);
    owner_.memory_.change(std::exchange(buffered_by_, holder), std::exchange(buffered_, 0), 0);
    owner_.memory_.change(holder, 0, buffered_ = parser_.held());
}

void ClientSession::answer(std::string text, bool useful) {
    if (closed_) return;
    useful_ = useful;
    owner_.door_.answering(ticket_, Clock::now());
    write(std::move(text));
}

void ClientSession::write(std::string text) {
    out_ = std::move(text);
    asking_ = true;
    if (linger_timer_) linger_timer_->cancel();
    asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this()](auto failed, std::size_t) {
        if (self->closed_) return;
        if (failed) return self->close();
        self->asking_ = false;
        switch (self->phase_) {
            case Phase::Open:
                return self->written();
            case Phase::Refusing:
                return self->refuse_next();
            case Phase::Ended:
                return self->finish();
        }
    });
}

void ClientSession::written() {
    if (parser_.midway() && is_over()) return close();  // nobody waits for what came along with this command
    arrived_ = Clock::now();  // what came along with the last command has waited for it, not for us
    if (!is_to_end()) {
        linger_timer_.reset();
        rest();
    }
    next();
    // at the limit a place may be wanted back, this one's too; not that of one that asks again already
    if (!closed_) owner_.accept();
}
void ClientSession::rest() { owner_.door_.rests(ticket_, std::exchange(useful_, false), Clock::now()); }

bool ClientSession::is_to_end() const { return let_go_ || owner_.closing(); }
admission::Span ClientSession::linger_span() const { return owner_.ending() ? kLingerAtEnd : kLinger; }

/// Whether a connection that is to end is kept for a moment, for requests that are on their way. Until then
/// it does not rest, so that nobody else ends it.
bool ClientSession::linger() {
    const Instant now = Clock::now();
    if (!linger_timer_) {
        linger_timer_ = std::make_unique<Timer>(socket_.get_executor());
        lingers_since_ = now;
    }
    if (now - lingers_since_ >= (phase_ == Phase::Open ? kMostLinger : kMostRefusing)) return false;
    linger_timer_->call_after(linger_span(), [this] { end_after_linger(); });
    return true;
}
void ClientSession::end_after_linger() {
    if (closed_ || phase_ == Phase::Ended || unread()) return;
    if (phase_ == Phase::Refusing) {
        leave(Phase::Ended);
        return finish();
    }
    if (asking_ || parser_.midway()) return;
    rest();
    if (is_to_end()) return end_sending();
    linger_timer_.reset();  // back in service meanwhile
}

/// Closing over unread bytes would reset the connection, and the client might lose an answer that it has not
/// read yet. So the half-close comes first, and the close once the client has ended its sending as well.
void ClientSession::finish() {
    boost::system::error_code ignored;
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
    await();
}
void ClientSession::discard(std::size_t count) {
    discarded_ += count;
    discarded_ > kMostDiscarded ? close() : await();
}

}  // namespace lockgw
