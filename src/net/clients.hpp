/// The listener and its client connections: RESP2 requests in, one answer for each.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
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
    bool empty() const { return sessions_.empty(); }

private:
    friend class ClientSession;

    void accept();
    void accepted(Tcp::socket socket);
    void accept_waiting();
    bool make_room();
    void handle(const resp::Command& command, const Answer& answer);
    void leave(const std::shared_ptr<ClientSession>& session);

    asio::io_context& io_;
    const Config& config_;
    std::size_t most_;
    Enqueue enqueue_;
    Tcp::acceptor acceptor_;
    asio::steady_timer pause_;
    bool accepting_ = false, draining_ = false;
    std::set<std::shared_ptr<ClientSession>> sessions_;
};

/// An ENQUEUE's words as a message; `left` is its `d`. Throws BadInput naming what is wrong.
Message message_of(const resp::Command& command, const Config& config, Wall now, cometspoke::Time& left);

}  // namespace lockgw
