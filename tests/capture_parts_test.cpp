// Parts of captures, what-if, the smallest capture, the picture, and the walk through one.
#include <gtest/gtest.h>

#include <sstream>

#include "capture/archive.hpp"
#include "capture/change.hpp"
#include "capture/minimise.hpp"
#include "capture/part.hpp"
#include "capture/timeline.hpp"
#include "capture/trigger.hpp"
#include "program/walk.hpp"
#include "written_down.hpp"

namespace cometspoke::testing {
namespace {

namespace capture = lockgw::capture;
using capture::Segment;

/// As a file would have it.
Segment read_again(const Segment& segment) { return capture::segment_of(capture::bytes_of(segment)); }

class CaptureParts : public ::testing::TestWithParam<TrafficVariant> {};
INSTANTIATE_TEST_SUITE_P(Capture, CaptureParts, ::testing::ValuesIn(traffic_variants()),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(CaptureParts, ACutStandsByItselfAndPartsMakeTheWhole) {
    const SeedRange seeds(6);
    for (std::uint64_t seed = seeds.first; seed < seeds.last; ++seed) {
        const Segment whole = written_down(GetParam(), seed, 200);
        std::mt19937_64 random(seed);
        const std::size_t at = 1 + random() % (whole.whole() - 1);
        std::vector<Segment> parts{
            read_again(capture::cut(whole, {0, at})), read_again(capture::cut(whole, {at, whole.whole()}))};
        for (const Segment& part : parts) EXPECT_FALSE(capture::first_difference(part)) << "seed " << seed;
        EXPECT_EQ(parts[1].head->first, whole.head->first + at);
        auto runs = capture::joined(parts);
        ASSERT_EQ(runs.size(), 1u);
        EXPECT_EQ(capture::bytes_of(runs[0]).size() - runs[0].head->why.size(),
            capture::bytes_of(whole).size() - whole.head->why.size());
        EXPECT_EQ(capture::joined({parts[1], parts[0]}).size(), 2u);  // a gap is one, also backwards
    }
}

// The system clock goes back an hour between two segments: moments are those of its first head, and go on.
TEST(CaptureClock, AStepOfTheSystemClockMovesNothing) {
    const Segment whole = written_down({"usual", [](Settings&) {}, 0.6}, 5, 200);
    const std::size_t half = whole.whole() / 2;
    std::vector<Segment> parts{capture::cut(whole, {0, half}), capture::cut(whole, {half, whole.whole()})};
    parts[1].head->wall_ms -= 3'600'000;
    const auto runs = capture::joined(parts);
    ASSERT_EQ(runs.size(), 1u);
    EXPECT_FALSE(capture::first_difference(runs[0]));
    const auto last = capture::wall_of(*whole.head, whole.batches.back().decided);
    EXPECT_EQ(capture::part_between(runs[0], last, last + 10).last, whole.whole());
    EXPECT_EQ(capture::part_between(runs[0], last - 3'600'000, last).first, 0u);
}

// Whatever was decided: the smallest capture that shows it does, and none of its events can be left out.
TEST_P(CaptureParts, TheSmallestCaptureShowsTheDecision) {
    const SeedRange seeds(4);
    std::size_t before = 0, after = 0;
    for (std::uint64_t seed = seeds.first; seed < seeds.last; ++seed) {
        const Segment segment = written_down(GetParam(), seed, 120);
        std::mt19937_64 random(seed);
        std::vector<capture::Chosen> all;
        for (std::size_t place = 0; place < segment.whole(); ++place)
            for (const Action& action : segment.batches[place].actions)
                if (!std::holds_alternative<SetTimer>(action)) all.push_back({place, action});
        ASSERT_FALSE(all.empty());
        const capture::Chosen& decision = all[random() % all.size()];
        const auto least = capture::minimal(segment, decision);
        const Segment told = read_again(least.segment);
        ASSERT_FALSE(capture::first_difference(told)) << "seed " << seed;
        const auto shows = [&](const Segment& one) {
            capture::Replay replay(one);
            std::vector<Action> last;
            while (replay.more()) {
                last = one.batches[replay.place()].actions;
                if (auto difference = replay.step()) last = difference->now;
            }
            return std::any_of(last.begin(), last.end(), [&](const Action& action) {
                return capture::bytes_of(std::vector<Action>{action}) ==
                       capture::bytes_of(std::vector<Action>{decision.action});
            });
        };
        ASSERT_TRUE(shows(told)) << "seed " << seed;
        for (std::size_t batch = 0; batch < told.batches.size(); ++batch)
            for (std::size_t event = 0; event < told.batches[batch].events.size(); ++event) {
                Segment fewer = told;
                fewer.batches[batch].events.erase(
                    fewer.batches[batch].events.begin() + static_cast<std::ptrdiff_t>(event));
                EXPECT_FALSE(shows(fewer)) << "seed " << seed << ": " << batch << '/' << event;
            }
        EXPECT_LE(least.events, least.events_before);
        before += least.events_before, after += least.events;
    }
    EXPECT_LT(2 * after, before);
}

class CaptureChange : public ::testing::Test {
protected:
    CaptureChange() {
        static const TrafficVariant usual{"usual", [](Settings&) {}, 0.6};
        segment = written_down(usual, 11, 250);
    }
    Segment segment;
};

TEST_F(CaptureChange, NothingChangedIsNoDifference) {
    const auto same = capture::what_if(segment, {});
    EXPECT_EQ(same.different, 0u);
    EXPECT_EQ(same.before.then, same.before.now);
    EXPECT_EQ(same.batches, segment.whole());
    EXPECT_EQ(capture::bytes_of(capture::changed(segment, {})), capture::bytes_of(segment));
}

// A later answer comes with its batch, and as none where nobody waits for it any more.
TEST_F(CaptureChange, AnswersLaterAreStillOneEach) {
    for (const Time by : {ms(5), ms(400), ms(60'000)}) {
        capture::Change change;
        for (EndpointId id = 0; id < DifferentialRun<WrittenDown>::kEndpoints; ++id)
            change.answers_later[id] = by;
        const Segment later = capture::changed(segment, change);
        std::map<MessageId, std::size_t> then, now;
        std::size_t none = 0, none_then = 0;
        for (const auto& batch : segment.batches)
            for (const auto& [when, event] : batch.events)
                if (const auto* one = std::get_if<OutcomeEvent>(&event))
                    ++then[one->message], none_then += one->outcome == Outcome::NoAnswer;
        for (const auto& batch : later.batches) {
            for (const auto& [when, event] : batch.events) {
                EXPECT_LE(when, batch.decided);
                if (const auto* one = std::get_if<OutcomeEvent>(&event))
                    ++now[one->message], none += one->outcome == Outcome::NoAnswer;
            }
        }
        for (const auto& [message, count] : now) EXPECT_LE(count, then[message]);
        if (by == ms(60'000)) {
            EXPECT_GT(none, none_then);
        }
        const auto told = capture::what_if(segment, change, 3);
        EXPECT_GT(told.different, 0u);
        EXPECT_LE(told.differences.size(), 3u);
        EXPECT_EQ(told.before.batches + told.behind.batches, told.batches);
    }
}

TEST_F(CaptureChange, LostNotesAreThoseOfThePeersNamed) {
    Segment noted = segment;
    for (std::size_t peer : {0, 1, 2, 1})
        noted.batches[4].events.emplace_back(noted.batches[4].decided, PeerNote{peer, "note"});
    const auto notes = [](const Segment& one) {
        std::string peers;
        for (const auto& [when, event] : one.batches[4].events)
            if (const auto* note = std::get_if<PeerNote>(&event)) peers += std::to_string(note->from);
        return peers;
    };
    capture::Change change;
    change.notes_lost = {1};
    EXPECT_EQ(notes(capture::changed(noted, change)), "02");
    change.no_notes = true;
    EXPECT_EQ(notes(capture::changed(noted, change)), "");
}

// However long it is, the picture is bounded; what is in a name cannot end its text.
TEST_F(CaptureChange, ThePictureIsBounded) {
    segment.names.push_back({1, "a</text><script>&"});
    const std::string svg = capture::timeline_of(segment);
    EXPECT_TRUE(svg.starts_with("<svg "));
    EXPECT_TRUE(svg.ends_with("</svg>\n"));
    EXPECT_EQ(svg.find("<script"), std::string::npos);
    EXPECT_NE(svg.find("a&lt;/text&gt;"), std::string::npos);
    EXPECT_EQ(svg.find("decided otherwise"), std::string::npos);
    capture::TimelineWish few;
    few.most_rows = 3;
    EXPECT_LT(capture::timeline_of(segment, few).size(), svg.size());
    segment.batches[100].actions.emplace_back(Fail{1});
    EXPECT_NE(capture::timeline_of(segment).find("decided otherwise"), std::string::npos);
}

TEST_F(CaptureChange, AWalkGoesWhereItIsTold) {
    const auto path = std::filesystem::temp_directory_path() / ("lockgw-walk-" + std::to_string(::getpid()));
    std::filesystem::remove(path);
    capture::write_segment(segment, path);
    EXPECT_THROW(capture::write_segment(segment, path), std::runtime_error);
    std::ostringstream out;
    lockgw::program::ReplayWish wish;
    wish.path = path.string();
    wish.step = true;
    const std::string first = std::to_string(segment.head->first);
    std::istringstream in(
        "n 2\ng " + std::to_string(segment.head->first + 50) + "\ns\ns nobody\ng never\nn\nq\nn\n");
    EXPECT_EQ(lockgw::program::walk(wish, in, out), 0);
    std::filesystem::remove(path);
    for (const std::string& expected : {"batch " + first + " at", std::string("messages are held"),
             std::string("nothing in the capture is about \"nobody\""), std::string("\"never\" is no moment"),
             "batch " + std::to_string(segment.head->first + 50) + " at"})
        EXPECT_NE(out.str().find(expected), std::string::npos) << expected << "\n" << out.str();
    EXPECT_EQ(out.str().find("batch " + std::to_string(segment.head->first + 51) + " at"), std::string::npos);
}

// What docs/operators/capture.md tells of the capture that lies beside it.
TEST(ShippedCapture, IsDecidedAlikeAndTellsItsStory) {
    const Segment segment = capture::read_segment(SHIPPED_CAPTURE);
    EXPECT_FALSE(capture::first_difference(segment));
    std::string all;
    for (const auto& line :
        capture::story_of(segment, *capture::subject_of(segment, "insurer.example.org/a")))
        all += std::to_string(line.wall_ms % 100'000) + " " + line.text + "\n";
    std::size_t at = 0;
    for (const char* told : {"85525 sent ", "85776 insurer.example.org/a is ready, sick", "88114 attempt",
             "92921 attempt 0 of 9b1f03aa5c7e0076 at insurer.example.org/a: turned away unseen",
             "94839 insurer.example.org/a is ready, returning"}) {
        at = all.find(told, at);
        ASSERT_NE(at, std::string::npos) << told << "\n" << all;
    }
    EXPECT_TRUE(capture::may_tell_of(SHIPPED_CAPTURE, 0x9b1f03aa5c7e0046));
    EXPECT_FALSE(capture::may_tell_of(SHIPPED_CAPTURE, 0x9b1f03aa5c7f0046));
    // it may have other causes than the one that was meant, unless that is said
    const auto decision = capture::chosen(segment, "gave 9b1f03aa5c7e0046 up");
    const auto sent =
        capture::chosen(segment, "sent 9b1f03aa5c7e0046 to insurer.example.org/a, waiting 2773.4");
    ASSERT_TRUE(decision && sent);
    const auto least = capture::minimal(segment, *decision);
    const auto meant = capture::minimal(segment, *decision, 4000, {sent->action});
    EXPECT_EQ(least.events, 1u);
    EXPECT_GT(meant.events, 1u);
    EXPECT_LT(meant.events, meant.events_before / 5);
    EXPECT_FALSE(capture::first_difference(meant.segment));
}

TEST(Trigger, NoticesWhatItIsToldToAndNoMoreOftenThanThat) {
    using capture::Cause;
    capture::TriggerSettings settings;
    settings.on = {Cause::FellSick, Cause::Refused};
    settings.every = ms(1000);
    settings.refusals = 3;
    capture::Trigger trigger(settings);
    trigger.decided(ms(0), {Fail{1}});
    EXPECT_FALSE(trigger.due(ms(0)));  // not among those
    trigger.looked({4});
    EXPECT_EQ(trigger.due(ms(10)), Cause::FellSick);
    trigger.looked({4});
    EXPECT_FALSE(trigger.due(ms(2000)));  // it was so before
    trigger.looked({5});
    EXPECT_EQ(trigger.due(ms(2001)), Cause::FellSick);
    trigger.looked({4, 5});
    EXPECT_FALSE(trigger.due(ms(3000)));  // too soon, and forgotten
    EXPECT_FALSE(trigger.due(ms(9000)));
    trigger.decided(ms(9000), {Refuse{1}, Refuse{2}});
    trigger.decided(ms(10'500), {Refuse{3}});
    EXPECT_FALSE(trigger.due(ms(10'500)));  // three, but not within a second
    trigger.decided(ms(10'600), {Refuse{4}, Refuse{5}});
    EXPECT_EQ(trigger.due(ms(10'600)), Cause::Refused);
    for (const char* name : {"asked", "fell_sick", "given_up", "refused"})
        EXPECT_STREQ(capture::name_of(*capture::cause_of(name)), name);
    EXPECT_FALSE(capture::cause_of("noon"));
}

TEST(Trigger, TheOldestKeptGoForTheNext) {
    EXPECT_EQ(capture::dropped_for({10, 10, 10}, 10, 40), 0u);
    EXPECT_EQ(capture::dropped_for({10, 10, 10}, 11, 40), 1u);
    EXPECT_EQ(capture::dropped_for({10, 10, 10}, 39, 40), 3u);
    EXPECT_EQ(capture::dropped_for({10, 10, 10}, 90, 40), 3u);
}

}  // namespace
}  // namespace cometspoke::testing
