#include "discovery/peer_socket.hpp"

#include <algorithm>
#include <iostream>
#include <utility>

namespace lockgw {

PeerSocket::PeerSocket(asio::io_context& io, const Config& config, OnDatagram on_datagram)
    : config_(config), on_datagram_(std::move(on_datagram)), socket_(io) {}

void PeerSocket::start() {
    if (!config_.peer_listen) return;
    socket_.open(config_.peer_listen->protocol());
    socket_.bind(*config_.peer_listen);
    socket_.non_blocking(true);
    receive();
}

void PeerSocket::receive() {
    socket_.async_receive_from(asio::buffer(buffer_), sender_address_, [this](auto error, std::size_t count) {
        if (error == asio::error::operation_aborted) return;
        // an error reported here refers to an earlier datagram that could not be delivered
        const auto sender = std::find(config_.peers.begin(), config_.peers.end(), sender_address_);
        if (!error && count <= kMaxDatagramBytes && sender != config_.peers.end())
            on_datagram_({static_cast<std::size_t>(sender - config_.peers.begin()),
                std::string(buffer_.data(), count)});
        receive();
    });
}

void PeerSocket::send(std::optional<std::size_t> to, const std::string& bytes) {
    const auto address = !to                          ? config_.peers_all
                         : *to < config_.peers.size() ? std::optional(config_.peers[*to])
                                                      : std::nullopt;
    if (!address || !socket_.is_open() || bytes.size() > kMaxDatagramBytes) return;
    boost::system::error_code ignored;  // datagrams may be lost
    socket_.send_to(asio::buffer(bytes), *address, 0, ignored);
}

std::size_t PeerSocket::discard_pending() {
    constexpr std::size_t kMaxDiscarded = 100'000;  // bound in case a peer keeps sending
    std::size_t count = 0;
    if (!socket_.is_open()) return count;
    std::array<char, kMaxDatagramBytes> bytes;
    boost::system::error_code error;
    while (count < kMaxDiscarded) {
        socket_.receive(asio::buffer(bytes), 0, error);
        if (error == asio::error::would_block || error == asio::error::try_again) break;
        ++count;
    }
    return count;
}

}  // namespace lockgw
