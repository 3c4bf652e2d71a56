#include "rig/load.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <memory>
#include <utility>

#include "rig/node.hpp"

namespace lockgw::rig {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace {

class Loader {
public:
    explicit Loader(const LoadPlan& plan)
        : plan_(plan),
          clock_(io_),
          next_id_(plan.first_id),
          until_(Clock::now() + plan.span),
          body_(plan.body, 'b') {}

    LoadResult run() {
        for (std::size_t i = 0; i < plan_.connections; ++i) {
            auto line = std::make_unique<Line>(io_);
            line->socket.connect(plan_.address);
            line->socket.set_option(Tcp::no_delay(true));
            lines_.push_back(std::move(line));
        }
        const auto begun = Clock::now();
        until_ = begun + plan_.span;
        if (plan_.per_s > 0) {
            for (const auto& line : lines_) resting_.push_back(line.get());
            due_ = begun;
            tick();
        } else {
            for (const auto& line : lines_) ask(*line, Clock::now());
        }
        io_.run_until(until_ + std::chrono::seconds(20));
        result_.seconds = std::chrono::duration<double>(last_ - begun).count();
        return std::move(result_);
    }

private:
    struct Line {
        explicit Line(asio::io_context& io) : socket(io) {}
        Tcp::socket socket;
        std::string out, in, id;
        Clock::time_point due;
        bool renewed = false;  // for the present request
    };

    bool over() const { return Clock::now() >= until_ || (plan_.most > 0 && result_.asked >= plan_.most); }

    /// Open loop: what is due and finds no connection waits for one, and its wait counts.
    void tick() {
        while (due_ <= Clock::now() && !over()) {
            waiting_.push_back(due_);
            due_ += std::chrono::nanoseconds(static_cast<std::int64_t>(1e9 / plan_.per_s));
        }
        serve();
        if (over()) return;
        clock_.expires_at(due_);
        clock_.async_wait([this](auto cancelled) {
            if (!cancelled) tick();
        });
    }
    void serve() {
        while (!waiting_.empty() && !resting_.empty()) {
            Line& line = *resting_.front();
            resting_.pop_front();
            const auto due = waiting_.front();
            waiting_.pop_front();
            ask(line, due);
        }
    }

    void ask(Line& line, Clock::time_point due) {
        if (over()) return;
        ++result_.asked;
        char id[17];
        std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(next_id_++));
        line.id = id;
        line.due = due;
        const auto cell = plan_.first_cell + static_cast<std::int64_t>(result_.asked) % plan_.cells;
        line.out = command({"ENQUEUE", "0000000000000000", line.id,
            "c=safe,t=acme,d=" + std::to_string(plan_.left_ms) + ",k=" + line.id +
                ",dest=" + std::to_string(cell),
            body_});
        line.renewed = false;
        send(line);
    }
    void send(Line& line) {
        line.in.clear();
        asio::async_write(line.socket, asio::buffer(line.out), [this, &line](auto failed, std::size_t) {
            if (failed) return again(line);
            asio::async_read_until(line.socket, asio::dynamic_buffer(line.in), "\r\n",
                [this, &line](auto error, std::size_t length) {
                    if (error) return again(line);
                    answered(line, length);
                });
        });
    }
    /// A forwarder may close a connection between requests: one that crosses that is sent once more.
    void again(Line& line) {
        if (std::exchange(line.renewed, true)) return void(++result_.failed);
        ++result_.renewed;
        line.socket = Tcp::socket(io_);
        line.socket.async_connect(plan_.address, [this, &line](auto failed) {
            if (failed) return void(++result_.failed);
            boost::system::error_code ignored;
            line.socket.set_option(Tcp::no_delay(true), ignored);
            send(line);
        });
    }
    void answered(Line& line, std::size_t length) {
        last_ = Clock::now();
        if (line.in[0] == '+') {
            ++result_.taken;
            result_.answers_ms.push_back(std::chrono::duration<double, std::milli>(last_ - line.due).count());
            result_.sent.emplace(line.id, line.due);
        } else {
            ++(line.in.starts_with("-BUSY") ? result_.busy : result_.failed);
        }
        line.in.erase(0, length);
        if (plan_.per_s <= 0) return ask(line, Clock::now());
        resting_.push_back(&line);
        serve();
    }

    const LoadPlan& plan_;
    asio::io_context io_{1};
    asio::steady_timer clock_;
    std::uint64_t next_id_;
    Clock::time_point until_, due_, last_ = Clock::now();
    std::string body_;
    std::vector<std::unique_ptr<Line>> lines_;
    std::deque<Line*> resting_;
    std::deque<Clock::time_point> waiting_;
    LoadResult result_;
};

}  // namespace

LoadResult play_load(const LoadPlan& plan) { return Loader(plan).run(); }

double quantile(std::vector<double> values, double part) {
    if (values.empty()) return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

}  // namespace lockgw::rig
