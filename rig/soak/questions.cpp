#include "rig/soak/questions.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <utility>

#include "rig/node.hpp"

namespace lockgw::rig::soak {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr const char* kLineEnd = "\r\n";

struct Question {
    Question(asio::io_context& io, std::string text) : socket(io), out(std::move(text)) {}
    Tcp::socket socket;
    std::string out, in;
};

/// `on_answer`: the first line; empty where the connection failed or ended before.
void ask(asio::io_context& io, const Tcp::endpoint& address, std::string text,
    std::function<void(const std::string&)> on_answer) {
    const auto question = std::make_shared<Question>(io, std::move(text));
    question->socket.async_connect(address, [question, on_answer](auto failed) {
        if (failed) return on_answer("");
        asio::async_write(question->socket, asio::buffer(question->out), [](auto, std::size_t) {});
        asio::async_read_until(question->socket, asio::dynamic_buffer(question->in), kLineEnd,
            [question, on_answer](auto ended, std::size_t length) {
                on_answer(ended ? "" : question->in.substr(0, length - std::string(kLineEnd).size()));
            });
    });
}

}  // namespace

void ask_ping(
    asio::io_context& io, const Tcp::endpoint& forwarder, std::function<void(const std::string&)> on_answer) {
    ask(io, forwarder, command({"PING"}), std::move(on_answer));
}

void give_order(asio::io_context& io, const Tcp::endpoint& console, const std::string& order,
    std::function<void(bool)> on_answer) {
    const std::string call = "PUT /control/" + order + " HTTP/1.1\r\nHost: soak\r\nContent-Length: 0\r\n\r\n";
    ask(io, console, call, [on_answer = std::move(on_answer)](const std::string& line) {
        on_answer(line.find(" 200 ") != std::string::npos);
    });
}

}  // namespace lockgw::rig::soak
