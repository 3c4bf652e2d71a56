// Captures: a module that remembers what another knew decides as that one; what was written down is decided
// alike; damage is named, and the disk that is full, slow or gone keeps nobody.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <thread>

#include "capture/archive.hpp"
#include "capture/memory.hpp"
#include "capture/recorder.hpp"
#include "capture/replay.hpp"
#include "capture/segment.hpp"
#include "capture/story.hpp"
#include "written_down.hpp"

namespace cometspoke::testing {
namespace {

namespace capture = lockgw::capture;
namespace fs = std::filesystem;
using namespace std::chrono_literals;

/// A module that loses all its memory every few batches, and gets it back from bytes.
class Forgetful {
public:
    Forgetful(const Settings& settings, std::uint64_t seed) : settings_(settings), module_(settings, seed) {}
    void observe(const Event& event, Time now) { module_.observe(event, now); }
    std::vector<Action> decide(Time now) {
        auto actions = module_.decide(now);
        if (++batches_ % 7 == 0) {
            const std::string memory = capture::memory_of(module_);
            module_ = Sender(settings_, 0);
            capture::remember(module_, memory);
        }
        return actions;
    }

private:
    Settings settings_;
    Sender module_;
    std::size_t batches_ = 0;
};

class Captured : public ::testing::TestWithParam<TrafficVariant> {};
INSTANTIATE_TEST_SUITE_P(Capture, Captured, ::testing::ValuesIn(traffic_variants()),
    [](const auto& info) { return std::string(info.param.name); });

TEST_P(Captured, AMemoryIsAllThatThereIs) {
    const SeedRange seeds(20);
    for (std::uint64_t seed = seeds.first; seed < seeds.last; ++seed) {
        DifferentialRun<Forgetful> both(GetParam(), seed);
        std::string told;
        ASSERT_TRUE(both.run(250, told)) << "seed " << seed << ": " << told;
    }
}

TEST_P(Captured, IsDecidedAlike) {
    const SeedRange seeds(20);
    for (std::uint64_t seed = seeds.first; seed < seeds.last; ++seed) {
        DifferentialRun<WrittenDown> both(GetParam(), seed);
        std::string told;
        ASSERT_TRUE(both.run(250, told)) << "seed " << seed << ": " << told;
        const auto segment = capture::segment_of(both.other_module().bytes());
        EXPECT_TRUE(segment.damage.empty());
        ASSERT_EQ(segment.whole(), 210u) << "seed " << seed;
        const auto difference = capture::first_difference(segment);
        ASSERT_FALSE(difference) << "seed " << seed << ", batch " << difference->number << difference->failed;
    }
}

class CaptureFile : public ::testing::Test {
protected:
    CaptureFile() {
        static const TrafficVariant usual{"usual", [](Settings&) {}, 0.6};
        DifferentialRun<WrittenDown> both(usual, 7);
        std::string told;
        EXPECT_TRUE(both.run(100, told)) << told;
        bytes = both.other_module().bytes();
    }
    std::string bytes;
};

// A lost batch is "missing", not "never came": what stands behind it is not replayed as if nothing were.
TEST_F(CaptureFile, NamesWhatIsDamagedAndTrustsNothingBehindIt) {
    const auto sound = capture::segment_of(bytes);
    ASSERT_EQ(sound.whole(), 60u);
    const std::size_t head_end =
        capture::magic().size() +
        capture::frame(capture::RecordKind::Head, capture::bytes_of(*sound.head)).size();
    std::mt19937 random(3);
    for (int i = 0; i < 300; ++i) {
        std::string spoilt = bytes;
        const std::size_t at = head_end + random() % (bytes.size() - head_end);
        spoilt[at] = static_cast<char>(spoilt[at] ^ (1 << random() % 8));
        const auto segment = capture::segment_of(spoilt);
        ASSERT_EQ(segment.damage.size(), 1u) << at;
        EXPECT_LE(segment.damage[0].at, at);
        EXPECT_GT(segment.damage[0].at + segment.damage[0].bytes, at);
        EXPECT_EQ(segment.batches.size(), 59u) << at;
        EXPECT_LT(segment.whole(), 60u);
        EXPECT_FALSE(capture::first_difference(segment)) << at;
    }
}

TEST_F(CaptureFile, CutAtAnyByteKeepsWhatStoodBefore) {
    std::size_t before = 0;
    for (std::size_t length = 0; length < bytes.size(); length += 3) {
        try {
            const auto segment = capture::segment_of(std::string_view(bytes).substr(0, length));
            EXPECT_GE(segment.whole(), before);
            before = segment.whole();
            EXPECT_FALSE(segment.head && length % 99 == 0 && capture::first_difference(segment)) << length;
        } catch (const capture::BadCapture&) {
            EXPECT_LT(length, capture::magic().size());  // it does not even say what it is
        }
    }
    EXPECT_EQ(before, 59u);
}

TEST_F(CaptureFile, BearsAnyBytes) {
    std::mt19937 random(11);
    const std::string magic = capture::magic();
    for (int i = 0; i < 300; ++i) {
        std::string nonsense = bytes.substr(0, magic.size() + random() % 3000);
        for (int n = 0; n < 40; ++n)
            nonsense[magic.size() + random() % (nonsense.size() - magic.size() + 1) % nonsense.size()] =
                static_cast<char>(random());
        try {
            const auto segment = capture::segment_of(nonsense);
            if (segment.head) capture::first_difference(segment);
        } catch (const capture::BadCapture&) {
        }
        // and records that fit their checksum, but are nonsense themselves
        std::string record(random() % 60, '\0');
        for (char& byte : record) byte = static_cast<char>(random());
        for (const auto kind :
            {capture::RecordKind::Head, capture::RecordKind::Batch, capture::RecordKind::Named})
            EXPECT_NO_THROW(capture::segment_of(magic + capture::frame(kind, record)));
    }
}

TEST_F(CaptureFile, RefusesANewerFormatAndWhatIsNone) {
    EXPECT_THROW(capture::segment_of("lockgw capture 2\nabc"), capture::BadCapture);
    EXPECT_THROW(capture::segment_of("something else"), capture::BadCapture);
    capture::Segment headless = capture::segment_of(capture::magic());
    EXPECT_THROW(capture::Replay{headless}, capture::BadCapture);
}

// A build that knew less wrote fewer members: what it did not write stays as this one has it.
TEST_F(CaptureFile, ReadsWhatAnOlderBuildWrote) {
    const auto sound = capture::segment_of(bytes);
    const std::string head = capture::bytes_of(*sound.head);
    const auto whole = capture::unpacked(head);
    msgpack::sbuffer fewer;
    msgpack::packer<msgpack::sbuffer> pack(fewer);
    pack.pack_array(7);  // up to `why`
    for (std::uint32_t i = 0; i < 7; ++i) pack.pack(whole.get().via.array.ptr[i]);
    const auto old = capture::head_of({fewer.data(), fewer.size()});
    EXPECT_EQ(old.first, sound.head->first);
    EXPECT_TRUE(old.memory.empty());
    // and a message without its route, the latest member
    MessageEvent event;
    event.message = 5, event.left = ms(100), event.route = 3;
    capture::Batch batch{1, ms(1), {{ms(1), event}}, {}};
    const std::string record = capture::bytes_of(batch);
    const auto object = capture::unpacked(record);
    msgpack::object& told = object.get().via.array.ptr[2].via.array.ptr[1].via.array.ptr[1];
    told.via.array.size -= 1;
    msgpack::sbuffer older;
    msgpack::pack(older, object.get());
    const auto read = capture::batch_of({older.data(), older.size()});
    const auto& message = std::get<MessageEvent>(read.events.at(0).second);
    EXPECT_EQ(message.message, 5u);
    EXPECT_EQ(message.route, 0u);
}

// What a decision was made of stands in the file: another setting, and it is another decision.
TEST_F(CaptureFile, ASettingChangedIsADifference) {
    const auto segment = capture::segment_of(bytes);
    const auto difference =
        capture::first_difference(segment, [](Settings& settings) { settings.slots = 1; });
    ASSERT_TRUE(difference);
    EXPECT_NE(capture::bytes_of(difference->then), capture::bytes_of(difference->now));
}

TEST_F(CaptureFile, TellsTheStoryOfAMessage) {
    const auto segment = capture::segment_of(bytes);
    std::optional<MessageId> sent;
    for (const auto& batch : segment.batches)
        for (const auto& action : batch.actions)
            if (const auto* one = std::get_if<Send>(&action); one && !sent) sent = one->message;
    ASSERT_TRUE(sent);
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(*sent));
    const auto subject = capture::subject_of(segment, id);
    ASSERT_TRUE(subject);
    std::string all;
    for (const auto& line : capture::story_of(segment, *subject)) all += line.text + "\n";
    EXPECT_NE(all.find("sent " + std::string(id)), std::string::npos) << all;
    EXPECT_FALSE(capture::subject_of(segment, "nobody"));
    EXPECT_LE(capture::story_of(segment, *capture::subject_of(segment, "3"), 5).size(), 5u);
}

class RecorderTest : public ::testing::Test {
protected:
    RecorderTest() : folder(fs::temp_directory_path() / ("lockgw-capture-" + std::to_string(::getpid()))) {
        fs::remove_all(folder);
        settings.folder = folder / "capture";
        settings.segment_bytes = 20'000;
        settings.disk_bytes = 200'000;
        settings.flush = 5ms;
        settings.retry = 20ms;
    }
    ~RecorderTest() override { fs::remove_all(folder); }

    /// A batch of one message.
    void one(capture::Recorder& recorder) {
        now += ms(10);
        MessageEvent event;
        event.message = ++id;
        event.destination = 1;
        event.left = ms(500);
        module.observe(event, now);
        recorder.observed(event, now);
        recorder.decided(now, module.decide(now));
    }
    /// So many of them.
    void batches(capture::Recorder& recorder, int count) {
        for (int i = 0; i < count; ++i) {
            one(recorder);
            if (i % 50 == 0) io.run_for(1ms);
        }
        settle();
    }
    void settle() {
        io.restart();
        io.run_for(60ms);
    }
    std::vector<fs::path> files() const {
        std::vector<fs::path> all;
        for (const auto& entry : fs::directory_iterator(settings.folder))
            if (entry.is_regular_file()) all.push_back(entry.path());
        std::sort(all.begin(), all.end());
        return all;
    }
    std::size_t bytes() const {
        std::size_t all = 0;
        for (const auto& path : files()) all += fs::file_size(path);
        return all;
    }

    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> stays{io.get_executor()};
    fs::path folder;
    capture::RecorderSettings settings;
    Sender module{make_settings(), 1};
    Time now = ms(1000);
    MessageId id = 0;
};

TEST_F(RecorderTest, EverySegmentOfTheRingStandsByItself) {
    {
        capture::Recorder recorder(io, settings, {"test", {}, {}, {}}, module);
        for (int round = 0; round < 20; ++round) {
            batches(recorder, 400);
            EXPECT_LE(bytes(), settings.disk_bytes);
        }
        EXPECT_EQ(recorder.counters().lost_batches, 0u);
    }
    ASSERT_GE(files().size(), 3u);
    EXPECT_GT(capture::read_head(files().front())->first, 0u);  // the oldest are gone
    std::uint64_t next = capture::read_head(files().front())->first;
    for (const auto& path : files()) {
        const auto segment = capture::read_segment(path);
        EXPECT_TRUE(segment.damage.empty()) << path;
        EXPECT_EQ(segment.head->first, next) << path;
        EXPECT_EQ(segment.whole(), segment.batches.size());
        EXPECT_FALSE(capture::first_difference(segment)) << path;
        next += segment.batches.size();
    }
    EXPECT_EQ(next, 8000u);
}

// What was kept stays when the ring has gone round, and is decided alike; the oldest of it goes for the next.
TEST_F(RecorderTest, KeepsTheMinutesBeforeAndWhatComesNext) {
    settings.trigger.on = {capture::Cause::GivenUp};
    settings.trigger.every = ms(40'000);
    settings.trigger.after = ms(30);
    settings.kept_bytes = 150'000;
    capture::Recorder recorder(io, settings, {"test", {}, {}, {}}, module);
    std::size_t most = 0;
    for (int round = 0; round < 16; ++round) {
        batches(recorder, 400);  // messages that nobody takes are given up all the time
        EXPECT_LE(recorder.counters().kept_bytes, settings.kept_bytes);
        most = std::max<std::size_t>(most, recorder.counters().kept);
    }
    EXPECT_GE(most, 1u);
    const fs::path kept = settings.folder / "kept";
    ASSERT_TRUE(fs::is_directory(kept));
    std::size_t segments = 0;
    for (const auto& folder : fs::directory_iterator(kept)) {
        EXPECT_TRUE(folder.path().filename().string().ends_with("Z-given_up")) << folder.path();
        for (const auto& file : fs::directory_iterator(folder)) {
            const auto segment = capture::read_segment(file.path());
            EXPECT_EQ(segment.whole(), segment.batches.size());
            EXPECT_FALSE(capture::first_difference(segment)) << file.path();
            ++segments;
        }
    }
    EXPECT_GE(segments, 2u);
    EXPECT_LT(capture::read_head(fs::directory_iterator(*fs::directory_iterator(kept))->path())->first,
        capture::read_head(files().back())->first);
    recorder.keep();  // the operator is held off by no limit
    const auto before = recorder.counters().kept_bytes;
    batches(recorder, 30);
    EXPECT_NE(recorder.counters().kept_bytes, before);
}

// The folder goes away and comes back: what was lost meanwhile is told by number, and nothing else is
// missing.
TEST_F(RecorderTest, TellsWhatADiskThatFailedLost) {
    {
        capture::Recorder recorder(io, settings, {"test", {}, {}, {}}, module);
        batches(recorder, 300);
        fs::remove_all(settings.folder);
        std::ofstream(settings.folder) << "in the way";
        for (int i = 0; i < 20 && !recorder.failing(); ++i) batches(recorder, 400);
        ASSERT_TRUE(recorder.failing());
        fs::remove(settings.folder);
        fs::create_directory(settings.folder);
        for (int i = 0; i < 50 && recorder.failing(); ++i)
            batches(recorder, 10), std::this_thread::sleep_for(5ms);
        ASSERT_FALSE(recorder.failing());
        EXPECT_GT(recorder.counters().lost_batches, 0u);
        batches(recorder, 100);
    }
    const auto segment = capture::read_segment(files().front());
    EXPECT_TRUE(segment.head->why.starts_with("lost ")) << segment.head->why;
    EXPECT_FALSE(capture::first_difference(segment));
    EXPECT_EQ(segment.whole(), segment.batches.size());
}

// Blocks that nobody takes, as with a disk that hangs, are bounded: recording pauses, and says so afterwards.
TEST_F(RecorderTest, PausesWhereTheDiskIsTooSlow) {
    {
        capture::Recorder recorder(io, settings, {"test", {}, {}, {}}, module);
        for (int i = 0; i < 20'000 && !recorder.failing();
             ++i) {  // the loop hears of no block that was written
            one(recorder);
        }
        ASSERT_TRUE(recorder.failing());
        for (int i = 0; i < 100 && recorder.failing(); ++i)
            batches(recorder, 10), std::this_thread::sleep_for(5ms);
        ASSERT_FALSE(recorder.failing());
        batches(recorder, 100);
    }
    bool told = false;
    for (const auto& path : files()) {
        const auto segment = capture::read_segment(path);
        told |= segment.head->why.find("the disk is too slow") != std::string::npos;
        EXPECT_FALSE(capture::first_difference(segment)) << path;
        EXPECT_EQ(segment.whole(), segment.batches.size()) << path;
    }
    EXPECT_TRUE(told);
}

}  // namespace
}  // namespace cometspoke::testing
