/// "host:port" with a numeric address.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>

namespace lockgw {

/// Throw BadInput naming `what`.
boost::asio::ip::tcp::endpoint tcp_endpoint(const std::string& text, const char* what);
boost::asio::ip::udp::endpoint udp_endpoint(const std::string& text, const char* what);

/// "127.0.0.1:6379"
std::string address_text(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace lockgw
