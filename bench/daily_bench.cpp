// Daily running, measured with the built program between stand-ins: how soon the console answers, idle and
// under overload, in one run; how long after a ban's yes the last call begins; how soon it serves again.
//   lockgw_bench_daily PROGRAM
#include <algorithm>
#include <atomic>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <memory>
#include <thread>
#include <vector>

#include "config/address.hpp"
#include "rig/directory.hpp"
#include "rig/node.hpp"
#include "rig/targets.hpp"

namespace {

using namespace lockgw;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using Tcp = boost::asio::ip::tcp;

double ms(Clock::duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

double quantile(std::vector<double> all, double share) {
    std::sort(all.begin(), all.end());
    return all[static_cast<std::size_t>(share * static_cast<double>(all.size() - 1))];
}

class Bench {
public:
    explicit Bench(const std::string& program)
        : targets_(3), node_(rig::make_config("127.0.0.1:1", directory_.address()), program) {
        boost::asio::io_context io;
        console_ = Tcp::acceptor(io, {node_.address().address(), 0}).local_endpoint();
        node_.config()["console"] = rig::text_of(console_);
        node_.config()["settings"]["limits"]["most_held"] = 4000;
        for (std::size_t i = 0; i < 3; ++i)
            directory_.put({{"id", "s-" + std::to_string(i)}, {"host_port", targets_.address(i)},
                {"locality", "a"}, {"flavor", "shop"}, {"cell", 7}, {"phase", "in_service"}, {"size", 1.0},
                {"up_since_ms", 0}});
        node_.start_ready();
    }
    ~Bench() {
        stopping_ = true;
        for (std::thread& one : crowd_) one.join();
    }

    /// The time of one call.
    double call(const char* verb, const std::string& path) const {
        const auto from = Clock::now();
        boost::asio::io_context io;
        Tcp::socket socket(io);
        socket.connect(console_);
        boost::asio::write(socket,
            boost::asio::buffer(std::string(verb) + " /control/" + path + " HTTP/1.1\r\nHost: x\r\n\r\n"));
        std::string answer;
        boost::system::error_code ended;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ended);
        if (answer.find(" 200 ") == std::string::npos) std::printf("no: %s", answer.c_str());
        return ms(Clock::now() - from);
    }
    std::vector<double> calls(int count) const {
        std::vector<double> all;
        for (int i = 0; i < count; ++i) {
            all.push_back(call("GET", "ready"));
            std::this_thread::sleep_for(2ms);
        }
        return all;
    }
    void crowd(int clients) {
        for (int i = 0; i < clients; ++i) crowd_.emplace_back([this, i] { hammer(i); });
    }
    /// From the yes of a ban to the first byte of the last call there; 0 where none came after it.
    double last_call_after_ban() {
        const auto before = targets_.calls().size();
        call("PUT", "targets/s-0/offline");
        const auto yes = Clock::now();
        std::this_thread::sleep_for(100ms);
        double last = 0;
        const auto all = targets_.calls();
        for (std::size_t i = before; i < all.size(); ++i)
            if (all[i].target == 0 && all[i].first_byte > yes)
                last = std::max(last, ms(all[i].first_byte - yes));
        call("PUT", "targets/s-0/online");
        std::this_thread::sleep_for(50ms);
        return last;
    }
    /// From the call back to the first PONG, after a drain that is over.
    double back_to_service() {
        call("PUT", "out-of-service");
        std::this_thread::sleep_for(2500ms);
        const auto from = Clock::now();
        call("PUT", "in-service");
        while (true) try {
                if (rig::Client(node_.address()).ask({"PING"}) == "+PONG") return ms(Clock::now() - from);
            } catch (const boost::system::system_error&) {
            }
    }
    std::uint64_t handed_in() const { return handed_in_; }

private:
    void hammer(int who) {
        std::unique_ptr<rig::Client> client;
        for (int number = 0; !stopping_; ++number) try {
                if (!client) client = std::make_unique<rig::Client>(node_.address());
                char id[17];
                std::snprintf(id, sizeof id, "%08x%08x", who + 1, number);
                if (client->ask({"ENQUEUE", "0", id, "c=safe,t=acme,d=5000,dest=7", "B"}).empty())
                    client.reset();
                ++handed_in_;
            } catch (const boost::system::system_error&) {
                client.reset();
            }
    }

    rig::Directory directory_;
    rig::Targets targets_;
    rig::Node node_;
    Tcp::endpoint console_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::uint64_t> handed_in_ = 0;
    std::vector<std::thread> crowd_;
};

}  // namespace

int main(int count, char** words) {
    if (count != 2) return std::printf("lockgw_bench_daily PROGRAM\n"), 2;
    Bench bench(words[1]);
    const auto idle = bench.calls(300);
    std::vector<double> back;
    for (int i = 0; i < 5; ++i) back.push_back(bench.back_to_service());
    bench.crowd(64);
    std::this_thread::sleep_for(500ms);
    const auto from = Clock::now();
    const auto before = bench.handed_in();
    const auto busy = bench.calls(300);
    const double rate = 1000.0 * static_cast<double>(bench.handed_in() - before) / ms(Clock::now() - from);
    std::vector<double> after;
    for (int i = 0; i < 40; ++i) after.push_back(bench.last_call_after_ban());
    std::printf(
        "console, ms: idle p50 %.2f p99 %.2f; with 64 clients, %.0f messages/s: p50 %.2f p99 %.2f; p99 ratio "
        "%.1f\n",
        quantile(idle, 0.5), quantile(idle, 0.99), rate, quantile(busy, 0.5), quantile(busy, 0.99),
        quantile(busy, 0.99) / quantile(idle, 0.99));
    std::printf("from a ban's yes to the last call there, ms, of 40: p50 %.2f most %.2f\n",
        quantile(after, 0.5), quantile(after, 1.0));
    std::printf("from the call back to service to PONG, ms, of 5: most %.2f\n", quantile(back, 1.0));
}
