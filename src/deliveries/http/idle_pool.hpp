/// Connections to targets in the order of their last use, and by endpoint.
#pragma once

#include <boost/multi_index/global_fun.hpp>
#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/identity.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cstddef>
#include <iterator>
#include <memory>

#include "cometspoke/sender.hpp"

namespace lockgw {

using cometspoke::EndpointId;

class TargetConnection;
using TargetConnectionPtr = std::shared_ptr<TargetConnection>;
EndpointId endpoint_of(const TargetConnectionPtr& connection);

/// Nothing walks all connections, only those of one endpoint.
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
    /// Of an endpoint the one that came last and that `suits`; none where there is none.
    template <class Suits>
    TargetConnectionPtr newest_of(EndpointId endpoint, Suits suits) const {
        const auto& order = all_.get<ByEndpoint>();
        const auto begin = order.lower_bound(endpoint);
        for (auto at = order.upper_bound(endpoint); at != begin;)
            if (suits(**--at)) return *at;
        return nullptr;
    }
    TargetConnectionPtr newest_of(EndpointId endpoint) const {
        return newest_of(endpoint, [](const TargetConnection&) { return true; });
    }

private:
    All all_;
};

}  // namespace lockgw
