/// The listener and its client connections: RESP2 requests in, one answer for each.
///
/// Anybody may connect, and send anything or nothing. Who may hold a place, who gives one up, whose request
/// is taken next and who is turned away is decided in src/admission (docs/admission.md); this carries it out.
/// Every connection gets an answer or a close in time.
#pragma once

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/door.hpp"
#include "admission/fair_queue.hpp"
#include "admission/memory.hpp"
#include "admission/overload.hpp"
#include "admission/read_turns.hpp"
#include "admission/service_state.hpp"
#include "base/timer.hpp"
#include "core/frontend.hpp"
#include "fronts/resp2/enqueue.hpp"
#include "fronts/resp2/listener.hpp"
#include "fronts/resp2/resp.hpp"
#include "fronts/resp2/session.hpp"

namespace lockgw {

/// What happened at the door since the start.
struct DoorCounters {
    std::uint64_t accepted = 0, accept_failed = 0;
    std::uint64_t refused = 0;   ///< requests that had waited too long: -BUSY
    std::uint64_t gone = 0;      ///< requests whose client had given up
    std::uint64_t too_much = 0;  ///< requests and half commands for want of memory
    std::uint64_t served = 0;    ///< requests handed on
    std::array<std::uint64_t, admission::kClasses> for_room{}, timed_out{};
};

class Clients final : public Frontend {
public:
    Clients(asio::io_context& io, const Config& config, std::size_t most_connections, Intake& intake);
    ~Clients() override;

    void listen() override;
    void hand_over_clients(const admission::HandOver& plan) override;
    void drain() override;
    void stop_reading() override;
    void refuse_unread() override;
    bool has_pending_replies() const override;
    void set_in_service(bool in_service) override;
    bool empty() const override {
        return door_.count() == door_.count(admission::Class::Leaving) && refusing_sessions_ == 0;
    }
    Json status() const override;
    const DoorCounters& counters() const { return counters_; }

private:
    friend class ClientSession;
    using Session = std::shared_ptr<ClientSession>;
    using Service = admission::ServiceState::Service;
    struct Request {
        Session session;
        Message message;
        admission::Owner owner = 0;
        std::size_t bytes = 0;
    };

    // connections
    void accept();
    void accept_waiting(std::size_t most);
    void pause_accepting(std::chrono::milliseconds span);
    void accept_failed(const boost::system::error_code& why);
    void make_room();
    void send_away(const admission::Door::Farewell& farewell);
    void sweep();
    void closed(const ClientSession& session, bool for_room);
    void bound_memory();
    bool give_up_some(admission::Owner owner);
    void read_in_turn(const Session& session);
    void read_turn();
    void hand_on(admission::ServiceState::TimePoint now);
    void let_all_go();
    /// No connection rests any more: each is closed between requests.
    bool closing() const { return service_.closed() || service_.service() == Service::Out; }
    /// The process ends, or hands over.
    bool ending() const { return service_.ending() || service_.closed(); }
    /// Requests that are read now are taken on; otherwise they are refused.
    bool reading() const { return reading_; }
    /// The answer to a request that comes too late for this process.
    std::string refusal();
    bool may_be_sending(const admission::Door::Farewell& farewell) const;
    void tell();

    // requests
    void handle(const Session& session, const resp::Command& command);
    void take_in(const Session& session, const resp::Command& command);
    bool turned_away(const Session& session);
    void queue(Request request);
    void no_longer_waits(const Request& request);
    void work();
    void hand_in(Request request);

    asio::io_context& io_;
    const Config& config_;
    Intake& intake_;
    admission::Door door_;
    admission::Overload overload_;
    admission::FairQueue<Request> waiting_;
    Listener listener_;
    admission::ServiceState service_;
    Timer pause_, sweep_, hand_on_;
    bool accepting_ = false, pausing_ = false, making_room_ = false, working_ = false;
    bool reading_in_turn_ = false, reading_ = true;
    std::unordered_map<admission::Ticket, Session> sessions_;
    std::size_t refusing_sessions_ = 0;  // that still answer, but only with refusals
    admission::MemoryShares memory_;     // of commands that have not ended, and of requests that wait
    admission::ReadTurns<Session> read_turns_;
    DoorCounters counters_, told_;
    std::chrono::steady_clock::time_point told_at_{};
    std::array<char, 16 * 1024> in_{};  // of the connection that is read just now
};

}  // namespace lockgw
