#include "rig/tier/partner.hpp"

#include <algorithm>
#include <utility>

namespace lockgw::rig::tier {

using namespace std::chrono_literals;

namespace {

constexpr auto kRefresh = 500ms;  // a report of what is left is as old as this at most
constexpr std::size_t kMostCalls = 2'000'000;

double seconds(Clock::duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

void Partner::Allowance::fill(Clock::time_point now) {
    const double most = std::max(1.0, limit);
    left = std::min(most, left + seconds(now - filled) * limit);
    filled = now;
    if (now - told > kRefresh) told = now, told_left = left / most;
}

Partner::Partner(boost::asio::io_context& io, const Scenario& scenario, Delivered delivered)
    : scenario_(scenario), delivered_(std::move(delivered)) {
    std::shared_ptr<Allowance> shared;
    for (std::size_t i = 0; i < scenario.targets; ++i) {
        auto target = std::make_shared<Target>();
        if (!shared || scenario.apart) {
            shared = std::make_shared<Allowance>();
            shared->limit = shared->usual = scenario.limit;
            shared->left = std::max(1.0, scenario.limit);
            shared->filled = Clock::now();
        }
        target->allowance = shared;
        target->server =
            std::make_unique<Server>(io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0),
                [this, i](const auto& peer, const Request& request, auto) { handle(i, peer, request); });
        target->server->limit(scenario.connections,
            std::chrono::milliseconds(static_cast<std::int64_t>(scenario.idle_s * 1000)));
        target->server->on_accept = [this] {
            if (on_accept) on_accept();
        };
        targets_.push_back(std::move(target));
    }
}

Partner::~Partner() {
    for (const auto& one : targets_) one->over = true, one->waiting.clear();
}

void Partner::limit(double times) {
    for (const auto& one : targets_) one->allowance->limit = one->allowance->usual * times;
}

std::uint64_t Partner::connections() const {
    std::uint64_t all = 0;
    for (const auto& one : targets_) all += static_cast<std::uint64_t>(one->server->accepted());
    return all;
}

std::uint64_t Partner::reset_above_limit() const {
    std::uint64_t all = 0;
    for (const auto& one : targets_) all += static_cast<std::uint64_t>(one->server->reset_above_limit());
    return all;
}

std::string Partner::report(Allowance& allowance, Clock::time_point now) {
    if (allowance.limit <= 0) return "";
    allowance.fill(now);
    return "X-Load-Report: x0=" + std::to_string(allowance.told_left) +
           ",x1=" + std::to_string(allowance.limit) + "\r\n";
}

void Partner::handle(std::size_t number, const std::shared_ptr<Peer>& peer, const Request& request) {
    const auto place = targets_[number];
    Target& target = *place;
    const auto now = Clock::now();
    Allowance& allowance = *target.allowance;
    bool refused = false;
    if (allowance.limit > 0) {
        allowance.fill(now);
        refused = allowance.left < 1;
        if (refused && scenario_.refused_count) allowance.left = 0;
        if (!refused) allowance.left -= 1;
    }
    const bool full =
        scenario_.at_once > 0 && target.busy >= scenario_.at_once && target.waiting.size() >= scenario_.queue;
    refused |= full;
    if (calls_.size() < kMostCalls)
        calls_.push_back(
            {static_cast<std::uint32_t>(number), static_cast<float>(seconds(now - begun_)), refused});
    const auto go_on = [peer](auto) { peer->read(); };
    if (target.mode == Mode::Hang) return peer->after(120s, [] {});
    if (target.mode == Mode::Errors) return peer->write(answer(500, "", report(allowance, now)), go_on);
    if (refused) return peer->write(answer(503, "", report(allowance, now)), go_on);
    const std::string id(request["X-Call-Id"]);
    if (scenario_.at_once == 0 || target.busy < scenario_.at_once) return serve(place, peer, id);
    target.waiting.push_back([this, place, peer, id] { serve(place, peer, id); });
}

void Partner::serve(
    const std::shared_ptr<Target>& target, const std::shared_ptr<Peer>& peer, const std::string& id) {
    ++target->busy;
    double times = target->slow;
    if (scenario_.cold_s > 0)
        times *= 1 + (scenario_.cold_times - 1) *
                         std::max(0.0, 1 - seconds(Clock::now() - target->began) / scenario_.cold_s);
    const auto span =
        std::chrono::milliseconds(static_cast<std::int64_t>(scenario_.service_ms * times + 0.5));
    // a connection that ends meanwhile frees its place all the same
    struct Place {
        std::shared_ptr<Target> target;
        ~Place() {
            --target->busy;
            if (target->over || target->waiting.empty()) return;
            const auto next = std::move(target->waiting.front());
            target->waiting.pop_front();
            next();
        }
    };
    auto place = std::make_shared<Place>();
    place->target = target;
    peer->after(span, [this, peer, id, place] {
        delivered_(id);
        peer->write(
            answer(200, "", report(*place->target->allowance, Clock::now())), [peer](auto) { peer->read(); });
    });
}

}  // namespace lockgw::rig::tier
