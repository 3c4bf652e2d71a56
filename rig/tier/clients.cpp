#include "rig/tier/clients.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <istream>

#include "rig/node.hpp"

namespace lockgw::rig::tier {

using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {
constexpr int kTries = 3;
constexpr auto kPatience = 400ms;
constexpr std::size_t kKeptLines = 4;  // idle connections to one forwarder
}  // namespace

struct Clients::Line : std::enable_shared_from_this<Line> {
    explicit Line(asio::io_context& io) : socket(io), timer(io) {}
    Tcp::socket socket;
    asio::steady_timer timer;
    asio::streambuf in;
    std::string out;
    bool fresh = true, over = false;
};

Clients::Clients(asio::io_context& io, const Scenario& scenario, std::vector<Tcp::endpoint> forwarders)
    : io_(io),
      scenario_(scenario),
      forwarders_(std::move(forwarders)),
      idle_(forwarders_.size()),
      random_(scenario.seed) {
    for (std::size_t i = 0; i < forwarders_.size(); ++i) {
        due_.push_back(std::make_unique<asio::steady_timer>(io_));
        rate_.push_back(scenario.rate * (i % 10 == 0 ? scenario.heavy : 1.0));
    }
}

void Clients::begin(Clock::time_point at) {
    begun_ = at;
    asio::post(io_, [this] {
        for (std::size_t i = 0; i < forwarders_.size(); ++i) {
            due_[i]->expires_at(begun_);
            arrive(i);
        }
    });
}

void Clients::arrive(std::size_t forwarder) {
    const double gap = std::exponential_distribution<>(rate_[forwarder])(random_);
    const auto next =
        due_[forwarder]->expiry() + std::chrono::microseconds(static_cast<std::int64_t>(gap * 1e6));
    if (next > begun_ + std::chrono::duration_cast<Clock::duration>(
                            std::chrono::duration<double>(scenario_.seconds)))
        return;
    due_[forwarder]->expires_at(next);
    due_[forwarder]->async_wait([this, forwarder](auto failed) {
        if (failed) return;
        jobs_.push_back({std::chrono::duration<double>(Clock::now() - begun_).count()});
        hand_in(jobs_.size() - 1, forwarder);
        arrive(forwarder);
    });
}

void Clients::again(std::size_t job, std::chrono::milliseconds wait) {
    if (jobs_[job].tries >= kTries || jobs_[job].effects > 0) return;
    const auto timer = std::make_shared<asio::steady_timer>(io_, wait);
    timer->async_wait([this, timer, job](auto) { hand_in(job, random_() % forwarders_.size()); });
}

void Clients::hand_in(std::size_t job, std::size_t forwarder) {
    ++jobs_[job].tries;
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++ids_));
    job_of_[id] = job;
    std::shared_ptr<Line> line;
    if (!idle_[forwarder].empty()) {
        line = idle_[forwarder].back();
        idle_[forwarder].pop_back();
        line->fresh = false;
    } else {
        line = std::make_shared<Line>(io_);
    }
    line->over = false;
    line->out = command({"ENQUEUE", "0000000000000000", id,
        "c=safe,t=acme,d=5000,k=" + std::string(id) + ",dest=7" + (jobs_[job].tries > 1 ? ",r=1" : ""),
        "BODY"});
    const auto lost = [this, job, line, forwarder] {
        if (std::exchange(line->over, true)) return;
        boost::system::error_code ignored;
        line->timer.cancel(), line->socket.close(ignored);
        again(job, line->fresh ? 100ms : 1ms);  // one that had been closed between two requests
    };
    line->timer.expires_after(kPatience);
    line->timer.async_wait([lost](auto cancelled) {
        if (!cancelled) lost();
    });
    const auto ask = [this, job, line, forwarder, lost] {
        asio::async_write(line->socket, asio::buffer(line->out), [=, this](auto failed, auto) {
            if (failed) return lost();
            asio::async_read_until(line->socket, line->in, "\r\n", [=, this](auto bad, auto) {
                if (bad) return lost();
                if (std::exchange(line->over, true)) return;
                line->timer.cancel();
                std::string said;
                std::istream stream(&line->in);
                std::getline(stream, said);
                if (idle_[forwarder].size() < kKeptLines) idle_[forwarder].push_back(line);
                if (said.starts_with("-BUSY"))
                    again(job, std::chrono::milliseconds(
                                   said.size() > 6 ? std::max(1, std::atoi(said.c_str() + 6)) : 300));
            });
        });
    };
    if (line->socket.is_open()) return ask();
    line->socket.async_connect(forwarders_[forwarder], [lost, ask](auto failed) { failed ? lost() : ask(); });
}

void Clients::delivered(const std::string& id) {
    const auto found = job_of_.find(id);
    if (found == job_of_.end()) return;
    Job& job = jobs_[found->second];
    if (job.effects++ == 0) job.delivered_s = std::chrono::duration<double>(Clock::now() - begun_).count();
}

}  // namespace lockgw::rig::tier
