/// The control socket: a Unix domain socket that only its owner (and root) may use.
///
/// Bounded: 8 connections, a line of 64 KiB each, 10 s for a line to come or an answer to be taken. One
/// request after another on each. It runs on the loop of the process; a verb that takes long is added as a
/// late one.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <filesystem>

#include "control/protocol.hpp"

namespace lockgw::control {

class Server {
public:
    /// `verbs` outlives it.
    Server(boost::asio::io_context& io, const Verbs& verbs);
    ~Server();

    /// Takes the place of a socket that an earlier process left. Throws where another process listens there,
    /// or the path cannot be used.
    void listen(const std::filesystem::path& path);
    std::size_t connections() const { return *open_; }

private:
    class Connection;
    void accept();

    boost::asio::io_context& io_;
    const Verbs& verbs_;
    boost::asio::local::stream_protocol::acceptor acceptor_;
    std::filesystem::path path_;
    std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
};

}  // namespace lockgw::control
