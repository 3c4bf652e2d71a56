#include "rig/soak/faulty_target.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace lockgw::rig::soak {

namespace http = boost::beast::http;

namespace {

constexpr int kDelivered = 200, kUnknown = 400, kOver = 410, kToldToWait = 429, kFailed = 500, kRefused = 503,
              kAttemptsUsed = 504;
constexpr std::size_t kMostAttempts = 12;
constexpr Milliseconds kShortestWait{100}, kLongestWait{600};
constexpr Milliseconds kUnaskedBehind{300};  // an idle connection is ended at most so long behind an answer
constexpr Milliseconds kResetBehind{250};    // a reset so soon behind an answer may have overtaken it

struct PlannedAnswer {
    int status = kDelivered;
    bool ran = false;
    std::string headers;
};

std::string answer_of(int status, const std::string& headers) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Load-Report: x0=0.5,x1=1000\r\n" + headers +
           "Content-Length: 4\r\n\r\nbody";
}

std::string retry_after(Milliseconds wait) {
    char text[48];
    std::snprintf(text, sizeof text, "Retry-After: %.3f\r\n", static_cast<double>(wait.count()) / 1000);
    return text;
}

}  // namespace

class FaultyTarget::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(FaultyTarget& target, Tcp::socket socket, std::uint64_t number)
        : target_(target), socket_(std::move(socket)), number_(number) {
        socket_.set_option(Tcp::no_delay(true));
        parser_.emplace();
    }

    void read() {
        socket_.async_read_some(
            asio::buffer(in_), [self = shared_from_this()](auto failed, std::size_t count) {
                const std::string bytes(self->in_.data(), count);
                self->later(self->faults().one_way, [self, failed, bytes] {
                    failed ? self->peer_closed(failed != asio::error::eof) : self->take(bytes);
                });
                if (!failed) self->read();
            });
    }

    /// Bytes on their way to the peer are lost, and so is what it has not read yet.
    void reset() {
        give_up_all();
        boost::system::error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
    }

private:
    using Parser = http::request_parser<http::string_body>;

    const LinkFaults& faults() const { return target_.faults_; }
    Observations& observations() { return target_.observations_; }
    bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(target_.random_) < share; }
    Milliseconds between(Milliseconds least, Milliseconds most) {
        return Milliseconds(
            std::uniform_int_distribution<Milliseconds::rep>(least.count(), most.count())(target_.random_));
    }
    Milliseconds up_to(Milliseconds most) {
        return between(Milliseconds(1), std::max(most, Milliseconds(1)));
    }
    void later(Milliseconds delay, std::function<void()> step) {
        auto timer = std::make_shared<asio::steady_timer>(target_.io_, delay);
        timer->async_wait([timer, step = std::move(step)](auto) { step(); });
    }

    // ---- calls ----

    using CallIndex = std::pair<std::string, std::size_t>;  // message, and the number of its call
    ObservedMessage& message_of(const CallIndex& call) { return observations().messages[call.first]; }
    ObservedCall& observed(const CallIndex& call) { return message_of(call).calls[call.second]; }

    void take(const std::string& bytes) {
        boost::system::error_code failed;
        parser_->eager(true);
        unread_ += bytes;
        unread_.erase(0, parser_->put(asio::buffer(unread_), failed));
        if (failed && failed != http::error::need_more) return peer_closed(false);
        if (!parser_->is_done()) return;
        const std::string id(parser_->get()["X-Call-Id"]);
        parser_.emplace();
        auto& messages = observations().messages;
        if (!messages.contains(id)) {
            ++observations().unknown;
            return send(answer_of(kUnknown, ""));
        }
        auto& calls = messages[id].calls;
        ObservedCall call;
        call.target = target_.number_;
        call.connection = number_;
        call.received = Clock::now();
        calls.push_back(call);
        waiting_.emplace_back(id, calls.size() - 1);
        begin_next();
    }
    /// Calls on one connection are served one after another, also where the client has not waited.
    void begin_next() {
        if (call_ || waiting_.empty()) return;
        call_ = waiting_.front();
        waiting_.pop_front();
        if (target_.hangs_until_ > Clock::now() || chance(faults().hung)) {
            ++observations().hung;
            take_effect();
            return;
        }
        const PlannedAnswer planned = plan_answer();
        if (planned.ran) take_effect();
        const Milliseconds service = planned.ran ? up_to(faults().service) : Milliseconds(1);
        later(service, [self = shared_from_this(), turn = turn_, planned] {
            if (turn != self->turn_) return;
            self->chance(self->faults().reset) ? self->reset() : self->answer(planned);
        });
    }
    /// Drops the repeat of a keyed order within its window.
    void take_effect() {
        const ObservedMessage& message = message_of(*call_);
        const Clock::time_point received = observed(*call_).received;
        auto& effects = observations().effects[message.key];
        const bool dropped = message.effect == Effect::Keyed && !effects.empty() &&
                             received - effects.back().received <= observations().keyed_window;
        if (!dropped) effects.push_back({received, call_->first});
    }
    /// By the true state of the message, then by chance.
    PlannedAnswer plan_answer() {
        const ObservedMessage& message = message_of(*call_);
        const bool delivered = std::any_of(message.calls.begin(), message.calls.end(),
            [](const ObservedCall& call) { return call.status == kDelivered; });
        if (delivered && message.effect == Effect::Repeatable) return {kDelivered, true, ""};
        const bool out_of_time = Clock::now() > message.submitted + message.deadline;
        if (delivered || message.withdrawn || out_of_time || target_.ended_(call_->first))
            return {kOver, false, ""};
        if (message.calls.size() > kMostAttempts) return {kAttemptsUsed, false, ""};
        if (target_.shut_until_ > Clock::now()) return {kRefused, false, ""};
        if (chance(faults().told_to_wait)) return tell_to_wait();
        if (chance(faults().refused)) return {kRefused, false, ""};
        if (chance(faults().over_slots)) return {kRefused, false, "X-Over-Slots: 1\r\n"};
        if (chance(faults().failed)) return {kFailed, chance(0.5), ""};
        return {kDelivered, true, ""};
    }
    PlannedAnswer tell_to_wait() {
        const Milliseconds wait = between(kShortestWait, kLongestWait);
        target_.shut_until_ = Clock::now() + wait;
        told_wait_ = wait;
        return {kToldToWait, false, retry_after(wait)};
    }
    void end_call(int status, bool may_have_run) {
        if (call_) {
            ObservedCall& call = observed(*call_);
            call.ended = Clock::now();
            call.status = status;
            call.may_have_run = may_have_run;
            call.answer_lost = status == 0;
            last_answered_ = call_;
        }
        call_.reset();
        ++turn_;
    }
    void give_up_all() {
        end_call(0, true);
        for (; !waiting_.empty(); waiting_.pop_front()) {
            call_ = waiting_.front();
            end_call(0, true);
        }
    }
    /// `reset`: bytes on their way to the peer may be lost.
    void peer_closed(bool reset) {
        if (reset && last_answered_) {
            ObservedCall& call = observed(*last_answered_);
            if (call.ended && Clock::now() - *call.ended < kResetBehind) call.answer_lost = true;
        }
        give_up_all();
        boost::system::error_code ignored;
        socket_.close(ignored);
    }

    // ---- answers ----

    void answer(const PlannedAnswer& planned) {
        const CallIndex call = *call_;
        ++observations().statuses[planned.status];
        end_call(planned.status, planned.ran || planned.status == kFailed);
        const bool closing = chance(faults().closing);
        const std::string bytes =
            answer_of(planned.status, planned.headers + (closing ? "Connection: close\r\n" : ""));
        if (chance(faults().cut)) return cut(bytes, call);
        send(bytes, call);
        if (planned.status == kToldToWait) note_wait(call);
        begin_next();
        if (closing) return later(faults().one_way, [self = shared_from_this()] { self->close_sending(); });
        if (chance(faults().copied)) copy(bytes);
        if (chance(faults().unasked)) end_idle();
    }
    void note_wait(const CallIndex& call) {
        const Clock::time_point written = Clock::now() + faults().one_way;
        observations().waits.push_back({message_of(call).forwarder, target_.number_, written,
            written + told_wait_, call.first, call.second});
    }
    void copy(const std::string& bytes) {
        later(up_to(faults().copy_lag), [self = shared_from_this(), bytes] {
            if (!self->socket_.is_open()) return;
            ++self->observations().copies;
            self->send(bytes);
        });
    }
    /// It may break off behind its first line or anywhere later.
    void cut(const std::string& bytes, const CallIndex& call) {
        ++observations().cut;
        const std::size_t least = bytes.find('\n') + 1;
        const std::size_t most = bytes.size() - 1;
        send(bytes.substr(0, std::uniform_int_distribution<std::size_t>(least, most)(target_.random_)), call);
        later(faults().one_way + Milliseconds(1), [self = shared_from_this()] { self->close_sending(); });
    }
    /// The server ends the idle connection by an answer to no call.
    void end_idle() {
        later(up_to(kUnaskedBehind), [self = shared_from_this(), turn = turn_] {
            if (turn != self->turn_ || self->call_ || !self->socket_.is_open()) return;
            ++self->observations().unasked;
            const std::string line = self->chance(0.5) ? "408" : "503";
            self->send("HTTP/1.1 " + line + " X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            self->later(self->faults().one_way + Milliseconds(1), [self] { self->close_sending(); });
        });
    }
    void close_sending() {
        boost::system::error_code ignored;
        socket_.shutdown(Tcp::socket::shutdown_both, ignored);
        give_up_all();
    }
    /// Written as a whole, in the order of the calls of send(). `call`: whose answer it is.
    void send(const std::string& bytes, std::optional<CallIndex> call = std::nullopt) {
        later(faults().one_way, [self = shared_from_this(), bytes, call] {
            boost::system::error_code failed = asio::error::not_connected;
            if (self->socket_.is_open()) asio::write(self->socket_, asio::buffer(bytes), failed);
            if (!failed || !call) return;
            self->observed(*call).answer_lost = true;
            self->observed(*call).answer_unwritten = true;
        });
    }

    FaultyTarget& target_;
    Tcp::socket socket_;
    std::uint64_t number_;
    std::array<char, 4096> in_{};
    std::optional<Parser> parser_;
    std::string unread_;
    std::optional<CallIndex> call_, last_answered_;
    std::deque<CallIndex> waiting_;
    Milliseconds told_wait_{0};
    std::uint64_t turn_ = 0;  // changes when a call ends
};

FaultyTarget::FaultyTarget(asio::io_context& io, std::size_t number, const LinkFaults& faults,
    std::mt19937_64& random, Observations& observations, Ended ended)
    : io_(io),
      number_(number),
      faults_(faults),
      random_(random),
      observations_(observations),
      ended_(std::move(ended)),
      port_holder_(io),
      acceptor_(io) {
    bind(port_holder_);
    address_ = port_holder_.local_endpoint();
    listen();
}

void FaultyTarget::bind(Tcp::acceptor& acceptor) const {
    acceptor.open(address_.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(address_);
}
void FaultyTarget::listen() {
    bind(acceptor_);
    acceptor_.listen();
    down_ = false;
    accept();
}

void FaultyTarget::crash_for(Milliseconds span) {
    if (std::exchange(down_, true)) return;
    acceptor_.close();
    for (const auto& weak : std::exchange(connections_, {}))
        if (const auto connection = weak.lock()) connection->reset();
    auto timer = std::make_shared<asio::steady_timer>(io_, span);
    timer->async_wait([this, timer](auto) { listen(); });
}

void FaultyTarget::accept() {
    acceptor_.async_accept([this](auto failed, Tcp::socket socket) {
        if (failed) return;
        const std::uint64_t number = ++observations_.connections;
        const auto connection = std::make_shared<Connection>(*this, std::move(socket), number);
        std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
        connections_.push_back(connection);
        connection->read();
        accept();
    });
}

}  // namespace lockgw::rig::soak
