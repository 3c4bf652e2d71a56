// A segment begins right after a decision: what the module knows then is its head. Blocks go to the thread in
// order; each job tells whether it was written. After one that was not, the segment's rest would hang in the
// air: recording pauses, and goes on with a new segment.
#include "capture/recorder.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <ctime>

#include "capture/memory.hpp"
#include "capture/ring.hpp"
#include "capture/segment.hpp"
#include "logging/log.hpp"
#include "policy/state.hpp"

namespace lockgw::capture {

using cometspoke::policy::Health;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t kBlock = 64 * 1024;
constexpr Time kLookEvery = std::chrono::milliseconds(200);  // all endpoints are looked at
constexpr std::size_t kMostBlocks = 8;                       // that wait to be written: 512 KB, and a head

/// A folder's name that sorts by its moment.
std::string stamp(Cause cause) {
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    char text[64];
    const std::size_t length = std::strftime(text, sizeof text, "%Y%m%dT%H%M%S", &utc);
    std::snprintf(text + length, sizeof text - length, ".%03dZ-%s", static_cast<int>(ms), name_of(cause));
    return text;
}

std::set<cometspoke::EndpointId> ailing(cometspoke::policy::State& state) {
    std::set<cometspoke::EndpointId> all;
    for (const auto& [id, endpoint] : state.endpoints_)
        if (endpoint.health != Health::Healthy) all.insert(id);
    return all;
}

}  // namespace

Recorder::Recorder(
    boost::asio::io_context& loop, RecorderSettings settings, About about, cometspoke::Sender& module)
    : settings_(std::move(settings)),
      about_(std::move(about)),
      module_(module),
      ring_(std::make_shared<Ring>(settings_.folder, settings_.disk_bytes, settings_.kept_bytes)),
      trigger_(settings_.trigger),
      timer_(loop),
      after_(loop),
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
    pending_.reserve(pending_.size() + 2 * kBlock);
    for (const auto& [endpoint, name] : names_)
        append_frame(pending_, RecordKind::Named, bytes_of(Named{endpoint, name}));
    pending_begins_ = true;
    in_segment_ = pending_.size();
    // where much is held a head is long: its segment is longer, too
    segment_limit_ = std::min(std::max(settings_.segment_bytes, 4 * in_segment_), settings_.disk_bytes / 3);
    ++counters_.segments;
    arm();
}

void Recorder::observed(const cometspoke::Event& event, Time now) {
    if (!lost_ && !ended_) batch_.event(event, now);
}

void Recorder::decided(Time now, const std::vector<cometspoke::Action>& actions) {
    if (ended_) return;
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
    const std::size_t before = pending_.size();
    append_frame(pending_, RecordKind::Batch, batch_.finish(number, now, actions));
    in_segment_ += pending_.size() - before;
    ++counters_.batches;
    if (pending_.size() >= kBlock) flush();
    watch(now, actions);
    if (in_segment_ >= segment_limit_) begin_segment("next");
    arm();
}

/// At rest, right after a decision: a segment may begin here.
void Recorder::watch(Time now, const std::vector<cometspoke::Action>& actions) {
    if (trigger_.settings().on.empty() && !asked_) return segment_due();
    trigger_.decided(now, actions);
    if (trigger_.settings().on.contains(Cause::FellSick) && now - looked_ >= kLookEvery) {
        looked_ = now;
        trigger_.looked(ailing(module_.state()));
    }
    auto cause = trigger_.due(now);
    if (std::exchange(asked_, false)) cause = Cause::Asked;
    cause ? keep_for(*cause) : segment_due();
}
void Recorder::segment_due() {
    if (std::exchange(ends_keep_, false)) begin_segment("behind what was kept");
}
void Recorder::end() {
    flush();
    ended_ = true;
}
void Recorder::keep() { asked_ = true; }

/// What is open ends here, so that what came before stands by itself; what comes goes on in another one.
void Recorder::keep_for(Cause cause) {
    begin_segment(std::string("kept: ") + name_of(cause));
    flush();  // the job that begins it closes the one before
    if (lost_) return;
    const auto now = steady_clock::now();
    const auto name = stamp(cause);
    const auto until = now + trigger_.settings().after;
    auto job = [ring = ring_, name, since = now - trigger_.settings().before, until] {
        ring->keep(name, since, until);
        return ring->kept();
    };
    const bool room = worker_.run(std::move(job), [this, here = here_, name](auto came) {
        if (!*here) return;
        try {
            std::tie(counters_.kept, counters_.kept_bytes) = came.take();
            log::warn("capture", "kept", {{"folder", name}});
        } catch (const std::exception& bad) {
            log::error("capture", "cannot be kept", {{"why", bad.what()}});
        }
    });
    if (!room) log::error("capture", "cannot be kept", {{"why", "the disk is too slow"}});
    after_.call_at(until, [this] { ends_keep_ = true; });
}

void Recorder::named(cometspoke::EndpointId endpoint, const std::string& name) {
    if (names_.try_emplace(endpoint, name).second && !lost_)
        append_frame(pending_, RecordKind::Named, bytes_of(Named{endpoint, name}));
}

void Recorder::arm() {
    if (pending_.empty() || std::exchange(armed_, true)) return;
    timer_.call_after(settings_.flush, [this] {
        armed_ = false;
        flush();
    });
}

void Recorder::flush() {
    if (pending_.empty()) return;
    const bool begins = std::exchange(pending_begins_, false);
    const std::size_t coming = begins ? segment_limit_ + kBlock : 0;
    auto job = [ring = ring_, begins, coming, bytes = std::exchange(pending_, {})] {
        if (begins) ring->begin(coming, steady_clock::now());
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
