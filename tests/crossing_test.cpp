// Two events that cross in the same moment: docs/crossing-events.md. Each test forces the bad order.
#include <csignal>
#include <random>

#include "core/clocks.hpp"
#include "handover/lock_files.hpp"
#include "loop_fixture.hpp"
#include "plain_client.hpp"
#include "program/signals.hpp"
#include "shutdown_fixture.hpp"

namespace lockgw {
namespace {

// ---- shutdown ----

// The client's next request is on its way while its resting connection is let go. It is not taken on, for its
// client sees the end and hands it in elsewhere; and nothing resets the connection over it.
TEST_F(ShutdownCrossing, ARequestThatMeetsTheHalfCloseIsDroppedWithoutAReset) {
    start();
    PlainClient client(address);
    client.send(rig::command({"PING"}));
    ASSERT_TRUE(run_until([&] { return client.has_news(); }));
    ASSERT_EQ(client.line(), "+PONG\r\n");
    forwarder->drain();
    ASSERT_TRUE(run_until([&] { return client.has_news(); })) << "the half-close";
    client.send(
        rig::command(message(id)));  // the loop rests: nobody has read it when the connection is closed
    client.finish_sending();
    ASSERT_TRUE(run_until([&] { return client.is_over(); }));
    EXPECT_FALSE(client.was_reset());
    EXPECT_EQ(client.rest(), "");
    EXPECT_EQ(owed(), 0u);
    EXPECT_TRUE(target.no_request_within(0ms));
}

// The same behind the answer to a request that had begun before all were let go.
TEST_F(ShutdownCrossing, ARequestBehindTheLastAnswerIsDroppedWithoutAReset) {
    start();
    PlainClient client(address);
    drain_beside_half_a_command(client);
    run_to(2500ms);  // all the others are let go by then
    send_the_rest(client);
    ASSERT_TRUE(run_until([&] { return client.has_news(); }));
    ASSERT_EQ(client.line(), "+OK\r\n");
    ASSERT_TRUE(run_until([&] { return client.has_news(); })) << "the half-close";
    client.send(rig::command(message(other_id)));
    client.finish_sending();
    ASSERT_TRUE(run_until([&] { return client.is_over(); }));
    EXPECT_FALSE(client.was_reset());
    EXPECT_EQ(client.rest(), "");
    EXPECT_EQ(owed(), 1u) << "and the second is not taken on";
}

// The last bytes of a request come in the very turn in which the process would end.
TEST_F(ShutdownCrossing, ARequestReadInTheLastMomentIsAnswered) {
    json["known"] = target_list(1, true, {});  // nobody to deliver to: what is taken on stays owed
    json["settings"]["n_instances"] = 2;
    start();
    PlainClient client(address);
    drain_beside_half_a_command(client);
    run_to(2800ms);
    send_the_rest(client);
    std::this_thread::sleep_until(
        drained_at + 3450ms);  // its bytes and the end of the drain are due together now
    ASSERT_TRUE(run_until([&] { return io.stopped(); }));
    forwarder.reset();
    EXPECT_FALSE(client.was_reset());
    EXPECT_EQ(client.rest(), "+OK\r\n");
    EXPECT_NE(Journal(folder.path(), 1 << 20).find(0x9b1f03aa5c7e2d41), nullptr);
}

// ---- hand-over to a new version ----

using HandOverCrossing = LoopTest;

// SIGHUP while another process takes over: attempts stay paused, whatever the file says.
TEST_F(HandOverCrossing, AReloadBeginsNoAttempts) {
    start();
    Client client(address);
    ASSERT_EQ(ask(client, message(id, "unsafe")), "+OK");
    const Exchange out =
        beside_the_loop([&] { return target.next(); });  // no answer: the calls are waited for
    bool wanted = false, over = false;
    std::size_t looks = 0;
    forwarder->enable_hand_over(
        [&] {
            looks += wanted;
            return wanted;
        },
        [&] {
            over = true;
            io.stop();
        });
    wanted = true;
    ASSERT_TRUE(run_until([&] { return looks > 0; }));
    forwarder->reload(config());
    client.send(rig::command(message(other_id)));
    ASSERT_TRUE(run_until([&] { return over; }));
    EXPECT_TRUE(target.no_request_within(200ms))
        << "a call was begun that the other process knows nothing of";
    EXPECT_EQ(client.line(), "+OK");
    forwarder.reset();
    EXPECT_EQ(Journal(folder.path(), 1 << 20).unended(), 2u);
}

// The last bytes of a request come in the very turn in which the folder would be handed over.
TEST_F(HandOverCrossing, ARequestReadInTheLastMomentIsAnswered) {
    json["known"] = target_list(1, true, {});
    start();
    PlainClient resting(address), half(address);
    const std::string request = rig::command(message(id));
    half.send(request.substr(0, 20));
    resting.send(rig::command({"PING"}));
    ASSERT_TRUE(run_until([&] { return resting.has_news(); }));
    ASSERT_EQ(resting.line(), "+PONG\r\n");
    bool wanted = false;
    forwarder->enable_hand_over([&] { return wanted; }, [&] { io.stop(); });
    wanted = true;
    ASSERT_TRUE(run_until([&] { return resting.has_news(); })) << "clients are let go";
    half.send(request.substr(20));
    std::this_thread::sleep_for(handover::kClients + 20ms);
    ASSERT_TRUE(run_until([&] { return io.stopped(); }));
    forwarder.reset();
    EXPECT_FALSE(half.was_reset());
    EXPECT_EQ(half.rest(), "+OK\r\n");
    EXPECT_NE(Journal(folder.path(), 1 << 20).find(0x9b1f03aa5c7e2d41), nullptr);
}

// ---- the order to end ----

TEST(EndSignalCrossing, IsHeardThoughTheLoopStopsInTheSameMoment) {
    program::EndSignal end;
    {
        asio::io_context loop{1};
        asio::signal_set signals(loop, SIGTERM);
        bool heard = false;
        signals.async_wait([&](auto failed, int) { heard = !failed; });
        asio::post(loop, [&] {
            ::raise(SIGTERM);
            loop.stop();
        });
        loop.run();
        EXPECT_FALSE(heard) << "the order was not forced";
    }
    EXPECT_TRUE(end.told());
}
TEST(EndSignalCrossing, IsNotHeardWhereNoneCame) {
    program::EndSignal end;
    EXPECT_FALSE(end.told());
    ::raise(SIGTERM);
    EXPECT_TRUE(end.told());
    EXPECT_TRUE(end.told());
}

class TakeOverCrossing : public NodeTest {};

// A process that waits to take over gets the lock and SIGTERM at once, while it is stopped.
TEST_F(TakeOverCrossing, AnOrderToEndThatComesWithTheLockIsHeeded) {
    node.hold_listener();
    std::filesystem::create_directories(node.state());
    handover::LockFiles locks(node.state());
    ASSERT_TRUE(locks.try_owner());
    node.start();
    const auto until = Clock::now() + kDeadline;
    while (!locks.wanted() && Clock::now() < until) std::this_thread::sleep_for(1ms);
    ASSERT_TRUE(locks.wanted()) << node.log();
    ::kill(node.pid(), SIGSTOP);
    int status = 0;
    ASSERT_EQ(::waitpid(node.pid(), &status, WUNTRACED), node.pid());
    locks.drop_owner();
    std::this_thread::sleep_for(50ms);  // its next look at the lock is due before it hears anything
    ::kill(node.pid(), SIGTERM);
    ::kill(node.pid(), SIGCONT);
    const auto ends_by = Clock::now() + kDeadline;
    pid_t ended = 0;
    while ((ended = ::waitpid(node.pid(), &status, WNOHANG)) == 0 && Clock::now() < ends_by)
        std::this_thread::sleep_for(5ms);
    ASSERT_EQ(ended, node.pid()) << "it goes on: " << node.log();
    node.follow(0);
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status << node.log();
}

// ---- requests that wait ----

class WaitingRequest : public LoopTest {
protected:
    static constexpr auto kWaited = 250ms;
    static constexpr auto kSlack = 20ms;  // of the kernel's clock, and of the test's own steps

    std::string request(const std::string& name) const {
        return rig::command(
            {"ENQUEUE", "0000000000000000", name, "c=safe,t=acme,d=2000,k=" + name + ",dest=7", "BODY"});
    }
    /// From `sent` to the deadline that stands in the journal.
    std::chrono::microseconds time_given(MessageId message, std::chrono::microseconds sent) {
        forwarder.reset();
        const Journal journal(folder.path(), 1 << 20);
        const Entry* entry = journal.find(message);
        return entry == nullptr ? std::chrono::microseconds(0) : entry->message.deadline.steady - sent;
    }
};

// A client's `d` counts from when it sent its request. That of one that had waited in the listener's queue,
// or unread, was counted from when it was read, and its final status came so much later.
TEST_F(WaitingRequest, ItsTimeCountsFromWhenItCame) {
    json["known"] = target_list(1, true, {});  // nobody to deliver to
    start();
    Client client(address);
    const auto sent = steady_now();
    client.send(request(id));
    std::this_thread::sleep_for(kWaited);  // the loop rests
    ASSERT_EQ(beside_the_loop([&] { return client.line(); }), "+OK");
    const auto given = time_given(0x9b1f03aa5c7e2d41, sent);
    EXPECT_LE(given, 2000ms + kSlack);
    EXPECT_GE(given, 2000ms - kSlack);
}

// The same for one that waits behind another of its connection.
TEST_F(WaitingRequest, ItsTimeCountsFromWhenItCameBehindAnother) {
    json["known"] = target_list(1, true, {});
    start();
    Client client(address);
    const auto sent = steady_now();
    client.send(request(id) + request(other_id));
    while (owed() == 0) ASSERT_GT(io.run_one_for(kDeadline), 0u);  // one handler after another
    ASSERT_EQ(owed(), 1u) << "the order is not forced";
    std::this_thread::sleep_for(kWaited);  // its answer is not written yet
    for (int i = 0; i < 2; ++i) ASSERT_EQ(beside_the_loop([&] { return client.line(); }), "+OK");
    EXPECT_LE(time_given(0xaa, sent), 2000ms + kSlack);
}

// ---- attempts ----

// The connection comes up in the same turn in which the time of its call runs out.
TEST(AttemptCrossing, NothingIsWrittenAfterTheTimeOfItsCall) {
    asio::io_context io{1};
    Tcp::acceptor listener(io, {asio::ip::address_v4::loopback(), 0});
    Config config = read_config(make_config("127.0.0.1:1", "127.0.0.1:1"));
    std::vector<cometspoke::OutcomeEvent> outcomes;
    Targets targets(io, config, 8,
        {[](const Call&, const Tcp::endpoint&) { return true; },
            [&](const CallResult& result) { outcomes.push_back(result.event); }});
    targets.set_address(1, listener.local_endpoint());
    Call call;
    call.message = 5, call.endpoint = 1, call.body = "BODY", call.time_out = 30ms;
    targets.start(call);
    std::this_thread::sleep_for(60ms);  // the kernel has connected it meanwhile
    const auto until = Clock::now() + kDeadline;
    while (outcomes.empty() && Clock::now() < until) io.run_for(1ms);
    ASSERT_EQ(outcomes.size(), 1u);
    EXPECT_TRUE(outcomes[0].outcome == cometspoke::Outcome::NotSent ||
                outcomes[0].outcome == cometspoke::Outcome::NoConnection);
    Tcp::socket accepted = listener.accept();
    accepted.non_blocking(true);
    char byte = 0;
    boost::system::error_code failed;
    EXPECT_EQ(accepted.read_some(asio::buffer(&byte, 1), failed), 0u) << "it was written all the same";
}

// An answer of 200 and the end of the message's time come in one turn: it is delivered, and nobody is told
// otherwise.
using AnswerCrossing = LoopTest;
TEST_F(AnswerCrossing, ADeliveryAndTheDeadlineInOneTurn) {
    start();
    Client client(address);
    constexpr auto kLeft = 600ms;
    auto words = message(id);
    words[3] = "c=safe,t=acme,d=" + std::to_string(kLeft.count()) + ",k=5c0f,dest=7";
    const auto handed_in = Clock::now();
    ASSERT_EQ(ask(client, words), "+OK");
    const Exchange call = beside_the_loop([&] { return target.next(); });
    ASSERT_LT(Clock::now() - handed_in, kLeft) << "too slow: the order was not forced";
    call.answer(200);  // the loop rests: its bytes and the deadline are due together
    std::this_thread::sleep_until(handed_in + kLeft + 100ms);
    ASSERT_TRUE(run_until([&] { return owed() == 0; }));
    ASSERT_TRUE(run_until([&, until = Clock::now() + 200ms] { return Clock::now() > until; }));
    while (!agent.no_request_within(0ms)) EXPECT_NE(std::string(agent.next().request.target()), "/reports");
}

// The same id once more in the turn behind the one in which its message was delivered.
using RepeatedIdInOneProcess = LoopTest;
TEST_F(RepeatedIdInOneProcess, IsNotTakenOnAnewBehindItsEnd) {
    start();
    Client client(address);
    ASSERT_EQ(ask(client, message(id, "unsafe")), "+OK");
    beside_the_loop([&] { return target.next(); }).answer(200);
    ASSERT_TRUE(run_until([&] { return owed() == 0; }));
    EXPECT_EQ(ask(client, message(id, "unsafe")), "+OK");
    ASSERT_TRUE(run_until([&, until = Clock::now() + 100ms] { return Clock::now() > until; }));
    EXPECT_EQ(owed(), 0u);
    EXPECT_TRUE(target.no_request_within(0ms)) << "it was sent once more";
}

class RepeatedIdCrossing : public NodeTest {};

// Its client's connection ended before it had read the answer, and the message was delivered meanwhile: the
// same id comes once more and must not run twice.
TEST_F(RepeatedIdCrossing, AMessageThatHasEndedIsNotTakenOnAnew) {
    node.config()["settings"]["family_info"]["slots"] = 1;
    node.start_ready();
    Client first = node.client();
    ASSERT_EQ(enqueue(first, id, "unsafe"), "+OK");
    target.next().answer(200);
    ASSERT_EQ(enqueue(first, "00000000000000aa"), "+OK");
    const Exchange second = target.next();  // there is one slot: the first has ended
    Client again = node.client();
    EXPECT_EQ(enqueue(again, id, "unsafe"), "+OK");
    second.answer(200);
    EXPECT_TRUE(target.no_request_within(300ms));
}

// ---- discovery ----

/// One forwarder whose agent answers with a long list; a loop of its own, for what one has posted must not
/// run for another.
class LongListPlay : public LoopTest {
public:
    LongListPlay() {
        std::vector<Json> many{member("s-1", target.address(), 7)};
        for (int i = 0; i < kMembers; ++i)
            many.push_back(member("x-" + std::to_string(i), target.address(), 1000 + i));
        many.push_back(member("s-last", target.address(), kLast));
        const std::string body = target_list(5, true, many).dump();
        answer_ = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        start();
        beside_the_loop([this] { return agent.next(); }).write(answer_);
    }
    void TestBody() override {}
    /// Asked between any two turns of the loop, so it must cost next to nothing.
    bool in_force() const { return !forwarder->members().endpoints_of(kLast).empty(); }
    /// A list that comes too late for its request, on a machine that is busy, is asked for again and answered
    /// again.
    bool comes_into_force() {
        return run_until([this] {
            if (in_force()) return true;
            if (!agent.no_request_within(0ms)) agent.next().write(answer_);
            return in_force();
        });
    }
    void run_for(std::chrono::microseconds span) {
        const auto until = Clock::now() + span;
        ASSERT_TRUE(run_until([&] { return Clock::now() > until; }));
    }
    void move_to_a_silent_agent() {
        json["discovery"] = other_.address();
        forwarder->reload(config());
    }

private:
    static constexpr int kMembers = 6000, kLast = 999'999;
    HttpStub other_;
    std::string answer_;  // with the long list
};

// A long list of the agent before, at any point between its first byte and its last part, and a move to
// another agent: what is not in force once the move is made never is.
TEST(DiscoveryCrossing, ALongListOfTheAgentBeforeIsNotTakenAfterAMove) {
    const unsigned seed = std::random_device{}();
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 random(seed);
    ASSERT_TRUE(LongListPlay().comes_into_force()) << "without a move it is taken";
    int before = 0;
    for (int play = 0; play < 12; ++play) {
        LongListPlay one;
        one.run_for(std::chrono::microseconds(random() % 60'000));
        one.move_to_a_silent_agent();
        const bool taken =
            one.in_force();  // a list that is being taken in by parts is taken whole by the move
        before += !taken;
        one.run_for(150ms);
        EXPECT_EQ(one.in_force(), taken) << "in play " << play;
    }
    EXPECT_GT(before, 0) << "no move came before the list was in force";
}

// ---- recovery ----

// The class of a message without terms (of an older build) is taken away while the message waits for its turn
// in the backlog: it gets its final answer.
using BacklogCrossing = LoopTest;
TEST_F(BacklogCrossing, AClassThatGoesWhileItsMessageWaits) {
    {
        Journal journal(folder.path(), 1 << 20);
        Message message;
        message.id = 0xaa, message.message_class = "keyed", message.tenant = "acme", message.destination = 7;
        message.key = "5c0f", message.body = "B", message.deadline = moment_now() + 60s;
        ASSERT_TRUE(journal.take_on(message));
    }
    Config own = config();
    own.settings.n_instances = 2, own.settings.own_number = 0, own.settings.notes = true, own.tier.on = true;
    own.recovery.ask_ms = 300;  // the backlog waits so long
    asio::io_context unused;
    Udp::socket silent(unused, {asio::ip::address_v4::loopback(), 0}),
        drawn(unused, {asio::ip::address_v4::loopback(), 0});
    own.peer_listen = drawn.local_endpoint();
    own.peers = {drawn.local_endpoint(), silent.local_endpoint()};
    drawn.close();
    forwarder.emplace(io, own, real_protocols());
    forwarder->start();
    ASSERT_EQ(forwarder->recovery_status().at("phase"), "asking");
    Json& classes = json["settings"]["classes"];
    for (std::size_t i = classes.size(); i-- > 0;)
        if (classes[i]["name"] == "keyed") classes.erase(i);
    Config less = config();
    less.settings.n_instances = 2, less.settings.own_number = 0, less.settings.notes = true;
    forwarder->reload(less);
    ASSERT_TRUE(run_until([&] { return forwarder->recovery_status().at("phase") != "asking"; }));
    ASSERT_TRUE(run_until([&] { return owed() == 0; })) << "it waits for ever";
    EXPECT_TRUE(target.no_request_within(0ms));
}

// A compaction falls between a message and the terms under which it is taken on.
TEST(JournalCrossing, ACompactionPartsNoMessageFromItsTerms) {
    constexpr std::size_t kRoom = 16 << 20, kCompactedFrom = 512 * 1024;
    cometspoke::ClassSettings own;
    own.effect = cometspoke::Effect::Fragile, own.deadline = 7s, own.max_attempts = 2;
    const auto terms = std::make_shared<const cometspoke::ClassSettings>(own);
    TemporaryFolder folder;
    Journal journal(folder.path(), kRoom);
    const auto size = [&] { return std::filesystem::file_size(folder.path() / "journal"); };
    MessageId last = 0;
    const auto message = [&](std::size_t body) {
        Message one;
        one.id = ++last, one.message_class = "order", one.destination = 7, one.body = std::string(body, 'b');
        one.deadline = moment_now() + 60s;
        one.terms = terms;
        return one;
    };
    const auto passes = [&](std::size_t body) {
        const auto before = size();
        ASSERT_TRUE(journal.take_on(message(body)));
        journal.delivered(last);
        ASSERT_GT(size(), before) << "compacted too early";
    };
    ASSERT_NO_FATAL_FAILURE(passes(1));
    const auto before = size();
    ASSERT_NO_FATAL_FAILURE(passes(0));
    const std::size_t overhead = size() - before;
    while (size() + 4 * overhead + 1000 < kCompactedFrom) ASSERT_NO_FATAL_FAILURE(passes(1000 - overhead));
    // the file ends exactly where one more record makes it long enough to be written anew
    ASSERT_NO_FATAL_FAILURE(passes(kCompactedFrom - size() - overhead));
    ASSERT_EQ(size(), kCompactedFrom);
    for (int i = 0; i < 2; ++i) ASSERT_TRUE(journal.take_on(message(10)));
    ASSERT_LT(size(), kCompactedFrom) << "it was not written anew";
    TemporaryFolder copy;
    rig::copy_files(folder.path(), copy.path());
    const Journal next(copy.path(), kRoom);
    for (const MessageId id : {last - 1, last}) {
        const Entry* entry = next.find(id);
        ASSERT_NE(entry, nullptr) << id;
        ASSERT_NE(entry->message.terms, nullptr)
            << id << " would be judged by whatever the settings say then";
        EXPECT_EQ(*entry->message.terms, own);
    }
}

}  // namespace
}  // namespace lockgw
