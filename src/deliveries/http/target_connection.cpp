#include "deliveries/http/target_connection.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "deliveries/http/targets.hpp"
#include "logging/log.hpp"

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

TargetConnection::TargetConnection(Targets& owner, EndpointId endpoint, const Tcp::endpoint& address)
    : owner_(owner), endpoint_(endpoint), address_(address), socket_(owner.io_), timer_(owner.io_) {}

void TargetConnection::start(Call call) {
    begun_ = Clock::now();
    ++turn_;
    timer_.cancel();  // the end of its rest
    written_ = begun_writing_ = false;
    call_ = std::move(call);
    answer_ = Answer();
    certainty_ = Certainty::Certain;
    resting_ = false;
    history_.begin_call(begun_);
    if (socket_.is_open()) {
        socket_.cancel();  // the watch over a resting connection
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

std::string TargetConnection::address_text() const {
    return address_.address().to_string() + ":" + std::to_string(address_.port());
}

void TargetConnection::wait_until(Clock::time_point when) {
    timer_.call_at(when, [this] {
        const auto self = shared_from_this();  // its end may drop the last owner
        expire();
    });
}
void TargetConnection::expire() {
    if (resting_ || !call_) return owner_.gone(shared_from_this());
    if (written_) return end(answer_.empty() ? Outcome::NoAnswer : Outcome::Unreadable);
    // its last byte may have gone out although nobody has said so yet
    if (begun_writing_) return end(Outcome::NoAnswer);
    // that a repeat's window closed meanwhile tells nothing of the target
    const bool too_late = Clock::now() >= begin_by(*call_);
    end(too_late ? Outcome::NotSent : Outcome::NoConnection);
}

bool TargetConnection::open() {
    boost::system::error_code failed;
    socket_.open(address_.protocol(), failed);
    while (failed && out_of_descriptors(failed.value()) && (owner_.drop_one() || owner_.spare_.release()))
        socket_.open(address_.protocol(), failed);
    return !failed;
}
void TargetConnection::write() {
    // The connection may have come up in the same turn of the loop in which the call's time ran out.
    const bool too_late = Clock::now() >= std::min(begin_by(*call_), begun_ + call_->time_out);
    if (too_late || !owner_.callbacks_.may_send(*call_, address_)) return not_sent();
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
void TargetConnection::not_sent() {
    asio::post(owner_.io_, [self = shared_from_this(), turn = turn_] {
        if (turn == self->turn_) self->end(Outcome::NotSent);
    });
}

void TargetConnection::read() {
    socket_.async_wait(Tcp::socket::wait_read, guarded([this](auto failed) { failed ? ended() : take(); }));
}
void TargetConnection::take() {
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
        const Call call = *std::exchange(call_, std::nullopt);
        judge();
        report(call, Outcome::Served);
    }
    read();
}
/// By the target: that may be the end of an answer which tells no length.
void TargetConnection::ended() {
    if (answer_.ended() == Answer::State::Whole) return finish();
    end(answer_.empty() ? Outcome::ConnectionLost : Outcome::Unreadable);
}

/// What came before the call's last byte was written is no answer to it.
ObservedAnswer TargetConnection::observed() const { return written_ ? answer_.observed() : ObservedAnswer(); }
void TargetConnection::judge() { certainty_ = history_.judge(observed().kind, answer_.keep_alive()); }
void TargetConnection::finish() {
    const auto self = shared_from_this();
    const auto call = std::exchange(call_, std::nullopt);
    if (call) judge();
    const bool keeps = keeps_connection(observed().kind, answer_.reusable());
    const std::string surplus = answer_.take_rest();
    history_.end_answer(observed().kind, certainty_, Clock::now());
    // first: the decision on this outcome may want the connection
    keeps ? owner_.now_idle(self) : owner_.finished(self);
    if (call) report(*call, Outcome::Unreadable);
    heed_waits(surplus);
}
/// Nothing more is read: what has come so far decides.
void TargetConnection::end(Outcome otherwise) {
    const auto self = shared_from_this();
    const auto call = std::exchange(call_, std::nullopt);
    if (call) {
        judge();
        report(*call, otherwise);
    }
    unanswered_ = call && written_ && answer_.empty() &&
                  (otherwise == Outcome::NoAnswer || otherwise == Outcome::CalledOff);
    unanswered_ ? owner_.linger(self) : owner_.gone(self);
}
void TargetConnection::report(const Call& call, Outcome otherwise) {
    const CallEnd end = end_of_call(observed(), certainty_, call.effect, otherwise);
    log_doubt(call, end);
    if (is_refusal(observed().kind)) owner_.refusal_seen(endpoint_);
    OutcomeEvent event;
    event.message = call.message;
    event.endpoint = call.endpoint;
    event.attempt = call.attempt;
    event.outcome = end.outcome;
    event.terminal = end.fate != Fate::Open;
    event.rtt = std::chrono::duration_cast<Time>(Clock::now() - begun_);
    if (written_) {
        event.wait = answer_.told_wait(longest_wait(owner_.config_));
        if (owner_.config_.reports) event.report = answer_.load_report();
    }
    owner_.ended(shared_from_this(), {event, end.fate});
}
/// One line for each call whose answer leaves open how it ended. Not for deliveries: on a used connection
/// each of them may be a copy.
void TargetConnection::log_doubt(const Call& call, const CallEnd& end) const {
    const AnswerKind kind = observed().kind;
    if (kind == AnswerKind::None || kind == AnswerKind::Delivered) return;
    if (certainty_ == Certainty::Certain && end.fate != Fate::StatusOwed) return;
    log::warn("delivery", "an answer leaves the end of its call open",
        {{"message", cometspoke::settings::id_text(call.message)}, {"attempt", call.attempt},
            {"target", address_text()}, {"status", answer_.status()}, {"whole", observed().whole},
            {"answers", history_.answers()},
            {"then", end.fate == Fate::StatusOwed ? "final status reported" : "may be called again"}});
}

// ---- between calls ----

/// A target's close is noticed at once, and so is an answer to which there is no call. The connection is left
/// before the target may close it.
void TargetConnection::rest_for(Clock::duration span) {
    ++turn_;
    resting_ = true;
    wait_until(Clock::now() + span);
    watch();
}
void TargetConnection::linger(Clock::duration span) {
    ++turn_;
    resting_ = lingering_ = true;
    boost::system::error_code ignored;
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
    wait_until(Clock::now() + span);
    watch();
}
void TargetConnection::watch() {
    socket_.async_wait(Tcp::socket::wait_read, guarded([this](auto) { read_surplus(); }));
}
bool TargetConnection::silent() {
    char byte;
    const auto got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}
void TargetConnection::read_surplus() {
    boost::system::error_code failed;
    const std::size_t count = socket_.read_some(asio::buffer(owner_.in_), failed);
    if (failed == asio::error::would_block) return watch();
    if (!failed) return take_surplus({owner_.in_.data(), count});
    owner_.gone(shared_from_this());
}
/// More answers than calls: the connection is closed. A server that ends an idle connection may say so by an
/// answer; that is no copy. What comes together with an answer is not looked at: it closes the connection
/// before it could cross a call, and garbled answers end so too.
void TargetConnection::take_surplus(std::string_view bytes) {
    const bool own = std::exchange(unanswered_, false);  // the late answer of the call that was given up
    if (!own && only_copies(bytes)) owner_.stray_seen(*this);
    heed_waits(bytes);
    lingering_ ? watch() : owner_.gone(shared_from_this());
}
/// The own answer of a call in whose place a copy was read may tell a wait: it holds from then on.
void TargetConnection::heed_waits(std::string_view bytes) {
    std::string rest(bytes);
    while (!rest.empty()) {
        const Answer::State state = surplus_.feed(rest);
        const Time wait = surplus_.told_wait(longest_wait(owner_.config_));
        const bool told = surplus_.head_read() && wait > Time(0);
        if (told && owner_.callbacks_.on_wait) owner_.callbacks_.on_wait(endpoint_, wait);
        if (state != Answer::State::Whole) return;
        rest = surplus_.take_rest();
        surplus_ = Answer();
    }
}
/// Whether each answer, as far as it has come, is like an earlier one of this connection.
bool TargetConnection::only_copies(std::string_view bytes) const {
    std::string rest(bytes);
    while (!rest.empty()) {
        Answer surplus;
        const Answer::State state = surplus.feed(rest);
        const AnswerKind kind = surplus.observed().kind;
        if (state == Answer::State::Spoilt) return false;
        if (kind != AnswerKind::None && !history_.may_be_copy(kind, surplus.keep_alive())) return false;
        if (state != Answer::State::Whole) return true;
        rest = surplus.take_rest();
    }
    return true;
}

void TargetConnection::close() {
    ++turn_;
    resting_ = lingering_ = false;
    boost::system::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
}

}  // namespace lockgw
