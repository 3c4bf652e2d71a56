// A client leaves before it has read its answers: what it has left behind is not taken on any more.
#include "loop_fixture.hpp"

namespace lockgw {
namespace {

class LeavingClient : public LoopTest {
protected:
    static constexpr int kRequests = 30;

    std::string batch() const {
        std::string commands;
        for (int number = 1; number <= kRequests; ++number) {
            char text[17];
            std::snprintf(text, sizeof text, "%016x", number);
            commands += rig::command(message(text, "unsafe"));
        }
        return commands;
    }
    void run_for(std::chrono::milliseconds span) {
        ASSERT_TRUE(run_until([until = Clock::now() + span] { return Clock::now() > until; }));
    }
    /// Nobody to deliver to: what is taken on stays owed.
    void start_with_nobody_to_deliver_to() {
        json["known"] = target_list(1, true, {});
        start();
    }
};

// The requests of a connection that was reset before they were read were taken on and sent.
TEST_F(LeavingClient, NothingIsTakenOnBehindItsReset) {
    start_with_nobody_to_deliver_to();
    {
        Client client(address);
        client.send(batch());
        client.reset();
    }
    run_for(200ms);
    EXPECT_EQ(owed(), 0u);
}

// The same behind a close: the answer to the first request tells that nobody listens.
TEST_F(LeavingClient, OneRequestAtMostIsTakenOnBehindItsClose) {
    start_with_nobody_to_deliver_to();
    {
        Client client(address);
        client.send(batch());
    }
    run_for(200ms);
    EXPECT_LE(owed(), 1u);
}

// A client that has only ended its sending still reads, and gets all its answers.
TEST_F(LeavingClient, AHalfClosedOneIsServed) {
    start_with_nobody_to_deliver_to();
    Client client(address);
    client.send(batch());
    client.finish_sending();
    for (int i = 0; i < kRequests; ++i)
        ASSERT_EQ(beside_the_loop([&] { return client.line(); }), "+OK") << "request " << i;
    EXPECT_EQ(owed(), static_cast<std::size_t>(kRequests));
}

}  // namespace
}  // namespace lockgw
