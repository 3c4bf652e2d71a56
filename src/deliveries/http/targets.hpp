/// Calls to targets over kept-alive connections, one call at a time on each.
///
/// It maps what happened to an Outcome and repeats nothing by itself.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/spare_descriptor.hpp"
#include "core/delivery.hpp"
#include "deliveries/http/idle_pool.hpp"
#include "deliveries/http/refusal_record.hpp"
#include "deliveries/http/stray_record.hpp"

namespace lockgw {

class Targets final : public Delivery {
public:
    Targets(asio::io_context& io, const Config& config, std::size_t most_connections, Callbacks callbacks);
    ~Targets() override;

    void set_address(EndpointId endpoint, const Tcp::endpoint& address) override;
    void forget(EndpointId endpoint) override;
    void stop_new_calls(EndpointId endpoint) override;
    void start(Call call) override;
    void cancel(MessageId message, std::uint32_t attempt) override;
    void close_idle(EndpointId endpoint) override;
    bool close_one_idle() override;
    std::size_t calls() const override { return calls_.size(); }

private:
    friend class TargetConnection;
    using Connection = TargetConnectionPtr;

    Connection take_idle(const Call& call);
    bool make_room();
    bool drop_one();
    void not_sent(const Call& call);
    void now_idle(const Connection& connection);
    void finishing(const Connection& connection);
    void finished(const Connection& connection);
    /// An answer may still be on its way: it is read for a while.
    void linger(const Connection& connection);
    void stray_seen(const TargetConnection& connection);
    void refusal_seen(EndpointId endpoint);
    void drop(const Connection& connection);
    void gone(const Connection& connection);
    void ended(const Connection& connection, const CallResult& result);

    asio::io_context& io_;
    const Config& config_;
    std::size_t most_;
    Callbacks callbacks_;
    std::array<char, 16 * 1024> in_;  // of the connection that is read just now
    std::map<EndpointId, Tcp::endpoint> addresses_;
    std::map<std::pair<MessageId, std::uint32_t>, Connection> calls_;
    IdlePool idle_;  // by endpoint, and in the order of their last use
    // Of what clients and others may take, one call can always be made: it is out, idle, or kept here.
    SpareDescriptor spare_;
    IdlePool finishing_;  // of calls that have their outcome: what still comes is read
    StrayRecord strays_;
    RefusalRecord refusals_;
};

}  // namespace lockgw
