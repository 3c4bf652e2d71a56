/// The interface between the core and a protocol for clients: the frontend submits messages and gets one
/// reply for each.
///
/// A frontend owns its listener and its connections, keeps within its share of the descriptors and makes no
/// decision about a message. A further protocol goes into its own folder under src/fronts. Not thread-safe:
/// all calls are on the loop's thread. The core outlives its frontends.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "admission/hand_over.hpp"
#include "config/config.hpp"
#include "store/journal.hpp"

namespace lockgw {

/// The reply to one submitted message.
struct Reply {
    enum class Kind {
        Accepted,  ///< recorded: from now on the forwarder delivers it or reports its final status
        Busy,      ///< refused for now: the client may try again, after `wait` if that is not 0
        Rejected,  ///< invalid, or past its deadline; `why` says so in one line
    };
    Kind kind = Kind::Accepted;
    std::chrono::milliseconds wait{0};
    std::string why;

    static Reply accepted() { return {}; }
    static Reply busy(std::chrono::milliseconds wait) { return {Kind::Busy, wait, {}}; }
    static Reply rejected(std::string why) { return {Kind::Rejected, {}, std::move(why)}; }
};

/// The core as a frontend sees it.
class Intake {
public:
    using ReplyCallback = std::function<void(const Reply&)>;

    /// Submits a message whose deadline is in `left`. `on_reply` is called once, in this call or later.
    virtual void submit(Message message, cometspoke::Time left, ReplyCallback on_reply) = 0;
    /// Frees a descriptor outside the frontend, because a client needs one. False if none can be freed.
    virtual bool free_descriptor() = 0;

protected:
    ~Intake() = default;
};

/// A protocol for clients.
class Frontend {
public:
    virtual ~Frontend() = default;

    /// Starts to listen. Throws if its address cannot be used.
    virtual void listen() = 0;
    /// Hands the clients over to other forwarders by closing idle connections at the pace of `plan`, and then
    /// drains. The time of `plan` starts now.
    virtual void hand_over_clients(const admission::HandOver& plan) = 0;
    /// Accepts no new connections, and closes each existing one as soon as it is between requests.
    virtual void drain() = 0;
    /// Out of service: PING gets an error at once; clients are served for a grace period and then
    /// disconnected, and no message is accepted from then on. In service: normal operation. It listens in
    /// both.
    virtual void set_in_service(bool in_service) = 0;
    /// Like drain(), and reads nothing more from any client. Requests that have been read are answered, and
    /// each connection is closed after that. For the last moments of a process: a request that was read and
    /// never answered is lost to its client, while one that was not read is submitted to another forwarder.
    virtual void stop_reading() = 0;
    /// Reads and refuses, within this call, requests that have come and were not read. For the very last
    /// moment: a close over unread bytes would reset their connections.
    virtual void refuse_unread() = 0;
    /// Whether a request that was read has no reply yet, or its reply is not fully written.
    virtual bool has_pending_replies() const = 0;
    /// Whether no client is connected, except those that only have to close their side.
    virtual bool empty() const = 0;
    /// Counters and limits by name, for the status command.
    virtual Json status() const = 0;
};

/// Creates a frontend that may hold at most `max_connections` descriptors.
using FrontendFactory = std::function<std::unique_ptr<Frontend>(
    asio::io_context&, const Config&, std::size_t max_connections, Intake&)>;

}  // namespace lockgw
