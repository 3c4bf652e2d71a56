#include "rig/soak/faulty_target.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace lockgw::rig::soak {

namespace http = boost::beast::http;
using Milliseconds = std::chrono::milliseconds;

namespace {

constexpr int kDelivered = 200, kRefused = 503;

std::string answer_of(int status) {
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nX-Load-Report: x0=0.5,x1=1000\r\nContent-Length: 0\r\n\r\n";
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
                self->later(self->target_.faults_.one_way,
                    [self, failed, bytes] { failed ? self->peer_closed() : self->take(bytes); });
                if (!failed) self->read();
            });
    }

private:
    using Parser = http::request_parser<http::string_body>;

    bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(target_.random_) < share; }
    Milliseconds up_to(Milliseconds most) {
        return Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(
            1, std::max<Milliseconds::rep>(1, most.count()))(target_.random_));
    }
    void later(Milliseconds delay, std::function<void()> step) {
        auto timer = std::make_shared<asio::steady_timer>(target_.io_, delay);
        timer->async_wait([timer, step = std::move(step)](auto) { step(); });
    }
    ObservedCall* open_call() {
        if (!call_) return nullptr;
        return &target_.observations_.messages[call_->first].calls[call_->second];
    }
    void end_call(int status) {
        if (ObservedCall* call = open_call()) call->ended = Clock::now(), call->status = status;
        call_.reset();
        ++turn_;
    }
    void give_up_all() {
        end_call(0);
        for (; !waiting_.empty(); waiting_.pop_front()) {
            call_ = waiting_.front();
            end_call(0);
        }
    }
    void peer_closed() {
        give_up_all();
        boost::system::error_code ignored;
        socket_.close(ignored);
    }
    void take(const std::string& bytes) {
        boost::system::error_code failed;
        parser_->eager(true);
        unread_ += bytes;
        unread_.erase(0, parser_->put(asio::buffer(unread_), failed));
        if (failed && failed != http::error::need_more) return peer_closed();
        if (!parser_->is_done()) return;
        const std::string id(parser_->get()["X-Call-Id"]);
        parser_.emplace();
        auto& calls = target_.observations_.messages[id].calls;
        calls.push_back({target_.number_, number_, Clock::now(), std::nullopt, 0});
        waiting_.emplace_back(id, calls.size() - 1);
        begin_next();
    }
    /// Calls on one connection are served one after another, also where the client has not waited.
    void begin_next() {
        if (call_ || waiting_.empty()) return;
        call_ = waiting_.front();
        waiting_.pop_front();
        const bool refuse = chance(target_.faults_.refused);
        const bool reset = chance(target_.faults_.reset);
        const Milliseconds service = refuse ? Milliseconds(1) : up_to(target_.faults_.service);
        later(service, [self = shared_from_this(), turn = turn_, refuse, reset] {
            if (turn != self->turn_) return;
            reset ? self->reset() : self->answer(refuse ? kRefused : kDelivered);
        });
    }
    void reset() {
        give_up_all();
        boost::system::error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
    }
    void answer(int status) {
        end_call(status);
        send(answer_of(status));
        begin_next();
        if (!chance(target_.faults_.copied)) return;
        later(up_to(target_.faults_.copy_lag), [self = shared_from_this(), status] {
            if (!self->socket_.is_open()) return;
            ++self->target_.observations_.copies;
            self->send(answer_of(status));
        });
    }
    /// Written as a whole, in the order of the calls of send().
    void send(const std::string& bytes) {
        later(target_.faults_.one_way, [self = shared_from_this(), bytes] {
            boost::system::error_code ignored;
            if (self->socket_.is_open()) asio::write(self->socket_, asio::buffer(bytes), ignored);
        });
    }

    FaultyTarget& target_;
    Tcp::socket socket_;
    std::uint64_t number_;
    std::array<char, 4096> in_{};
    std::optional<Parser> parser_;
    std::string unread_;
    using CallIndex = std::pair<std::string, std::size_t>;  // message, and the number of its call
    std::optional<CallIndex> call_;
    std::deque<CallIndex> waiting_;
    std::uint64_t turn_ = 0;  // changes when a call ends
};

FaultyTarget::FaultyTarget(asio::io_context& io, std::size_t number, const LinkFaults& faults,
    std::mt19937_64& random, Observations& observations)
    : io_(io),
      number_(number),
      faults_(faults),
      random_(random),
      observations_(observations),
      acceptor_(io, {asio::ip::address_v4::loopback(), 0}) {
    accept();
}

void FaultyTarget::accept() {
    acceptor_.async_accept([this](auto failed, Tcp::socket socket) {
        if (failed) return;
        const std::uint64_t number = ++observations_.connections;
        std::make_shared<Connection>(*this, std::move(socket), number)->read();
        accept();
    });
}

}  // namespace lockgw::rig::soak
