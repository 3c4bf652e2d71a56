/// Open-loop clients: messages come at each forwarder by chance, whatever became of those before. A client
/// whose forwarder is gone, stays silent for 400 ms or says -BUSY hands its message in at another one, twice
/// at most.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "rig/http.hpp"
#include "rig/tier/scenario.hpp"

namespace lockgw::rig::tier {

/// A message from its first try on.
struct Job {
    double begun_s = 0;       ///< since the start of traffic
    double delivered_s = -1;  ///< its first effect; below 0: none
    int effects = 0, tries = 0;
};

class Clients {
public:
    Clients(boost::asio::io_context& io, const Scenario& scenario, std::vector<Tcp::endpoint> forwarders);
    /// Traffic begins at `at` and ends after the scenario's span.
    void begin(Clock::time_point at);
    void delivered(const std::string& id);
    const std::vector<Job>& jobs() const { return jobs_; }

private:
    struct Line;
    void arrive(std::size_t forwarder);
    void hand_in(std::size_t job, std::size_t forwarder);
    void again(std::size_t job, std::chrono::milliseconds wait);

    boost::asio::io_context& io_;
    const Scenario& scenario_;
    std::vector<Tcp::endpoint> forwarders_;
    std::vector<std::vector<std::shared_ptr<Line>>> idle_;
    std::vector<std::unique_ptr<boost::asio::steady_timer>> due_;
    std::vector<double> rate_;
    std::mt19937_64 random_;
    Clock::time_point begun_{};
    std::vector<Job> jobs_;
    std::unordered_map<std::string, std::size_t> job_of_;
    std::uint64_t ids_ = 0;
};

}  // namespace lockgw::rig::tier
