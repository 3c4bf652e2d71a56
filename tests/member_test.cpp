#include "membership/member.hpp"

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

TEST(Member, ReadsAList) {
    const TargetList read = list_of(list({entry("a"), entry("b", "terminating"), entry("c", "terminated")}));
    ASSERT_EQ(read.targets.size(), 3u);
    EXPECT_EQ(read.revision, 3);
    EXPECT_TRUE(read.complete);
    EXPECT_EQ(read.targets[0].condition, Condition::Ready);
    EXPECT_EQ(read.targets[0].up_since_ms, 5);
    EXPECT_EQ(read.targets[1].condition, Condition::Draining);
    EXPECT_EQ(read.targets[2].condition, Condition::Gone);
}

// The rest of a list must not be lost with one entry, nor what can still be read of that one.
TEST(Member, KeepsWhatCanBeReadOfABadEntry) {
    Json no_cell = entry("a", "terminating"), no_phase = entry("b"), no_address = entry("c");
    no_cell.erase("cell");
    no_phase["phase"] = 5;
    no_address["host_port"] = "nowhere";
    const TargetList read = list_of(list({no_cell, no_phase, no_address, 17, {{"id", ""}}, entry("d")}));
    ASSERT_EQ(read.targets.size(), 1u);
    EXPECT_EQ(read.targets[0].id, "d");
    ASSERT_EQ(read.bad.size(), 5u);
    EXPECT_EQ(read.bad[0].id, "a");
    EXPECT_EQ(read.bad[0].condition, Condition::Draining);
    EXPECT_EQ(read.bad[1].id, "b");
    EXPECT_FALSE(read.bad[1].condition);
    EXPECT_EQ(read.bad[2].condition, Condition::Ready);
    EXPECT_FALSE(read.bad[3].id);
    EXPECT_FALSE(read.bad[4].id);
}

TEST(Member, RefusesWhatIsNoList) {
    EXPECT_ANY_THROW(list_of(Json::array()));
    EXPECT_ANY_THROW(list_of({{"revision", 1}, {"complete", true}, {"members", 5}}));
    EXPECT_ANY_THROW(list_of({{"revision", "x"}, {"complete", true}, {"members", Json::array()}}));
    const std::vector<Json> too_many(kMostTargets + 1, Json(1));
    EXPECT_ANY_THROW(list_of(list(too_many)));
}

// At every byte at which an answer may be cut: the stops that stand whole before it, and nothing else.
TEST(Member, ReadsTheStopsOfACutOffAnswer) {
    Json tricky = entry("t{]\"[}\\", "terminating");
    const std::string text =
        list({entry("a", "terminating"), entry("b"), tricky, entry("c", "terminated")}).dump();
    const std::size_t first =
        text.find(entry("a", "terminating").dump()) + entry("a", "terminating").dump().size();
    const std::size_t second = text.find(tricky.dump()) + tricky.dump().size();
    const std::size_t third =
        text.find(entry("c", "terminated").dump()) + entry("c", "terminated").dump().size();
    for (std::size_t at = 0; at <= text.size(); ++at) {
        const TargetList read = stops_in(std::string_view(text).substr(0, at));
        const std::size_t expected = (at >= first) + (at >= second) + (at >= third);
        ASSERT_EQ(read.targets.size(), expected) << "cut at " << at;
        if (expected > 0) {
            EXPECT_EQ(read.targets[0].id, "a");
        }
        if (expected > 1) {
            EXPECT_EQ(read.targets[1].id, "t{]\"[}\\");
        }
    }
}

TEST(Member, LivesThroughAnyBytes) {
    const std::uint64_t seed = std::random_device{}();
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    const std::string text = list({entry("a", "terminating"), entry("b"), entry("c", "terminated")}).dump();
    for (int run = 0; run < 5000; ++run) {
        std::string spoilt = text;
        for (int i = 0; i < 1 + static_cast<int>(random() % 6); ++i)
            spoilt[random() % spoilt.size()] = static_cast<char>(random() % 256);
        EXPECT_LE(stops_in(spoilt).targets.size(), 3u);
        const Json parsed = Json::parse(spoilt, nullptr, false);
        try {
            if (!parsed.is_discarded()) list_of(parsed);
        } catch (const std::exception&) {  // it says that it is no list
        }
    }
    EXPECT_TRUE(stops_in(std::string(100'000, '{')).targets.empty());
    EXPECT_TRUE(stops_in("\"members\":[" + std::string(100'000, '{')).targets.empty());
    EXPECT_TRUE(stops_in("\"members\":[{\"phase\":" + std::string(50'000, '[') + "}").targets.empty());
}

}  // namespace
}  // namespace lockgw
