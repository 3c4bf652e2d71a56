// Taking over (src/handover/plan.hpp): its laws over random histories of processes that are started, killed
// and frozen at any step, and what one process learns from another.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <memory>
#include <optional>
#include <vector>

#include "capture/memory.hpp"
#include "handover/knowledge.hpp"
#include "handover/lock_files.hpp"
#include "handover/plan.hpp"

namespace lockgw::handover {
namespace {

using namespace std::chrono_literals;

/// The kernel's part: who holds which lock.
struct Kernel {
    std::optional<int> owner, next;
};

class Process final : public Locks {
public:
    Process(int id, Kernel& kernel, Time now) : id_(id), kernel_(kernel) {
        if (try_owner()) return;
        waiting_.emplace(Waiting::Goal::TakeOver, now);
    }
    bool try_owner() override { return take(kernel_.owner); }
    bool try_next() override { return take(kernel_.next); }
    void drop_next() override { drop(kernel_.next); }

    /// One look of its loop.
    void step(Time now) {
        if (left) return;
        if (waiting_) {
            const auto step = waiting_->step(*this, now);
            if (step == Waiting::Step::Own) {
                waiting_.reset();
                drop_next();  // it serves
                yielding_ = {};
            } else if (step == Waiting::Step::Leave) {
                left = true;
            }
            return;
        }
        const bool wanted = kernel_.next && *kernel_.next != id_;
        switch (yielding_.step(wanted, calls, clients, now)) {
            case Yielding::Step::HandOver:
                drop(kernel_.owner);
                waiting_.emplace(Waiting::Goal::Spare, now);
                break;
            case Yielding::Step::StopCalls:
            case Yielding::Step::GoOn:
            case Yielding::Step::LetGo:
            case Yielding::Step::StopReading:
            case Yielding::Step::None:
                break;
        }
    }
    void die() { drop(kernel_.owner), drop(kernel_.next), left = true; }
    bool owns() const { return kernel_.owner == id_; }
    bool serves() const { return owns() && !waiting_; }

    bool left = false, frozen = false;
    std::size_t calls = 0;
    bool clients = false;

private:
    bool take(std::optional<int>& lock) {
        if (!lock) lock = id_;
        return *lock == id_;
    }
    void drop(std::optional<int>& lock) {
        if (lock == id_) lock.reset();
    }
    int id_;
    Kernel& kernel_;
    Yielding yielding_;
    std::optional<Waiting> waiting_;
};

// However they are started, killed and frozen: never two that serve, and soon one, if any that can is left.
TEST(HandoverLaws, OneServesAndSoon) {
    const bool good = rc::check("one owner", [](const std::vector<std::uint16_t>& words) {
        Kernel kernel;
        Time now{};
        std::vector<std::unique_ptr<Process>> all;
        int ids = 0;
        const auto look = [&] {
            now += 5ms;
            for (auto& one : all)
                if (!one->frozen) one->step(now);
            int serve = 0;
            for (const auto& one : all) serve += !one->left && one->serves();
            RC_ASSERT(serve <= 1);
        };
        for (const std::uint16_t word : words) {
            Process* one = all.empty() ? nullptr : all[word / 8 % all.size()].get();
            switch (word % 8) {
                case 0:
                case 1:
                    if (all.size() < 6) all.push_back(std::make_unique<Process>(ids++, kernel, now));
                    break;
                case 2:
                    if (one != nullptr) one->die();
                    break;
                case 3:
                    if (one != nullptr) one->frozen = !one->frozen;
                    break;
                case 4:
                    if (one != nullptr) one->calls = word % 3, one->clients = word % 5 == 0;
                    break;
                default:
                    for (int i = 0; i < word % 64; ++i) look();
            }
        }
        bool owner_frozen = false, able = false;
        for (const auto& one : all) {
            owner_frozen = owner_frozen || (!one->left && one->frozen && one->owns());
            able = able || (!one->left && !one->frozen);
        }
        if (owner_frozen || !able) return;  // who hangs and holds the lock cannot be told from who is slow
        // a newcomer frozen with `next` keeps others from asking, not from owning what nobody owns
        for (int i = 0; i < 3000; ++i) look();
        int serve = 0, left = 0;
        for (const auto& one : all) serve += !one->left && one->serves(), left += one->left;
        bool spare_left = false;  // all that are able may have left because one that is frozen now owned
        for (const auto& one : all) spare_left = spare_left || (!one->left && !one->frozen);
        if (!spare_left) return;
        if (kernel.next) {  // held by a frozen newcomer: another newcomer waits behind it
            for (const auto& one : all)
                if (one->frozen && !one->left) return;
        }
        RC_ASSERT(serve == 1);
    });
    EXPECT_TRUE(good);
}

TEST(Handover, CallsThenClientsThenOver) {
    Yielding one;
    Time now{};
    using Step = Yielding::Step;
    EXPECT_EQ(one.step(false, 3, true, now), Step::None);
    EXPECT_EQ(one.step(true, 3, true, now), Step::StopCalls);
    EXPECT_EQ(one.step(true, 1, true, now += 10ms), Step::None);
    EXPECT_EQ(one.step(false, 1, true, now += 10ms), Step::GoOn) << "whoever asked has died";
    EXPECT_EQ(one.step(true, 1, true, now += 10ms), Step::StopCalls);
    EXPECT_EQ(one.step(true, 0, true, now += 10ms), Step::LetGo);
    EXPECT_EQ(one.step(true, 0, true, now += 10ms), Step::None);
    EXPECT_EQ(one.step(true, 0, false, now += 10ms), Step::HandOver);
    Yielding slow;
    EXPECT_EQ(slow.step(true, 9, true, now), Step::StopCalls);
    EXPECT_EQ(slow.step(true, 9, true, now += kCalls), Step::LetGo);
    EXPECT_EQ(slow.step(true, 9, true, now += kClients - kAnswers - 1ms), Step::None);
    EXPECT_EQ(slow.step(true, 9, true, now += 1ms), Step::StopReading);
    EXPECT_EQ(slow.step(true, 9, true, now += kAnswers - 1ms), Step::None);
    EXPECT_EQ(slow.step(true, 9, true, now += 1ms), Step::HandOver);
    EXPECT_EQ(slow.step(true, 9, true, now += 1s), Step::None) << "it is over";
    Yielding late;
    EXPECT_EQ(late.step(true, 0, true, now), Step::StopCalls);
    EXPECT_EQ(late.step(true, 0, true, now), Step::LetGo);
    EXPECT_EQ(late.step(true, 0, true, now += 1s), Step::StopReading) << "also where its time is long over";
    EXPECT_EQ(late.step(true, 0, false, now), Step::HandOver) << "all is answered";
}

cometspoke::Settings small_settings() {
    cometspoke::Settings settings;
    settings.classes.resize(1);
    settings.classes[0].deadline = 10s;
    settings.kinds.resize(1);
    settings.slots = 4, settings.most_held = 10, settings.max_attempts = 3, settings.zones = 1;
    settings.fall = 2s, settings.warm_within = 11s, settings.cold_from = 0.16, settings.fall_multiple = 2.5;
    return settings;
}
void list(cometspoke::Sender& module, cometspoke::EndpointId id, cometspoke::DestinationId to,
    cometspoke::Time now) {
    cometspoke::ListEvent event;
    event.kind = cometspoke::ListKind::Changes;
    event.entries.push_back({id, to});
    module.observe(event, now);
}

// Under other numbers: waits and sickness are of the target, not of its number. A message for a partner told
// to wait is not sent before its time by the one that takes over.
TEST(Knowledge, WaitsAndOutagesHoldUnderOtherNumbers) {
    const auto settings = small_settings();
    cometspoke::Time now = 1000s;
    cometspoke::Sender old(settings, 1), fresh(settings, 2), blind(settings, 2);
    list(old, 7, 70, now);
    old.observe(cometspoke::MessageEvent{1, 70, 0, std::nullopt, std::nullopt, 10s}, now);
    ASSERT_FALSE(old.decide(now).empty());
    cometspoke::OutcomeEvent refused;
    refused.message = 1, refused.endpoint = 7, refused.outcome = cometspoke::Outcome::TurnedAway;
    refused.wait = 2s;
    old.observe(refused, now += 100ms);
    old.decide(now);
    Known known;
    known.ids = {{"s-1", 7}};
    known.waits = {{"s-1", old.wait_until(7)}};
    known.memory = capture::memory_of(old);
    const auto read = known_of(bytes_of(known, now), now + 50ms);
    ASSERT_TRUE(read.has_value());
    list(fresh, 3, 70, now);
    EXPECT_EQ(learn(fresh, *read, {{"s-1", 3}}, settings), 1u);
    EXPECT_EQ(fresh.wait_until(3), old.wait_until(7));
    list(blind, 3, 70, now);
    Known spoilt = *read;
    spoilt.memory = "of another build";
    EXPECT_EQ(learn(blind, spoilt, {{"s-1", 3}}, settings), 0u);
    EXPECT_EQ(blind.wait_until(3), old.wait_until(7)) << "waits hold all the same";
    for (auto* module : {&fresh, &blind}) {
        module->observe(cometspoke::MessageEvent{2, 70, 0, std::nullopt, std::nullopt, 10s}, now);
        for (auto at = now; at < old.wait_until(7); at += 50ms)
            for (const auto& action : module->decide(at))
                EXPECT_FALSE(std::holds_alternative<cometspoke::Send>(action));
    }
}

TEST(Knowledge, IsNotBelievedWhenOldOrSpoilt) {
    const std::string bytes = bytes_of({}, 1000s);
    EXPECT_TRUE(known_of(bytes, 1000s + kFresh).has_value());
    EXPECT_FALSE(known_of(bytes, 1001s + kFresh).has_value());
    EXPECT_FALSE(known_of(bytes, 999s).has_value()) << "the machine was started anew";
    EXPECT_FALSE(known_of(bytes.substr(0, bytes.size() / 2), 1000s).has_value());
    EXPECT_FALSE(known_of("", 1000s).has_value());
}

}  // namespace
}  // namespace lockgw::handover
