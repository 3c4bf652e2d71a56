#include "membership/agent.hpp"

#include <utility>

#include "membership/member.hpp"

namespace lockgw {

namespace http = boost::beast::http;

namespace {

constexpr int kMostInterim = 16;

}  // namespace

void AgentConnection::ask(
    http::verb verb, const std::string& path, std::string body, Reached reached, Answered answered) {
    ++turn_;
    reusable_ = begun_ = false;
    interim_ = 0;
    reached_ = std::move(reached);
    answered_ = std::move(answered);
    request_ = {verb, path, 11, std::move(body)};
    request_.set(http::field::host, "discovery");
    request_.prepare_payload();
    parser_.emplace();
    parser_->body_limit(most_bytes_);
    socket_.is_open() ? write() : connect();
}

void AgentConnection::connect() {
    boost::system::error_code failed;  // where it stays, the connect meets it again and tells
    socket_.open(address_.protocol(), failed);
    if (failed && out_of_descriptors(failed.value()) && spare_.release())
        socket_.open(address_.protocol(), failed);
    socket_.async_connect(address_, guarded([](AgentConnection& self, auto failed) {
        if (failed) return self.fail(failed.message());
        self.write();
    }));
}

void AgentConnection::write() {
    reached_(AskPlan::Phase::Waiting);
    http::async_write(socket_, request_, guarded([](AgentConnection& self, auto failed) {
        if (failed) return self.fail(failed.message());
        self.read();
    }));
}

void AgentConnection::read() {
    http::async_read_some(
        socket_, buffer_, *parser_, guarded([](AgentConnection& self, auto failed) { self.came(failed); }));
}

void AgentConnection::came(boost::system::error_code failed) {
    if (failed) return fail(failed.message());
    if (parser_->is_done()) {
        if (parser_->get().result_int() / 100 != 1) return finish();
        if (++interim_ > kMostInterim) return fail("no end of interim answers");
        parser_.emplace();  // the answer itself is still to come
        parser_->body_limit(most_bytes_);
        return read();
    }
    if (!std::exchange(begun_, true)) reached_(AskPlan::Phase::Reading);
    read();
}

void AgentConnection::finish() {
    Answer answer{parser_->get().result_int(), std::move(parser_->get().body()), "", false};
    answer.success = answer.status == 200;
    ++turn_;
    reusable_ = parser_->get().keep_alive() && buffer_.size() == 0;
    if (!reusable_) close();
    std::exchange(answered_, nullptr)(std::move(answer));
}

AgentConnection::Answer AgentConnection::so_far(const std::string& why) {
    Answer answer = peek();
    answer.why = why;
    return answer;
}

AgentConnection::Answer AgentConnection::peek() const {
    Answer answer;
    if (!parser_ || !parser_->is_header_done()) return answer;
    answer.success = parser_->get().result_int() == 200;
    answer.body = parser_->get().body();
    return answer;
}

void AgentConnection::fail(const std::string& why) {
    ++turn_;
    close();
    std::exchange(answered_, nullptr)(so_far(why));
}

AgentConnection::Answer AgentConnection::give_up() {
    ++turn_;
    answered_ = nullptr;
    reached_ = nullptr;
    close();
    return so_far(begun_ ? "an answer that does not end" : "no answer");
}

void AgentConnection::close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
    buffer_.clear();
    reusable_ = false;
}

}  // namespace lockgw
