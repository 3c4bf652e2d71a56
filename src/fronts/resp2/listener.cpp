#include "fronts/resp2/listener.hpp"

#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <boost/system/system_error.hpp>
#include <cerrno>
#include <stdexcept>

namespace lockgw {
namespace {

boost::system::error_code last_error() { return {errno, boost::system::system_category()}; }

}  // namespace

void Listener::open(const Config& config) {
    if (config.listen_fd) {
        int listens = 0;
        socklen_t length = sizeof listens;
        if (getsockopt(*config.listen_fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &length) != 0 || listens == 0)
            throw std::runtime_error("NODE_LISTEN_FD: descriptor " + std::to_string(*config.listen_fd) +
                                     " is no listening socket");
        const int epoll = epoll_create1(EPOLL_CLOEXEC);
        epoll_event wanted{};
        wanted.events = EPOLLIN;
        if (epoll < 0 || epoll_ctl(epoll, EPOLL_CTL_ADD, *config.listen_fd, &wanted) != 0)
            throw boost::system::system_error(last_error(), "NODE_LISTEN_FD cannot be waited for");
        watch_.assign(epoll);
        inherited_ = config.listen_fd;
        return;
    }
    own_.open(config.listen.protocol());
    own_.set_option(Tcp::acceptor::reuse_address(true));
    own_.bind(config.listen);
    own_.listen();
    own_.non_blocking(true);
}

Tcp::socket Listener::accept(Tcp::endpoint& from, boost::system::error_code& failed) {
    if (!inherited_) return own_.accept(from, failed);
    failed = asio::error::would_block;
    pollfd entry{*inherited_, POLLIN, 0};
    if (poll(&entry, 1, 0) <= 0 || (entry.revents & POLLIN) == 0) return Tcp::socket(io_);
    socklen_t length = static_cast<socklen_t>(from.capacity());
    const int fd = accept4(*inherited_, from.data(), &length, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return failed = last_error(), Tcp::socket(io_);
    from.resize(length);
    failed.clear();
    return Tcp::socket(io_, from.protocol(), fd);
}

void Listener::close() {
    boost::system::error_code ignored;
    inherited_ ? watch_.close(ignored) : own_.close(ignored);
}

}  // namespace lockgw
