#include "deliveries/http/targets.hpp"

#include <boost/asio/post.hpp>
#include <utility>

#include "deliveries/http/target_connection.hpp"
#include "logging/log.hpp"

namespace lockgw {

using cometspoke::Outcome;
using cometspoke::OutcomeEvent;
using cometspoke::Time;
using Clock = std::chrono::steady_clock;

EndpointId endpoint_of(const TargetConnectionPtr& connection) { return connection->endpoint(); }

Targets::Targets(
    asio::io_context& io, const Config& config, std::size_t most_connections, Callbacks callbacks)
    : io_(io), config_(config), most_(most_connections), callbacks_(std::move(callbacks)) {}
Targets::~Targets() = default;

void Targets::set_address(EndpointId endpoint, const Tcp::endpoint& address) {
    const auto [found, fresh] = addresses_.emplace(endpoint, address);
    if (fresh || found->second == address) return;
    found->second = address;
    stop_new_calls(endpoint);
}

/// Another target may get its address: no connection made to the one that has gone may carry its calls.
void Targets::forget(EndpointId endpoint) {
    addresses_.erase(endpoint);
    strays_.forget(endpoint);
    refusals_.forget(endpoint);
    stop_new_calls(endpoint);
}

void Targets::stop_new_calls(EndpointId endpoint) {
    close_idle(endpoint);
    for (const auto& [name, connection] : calls_)
        if (connection->endpoint() == endpoint && connection->connecting()) connection->withdraw();
}

void Targets::start(Call call) {
    Connection connection = take_idle(call);
    const auto address = addresses_.find(call.endpoint);
    if (!connection) {
        if (address == addresses_.end() || !make_room()) return not_sent(call);
        connection = std::make_shared<TargetConnection>(*this, call.endpoint, address->second);
    }
    calls_.emplace(std::pair(call.message, call.attempt), connection);
    connection->start(std::move(call));
}

void Targets::not_sent(const Call& call) {
    OutcomeEvent event;
    event.message = call.message;
    event.endpoint = call.endpoint;
    event.attempt = call.attempt;
    event.outcome = Outcome::NotSent;
    asio::post(io_, [this, event] { callbacks_.on_outcome({event, Fate::Open}); });
}

void Targets::cancel(MessageId message, std::uint32_t attempt) {
    const auto found = calls_.find({message, attempt});
    if (found != calls_.end()) Connection(found->second)->cancel();
}

void Targets::close_idle(EndpointId endpoint) {
    while (const Connection connection = idle_.newest_of(endpoint)) gone(connection);
}

/// The newest connection that may carry the call. Those over which a refusal would prove nothing are kept for
/// messages that may be repeated freely, where there are any.
Targets::Connection Targets::take_idle(const Call& call) {
    const auto now = Clock::now();
    const bool refuses = refusals_.refuses(call.endpoint, now);
    const bool repeatable = call.effect == cometspoke::Effect::Retryable;
    const auto preferred = [&](const TargetConnection& one) {
        return one.history().proves_refusals(now) != repeatable;
    };
    const auto usable = [&](const TargetConnection& one) {
        return one.history().may_carry(call.effect, refuses, now);
    };
    while (true) {
        Connection connection = idle_.newest_of(call.endpoint, preferred);
        if (!connection) connection = idle_.newest_of(call.endpoint, usable);
        if (!connection) return nullptr;
        if (connection->silent()) {
            idle_.remove(connection);
            return connection;
        }
        connection->read_surplus();  // it leaves the pool
    }
}

void Targets::now_idle(const Connection& connection) {
    const EndpointId endpoint = connection->endpoint();
    const auto address = addresses_.find(endpoint);
    // a tenth before the told limit: a request that crosses the target's close ends as a reset
    const auto span = config_.settings.conn_idle * 9 / 10;
    if (address == addresses_.end() || address->second != connection->address() || span <= Time(0) ||
        strays_.single_use(endpoint, Clock::now()))
        return finished(connection);
    finishing_.remove(connection);
    idle_.add(connection);
    connection->rest_for(span);
}

void Targets::finishing(const Connection& connection) { finishing_.add(connection); }

/// It carries no more calls. Closed at once, unless the own answer of one may still be on its way.
void Targets::finished(const Connection& connection) {
    connection->history().rested(Clock::now()) ? gone(connection) : linger(connection);
}
void Targets::linger(const Connection& connection) {
    idle_.remove(connection);
    finishing_.remove(connection);
    finishing_.add(connection);
    connection->linger(ConnectionHistory::kRestTime);
}

void Targets::stray_seen(const TargetConnection& connection) {
    const auto span = strays_.record(connection.endpoint(), Clock::now());
    log::warn("delivery", "more answers than calls: connections are not reused",
        {{"target", connection.address_text()}, {"calls", connection.history().answers()},
            {"for_s", span.count()}});
    close_idle(connection.endpoint());
}

void Targets::refusal_seen(EndpointId endpoint) {
    if (addresses_.contains(endpoint)) refusals_.record(endpoint, Clock::now());
}

void Targets::drop(const Connection& connection) {
    idle_.remove(connection);
    finishing_.remove(connection);
    connection->close();
}

/// One that ended by itself: its descriptor is the next call's before it is anybody's.
void Targets::gone(const Connection& connection) {
    drop(connection);
    spare_.acquire();
}

/// Under the limit of descriptors: an idle connection goes first, then one whose call has its outcome.
bool Targets::make_room() {
    if (calls_.size() + idle_.size() + finishing_.size() < most_) return true;
    return drop_one();
}
bool Targets::drop_one() {
    const IdlePool& from = idle_.empty() ? finishing_ : idle_;
    if (from.empty()) return false;
    drop(from.oldest());
    return true;
}
/// For somebody else: not the one that the next call needs.
bool Targets::close_one_idle() {
    if (!drop_one()) return false;
    if (spare_.held()) return true;
    spare_.acquire();
    return false;
}

void Targets::ended(const Connection& connection, const CallResult& result) {
    const auto found = calls_.find({result.event.message, result.event.attempt});
    if (found != calls_.end() && found->second == connection) calls_.erase(found);
    spare_.acquire();  // its connection may be closed
    callbacks_.on_outcome(result);
}

}  // namespace lockgw
