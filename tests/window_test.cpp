// A keyed message that may have run goes again only while its target still remembers the key, whatever
// happens between the choice of a call and its last byte.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "core/clocks.hpp"
#include "membership_fixture.hpp"
#include "store/journal.hpp"

namespace lockgw {
namespace {

using rig::CallScript;

constexpr auto kWindow = 4000ms;  // of the class "keyed", from the first call that may have run

class WindowTest : public MembershipTest {
protected:
    WindowTest() { node.config()["settings"]["limits"]["connect_timeout_ms"] = 6000; }

    /// Calls that came later than the window after the first one with their key, on the target's clock. The
    /// first is chosen before it arrives: that makes it milder by the time of one call, never sharper.
    std::size_t too_late() const {
        std::map<std::string, rig::Clock::time_point> first;
        std::size_t late = 0;
        for (const auto& call : targets.calls()) {
            const auto [at, fresh] = first.emplace(call.key, call.first_byte);
            if (!fresh && call.first_byte - at->second > kWindow) ++late;
        }
        return late;
    }
};

// Each call takes effect and breaks off after 1.5 s. Its repeat is chosen then, and the connection for that
// comes up only after the window: the kernel tries again 1 and 3 s after the first time.
TEST_F(WindowTest, NoRepeatGoesOutOnAConnectionThatComesUpAfterIt) {
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
        ASSERT_EQ(enqueue(client, fresh_id(), "keyed", 7 + static_cast<int>(i), 16'000), "+OK");
    ASSERT_TRUE(targets.wait_calls(kTargets, kDeadline));
    for (std::size_t i = 0; i < kTargets; ++i) targets.freeze(i, kWindow + 200ms);
    ASSERT_TRUE(waits_for([&] { return directory.notices().size() >= kTargets; })) << node.log();
    std::this_thread::sleep_for(1500ms);  // what is out by mistake arrives
    EXPECT_EQ(too_late(), 0u) << node.log();
    EXPECT_EQ(targets.calls().size(), kTargets) << node.log();
}

/// What an earlier process left, written down while the wall clock stood an hour away from where it stands
/// now.
class ClockSetOverARestart : public WindowTest {
protected:
    using Span = std::chrono::microseconds;
    /// So far from now on the clock that cannot be set, and on the one that was set meanwhile.
    static Moment apart(Span steady, Span wall) {
        Moment moment = moment_now();
        moment.steady += steady;
        moment.wall += wall;
        return moment;
    }
    void leave(MessageId id, const char* kind, const Moment& deadline, const std::optional<Moment>& tried) {
        std::filesystem::create_directories(node.state());
        Journal journal(node.state(), 1 << 20);
        Message message;
        message.id = id, message.message_class = kind, message.tenant = "acme", message.destination = 7;
        message.key = std::to_string(id), message.body = "BODY", message.deadline = deadline;
        ASSERT_TRUE(journal.take_on(message));
        const bool kept = !tried || journal.begin_attempt(id, "s-0", *tried);
        ASSERT_TRUE(kept);
    }
    std::set<std::string> keys_called() const {
        std::set<std::string> keys;
        for (const auto& call : targets.calls()) keys.insert(call.key);
        return keys;
    }
};

TEST_F(ClockSetOverARestart, WindowAndDeadlineGoByTheClockThatCannotBeSet) {
    const Moment later = apart(60s, 60s);
    leave(1, "keyed", later, apart(-kWindow - 2s, 1h));  // set back: seems to have been tried in the future
    leave(2, "keyed", later, apart(-1ms, -1h));          // set forward: seems to have been tried long ago
    leave(3, "safe", apart(-1s, 1h), {});                // set back: seems to have time left
    leave(4, "safe", apart(60s, -1h), {});               // set forward: seems to be out of time
    start_with({member("s-0", 0)});
    ASSERT_TRUE(targets.wait_calls(2, kDeadline)) << node.log();
    ASSERT_TRUE(waits_for([&] { return directory.notices().size() >= 2; })) << node.log();
    EXPECT_EQ(keys_called(), (std::set<std::string>{"2", "4"}));
}

// A machine that was started anew, and whose clock was set back: no clock tells how long ago the call was.
TEST_F(ClockSetOverARestart, NothingIsRepeatedWhereNoClockCanTell) {
    Moment other_boot = apart(-1ms, 1h);
    ++other_boot.boot_id;
    leave(1, "keyed", apart(60s, 60s), other_boot);
    start_with({member("s-0", 0)});
    ASSERT_TRUE(waits_for([&] { return !directory.notices().empty(); })) << node.log();
    EXPECT_EQ(targets.calls().size(), 0u) << node.log();
}

}  // namespace
}  // namespace lockgw
