// A keyed message that may have run is retried only within its deduplication window, while the target still
// remembers the key, whatever happens between the decision on a call and its last byte. And it is never
// refused: a client that hands it in again cannot tell whether the repeat will go out before the window has
// closed.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "core/clocks.hpp"
#include "discovery_fixture.hpp"
#include "store/journal.hpp"

namespace lockgw {
namespace {

using rig::CallScript;

constexpr auto kWindow = 4000ms;  // of the class "keyed", since the first call that may have run

class DedupWindowTest : public DiscoveryTest {
protected:
    DedupWindowTest() { node.config()["settings"]["limits"]["connect_timeout_ms"] = 6000; }

    /// The number of calls that arrived later than the window after the first call with their key, on the
    /// target's clock. The window begins when the first call is decided, before it arrives, so this count is
    /// too lenient by the duration of one call and never too strict.
    std::size_t calls_after_window() const {
        std::map<std::string, rig::Clock::time_point> first_calls;
        std::size_t late = 0;
        for (const auto& call : targets.calls()) {
            const auto [first, inserted] = first_calls.emplace(call.key, call.first_byte);
            if (!inserted && call.first_byte - first->second > kWindow) ++late;
        }
        return late;
    }
};

// Each call takes effect, and its connection breaks after 1.5 s. The retry is decided then, and its
// connection is established only after the window, because the kernel repeats the SYN 1 s and 3 s after the
// first.
TEST_F(DedupWindowTest, NoRetryIsSentOnAConnectionEstablishedAfterTheWindow) {
    constexpr std::size_t kTargets = 3;
    CallScript script;
    script.kind = CallScript::Kind::Reset;
    script.delay = 1500ms;
    std::vector<Json> members;
    for (std::size_t i = 0; i < kTargets; ++i) {
        members.push_back(member("s-" + std::to_string(i), i, 7 + static_cast<int>(i)));
        targets.usual(i, script);
    }
    start_with(members);
    Client client = node.client();
    for (std::size_t i = 0; i < kTargets; ++i)
        ASSERT_EQ(enqueue(client, new_message_id(), "keyed", 7 + static_cast<int>(i), 16'000), "+OK");
    ASSERT_TRUE(targets.wait_calls(kTargets, kDeadline));
    for (std::size_t i = 0; i < kTargets; ++i) targets.freeze(i, kWindow + 200ms);
    ASSERT_TRUE(eventually([&] { return directory.notices().size() >= kTargets; })) << node.log();
    std::this_thread::sleep_for(1500ms);  // long enough for a wrong retry to arrive
    EXPECT_EQ(calls_after_window(), 0u) << node.log();
    EXPECT_EQ(targets.calls().size(), kTargets) << node.log();
}

// Its target takes the order, dies before it answers and is down until the window has closed.
TEST_F(DedupWindowTest, AnOrderThatWasOutAtACrashIsNotRefused) {
    CallScript script;
    script.kind = CallScript::Kind::Reset;
    script.delay = 200ms;
    targets.usual(0, script);
    start_with({member("s-0", 0)});
    Client client = node.client();
    ASSERT_EQ(enqueue(client, new_message_id(), "keyed", 7, 16'000), "+OK");
    ASSERT_TRUE(targets.wait_calls(1, kDeadline));
    targets.refuse(0, kWindow + 2s);
    ASSERT_TRUE(eventually([&] { return !directory.notices().empty(); })) << node.log();
    EXPECT_EQ(directory.notices().front().at("result"), "dead") << "the client would hand it in again";
    EXPECT_EQ(targets.calls().size(), 1u) << node.log();
}

/// A journal of an earlier process.
class EarlierJournalTest : public DedupWindowTest {
protected:
    using Span = std::chrono::microseconds;
    /// The moment at these distances from now, on the steady clock and on the wall clock, which was set
    /// meanwhile.
    static Moment moment_at(Span steady, Span wall) {
        Moment moment = moment_now();
        moment.steady += steady;
        moment.wall += wall;
        return moment;
    }
    /// Leaves a message in the journal. `attempted`: when an attempt began that has no outcome.
    void leave_in_journal(MessageId id, const char* message_class, const Moment& deadline,
        const std::optional<Moment>& attempted) {
        std::filesystem::create_directories(node.state());
        Journal journal(node.state(), 1 << 20);
        Message message;
        message.id = id, message.message_class = message_class, message.tenant = "acme",
        message.destination = 7;
        message.key = std::to_string(id), message.body = "BODY", message.deadline = deadline;
        ASSERT_TRUE(journal.take_on(message));
        const bool kept = !attempted || journal.begin_attempt(id, "s-0", *attempted);
        ASSERT_TRUE(kept);
    }
    /// The result that was reported for the message with this number.
    std::string result_of(MessageId id) {
        const std::string name = cometspoke::settings::id_text(id);
        std::string result;
        const auto reported = [&] {
            for (const Json& notice : directory.notices())
                if (notice.at("ref") == name) result = notice.at("result");
            return !result.empty();
        };
        EXPECT_TRUE(eventually(reported)) << node.log();
        return result;
    }
    std::set<std::string> keys_called() const {
        std::set<std::string> keys;
        for (const auto& call : targets.calls()) keys.insert(call.key);
        return keys;
    }
};

/// Written while the wall clock was an hour away from its present time.
class ClockSetDuringRestart : public EarlierJournalTest {};

TEST_F(ClockSetDuringRestart, WindowAndDeadlineFollowTheSteadyClock) {
    const Moment in_a_minute = moment_at(60s, 60s);
    // The clock was set back: the attempt seems to lie in the future.
    leave_in_journal(1, "keyed", in_a_minute, moment_at(-kWindow - 2s, 1h));
    // The clock was set forward: the attempt seems to be long ago.
    leave_in_journal(2, "keyed", in_a_minute, moment_at(-1ms, -1h));
    // The clock was set back: the deadline seems to lie in the future.
    leave_in_journal(3, "safe", moment_at(-1s, 1h), {});
    // The clock was set forward: the deadline seems to have passed.
    leave_in_journal(4, "safe", moment_at(60s, -1h), {});
    start_with({member("s-0", 0)});
    ASSERT_TRUE(targets.wait_calls(2, kDeadline)) << node.log();
    ASSERT_TRUE(eventually([&] { return directory.notices().size() >= 2; })) << node.log();
    EXPECT_EQ(keys_called(), (std::set<std::string>{"2", "4"}));
}

// After a reboot with the wall clock set back, no clock tells how long ago the call was.
TEST_F(ClockSetDuringRestart, NothingIsRetriedWhenNoClockTellsTheAge) {
    Moment other_boot = moment_at(-1ms, 1h);
    ++other_boot.boot_id;
    leave_in_journal(1, "keyed", moment_at(60s, 60s), other_boot);
    start_with({member("s-0", 0)});
    ASSERT_TRUE(eventually([&] { return !directory.notices().empty(); })) << node.log();
    EXPECT_EQ(targets.calls().size(), 0u) << node.log();
}

TEST_F(EarlierJournalTest, AMessageFoundBehindItsWindowIsNotRefused) {
    leave_in_journal(1, "keyed", moment_at(60s, 60s), moment_at(-kWindow - 2s, -kWindow - 2s));
    start_with({member("s-0", 0)});
    EXPECT_EQ(result_of(1), "dead");
    EXPECT_EQ(targets.calls().size(), 0u) << node.log();
}

// An earlier build refused messages that may have run. Its refusal may not have reached the agent yet.
TEST_F(EarlierJournalTest, ARefusalOfAnEarlierBuildIsNotReportedForAMessageThatMayHaveRun) {
    const Moment in_a_minute = moment_at(60s, 60s);
    leave_in_journal(1, "keyed", in_a_minute, moment_at(-1s, -1s));
    leave_in_journal(2, "keyed", in_a_minute, {});
    leave_in_journal(3, "safe", in_a_minute, moment_at(-1s, -1s));
    {
        Journal journal(node.state(), 1 << 20);
        for (const MessageId id : {1, 2, 3}) journal.end(id, {true, 4500ms});
    }
    start_with({member("s-0", 0)});
    EXPECT_EQ(result_of(1), "dead");
    EXPECT_EQ(result_of(2), "bounced");  // it never ran
    EXPECT_EQ(result_of(3), "bounced");  // it may be repeated freely
}

}  // namespace
}  // namespace lockgw
