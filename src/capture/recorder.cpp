// A segment begins right after a decision: what the module knows then is its head. Blocks go to the thread in
// order; each job tells whether it was written. After one that was not, the segment's rest would hang in the
// air: recording pauses, and goes on with a new segment.
#include "capture/recorder.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <random>

#include "capture/memory.hpp"
#include "capture/segment.hpp"
#include "logging/log.hpp"

namespace lockgw::capture {

namespace fs = std::filesystem;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t kBlock = 64 * 1024;
constexpr std::size_t kMostBlocks = 8;  // that wait to be written: 512 KB, and a head
constexpr const char* kSuffix = ".lcap";

std::runtime_error failure(const char* what, const fs::path& path) {
    return std::runtime_error(
        std::string(what) + ' ' + path.filename().string() + ": " + std::strerror(errno));
}

}  // namespace

/// On the thread alone, but for the constructor.
class Recorder::Ring {
public:
    Ring(fs::path folder, std::size_t most) : folder_(std::move(folder)), most_(most) {
        fs::create_directories(folder_);
        fs::permissions(folder_, fs::perms::owner_all);  // what is told of messages is nobody else's
        if (::access(folder_.c_str(), W_OK) != 0) throw failure("cannot write to", folder_);
        for (const auto& [path, size] : segments())
            last_ = std::max(last_, std::strtoull(path.stem().string().c_str() + 1, nullptr, 10));
    }
    ~Ring() { close(); }

    /// A new file for what comes; room for `coming` bytes is made, the oldest segments first.
    void begin(std::size_t coming) {
        close();
        auto all = segments();
        std::size_t total = 0;
        for (const auto& [path, size] : all) total += size;
        for (const auto& [path, size] : all) {
            if (total + coming <= most_) break;
            if (!fs::remove(path)) throw failure("cannot remove", path);
            total -= size;
        }
        char name[40];
        std::snprintf(name, sizeof name, "s%012llu%s", static_cast<unsigned long long>(++last_), kSuffix);
        path_ = folder_ / name;
        file_ = ::open(path_.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC, 0600);
        if (file_ < 0) throw failure("cannot create", path_);
        write(magic());
    }
    void write(std::string_view bytes) {
        if (file_ < 0) throw std::runtime_error("no segment is open");
        while (!bytes.empty()) {
            const ssize_t count = ::write(file_, bytes.data(), bytes.size());
            if (count < 0 && errno == EINTR) continue;
            if (count <= 0) {
                const auto why = failure("cannot write to", path_);
                close();
                throw why;
            }
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
    }

private:
    void close() {
        if (file_ >= 0) ::close(file_);
        file_ = -1;
    }
    /// In the order of their names, which is that of their making.
    std::vector<std::pair<fs::path, std::size_t>> segments() const {
        std::vector<std::pair<fs::path, std::size_t>> all;
        for (const auto& entry : fs::directory_iterator(folder_))
            if (entry.path().extension() == kSuffix && entry.is_regular_file())
                all.emplace_back(entry.path(), static_cast<std::size_t>(entry.file_size()));
        std::sort(all.begin(), all.end());
        return all;
    }

    fs::path folder_, path_;
    std::size_t most_;
    unsigned long long last_ = 0;
    int file_ = -1;
};

Recorder::Recorder(
    boost::asio::io_context& loop, RecorderSettings settings, About about, cometspoke::Sender& module)
    : settings_(std::move(settings)),
      about_(std::move(about)),
      module_(module),
      ring_(std::make_shared<Ring>(settings_.folder, settings_.disk_bytes)),
      timer_(loop),
      worker_(loop, kMostBlocks) {
    begin_segment("start");
}
Recorder::~Recorder() {
    *here_ = false;
    flush();
    worker_.finish();
}

void Recorder::begin_segment(const std::string& why) {
    Head head;
    head.program = about_.program;
    head.wall_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
                       .count();
    head.steady = std::chrono::duration_cast<Time>(steady_clock::now().time_since_epoch());
    head.first = number_;
    head.process = static_cast<std::uint64_t>(::getpid());
    head.why = why;
    head.classes = about_.classes, head.tenants = about_.tenants, head.kinds = about_.kinds;
    head.memory = memory_of(module_);
    if (!pending_.empty()) flush();
    if (lost_) return;
    pending_ = frame(RecordKind::Head, bytes_of(head));
    for (const auto& [endpoint, name] : names_)
        pending_ += frame(RecordKind::Named, bytes_of(Named{endpoint, name}));
    pending_begins_ = true;
    in_segment_ = pending_.size();
    // where much is held a head is long: its segment is longer, too
    segment_limit_ = std::min(std::max(settings_.segment_bytes, 4 * in_segment_), settings_.disk_bytes / 3);
    ++counters_.segments;
    arm();
}

void Recorder::observed(const cometspoke::Event& event, Time now) {
    if (!lost_) batch_.event(event, now);
}

void Recorder::decided(Time now, const std::vector<cometspoke::Action>& actions) {
    const std::uint64_t number = number_++;
    for (const auto& action : actions)
        if (const auto* forget = std::get_if<cometspoke::Forget>(&action)) names_.erase(forget->endpoint);
    if (lost_) {
        ++counters_.lost_batches;
        if (steady_clock::now() < not_before_ || worker_.out() > 0) return;
        lost_ = false;
        return begin_segment("lost " + std::to_string(number_ - lost_from_) + " batches from number " +
                             std::to_string(lost_from_) + " on: " + lost_why_);
    }
    const std::string record = frame(RecordKind::Batch, batch_.finish(number, now, actions));
    pending_ += record;
    in_segment_ += record.size();
    ++counters_.batches;
    if (pending_.size() >= kBlock) flush();
    if (in_segment_ >= segment_limit_) begin_segment("next");
    arm();
}

void Recorder::named(cometspoke::EndpointId endpoint, const std::string& name) {
    if (names_.try_emplace(endpoint, name).second && !lost_)
        pending_ += frame(RecordKind::Named, bytes_of(Named{endpoint, name}));
}

void Recorder::arm() {
    if (pending_.empty() || std::exchange(armed_, true)) return;
    timer_.expires_after(settings_.flush);
    timer_.async_wait([this, here = here_](auto cancelled) {
        if (cancelled || !*here) return;
        armed_ = false;
        flush();
    });
}

void Recorder::flush() {
    if (pending_.empty()) return;
    const bool begins = std::exchange(pending_begins_, false);
    const std::size_t coming = begins ? segment_limit_ + kBlock : 0;
    auto job = [ring = ring_, begins, coming, bytes = std::exchange(pending_, {})] {
        if (begins) ring->begin(coming);
        ring->write(bytes);
        return bytes.size();
    };
    const bool room = worker_.run(std::move(job), [this, here = here_, to = number_](auto came) {
        if (!*here) return;
        try {
            counters_.bytes += came.take();
            safe_to_ = to;
        } catch (const std::exception& bad) {
            lose(bad.what());
        }
    });
    if (!room) lose("the disk is too slow");
}

void Recorder::lose(const std::string& why) {
    ++counters_.failures;
    not_before_ = steady_clock::now() + settings_.retry;
    pending_.clear();
    pending_begins_ = false;
    if (std::exchange(lost_, true)) return;
    lost_from_ = safe_to_;
    counters_.lost_batches += number_ - lost_from_;
    counters_.batches -= std::min(counters_.batches, number_ - lost_from_);
    lost_why_ = why;
    batch_ = BatchWriter();
    log::error("capture", "nothing is recorded", {{"why", why}, {"from_batch", lost_from_}});
}

}  // namespace lockgw::capture
