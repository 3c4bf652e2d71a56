/// What the tests of the forwarder share: a configuration, a folder, stub sockets and the built program.
///
/// Every wait is for an event, with a deadline far beyond what a loaded machine needs.
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

#include "net/config.hpp"

namespace lockgw {

namespace http = boost::beast::http;
using namespace std::chrono_literals;

constexpr auto kDeadline = 20s;

class TemporaryFolder {
public:
    TemporaryFolder() {
        std::string name = (std::filesystem::temp_directory_path() / "lockgw-XXXXXX").string();
        if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("no temporary folder");
        path_ = name;
    }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    ~TemporaryFolder() {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    const std::filesystem::path& path() const { return path_; }

private:
    std::filesystem::path path_;
};

inline Json make_config(const std::string& listen, const std::string& discovery) {
    const auto kind = [](const char* name, const char* effect) {
        return Json{{"name", name}, {"effect", effect}, {"aim_ms", 4000}, {"hard_limit_ms", 60000},
            {"window_ms", 4000}, {"worth", 1}};
    };
    return Json{{"name", "n0"}, {"listen", listen}, {"discovery", discovery}, {"seed", "8c1f30d27a5be964"},
        {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 256}, {"disk_mb", 3}}},
        {"settings",
            {{"classes", {kind("safe", "retryable"), kind("keyed", "dedup"), kind("unsafe", "fragile")}},
                {"tenants", {{{"name", "acme"}}}}, {"kinds", {"shop"}}, {"localities", {"a"}},
                {"family_info", {{"slots", 8}}}, {"n_instances", 1},
                {"limits", {{"most_held", 40}, {"max_attempts", 12}, {"cancel", true},
                               {"conn_idle_ms", 10000}, {"connect_timeout_ms", 1000}}},
                {"contract", {{"fall_ms", 2000}, {"warm_within_ms", 11000}, {"fall_multiple", 2.5},
                                 {"cold_from", 0.16}}},
                {"report", {{"source", "inline"}, {"columns", {"x0", "x1"}}}}}}};
}

inline std::string text_of(const Tcp::endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

/// One request that came to a stub, until it is answered or its connection ended.
struct Exchange {
    http::request<http::string_body> request;
    std::function<void(const std::string&)> write;  ///< raw bytes of an answer
    std::function<void()> hang_up;

    std::string header(const char* name) const {
        const auto value = request[name];
        return {value.data(), value.size()};
    }
    void answer(int status, const std::string& headers = "") const {
        write("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: 0\r\n" + headers + "\r\n");
    }
};

/// An HTTP server on 127.0.0.1 that keeps connections open; each request waits for the test.
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
    int connections() const { return connections_; }

    /// The next request; fails the test where none comes.
    Exchange next(std::chrono::milliseconds within = kDeadline) {
        std::unique_lock lock(mutex_);
        if (!came_.wait_for(lock, within, [this] { return !requests_.empty(); }))
            throw std::runtime_error("no request came");
        Exchange exchange = std::move(requests_.front());
        requests_.pop_front();
        return exchange;
    }
    bool none_within(std::chrono::milliseconds span) {
        std::unique_lock lock(mutex_);
        return !came_.wait_for(lock, span, [this] { return !requests_.empty(); });
    }

private:
    struct Connection {
        explicit Connection(Tcp::socket accepted) : socket(std::move(accepted)) {}
        Tcp::socket socket;
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
            ++connections_;
            read(std::make_shared<Connection>(std::move(socket)));
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
                came_.notify_all();
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
            }};
    }

    asio::io_context io_;
    Tcp::acceptor acceptor_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> connections_ = 0;
    std::mutex mutex_;
    std::condition_variable came_;
    std::deque<Exchange> requests_;
    std::thread thread_;
};

/// A client connection that speaks RESP2.
class Client {
public:
    explicit Client(const Tcp::endpoint& address) : socket_(io_) { socket_.connect(address); }

    void send(const std::string& bytes) { asio::write(socket_, asio::buffer(bytes)); }
    /// One line without its end; empty where the connection ended.
    std::string line() {
        std::string text;
        for (char byte = 0; wait() && socket_.read_some(asio::buffer(&byte, 1), failed_) == 1;) {
            if (byte == '\n') return text.substr(0, text.size() - 1);
            text += byte;
        }
        return text;
    }
    bool ended() { return line().empty() && failed_.failed(); }
    std::string ask(const std::vector<std::string>& words) {
        std::string bytes = "*" + std::to_string(words.size()) + "\r\n";
        for (const std::string& word : words)
            bytes += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
        send(bytes);
        return line();
    }

private:
    bool wait() {
        pollfd entry{socket_.native_handle(), POLLIN, 0};
        return poll(&entry, 1, static_cast<int>(std::chrono::milliseconds(kDeadline).count())) == 1;
    }

    asio::io_context io_;
    Tcp::socket socket_;
    boost::system::error_code failed_;
};

/// The built program with its folder; an address that stays the same over restarts.
class Node {
public:
    explicit Node(Json config) : config_(std::move(config)) {
        asio::io_context io;
        // an address of this process alone, so that the port is still free when the program binds it
        const auto own = static_cast<std::uint32_t>(getpid());
        const asio::ip::address_v4 address(0x7f400000u | ((own & 0x3fffu) << 8) | 1u);
        address_ = Tcp::acceptor(io, {address, 0}).local_endpoint();
        config_["listen"] = text_of(address_);
    }
    ~Node() {
        if (pid_ > 0) kill(), wait();
    }

    void start() {
        const std::string path = config_path().string();
        write_config(config_.dump());
        std::filesystem::create_directories(state());
        pid_ = fork();
        if (pid_ == 0) {
            setenv("NODE_CONFIG", path.c_str(), 1);
            setenv("NODE_STATE", state().c_str(), 1);
            const int log = ::open(log_path().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(log, 1), dup2(log, 2);
            execl(NODE_PATH, NODE_PATH, static_cast<char*>(nullptr));
            _exit(127);
        }
    }
    void start_ready() {
        start();
        const auto until = std::chrono::steady_clock::now() + kDeadline;
        while (std::chrono::steady_clock::now() < until) try {
                if (Client(address_).ask({"PING"}) == "+PONG") return;
            } catch (const boost::system::system_error&) {
                std::this_thread::sleep_for(10ms);
            }
        FAIL() << "not ready: " << log();
    }
    void kill() { ::kill(pid_, SIGKILL); }
    void terminate() { ::kill(pid_, SIGTERM); }
    /// Puts another file in the place of the configuration and tells the program.
    void reload(const std::string& text) {
        write_config(text);
        ::kill(pid_, SIGHUP);
    }
    /// How it ended, as waitpid tells it.
    int wait() {
        int status = 0;
        waitpid(std::exchange(pid_, 0), &status, 0);
        return status;
    }
    pid_t pid() const { return pid_; }
    const Tcp::endpoint& address() const { return address_; }
    Client client() const { return Client(address_); }
    bool refuses() const {
        try {
            Client{address_};
            return false;
        } catch (const boost::system::system_error&) {
            return true;
        }
    }
    std::filesystem::path state() const { return folder_.path() / "state"; }
    std::filesystem::path log_path() const { return folder_.path() / "log"; }
    std::string log() const {
        std::ifstream stream(log_path());
        return {std::istreambuf_iterator<char>(stream), {}};
    }
    bool logs(const std::string& text) const {
        const auto until = std::chrono::steady_clock::now() + kDeadline;
        while (log().find(text) == std::string::npos) {
            if (std::chrono::steady_clock::now() > until) return false;
            std::this_thread::sleep_for(10ms);
        }
        return true;
    }
    Json& config() { return config_; }

private:
    std::filesystem::path config_path() const { return folder_.path() / "config.json"; }
    void write_config(const std::string& text) const {
        const auto fresh = folder_.path() / "config.new";
        std::ofstream(fresh) << text;
        std::filesystem::rename(fresh, config_path());
    }

    TemporaryFolder folder_;
    Json config_;
    Tcp::endpoint address_;
    pid_t pid_ = 0;
};

}  // namespace lockgw
