/// Carries out an AskPlan: requests to an agent over one connection, or two while the first is overdue.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "membership/agent.hpp"
#include "membership/ask_plan.hpp"

namespace lockgw {

class Asker {
public:
    struct Request {
        boost::beast::http::verb verb = boost::beast::http::verb::get;
        std::string path, body;
        AskPlan::Span hold{0};  ///< how long the agent may keep the answer back
    };
    /// What to ask under this number; called right before it is written.
    using Make = std::function<Request(std::uint64_t)>;
    enum class Verdict {
        Good,     ///< there is no need to ask the same again
        Failed,   ///< it is asked again
        Refused,  ///< the agent has too much to do: asked again after a longer pause
        Later,    ///< judged() will say; nothing is asked meanwhile because of it
    };
    /// What came of it, also of one that was given up.
    using Over = std::function<Verdict(std::uint64_t, const AgentConnection::Answer&)>;

    /// What has come so far of an answer that takes long.
    using Peek = std::function<void(std::uint64_t, const AgentConnection::Answer&)>;

    /// `most_bytes`: of an answer.
    Asker(boost::asio::io_context& io, AskPlan::Limits limits, std::uint64_t seed, std::size_t most_bytes,
        Make make, Over over, Peek peek = {});
    ~Asker();

    /// The first address, or another agent: what is out is given up, and nothing is told of it. Nothing is
    /// asked before `pause` has passed.
    void move_to(const boost::asio::ip::tcp::endpoint& address, AskPlan::Clock::duration pause = {});
    /// The verdict on an answer that was to be judged later. Of one that is over by now it is passed over.
    void judged(std::uint64_t request, bool good);
    /// Whether there is anything to ask.
    void want(bool wanted);
    /// Others from now on; what waits already may be held for as long as it asked for.
    void limits(const AskPlan::Limits& limits);

private:
    using Connection = std::shared_ptr<AgentConnection>;

    void step();
    void arm();
    void begin(std::uint64_t request);
    void over(std::uint64_t request, const AgentConnection::Answer& answer);
    Verdict told(std::uint64_t request, const AgentConnection::Answer& answer);
    void looked_at(std::uint64_t request);
    void leave();
    void ended(std::uint64_t request, AskPlan::End end);

    boost::asio::io_context& io_;
    std::size_t most_bytes_;
    SpareDescriptor spare_descriptor_;  // whoever else has taken all: drains must be heard of
    boost::asio::ip::tcp::endpoint address_;
    AskPlan plan_;
    Make make_;
    Over over_;
    Peek peek_;
    boost::asio::steady_timer timer_;
    std::map<std::uint64_t, Connection> out_;
    Connection spare_;
    bool moved_in_ = false;
};

}  // namespace lockgw
