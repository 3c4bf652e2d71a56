/// RESP2 requests: bytes in, commands out. Pure: no sockets, no clock.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace lockgw::resp {

constexpr std::size_t kMostArguments = 16;
constexpr std::size_t kMostBytes = 64 * 1024;            ///< of one argument: a body holds no more
constexpr std::size_t kMostCommand = kMostBytes + 4096;  ///< of all its arguments

using Command = std::vector<std::string>;

/// The bytes are no RESP2 request; nothing after them can be read.
class Unreadable : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Feed what comes in, then take commands until there is none. It holds at most what was fed and one command.
class Parser {
public:
    void feed(std::string_view bytes) { buffer_.append(bytes); }
    /// The next whole command; none where bytes are still missing. Throws Unreadable.
    std::optional<Command> next();
    /// Whether a command has begun and not ended.
    bool midway() const { return missing_ > 0 || at_ < buffer_.size(); }
    /// From now on commands are only counted off: their arguments are empty, and of one that has begun
    /// nothing is held.
    void skip_arguments();
    /// Bytes that wait for the rest of their command.
    std::size_t held() const { return buffer_.size() + (skipping_ ? 0 : command_bytes_); }

private:
    std::optional<std::size_t> header(char mark, std::size_t most);
    bool argument();
    void skip_some();
    void drop_read();

    std::string buffer_;
    std::size_t at_ = 0;                 // what is read of the buffer
    std::size_t missing_ = 0;            // arguments still to come
    std::optional<std::size_t> length_;  // of the argument that has begun
    Command command_;
    std::size_t command_bytes_ = 0;  // of its arguments so far
    bool skipping_ = false;
};

std::string simple(std::string_view text);
std::string error(std::string_view text);
std::string bulk(std::string_view text);

}  // namespace lockgw::resp
