/// A small HTTP/1.1 server for stand-ins: loopback only, one thread, raw bytes out so that it can misbehave.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lockgw::rig {

using Tcp = boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Request = boost::beast::http::request<boost::beast::http::string_body>;

/// One accepted connection. Lives as long as something is read from, written to or held for it.
class Peer : public std::enable_shared_from_this<Peer> {
public:
    using Handler = std::function<void(std::shared_ptr<Peer>, Request, Clock::time_point first_byte)>;

    /// `idle`: closed where no request comes for so long; 0: never. `place`: kept for as long as it lives.
    Peer(Tcp::socket socket, Handler handler, std::chrono::milliseconds idle = {},
        std::shared_ptr<void> place = nullptr);
    /// Reads the next request and hands it on.
    void read();
    /// Writes, then calls `next` with the moment at which the last byte was written.
    void write(std::string bytes, std::function<void(Clock::time_point)> next);
    /// Writes `bytes` in pieces of `size` with pauses.
    void trickle(std::string bytes, std::size_t size, std::chrono::milliseconds pause,
        std::function<void(Clock::time_point)> next);
    /// Calls `then` after `span`, if the peer still stands.
    void after(std::chrono::milliseconds span, std::function<void()> then);
    void close();
    void reset();
    bool open() const { return socket_.is_open(); }

private:
    Tcp::socket socket_;
    boost::asio::steady_timer timer_;
    Handler handler_;
    std::chrono::milliseconds idle_;
    std::shared_ptr<void> place_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
};

/// Accepts on one address. Must outlive its io_context's run.
class Server {
public:
    Server(boost::asio::io_context& io, const Tcp::endpoint& address, Peer::Handler handler);
    Tcp::endpoint address() const { return address_; }
    int accepted() const { return accepted_; }
    /// From now on: so many connections at a time, those above are reset at once; 0: any number. One without
    /// a request for `idle` is closed; 0: none.
    void limit(std::size_t connections, std::chrono::milliseconds idle) {
        most_open_ = connections, idle_ = idle;
    }
    int reset_above_limit() const { return reset_; }
    /// Called on the server's loop with each connection that comes.
    std::function<void()> on_accept;
    /// Connections are refused for so long; those that are open stay, and are served.
    void refuse_for(std::chrono::milliseconds span);
    /// Its process has died and is back after `span`: open connections are reset, new ones refused.
    void die_for(std::chrono::milliseconds span);
    /// Connections that come within this span are not accepted before its end, and once the queue is full
    /// they do not even come up: what a frozen process looks like.
    void freeze_for(std::chrono::milliseconds span);

private:
    void listen(int backlog);
    void accept();
    void keep(const std::shared_ptr<Peer>& peer);

    boost::asio::io_context& io_;
    Tcp::endpoint address_;
    Peer::Handler handler_;
    Tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    std::vector<std::shared_ptr<Tcp::socket>> fill_;  // they keep the queue full
    std::atomic<int> accepted_{0}, reset_{0};
    std::vector<std::weak_ptr<Peer>> peers_;  // the open ones, and some that have ended
    std::size_t most_open_ = 0;
    std::chrono::milliseconds idle_{0};
    std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
};

std::string answer(int status, const std::string& body, const std::string& headers = "");

}  // namespace lockgw::rig
