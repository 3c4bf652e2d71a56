// The stand-in server, where a fault of its own would end the test that uses it.
#include <gtest/gtest.h>

#include <boost/asio/read_until.hpp>

#include "discovery_fixture.hpp"

namespace lockgw {
namespace {

/// The first line of the answer to one call on a connection of its own; empty where the connection fails.
std::string first_line_from(unsigned short port) {
    boost::asio::io_context io;
    Tcp::socket socket(io);
    boost::system::error_code failed;
    socket.connect({boost::asio::ip::address_v4::loopback(), port}, failed);
    const std::string request =
        "POST /v1/messages HTTP/1.1\r\nHost: x\r\nX-Call-Id: 1\r\nContent-Length: 0\r\n\r\n";
    if (!failed) boost::asio::write(socket, boost::asio::buffer(request), failed);
    std::string answer;
    if (!failed) boost::asio::read_until(socket, boost::asio::dynamic_buffer(answer), "\r\n", failed);
    return failed ? "" : answer.substr(0, answer.find('\r'));
}

// One fault while another lasts: a stand-in that refuses connections is frozen, and serves when that is over.
TEST(RigServer, IsFrozenWhileItRefuses) {
    rig::Targets targets(1);
    const std::string address = targets.address(0);
    const auto port = static_cast<unsigned short>(std::stoi(address.substr(address.rfind(':') + 1)));
    const auto until = std::chrono::steady_clock::now() + 20s;
    targets.refuse(0, 60s);
    while (!first_line_from(port).empty()) ASSERT_LT(std::chrono::steady_clock::now(), until);
    targets.freeze(0, 50ms);
    while (first_line_from(port) != "HTTP/1.1 200 X") ASSERT_LT(std::chrono::steady_clock::now(), until);
}

}  // namespace
}  // namespace lockgw
