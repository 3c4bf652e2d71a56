#include "deliveries/http/targets.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

#include "deliveries/http/answer.hpp"

namespace lockgw {

namespace http = boost::beast::http;
using cometspoke::Outcome;
using cometspoke::OutcomeEvent;
using cometspoke::Time;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

constexpr auto kAnswerWait = 1s;   // from the first byte of an answer to its last
constexpr auto kLeastWait = 60s;   // a told wait is believed so far,
constexpr int kWaitDeadlines = 5;  // or so many of the longest deadlines

/// No outage lasts so long that a longer wait would be worth heeding, and one spoilt figure must not shut a
/// destination for good.
Time longest_wait(const Config& config) {
    Time longest{0};
    for (const auto& kind : config.settings.classes) longest = std::max(longest, kind.deadline);
    return std::max<Time>(kLeastWait, kWaitDeadlines * longest);
}

/// Of a call: when the last of it must be written.
Clock::time_point begin_by(const Call& call) {
    if (call.begin_by >= std::chrono::duration_cast<Time>(Clock::duration::max()))
        return Clock::time_point::max();
    return Clock::time_point(call.begin_by);
}

}  // namespace

class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
    /// Handlers of an earlier call or of a closed connection must not touch the present one.
    template <class Handler>
    auto guarded(Handler handler) {
        return [self = shared_from_this(), turn = turn_, handler](auto failed, auto&&...) {
            if (turn == self->turn_) handler(failed);
        };
    }

public:
    TargetConnection(Targets& owner, EndpointId endpoint, const Tcp::endpoint& address)
        : owner_(owner), endpoint_(endpoint), address_(address), socket_(owner.io_), timer_(owner.io_) {}

    EndpointId endpoint() const { return endpoint_; }
    const Tcp::endpoint& address() const { return address_; }

    void start(Call call) {
        begun_ = Clock::now();
        ++turn_;
        written_ = begun_writing_ = false;
        call_ = std::move(call);
        answer_ = Answer();
        if (socket_.is_open()) {
            socket_.cancel();  // the watch over an idle connection
            return write();
        }
        const auto connected_by =
            begun_ + std::min<Clock::duration>(call_->time_out, owner_.config_.connect_timeout);
        wait_until(std::min(connected_by, begin_by(*call_)));
        // for want of descriptors here nothing is learned of the target
        if (!open()) return not_sent();
        socket_.async_connect(address_, guarded([this](auto failed) {
            if (failed) return end(Outcome::NoConnection);
            socket_.set_option(Tcp::no_delay(true), failed);
            socket_.non_blocking(true, failed);
            write();
        }));
    }

    void cancel() { end(Outcome::CalledOff); }
    /// Its call, if it has one, has not begun to be written.
    bool connecting() const { return call_ && !begun_writing_; }
    void withdraw() { not_sent(); }

    /// Idle: a target's close is noticed at once, and it is left before the target may close it.
    void idle_for(Clock::duration span) {
        ++turn_;
        wait_until(Clock::now() + span);
        socket_.async_wait(
            Tcp::socket::wait_read, guarded([this](auto) { owner_.gone(shared_from_this()); }));
    }
    /// A close that has come and that the loop has not told yet would end the next call as a reset.
    bool still_open() {
        char byte;
        const auto got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }
    void close() {
        ++turn_;
        boost::system::error_code ignored;
        timer_.cancel();
        socket_.close(ignored);
    }

private:
    void wait_until(Clock::time_point when) {
        timer_.expires_at(when);
        timer_.async_wait(guarded([this, when](auto cancelled) {
            if (!cancelled && when == timer_.expiry()) expire();
        }));
    }
    void expire() {
        if (!call_) return owner_.gone(shared_from_this());
        if (written_) return end(answer_.empty() ? Outcome::NoAnswer : Outcome::Unreadable);
        // its last byte may have gone out although nobody has said so yet
        if (begun_writing_) return end(Outcome::NoAnswer);
        // that a repeat's window closed meanwhile tells nothing of the target
        const bool too_late = Clock::now() >= begin_by(*call_);
        end(too_late ? Outcome::NotSent : Outcome::NoConnection);
    }

    bool open() {
        boost::system::error_code failed;
        socket_.open(address_.protocol(), failed);
        while (failed && out_of_descriptors(failed.value()) && (owner_.drop_one() || owner_.spare_.release()))
            socket_.open(address_.protocol(), failed);
        return !failed;
    }
    void write() {
        // The connection may have come up in the same turn of the loop in which the call's time ran out.
        const bool too_late = Clock::now() >= std::min(begin_by(*call_), begun_ + call_->time_out);
        if (too_late || !owner_.may_(*call_, address_)) return not_sent();
        begun_writing_ = true;
        const auto left = begun_ + call_->time_out - Clock::now();
        wait_until(std::min(begun_ + call_->time_out, begin_by(*call_)));
        request_ = {http::verb::post, "/v1/messages", 11};
        request_.set(http::field::host, owner_.config_.name);
        request_.set("X-Call-Id", cometspoke::settings::id_text(call_->message));
        if (!call_->key.empty()) request_.set("Idempotency-Key", call_->key);
        const auto budget = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
        request_.set("X-Budget-Ms", std::to_string(std::max<std::int64_t>(1, budget)));
        request_.body() = std::move(call_->body);
        request_.content_length(request_.body().size());
        http::async_write(socket_, request_, guarded([this](auto failed) {
            if (failed) return end(Outcome::NoConnection);
            written_ = true;
            wait_until(begun_ + call_->time_out);
            read();
        }));
    }

    /// Told in a turn of its own: the call may just be being started.
    void not_sent() {
        asio::post(owner_.io_, [self = shared_from_this(), turn = turn_] {
            if (turn == self->turn_) self->end(Outcome::NotSent);
        });
    }

    void read() {
        socket_.async_wait(
            Tcp::socket::wait_read, guarded([this](auto failed) { failed ? ended() : take(); }));
    }
    void take() {
        boost::system::error_code failed;
        const std::size_t count = socket_.read_some(asio::buffer(owner_.in_), failed);
        if (failed == asio::error::would_block) return read();
        if (failed) return ended();
        const bool first = answer_.empty();
        switch (answer_.feed({owner_.in_.data(), count})) {
            case Answer::State::Whole:
                return finish();
            case Answer::State::Spoilt:
                return end(Outcome::Unreadable);
            case Answer::State::Open:
                break;
        }
        // An answer that has begun must end soon: it holds a slot, and some never end.
        if (call_ && first && !answer_.empty())
            wait_until(std::min(begun_ + call_->time_out, Clock::now() + kAnswerWait));
        // Delivered, and the head is read: the outcome must not wait for a body that means nothing.
        if (call_ && answer_.says_delivered() && answer_.head_read()) {
            owner_.finishing(shared_from_this());
            deliver(outcome());
        }
        read();
    }
    /// By the target: that may be the end of an answer which tells no length.
    void ended() {
        if (answer_.ended() == Answer::State::Whole) return finish();
        end(answer_.empty() ? Outcome::ConnectionLost : Outcome::Unreadable);
    }

    OutcomeEvent outcome() const {
        return answer_.outcome(owner_.config_.reports, longest_wait(owner_.config_));
    }
    void finish() {
        const auto self = shared_from_this();
        const auto call = std::exchange(call_, std::nullopt);
        const OutcomeEvent told = outcome();
        // first: the decision on this outcome may want the connection
        answer_.reusable() ? owner_.now_idle(self) : owner_.gone(self);
        if (call) report(*call, told);
    }
    /// Nothing more is read: what has come so far decides. A first line of 200 is true by itself; no other
    /// status proves anything unless the whole answer is sound.
    void end(Outcome otherwise) {
        OutcomeEvent event;
        event.outcome = otherwise;
        if (written_ && answer_.says_delivered()) event.outcome = Outcome::Served, event.terminal = true;
        owner_.gone(shared_from_this());
        deliver(event);
    }
    void deliver(const OutcomeEvent& event) {
        if (const auto call = std::exchange(call_, std::nullopt)) report(*call, event);
    }
    void report(const Call& call, OutcomeEvent event) {
        event.message = call.message;
        event.endpoint = call.endpoint;
        event.attempt = call.attempt;
        event.rtt = std::chrono::duration_cast<Time>(Clock::now() - begun_);
        owner_.ended(shared_from_this(), event);
    }

    Targets& owner_;
    EndpointId endpoint_;
    Tcp::endpoint address_;
    Tcp::socket socket_;
    asio::steady_timer timer_;
    std::uint64_t turn_ = 0;
    std::optional<Call> call_;    // until its outcome is told
    bool begun_writing_ = false;  // the send gate has let it through
    bool written_ = false;        // the call's last byte
    Clock::time_point begun_{};
    http::request<http::string_body> request_;
    Answer answer_;
};

EndpointId endpoint_of(const TargetConnectionPtr& connection) { return connection->endpoint(); }

Targets::Targets(asio::io_context& io, const Config& config, std::size_t most_connections, SendGate may,
    OutcomeCallback done)
    : io_(io), config_(config), most_(most_connections), may_(std::move(may)), done_(std::move(done)) {}
Targets::~Targets() = default;

void Targets::set_address(EndpointId endpoint, const Tcp::endpoint& address) {
    const auto [found, fresh] = addresses_.emplace(endpoint, address);
    if (fresh || found->second == address) return;
    found->second = address;
    stop_new_calls(endpoint);
}

/// Another target may get its address: no connection made to the one that has gone may carry its calls.
void Targets::forget(EndpointId endpoint) {
    addresses_.erase(endpoint);
    stop_new_calls(endpoint);
}

void Targets::stop_new_calls(EndpointId endpoint) {
    close_idle(endpoint);
    for (const auto& [name, connection] : calls_)
        if (connection->endpoint() == endpoint && connection->connecting()) connection->withdraw();
}

void Targets::start(Call call) {
    Connection connection = take_idle(call.endpoint);
    const auto address = addresses_.find(call.endpoint);
    if (!connection) {
        if (address == addresses_.end() || !make_room()) return not_sent(call);
        connection = std::make_shared<TargetConnection>(*this, call.endpoint, address->second);
    }
    calls_.emplace(std::pair(call.message, call.attempt), connection);
    connection->start(std::move(call));
}

void Targets::not_sent(const Call& call) {
    OutcomeEvent event;
    event.message = call.message;
    event.endpoint = call.endpoint;
    event.attempt = call.attempt;
    event.outcome = Outcome::NotSent;
    asio::post(io_, [this, event] { done_(event); });
}

void Targets::cancel(MessageId message, std::uint32_t attempt) {
    const auto found = calls_.find({message, attempt});
    if (found != calls_.end()) Connection(found->second)->cancel();
}

void Targets::close_idle(EndpointId endpoint) {
    while (const Connection connection = idle_.newest_of(endpoint)) drop(connection);
}

Targets::Connection Targets::take_idle(EndpointId endpoint) {
    while (const Connection connection = idle_.newest_of(endpoint)) {
        idle_.remove(connection);
        if (connection->still_open()) return connection;
        connection->close();
    }
    return nullptr;
}

void Targets::now_idle(const Connection& connection) {
    finishing_.remove(connection);
    const auto address = addresses_.find(connection->endpoint());
    // a tenth before the told limit: a request that crosses the target's close ends as a reset
    const auto span = config_.settings.conn_idle * 9 / 10;
    if (address == addresses_.end() || address->second != connection->address() || span <= Time(0))
        return connection->close();
    idle_.add(connection);
    connection->idle_for(span);
}

void Targets::finishing(const Connection& connection) { finishing_.add(connection); }

void Targets::drop(const Connection& connection) {
    idle_.remove(connection);
    finishing_.remove(connection);
    connection->close();
}

/// One that ended by itself: its descriptor is the next call's before it is anybody's.
void Targets::gone(const Connection& connection) {
    drop(connection);
    spare_.acquire();
}

/// Under the limit of descriptors: an idle connection goes first, then one whose call has its outcome.
bool Targets::make_room() {
    if (calls_.size() + idle_.size() + finishing_.size() < most_) return true;
    return drop_one();
}
bool Targets::drop_one() {
    const IdlePool& from = idle_.empty() ? finishing_ : idle_;
    if (from.empty()) return false;
    drop(from.oldest());
    return true;
}
/// For somebody else: not the one that the next call needs.
bool Targets::close_one_idle() {
    if (!drop_one()) return false;
    if (spare_.held()) return true;
    spare_.acquire();
    return false;
}

void Targets::ended(const Connection& connection, OutcomeEvent outcome) {
    const auto found = calls_.find({outcome.message, outcome.attempt});
    if (found != calls_.end() && found->second == connection) calls_.erase(found);
    spare_.acquire();  // its connection may be closed
    done_(std::move(outcome));
}

}  // namespace lockgw
