/// Writes down everything that the decision module is told and decides, so that it can be replayed.
///
/// Called by the core around each call to the module. What is told is packed at once, into memory; a thread
/// of its own writes it, a block at a time. Bounded: the folder by `disk_bytes` (the oldest segments go),
/// memory by a few blocks. Where the disk is slow, full or fails, messages go on; what was lost is told by
/// the head of the next segment, which can be replayed by itself like every other.
///
/// Threads: the loop's. The module and the loop outlive it.
#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "background/worker.hpp"
#include "base/timer.hpp"
#include "capture/batch.hpp"
#include "capture/trigger.hpp"

namespace lockgw::capture {

struct RecorderSettings {
    std::filesystem::path folder;
    std::size_t disk_bytes = 64u << 20;    ///< of all segments
    std::size_t segment_bytes = 4u << 20;  ///< a new segment begins beyond this
    std::size_t kept_bytes = 64u << 20;    ///< of what a trigger or the operator kept, beside the others
    TriggerSettings trigger;
    std::chrono::milliseconds flush{200};   ///< what is told is written after this at the latest
    std::chrono::milliseconds retry{1000};  ///< after a write that failed
};

/// What a head says of the process.
struct About {
    std::string program;
    std::vector<std::string> classes, tenants, kinds;
};

struct RecorderCounters {
    std::uint64_t batches = 0, lost_batches = 0, bytes = 0, segments = 0, failures = 0;
    std::uint64_t kept = 0, kept_bytes = 0;  ///< folders, and what is in them
};

class Ring;  // the files, on the thread

class Recorder {
public:
    /// Creates the folder. Throws where it cannot be used.
    Recorder(
        boost::asio::io_context& loop, RecorderSettings settings, About about, cometspoke::Sender& module);
    Recorder(const Recorder&) = delete;
    Recorder& operator=(const Recorder&) = delete;
    /// Writes what there is.
    ~Recorder();

    /// Right after the module was told.
    void observed(const cometspoke::Event& event, Time now);
    /// Right after it decided.
    void decided(Time now, const std::vector<cometspoke::Action>& actions);
    /// An endpoint has got its number.
    void named(cometspoke::EndpointId endpoint, const std::string& name);

    /// Nothing is recorded any more; what there is will be written. Idle: it is.
    void end();
    bool idle() const { return worker_.out() == 0; }

    const RecorderCounters& counters() const { return counters_; }
    bool failing() const { return lost_; }

    /// With the next decision the minutes before it are kept, and what comes in the time after it.
    void keep();

private:
    void watch(Time now, const std::vector<cometspoke::Action>& actions);
    void segment_due();
    void keep_for(Cause cause);
    void begin_segment(const std::string& why);
    void flush();
    void arm();
    void lose(const std::string& why);

    RecorderSettings settings_;
    About about_;
    cometspoke::Sender& module_;
    std::shared_ptr<Ring> ring_;
    Trigger trigger_;
    Time looked_{0};
    bool asked_ = false, ends_keep_ = false, ended_ = false;
    BatchWriter batch_;
    std::map<cometspoke::EndpointId, std::string> names_;
    std::string pending_;          // framed, not given to the thread yet
    bool pending_begins_ = false;  // it begins a segment
    std::size_t in_segment_ = 0, segment_limit_ = 0;
    std::uint64_t number_ = 0;   // of the next batch
    bool lost_ = false;          // nothing is recorded until a new segment begins
    std::uint64_t safe_to_ = 0;  // batches before it are written
    std::uint64_t lost_from_ = 0;
    std::string lost_why_;
    std::chrono::steady_clock::time_point not_before_{};
    bool armed_ = false;
    RecorderCounters counters_;
    Timer timer_, after_;
    std::shared_ptr<bool> here_ = std::make_shared<bool>(true);
    Worker worker_;
};

}  // namespace lockgw::capture
