/// Whether a front serves its clients, and how it lets them go: out of service, by an operator's order that
/// may be taken back, or for good, at the end of the process.
///
///   In --order out--> Leaving --its time is over--> Out --order in--> In
///                     Leaving --order in--> In
///   any of them --begin_end()--> the same, ending --its time is over, or close()--> closed
///
/// Laws (tests/service_state_test.cpp):
///  1. An order holds from the call on: after `in` nobody is let go, and the door stays open.
///  2. Only the end of the process closes the door, and nothing opens it again.
///  3. A step that comes late, twice, or with nothing to do changes nothing that the state does not call for.
///
/// No I/O, no clock, one thread.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

#include "admission/hand_over.hpp"

namespace lockgw::admission {

class ServiceState {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    enum class Service {
        In,
        Leaving,  ///< PING says no, and messages are still taken in
        Out,      ///< what still comes is turned away
    };
    /// What is to be done now. At most one of `let_all_go` and `close_door` is set, and then no step follows.
    struct Step {
        std::size_t let_go = 0;  ///< so many of those that rest
        bool let_all_go = false;
        bool close_door = false;
        std::optional<Span> next;  ///< until the next step is due
    };

    Service service() const { return service_; }
    bool ending() const { return ending_; }
    bool closed() const { return closed_; }

    /// An operator's order. `plan`: how clients are let go, for an order out. True where the first step is
    /// due at once; false where any step that was to come has become void, or the end decides.
    bool order(bool in_service, const HandOver& plan, TimePoint now);
    /// The process ends: the first step is due at once. No order stops that.
    void begin_end(const HandOver& plan, TimePoint now);
    /// The door is closed for good.
    void close();
    /// What is due now. `resting`: connections with no request.
    Step step(std::size_t resting, TimePoint now);

private:
    void begin(const HandOver& plan, TimePoint now);

    Service service_ = Service::In;
    bool ending_ = false, closed_ = false;
    std::optional<HandOver> plan_;  ///< while clients are being let go
    TimePoint since_{};             ///< when that began
};

}  // namespace lockgw::admission
