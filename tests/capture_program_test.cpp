// Capture of the built program under faults, drains, reloads, a stop and a kill: each segment is decided
// alike.
#include <gtest/gtest.h>

#include <random>

#include "capture/replay.hpp"
#include "capture/story.hpp"
#include "control/client.hpp"
#include "discovery_fixture.hpp"
#include "program/commands.hpp"

namespace lockgw {
namespace {

class CaptureProgram : public DiscoveryTest {
protected:
    CaptureProgram() : DiscoveryTest(4) {
        node.config()["settings"]["limits"]["most_held"] = 200;
        std::ofstream(node.folder() / "operator.toml") << "[capture]\ndisk_mb = 4\nsegment_mb = 0.1\n";
        node.set_environment("LOCKGW_CONFIG", (node.folder() / "operator.toml").string());
    }
    std::size_t pick(std::size_t below) { return random() % below; }
    void new_moods() {
        for (std::size_t target = 0; target < 4; ++target) {
            rig::CallScript script;
            script.delay = std::chrono::milliseconds(pick(30));
            script.status = std::array{200, 200, 429, 500}[pick(4)];
            if (script.status == 429) script.headers = "Retry-After-Ms: 150\r\n";
            script.kind = pick(6) == 0 ? rig::CallScript::Kind::Reset : rig::CallScript::Kind::Answer;
            targets.usual(target, script);
        }
    }
    /// Clients beside one another, with moods and drains that change meanwhile.
    void traffic(int rounds, int each) {
        for (int round = 0; round < rounds; ++round) {
            new_moods();
            directory.put(member("s-1", 0, 7, pick(2) == 0 ? "terminating" : "in_service"));
            std::vector<std::thread> clients;
            for (int client = 0; client < 4; ++client)
                clients.emplace_back([this, client, each, base = ++base_] {
                    Client connection = node.client();
                    for (int i = 0; i < each; ++i) {
                        char id[17];
                        std::snprintf(id, sizeof id, "%016x",
                            (base << 16) + static_cast<unsigned>(client) * 4096 + static_cast<unsigned>(i));
                        enqueue(connection, id, std::array{"safe", "keyed", "unsafe"}[i % 3], 7 + client % 2,
                            300 + 20 * i);
                    }
                });
            for (std::thread& client : clients) client.join();
        }
    }
    /// Rounds until the targets have had so many calls more, however long that takes: what is captured then
    /// holds attempts.
    void traffic_until_calls(std::size_t more) {
        const std::size_t wanted = targets.calls().size() + more;
        const auto until = std::chrono::steady_clock::now() + 60s;
        while (targets.calls().size() < wanted && std::chrono::steady_clock::now() < until) {
            traffic(1, 60);
            targets.wait_calls(targets.calls().size() + 1, 100ms);
        }
        ASSERT_GE(targets.calls().size(), wanted) << node.log();
    }
    std::vector<std::filesystem::path> segments() const {
        std::vector<std::filesystem::path> all;
        for (const auto& entry : std::filesystem::recursive_directory_iterator(node.state() / "capture"))
            if (entry.is_regular_file()) all.push_back(entry.path());
        std::sort(all.begin(), all.end());
        return all;
    }

    std::mt19937 random{20261201};
    unsigned base_ = 0x100;
};

TEST_F(CaptureProgram, IsDecidedAlikeSegmentBySegment) {
    start_with({member("s-1", 0), member("s-2", 1), member("s-3", 2, 8), member("s-4", 3, 8)});
    traffic(8, 60);
    traffic_until_calls(50);
    control::ask(node.state() / "control", "reload");
    node.terminate();
    EXPECT_EQ(node.wait(), 0) << node.log();
    node.start_ready();  // what is owed is taken up, as events
    traffic(8, 60);
    node.kill();
    node.wait();
    std::size_t batches = 0, sends = 0, starts = 0;
    const auto files = segments();
    ASSERT_GE(files.size(), 3u);
    for (const auto& path : files) {
        const auto segment = capture::read_segment(path);
        ASSERT_TRUE(segment.head) << path;
        starts += segment.head->why == "start";
        EXPECT_EQ(segment.whole(), segment.batches.size()) << path;
        EXPECT_LE(segment.damage.size(), path == files.back() ? 1u : 0u) << path;
        const auto difference = capture::first_difference(segment);
        EXPECT_FALSE(difference) << path << " batch " << difference->number;
        batches += segment.batches.size();
        for (const auto& batch : segment.batches)
            for (const auto& action : batch.actions)
                sends += std::holds_alternative<cometspoke::Send>(action);
    }
    EXPECT_EQ(starts, 2u);
    EXPECT_GT(batches, 2000u);
    EXPECT_GT(sends, 50u);
}

TEST_F(CaptureProgram, SaysWhereAMessageWent) {
    start_with({member("s-1", 0)});
    Client client = node.client();
    ASSERT_EQ(enqueue(client, "00000000000abcde"), "+OK");
    ASSERT_TRUE(targets.wait_calls(1, kDeadline));
    node.terminate();
    node.wait();
    const auto segment = capture::read_segment(segments().front());
    std::string all;
    for (const auto& line : capture::story_of(segment, *capture::subject_of(segment, "00000000000abcde")))
        all += line.text + '\n';
    EXPECT_NE(all.find("taken: class safe, destination 7"), std::string::npos) << all;
    EXPECT_NE(all.find("sent 00000000000abcde to s-1"), std::string::npos) << all;
    EXPECT_NE(all.find("at s-1: served"), std::string::npos) << all;
}

// Started, kept and stopped while messages go: each file is decided alike, and what was not captured is in
// none.
TEST_F(CaptureProgram, BeginsKeepsAndEndsAsTheOperatorSays) {
    start_with({member("s-1", 0), member("s-2", 1), member("s-3", 2, 8), member("s-4", 3, 8)});
    const auto tell = [this](const char* what) {
        return control::ask(node.state() / "control", "capture", {{"do", what}});
    };
    const auto status = [this] { return control::ask(node.state() / "control", "status").at("capture"); };
    EXPECT_THROW(tell("start"), control::Refused);  // the file has it on
    EXPECT_THROW(tell("dance"), control::Refused);
    traffic(2, 30);
    tell("keep");
    for (int i = 0; i < 200 && status().at("kept") == 0; ++i) traffic(1, 2);
    EXPECT_EQ(status().at("kept"), 1) << node.log();
    tell("stop");
    EXPECT_EQ(status().at("on"), false);
    EXPECT_THROW(tell("stop"), control::Refused);
    EXPECT_THROW(tell("keep"), control::Refused);
    Client client = node.client();
    EXPECT_EQ(enqueue(client, "00000000000abcde"), "+OK");
    for (bool again = false; !again;) try {  // what was captured before may still be on its way to the disk
            tell("start");
            again = true;
        } catch (const control::Refused& refused) {
            ASSERT_STREQ(refused.what(), "what was captured before is still being written");
        }
    traffic(2, 30);
    node.terminate();
    EXPECT_EQ(node.wait(), 0) << node.log();
    std::size_t kept = 0, sends = 0;
    for (const auto& path : segments()) {
        const auto segment = capture::read_segment(path);
        EXPECT_FALSE(capture::first_difference(segment)) << path;
        EXPECT_EQ(segment.whole(), segment.batches.size()) << path;
        kept += path.string().find("-asked") != std::string::npos;
        for (const auto& batch : segment.batches) {
            for (const auto& [when, event] : batch.events) {
                const auto* message = std::get_if<cometspoke::MessageEvent>(&event);
                EXPECT_FALSE(message != nullptr && message->message == 0xabcde) << path;
            }
            for (const auto& action : batch.actions)
                sends += std::holds_alternative<cometspoke::Send>(action);
        }
    }
    EXPECT_GE(kept, 1u);
    EXPECT_GT(sends, 0u);
}

// The commands on a capture of the built program, by their exit codes and files.
TEST_F(CaptureProgram, IsCutMinimisedAndDrawn) {
    start_with({member("s-1", 0), member("s-2", 1), member("s-3", 2, 8), member("s-4", 3, 8)});
    traffic(4, 40);
    node.terminate();
    node.wait();
    const std::string folder = (node.state() / "capture").string();
    const auto path = [this](const char* name) { return (node.folder() / name).string(); };
    program::CutWish cut;
    cut.path = folder, cut.out = path("part.lcap");
    EXPECT_EQ(program::cut_capture(cut), program::kUsage);  // of what?
    cut.about = "s-3", cut.hide_names = true;
    ASSERT_EQ(program::cut_capture(cut), program::kWell);
    EXPECT_EQ(program::cut_capture(cut), program::kWrong);  // nothing is written over
    const auto part = capture::read_segment(cut.out);
    EXPECT_FALSE(capture::first_difference(part));
    EXPECT_TRUE(part.names.empty());
    EXPECT_EQ(capture::bytes_of(part).find("s-3"), std::string::npos);
    program::MinimiseWish least;
    least.path = cut.out, least.out = path("least.lcap"), least.decision = "no such words";
    EXPECT_EQ(program::minimise_capture(least), program::kWrong);
    least.decision = "sent ";
    ASSERT_EQ(program::minimise_capture(least), program::kWell);
    EXPECT_FALSE(capture::first_difference(capture::read_segment(least.out)));
    EXPECT_LT(std::filesystem::file_size(least.out), std::filesystem::file_size(cut.out));
    program::ReplayWish replay;
    replay.path = folder, replay.timeline = path("line.svg");
    EXPECT_EQ(program::replay_capture(replay), program::kWell);
    EXPECT_GT(std::filesystem::file_size(replay.timeline), 1000u);
    for (const char* wrong : {"soon", "s-1=-4", "s-1="}) {
        program::ReplayWish later;
        later.path = folder, later.later = {wrong};
        EXPECT_EQ(program::replay_capture(later), program::kUsage) << wrong;
    }
    program::ReplayWish later;
    later.path = folder, later.later = {"s-1=900", "s-2=900", "s-3=900", "s-4=900"};
    EXPECT_EQ(program::replay_capture(later), program::kWrong);  // that is a difference
}

}  // namespace
}  // namespace lockgw
