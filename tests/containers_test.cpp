// Property tests of the containers (src/containers): each against a simple reference model.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

#include "containers/due_queue.hpp"
#include "containers/grouped_queue.hpp"
#include "store/ended_messages.hpp"

namespace lockgw {
namespace {

Moment moment_at(int steady) {
    return {std::chrono::microseconds(steady), std::chrono::microseconds(1'000'000 + steady), 42};
}

TEST(EndedMessages, MatchesAListOfIdsAndMoments) {
    static constexpr int kLifetime = 5;
    static constexpr std::size_t kCapacity = 4;
    EXPECT_TRUE(
        rc::check("ended messages", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& script) {
            EndedMessages ended(std::chrono::microseconds(kLifetime), kCapacity);
            std::vector<std::pair<int, std::uint64_t>> model;  // moment of the end and id, oldest first
            int now = 0;
            for (const auto& [operation, step] : script) {
                now += step % 4;
                std::erase_if(model, [&](const auto& entry) { return entry.first + kLifetime <= now; });
                const std::uint64_t id = operation % 8;
                const auto has = [&](std::uint64_t wanted) {
                    return std::any_of(model.begin(), model.end(),
                        [&](const auto& entry) { return entry.second == wanted; });
                };
                if (operation % 3 == 0) {
                    ended.add(id, moment_at(now));
                    if (!has(id)) model.emplace_back(now, id);
                    if (model.size() > kCapacity) model.erase(model.begin());
                }
                RC_ASSERT(ended.contains(id, moment_at(now)) == has(id));
                RC_ASSERT(ended.size() == model.size());
            }
        }));
}

// After a boot of the machine only the wall clock can tell; where that was set back, an id is kept.
TEST(EndedMessages, LivesByTheWallClockOverABoot) {
    EndedMessages ended(std::chrono::microseconds(5), 4);
    ended.add(1, moment_at(100));
    Moment booted = moment_at(0);
    booted.boot_id = 43;
    EXPECT_TRUE(ended.contains(1, booted)) << "before its end by the wall clock";
    booted.wall = moment_at(104).wall;
    EXPECT_TRUE(ended.contains(1, booted));
    booted.wall = moment_at(105).wall;
    EXPECT_FALSE(ended.contains(1, booted));
}

TEST(DueQueue, MatchesASortedMap) {
    EXPECT_TRUE(rc::check("due queue", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& script) {
        DueQueue<int, int> queue;
        std::map<int, int> model;  // due time by key
        for (const auto& [operation, when] : script) {
            const int key = operation % 16;
            if (operation % 5 == 0)
                queue.erase(key), model.erase(key);
            else
                queue.set(key, when), model[key] = when;
            std::vector<std::pair<int, int>> sorted;
            for (const auto& [model_key, due] : model) sorted.emplace_back(due, model_key);
            std::sort(sorted.begin(), sorted.end());
            RC_ASSERT(queue.size() == model.size());
            RC_ASSERT(queue.next() == (sorted.empty() ? std::nullopt : std::optional(sorted.front().first)));
            std::vector<int> due;
            for (const auto& [due_time, due_key] : sorted)
                if (due_time <= 100) due.push_back(due_key);
            RC_ASSERT(queue.due(100) == due);
            if (operation % 7 != 0) continue;
            RC_ASSERT(queue.take_due(100) == due);
            for (const int due_key : due) model.erase(due_key);
        }
    }));
}

TEST(GroupedQueue, IteratesInOrderOfArrivalAndSamplesEachGroup) {
    EXPECT_TRUE(rc::check("grouped queue", [](const std::vector<std::uint8_t>& script) {
        GroupedQueue<int, std::uint64_t, int> queue;
        std::map<std::uint64_t, std::pair<int, int>> model;  // by arrival: group and creation time
        std::uint64_t arrival = 0;
        for (const int operation : script) {
            if (operation % 3 == 0 && !model.empty()) {
                const auto entry = std::next(model.begin(), operation % static_cast<int>(model.size()));
                queue.erase(entry->second.first, entry->first, entry->second.second);
                model.erase(entry);
                continue;
            }
            model[++arrival] = {operation % 4, operation};
            queue.insert(operation % 4, arrival, operation, arrival);
        }
        std::vector<std::uint64_t> visited, expected, sample;
        queue.for_each([&](std::uint64_t item) { return visited.push_back(item), true; });
        for (const auto& [arrived, entry] : model) expected.push_back(arrived);
        RC_ASSERT(visited == expected);
        RC_ASSERT(queue.size() == model.size());
        queue.for_each_sampled(
            2, [](int) { return 128; }, [&](std::uint64_t item) { return sample.push_back(item), true; });
        RC_ASSERT(std::is_sorted(sample.begin(), sample.end()));
        for (int group = 0; group < 4; ++group) {
            std::vector<std::uint64_t> in_group;
            std::vector<std::pair<int, std::uint64_t>> by_creation;
            for (const auto& [arrived, entry] : model)
                if (entry.first == group)
                    in_group.push_back(arrived), by_creation.emplace_back(entry.second, arrived);
            std::sort(by_creation.begin(), by_creation.end());
            const auto around =
                std::lower_bound(by_creation.begin(), by_creation.end(), std::pair(128, std::uint64_t{0}));
            const auto sampled = [&](std::uint64_t item) {
                return std::find(sample.begin(), sample.end(), item) != sample.end();
            };
            for (std::size_t i = 0; i < 2 && i < in_group.size(); ++i) RC_ASSERT(sampled(in_group[i]));
            if (around != by_creation.end()) RC_ASSERT(sampled(around->second));
            if (around != by_creation.begin()) RC_ASSERT(sampled(std::prev(around)->second));
        }
    }));
}

}  // namespace
}  // namespace lockgw
