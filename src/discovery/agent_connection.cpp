#include "discovery/agent_connection.hpp"

#include <utility>

#include "discovery/target_list.hpp"

namespace lockgw {

namespace http = boost::beast::http;

namespace {

constexpr int kMaxInterimAnswers = 16;

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
    parser_.emplace();
    parser_->body_limit(max_bytes_);
    connect();
}

void AgentConnection::connect() {
    boost::system::error_code error;  // if the socket stays closed, async_connect reports the error
    socket_.open(address_.protocol(), error);
    if (error && out_of_descriptors(error.value()) && spare_.release())
        socket_.open(address_.protocol(), error);
    socket_.async_connect(address_, for_current_request([](AgentConnection& self, auto error) {
        if (error) return self.finish_with_error(error.message());
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
    http::async_read_some(socket_, buffer_, *parser_,
        for_current_request([](AgentConnection& self, auto error) { self.on_read(error); }));
}

void AgentConnection::on_read(boost::system::error_code error) {
    if (error) return finish_with_error(error.message());
    if (parser_->is_done()) {
        if (parser_->get().result_int() / 100 != 1) return finish_answer();
        if (++interim_answers_ > kMaxInterimAnswers) return finish_with_error("too many interim answers");
        parser_.emplace();  // the final answer follows an interim one
        parser_->body_limit(max_bytes_);
        return read();
    }
    if (std::exchange(answer_started_, true))
        on_progress_();
    else
        on_phase_(PollSchedule::Phase::Reading);
    read();
}

void AgentConnection::finish_answer() {
    Answer answer{parser_->get().result_int(), std::move(parser_->get().body()), "", false};
    answer.status_ok = answer.status == 200;
    ++generation_;
    close();
    std::exchange(on_answer_, nullptr)(std::move(answer));
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
    close();
    return partial_answer_with(answer_started_ ? "incomplete answer" : "no answer");
}

void AgentConnection::close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
    buffer_.clear();
}

}  // namespace lockgw
