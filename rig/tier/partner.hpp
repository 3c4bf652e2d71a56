/// Targets of one destination: limit, service time, places, queue, connection cap, and what goes wrong there.
///
/// All calls are counted from outside: by target and second, refused ones, ends by message. One loop.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "rig/http.hpp"
#include "rig/tier/scenario.hpp"

namespace lockgw::rig::tier {

class Partner {
public:
    /// Told of each message that took effect, right before its answer is written.
    using Delivered = std::function<void(const std::string& id)>;
    struct Call {
        std::uint32_t target;
        float at_s;
        bool refused;
    };

    Partner(boost::asio::io_context& io, const Scenario& scenario, Delivered delivered);
    /// The loop has ended by then; what it still holds may be dropped after it.
    ~Partner();

    Tcp::endpoint address(std::size_t target) const { return targets_.at(target)->server->address(); }
    /// The clock of the counts starts.
    void begin(Clock::time_point at) { begun_ = at; }

    enum class Mode { Well, Errors, Hang };
    void mode(std::size_t target, Mode mode) { targets_.at(target)->mode = mode; }
    void slow(std::size_t target, double times) { targets_.at(target)->slow = times; }
    void limit(double times);
    void refuse_for(std::size_t target, std::chrono::milliseconds span) {
        targets_.at(target)->server->refuse_for(span);
    }

    void die_for(std::size_t target, std::chrono::milliseconds span) {
        targets_.at(target)->server->die_for(span);
    }

    const std::vector<Call>& calls() const { return calls_; }
    /// It has just joined: slow at first, as the scenario has it.
    void cold(std::size_t target) { targets_.at(target)->began = Clock::now(); }
    std::uint64_t connections() const;
    std::uint64_t reset_above_limit() const;
    /// Called with each connection that comes.
    std::function<void()> on_accept;

private:
    struct Allowance {  // fills evenly, holds a second's worth
        double limit = 0, usual = 0, left = 0, told_left = 1;
        Clock::time_point filled{}, told{};
        void fill(Clock::time_point now);
    };
    struct Target {
        std::unique_ptr<Server> server;
        std::shared_ptr<Allowance> allowance;
        Mode mode = Mode::Well;
        double slow = 1;
        Clock::time_point began{};
        std::size_t busy = 0;
        bool over = false;  // nothing that waits is served any more
        std::deque<std::function<void()>> waiting;
    };
    void handle(std::size_t target, const std::shared_ptr<Peer>& peer, const Request& request);
    void serve(
        const std::shared_ptr<Target>& target, const std::shared_ptr<Peer>& peer, const std::string& id);
    std::string report(Allowance& allowance, Clock::time_point now);

    const Scenario& scenario_;
    Delivered delivered_;
    Clock::time_point begun_ = Clock::now();
    std::vector<std::shared_ptr<Target>> targets_;
    std::vector<Call> calls_;
};

}  // namespace lockgw::rig::tier
