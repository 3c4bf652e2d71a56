/// A stand-in target behind a link with faults: each direction is delayed, answers are written a second time
/// some time later, and connections are reset while a call is out.
///
/// One event loop; the observations are written on its thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <random>
#include <set>

#include "rig/soak/observations.hpp"

namespace lockgw::rig::soak {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

struct LinkFaults {
    std::chrono::milliseconds one_way{0};   ///< delay of each direction
    double copied = 0;                      ///< share of answers that are written twice
    std::chrono::milliseconds copy_lag{0};  ///< at most so long behind the answer, 1 ms at least
    double reset = 0;                       ///< share of calls whose connection is reset instead of an answer
    double refused = 0;                     ///< share of calls that are answered 503
    std::chrono::milliseconds service{40};  ///< a call takes up to so long
};

class FaultyTarget {
public:
    FaultyTarget(asio::io_context& io, std::size_t number, const LinkFaults& faults, std::mt19937_64& random,
        Observations& observations);
    Tcp::endpoint address() const { return acceptor_.local_endpoint(); }

private:
    class Connection;
    void accept();

    asio::io_context& io_;
    std::size_t number_;
    const LinkFaults& faults_;
    std::mt19937_64& random_;
    Observations& observations_;
    Tcp::acceptor acceptor_;
};

}  // namespace lockgw::rig::soak
