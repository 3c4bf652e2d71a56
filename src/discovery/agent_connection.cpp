#include "discovery/agent_connection.hpp"

#include <utility>

#include "discovery/target_list.hpp"

namespace lockgw {

namespace http = boost::beast::http;

namespace {

constexpr int kMaxInterimAnswers = 16;
constexpr std::size_t kReadBytes = 16 * 1024;
// In one turn of the event loop, so that a long answer does not hold up other work.
constexpr std::size_t kMaxReadsPerTurn = 4;

}  // namespace

void AgentConnection::send_request(http::verb verb, const std::string& path, std::string body,
    OnPhase on_phase, OnProgress on_progress, OnAnswer on_answer) {
    ++generation_;
    on_phase_ = std::move(on_phase);
    on_progress_ = std::move(on_progress);
    on_answer_ = std::move(on_answer);
    request_ = {verb, path, 11, std::move(body)};
    request_.set(http::field::host, "discovery");
    request_.prepare_payload();
    buffer_.reserve(kReadBytes);
    expect_answer();
    connect();
}

void AgentConnection::connect() {
    boost::system::error_code error;  // if the socket stays closed, async_connect reports the error
    socket_.open(address_.protocol(), error);
    if (error && out_of_descriptors(error.value()) && spare_.release())
        socket_.open(address_.protocol(), error);
    socket_.async_connect(address_, for_current_request([](AgentConnection& self, auto error) {
        if (!error) self.socket_.non_blocking(true, error);
        if (error) return self.finish_with_error(error.message());
        self.connected_ = true;
        self.write();
    }));
}

void AgentConnection::write() {
    on_phase_(PollSchedule::Phase::Waiting);
    http::async_write(socket_, request_, for_current_request([](AgentConnection& self, auto error) {
        if (error) return self.finish_with_error(error.message());
        self.read();
    }));
}

void AgentConnection::read() {
    socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
        for_current_request([](AgentConnection& self, auto error) { self.on_readable(error); }));
}

void AgentConnection::on_readable(boost::system::error_code error) {
    bool grew = false;
    if (!error) grew = receive_available(kMaxReadsPerTurn, error);
    if (error) return finish_with_error(error.message());
    if (interim_answers_ > kMaxInterimAnswers) return finish_with_error("too many interim answers");
    if (parser_->is_done()) return finish_answer();
    if (grew) report_growth();
    read();
}

/// Receives what has arrived, until the answer is complete. Returns true if the answer has grown.
bool AgentConnection::receive_available(std::size_t max_reads, boost::system::error_code& error) {
    bool grew = false;
    for (; max_reads > 0 && !parser_->is_done() && interim_answers_ <= kMaxInterimAnswers; --max_reads) {
        const std::size_t unparsed = buffer_.size();
        http::read_some(socket_, buffer_, *parser_, error);
        if (error == boost::asio::error::would_block) {
            error = {};
            return grew || buffer_.size() > unparsed;  // a part of the header
        }
        if (error) break;
        if (parser_->is_done() && parser_->get().result_int() / 100 == 1) {
            ++interim_answers_;
            expect_answer();  // the final answer follows an interim one
        } else {
            grew = true;
        }
    }
    return grew;
}

void AgentConnection::report_growth() {
    if (std::exchange(answer_started_, true))
        on_progress_();
    else
        on_phase_(PollSchedule::Phase::Reading);
}

void AgentConnection::expect_answer() {
    parser_.emplace();
    parser_->body_limit(max_bytes_);
}

void AgentConnection::finish_answer() {
    ++generation_;
    close();
    std::exchange(on_answer_, nullptr)(complete_answer());
}

AgentConnection::Answer AgentConnection::complete_answer() {
    Answer answer{parser_->get().result_int(), std::move(parser_->get().body()), "", false};
    answer.status_ok = answer.status == 200;
    return answer;
}

AgentConnection::Answer AgentConnection::partial_answer_with(const std::string& error) {
    Answer answer = partial_answer();
    answer.error = error;
    return answer;
}

AgentConnection::Answer AgentConnection::partial_answer() const {
    Answer answer;
    if (!parser_ || !parser_->is_header_done()) return answer;
    answer.status_ok = parser_->get().result_int() == 200;
    answer.body = parser_->get().body();
    return answer;
}

void AgentConnection::finish_with_error(const std::string& error) {
    ++generation_;
    close();
    std::exchange(on_answer_, nullptr)(partial_answer_with(error));
}

AgentConnection::Answer AgentConnection::cancel() {
    ++generation_;
    on_answer_ = nullptr;
    on_phase_ = nullptr;
    on_progress_ = nullptr;
    boost::system::error_code ignored;
    if (connected_) receive_available(max_bytes_ / kReadBytes + 1, ignored);
    close();
    if (parser_ && parser_->is_done()) return complete_answer();
    return partial_answer_with(answer_started_ ? "incomplete answer" : "no answer");
}

void AgentConnection::close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
    connected_ = false;
    buffer_.clear();
}

}  // namespace lockgw
