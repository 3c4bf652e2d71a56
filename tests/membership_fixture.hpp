/// The built program between the stand-ins of rig/: a scripted directory and scripted targets.
#pragma once

#include <thread>

#include "net_helpers.hpp"
#include "rig/directory.hpp"
#include "rig/targets.hpp"

namespace lockgw {

/// How far this machine lags: a thread that sleeps, and notes by how much each sleep overran.
class Heartbeat {
public:
    using Clock = std::chrono::steady_clock;
    Heartbeat() : thread_([this] { beat(); }) {}
    ~Heartbeat() {
        stopping_ = true;
        thread_.join();
    }
    /// The longest overrun of a beat that ended within [from, to + 2 s].
    Clock::duration lag(Clock::time_point from, Clock::time_point to) const {
        const std::lock_guard lock(mutex_);
        Clock::duration longest{0};
        for (const auto& [when, overrun] : lags_)
            if (when >= from && when <= to + 2s) longest = std::max(longest, overrun);
        return longest;
    }

private:
    void beat() {
        while (!stopping_) {
            const auto due = Clock::now() + 10ms;
            std::this_thread::sleep_until(due);
            const auto overrun = Clock::now() - due;
            if (overrun < 5ms) continue;
            const std::lock_guard lock(mutex_);
            lags_.emplace_back(Clock::now(), overrun);
        }
    }
    std::atomic<bool> stopping_ = false;
    mutable std::mutex mutex_;
    std::vector<std::pair<Clock::time_point, Clock::duration>> lags_;
    std::thread thread_;
};

class MembershipTest : public ::testing::Test {
protected:
    explicit MembershipTest(std::size_t targets_count = 3)
        : targets(targets_count), node(make_config("127.0.0.1:1", directory.address())) {
        node.config()["settings"]["limits"]["connect_timeout_ms"] = 3000;
    }

    Json member(
        const std::string& id, std::size_t target, int cell = 7, const char* phase = "in_service") const {
        return {{"id", id}, {"host_port", targets.address(target)}, {"locality", "a"}, {"flavor", "shop"},
            {"cell", cell}, {"phase", phase}, {"size", 1.0}, {"up_since_ms", 0}};
    }
    /// Starts with these, and returns once the forwarder watches what comes after them.
    void start_with(const std::vector<Json>& members) {
        directory.put_all(members);
        node.start_ready();
        ASSERT_TRUE(directory.wait_asked_from(directory.revision(), kDeadline)) << node.log();
    }
    std::string enqueue(Client& client, const std::string& id, const std::string& kind = "safe", int cell = 7,
        int left_ms = 30'000) {
        return client.ask({"ENQUEUE", "0000000000000000", id,
            "c=" + kind + ",t=acme,d=" + std::to_string(left_ms) + ",k=" + id +
                ",dest=" + std::to_string(cell),
            "BODY"});
    }
    static std::string message(const std::string& id) {
        return rig::command(
            {"ENQUEUE", "0000000000000000", id, "c=safe,t=acme,d=30000,k=" + id + ",dest=7", "BODY"});
    }
    /// Sends messages, some at a time, until one goes to `wanted`; false where none does.
    bool reaches(Client& client, std::size_t wanted) {
        rig::CallScript slow;  // so that several are out at once
        slow.delay = 30ms;
        const auto all_are = [this](const rig::CallScript& script) {
            for (std::size_t i = 0; i < targets.count(); ++i) targets.usual(i, script);
        };
        all_are(slow);
        const bool reached = sends_to(client, wanted);
        all_are({});
        return reached;
    }
    bool sends_to(Client& client, std::size_t wanted) {
        for (int i = 0; i < 40; ++i) {
            const std::size_t before = targets.calls().size(), some = 6;
            std::string together;
            for (std::size_t one = 0; one < some; ++one) together += message(fresh_id());
            client.send(together);
            for (std::size_t one = 0; one < some; ++one)
                if (client.line() != "+OK") return false;
            if (!targets.wait_calls(before + some, kDeadline)) return false;
            const auto calls = targets.calls();
            for (std::size_t one = before; one < calls.size(); ++one)
                if (calls[one].target == wanted) return true;
        }
        return false;
    }
    std::string fresh_id() {
        char text[17];
        std::snprintf(text, sizeof text, "%016x", ++ids_);
        return text;
    }
    /// The number of the id that fresh_id() gave last.
    unsigned last_id() const { return ids_; }
    bool waits_for(const std::function<bool()>& what, std::chrono::milliseconds within = kDeadline) {
        const auto until = std::chrono::steady_clock::now() + within;
        while (!what()) {
            if (std::chrono::steady_clock::now() > until) return false;
            std::this_thread::sleep_for(5ms);
        }
        return true;
    }

    rig::Directory directory;
    rig::Targets targets;
    Node node;

private:
    unsigned ids_ = 0x1000;
};

}  // namespace lockgw
