#include "capture/change.hpp"

#include <algorithm>

namespace lockgw::capture {

using namespace cometspoke;

namespace {

/// An event out of its batch, for the moment at which it comes instead.
struct Later {
    Time when;
    Event event;
};

class Changer {
public:
    explicit Changer(const Change& change) : change_(change) {}

    Batch operator()(const Batch& from) {
        Batch batch{from.number, from.decided, {}, from.actions};
        for (const auto& [when, event] : from.events) {
            due(when, batch);
            if (lost(event) || put_off(when, event)) continue;
            batch.events.emplace_back(when, event);
        }
        due(from.decided, batch);
        for (const Action& action : from.actions)
            if (const auto* send = std::get_if<Send>(&action))
                waits_[{send->message, send->endpoint}] = send->time_out;
        return batch;
    }

private:
    bool lost(const Event& event) const {
        const auto* note = std::get_if<PeerNote>(&event);
        return note != nullptr && (change_.no_notes || change_.notes_lost.contains(note->from));
    }
    bool put_off(Time when, const Event& event) {
        const auto* outcome = std::get_if<OutcomeEvent>(&event);
        if (outcome == nullptr || outcome->outcome == Outcome::NoAnswer) return false;
        const auto by = change_.answers_later.find(outcome->endpoint);
        if (by == change_.answers_later.end()) return false;
        OutcomeEvent later = *outcome;
        later.rtt += by->second;
        Time at = when + by->second;
        const auto wait = waits_.find({outcome->message, outcome->endpoint});
        if (wait != waits_.end() && later.rtt > wait->second) {
            at = std::max(when, at - (later.rtt - wait->second));
            later.rtt = wait->second, later.outcome = Outcome::NoAnswer, later.terminal = false;
            later.wait = Time(0), later.report.reset();
        }
        later_.emplace(at, later);
        return true;
    }
    /// What has been put off to this moment or before.
    void due(Time now, Batch& batch) {
        while (!later_.empty() && later_.begin()->first <= now) {
            batch.events.emplace_back(later_.begin()->first, std::move(later_.begin()->second));
            later_.erase(later_.begin());
        }
    }

    const Change& change_;
    std::multimap<Time, Event> later_;
    std::map<std::pair<MessageId, EndpointId>, Time> waits_;  // of the latest call
};

void count(const std::vector<Action>& actions, std::array<std::uint64_t, Tally::kKinds>& to) {
    for (const Action& action : actions) ++to[action.index()];
}

}  // namespace

Segment changed(const Segment& segment, const Change& change) {
    Segment out;
    out.path = segment.path;
    out.head = segment.head;
    out.names = segment.names;
    Changer changer(change);
    const std::size_t whole = segment.whole();
    out.batches.reserve(whole);
    for (std::size_t place = 0; place < whole; ++place)
        out.batches.push_back(changer(segment.batches[place]));
    return out;
}

const char* kind_of(std::size_t action) {
    static constexpr std::array<const char*, Tally::kKinds> kNames{"sent", "called off", "refused",
        "given up", "timers", "probes", "idle closed", "notes", "watches", "lists asked for", "lines of log",
        "forgotten"};
    return kNames.at(action);
}

WhatIf what_if(const Segment& segment, const Change& change, std::size_t most,
    const std::function<void(std::size_t, std::size_t)>& progress) {
    constexpr std::size_t kProgress = 1000;  // batches between two calls
    const Segment other = change.events() ? changed(segment, change) : Segment{};
    const Segment& told = change.events() ? other : segment;
    Replay replay(told, change.settings);
    WhatIf result;
    const std::size_t all = told.whole();
    while (replay.more()) {
        if (progress && replay.place() % kProgress == 0) progress(replay.place(), all);
        const Batch& batch = told.batches[replay.place()];
        auto difference = replay.step();
        ++result.batches;
        Tally& tally = difference || result.different > 0 ? result.behind : result.before;
        ++tally.batches;
        count(batch.actions, tally.then);
        count(difference ? difference->now : batch.actions, tally.now);
        if (!difference) continue;
        ++result.different;
        const bool failed = !difference->failed.empty();
        if (failed) result.stopped = difference->failed;
        if (result.differences.size() < most) result.differences.push_back(std::move(*difference));
        if (failed) break;
    }
    return result;
}

}  // namespace lockgw::capture
