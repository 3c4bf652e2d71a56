// The containers beside the module (src/containers), each against a plain account of the same.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

#include "containers/due_queue.hpp"
#include "containers/lines.hpp"
#include "containers/recent_set.hpp"

namespace lockgw {
namespace {

TEST(RecentSet, IsAPlainMapOfTimes) {
    constexpr int kSpan = 5;
    constexpr std::size_t kMost = 4;
    EXPECT_TRUE(rc::check("recent set", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& script) {
        RecentSet<int, int> recent(kSpan, kMost);
        std::vector<std::pair<int, int>> plain;  // when, key: oldest first
        int now = 0;
        for (const auto& [what, step] : script) {
            now += step % 4;
            std::erase_if(plain, [&](const auto& one) { return one.first + kSpan <= now; });
            const int key = what % 8;
            const auto has = [&](int wanted) {
                return std::any_of(
                    plain.begin(), plain.end(), [&](const auto& one) { return one.second == wanted; });
            };
            if (what % 3 == 0) {
                recent.add(key, now);
                if (!has(key)) plain.emplace_back(now, key);
                if (plain.size() > kMost) plain.erase(plain.begin());
            }
            RC_ASSERT(recent.contains(key, now) == has(key));
            RC_ASSERT(recent.size() == plain.size());
        }
    }));
}

TEST(DueQueue, IsAPlainMapInOrder) {
    EXPECT_TRUE(rc::check("due queue", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& script) {
        DueQueue<int, int> queue;
        std::map<int, int> plain;
        for (const auto& [what, when] : script) {
            const int key = what % 16;
            if (what % 5 == 0)
                queue.erase(key), plain.erase(key);
            else
                queue.set(key, when), plain[key] = when;
            std::vector<std::pair<int, int>> sorted;
            for (const auto& [one, due] : plain) sorted.emplace_back(due, one);
            std::sort(sorted.begin(), sorted.end());
            RC_ASSERT(queue.size() == plain.size());
            RC_ASSERT(queue.next() == (sorted.empty() ? std::nullopt : std::optional(sorted.front().first)));
            std::vector<int> due;
            for (const auto& [moment, one] : sorted)
                if (moment <= 100) due.push_back(one);
            RC_ASSERT(queue.due(100) == due);
            if (what % 7 != 0) continue;
            RC_ASSERT(queue.take_due(100) == due);
            for (const int one : due) plain.erase(one);
        }
    }));
}

TEST(Lines, WalkAllInOrderOfArrivalAndSomeWhereTold) {
    EXPECT_TRUE(rc::check("lines", [](const std::vector<std::uint8_t>& script) {
        Lines<int, std::uint64_t, int> lines;
        std::map<std::uint64_t, std::pair<int, int>> plain;  // by arrival: group and birth
        std::uint64_t arrival = 0;
        for (const int word : script) {
            if (word % 3 == 0 && !plain.empty()) {
                const auto one = std::next(plain.begin(), word % static_cast<int>(plain.size()));
                lines.take(one->second.first, one->first, one->second.second);
                plain.erase(one);
                continue;
            }
            plain[++arrival] = {word % 4, word};
            lines.put(word % 4, arrival, word, arrival);
        }
        std::vector<std::uint64_t> walked, told, some;
        lines.each([&](std::uint64_t item) { return walked.push_back(item), true; });
        for (const auto& [at, one] : plain) told.push_back(at);
        RC_ASSERT(walked == told);
        RC_ASSERT(lines.size() == plain.size());
        lines.some(
            2, [](int) { return 128; }, [&](std::uint64_t item) { return some.push_back(item), true; });
        RC_ASSERT(std::is_sorted(some.begin(), some.end()));
        for (int group = 0; group < 4; ++group) {
            std::vector<std::uint64_t> own;
            std::vector<std::pair<int, std::uint64_t>> born;
            for (const auto& [at, one] : plain)
                if (one.first == group) own.push_back(at), born.emplace_back(one.second, at);
            std::sort(born.begin(), born.end());
            const auto around = std::lower_bound(born.begin(), born.end(), std::pair(128, std::uint64_t{0}));
            const auto chosen = [&](std::uint64_t at) {
                return std::find(some.begin(), some.end(), at) != some.end();
            };
            for (std::size_t i = 0; i < 2 && i < own.size(); ++i) RC_ASSERT(chosen(own[i]));
            if (around != born.end()) RC_ASSERT(chosen(around->second));
            if (around != born.begin()) RC_ASSERT(chosen(std::prev(around)->second));
        }
    }));
}

}  // namespace
}  // namespace lockgw
