#include "rig/targets.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace lockgw::rig {

using Kind = CallScript::Kind;

namespace {

constexpr double kBurst = 0.1;  // of a second's calls, at once

CallScript refusal() {
    CallScript script;
    script.status = 503;
    script.takes_effect = false;
    return script;
}

}  // namespace

Targets::Targets(std::size_t count, boost::asio::ip::address_v4 address) : targets_(count) {
    for (std::size_t i = 0; i < count; ++i)
        targets_[i].server = std::make_unique<Server>(io_, Tcp::endpoint(address, 0),
            [this, i](const auto& peer, const Request& request, Clock::time_point first) {
                handle(i, peer, request, first);
            });
    thread_ = std::thread([this] {
        const auto work = boost::asio::make_work_guard(io_);
        io_.run();
    });
}
Targets::~Targets() {
    io_.stop();
    thread_.join();
}

std::string Targets::address(std::size_t target) const {
    const Tcp::endpoint address = targets_.at(target).server->address();
    return address.address().to_string() + ":" + std::to_string(address.port());
}
void Targets::usual(std::size_t target, const CallScript& script) {
    const std::lock_guard lock(mutex_);
    targets_.at(target).usual = script;
}
void Targets::next(std::size_t target, const CallScript& script) {
    const std::lock_guard lock(mutex_);
    targets_.at(target).next.push_back(script);
}
void Targets::limit(std::size_t target, double per_s) {
    const std::lock_guard lock(mutex_);
    Target& one = targets_.at(target);
    one.limit_per_s = per_s;
    one.allowed = kBurst * per_s;
    one.filled = Clock::now();
}
bool Targets::refuses(Target& target) {
    if (target.limit_per_s <= 0) return false;
    const auto now = Clock::now();
    const double fresh = std::chrono::duration<double>(now - target.filled).count() * target.limit_per_s;
    target.allowed = std::min(std::max(1.0, kBurst * target.limit_per_s), target.allowed + fresh);
    target.filled = now;
    if (target.allowed < 1) return true;
    target.allowed -= 1;
    return false;
}
void Targets::freeze(std::size_t target, std::chrono::milliseconds span) {
    boost::asio::post(io_, [this, target, span] { targets_.at(target).server->freeze_for(span); });
}
void Targets::refuse(std::size_t target, std::chrono::milliseconds span) {
    boost::asio::post(io_, [this, target, span] { targets_.at(target).server->refuse_for(span); });
}

std::vector<SeenCall> Targets::calls() const {
    const std::lock_guard lock(mutex_);
    return calls_;
}
std::map<std::string, int> Targets::effects_by_id() const {
    const std::lock_guard lock(mutex_);
    return by_id_;
}
std::map<std::string, int> Targets::effects_by_key() const {
    const std::lock_guard lock(mutex_);
    return by_key_;
}
bool Targets::wait_calls(std::size_t count, std::chrono::milliseconds within) const {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, within, [&] { return calls_.size() >= count; });
}

void Targets::handle(
    std::size_t target, const std::shared_ptr<Peer>& peer, const Request& request, Clock::time_point first) {
    CallScript script;
    {
        const std::lock_guard lock(mutex_);
        Target& one = targets_[target];
        script = one.usual;
        if (!one.next.empty()) script = one.next.front(), one.next.pop_front();
        if (refuses(one)) script = refusal();
        SeenCall call{
            target, std::string(request["X-Call-Id"]), std::string(request["Idempotency-Key"]), first};
        if (script.kind == Kind::Answer ? script.status == 200 : script.takes_effect) {
            ++by_id_[call.id];
            if (!call.key.empty()) ++by_key_[call.key];
        }
        calls_.push_back(std::move(call));
        changed_.notify_all();
    }
    if (script.delay.count() == 0) return act(peer, script);
    peer->after(script.delay, [this, peer, script] { act(peer, script); });
}

void Targets::act(const std::shared_ptr<Peer>& peer, const CallScript& script) {
    const auto go_on = [peer](auto) { peer->read(); };
    switch (script.kind) {
        case Kind::Answer:
            return peer->write(answer(script.status, "", script.headers), go_on);
        case Kind::Hang:
            return peer->after(std::chrono::seconds(120), [] {});
        case Kind::Reset:
            return peer->reset();
        case Kind::Close:
            return peer->close();
        case Kind::Garbage:
            return peer->write("noise\r\n\r\n", go_on);
        case Kind::Half:
            return peer->write("HTTP/1.1 503 X\r\nContent-Le", [peer](auto) { peer->close(); });
    }
}

}  // namespace lockgw::rig
