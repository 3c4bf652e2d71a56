#include "fronts/resp2/resp.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace lockgw::resp {
namespace {

constexpr std::size_t kLongestHeader = 24;

}  // namespace

std::optional<Command> Parser::next() {
    while (true) {
        if (missing_ == 0) {
            const auto count = header('*', kMostArguments);
            if (!count) return drop_read(), std::nullopt;
            missing_ = *count;  // an empty array asks for nothing
            continue;
        }
        if (!argument()) return drop_read(), std::nullopt;
        if (--missing_ > 0) continue;
        command_bytes_ = 0;
        return std::exchange(command_, {});
    }
}

/// A line such as "*3" or "$5".
std::optional<std::size_t> Parser::header(char mark, std::size_t most) {
    if (at_ == buffer_.size()) return std::nullopt;
    if (buffer_[at_] != mark) throw Unreadable(std::string("expected '") + mark + "'");
    const auto end = buffer_.find("\r\n", at_);
    // the same bound whether its end has come or not, but for a '\r' that waits for its '\n'
    const std::size_t length = end == std::string::npos ? buffer_.size() - at_ - 1 : end - at_;
    if (length > kLongestHeader) throw Unreadable("a length without an end");
    if (end == std::string::npos) return std::nullopt;
    std::size_t value = 0;
    const char* last = buffer_.data() + end;
    const auto parsed = std::from_chars(buffer_.data() + at_ + 1, last, value);
    if (parsed.ec != std::errc() || parsed.ptr != last) throw Unreadable("invalid length");
    if (value > most) throw Unreadable("too long");
    at_ = end + 2;
    return value;
}

bool Parser::argument() {
    if (!length_) length_ = header('$', std::min(kMostBytes, kMostCommand - command_bytes_));
    if (!length_) return false;
    if (skipping_) skip_some();
    if (buffer_.size() - at_ < *length_ + 2) return false;
    if (buffer_.compare(at_ + *length_, 2, "\r\n") != 0) throw Unreadable("an argument without an end");
    command_.push_back(buffer_.substr(at_, *length_));
    at_ += *length_ + 2;
    command_bytes_ += *length_;
    length_.reset();
    return true;
}

/// What has come of the present argument's bytes, but for its end.
void Parser::skip_some() {
    const std::size_t count = std::min(*length_, buffer_.size() - at_);
    at_ += count;
    command_bytes_ += count;
    *length_ -= count;
}
void Parser::skip_arguments() {
    skipping_ = true;
    command_.clear();
    if (length_) skip_some();
    drop_read();
}

void Parser::drop_read() {
    buffer_.erase(0, std::exchange(at_, 0));
    if (buffer_.empty()) std::string().swap(buffer_);  // most connections rest between commands
}

namespace {

std::string line(char mark, std::string_view text) {
    std::string bytes(1, mark);
    return bytes.append(text).append("\r\n");
}

}  // namespace

std::string simple(std::string_view text) { return line('+', text); }
std::string error(std::string_view text) { return line('-', text); }
std::string bulk(std::string_view text) {
    return line('$', std::to_string(text.size())).append(text).append("\r\n");
}

}  // namespace lockgw::resp
