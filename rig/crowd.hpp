/// Scripted clients round one forwarder (the platform's protocol, "Clients to forwarders"): well-behaved ones
/// with their bounded pool of connections, and crowds that take places, time and memory from them.
///
/// Everything is counted; one table tells who was served. The well-behaved run on a thread of their own, so
/// that what they measure is the forwarder's doing. Loopback only; it ends by itself after the told span.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lockgw::rig {

using Tcp = boost::asio::ip::tcp;

struct CrowdPlan {
    Tcp::endpoint address;
    std::chrono::milliseconds span{3000};
    std::uint64_t seed = 1;

    // The well-behaved: requests come by themselves at a rate, each takes a resting connection of the pool
    // (the latest first) or opens one, and waits 400 ms for its answer. Pool 0: a new connection for each
    // request.
    double good_per_s = 200;
    std::size_t good_pool = 64;
    double good_kept =
        0;  ///< share of the requests after which the connection is kept open and never used again
    std::chrono::milliseconds patience{400};  ///< of a client for its answer
    std::string good_tenant = "acme";
    std::size_t body = 200;  ///< bytes
    std::vector<int> cells{7};

    // Crowds: how many of each stay (come again after 50 ms where they are closed), or how many a second.
    std::size_t hoarders = 0;        ///< say PING and stay
    std::size_t pretenders = 0;      ///< the same, and hand in a message every second
    std::size_t silent = 0;          ///< say nothing
    std::size_t halves = 0;          ///< half a command, and stay
    std::size_t slow = 0;            ///< a command, a byte every 50 ms
    std::size_t announcers = 0;      ///< announce 1 MB and send some of it
    std::size_t deaf = 0;            ///< ask and read nothing
    std::size_t pipeliners = 0;      ///< thousands of ENQUEUEs at once, again and again
    std::size_t keepers_per_s = 0;   ///< hand in one message each, and keep the connection for good
    std::size_t storm_per_s = 0;     ///< connect, wait 400 ms for nothing, and go
    std::size_t resets_per_s = 0;    ///< connect and reset
    std::size_t knockers_per_s = 0;  ///< connect and close
    std::size_t waiting = 0;         ///< try until each has handed in one message
    std::chrono::milliseconds waiting_late{0};  ///< they say PING, and take so long to ask
    double flood_per_s = 0;                     ///< well-formed requests of `flood_tenant`, beyond any share
    std::string flood_tenant = "acme";
    std::size_t sources = 1;  ///< addresses that the crowds come from; 1: the one of the well-behaved
};

/// What one kind of client met.
struct Tally {
    std::uint64_t connects = 0, not_connected = 0, closed = 0;
    std::uint64_t asked = 0, taken = 0, busy = 0, errors = 0, timed_out = 0, cut = 0;
    std::vector<double> waits_ms;  ///< from when a request was due to its +OK

    double served_share() const {
        return asked == 0 ? 1.0 : static_cast<double>(taken) / static_cast<double>(asked);
    }
    /// Of the waits, 0 to 1; 0 where there are none.
    double quantile(double part) const;
};
using Tallies = std::map<std::string, Tally>;

/// Plays the plan and returns when it is over: after `span`, or (with `waiting` and no good ones) once all
/// are served.
Tallies play(const CrowdPlan& plan);
/// A table for people.
std::string table_of(const Tallies& tallies);
nlohmann::json json_of(const Tallies& tallies);

}  // namespace lockgw::rig
