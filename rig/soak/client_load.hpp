/// A client that hands messages of all classes in at one forwarder, over one connection, at a steady rate.
///
/// Reconnects when its connection ends; a message whose answer was lost is not handed in again. One event
/// loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <deque>
#include <memory>
#include <random>
#include <string>

#include "rig/soak/observations.hpp"

namespace lockgw::rig::soak {

struct ClientPlan {
    std::size_t forwarder = 0;
    boost::asio::ip::tcp::endpoint address;
    double per_second = 30;
    std::chrono::milliseconds deadline{4000};  ///< of each message
    std::int64_t destinations = 6;             ///< numbered from 0
};

class ClientLoad {
public:
    ClientLoad(boost::asio::io_context& io, const ClientPlan& plan, std::mt19937_64& random,
        Observations& observations);
    void start();
    void stop();

private:
    struct Session;
    void tick();
    void submit();
    void connect();
    void read(const std::shared_ptr<Session>& session);

    boost::asio::io_context& io_;
    ClientPlan plan_;
    std::mt19937_64& random_;
    Observations& observations_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<Session> session_;
    std::uint64_t submitted_ = 0;
    bool stopped_ = false;
};

}  // namespace lockgw::rig::soak
