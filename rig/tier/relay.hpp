/// Links that the rig holds in its hand: notes between forwarders, and connections from one forwarder to one
/// target. Each is changed at any time; all on one loop. Loopback only.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lockgw::rig::tier {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;

/// Notes: each forwarder has a stand-in address that all others know it by. What comes to the stand-in of
/// `to` from the socket of `from` goes on to the socket of `to` out of the stand-in of `from`.
class NoteMesh {
public:
    struct Fault {
        double lost = 0, spoilt = 0, doubled = 0, late_s = 0;
        int island = 0;                 ///< of another one nothing is heard,
        bool mute = true, deaf = true;  ///< and nothing is heard there of this
    };

    NoteMesh(asio::io_context& io, std::size_t forwarders, std::uint64_t seed);
    /// Where forwarder `one` listens itself, and the address that the others have of it.
    Udp::endpoint own(std::size_t one) const { return own_.at(one); }
    Udp::endpoint stand_in(std::size_t one) const { return ends_.at(one)->local_endpoint(); }
    Fault& fault(std::size_t one) { return faults_.at(one); }
    /// Notes from `one` to `other` are lost.
    void pair(std::size_t one, std::size_t other, bool lost) {
        lost ? void(lost_.insert({one, other})) : void(lost_.erase({one, other}));
    }
    /// Called with each note that is sent.
    std::function<void()> on_note;
    std::uint64_t notes() const { return notes_; }
    std::uint64_t bytes() const { return bytes_; }

private:
    void receive(std::size_t to);
    void pass(std::size_t from, std::size_t to, std::string bytes);
    bool chance(double share) { return share > 0 && std::uniform_real_distribution<>(0, 1)(random_) < share; }

    asio::io_context& io_;
    std::mt19937_64 random_;
    std::vector<Udp::endpoint> own_;
    std::vector<std::unique_ptr<Udp::socket>> ends_;
    std::vector<Udp::endpoint> from_;
    std::vector<std::array<char, 2048>> in_;
    std::vector<Fault> faults_;
    std::map<Udp::endpoint, std::size_t> number_;
    std::set<std::pair<std::size_t, std::size_t>> lost_;
    std::uint64_t notes_ = 0, bytes_ = 0;
};

/// A place that stands for `upstream`: connections to it are passed on byte by byte.
class TcpRelay {
public:
    TcpRelay(asio::io_context& io, const Tcp::endpoint& upstream);
    ~TcpRelay();
    Tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    /// Nothing is passed on, in both directions or towards the upstream alone; connections stay open.
    void silence(bool towards_upstream, bool back);

private:
    class Pair;
    void accept();

    asio::io_context& io_;
    Tcp::endpoint upstream_;
    Tcp::acceptor acceptor_;
    std::set<std::shared_ptr<Pair>> pairs_;
    bool silent_out_ = false, silent_back_ = false;
};

}  // namespace lockgw::rig::tier
