#include "targets.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>
#include <utility>

namespace lockgw {

namespace http = boost::beast::http;
using cometspoke::Outcome;
using cometspoke::OutcomeEvent;
using cometspoke::Time;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::uint64_t kMostBody = 256 * 1024;  // an answer's body means nothing; more ends the connection
constexpr std::uint32_t kMostHeader = 16 * 1024;
constexpr auto kBodyWait = 1s;  // an answer's body may come so long after its head
constexpr auto kLongestWait = std::chrono::hours(1);

std::string_view text_of(boost::beast::string_view text) { return {text.data(), text.size()}; }

std::optional<double> decimal(std::string_view text) {
    while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
    while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
    double value = 0.0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return std::nullopt;
    return value >= 0 && value < 1e9 ? std::optional(value) : std::nullopt;
}

/// "x0=0.4,x1=25"; what cannot be read is passed over.
std::optional<cometspoke::LoadReport> report_of(std::string_view text) {
    cometspoke::LoadReport report;
    bool found = false;
    while (!text.empty()) {
        const std::string_view pair = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos) continue;
        const auto value = decimal(pair.substr(equals + 1));
        const auto name = pair.substr(pair.find_first_not_of(' '), 2);
        if (!value || (name != "x0" && name != "x1")) continue;
        (name == "x0" ? report.left : report.limit) = *value;
        found = true;
    }
    return found ? std::optional(report) : std::nullopt;
}

using Head = http::response_header<>;

/// What an answer's first line and headers say, by the protocol's table.
OutcomeEvent outcome_of(const Head& head, bool reports) {
    OutcomeEvent event;
    switch (head.result_int()) {
        case 200:
            event.outcome = Outcome::Served, event.terminal = true;
            break;
        case 429: {
            event.outcome = Outcome::TurnedAway;
            const auto wait = decimal(text_of(head[http::field::retry_after]));
            if (wait) event.wait = std::min<Time>(kLongestWait, Time(static_cast<Time::rep>(*wait * 1e6)));
            break;
        }
        case 503:
            event.outcome = head["X-Over-Slots"] == "1" ? Outcome::NotSent : Outcome::TurnedAway;
            break;
        case 504:
            event.outcome = Outcome::NotSent;
            break;
        case 410:
            event.outcome = Outcome::NotSent, event.terminal = true;
            break;
        default:  // 500, and what no table tells: it may have run
            event.outcome = Outcome::ServerError;
    }
    if (reports) event.report = report_of(text_of(head["X-Load-Report"]));
    return event;
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
        written_ = false;
        call_ = std::move(call);
        answer_.reset();
        buffer_.clear();
        if (socket_.is_open()) {
            socket_.cancel();  // the watch over an idle connection
            return write();
        }
        wait_until(begun_ + std::min<Clock::duration>(call_->time_out, owner_.config_.connect_timeout));
        socket_.async_connect(address_, guarded([this](auto failed) {
            if (failed) return end(Outcome::NoConnection);
            socket_.set_option(Tcp::no_delay(true), failed);
            write();
        }));
    }

    void cancel() { end(Outcome::CalledOff); }

    /// Idle: a target's close is noticed at once, and it is left before the target may close it.
    void idle_for(Clock::duration span) {
        ++turn_;
        wait_until(Clock::now() + span);
        socket_.async_wait(
            Tcp::socket::wait_read, guarded([this](auto) { owner_.drop_idle(shared_from_this()); }));
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
        if (!call_) return owner_.drop_idle(shared_from_this());
        end(written_ ? Outcome::NoAnswer : Outcome::NoConnection);
    }

    void write() {
        const auto left = begun_ + call_->time_out - Clock::now();
        wait_until(begun_ + call_->time_out);
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
            read();
        }));
    }

    void read() {
        parser_.emplace();
        parser_->header_limit(kMostHeader);
        parser_->body_limit(kMostBody);
        http::async_read_header(socket_, buffer_, *parser_, guarded([this](auto failed) {
            if (failed) return end(Outcome::ConnectionLost);
            answer_ = outcome_of(parser_->get().base(), owner_.config_.reports);
            if (parser_->is_done()) return finish();
            // The outcome stands with the first line: it must not wait for the rest.
            deliver(*answer_);
            wait_until(Clock::now() + kBodyWait);
            http::async_read(
                socket_, buffer_, *parser_, guarded([this](auto cut) { cut ? close() : keep(); }));
        }));
    }

    void finish() {
        const auto self = shared_from_this();
        const auto outcome = *answer_;
        const auto call = std::exchange(call_, std::nullopt);
        keep();  // first: the decision on this outcome may want the connection
        report(*call, outcome);
    }
    void keep() {
        if (!parser_->get().keep_alive() || buffer_.size() > 0) return close();
        owner_.now_idle(shared_from_this());
    }
    void end(Outcome outcome) {
        close();
        OutcomeEvent event;
        event.outcome = outcome;
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
    std::optional<Call> call_;  // until its outcome is told
    bool written_ = false;      // the call's last byte
    Clock::time_point begun_{};
    http::request<http::string_body> request_;
    std::optional<http::response_parser<http::string_body>> parser_;
    std::optional<OutcomeEvent> answer_;
    boost::beast::flat_buffer buffer_;
};

Targets::Targets(asio::io_context& io, const Config& config, std::size_t most_connections, Done done)
    : io_(io), config_(config), most_(most_connections), done_(std::move(done)) {}
Targets::~Targets() = default;

void Targets::set_address(EndpointId endpoint, const Tcp::endpoint& address) {
    const auto [found, fresh] = addresses_.emplace(endpoint, address);
    if (fresh || found->second == address) return;
    found->second = address;
    close_idle(endpoint);
}

void Targets::start(Call call) {
    Connection connection = take_idle(call.endpoint);
    if (!connection) {
        if (calls_.size() + idle_.size() >= most_) drop_oldest_idle();
        connection = std::make_shared<TargetConnection>(*this, call.endpoint, addresses_.at(call.endpoint));
    }
    calls_.emplace(std::pair(call.message, call.attempt), connection);
    connection->start(std::move(call));
}

void Targets::cancel(MessageId message, std::uint32_t attempt) {
    const auto found = calls_.find({message, attempt});
    if (found != calls_.end()) Connection(found->second)->cancel();
}

void Targets::close_idle(EndpointId endpoint) {
    const auto all = idle_;
    for (const Connection& connection : all)
        if (connection->endpoint() == endpoint) drop_idle(connection);
}

Targets::Connection Targets::take_idle(EndpointId endpoint) {
    while (true) {
        const auto found = std::find_if(idle_.rbegin(), idle_.rend(),
            [endpoint](const Connection& one) { return one->endpoint() == endpoint; });
        if (found == idle_.rend()) return nullptr;
        const Connection connection = *found;
        idle_.erase(std::next(found).base());
        if (connection->still_open()) return connection;
        connection->close();
    }
}

void Targets::now_idle(const Connection& connection) {
    const auto address = addresses_.find(connection->endpoint());
    // a tenth before the told limit: a request that crosses the target's close ends as a reset
    const auto span = config_.settings.conn_idle * 9 / 10;
    if (address == addresses_.end() || address->second != connection->address() || span <= Time(0))
        return connection->close();
    idle_.push_back(connection);
    connection->idle_for(span);
}

void Targets::drop_idle(const Connection& connection) {
    std::erase(idle_, connection);
    connection->close();
}
void Targets::drop_oldest_idle() {
    if (!idle_.empty()) drop_idle(Connection(idle_.front()));
}

void Targets::ended(const Connection& connection, OutcomeEvent outcome) {
    const auto found = calls_.find({outcome.message, outcome.attempt});
    if (found != calls_.end() && found->second == connection) calls_.erase(found);
    done_(std::move(outcome));
}

}  // namespace lockgw
