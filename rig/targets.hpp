/// Stand-ins for targets (the platform's protocol, "Forwarders to targets").
///
/// Each has an address of its own and misbehaves by script: a queue of what its next calls meet, and a usual
/// behaviour for the rest. All calls are noted with the moment of their first byte, and effects are counted
/// by id and by key. Its own thread; the calls below are safe from any.
#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "rig/http.hpp"

namespace lockgw::rig {

struct CallScript {
    enum class Kind { Answer, Hang, Reset, Close, Garbage, Half };
    Kind kind = Kind::Answer;
    int status = 200;
    std::string headers;
    std::chrono::milliseconds delay{0};
    bool takes_effect = true;  ///< for what is not an answer of 200: whether it ran all the same
};

struct SeenCall {
    std::size_t target = 0;
    std::string id, key;
    Clock::time_point first_byte;
};

class Targets {
public:
    /// So many, each on a free port of `address`.
    Targets(std::size_t count, boost::asio::ip::address_v4 address = boost::asio::ip::address_v4::loopback());
    ~Targets();

    std::size_t count() const { return targets_.size(); }
    std::string address(std::size_t target) const;
    void usual(std::size_t target, const CallScript& script);
    void next(std::size_t target, const CallScript& script);
    /// It serves so many calls a second, evenly, and a tenth of that at once; the others are refused (503)
    /// and have not run. 0: all of them.
    void limit(std::size_t target, double per_s);
    /// Its process is frozen: connections that are new do not come up before the end of `span`.
    void freeze(std::size_t target, std::chrono::milliseconds span);
    void refuse(std::size_t target, std::chrono::milliseconds span);

    std::vector<SeenCall> calls() const;
    std::map<std::string, int> effects_by_id() const;
    std::map<std::string, int> effects_by_key() const;
    /// Waits until so many calls have come in all; false after `within`.
    bool wait_calls(std::size_t count, std::chrono::milliseconds within) const;

private:
    struct Target {
        std::unique_ptr<Server> server;
        CallScript usual;
        std::deque<CallScript> next;
        double limit_per_s = 0;
        double allowed = 0;  // calls, by now
        Clock::time_point filled{};
    };
    static bool refuses(Target& target);
    void handle(std::size_t target, const std::shared_ptr<Peer>& peer, const Request& request,
        Clock::time_point first);
    void act(const std::shared_ptr<Peer>& peer, const CallScript& script);

    boost::asio::io_context io_;
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::vector<Target> targets_;
    std::vector<SeenCall> calls_;
    std::map<std::string, int> by_id_, by_key_;
    std::thread thread_;
};

}  // namespace lockgw::rig
