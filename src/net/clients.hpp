/// The listener and its client connections: RESP2 requests in, one answer for each.
///
/// Anybody may connect, and send anything or nothing. Every connection gets an answer or a close in time, and
/// those that ask for nothing never keep out one that does.
#pragma once

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "config.hpp"
#include "journal.hpp"
#include "resp.hpp"

namespace lockgw {

class ClientSession;

class Clients {
public:
    using Answer = std::function<void(std::string)>;
    /// Called for each sound ENQUEUE; answers it once, in this call or later.
    using Enqueue = std::function<void(Message, cometspoke::Time left, Answer)>;

    Clients(asio::io_context& io, const Config& config, std::size_t most_connections, Enqueue enqueue);
    ~Clients();

    void listen();
    /// No new connections; those there are close between requests.
    void drain();
    bool empty() const { return count_ == 0; }

private:
    friend class ClientSession;
    using Clock = std::chrono::steady_clock;
    /// In the order in which they came to their present state.
    using Sessions = std::list<std::shared_ptr<ClientSession>>;
    enum State {
        Silent,   ///< connected, and nothing has come
        Idle,     ///< between requests
        Partly,   ///< a command has begun and not ended
        Asked,    ///< a command waits for its answer
        Writing,  ///< an answer is on its way
        Leaving,  ///< it has its last answer
        States
    };

    void accept();
    void accepted(Tcp::socket socket);
    void accept_waiting();
    bool make_room();
    bool close_first(State state, Clock::duration rest);
    void sweep();
    void bound_buffers();
    void handle(const resp::Command& command, const Answer& answer);

    asio::io_context& io_;
    const Config& config_;
    std::size_t most_;
    Enqueue enqueue_;
    Tcp::acceptor acceptor_;
    asio::steady_timer pause_, sweep_;
    bool accepting_ = false, draining_ = false;
    std::array<Sessions, States> sessions_;
    std::size_t count_ = 0;             // of all sessions
    std::size_t buffered_ = 0;          // bytes of commands that have not ended
    std::array<char, 16 * 1024> in_{};  // of the connection that is read just now
};

/// An ENQUEUE's words as a message; `left` is its `d`. Throws BadInput naming what is wrong.
Message message_of(const resp::Command& command, const Config& config, Wall now, cometspoke::Time& left);

}  // namespace lockgw
