/// Discovery for each forwarder of a tier: the same list everywhere, with addresses of its own at each.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "rig/http.hpp"

namespace lockgw::rig::tier {

using Json = nlohmann::json;

class Agents {
public:
    /// The members as forwarder `one` is to see them.
    using Members = std::function<Json(std::size_t one)>;

    Agents(boost::asio::io_context& io, std::size_t forwarders, Members members);
    std::string address(std::size_t one) const;
    Json list(std::size_t one) const;
    /// The members have changed: all watches are answered.
    void changed();
    /// From now on that of `one` answers nothing, or does again.
    void silence(std::size_t one, bool on) { all_.at(one)->silent = on; }
    /// Called with each question for a list.
    std::function<void()> on_asked;

    std::uint64_t dead() const { return dead_; }        ///< notices of messages that were given up
    std::uint64_t bounced() const { return bounced_; }  ///< and of those that may come again

private:
    struct Held {
        std::shared_ptr<Peer> peer;
        std::uint64_t number;
    };
    struct One {
        std::unique_ptr<Server> server;
        std::vector<Held> held;
        bool silent = false;
    };
    void handle(std::size_t one, const std::shared_ptr<Peer>& peer, const Request& request);
    void tell(const std::shared_ptr<Peer>& peer, const Json& body);

    Members members_;
    std::vector<std::unique_ptr<One>> all_;
    std::int64_t revision_ = 1;
    std::uint64_t holds_ = 0, dead_ = 0, bounced_ = 0;
};

}  // namespace lockgw::rig::tier
