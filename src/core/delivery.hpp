/// What a protocol for targets is to the core: it takes a call, and gives one Outcome for it.
///
/// It maps what happened to an Outcome and repeats nothing by itself. A second protocol is another folder
/// under src/deliveries. Threads: the loop's.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "config/config.hpp"

namespace lockgw {

using cometspoke::EndpointId;
using cometspoke::MessageId;

struct Call {
    MessageId message = 0;
    EndpointId endpoint = 0;
    std::uint32_t attempt = 0;
    std::int64_t destination = 0;
    std::string key, body;
    cometspoke::Time time_out{0};
    /// Of the steady clock. A call of which not all is written by then ends, and the target must not take it.
    cometspoke::Time begin_by{cometspoke::Time::max()};
};

class Delivery {
public:
    using OutcomeCallback = std::function<void(cometspoke::OutcomeEvent)>;
    /// The send gate: whether the process at this address may still have the call. Asked once a call, right
    /// before its first byte is written; where it says no the outcome is NotSent, proven never to have run.
    using SendGate = std::function<bool(const Call&, const Tcp::endpoint&)>;

    virtual ~Delivery() = default;

    virtual void set_address(EndpointId endpoint, const Tcp::endpoint& address) = 0;
    /// Nothing new goes there; calls that are out are waited for.
    virtual void forget(EndpointId endpoint) = 0;
    /// It may have nothing new for now: idle connections are closed, and calls whose connection is still
    /// being made end as NotSent. Calls that are out are waited for.
    virtual void stop_new_calls(EndpointId endpoint) = 0;
    /// Its outcome comes by OutcomeCallback, never from within this call.
    virtual void start(Call call) = 0;
    /// Its outcome comes at once.
    virtual void cancel(MessageId message, std::uint32_t attempt) = 0;
    virtual void close_idle(EndpointId endpoint) = 0;
    /// One that carries nothing new, for its descriptor; false where there is none.
    virtual bool close_one_idle() = 0;
    /// Calls that are out.
    virtual std::size_t calls() const = 0;
};

/// Makes a delivery that may hold so many descriptors.
using DeliveryFactory = std::function<std::unique_ptr<Delivery>(asio::io_context&, const Config&,
    std::size_t most_connections, Delivery::SendGate, Delivery::OutcomeCallback)>;

}  // namespace lockgw
