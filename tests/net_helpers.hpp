/// Helpers for tests of the forwarder over sockets: the built program as a process, and an HTTP stub server.
///
/// Every wait is for an event, with a deadline far longer than a loaded machine needs.
#pragma once

#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "config/config.hpp"
#include "rig/node.hpp"

namespace lockgw {

namespace http = boost::beast::http;
using namespace std::chrono_literals;

using rig::Client;
using rig::kDeadline;
using rig::make_config;
using rig::TemporaryFolder;
using rig::text_of;

/// A process of the program of this build.
struct Node : rig::Node {
    explicit Node(Json config) : rig::Node(std::move(config), NODE_PATH) {}
};

/// A request that a stub server received, and the means to answer it or to close its connection.
struct Exchange {
    http::request<http::string_body> request;
    std::function<void(const std::string&)> write;  ///< sends the raw bytes of a response
    std::function<void()> hang_up;                  ///< closes the connection
    /// Sends raw bytes beside the response: the next request is not read because of them.
    std::function<void(const std::string&)> push;
    int connection = 0;  ///< number of the connection, in the order in which they were accepted

    std::string header(const char* name) const {
        const auto value = request[name];
        return {value.data(), value.size()};
    }
    /// Responds with an empty body.
    void answer(int status, const std::string& headers = "") const {
        write("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: 0\r\n" + headers + "\r\n");
    }
};

/// An HTTP server on 127.0.0.1, on a thread of its own. It keeps connections open, and leaves each request to
/// the test.
class HttpStub {
public:
    HttpStub() : acceptor_(io_, {asio::ip::address_v4::loopback(), 0}) {
        acceptor_.non_blocking(true);
        thread_ = std::thread([this] { serve(); });
    }
    ~HttpStub() {
        stopping_ = true;
        thread_.join();
    }
    std::string address() const { return text_of(acceptor_.local_endpoint()); }
    /// The number of connections accepted so far.
    int connections() const { return connections_; }

    /// The next request. Throws, which fails the test, if none arrives in time.
    Exchange next(std::chrono::milliseconds within = kDeadline) {
        std::unique_lock lock(mutex_);
        if (!arrived_.wait_for(lock, within, [this] { return !requests_.empty(); }))
            throw std::runtime_error("no request came");
        Exchange exchange = std::move(requests_.front());
        requests_.pop_front();
        return exchange;
    }
    bool no_request_within(std::chrono::milliseconds span) {
        std::unique_lock lock(mutex_);
        return !arrived_.wait_for(lock, span, [this] { return !requests_.empty(); });
    }

private:
    struct Connection {
        Connection(Tcp::socket accepted, int number) : socket(std::move(accepted)), number(number) {}
        Tcp::socket socket;
        int number;
        boost::beast::flat_buffer buffer;
        std::optional<http::request_parser<http::string_body>> parser;
    };

    void serve() {
        accept();
        while (!stopping_) io_.run_for(20ms);
    }
    void accept() {
        acceptor_.async_accept([this](auto failed, Tcp::socket socket) {
            if (failed) return;
            read(std::make_shared<Connection>(std::move(socket), ++connections_));
            accept();
        });
    }
    void read(const std::shared_ptr<Connection>& connection) {
        connection->parser.emplace();
        http::async_read(connection->socket, connection->buffer, *connection->parser,
            [this, connection](auto failed, std::size_t) {
                if (failed) return;
                const std::lock_guard lock(mutex_);
                requests_.push_back(exchange_of(connection));
                arrived_.notify_all();
            });
    }
    Exchange exchange_of(const std::shared_ptr<Connection>& connection) {
        return {connection->parser->get(),
            [this, connection](const std::string& bytes) {
                asio::post(io_, [this, connection, bytes] {
                    boost::system::error_code failed;
                    asio::write(connection->socket, asio::buffer(bytes), failed);
                    if (!failed) read(connection);
                });
            },
            [this, connection] {
                asio::post(io_, [connection] {
                    boost::system::error_code ignored;
                    connection->socket.close(ignored);
                });
            },
            [this, connection](const std::string& bytes) {
                asio::post(io_, [connection, bytes] {
                    boost::system::error_code ignored;
                    asio::write(connection->socket, asio::buffer(bytes), ignored);
                });
            },
            connection->number};
    }

    asio::io_context io_;
    Tcp::acceptor acceptor_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> connections_ = 0;
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::deque<Exchange> requests_;
    std::thread thread_;
};

}  // namespace lockgw
