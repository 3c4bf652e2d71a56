/// Carries out a PollSchedule: sends requests to an agent, each over a connection of its own; a second one
/// while the first is overdue.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/timer.hpp"
#include "discovery/agent_connection.hpp"
#include "discovery/poll_schedule.hpp"

namespace lockgw {

class Poller {
public:
    struct Request {
        boost::beast::http::verb verb = boost::beast::http::verb::get;
        std::string path, body;
        PollSchedule::Duration hold{0};  ///< how long the agent may hold the answer back
    };
    /// Returns the content of the request with this number; called immediately before it is sent.
    using MakeRequest = std::function<Request(std::uint64_t)>;
    enum class Verdict {
        Accepted,    ///< the request succeeded; nothing has to be retried
        Rejected,    ///< the answer is not usable; the request is retried
        Overloaded,  ///< the agent is overloaded; the request is retried after a longer delay
        Pending,     ///< finish_processing() follows; no second request is started in the meantime
    };
    /// Evaluates the answer to a request, also what has arrived for a cancelled one (its verdict is
    /// ignored).
    using OnAnswer = std::function<Verdict(std::uint64_t, const AgentConnection::Answer&)>;

    /// Receives the part that has arrived of an answer that is overdue.
    using OnPartialAnswer = std::function<void(std::uint64_t, const AgentConnection::Answer&)>;

    /// `max_bytes` limits the body of an answer. Exceptions of `on_answer` and `on_partial_answer` are
    /// logged; for `on_answer` the verdict is then Rejected.
    Poller(boost::asio::io_context& io, PollSchedule::Limits limits, std::uint64_t seed,
        std::size_t max_bytes, MakeRequest make_request, OnAnswer on_answer,
        OnPartialAnswer on_partial_answer = {});
    ~Poller();

    /// Sets the first agent or another one. Requests in flight are cancelled without calling a handler. The
    /// first request is sent after `delay` at the earliest.
    void set_agent(const boost::asio::ip::tcp::endpoint& address, PollSchedule::Clock::duration delay = {});
    /// The result of an answer with the verdict Pending. Ignored if the request was removed in the meantime.
    void finish_processing(std::uint64_t request, bool accepted);
    /// Whether there is anything to poll for.
    void set_enabled(bool enabled);
    /// Replaces the limits. A request in flight keeps the hold that it was sent with.
    void set_limits(const PollSchedule::Limits& limits);

private:
    using Connection = std::shared_ptr<AgentConnection>;

    void run_schedule();
    void arm_timer();
    void start_request(std::uint64_t request);
    void cancel_request(std::uint64_t request);
    void handle_answer(std::uint64_t request, const AgentConnection::Answer& answer);
    Verdict evaluate(std::uint64_t request, const AgentConnection::Answer& answer);
    void inspect_partial(std::uint64_t request);
    void cancel_all();
    void finish(std::uint64_t request, PollSchedule::Result result);

    boost::asio::io_context& io_;
    std::size_t max_bytes_;
    // reserved so that drains are still received when all other descriptors are in use
    SpareDescriptor spare_descriptor_;
    boost::asio::ip::tcp::endpoint address_;
    PollSchedule schedule_;
    MakeRequest make_request_;
    OnAnswer on_answer_;
    OnPartialAnswer on_partial_answer_;
    Timer timer_;
    std::map<std::uint64_t, Connection> in_flight_;
    std::uint64_t agent_changes_ = 0;
    bool has_agent_ = false;
};

}  // namespace lockgw
