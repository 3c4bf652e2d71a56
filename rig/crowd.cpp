#include "rig/crowd.hpp"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <iomanip>
#include <memory>
#include <random>
#include <sstream>
#include <thread>

#include "rig/node.hpp"

namespace lockgw::rig {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using Task = asio::awaitable<void>;

namespace {

constexpr auto kAgain = 50ms;  // until one that was closed comes again

/// A connection with the error of its last step, and a time-out that cuts it off.
struct Line {
    explicit Line(asio::io_context& io) : socket(io), timer(io) {}
    Tcp::socket socket;
    asio::steady_timer timer;
    asio::streambuf in{256 * 1024};
    std::string text;  // the last line read
    boost::system::error_code failed;
    bool late = false;
    std::shared_ptr<bool> open = std::make_shared<bool>(true);

    auto token() { return asio::redirect_error(asio::use_awaitable, failed); }
    void within(Clock::duration span) {
        late = false;
        timer.expires_after(span);
        timer.async_wait([this, alive = std::weak_ptr(open)](auto cancelled) {
            if (cancelled || alive.expired()) return;
            late = true;
            boost::system::error_code ignored;
            socket.close(ignored);
        });
    }
    void in_time() { timer.cancel(); }
};

class Player {
public:
    Player(const CrowdPlan& plan, std::uint64_t seed)
        : plan_(plan), random_(seed), until_(Clock::now() + plan.span) {}

    void good() {
        if (plan_.good_per_s > 0)
            spawn(arrivals("good", plan_.good_per_s, plan_.good_tenant, plan_.good_pool));
    }
    void crowds() {
        crowd_ = true;
        for (std::size_t i = 0; i < plan_.hoarders; ++i) spawn(stays("hoarders", command({"PING"}), true));
        for (std::size_t i = 0; i < plan_.silent; ++i) spawn(stays("silent", "", false));
        const std::string whole = enqueue(plan_.good_tenant);
        for (std::size_t i = 0; i < plan_.halves; ++i)
            spawn(stays("halves", whole.substr(0, whole.size() / 2), false));
        for (std::size_t i = 0; i < plan_.announcers; ++i)
            spawn(stays("announcers", "*2\r\n$4\r\nPING\r\n$1000000\r\n" + std::string(8000, 'x'), false));
        for (std::size_t i = 0; i < plan_.pretenders; ++i) spawn(pretends());
        for (std::size_t i = 0; i < plan_.waiting; ++i) spawn(waits());
        for (std::size_t i = 0; i < plan_.slow; ++i) spawn(trickles());
        for (std::size_t i = 0; i < plan_.deaf; ++i) spawn(reads_nothing());
        for (std::size_t i = 0; i < plan_.pipeliners; ++i) spawn(pipelines());
        rate("storm", plan_.storm_per_s, &Player::comes_and_goes);
        rate("keepers", plan_.keepers_per_s, &Player::keeps);
        rate("resets", plan_.resets_per_s, &Player::resets);
        rate("knockers", plan_.knockers_per_s, &Player::knocks);
        if (plan_.flood_per_s > 0)
            spawn(arrivals("flood", plan_.flood_per_s, plan_.flood_tenant, plan_.good_pool));
    }
    Tallies run() {
        io_.run_until(until_ + (crowd_ ? std::chrono::milliseconds(50) : 2 * plan_.patience));
        return tallies_;
    }

private:
    struct Pool {
        std::vector<std::shared_ptr<Line>> resting, kept;
        std::size_t open = 0;
    };

    bool going() const { return Clock::now() < until_; }
    void spawn(Task task) { asio::co_spawn(io_, std::move(task), asio::detached); }
    Task sleep(Clock::duration span) {
        asio::steady_timer timer(io_, span);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    std::string enqueue(const std::string& tenant) {
        char id[17];
        std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(random_()));
        const int cell = plan_.cells[random_() % plan_.cells.size()];
        return command({"ENQUEUE", "0000000000000000", id,
            "c=safe,t=" + tenant + ",d=20000,k=" + id + ",dest=" + std::to_string(cell),
            std::string(plan_.body, 'b')});
    }

    Task connects(Line& line, Tally& tally) {
        line.socket = Tcp::socket(io_);
        line.socket.open(Tcp::v4(), line.failed);
        if (crowd_ && plan_.sources > 1 && !line.failed) {  // 127.128.x.y: beside those of free_endpoint()
            const auto which = static_cast<std::uint32_t>(next_source_++ % plan_.sources);
            line.socket.bind({asio::ip::address_v4(0x7f800000u + which + 1), 0}, line.failed);
        }
        if (!line.failed) co_await line.socket.async_connect(plan_.address, line.token());
        ++(line.failed ? tally.not_connected : tally.connects);
    }
    /// Reads one line into line.text; empty where the connection ended or took too long.
    Task answer(Line& line) {
        line.text.clear();
        const std::size_t length =
            co_await asio::async_read_until(line.socket, line.in, "\r\n", line.token());
        if (line.failed) co_return;
        line.text.assign(asio::buffer_cast<const char*>(line.in.data()), length);
        line.in.consume(length);
    }
    Task counted_answer(Line& line, Tally& tally) {
        co_await answer(line);
        count(line.text, tally);
    }
    Task sends(Line& line, const std::string& bytes) {
        co_await asio::async_write(line.socket, asio::buffer(bytes), line.token());
    }
    static void count(const std::string& text, Tally& tally) {
        if (text.starts_with("+")) ++tally.taken;
        if (text.starts_with("-BUSY")) ++tally.busy;
        if (text.starts_with("-ERR")) ++tally.errors;
    }

    Task arrivals(const char* name, double per_s, std::string tenant, std::size_t most) {
        auto pool = std::make_shared<Pool>();
        std::exponential_distribution<double> gap(per_s);
        auto due = Clock::now();
        while (going()) {
            due += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap(random_)));
            if (due > Clock::now()) co_await sleep(due - Clock::now());
            spawn(one_request(name, tenant, pool, most, due));
        }
    }
    Task one_request(const char* name, std::string tenant, std::shared_ptr<Pool> pool, std::size_t most,
        Clock::time_point due) {
        Tally& tally = tallies_[name];
        ++tally.asked;
        const std::string bytes = enqueue(tenant);
        // one that crosses a close is sent once more on a new connection
        for (int round = 0; round < 2; ++round) {
            std::shared_ptr<Line> line;
            const bool kept = round == 0 && !pool->resting.empty();
            if (kept) {
                line = pool->resting.back();
                pool->resting.pop_back();
            } else {
                while (most > 0 && pool->open >= most && Clock::now() < due + plan_.patience) {
                    close_one(*pool);
                    if (pool->open >= most) co_await sleep(1ms);
                }
                line = std::make_shared<Line>(io_);
                ++pool->open;
            }
            line->within(due + plan_.patience - Clock::now());
            if (!kept) co_await connects(*line, tally);
            if (!kept && line->failed) {
                --pool->open;
                ++tally.timed_out;
                co_return;
            }
            co_await sends(*line, bytes);
            line->text.clear();
            if (!line->failed) co_await answer(*line);
            line->in_time();
            if (!line->text.empty()) {
                count(line->text, tally);
                if (line->text[0] == '+')
                    tally.waits_ms.push_back(
                        std::chrono::duration<double, std::milli>(Clock::now() - due).count());
                rest(*pool, line, most);
                co_return;
            }
            --pool->open;
            if (line->late || !kept) {
                ++(line->late ? tally.timed_out : tally.cut);
                co_return;
            }
        }
        ++tally.cut;
    }
    /// One that its peer has closed makes room in a pool.
    static void close_one(Pool& pool) {
        for (auto* lines : {&pool.kept, &pool.resting})
            for (auto place = lines->begin(); place != lines->end(); ++place) {
                boost::system::error_code failed;
                char byte = 0;
                (*place)->socket.non_blocking(true);
                (*place)->socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, failed);
                if (failed == asio::error::would_block) continue;
                lines->erase(place);
                --pool.open;
                return;
            }
    }
    void rest(Pool& pool, const std::shared_ptr<Line>& line, std::size_t most) {
        if (most == 0) return void(--pool.open);
        const bool kept = std::uniform_real_distribution<double>(0, 1)(random_) < plan_.good_kept;
        (kept ? pool.kept : pool.resting).push_back(line);
    }

    // ---- crowds ----

    /// Sends its bytes and stays until it is closed; then comes again.
    Task stays(const char* name, std::string bytes, bool answered) {
        Tally& tally = tallies_[name];
        while (going()) {
            Line line(io_);
            co_await connects(line, tally);
            if (!line.failed) {
                if (!bytes.empty()) {
                    ++tally.asked;
                    co_await sends(line, bytes);
                }
                if (answered) co_await counted_answer(line, tally);
                while (!line.failed) co_await counted_answer(line, tally);
                ++tally.closed;
            }
            co_await sleep(kAgain);
        }
    }
    Task pretends() {
        Tally& tally = tallies_["pretenders"];
        while (going()) {
            Line line(io_);
            co_await connects(line, tally);
            if (!line.failed) {
                while (going() && !line.failed) {
                    ++tally.asked;
                    const std::string bytes = enqueue(plan_.good_tenant);
                    co_await sends(line, bytes);
                    if (!line.failed) co_await counted_answer(line, tally);
                    if (!line.failed) co_await sleep(1s);
                }
                ++tally.closed;
            }
            co_await sleep(kAgain);
        }
    }
    Task waits() {
        const std::string ping = command({"PING"});
        Tally& tally = tallies_["waiting"];
        ++tally.asked;
        const auto since = Clock::now();
        while (going()) {
            Line line(io_);
            auto again = std::chrono::milliseconds(20 + random_() % 30);
            line.within(plan_.patience);
            co_await connects(line, tally);
            const std::string bytes = enqueue(plan_.good_tenant);
            if (plan_.waiting_late >
                0ms) {  // from its PONG on: a place is taken, not one in the kernel's queue
                if (!line.failed) co_await sends(line, ping);
                if (!line.failed) co_await answer(line);
                if (!line.failed) co_await sleep(plan_.waiting_late);
            }
            if (!line.failed) co_await sends(line, bytes);
            line.text.clear();
            if (!line.failed) co_await answer(line);
            line.in_time();
            if (line.text.starts_with("+")) {
                ++tally.taken;
                tally.waits_ms.push_back(
                    std::chrono::duration<double, std::milli>(Clock::now() - since).count());
                if (tally.taken == plan_.waiting && plan_.good_per_s <= 0) io_.stop();
                co_return;
            }
            if (line.text.starts_with("-BUSY ")) {
                ++tally.busy;
                again = std::chrono::milliseconds(std::stoi(line.text.substr(6)));
            } else {
                ++(line.late ? tally.timed_out : tally.cut);
            }
            co_await sleep(again);
        }
    }
    Task trickles() {
        Tally& tally = tallies_["slow"];
        while (going()) {
            Line line(io_);
            const std::string bytes = enqueue(plan_.good_tenant);
            co_await connects(line, tally);
            if (!line.failed) {
                ++tally.asked;
                for (std::size_t i = 0; i < bytes.size() && !line.failed; ++i) {
                    co_await asio::async_write(line.socket, asio::buffer(&bytes[i], 1), line.token());
                    co_await sleep(50ms);
                }
                ++tally.closed;
            }
            co_await sleep(kAgain);
        }
    }
    Task reads_nothing() {
        Tally& tally = tallies_["deaf"];
        while (going()) {
            Line line(io_);
            co_await connects(line, tally);
            if (!line.failed) {
                const std::string bytes = command({"PING", std::string(60'000, 'd')});
                while (!line.failed) {
                    ++tally.asked;
                    co_await sends(line, bytes);
                }
                ++tally.closed;
            }
            co_await sleep(kAgain);
        }
    }
    Task pipelines() {
        Tally& tally = tallies_["pipeliners"];
        while (going()) {
            Line line(io_);
            co_await connects(line, tally);
            if (!line.failed) {
                constexpr int kAtOnce = 10'000;
                std::string bytes;
                for (int i = 0; i < kAtOnce; ++i) bytes += enqueue(plan_.good_tenant);
                tally.asked += kAtOnce;
                spawn(sends_beside(line, std::move(bytes)));
                for (int i = 0; i < kAtOnce && !line.failed; ++i) co_await counted_answer(line, tally);
                ++tally.closed;
                boost::system::error_code ignored;
                line.socket.shutdown(Tcp::socket::shutdown_both, ignored);
                co_await sleep(kAgain);  // its sending ends first
            }
            co_await sleep(kAgain);
        }
    }
    /// Beside the reading of its line, which outlives it.
    Task sends_beside(Line& line, std::string bytes) {
        boost::system::error_code ignored;
        co_await asio::async_write(
            line.socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ignored));
    }

    void rate(const char* name, std::size_t per_s, Task (Player::*one)(Tally&)) {
        if (per_s > 0) spawn(comes(name, per_s, one));
    }
    Task comes(const char* name, std::size_t per_s, Task (Player::*one)(Tally&)) {
        Tally& tally = tallies_[name];
        auto due = Clock::now();
        while (going()) {
            due += std::chrono::nanoseconds(1'000'000'000 / per_s);
            if (due > Clock::now()) co_await sleep(due - Clock::now());
            spawn((this->*one)(tally));
        }
    }
    Task comes_and_goes(Tally& tally) {
        Line line(io_);
        line.within(plan_.patience);
        co_await connects(line, tally);
        if (!line.failed) {
            co_await answer(line);
            if (!line.late) ++tally.closed;
        }
        line.in_time();
    }
    Task keeps(Tally& tally) {
        Line line(io_);
        ++tally.asked;
        line.within(plan_.patience);
        co_await connects(line, tally);
        if (line.failed) co_return void(++tally.timed_out);
        const std::string bytes = enqueue(plan_.good_tenant);
        co_await sends(line, bytes);
        if (!line.failed) co_await counted_answer(line, tally);
        line.in_time();
        if (line.late) ++tally.timed_out;
        while (!line.failed) co_await answer(line);
        ++tally.closed;
    }
    Task resets(Tally& tally) {
        Line line(io_);
        co_await connects(line, tally);
        if (line.failed) co_return;
        boost::system::error_code ignored;
        line.socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    Task knocks(Tally& tally) {
        Line line(io_);
        co_await connects(line, tally);
    }

    const CrowdPlan& plan_;
    std::mt19937_64 random_;
    Clock::time_point until_;
    bool crowd_ = false;
    std::size_t next_source_ = 0;
    Tallies tallies_;
    asio::io_context io_{1};  // last: what is under way is taken down first
};

}  // namespace

double Tally::quantile(double part) const {
    if (waits_ms.empty()) return 0;
    std::vector<double> sorted = waits_ms;
    std::sort(sorted.begin(), sorted.end());
    return sorted[static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1))];
}

Tallies play(const CrowdPlan& plan) {
    Tallies all;
    Player crowds(plan, plan.seed + 1);
    std::thread beside([&crowds, &all] {
        crowds.crowds();
        all = crowds.run();
    });
    Player good(plan, plan.seed);
    good.good();
    const Tallies own = good.run();
    beside.join();
    all.insert(own.begin(), own.end());
    return all;
}

std::string table_of(const Tallies& tallies) {
    std::ostringstream out;
    out << std::left << std::setw(12) << "clients" << std::right;
    for (const char* head : {"connects", "failed", "closed", "asked", "taken", "busy", "errors", "late",
             "cut", "share", "p50 ms", "p99 ms"})
        out << std::setw(10) << head;
    out << '\n' << std::fixed;
    for (const auto& [name, one] : tallies) {
        out << std::left << std::setw(12) << name << std::right;
        for (const auto value : {one.connects, one.not_connected, one.closed, one.asked, one.taken, one.busy,
                 one.errors, one.timed_out, one.cut})
            out << std::setw(10) << value;
        out << std::setprecision(3) << std::setw(10) << one.served_share() << std::setprecision(2)
            << std::setw(10) << one.quantile(0.5) << std::setw(10) << one.quantile(0.99) << '\n';
    }
    return out.str();
}

nlohmann::json json_of(const Tallies& tallies) {
    nlohmann::json all = nlohmann::json::object();
    for (const auto& [name, one] : tallies)
        all[name] = {{"connects", one.connects}, {"not_connected", one.not_connected}, {"closed", one.closed},
            {"asked", one.asked}, {"taken", one.taken}, {"busy", one.busy}, {"errors", one.errors},
            {"timed_out", one.timed_out}, {"cut", one.cut}, {"served_share", one.served_share()},
            {"p50_ms", one.quantile(0.5)}, {"p99_ms", one.quantile(0.99)}};
    return all;
}

}  // namespace lockgw::rig
