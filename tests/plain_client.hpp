/// A blocking client of bytes that sees how its connection ended: by an orderly close, or by a reset.
#pragma once

#include <poll.h>

#include <string>

#include "net_helpers.hpp"

namespace lockgw {

class PlainClient {
public:
    explicit PlainClient(const Tcp::endpoint& address) : socket_(io_) { socket_.connect(address); }
    void send(const std::string& bytes) { asio::write(socket_, asio::buffer(bytes)); }
    /// Each piece goes out at once, also before the one before is acknowledged.
    void send_without_delay() { socket_.set_option(Tcp::no_delay(true)); }
    void finish_sending() { socket_.shutdown(Tcp::socket::shutdown_send); }
    /// All that comes until the end.
    std::string rest() {
        std::string bytes;
        boost::system::error_code ended;
        asio::read(socket_, asio::dynamic_buffer(bytes), ended);
        return bytes;
    }
    std::string line() {
        std::string bytes;
        boost::system::error_code ended;
        asio::read_until(socket_, asio::dynamic_buffer(bytes), '\n', ended);
        return bytes;
    }
    /// Something has come, or the other side has ended its sending.
    bool has_news() const { return (polled() & POLLIN) != 0; }
    /// Both directions have ended.
    bool is_over() const { return (polled() & POLLHUP) != 0; }
    bool was_reset() const { return (polled() & POLLERR) != 0; }

private:
    short polled() const {
        pollfd entry{const_cast<Tcp::socket&>(socket_).native_handle(), POLLIN, 0};
        return ::poll(&entry, 1, 0) < 0 ? 0 : entry.revents;
    }
    asio::io_context io_;
    Tcp::socket socket_;
};

}  // namespace lockgw
