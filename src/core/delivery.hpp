/// The interface between the core and a protocol for targets: the delivery makes a call and returns one
/// Outcome for it.
///
/// It maps what happened to an Outcome and never retries by itself. A further protocol goes into its own
/// folder under src/deliveries. Not thread-safe: all calls are on the loop's thread.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/config.hpp"

namespace lockgw {

using cometspoke::EndpointId;
using cometspoke::MessageId;

/// One attempt to deliver a message.
struct Call {
    MessageId message = 0;
    EndpointId endpoint = 0;
    std::uint32_t attempt = 0;
    std::int64_t destination = 0;
    std::string key, body;
    cometspoke::Time time_out{0};
    /// On the steady clock. A call that is not fully written by then ends, in such a way that the target does
    /// not take it.
    cometspoke::Time begin_by{cometspoke::Time::max()};
    cometspoke::Effect effect = cometspoke::Effect::Fragile;
};

/// What the end of a call means for its message.
enum class Fate {
    Open,        ///< not over: its class decides whether another call is allowed
    Over,        ///< no further call, and nothing more is owed
    StatusOwed,  ///< no further call, and its final status is owed
};

/// The end of a call. `event.terminal` is true for each fate but Open.
struct CallResult {
    cometspoke::OutcomeEvent event;
    Fate fate = Fate::Open;
};

/// A protocol for targets.
class Delivery {
public:
    using OutcomeCallback = std::function<void(const CallResult&)>;
    /// An endpoint told a wait by an answer to which there is no call any more.
    using WaitCallback = std::function<void(EndpointId, cometspoke::Time)>;
    /// Whether the call may still be sent to the process at this address. Asked once per call, right before
    /// its first byte is written. If it returns false the outcome is NotSent: the call has certainly not run.
    using SendGate = std::function<bool(const Call&, const Tcp::endpoint&)>;
    struct Callbacks {
        SendGate may_send;
        OutcomeCallback on_outcome;
        WaitCallback on_wait{};  ///< may be empty
    };

    virtual ~Delivery() = default;

    /// New connections to the endpoint go to this address. Connections to a previous one get no new calls.
    virtual void set_address(EndpointId endpoint, const Tcp::endpoint& address) = 0;
    /// The endpoint is no longer listed: nothing new is sent to it. Calls in progress are completed.
    virtual void forget(EndpointId endpoint) = 0;
    /// The endpoint gets no new calls for now: its idle connections are closed, and calls whose connection is
    /// still being established end as NotSent. Calls in progress are completed.
    virtual void stop_new_calls(EndpointId endpoint) = 0;
    /// Starts a call. Its outcome is passed to the OutcomeCallback, never from within this function.
    virtual void start(Call call) = 0;
    /// Cancels a call in progress. Its outcome is passed to the OutcomeCallback at once.
    virtual void cancel(MessageId message, std::uint32_t attempt) = 0;
    /// Closes the idle connections to the endpoint.
    virtual void close_idle(EndpointId endpoint) = 0;
    /// Closes one connection that no unfinished call needs, to free its descriptor. False if there is none.
    virtual bool close_one_idle() = 0;
    /// The number of calls in progress.
    virtual std::size_t calls() const = 0;
};

/// Creates a delivery that may hold at most `max_connections` descriptors.
using DeliveryFactory = std::function<std::unique_ptr<Delivery>(
    asio::io_context&, const Config&, std::size_t max_connections, Delivery::Callbacks)>;

}  // namespace lockgw
