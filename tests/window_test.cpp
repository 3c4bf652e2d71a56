// A keyed message that may have run goes again only while its target still remembers the key, whatever
// happens between the choice of a call and its last byte.
#include <gtest/gtest.h>

#include <map>

#include "membership_fixture.hpp"

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

}  // namespace
}  // namespace lockgw
