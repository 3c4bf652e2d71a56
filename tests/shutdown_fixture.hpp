/// A forwarder that was told to end (SIGTERM), beside a client that has sent half a command.
#pragma once

#include "loop_fixture.hpp"
#include "plain_client.hpp"

namespace lockgw {

class ShutdownCrossing : public LoopTest {
protected:
    /// What is taken on stays owed: the process ends by its time alone.
    void start_with_nobody_to_deliver_to() {
        json["known"] = target_list(1, true, {});
        json["settings"]["n_instances"] = 2;
        start();
    }
    /// Drains, and has the client send half a command before all that rest are let go: such a one stays.
    void drain_beside_half_a_command(PlainClient& client) {
        drained_at = Clock::now();
        forwarder->drain();
        run_to(1400ms);
        client.send(request.substr(0, kHalf));
    }
    /// So long after the order to end.
    void run_to(std::chrono::milliseconds span) {
        ASSERT_TRUE(run_until([&] { return Clock::now() - drained_at > span; }));
    }
    void send_the_rest(PlainClient& client) const { client.send(request.substr(kHalf)); }

    static constexpr std::size_t kHalf = 20;
    const std::string request = rig::command(message(id));
    Clock::time_point drained_at{};
};

}  // namespace lockgw
