// Orders out of service and back into it that cross the steps in which clients are let go: after each order
// the operator's yes and the door agree.
#include <sys/socket.h>

#include <random>

#include "loop_fixture.hpp"

namespace lockgw {
namespace {

using operations::Order;

class ServiceCrossing : public LoopTest {
protected:
    static constexpr auto kLeaving = 300ms;  // out of service: all clients are let go by then

    void start() {
        Config short_drain = config();
        short_drain.door.hand_over_ms = kLeaving.count();
        forwarder.emplace(io, short_drain, real_protocols());
        forwarder->start();
    }

    /// The order comes in while the process is held up: it and all timers that fell due meanwhile are handled
    /// in one turn of the loop, the order first, as sockets are.
    void order_after_hold_up(Order::Kind kind, std::chrono::milliseconds hold_up) {
        int ends[2];
        ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
        asio::local::stream_protocol::socket caller(io, {}, ends[0]), console(io, {}, ends[1]);
        bool given = false;
        console.async_wait(asio::local::stream_protocol::socket::wait_read, [&](auto) {
            EXPECT_TRUE(forwarder->execute_order({kind, ""}).yes());
            given = true;
        });
        io.poll();
        ASSERT_EQ(caller.write_some(asio::buffer("x", 1)), 1u);
        std::this_thread::sleep_for(hold_up);
        ASSERT_TRUE(run_until([&] { return given; }));
    }
    void run_for(std::chrono::milliseconds span) {
        const auto until = Clock::now() + span;
        ASSERT_TRUE(run_until([&] { return Clock::now() >= until; }));
    }
    /// What a client that connects now hears; empty where the door is closed.
    std::string ping() {
        return beside_the_loop([this]() -> std::string {
            try {
                return Client(address).ask({"PING"});
            } catch (const std::exception&) {
                return "";
            }
        });
    }
};

// Review case 1: back in service while a step of the drain was due, the forwarder closed its door for good at
// the end of the 1.5 s, and its console said yes.
TEST_F(ServiceCrossing, BackInServiceDuringAnyStepTheDoorStaysOpen) {
    start();
    for (const auto at : {1ms, 5ms, 45ms, 150ms, 210ms, 250ms, 290ms}) {
        ASSERT_TRUE(forwarder->execute_order({Order::Kind::OutOfService, ""}).yes());
        run_for(at);
        EXPECT_TRUE(ping().starts_with("-ERR out of service"));
        order_after_hold_up(Order::Kind::InService, 100ms);
        EXPECT_EQ(ping(), "+PONG") << at.count() << " ms after the order out";
        run_for(kLeaving + 50ms);
        EXPECT_EQ(ping(), "+PONG") << "in service again " << at.count() << " ms after the order out";
    }
}

TEST_F(ServiceCrossing, OrdersInAnySeriesHold) {
    std::random_device device;
    const unsigned seed = device();
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 random(seed);
    start();
    const auto up_to = [&](int ms) {
        return std::chrono::milliseconds(std::uniform_int_distribution(0, ms)(random));
    };
    for (int i = 0; i < 40; ++i) {
        const bool in = random() % 2 == 0;
        order_after_hold_up(in ? Order::Kind::InService : Order::Kind::OutOfService, 20ms + up_to(130));
        EXPECT_EQ(ping() == "+PONG", in) << "order " << i;
        run_for(up_to(i % 8 == 0 ? 400 : 100));
    }
    order_after_hold_up(Order::Kind::InService, 100ms);
    run_for(kLeaving + 50ms);
    EXPECT_EQ(ping(), "+PONG");
}

/// A client of a forwarder that is out of service.
class RefusedBatch : public ServiceCrossing {
protected:
    void start_out_of_service() {
        start();
        ASSERT_TRUE(forwarder->execute_order({Order::Kind::OutOfService, ""}).yes());
        run_for(kLeaving + 50ms);
    }
    std::string batch(int count) {
        std::string commands;
        for (int i = 0; i < count; ++i) commands += rig::command(message(new_id()));
        return commands;
    }
    std::string new_id() {
        char text[17];
        std::snprintf(text, sizeof text, "%016x", ++last_id_);
        return text;
    }
    /// How many lines with a refusal come before another one, or before the connection ends.
    static int refusals(Client& client) {
        int count = 0;
        while (client.line().starts_with("-BUSY")) ++count;
        return count;
    }

private:
    unsigned last_id_ = 0;
};

// The commands behind the first one that was refused had been read, and got no answer.
TEST_F(RefusedBatch, IsAnsweredWhole) {
    start_out_of_service();
    for (const int count : {2, 3, 100, 10'000}) {
        const std::string commands = batch(count);
        EXPECT_EQ(beside_the_loop([&] {
            Client client(address);
            client.send(commands);
            return refusals(client);
        }),
            count);
    }
}

// The rest of the batch is on its way while the first command is refused.
TEST_F(RefusedBatch, IsAnsweredWholeThoughItComesInPieces) {
    start_out_of_service();
    const std::string commands = batch(3);
    for (const std::size_t piece : {std::size_t{1}, std::size_t{40}, commands.size() / 3, std::size_t{200}}) {
        EXPECT_EQ(beside_the_loop([&] {
            Client client(address);
            for (std::size_t at = 0; at < commands.size(); at += piece) {
                client.send(commands.substr(at, piece));
                std::this_thread::sleep_for(1ms);
            }
            return refusals(client);
        }),
            3)
            << "in pieces of " << piece;
    }
}

// A client that goes on without a pause is let go all the same.
TEST_F(RefusedBatch, DoesNotKeepItsConnectionForGood) {
    start_out_of_service();
    const auto began = Clock::now();
    const int refused = beside_the_loop([&] {
        Client client(address);
        int count = 0;
        while (client.ask(message(new_id())).starts_with("-BUSY")) ++count;
        return count;
    });
    EXPECT_GT(refused, 1);
    EXPECT_LT(Clock::now() - began, 4s);
}

}  // namespace
}  // namespace lockgw
