/// A tier whose forwarders are restarted in turn: by a plan that they settle among themselves, or by a script
/// that asks nobody; what starts processes anew (as an init would), and what was out together, counted from
/// outside: from logs and from processes.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "rig/node.hpp"
#include "rig/tier/scenario.hpp"

namespace lockgw::rig::tier {

struct Working {
    bool asked = false;
    std::size_t allowed = 0;    ///< out at a time
    std::size_t most_out = 0;   ///< leaving, down or returning by the plan at one moment
    std::size_t most_gone = 0;  ///< those, and those that are down or stopped by a fault
    std::size_t broken = 0;     ///< times that one went though as many as allowed were out or long gone
    std::size_t done = 0;
    double took_s = -1;  ///< from the order to the last; below 0: not
    std::vector<std::size_t> out_by_second;
    std::string odd;  ///< the last words of one that ended by itself and not well
};

/// From first sign to last, in seconds of the scenario's clock.
struct Absence {
    std::size_t who = 0;
    double from_s = 0, to_s = 0;
    bool by_plan = true;
};
/// Absences by the plan in the logs (JSON lines of each forwarder); one that does not end lasts until
/// `end_s`.
std::vector<Absence> absences(const std::vector<std::string>& logs, std::int64_t begun_ms, double end_s);
/// What of them was together. A fault counts against one that goes once it is so old that all may know of it.
Working working(std::vector<Absence> all, std::size_t allowed, double end_s);

/// Starts again what ended by itself, after Work::down_s; gives the order, and knows when all are done.
class Supervisor {
public:
    Supervisor(const Scenario& scenario, std::vector<std::unique_ptr<Node>>& nodes);
    ~Supervisor();
    void begin(std::chrono::steady_clock::time_point begun);
    /// Nothing is started any more. Its thread stays until it is destroyed: what a thread has started ends
    /// with it.
    void rest();
    /// Whoever starts or ends nodes besides holds this.
    std::mutex& nodes() { return nodes_lock_; }
    /// Down by a fault: it is not to be started here.
    void by_fault(std::size_t node, bool down);
    double took_s() const { return took_s_; }
    const std::string& odd() const { return odd_; }
    const std::vector<Absence>& scripted() const { return scripted_; }

private:
    void look();
    void order();
    void script();
    double now_s() const;

    const Scenario& scenario_;
    std::vector<std::unique_ptr<Node>>& all_;
    std::mutex nodes_lock_;
    std::vector<bool> faulty_;
    std::vector<double> ended_s_;  // below 0: it runs
    std::chrono::steady_clock::time_point begun_{};
    double took_s_ = -1, ordered_s_ = -1, looked_s_ = 0;
    std::size_t next_ = 0;
    std::vector<Absence> scripted_;
    std::string odd_;
    std::vector<std::size_t> group_;
    bool resting_ = false, ending_ = false;
    std::thread thread_;
};

}  // namespace lockgw::rig::tier
