#include "discovery/target_list.hpp"

#include <gtest/gtest.h>

#include <random>

namespace lockgw {
namespace {

using cometspoke::Condition;

Json entry(const std::string& id, const char* phase = "in_service") {
    return {{"id", id}, {"host_port", "127.0.0.1:80"}, {"locality", "a"}, {"flavor", "shop"}, {"cell", 7},
        {"phase", phase}, {"size", 1.0}, {"up_since_ms", 5}};
}
Json list(const std::vector<Json>& members) {
    return {{"revision", 3}, {"complete", true}, {"members", members}};
}

TEST(TargetList, ParsesAList) {
    const TargetList parsed =
        parse_target_list(list({entry("a"), entry("b", "terminating"), entry("c", "terminated")}));
    ASSERT_EQ(parsed.targets.size(), 3u);
    EXPECT_EQ(parsed.revision, 3);
    EXPECT_TRUE(parsed.complete);
    EXPECT_EQ(parsed.targets[0].condition, Condition::Ready);
    EXPECT_EQ(parsed.targets[0].up_since_ms, 5);
    EXPECT_EQ(parsed.targets[1].condition, Condition::Draining);
    EXPECT_EQ(parsed.targets[2].condition, Condition::Gone);
}

// One invalid entry must not invalidate the list, and its readable fields are kept.
TEST(TargetList, KeepsIdAndConditionOfInvalidEntries) {
    Json no_cell = entry("a", "terminating"), no_phase = entry("b"), no_address = entry("c");
    no_cell.erase("cell");
    no_phase["phase"] = 5;
    no_address["host_port"] = "nowhere";
    const TargetList parsed =
        parse_target_list(list({no_cell, no_phase, no_address, 17, {{"id", ""}}, entry("d")}));
    ASSERT_EQ(parsed.targets.size(), 1u);
    EXPECT_EQ(parsed.targets[0].id, "d");
    ASSERT_EQ(parsed.invalid.size(), 5u);
    EXPECT_EQ(parsed.invalid[0].id, "a");
    EXPECT_EQ(parsed.invalid[0].condition, Condition::Draining);
    EXPECT_EQ(parsed.invalid[1].id, "b");
    EXPECT_FALSE(parsed.invalid[1].condition);
    EXPECT_EQ(parsed.invalid[2].condition, Condition::Ready);
    EXPECT_FALSE(parsed.invalid[3].id);
    EXPECT_FALSE(parsed.invalid[4].id);
}

TEST(TargetList, RejectsABodyThatIsNoList) {
    EXPECT_ANY_THROW(parse_target_list(Json::array()));
    EXPECT_ANY_THROW(parse_target_list({{"revision", 1}, {"complete", true}, {"members", 5}}));
    EXPECT_ANY_THROW(parse_target_list({{"revision", "x"}, {"complete", true}, {"members", Json::array()}}));
    const std::vector<Json> too_many(kMaxTargets + 1, Json(1));
    EXPECT_ANY_THROW(parse_target_list(list(too_many)));
}

// For every offset at which an answer may be cut off: exactly the complete stopping entries before it are
// returned.
TEST(TargetList, ReadsStoppingEntriesOfACutOffAnswer) {
    Json tricky = entry("t{]\"[}\\", "terminating");
    const std::string text =
        list({entry("a", "terminating"), entry("b"), tricky, entry("c", "terminated")}).dump();
    const std::size_t first_end =
        text.find(entry("a", "terminating").dump()) + entry("a", "terminating").dump().size();
    const std::size_t second_end = text.find(tricky.dump()) + tricky.dump().size();
    const std::size_t third_end =
        text.find(entry("c", "terminated").dump()) + entry("c", "terminated").dump().size();
    for (std::size_t length = 0; length <= text.size(); ++length) {
        const TargetList parsed = parse_stopping_entries(std::string_view(text).substr(0, length));
        const std::size_t expected = (length >= first_end) + (length >= second_end) + (length >= third_end);
        ASSERT_EQ(parsed.targets.size(), expected) << "cut off after bytes: " << length;
        if (expected > 0) {
            EXPECT_EQ(parsed.targets[0].id, "a");
        }
        if (expected > 1) {
            EXPECT_EQ(parsed.targets[1].id, "t{]\"[}\\");
        }
    }
}

TEST(TargetList, ToleratesMalformedInput) {
    const std::uint64_t seed = std::random_device{}();
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    const std::string text = list({entry("a", "terminating"), entry("b"), entry("c", "terminated")}).dump();
    for (int run = 0; run < 5000; ++run) {
        std::string damaged = text;
        for (int i = 0; i < 1 + static_cast<int>(random() % 6); ++i)
            damaged[random() % damaged.size()] = static_cast<char>(random() % 256);
        EXPECT_LE(parse_stopping_entries(damaged).targets.size(), 3u);
        const Json json = Json::parse(damaged, nullptr, false);
        try {
            if (!json.is_discarded()) parse_target_list(json);
        } catch (const std::exception&) {  // rejected as not being a list
        }
    }
    EXPECT_TRUE(parse_stopping_entries(std::string(100'000, '{')).targets.empty());
    EXPECT_TRUE(parse_stopping_entries("\"members\":[" + std::string(100'000, '{')).targets.empty());
    EXPECT_TRUE(
        parse_stopping_entries("\"members\":[{\"phase\":" + std::string(50'000, '[') + "}").targets.empty());
}

}  // namespace
}  // namespace lockgw
