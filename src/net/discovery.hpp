/// The agent of discovery: the list of targets and what changes in it, and notices to the platform.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config.hpp"
#include "journal.hpp"

namespace lockgw {

struct Target {
    std::string id;
    Tcp::endpoint address;
    std::string zone, kind;
    std::int64_t destination = 0;
    double rate = 0.0;
    cometspoke::Condition condition = cometspoke::Condition::Gone;
};
struct TargetList {
    std::int64_t revision = 0;
    bool complete = false;
    std::vector<Target> targets;
};
/// Throws BadInput or a JSON error where it is no list; entries that make no sense are passed over.
TargetList list_of(const Json& body);

class AgentConnection;

class Discovery {
public:
    using Told = std::function<void(const TargetList&)>;
    using Confirmed = std::function<void(MessageId)>;

    Discovery(asio::io_context& io, const Config& config, Told told, Confirmed confirmed);
    ~Discovery();

    void start();
    /// Another agent takes the place of the present one.
    void move_to(const Tcp::endpoint& address);
    /// Posted until it is answered 204.
    void report(MessageId id, const Notice& notice);
    bool all_confirmed() const { return notices_.empty(); }

private:
    void leave();
    void watch();
    bool watched(const std::string& body);
    void post();

    asio::io_context& io_;
    Tcp::endpoint address_;
    Told told_;
    Confirmed confirmed_;
    std::optional<std::int64_t> revision_;  // none before the first whole list of this agent
    std::shared_ptr<AgentConnection> watch_, reports_;
    asio::steady_timer watch_pause_, report_pause_;
    std::uint64_t stay_ = 0;  // with this agent: pauses of an earlier one end in nothing
    bool posting_ = false;
    std::map<MessageId, Notice> notices_;
};

}  // namespace lockgw
