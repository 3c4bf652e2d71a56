// lockgw-plain: a relay that takes messages as the forwarder does and sends each on in a plain order, as a
// baseline for lockgw-tier. It keeps nothing, knows no limits and repeats what was refused or lost.
//
// PLAIN_ORDER: chance; two (the one of two drawn by chance with fewer own calls out); round (in turn from an
// own start); first (of the list). NODE_CONFIG as the forwarder has it; its known list is all that is used.
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kIdle{10'000}, kPause{100}, kLongest{5'000};
constexpr std::size_t kLongestLine = 4096;

Tcp::endpoint endpoint_of(const std::string& text) {
    const auto colon = text.rfind(':');
    return {asio::ip::make_address(text.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

struct Connection {
    explicit Connection(asio::io_context& io) : socket(io) {}
    Tcp::socket socket;
    boost::beast::flat_buffer in;
    Clock::time_point used{};
};
struct Target {
    Tcp::endpoint address;
    std::deque<std::shared_ptr<Connection>> idle;
    int out = 0;
};

class Relay {
public:
    Relay(asio::io_context& io, const nlohmann::json& config, std::string order)
        : io_(io),
          order_(std::move(order)),
          random_(std::strtoull(config.at("seed").get<std::string>().c_str(), nullptr, 16)),
          acceptor_(io, endpoint_of(config.at("listen").get<std::string>())) {
        for (const auto& member : config.at("known").at("members"))
            targets_.push_back({endpoint_of(member.at("host_port").get<std::string>()), {}, 0});
        if (targets_.empty()) throw std::runtime_error("the known list names no target");
        next_ = random_() % targets_.size();
        accept();
    }

private:
    struct Client {
        explicit Client(Tcp::socket taken) : socket(std::move(taken)) {}
        Tcp::socket socket;
        asio::streambuf in{kLongestLine};
        std::vector<std::string> words;
        std::size_t wanted = 0;
    };

    void accept() {
        acceptor_.async_accept([this](auto failed, Tcp::socket socket) {
            if (!failed) read(std::make_shared<Client>(std::move(socket)));
            accept();
        });
    }
    /// Line by line: words of a rig's client hold no line ends.
    void read(const std::shared_ptr<Client>& client) {
        asio::async_read_until(client->socket, client->in, "\r\n", [this, client](auto failed, auto) {
            if (failed) return;
            std::string line;
            std::istream stream(&client->in);
            std::getline(stream, line);
            if (!line.empty() && line.back() == '\r') line.pop_back();
            if (line.starts_with('*'))
                client->wanted = static_cast<std::size_t>(std::atoi(line.c_str() + 1)), client->words.clear();
            else if (!line.starts_with('$'))
                client->words.push_back(line);
            if (client->wanted == 0 || client->words.size() < client->wanted) return read(client);
            client->wanted = 0;
            const bool message = client->words[0] == "ENQUEUE" && client->words.size() >= 5;
            if (message) send(client->words[2], Clock::now() + kLongest);
            const auto said = std::make_shared<std::string>(message ? "+OK\r\n" : "+PONG\r\n");
            asio::async_write(client->socket, asio::buffer(*said), [this, client, said](auto lost, auto) {
                if (!lost) read(client);
            });
        });
    }

    Target& choose() {
        const auto drawn = [this]() -> Target& { return targets_[random_() % targets_.size()]; };
        if (order_ == "first") return targets_.front();
        if (order_ == "round") return targets_[next_++ % targets_.size()];
        Target& one = drawn();
        if (order_ != "two") return one;
        Target& other = drawn();
        return other.out < one.out ? other : one;
    }

    void send(const std::string& id, Clock::time_point until) {
        Target& to = choose();
        ++to.out;
        std::shared_ptr<Connection> line;
        while (!to.idle.empty() && !line) {
            line = to.idle.back(), to.idle.pop_back();
            if (Clock::now() - line->used > kIdle) line.reset();
        }
        if (line) return call(id, until, to, line);
        line = std::make_shared<Connection>(io_);
        line->socket.async_connect(to.address, [this, id, until, &to, line](auto failed) {
            if (failed) return lost(id, until, to);
            line->socket.set_option(Tcp::no_delay(true));
            call(id, until, to, line);
        });
    }
    void call(
        const std::string& id, Clock::time_point until, Target& to, const std::shared_ptr<Connection>& line) {
        const auto request =
            std::make_shared<http::request<http::string_body>>(http::verb::post, "/deliver", 11);
        request->set(http::field::host, "target");
        request->set("X-Call-Id", id);
        request->body() = "BODY";
        request->prepare_payload();
        http::async_write(line->socket, *request, [=, this, &to, kept = request](auto failed, auto) {
            if (failed) return lost(id, until, to);
            const auto answer = std::make_shared<http::response<http::string_body>>();
            http::async_read(line->socket, line->in, *answer, [=, this, &to](auto bad, auto) {
                if (bad) return lost(id, until, to);
                line->used = Clock::now();
                to.idle.push_back(line);
                if (answer->result_int() != 200) return lost(id, until, to);
                --to.out;
            });
        });
    }
    void lost(const std::string& id, Clock::time_point until, Target& to) {
        --to.out;
        if (Clock::now() + kPause > until) return;
        const auto timer = std::make_shared<asio::steady_timer>(io_, kPause);
        timer->async_wait([this, timer, id, until](auto) { send(id, until); });
    }

    asio::io_context& io_;
    std::string order_;
    std::mt19937_64 random_;
    Tcp::acceptor acceptor_;
    std::deque<Target> targets_;
    std::size_t next_ = 0;
};

}  // namespace

int main() try {
    const char* path = std::getenv("NODE_CONFIG");
    const char* order = std::getenv("PLAIN_ORDER");
    if (path == nullptr) throw std::runtime_error("NODE_CONFIG is not set");
    std::ifstream stream(path);
    asio::io_context io(1);
    const Relay relay(io, nlohmann::json::parse(stream), order == nullptr ? "chance" : order);
    io.run();
    return 0;
} catch (const std::exception& bad) {
    std::cerr << "lockgw-plain: " << bad.what() << '\n';
    return 1;
}
