// Events that cross a shutdown (docs/crossing-events.md, 1): what is read is answered, nobody is brought
// back, and a second order changes nothing.
#include "discovery_fixture.hpp"
#include "handover/lock_files.hpp"
#include "shutdown_fixture.hpp"

namespace lockgw {
namespace {

// Its rest never comes: its client is told to hand it in elsewhere, not left with a bare close.
TEST_F(ShutdownCrossing, HalfACommandAtTheEndIsToldBusy) {
    start_with_nobody_to_deliver_to();
    PlainClient client(address);
    drain_beside_half_a_command(client);
    ASSERT_TRUE(run_until([&] { return io.stopped(); }));
    forwarder.reset();
    EXPECT_FALSE(client.was_reset());
    EXPECT_EQ(client.rest().substr(0, 6), "-BUSY ");
}

// Commands that come in one piece behind all of which the connection is let go.
TEST_F(ShutdownCrossing, ABatchIsAnsweredInItsOrderBeforeTheHalfClose) {
    start_with_nobody_to_deliver_to();
    PlainClient client(address);
    drain_beside_half_a_command(client);
    run_to(2500ms);  // all the others are let go by then
    client.send(request.substr(kHalf) + rig::command({"PING"}) + rig::command(message(other_id)) +
                rig::command({"STRANGE"}));
    std::string answers;
    for (int i = 0; i < 4; ++i) {
        ASSERT_TRUE(run_until([&] { return client.has_news(); })) << answers;
        answers += client.line();
    }
    EXPECT_EQ(answers.substr(0, 17), "+OK\r\n+PONG\r\n+OK\r\n");
    EXPECT_EQ(answers.substr(17, 5), "-ERR ");
    client.finish_sending();
    ASSERT_TRUE(run_until([&] { return client.is_over(); }));
    EXPECT_FALSE(client.was_reset());
    EXPECT_EQ(owed(), 2u);
}

// Neither does it begin anew, nor end at once.
TEST_F(ShutdownCrossing, ASecondOrderToEndChangesNothing) {
    start_with_nobody_to_deliver_to();
    Client first(address);
    ASSERT_EQ(ask(first, message(id)), "+OK");
    PlainClient client(address);
    drain_beside_half_a_command(client);
    run_to(2000ms);
    forwarder->drain();
    run_to(2500ms);
    send_the_rest(client);
    ASSERT_TRUE(run_until([&] { return client.has_news(); }));
    EXPECT_EQ(client.line(), "+OK\r\n");
    ASSERT_TRUE(run_until([&] { return io.stopped(); }));
    EXPECT_LT(Clock::now() - drained_at, 2000ms + 3300ms) << "it began anew";
}

TEST_F(ShutdownCrossing, AReloadBringsNoClientBack) {
    start_with_nobody_to_deliver_to();
    Client first(address);
    ASSERT_EQ(ask(first, message(id)), "+OK");
    PlainClient client(address);
    drain_beside_half_a_command(client);
    run_to(2600ms);
    EXPECT_THROW(PlainClient{address}, boost::system::system_error)
        << "it still listens: the test shows nothing";
    forwarder->reload(config());
    run_to(2800ms);
    EXPECT_THROW(PlainClient{address}, boost::system::system_error);
    ASSERT_TRUE(run_until([&] { return io.stopped(); }));
    EXPECT_LT(Clock::now() - drained_at, 2600ms + 3300ms) << "the drain began anew";
}

// Another process asks for the folder: it gets it, with what is owed, before this one would have ended.
TEST_F(ShutdownCrossing, AProcessThatTakesOverGetsTheFolder) {
    start_with_nobody_to_deliver_to();
    bool wanted = false, over = false;
    forwarder->enable_hand_over([&] { return wanted; },
        [&] {
            over = true;
            io.stop();
        });
    Client first(address);
    ASSERT_EQ(ask(first, message(id)), "+OK");
    drained_at = Clock::now();
    forwarder->drain();
    run_to(500ms);
    wanted = true;
    ASSERT_TRUE(run_until([&] { return io.stopped(); }));
    EXPECT_TRUE(over) << "it ended by itself, and the other waited for that";
    forwarder.reset();
    EXPECT_NE(Journal(folder.path(), 1 << 20).find(0x9b1f03aa5c7e2d41), nullptr);
}

// Connections that wait in the listener's queue while it is closed: they are accepted first, and what they
// bring is answered.
TEST_F(ShutdownCrossing, ThoseInTheListenersQueueAreServed) {
    json["known"] = target_list(1, true, {});
    start();
    drained_at = Clock::now();
    forwarder->drain();
    run_to(2200ms);
    std::vector<std::unique_ptr<PlainClient>> waiting;
    for (int i = 0; i < 5; ++i) {  // the loop rests: nobody accepts them
        waiting.push_back(std::make_unique<PlainClient>(address));
        waiting.back()->send(rig::command({"PING"}));
    }
    std::this_thread::sleep_until(
        drained_at + 2600ms);  // they and the closing of the listener are due together
    ASSERT_TRUE(run_until([&] { return io.stopped(); }));
    forwarder.reset();
    for (const auto& client : waiting) {
        EXPECT_FALSE(client->was_reset());
        EXPECT_EQ(client->rest(), "+PONG\r\n");
    }
}

// A target that drains after SIGTERM gets nothing from what clients still hand in.
class WatchedShutdown : public DiscoveryTest {};
TEST_F(WatchedShutdown, DiscoveryIsFollowedToTheEnd) {
    node.config()["settings"]["n_instances"] = 2;
    start_with({member("s-0", 0), member("s-1", 1)});
    node.terminate();
    directory.put(member("s-0", 0, 7, "terminating"));
    ASSERT_TRUE(directory.wait_asked_from(directory.revision(), kDeadline)) << node.log();
    Client late = node.client();  // the front goes on dealing out connections for a moment
    std::string together;
    constexpr std::size_t kMessages = 12;
    for (std::size_t i = 0; i < kMessages; ++i) together += message(new_message_id());
    late.send(together);
    for (std::size_t i = 0; i < kMessages; ++i) ASSERT_EQ(late.line(), "+OK") << node.log();
    ASSERT_TRUE(targets.wait_calls(kMessages, kDeadline)) << node.log();
    for (const auto& call : targets.calls()) EXPECT_EQ(call.target, 1u);
    EXPECT_EQ(node.wait(), 0) << node.log();
}

// ---- hand-over ----

// A process that asks its peers for lost orders begins no attempts; the end of the asking, in the midst of a
// hand-over, must not let it begin them, for the other process would not know of them.
TEST_F(LoopTest, TheEndOfAskingPeersBeginsNoAttemptsDuringAHandOver) {
    Config own = config();
    own.settings.n_instances = 2, own.settings.own_number = 0, own.settings.notes = true;
    own.tier.on = true;
    constexpr auto kAsking = 1000ms, kBefore = 150ms;  // a hand-over beside a client takes 250 ms and more
    own.recovery.ask_ms = kAsking.count();
    asio::io_context other;
    Udp::socket silent(other, {asio::ip::address_v4::loopback(), 0});
    Udp::socket drawn(other, {asio::ip::address_v4::loopback(), 0});
    own.peer_listen = drawn.local_endpoint();
    own.peers = {drawn.local_endpoint(), silent.local_endpoint()};
    drawn.close();
    forwarder.emplace(io, own, real_protocols());
    forwarder->start();
    const auto started = Clock::now();
    const auto asks = [this] { return forwarder->recovery_status().at("phase") == "asking"; };
    ASSERT_TRUE(asks());
    PlainClient half(address);  // it holds the hand-over up
    half.send(rig::command(message(other_id)).substr(0, 20));
    Client client(address);
    ASSERT_EQ(ask(client, message(id)), "+OK");
    bool wanted = false, over = false, asked_when_over = true;
    forwarder->enable_hand_over([&] { return wanted; },
        [&] {
            over = true;
            asked_when_over = asks();
            io.stop();
        });
    ASSERT_TRUE(run_until([&] { return Clock::now() > started + kAsking - kBefore; }));
    ASSERT_TRUE(asks()) << "the asking ended before: the order was not forced";
    wanted = true;
    ASSERT_TRUE(run_until([&] { return io.stopped(); }));
    ASSERT_TRUE(over);
    EXPECT_FALSE(asked_when_over) << "the asking ended after: the order was not forced";
    EXPECT_TRUE(target.no_request_within(100ms))
        << "a call was begun that the other process knows nothing of";
}

}  // namespace
}  // namespace lockgw
