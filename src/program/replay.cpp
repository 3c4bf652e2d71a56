/// `lockgw capture list` and `lockgw replay`: what was captured, decided once more, and why.
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <filesystem>
#include <iostream>

#include "capture/archive.hpp"
#include "capture/story.hpp"
#include "program/commands.hpp"

namespace lockgw::program {

using capture::Difference;
using capture::Segment;

namespace {

namespace fs = std::filesystem;

std::string time_text(std::int64_t wall_ms) {
    const std::time_t seconds = wall_ms / 1000;
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    char text[48];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S", &utc);
    std::snprintf(text + length, sizeof text - length, ".%03d", static_cast<int>(wall_ms % 1000));
    return text;
}

/// Segments of a folder in their order, or the one file.
std::vector<fs::path> segments_at(const std::string& path) {
    if (!fs::is_directory(path)) return {path};
    std::vector<fs::path> all;
    for (const auto& entry : fs::directory_iterator(path))
        if (entry.path().extension() == ".lcap") all.push_back(entry.path());
    std::sort(all.begin(), all.end());
    return all;
}

struct Setting {
    const char* name;
    std::function<void(cometspoke::Settings&, double)> set;
};
const std::vector<Setting>& settings_that_may_change() {
    using cometspoke::Settings;
    const auto ms = [](cometspoke::Time& time, double value) {
        time = cometspoke::Time(static_cast<std::int64_t>(value * 1000));
    };
    static const std::vector<Setting> all{
        {"slots", [](Settings& s, double v) { s.slots = static_cast<std::size_t>(v); }},
        {"most_held", [](Settings& s, double v) { s.most_held = static_cast<std::size_t>(v); }},
        {"max_attempts", [](Settings& s, double v) { s.max_attempts = static_cast<std::size_t>(v); }},
        {"n_instances", [](Settings& s, double v) { s.n_instances = static_cast<std::size_t>(v); }},
        {"floor_per_s", [](Settings& s, double v) { s.floor_per_s = v; }},
        {"fall_multiple", [](Settings& s, double v) { s.fall_multiple = v; }},
        {"cold_from", [](Settings& s, double v) { s.cold_from = v; }},
        {"warm_within_ms", [ms](Settings& s, double v) { ms(s.warm_within, v); }},
        {"fall_ms", [ms](Settings& s, double v) { ms(s.fall, v); }},
        {"conn_idle_ms", [ms](Settings& s, double v) { ms(s.conn_idle, v); }},
    };
    return all;
}

/// "slots=16", several; throws std::invalid_argument for what is none.
std::function<void(cometspoke::Settings&)> change_of(const std::vector<std::string>& sets) {
    std::vector<std::pair<const Setting*, double>> all;
    for (const std::string& text : sets) {
        const auto at = text.find('=');
        const auto& known = settings_that_may_change();
        const auto found = std::find_if(
            known.begin(), known.end(), [&](const Setting& one) { return one.name == text.substr(0, at); });
        std::size_t used = 0;
        double value = 0;
        try {
            if (at != std::string::npos) value = std::stod(text.substr(at + 1), &used);
        } catch (const std::exception&) {
        }
        if (found == known.end() || used == 0 || at + 1 + used != text.size() || value <= 0) {
            std::string names;
            for (const Setting& one : known) names += std::string(names.empty() ? "" : ", ") + one.name;
            throw std::invalid_argument(
                "--set " + text + ": write NAME=NUMBER, above 0, with one of " + names);
        }
        all.emplace_back(&*found, value);
    }
    return [all](cometspoke::Settings& settings) {
        for (const auto& [setting, value] : all) setting->set(settings, value);
    };
}

std::function<void(std::size_t, std::size_t)> progress(bool json) {
    if (json || isatty(STDERR_FILENO) == 0) return {};
    return [](std::size_t done, std::size_t of) {
        std::cerr << "\r" << done << " of " << of << " batches" << std::flush;
    };
}

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

std::vector<std::string> words(
    const std::vector<cometspoke::Action>& actions, const capture::NameOf& name_of) {
    std::vector<std::string> all;
    for (const auto& action : actions) all.push_back(capture::text_of(action, name_of));
    return all;
}

void tell_difference(const Segment& segment, const Difference& difference) {
    const auto name_of = capture::names_of(segment);
    const auto& batch = segment.batches.at(difference.place);
    std::cout << "  batch " << difference.number << " at "
              << time_text(capture::wall_of(*segment.head, difference.at)) << " is decided otherwise\n";
    for (const auto& [when, event] : batch.events)
        std::cout << "    told   " << capture::text_of(event, *segment.head, name_of) << '\n';
    for (const auto& text : words(difference.then, name_of)) std::cout << "    then   " << text << '\n';
    for (const auto& text : words(difference.now, name_of)) std::cout << "    now    " << text << '\n';
    if (!difference.failed.empty()) std::cout << "    now    it failed: " << difference.failed << '\n';
}

struct Verdict {
    std::size_t batches = 0, events = 0;
    std::optional<Difference> difference;
    double took_s = 0, spans_s = 0;
};
Verdict replayed(
    const Segment& segment, const std::function<void(cometspoke::Settings&)>& change, bool json) {
    Verdict verdict;
    const auto begun = std::chrono::steady_clock::now();
    verdict.difference = capture::first_difference(segment, change, progress(json));
    verdict.took_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
    verdict.batches = verdict.difference ? verdict.difference->place + 1 : segment.whole();
    for (std::size_t i = 0; i < verdict.batches; ++i) verdict.events += segment.batches[i].events.size();
    if (verdict.batches > 0)
        verdict.spans_s = std::chrono::duration<double>(
            segment.batches[verdict.batches - 1].decided - segment.batches[0].decided)
                              .count();
    return verdict;
}

Json json_of(const Segment& segment, const Verdict& verdict) {
    Json one{{"file", segment.path.string()}, {"batches", verdict.batches}, {"events", verdict.events},
        {"took_s", verdict.took_s}, {"spans_s", verdict.spans_s}, {"same", !verdict.difference},
        {"behind_a_gap", segment.batches.size() - segment.whole()}};
    for (const auto& damage : segment.damage) one["damage"].push_back(json_of(damage));
    if (verdict.difference) {
        const auto name_of = capture::names_of(segment);
        one["difference"] = {{"batch", verdict.difference->number},
            {"wall_ms", capture::wall_of(*segment.head, verdict.difference->at)},
            {"then", words(verdict.difference->then, name_of)},
            {"now", words(verdict.difference->now, name_of)}, {"failed", verdict.difference->failed}};
    }
    return one;
}

int tell_story(const std::vector<fs::path>& files, const std::string& why, bool json) {
    Json all = Json::array();
    bool known = false;
    for (const fs::path& file : files) {
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

}  // namespace

int list_captures(const std::string& folder, bool json) try {
    Json all = Json::array();
    for (const fs::path& file : segments_at(folder)) {
        const auto head = capture::read_head(file);
        const auto bytes = static_cast<std::uint64_t>(fs::file_size(file));
        if (json) {
            Json one{{"file", file.string()}, {"bytes", bytes}, {"readable", head.has_value()}};
            if (head)
                one.update({{"wall_ms", head->wall_ms}, {"first_batch", head->first}, {"why", head->why},
                    {"process", head->process}, {"program", head->program}});
            all.push_back(std::move(one));
        } else if (head) {
            std::cout << file.filename().string() << "  " << time_text(head->wall_ms) << "  from batch "
                      << head->first << ", " << bytes << " bytes, process " << head->process << ": "
                      << head->why << '\n';
        } else {
            std::cout << file.filename().string() << "  its head cannot be read\n";
        }
    }
    if (json) std::cout << all.dump(2) << '\n';
    return kWell;
} catch (const std::exception& bad) {
    std::cerr << "lockgw: " << bad.what() << '\n';
    return kWrong;
}

int replay_capture(const ReplayWish& wish) try {
    const auto files = segments_at(wish.path);
    if (files.empty()) throw std::runtime_error(wish.path + ": there is no segment (*.lcap)");
    if (!wish.why.empty()) return tell_story(files, wish.why, wish.json);
    const auto change = change_of(wish.sets);
    Json all = Json::array();
    bool same = true;
    for (const fs::path& file : files) {
        const Segment segment = capture::read_segment(file);
        const Verdict verdict = replayed(segment, change, wish.json);
        same = same && !verdict.difference;
        if (wish.json) {
            all.push_back(json_of(segment, verdict));
            continue;
        }
        std::cout << file.filename().string() << ": " << verdict.batches << " batches, " << verdict.events
                  << " events, " << verdict.spans_s << " s in " << verdict.took_s
                  << " s: " << (verdict.difference ? "a difference" : "the same decisions") << '\n';
        tell_damage(segment);
        if (verdict.difference) tell_difference(segment, *verdict.difference);
    }
    if (wish.json) std::cout << all.dump(2) << '\n';
    return same ? kWell : kWrong;
} catch (const std::invalid_argument& wrong) {
    std::cerr << "lockgw: " << wrong.what() << '\n';
    return kUsage;
} catch (const std::exception& bad) {
    std::cerr << "lockgw: " << bad.what() << '\n';
    return kWrong;
}

}  // namespace lockgw::program
