/// What the soak asks forwarders beside its clients: orders at the console, and whether they serve. One
/// connection a question, on the loop of the run.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace lockgw::rig::soak {

/// `on_answer`: what came in answer to PING; empty where the connection failed or ended. Not called as long
/// as nothing comes.
void ask_ping(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& forwarder,
    std::function<void(const std::string&)> on_answer);

/// PUT /control/`order`. `on_answer`: whether it was answered 200.
void give_order(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& console,
    const std::string& order, std::function<void(bool)> on_answer);

}  // namespace lockgw::rig::soak
