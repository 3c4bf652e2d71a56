/// Where client connections come from: a socket of this process's own, or one that it has inherited and that
/// other processes hold, too.
///
/// An inherited one is left as it is: never shut down, never closed, and its status flags (O_NONBLOCK among
/// them, which all that hold it share) never changed. It is waited for through an epoll descriptor of this
/// process's own, and accepted from only when there is somebody: no other process accepts at the same time
/// (handover/plan.hpp), so that this does not block.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <optional>
#include <utility>

#include "config/config.hpp"

namespace lockgw {

class Listener {
public:
    explicit Listener(asio::io_context& io) : io_(io), own_(io), watch_(io) {}

    /// Throws where its address cannot be had, or what was inherited is no listening socket.
    void open(const Config& config);
    bool inherited() const { return inherited_.has_value(); }
    /// handler(error) when somebody may be there.
    template <class Handler>
    void wait(Handler handler) {
        inherited_ ? watch_.async_wait(asio::posix::stream_descriptor::wait_read, std::move(handler))
                   : own_.async_wait(Tcp::acceptor::wait_read, std::move(handler));
    }
    /// The next one; would_block where there is nobody.
    Tcp::socket accept(Tcp::endpoint& from, boost::system::error_code& failed);
    void close();

private:
    asio::io_context& io_;
    Tcp::acceptor own_;
    asio::posix::stream_descriptor watch_;
    std::optional<int> inherited_;
};

}  // namespace lockgw
