#include "deliveries/http/answer.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <charconv>

namespace lockgw {

namespace http = boost::beast::http;
using cometspoke::Time;

namespace {

constexpr std::size_t kMostHead = 16 * 1024;
constexpr std::uint64_t kMostBody = 64 * 1024;  // the protocol's limit
constexpr int kMostInterim = 16;
constexpr double kMostLimit = 1e6;  // calls a second
constexpr std::string_view kVersion = "HTTP/1.";

std::string_view text_of(boost::beast::string_view text) { return {text.data(), text.size()}; }

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
    while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
    return text;
}

std::optional<double> decimal(std::string_view text, double most) {
    text = trimmed(text);
    double value = 0.0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) return std::nullopt;
    return value >= 0 && value <= most ? std::optional(value) : std::nullopt;
}

}  // namespace

std::optional<cometspoke::LoadReport> load_report_of(std::string_view text) {
    std::optional<double> left, limit;
    while (!text.empty()) {
        const std::string_view pair = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos) return std::nullopt;
        const std::string_view name = trimmed(pair.substr(0, equals));
        if (name != "x0" && name != "x1") continue;
        auto& value = name == "x0" ? left : limit;
        if (value) return std::nullopt;
        value = decimal(pair.substr(equals + 1), kMostLimit);
        if (!value) return std::nullopt;
    }
    if (!left || !limit) return std::nullopt;
    return cometspoke::LoadReport{std::min(*left, 1.0), *limit};
}

void Answer::next() {
    parser_ = std::make_unique<http::response_parser<DiscardedBody>>();
    parser_->eager(true);
    parser_->header_limit(kMostHead);
    parser_->body_limit(kMostBody);
    first_line_.reset();
}

/// By itself, ahead of the parser: that one reads a head only when all of it has come.
void Answer::read_first_line() {
    const std::string_view bytes = bytes_;
    if (bytes.substr(0, kVersion.size()) != kVersion.substr(0, bytes.size())) {
        spoilt();  // no need to wait for the end of noise
        return;
    }
    const auto end = bytes.find('\n');
    if (end == std::string_view::npos) return;
    const std::string_view line = bytes.substr(0, end);
    if (line.size() < 13 || line[8] != ' ' || (line[12] != ' ' && line[12] != '\r')) return;
    unsigned status = 0;
    const auto parsed = std::from_chars(line.data() + 9, line.data() + 12, status);
    if (parsed.ec == std::errc() && parsed.ptr == line.data() + 12) first_line_ = status;
}

Answer::State Answer::feed(std::string_view bytes) {
    if (state_ == State::Spoilt) return state_;
    bytes_.append(bytes);
    empty_ = empty_ && bytes_.empty();
    while (state_ == State::Open && !bytes_.empty()) {
        if (!first_line_ && !parser_->is_header_done()) read_first_line();
        if (state_ != State::Open) break;
        boost::beast::error_code failed;
        bytes_.erase(0, parser_->put(boost::asio::buffer(bytes_), failed));
        if (failed == http::error::need_more) return bytes_.size() > kMostHead ? spoilt() : state_;
        if (failed) return spoilt();
        if (!parser_->is_done()) continue;
        const unsigned status = parser_->get().result_int();
        if (status / 100 != 1) {
            state_ = State::Whole;
        } else {
            // 1xx: the answer itself is still to come. 101 would switch to what nobody asked for.
            if (status == 101 || ++interim_ > kMostInterim) return spoilt();
            next();
            empty_ = bytes_.empty();
        }
    }
    return state_;
}

Answer::State Answer::ended() {
    if (state_ != State::Open) return state_;
    if (!head_read()) return spoilt();  // a parser that has read nothing would call it done, and say 200
    boost::beast::error_code failed;
    parser_->put_eof(failed);
    if (failed || !parser_->is_done() || parser_->get().result_int() / 100 == 1) return spoilt();
    return state_ = State::Whole;
}

ObservedAnswer Answer::observed() const { return {kind(), state_ == State::Whole}; }

AnswerKind Answer::kind() const {
    if (!first_line_ || *first_line_ / 100 == 1) return AnswerKind::None;
    switch (*first_line_) {
        case 200:
            return AnswerKind::Delivered;
        case 429:
            return AnswerKind::RetryAfter;
        case 503:
            return head()["X-Over-Slots"] == "1" ? AnswerKind::SlotsTaken : AnswerKind::Refused;
        case 504:
            return AnswerKind::AttemptsUsed;
        case 410:
            return AnswerKind::Over;
        default:
            return AnswerKind::Error;
    }
}

Time Answer::told_wait(Time longest_wait) const {
    if (!head_read() || kind() != AnswerKind::RetryAfter) return Time(0);
    const auto wait = decimal(text_of(head()[http::field::retry_after]), 1e9);
    if (!wait) return Time(0);
    return std::min(Time(static_cast<Time::rep>(std::min(*wait * 1e6, 1e15))), longest_wait);
}

std::optional<cometspoke::LoadReport> Answer::load_report() const {
    if (!head_read()) return std::nullopt;
    return load_report_of(text_of(head()["X-Load-Report"]));
}

}  // namespace lockgw
