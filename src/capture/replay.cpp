#include "capture/replay.hpp"

#include "capture/archive.hpp"
#include "capture/memory.hpp"
#include "policy/state.hpp"

namespace lockgw::capture {
namespace {

constexpr std::size_t kProgress = 1000;  // batches between two calls

const Head& head_of(const Segment& segment) {
    if (!segment.head) throw BadCapture("the segment's head cannot be read: nothing in it can be replayed");
    return *segment.head;
}

/// The settings are part of the memory; a module needs some to begin with.
cometspoke::Settings any_settings() {
    cometspoke::Settings settings;
    settings.classes.emplace_back();
    settings.classes.back().deadline = Time(1);
    settings.slots = settings.most_held = 1;
    return settings;
}

}  // namespace

Replay::Replay(const Segment& segment, const std::function<void(cometspoke::Settings&)>& change)
    : segment_(segment), most_(segment.whole()), module_(any_settings(), 0) {
    remember(module_, head_of(segment).memory);
    if (change) change(module_.state().settings_);
}

std::optional<Difference> Replay::step() {
    const Batch& batch = segment_.batches.at(place_);
    Difference difference{place_, batch.number, batch.decided, batch.actions, {}, {}};
    ++place_;
    try {
        for (const auto& [when, event] : batch.events) module_.observe(event, when);
        difference.now = module_.decide(batch.decided);
    } catch (const std::exception& bad) {
        difference.failed = bad.what();
        return difference;
    }
    if (bytes_of(difference.then) == bytes_of(difference.now)) return std::nullopt;
    return difference;
}

std::optional<Difference> first_difference(const Segment& segment,
    const std::function<void(cometspoke::Settings&)>& change,
    const std::function<void(std::size_t, std::size_t)>& progress) {
    Replay replay(segment, change);
    const std::size_t all = segment.whole();
    while (replay.more()) {
        if (progress && replay.place() % kProgress == 0) progress(replay.place(), all);
        if (auto difference = replay.step()) return difference;
    }
    return std::nullopt;
}

}  // namespace lockgw::capture
