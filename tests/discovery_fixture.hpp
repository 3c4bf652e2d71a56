/// Runs the built program with the test doubles of rig/: a scripted discovery agent and scripted targets.
#pragma once

#include <thread>

#include "net_helpers.hpp"
#include "rig/directory.hpp"
#include "rig/targets.hpp"

namespace lockgw {

/// Measures the scheduling delay of the machine: a thread that sleeps 10 ms at a time and records by how much
/// each sleep overran, from 5 ms on.
class SchedulingLagMonitor {
public:
    using Clock = std::chrono::steady_clock;
    SchedulingLagMonitor() : thread_([this] { measure(); }) {}
    ~SchedulingLagMonitor() {
        stopping_ = true;
        thread_.join();
    }
    /// The longest overrun of a sleep that ended within [from, to + 2 s].
    Clock::duration max_lag(Clock::time_point from, Clock::time_point to) const {
        const std::lock_guard lock(mutex_);
        Clock::duration longest{0};
        for (const auto& [when, overrun] : overruns_)
            if (when >= from && when <= to + 2s) longest = std::max(longest, overrun);
        return longest;
    }

private:
    void measure() {
        while (!stopping_) {
            const auto due = Clock::now() + 10ms;
            std::this_thread::sleep_until(due);
            const auto overrun = Clock::now() - due;
            if (overrun < 5ms) continue;
            const std::lock_guard lock(mutex_);
            overruns_.emplace_back(Clock::now(), overrun);
        }
    }
    std::atomic<bool> stopping_ = false;
    mutable std::mutex mutex_;
    std::vector<std::pair<Clock::time_point, Clock::duration>> overruns_;
    std::thread thread_;
};

class DiscoveryTest : public ::testing::Test {
protected:
    explicit DiscoveryTest(std::size_t targets_count = 3)
        : targets(targets_count), node(make_config("127.0.0.1:1", directory.address())) {
        node.config()["settings"]["limits"]["connect_timeout_ms"] = 3000;
    }

    Json member(
        const std::string& id, std::size_t target, int cell = 7, const char* phase = "in_service") const {
        return {{"id", id}, {"host_port", targets.address(target)}, {"locality", "a"}, {"flavor", "shop"},
            {"cell", cell}, {"phase", phase}, {"size", 1.0}, {"up_since_ms", 0}};
    }
    /// Starts the forwarder with this list. Returns once it polls for changes after it.
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
    /// Sends messages in groups until a call reaches `target`. Returns false if none does.
    bool reaches(Client& client, std::size_t target) {
        rig::CallScript slow;  // so that several calls are in flight at once
        slow.delay = 30ms;
        const auto set_all = [this](const rig::CallScript& script) {
            for (std::size_t i = 0; i < targets.count(); ++i) targets.usual(i, script);
        };
        set_all(slow);
        const bool reached = sends_a_call_to(client, target);
        set_all({});
        return reached;
    }
    bool sends_a_call_to(Client& client, std::size_t target) {
        for (int i = 0; i < 40; ++i) {
            const std::size_t before = targets.calls().size(), batch = 6;
            std::string commands;
            for (std::size_t index = 0; index < batch; ++index) commands += message(new_message_id());
            client.send(commands);
            for (std::size_t index = 0; index < batch; ++index)
                if (client.line() != "+OK") return false;
            if (!targets.wait_calls(before + batch, kDeadline)) return false;
            const auto calls = targets.calls();
            for (std::size_t index = before; index < calls.size(); ++index)
                if (calls[index].target == target) return true;
        }
        return false;
    }
    std::string new_message_id() {
        char text[17];
        std::snprintf(text, sizeof text, "%016x", ++last_id_);
        return text;
    }
    /// The number in the last id of new_message_id().
    unsigned last_message_number() const { return last_id_; }
    bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds within = kDeadline) {
        const auto deadline = std::chrono::steady_clock::now() + within;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > deadline) return false;
            std::this_thread::sleep_for(5ms);
        }
        return true;
    }

    rig::Directory directory;
    rig::Targets targets;
    Node node;

private:
    unsigned last_id_ = 0x1000;
};

}  // namespace lockgw
