/// What a protocol for clients is to the core: it hands messages in, and gets one reply for each.
///
/// A front owns its listener and its connections, keeps to its share of the descriptors, and decides nothing
/// of a message. A second protocol is another folder under src/fronts. Threads: the loop's. The core outlives
/// its fronts.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "admission/hand_over.hpp"
#include "config/config.hpp"
#include "store/journal.hpp"

namespace lockgw {

/// What the client hears of one hand-in.
struct Reply {
    enum class Kind {
        Accepted,  ///< from now on the forwarder owes the message its end
        Busy,      ///< refused: it may come again, after `wait` where that is not 0
        Rejected,  ///< it makes no sense, or is out of time: `why`, in one line
    };
    Kind kind = Kind::Accepted;
    std::chrono::milliseconds wait{0};
    std::string why;

    static Reply accepted() { return {}; }
    static Reply busy(std::chrono::milliseconds wait) { return {Kind::Busy, wait, {}}; }
    static Reply rejected(std::string why) { return {Kind::Rejected, {}, std::move(why)}; }
};

/// The core, as a front sees it.
class Intake {
public:
    using ReplyCallback = std::function<void(const Reply&)>;

    /// `done` is called once, in this call or later.
    virtual void submit(Message message, cometspoke::Time left, ReplyCallback done) = 0;
    /// Gives a descriptor of somebody else back, where one is needed at the door; false where there is none.
    virtual bool free_descriptor() = 0;

protected:
    ~Intake() = default;
};

class Frontend {
public:
    virtual ~Frontend() = default;

    /// Throws where its address cannot be had.
    virtual void listen() = 0;
    /// Hands on those that rest, as many at a time as the others take, then as drain(). Begins at once to
    /// count the time that `plan` has.
    virtual void hand_over_clients(const admission::HandOver& plan) = 0;
    /// No new connections; those there are close between requests.
    virtual void drain() = 0;
    /// Out of service: PING says no at once; clients are served for a grace and then let go, and from then on
    /// nothing is taken in. In service: as before. It goes on listening in both.
    virtual void set_in_service(bool in_service) = 0;
    /// drain(), and nothing more is read from any client: what has been read gets its answer, and each
    /// connection ends behind it. For the last moments of a process: a request that was read and never
    /// answered is lost to its client, one that was not read is handed in elsewhere.
    virtual void stop_reading() = 0;
    /// A request that was read has no answer yet, or its answer is not all written.
    virtual bool has_pending_replies() const = 0;
    /// Nobody is connected any more, but those that have only to close on their side.
    virtual bool empty() const = 0;
    /// For people and programs: counters by name.
    virtual Json status() const = 0;
};

/// Makes a front that may hold so many descriptors.
using FrontendFactory = std::function<std::unique_ptr<Frontend>(
    asio::io_context&, const Config&, std::size_t most_connections, Intake&)>;

}  // namespace lockgw
