#include "rig/tier/agents.hpp"

#include <algorithm>
#include <sstream>

namespace lockgw::rig::tier {

Agents::Agents(boost::asio::io_context& io, std::size_t forwarders, Members members)
    : members_(std::move(members)) {
    for (std::size_t i = 0; i < forwarders; ++i) {
        all_.push_back(std::make_unique<One>());
        all_.back()->server =
            std::make_unique<Server>(io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0),
                [this, i](const auto& peer, const Request& request, auto) { handle(i, peer, request); });
    }
}

std::string Agents::address(std::size_t one) const {
    const auto address = all_.at(one)->server->address();
    return address.address().to_string() + ":" + std::to_string(address.port());
}
Json Agents::list(std::size_t one) const {
    return {{"revision", revision_}, {"complete", true}, {"members", members_(one)}};
}

void Agents::tell(const std::shared_ptr<Peer>& peer, const Json& body) {
    peer->write(answer(200, body.dump()), [peer](auto) { peer->read(); });
}

void Agents::changed() {
    ++revision_;
    for (std::size_t i = 0; i < all_.size(); ++i)
        for (const Held& held : std::exchange(all_[i]->held, {})) tell(held.peer, list(i));
}

void Agents::handle(std::size_t one, const std::shared_ptr<Peer>& peer, const Request& request) {
    const std::string path(request.target());
    if (all_[one]->silent) return peer->after(std::chrono::minutes(5), [] {});
    if (path.starts_with("/reports")) {
        std::istringstream lines(request.body());
        for (std::string line; std::getline(lines, line);)
            ++(line.find("bounced") == std::string::npos ? dead_ : bounced_);
        return peer->write(answer(204, ""), [peer](auto) { peer->read(); });
    }
    const auto number = [&path](const char* key) -> std::int64_t {
        const auto at = path.find(key);
        return at == std::string::npos ? -1 : std::atoll(path.c_str() + at + std::string(key).size());
    };
    if (on_asked) on_asked();
    const std::int64_t from = number("from="),
                       hold_ms = std::clamp<std::int64_t>(number("hold_ms="), 0, 60'000);
    if (from < revision_) return tell(peer, list(one));
    const std::uint64_t hold = ++holds_;
    all_[one]->held.push_back({peer, hold});
    peer->after(std::chrono::milliseconds(hold_ms), [this, one, peer, hold] {
        auto& held = all_[one]->held;
        const auto found =
            std::find_if(held.begin(), held.end(), [hold](const Held& each) { return each.number == hold; });
        if (found == held.end()) return;
        held.erase(found);
        tell(peer, {{"revision", revision_}, {"complete", false}, {"members", Json::array()}});
    });
}

}  // namespace lockgw::rig::tier
