/// UDP socket for the messages between forwarders. Datagrams may arrive late, out of order or not at all.
#pragma once

#include <array>
#include <functional>
#include <optional>
#include <string>

#include "config/config.hpp"

namespace lockgw {

class PeerSocket {
public:
    using OnDatagram = std::function<void(cometspoke::PeerNote)>;

    /// `on_datagram` receives the datagrams of configured peers; others are dropped. `config` must outlive
    /// the socket.
    PeerSocket(asio::io_context& io, const Config& config, OnDatagram on_datagram);

    /// Binds the configured address; without one the socket stays closed. Throws if it cannot be bound.
    void start();
    /// Sends to the peer with this number, or to the address of all peers if `to` is empty. Does nothing if
    /// there is no such address, the socket is closed or the datagram is too long.
    void send(std::optional<std::size_t> to, const std::string& bytes);
    /// Discards the datagrams that are queued in the socket. Returns their number.
    std::size_t discard_pending();

private:
    void receive();

    static constexpr std::size_t kMaxDatagramBytes = 256;  // longer ones are not allowed

    const Config& config_;
    OnDatagram on_datagram_;
    Udp::socket socket_;
    Udp::endpoint sender_address_;
    std::array<char, kMaxDatagramBytes + 1> buffer_{};  // one byte more, to detect longer datagrams
};

}  // namespace lockgw
