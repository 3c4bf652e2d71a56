#include "rig/http.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>

namespace lockgw::rig {

namespace asio = boost::asio;
namespace http = boost::beast::http;

Peer::Peer(Tcp::socket socket, Handler handler, std::chrono::milliseconds idle, std::shared_ptr<void> place)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      handler_(std::move(handler)),
      idle_(idle),
      place_(std::move(place)) {
    boost::system::error_code ignored;
    socket_.set_option(Tcp::no_delay(true), ignored);
}

void Peer::read() {
    parser_.emplace();
    const auto self = shared_from_this();
    const auto whole = [this, self](Clock::time_point first) {
        http::async_read(socket_, buffer_, *parser_, [this, self, first](auto failed, std::size_t) {
            if (failed) return close();
            handler_(self, parser_->release(), first);
        });
    };
    if (buffer_.size() > 0) return whole(Clock::now());
    if (idle_.count() > 0) after(idle_, [this] { close(); });
    socket_.async_wait(Tcp::socket::wait_read, [this, self, whole](auto failed) {
        if (failed) return;
        if (idle_.count() > 0) timer_.cancel();
        whole(Clock::now());
    });
}

void Peer::write(std::string bytes, std::function<void(Clock::time_point)> next) {
    const auto kept = std::make_shared<std::string>(std::move(bytes));
    asio::async_write(
        socket_, asio::buffer(*kept), [self = shared_from_this(), kept, next](auto failed, std::size_t) {
            if (failed) return self->close();
            next(Clock::now());
        });
}

void Peer::trickle(std::string bytes, std::size_t size, std::chrono::milliseconds pause,
    std::function<void(Clock::time_point)> next) {
    const std::size_t now = std::min(size, bytes.size());
    std::string rest = bytes.substr(now);
    write(bytes.substr(0, now), [this, self = shared_from_this(), rest = std::move(rest), size, pause, next](
                                    Clock::time_point written) mutable {
        if (rest.empty()) return next(written);
        after(pause, [this, rest = std::move(rest), size, pause, next]() mutable {
            trickle(std::move(rest), size, pause, next);
        });
    });
}

void Peer::after(std::chrono::milliseconds span, std::function<void()> then) {
    timer_.expires_after(span);
    timer_.async_wait([self = shared_from_this(), then = std::move(then)](auto cancelled) {
        if (!cancelled && self->open()) then();
    });
}

void Peer::close() {
    boost::system::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
}

void Peer::reset() {
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

Server::Server(asio::io_context& io, const Tcp::endpoint& address, Peer::Handler handler)
    : io_(io), address_(address), handler_(std::move(handler)), acceptor_(io), timer_(io) {
    listen(asio::socket_base::max_listen_connections);
    address_ = acceptor_.local_endpoint();
}

void Server::listen(int backlog) {
    acceptor_ = Tcp::acceptor(io_);
    acceptor_.open(address_.protocol());
    acceptor_.set_option(Tcp::acceptor::reuse_address(true));
    acceptor_.bind(address_);
    acceptor_.listen(backlog);
    accept();
}

void Server::accept() {
    acceptor_.async_accept([this](auto failed, Tcp::socket socket) {
        if (failed) return;
        ++accepted_;
        if (on_accept) on_accept();
        if (most_open_ > 0 && *open_ >= most_open_) {
            ++reset_;
            std::make_shared<Peer>(std::move(socket), handler_)->reset();
        } else {
            ++*open_;
            auto place = std::shared_ptr<void>(nullptr, [open = open_](void*) { --*open; });
            const auto peer = std::make_shared<Peer>(std::move(socket), handler_, idle_, std::move(place));
            keep(peer);
            peer->read();
        }
        accept();
    });
}

void Server::refuse_for(std::chrono::milliseconds span) {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    timer_.expires_after(span);
    timer_.async_wait([this](auto cancelled) {
        if (!cancelled) listen(asio::socket_base::max_listen_connections);
    });
}

/// Those that have ended are dropped when they are more than the open ones.
void Server::keep(const std::shared_ptr<Peer>& peer) {
    if (peers_.size() > 2 * *open_) std::erase_if(peers_, [](const auto& one) { return one.expired(); });
    peers_.push_back(peer);
}

void Server::die_for(std::chrono::milliseconds span) {
    refuse_for(span);
    for (const auto& one : std::exchange(peers_, {}))
        if (const auto peer = one.lock()) peer->reset();
}

void Server::freeze_for(std::chrono::milliseconds span) {
    boost::system::error_code failed;
    if (!acceptor_.is_open()) listen(asio::socket_base::max_listen_connections);  // it was refusing until now
    acceptor_.cancel(failed);
    // none may wait in the queue: the first byte of its call would be seen only when the span is over
    acceptor_.non_blocking(true);
    while (!failed) {
        Tcp::socket socket(io_);
        acceptor_.accept(socket, failed);
        if (!failed) ++accepted_, std::make_shared<Peer>(std::move(socket), handler_)->read();
    }
    ::listen(acceptor_.native_handle(), 0);  // a shorter queue, and
    for (int i = 0; i < 3; ++i) {            // connections of our own that fill it
        const auto fill = std::make_shared<Tcp::socket>(io_);
        fill_.push_back(fill);
        fill->async_connect(address_, [fill](auto) {});
    }
    timer_.expires_after(span);
    timer_.async_wait([this](auto cancelled) {
        if (cancelled) return;
        fill_.clear();
        ::listen(acceptor_.native_handle(), 128);
        accept();
    });
}

std::string answer(int status, const std::string& body, const std::string& headers) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n" + headers + "\r\n" + body;
}

}  // namespace lockgw::rig
