/// `lockgw replay`: what was captured, decided once more, and why.
#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "capture/timeline.hpp"
#include "program/commands.hpp"
#include "program/replay_words.hpp"
#include "program/walk.hpp"

namespace lockgw::program {

using capture::Difference;
using capture::Segment;

namespace {

namespace fs = std::filesystem;

Json json_of(const capture::Damage& damage) {
    return {{"at", damage.at}, {"bytes", damage.bytes}, {"what", damage.what}};
}

/// What of the segment is missing, and what can still be trusted.
void tell_damage(const Segment& segment) {
    for (const auto& damage : segment.damage)
        std::cout << "  " << damage.what << ": " << damage.bytes << " bytes at byte " << damage.at << '\n';
    const std::size_t whole = segment.whole();
    if (whole < segment.batches.size())
        std::cout << "  batches are missing behind number " << segment.head->first + whole - 1 << ": the "
                  << segment.batches.size() - whole << " behind the gap can be read, and are not replayed\n";
}

struct Verdict {
    capture::WhatIf told;
    std::size_t events = 0;
    double took_s = 0, spans_s = 0;
};
Verdict replayed(const Segment& segment, const capture::Change& change, const ReplayWish& wish) {
    Verdict verdict;
    const auto begun = std::chrono::steady_clock::now();
    verdict.told = capture::what_if(
        segment, change, wish.differences, progress_of(wish.json, "batches decided once more"));
    verdict.took_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
    const std::size_t batches = verdict.told.batches;
    for (std::size_t i = 0; i < batches; ++i) verdict.events += segment.batches[i].events.size();
    if (batches > 0)
        verdict.spans_s =
            std::chrono::duration<double>(segment.batches[batches - 1].decided - segment.batches[0].decided)
                .count();
    return verdict;
}

Json json_of(const capture::Tally& tally) {
    Json rows = Json::object();
    for (std::size_t i = 0; i < tally.then.size(); ++i)
        if (tally.then[i] + tally.now[i] > 0)
            rows[capture::kind_of(i)] = {{"then", tally.then[i]}, {"now", tally.now[i]}};
    return {{"batches", tally.batches}, {"decided", rows}};
}
Json json_of(const Segment& segment, const Verdict& verdict) {
    const capture::WhatIf& told = verdict.told;
    Json one{{"file", segment.path.string()}, {"batches", told.batches}, {"events", verdict.events},
        {"took_s", verdict.took_s}, {"spans_s", verdict.spans_s}, {"same", told.different == 0},
        {"behind_a_gap", segment.batches.size() - segment.whole()}};
    for (const auto& damage : segment.damage) one["damage"].push_back(json_of(damage));
    if (told.different == 0) return one;
    const auto name_of = capture::names_of(segment);
    const auto json_of_difference = [&](const Difference& difference) {
        return Json{{"batch", difference.number}, {"wall_ms", capture::wall_of(*segment.head, difference.at)},
            {"then", words(difference.then, name_of)}, {"now", words(difference.now, name_of)},
            {"failed", difference.failed}};
    };
    if (!told.differences.empty()) one["difference"] = json_of_difference(told.differences.front());
    for (const Difference& difference : told.differences)
        one["differences"].push_back(json_of_difference(difference));
    one["different"] = told.different;
    one["before"] = json_of(told.before);
    one["behind"] = json_of(told.behind);
    return one;
}

/// What was decided from the first difference on. Calls that were not made then have no answers: the further
/// behind it, the less the figures say.
void tell_tally(const capture::WhatIf& told) {
    std::cout << "  " << told.different << " of " << told.behind.batches
              << " batches from there on are decided otherwise; calls that were not made then are never "
                 "answered now\n";
    for (std::size_t i = 0; i < told.behind.then.size(); ++i)
        if (told.behind.then[i] != told.behind.now[i])
            std::cout << "    " << capture::kind_of(i) << ": then " << told.behind.then[i] << ", now "
                      << told.behind.now[i] << '\n';
}

/// "lab/a=250": the endpoint's id and milliseconds.
std::pair<std::string, capture::Time> later_of(const std::string& text) try {
    const auto at = text.rfind('=');
    std::size_t used = 0;
    const double ms = at == std::string::npos ? 0 : std::stod(text.substr(at + 1), &used);
    if (used == 0 || at + 1 + used != text.size() || !(ms > 0 && ms < 86'400'000))
        throw std::out_of_range("");
    return {text.substr(0, at), capture::Time(static_cast<std::int64_t>(ms * 1000))};
} catch (const std::exception&) {
    throw std::invalid_argument("--later " + text + ": write ENDPOINT=MILLISECONDS, above 0");
}

/// What is changed is said by names: each segment has its own numbers for them.
capture::Change change_of(const ReplayWish& wish, const Segment& segment) {
    capture::Change change;
    change.settings = settings_change(wish.sets);
    for (const std::string& peer : wish.lost_notes) {
        if (peer == "all") {
            change.no_notes = true;
            continue;
        }
        if (peer.empty() || peer.size() > 9 || peer.find_first_not_of("0123456789") != std::string::npos)
            throw std::invalid_argument("--lose-notes " + peer + ": write a peer's number, or all");
        change.notes_lost.insert(std::stoul(peer));
    }
    for (const std::string& text : wish.later) {
        const auto [name, by] = later_of(text);
        const auto subject = capture::subject_of(segment, name);
        if (subject && subject->endpoint)
            change.answers_later[*subject->endpoint] = by;
        else
            std::cerr << "lockgw: " << segment.path.filename().string() << " knows no endpoint " << name
                      << '\n';
    }
    return change;
}

int draw(const ReplayWish& wish) {
    const auto runs = runs_at(wish.path);
    const Segment* shown = &runs.front();
    capture::TimelineWish timeline;
    if (!wish.why.empty()) {
        const auto knows = std::find_if(runs.begin(), runs.end(), [&](const Segment& run) {
            const auto subject = capture::subject_of(run, wish.why);
            if (subject) timeline.subject = *subject;
            return subject.has_value();
        });
        if (knows == runs.end()) throw std::runtime_error("nothing in the capture is about " + wish.why);
        shown = &*knows;
    }
    if (runs.size() > 1)
        std::cerr << "lockgw: the capture has gaps or restarts; drawn is the run of "
                  << time_text(shown->head->wall_ms) << '\n';
    std::ofstream file(wish.timeline, std::ios::binary);
    file << capture::timeline_of(*shown, timeline);
    file.close();
    if (!file) throw std::runtime_error(wish.timeline + " cannot be written");
    std::cout << wish.timeline << ": " << shown->whole() << " batches\n";
    return kWell;
}

int tell_story(const std::vector<fs::path>& files, const std::string& why, bool json) {
    Json all = Json::array();
    bool known = false;
    const auto message = capture::message_of(why);
    for (const fs::path& file : files) {
        if (message && files.size() > 1 && !capture::may_tell_of(file, *message)) continue;
        const Segment segment = capture::read_segment(file);
        const auto subject = capture::subject_of(segment, why);
        if (!subject) continue;
        for (const auto& line : capture::story_of(segment, *subject)) {
            known = true;
            if (json)
                all.push_back({{"wall_ms", line.wall_ms}, {"batch", line.batch}, {"text", line.text}});
            else
                std::cout << time_text(line.wall_ms) << "  " << line.text << '\n';
        }
    }
    if (json) std::cout << all.dump(2) << '\n';
    if (known) return kWell;
    std::cerr << "lockgw: nothing in the capture is about \"" << why
              << "\"; write a message's 16 hex digits, a destination's number or an endpoint's name\n";
    return kWrong;
}

int replayed_all(const ReplayWish& wish) {
    if (wish.step || !wish.until.empty()) return walk(wish, std::cin, std::cout);
    if (!wish.timeline.empty()) return draw(wish);
    const auto files = segments_at(wish.path);
    if (files.empty()) throw std::runtime_error(wish.path + ": there is no segment (*.lcap)");
    if (!wish.why.empty()) return tell_story(files, wish.why, wish.json);
    Json all = Json::array();
    bool same = true;
    for (const fs::path& file : files) {
        const Segment segment = capture::read_segment(file);
        const Verdict verdict = replayed(segment, change_of(wish, segment), wish);
        const capture::WhatIf& told = verdict.told;
        same = same && told.different == 0;
        if (wish.json) {
            all.push_back(json_of(segment, verdict));
            continue;
        }
        std::cout << file.filename().string() << ": " << told.batches << " batches, " << verdict.events
                  << " events, " << verdict.spans_s << " s in " << verdict.took_s
                  << " s: " << (told.different > 0 ? "a difference" : "the same decisions") << '\n';
        tell_damage(segment);
        for (const Difference& difference : told.differences) tell_difference(segment, difference);
        if (told.different > 0) tell_tally(told);
    }
    if (wish.json) std::cout << all.dump(2) << '\n';
    return same ? kWell : kWrong;
}

}  // namespace

int replay_capture(const ReplayWish& wish) {
    return told_wrong([&] { return replayed_all(wish); });
}

}  // namespace lockgw::program
