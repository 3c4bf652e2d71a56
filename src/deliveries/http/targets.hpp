/// Calls to targets over kept-alive connections, one call at a time on each.
///
/// It maps what happened to an Outcome and repeats nothing by itself.
#pragma once

#include <array>
#include <boost/multi_index/global_fun.hpp>
#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/identity.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/spare_descriptor.hpp"
#include "core/delivery.hpp"

namespace lockgw {

class TargetConnection;
using TargetConnectionPtr = std::shared_ptr<TargetConnection>;
EndpointId endpoint_of(const TargetConnectionPtr& connection);

/// Connections in the order in which they came, with those of one endpoint together. Nothing walks all of
/// them.
class IdlePool {
    struct ByUse;
    struct ByName;
    struct ByEndpoint;
    using All = boost::multi_index_container<TargetConnectionPtr,
        boost::multi_index::indexed_by<boost::multi_index::sequenced<boost::multi_index::tag<ByUse>>,
            boost::multi_index::hashed_unique<boost::multi_index::tag<ByName>,
                boost::multi_index::identity<TargetConnectionPtr>>,
            boost::multi_index::ordered_non_unique<boost::multi_index::tag<ByEndpoint>,
                boost::multi_index::global_fun<const TargetConnectionPtr&, EndpointId, &endpoint_of>>>>;

public:
    bool empty() const { return all_.empty(); }
    std::size_t size() const { return all_.size(); }
    void add(const TargetConnectionPtr& connection) { all_.get<ByUse>().push_back(connection); }
    void remove(const TargetConnectionPtr& connection) { all_.get<ByName>().erase(connection); }
    /// The one that came first; not of an empty pool.
    TargetConnectionPtr oldest() const { return all_.get<ByUse>().front(); }
    /// Of an endpoint the one that came last; none where there is none.
    TargetConnectionPtr newest_of(EndpointId endpoint) const {
        const auto& order = all_.get<ByEndpoint>();
        const auto end = order.upper_bound(endpoint);
        if (end == order.begin() || endpoint_of(*std::prev(end)) != endpoint) return nullptr;
        return *std::prev(end);
    }

private:
    All all_;
};

class Targets final : public Delivery {
public:
    Targets(asio::io_context& io, const Config& config, std::size_t most_connections, SendGate may,
        OutcomeCallback done);
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

    Connection take_idle(EndpointId endpoint);
    bool make_room();
    bool drop_one();
    void not_sent(const Call& call);
    void now_idle(const Connection& connection);
    void finishing(const Connection& connection);
    void drop(const Connection& connection);
    void gone(const Connection& connection);
    void ended(const Connection& connection, cometspoke::OutcomeEvent outcome);

    asio::io_context& io_;
    const Config& config_;
    std::size_t most_;
    SendGate may_;
    OutcomeCallback done_;
    std::array<char, 16 * 1024> in_;  // of the connection that is read just now
    std::map<EndpointId, Tcp::endpoint> addresses_;
    std::map<std::pair<MessageId, std::uint32_t>, Connection> calls_;
    IdlePool idle_;  // by endpoint, and in the order of their last use
    // Of what clients and others may take, one call can always be made: it is out, idle, or kept here.
    SpareDescriptor spare_;
    IdlePool finishing_;  // their calls have an outcome, and their answers go on
};

}  // namespace lockgw
