// lockgw_relay: the yardstick of lockgw_scale. It takes ENQUEUEs and passes each on by HTTP as the forwarder
// does, and does nothing else: no journal, no decisions, no limits, no watch, no second try. Started like the
// forwarder (NODE_CONFIG). For loopback measurements only.
#include <utility>  // first: asio/awaitable.hpp wants it
//
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fstream>
#include <iostream>

#include "config/config.hpp"
#include "fronts/resp2/enqueue.hpp"
#include "fronts/resp2/resp.hpp"

namespace lockgw {
namespace {

namespace http = boost::beast::http;
using Task = asio::awaitable<void>;
using asio::use_awaitable;

struct Line {
    explicit Line(asio::io_context& io) : socket(io) {}
    Tcp::socket socket;
    boost::beast::flat_buffer in;
};

class Relay {
public:
    Relay(asio::io_context& io, Config config)
        : io_(io), config_(std::move(config)), acceptor_(io, config_.listen) {}

    /// The whole list once, and a first watch, which is held for good.
    void learn() {
        const Json list = Json::parse(ask("/v1/servers"));
        for (const Json& member : list.at("members"))
            targets_[member.at("cell").get<std::int64_t>()].address =
                tcp_endpoint(member.at("host_port").get<std::string>(), "host_port");
        watch_ = std::make_unique<Line>(io_);
        watch_->socket.connect(config_.discovery.value());
        http::request<http::empty_body> request{http::verb::get,
            "/v1/servers?from=" + std::to_string(list.at("revision").get<std::int64_t>()) + "&hold_ms=60000",
            11};
        http::write(watch_->socket, request);
    }
    void accept() {
        acceptor_.async_accept([this](auto failed, Tcp::socket socket) {
            if (!failed) asio::co_spawn(io_, client(std::move(socket)), asio::detached);
            accept();
        });
    }

private:
    struct Target {
        Tcp::endpoint address;
        std::vector<std::shared_ptr<Line>> idle;
    };

    std::string ask(const std::string& path) {
        Line line(io_);
        line.socket.connect(config_.discovery.value());
        http::request<http::empty_body> request{http::verb::get, path, 11};
        http::response<http::string_body> answer;
        http::write(line.socket, request);
        http::read(line.socket, line.in, answer);
        return answer.body();
    }
    Task client(Tcp::socket socket) {
        socket.set_option(Tcp::no_delay(true));
        resp::Parser parser;
        std::array<char, 16 * 1024> in;
        const std::string taken = resp::simple("OK"), pong = resp::simple("PONG");
        while (true) {
            const std::size_t count = co_await socket.async_read_some(asio::buffer(in), use_awaitable);
            parser.feed({in.data(), count});
            while (const auto command = parser.next()) {
                const bool is_message = command->size() == 5;
                if (is_message) {
                    auto message = message_of(*command, config_, Moment{});
                    asio::co_spawn(io_, call(std::move(message)), asio::detached);
                }
                co_await asio::async_write(socket, asio::buffer(is_message ? taken : pong), use_awaitable);
            }
        }
    }
    Task call(Message message) {
        Target& target = targets_.at(message.destination);
        std::shared_ptr<Line> line;
        if (target.idle.empty()) {
            line = std::make_shared<Line>(io_);
            co_await line->socket.async_connect(target.address, use_awaitable);
            line->socket.set_option(Tcp::no_delay(true));
        } else {
            line = std::move(target.idle.back());
            target.idle.pop_back();
        }
        http::request<http::string_body> request{http::verb::post, "/v1/messages", 11};
        request.set("X-Call-Id", cometspoke::settings::id_text(message.id));
        request.body() = std::move(message.body);
        request.prepare_payload();
        co_await http::async_write(line->socket, request, use_awaitable);
        http::response<http::string_body> answer;
        co_await http::async_read(line->socket, line->in, answer, use_awaitable);
        target.idle.push_back(std::move(line));
    }

    asio::io_context& io_;
    Config config_;
    Tcp::acceptor acceptor_;
    std::map<std::int64_t, Target> targets_;
    std::unique_ptr<Line> watch_;
};

}  // namespace
}  // namespace lockgw

int main() try {
    boost::asio::io_context io(1);
    lockgw::Relay relay(io, lockgw::config_of_environment());
    relay.learn();
    relay.accept();
    io.run();
} catch (const std::exception& bad) {
    std::cerr << "lockgw_relay: " << bad.what() << '\n';
    return 1;
}
