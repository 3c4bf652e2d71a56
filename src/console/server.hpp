/// The operators' console: HTTP/1.1, one call to a connection (docs/operators/daily.md).
///
///     GET /control/ready                   PUT /control/out-of-service    PUT /control/in-service
///     PUT /control/targets/ID/offline      PUT /control/targets/ID/online
///     GET /control/work                    PUT /control/work/approve, hold, cancel, done, done/MACHINE
///
/// Anybody who reaches the address may call. Whoever is slow or silent holds up nobody: kPlaces connections,
/// and a newcomer takes the place of the one that has been silent for longest. Bounded: a head of kMostHead
/// bytes, a body that is passed over, kPatience for a call to come. A descriptor is set aside, so that a call
/// is answered also where the process has no other left. It runs on the loop of the process.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <memory>

#include "base/spare_descriptor.hpp"
#include "base/timer.hpp"
#include "operations/operations.hpp"

namespace lockgw::console {

constexpr std::size_t kPlaces = 16;
constexpr std::size_t kMostHead = 8 * 1024;
constexpr std::size_t kMostBody = 64 * 1024;
constexpr std::chrono::milliseconds kPatience{10'000};

class Server {
public:
    Server(boost::asio::io_context& io, operations::Give give);
    ~Server();
    /// Calls about machines taken out in turn: `told` once, in this call or later, with a status and a body.
    /// Without it there are no such calls.
    using Told = std::function<void(int status, const std::string& body)>;
    using Work = std::function<void(const std::string& what, const std::string& machine, Told told)>;
    void work(Work work) { work_ = std::move(work); }

    /// Throws where the address cannot be had.
    void listen(const boost::asio::ip::tcp::endpoint& address);
    /// The listening socket, for another Server of this process: who calls between the two waits in its
    /// queue. Nothing is accepted here any more; -1 where it does not listen.
    int release();
    /// Of another Server that has released it.
    void adopt(int listening);
    std::size_t connections() const { return open_.size(); }

private:
    class Connection;
    void accept();
    void accept_waiting();

    boost::asio::io_context& io_;
    operations::Give give_;
    Work work_;
    boost::asio::ip::tcp::acceptor acceptor_;
    Timer pause_;
    SpareDescriptor spare_;
    std::list<std::shared_ptr<Connection>> open_;  // the oldest first
};

}  // namespace lockgw::console
