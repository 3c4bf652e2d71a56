/// A stand-in target that speaks the whole table of outcomes of the protocol page, by the true state of each
/// message, behind a link with faults: each direction is delayed, answers are copied, cut or never written,
/// idle connections are ended by an answer to no call.
///
/// One event loop; the observations are written on its thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "rig/soak/observations.hpp"

namespace lockgw::rig::soak {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/// Shares are of calls, unless said otherwise.
struct LinkFaults {
    Milliseconds one_way{0};   ///< delay of each direction
    double copied = 0;         ///< share of answers that are written twice
    Milliseconds copy_lag{0};  ///< at most so long behind the answer, 1 ms at least
    double reset = 0;          ///< the connection is reset instead of an answer
    double refused = 0;        ///< answered 503
    double told_to_wait = 0;   ///< answered 429 with a wait; until it is over all calls are refused
    double failed = 0;         ///< answered 500; half of these ran
    double over_slots = 0;     ///< answered 503 with X-Over-Slots
    double cut = 0;            ///< share of answers that break off, and the connection with them
    double closing = 0;        ///< share of answers with `Connection: close`
    double unasked = 0;        ///< share of answers behind which the idle connection is ended by a 408 or 503
    double hung = 0;           ///< never answered
    Milliseconds service{40};  ///< a call takes up to so long
};

class FaultyTarget {
public:
    /// Whether a notice has been reported for this message.
    using Ended = std::function<bool(const std::string& id)>;

    FaultyTarget(asio::io_context& io, std::size_t number, const LinkFaults& faults, std::mt19937_64& random,
        Observations& observations, Ended ended);
    Tcp::endpoint address() const { return address_; }
    /// Its process dies: its connections are reset, also those with calls out, and new ones are refused until
    /// it is back.
    void crash_for(Milliseconds span);
    /// Calls are taken and none is answered until then.
    void hang_until(Clock::time_point until) { hangs_until_ = until; }

private:
    class Connection;
    void bind(Tcp::acceptor& acceptor) const;
    void listen();
    void accept();

    asio::io_context& io_;
    std::size_t number_;
    const LinkFaults& faults_;
    std::mt19937_64& random_;
    Observations& observations_;
    Ended ended_;
    Clock::time_point shut_until_{}, hangs_until_{};
    Tcp::endpoint address_{asio::ip::address_v4::loopback(), 0};
    Tcp::acceptor port_holder_;  ///< never listens: while the target is down nobody else can take its port
    Tcp::acceptor acceptor_;
    bool down_ = true;
    std::vector<std::weak_ptr<Connection>> connections_;
};

}  // namespace lockgw::rig::soak
