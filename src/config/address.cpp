#include "config/address.hpp"

#include <charconv>

#include "config/settings.hpp"

namespace lockgw {

namespace asio = boost::asio;
using cometspoke::settings::BadInput;

namespace {

template <class Endpoint>
Endpoint endpoint_of(const std::string& text, const char* what) {
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    boost::system::error_code bad;
    if (colon == std::string::npos) throw BadInput(std::string(what) + " is not host:port: " + text);
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    const auto address = asio::ip::make_address(text.substr(0, colon), bad);
    if (bad || parsed.ec != std::errc() || parsed.ptr != end)
        throw BadInput(std::string(what) + " is not host:port: " + text);
    return Endpoint(address, port);
}

}  // namespace

asio::ip::tcp::endpoint tcp_endpoint(const std::string& text, const char* what) {
    return endpoint_of<asio::ip::tcp::endpoint>(text, what);
}
asio::ip::udp::endpoint udp_endpoint(const std::string& text, const char* what) {
    return endpoint_of<asio::ip::udp::endpoint>(text, what);
}

std::string address_text(const asio::ip::tcp::endpoint& endpoint) {
    return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

}  // namespace lockgw
