// The pace at which a backlog is taken up: its laws over random histories, and what each is for.
#include "recovery/backlog_pacing.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

namespace lockgw::recovery {
namespace {

constexpr Time ms(int count) { return std::chrono::milliseconds(count); }

Owed owed(MessageId id, double worth = 1, int left_ms = 10'000, DestinationId destination = 7) {
    return {id, destination, worth, ms(left_ms), {}, false};
}
BacklogPacingSettings alone() {
    BacklogPacingSettings settings;
    settings.usual = ms(20);
    settings.each = ms(5);
    settings.per_s = 1e7;  // so that the window alone holds
    settings.all = std::chrono::hours(1), settings.margin = Time(0);
    return settings;
}

TEST(BacklogPacing, BeginsSomewhereInASpanThatGrowsWithWhoCameBack) {
    BacklogPacingSettings settings = alone();
    settings.together = 51;
    const Time now(1'000'000);
    EXPECT_EQ(BacklogPacing(settings, {owed(1)}, 0, now).begins(), now);
    EXPECT_EQ(BacklogPacing(settings, {owed(1)}, 0.5, now).begins(), now + ms(125));
    settings.together = 1000;
    EXPECT_EQ(BacklogPacing(settings, {owed(1)}, 1, now).begins(), now + settings.longest);
    EXPECT_EQ(BacklogPacing(alone(), {owed(1)}, 1, now).begins(), now)
        << "one that comes back alone does not wait";
    BacklogPacing late(settings, {owed(1)}, 1, now);
    EXPECT_TRUE(late.release(now + settings.longest - ms(1)).empty());
    EXPECT_EQ(late.release(now + settings.longest), std::vector<MessageId>{1});
}

// Fewer came back than it was told at first: it begins sooner; more, or once it has begun: nothing changes.
TEST(BacklogPacing, BeginsSoonerWhereFewerCameBackThanWasFeared) {
    BacklogPacingSettings settings = alone();
    settings.together = 101;
    const Time now(1'000'000);
    BacklogPacing pace(settings, {owed(1, 1, 9000, 1), owed(2, 1, 9000, 2), owed(3, 1, 9000, 3)}, 0.5, now);
    EXPECT_EQ(pace.begins(), now + ms(250));
    pace.together(200, now);
    EXPECT_EQ(pace.begins(), now + ms(250));
    pace.together(21, now + ms(10));
    EXPECT_EQ(pace.begins(), now + ms(50));
    EXPECT_TRUE(pace.release(now + ms(49)).empty());
    EXPECT_EQ(pace.release(now + ms(50)).size(), 2u);
    pace.together(1, now + ms(60));
    EXPECT_EQ(pace.begins(), now + ms(50));
}
// What has less time left than an answer takes is handed back at once, to be ended; a usual time that was
// learned while all targets hung gives up nothing that has seconds left.
TEST(BacklogPacing, WhatCannotBeInTimeIsEndedAtOnce) {
    BacklogPacingSettings settings = alone();
    settings.together = 101;
    BacklogPacing pace(settings, {owed(1, 9, 15), owed(2, 1, 10'000)}, 1, Time(0));
    EXPECT_EQ(pace.release(Time(0)), std::vector<MessageId>{1}) << "before anything begins";
    EXPECT_TRUE(pace.hopeless(1));
    EXPECT_FALSE(pace.hopeless(2));
    settings.usual = ms(4000);
    BacklogPacing slow(settings, {owed(1, 1, 3000), owed(2, 1, 250)}, 1, Time(0));
    EXPECT_FALSE(slow.hopeless(1));
    EXPECT_TRUE(slow.hopeless(2));
}

TEST(BacklogPacing, TheWindowGrowsWithWhatIsServedAndHalvesWithRefusals) {
    std::vector<Owed> all;
    for (MessageId id = 1; id <= 40; ++id) all.push_back(owed(id, 1, 10'000, static_cast<DestinationId>(id)));
    BacklogPacing pace(alone(), all, 0, Time(0));
    auto first = pace.release(Time(0));
    EXPECT_EQ(first.size(), 2u);
    for (const MessageId id : first) pace.over(id, true);
    auto second = pace.release(ms(20));
    EXPECT_EQ(second.size(), 4u);
    for (const MessageId id : second) pace.over(id, true);
    EXPECT_EQ(pace.release(ms(40)).size(), 8u);
    EXPECT_EQ(pace.window(), 8u);
    pace.turned_away(pace.waiting() > 0 ? 7 : 0, ms(50));
    EXPECT_EQ(pace.window(), 4u);
    EXPECT_TRUE(pace.release(ms(50)).empty()) << "eight are out, four may be";
}

TEST(BacklogPacing, WhatHangsHoldsOnlyItsOwnPartUp) {
    std::vector<Owed> all;
    for (MessageId id = 1; id <= 20; ++id) all.push_back(owed(id, 2, 60'000, 1));  // worth more, and hangs
    for (MessageId id = 21; id <= 30; ++id) all.push_back(owed(id, 1, 60'000, 2));
    BacklogPacingSettings settings = alone();
    settings.most = 8;
    BacklogPacing pace(settings, all, 0, Time(0));
    std::set<MessageId> seen;
    for (int at = 0; at < 20'000; at += 20)
        for (const MessageId id : pace.release(ms(at))) {
            seen.insert(id);
            if (id > 20) pace.over(id, true);
        }
    for (MessageId id = 21; id <= 30; ++id) EXPECT_TRUE(seen.contains(id)) << id;
    EXPECT_EQ(seen.size(), 10u + 4u) << "half of the window hangs, and no more";
}

TEST(BacklogPacing, TheRateDoublesInEachSpanAndHalvesWithRefusals) {
    std::vector<Owed> all;
    for (MessageId id = 1; id <= 100; ++id)
        all.push_back(owed(id, 1, 60'000, static_cast<DestinationId>(id)));
    BacklogPacingSettings settings = alone();
    settings.per_s = 10, settings.most = 1000;
    BacklogPacing pace(settings, all, 0, Time(0));
    std::map<int, std::size_t> by_span;
    bool refused = false;
    for (int at = 0; at < 1000; at += 5)
        for (const MessageId id : pace.release(ms(at))) {
            ++by_span[at / 200];
            if (at >= 600 && !std::exchange(refused, true)) pace.turned_away(id, ms(at));
            pace.over(id, true);
        }
    EXPECT_LE(by_span[0], 2u + 2u) << "two at once, then ten a second";
    EXPECT_NEAR(static_cast<double>(by_span[1]), 4, 2);
    EXPECT_NEAR(static_cast<double>(by_span[2]), 8, 3);
    EXPECT_NEAR(static_cast<double>(by_span[3]), 8, 3) << "halved as it was to double";
}

// Fourteen of 20 come back at once with nine messages each, as they were seen to: two of each in the first
// 100 ms, and a rate that doubled until all was gone, added up to 30 calls in 100 ms.
TEST(BacklogPacing, BacklogsThatCameBackTogetherAddUpToNoPeak) {
    constexpr int kReturned = 14, kFleet = 20, kOwed = 9, kSlot = 100;  // ms
    constexpr std::size_t kMostInASlot = 24;
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        std::map<int, std::size_t> released;  // by slot
        for (int i = 0; i < kReturned; ++i) {
            std::vector<Owed> all;
            for (MessageId id = 1; id <= kOwed; ++id) all.push_back(owed(id));
            BacklogPacingSettings settings;
            settings.together = kFleet, settings.most = 12;
            BacklogPacing pace(settings, all, std::uniform_real_distribution<>(0, 1)(random), Time(0));
            for (int at = 0; at < 3000; at += 5)
                for (const MessageId id : pace.release(ms(at))) {
                    ++released[at / kSlot];
                    pace.over(id, true);
                }
            ASSERT_EQ(pace.phase(), BacklogPacing::Phase::Full) << "seed " << seed;
        }
        for (const auto& [slot, count] : released)
            EXPECT_LE(count, kMostInASlot) << "seed " << seed << ", at " << slot * kSlot << " ms";
    }
}

TEST(BacklogPacing, WhereNothingIsAnsweredItGoesOnAllTheSame) {
    std::vector<Owed> all;
    for (MessageId id = 1; id <= 8; ++id) all.push_back(owed(id, 1, 60'000, static_cast<DestinationId>(id)));
    BacklogPacing pace(alone(), all, 0, Time(0));
    EXPECT_EQ(pace.release(Time(0)).size(), 2u);
    EXPECT_EQ(pace.next(), std::optional(ms(200)));
    EXPECT_EQ(pace.release(ms(199)).size(), 0u);
    EXPECT_EQ(pace.release(ms(200)).size(), 2u);
    EXPECT_EQ(pace.release(ms(400)).size(), 4u);
}
// A backlog that was held until its time was up lost the answers of a day: whatever hangs or refuses, the
// module has each in time.
TEST(BacklogPacing, NothingIsHeldForLongNorShortBeforeItsEnd) {
    std::vector<Owed> all;
    for (MessageId id = 1; id <= 100; ++id) all.push_back(owed(id, 1, id <= 50 ? 60'000 : 2000));
    BacklogPacing pace({}, all, 0, Time(0));
    std::size_t released = 0, soon = 0;
    for (int at = 0; at <= 2000; at += 10)
        for (const MessageId id : pace.release(ms(at))) {
            ++released, soon += id > 50 && at <= 500;
            pace.turned_away(id, ms(at));  // and none is served
        }
    EXPECT_EQ(soon, 50u);
    EXPECT_EQ(released, 100u);
}

TEST(BacklogPacing, WorthGoesFirstThenUrgencyAndWhatIsTooLateLast) {
    BacklogPacingSettings settings = alone();
    settings.first = 100, settings.most = 100;
    BacklogPacing pace(settings,
        {owed(1, 1, 5000, 1), owed(2, 3, 9000, 2), owed(3, 3, 2000, 3), owed(4, 9, 10, 4)}, 0, Time(0));
    EXPECT_EQ(pace.release(Time(0)), (std::vector<MessageId>{4, 3, 2, 1})) << "4 is ended before any is sent";
    EXPECT_TRUE(pace.hopeless(4));
    settings.usual = ms(3000);
    BacklogPacing slow(settings, {owed(1, 1, 5000, 1), owed(2, 3, 9000, 2), owed(3, 9, 2000, 3)}, 0, Time(0));
    EXPECT_EQ(slow.release(Time(0)), (std::vector<MessageId>{2, 1, 3})) << "3 may yet be in time, but hardly";
}

TEST(BacklogPacing, WhatOnlyWaitsForItsEndIsNotHeld) {
    BacklogPacingSettings settings = alone();
    settings.together = 1000;
    Owed over = owed(2);
    over.over = true;
    BacklogPacing pace(settings, {owed(1, 1, 100), over, owed(3, 1, 0)}, 1, Time(0));
    const auto first = pace.release(Time(0));
    EXPECT_EQ(std::set<MessageId>(first.begin(), first.end()), (std::set<MessageId>{2, 3}));
    EXPECT_EQ(pace.next(), std::optional(ms(100)));
    EXPECT_EQ(pace.release(ms(100)), std::vector<MessageId>{1}) << "its time is up before the span is";
}

// Random backlogs, outcomes and steps of time against the laws of the header.
TEST(BacklogPacingLaws, HoldOverRandomHistories) {
    for (unsigned seed = 1; seed <= 400; ++seed) {
        std::mt19937_64 random(seed);
        const auto below = [&random](std::uint64_t most) { return random() % most; };
        BacklogPacingSettings settings = alone();
        settings.together = 1 + below(200), settings.most = 2 + below(40);
        std::vector<Owed> all;
        for (MessageId id = 1; id <= 1 + below(120); ++id) {
            Owed one = owed(id, static_cast<double>(1 + below(3)), static_cast<int>(below(8000)),
                static_cast<DestinationId>(below(4)));
            if (below(3) == 0) one.line = below(4);
            one.over = below(20) == 0;
            all.push_back(one);
        }
        const double draw = static_cast<double>(below(1000)) / 1000;
        Time now(static_cast<Time::rep>(below(1'000'000)));
        const Time begun = now;
        BacklogPacing pace(settings, all, draw, now);
        std::map<MessageId, Time> released;
        std::map<std::uint64_t, MessageId> last;
        std::set<MessageId> out;
        for (int step = 0; step < 5000 && (pace.waiting() > 0 || !out.empty()); ++step) {
            const std::size_t were_out = pace.out();
            for (const MessageId id : pace.release(now)) {
                const Owed& one = all[id - 1];
                ASSERT_TRUE(released.emplace(id, now).second) << "twice, seed " << seed;
                ASSERT_LE(now, std::max(begun + one.left, begun) + ms(400)) << "seed " << seed;
                const bool ended = one.over || pace.hopeless(id) || now >= begun + one.left;
                ASSERT_TRUE(ended || now >= pace.begins()) << "seed " << seed;
                if (ended) continue;
                out.insert(id);
                if (!one.line) continue;
                ASSERT_LT(last[*one.line], id) << "out of line, seed " << seed;
                last[*one.line] = id;
            }
            const auto next = pace.next();
            ASSERT_TRUE(!next || *next > now - ms(1)) << "a moment that has passed, seed " << seed;
            ASSERT_LE(pace.out(), std::max(pace.window(), were_out)) << "seed " << seed;
            std::map<DestinationId, std::size_t> of;
            for (const MessageId id : out) ++of[all[id - 1].destination];
            for (const auto& [destination, count] : of)
                ASSERT_LE(count, std::max<std::size_t>(1, settings.most / 2)) << "seed " << seed;
            if (!out.empty() && below(2) == 0) {
                auto any = out.begin();
                std::advance(any, below(out.size()));
                const MessageId id = *any;
                if (below(4) == 0) {
                    pace.turned_away(id, now);
                } else {
                    pace.over(id, below(3) != 0);
                    out.erase(id);
                }
            }
            now += ms(static_cast<int>(below(200)));
        }
        ASSERT_EQ(released.size(), all.size()) << "some were never released, seed " << seed;
    }
}

TEST(BacklogPacing, HurryingBringsAllAtOnce) {
    std::vector<Owed> all;
    for (MessageId id = 1; id <= 300; ++id) all.push_back(owed(id));
    BacklogPacingSettings settings = alone();
    settings.together = 100;
    BacklogPacing pace(settings, all, 1, Time(0));
    EXPECT_EQ(pace.release(Time(0), true).size(), 300u);
}

}  // namespace
}  // namespace lockgw::recovery
