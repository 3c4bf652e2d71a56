#include "program/replay_words.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <stdexcept>

#include "capture/part.hpp"

namespace lockgw::program {

using capture::Difference;
using capture::Segment;
namespace fs = std::filesystem;

namespace {

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

}  // namespace

std::string time_text(std::int64_t wall_ms) {
    const std::time_t seconds = wall_ms / 1000;
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    char text[48];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S", &utc);
    std::snprintf(text + length, sizeof text - length, ".%03d", static_cast<int>(wall_ms % 1000));
    return text;
}

std::int64_t wall_ms_of(const std::string& text, std::int64_t near) {
    std::tm utc{};
    const std::time_t day = near / 1000;
    gmtime_r(&day, &utc);
    double seconds = 0;
    int year = 0, month = 0, date = 0, used = 0;
    const char* from = text.c_str();
    if (std::sscanf(from, "%d-%d-%d %n", &year, &month, &date, &used) == 3)
        utc.tm_year = year - 1900, utc.tm_mon = month - 1, utc.tm_mday = date, from += used;
    used = 0;
    if (std::sscanf(from, "%d:%d:%lf%n", &utc.tm_hour, &utc.tm_min, &seconds, &used) != 3 ||
        from[used] != '\0' || seconds < 0 || seconds >= 61)
        throw std::invalid_argument(
            "\"" + text + "\" is no moment: write 2026-12-01 16:08:43.5 or 16:08:43.5, in UTC");
    utc.tm_sec = 0;
    return static_cast<std::int64_t>(timegm(&utc)) * 1000 + static_cast<std::int64_t>(seconds * 1000 + 0.5);
}

std::vector<fs::path> segments_at(const std::string& path) {
    if (!fs::is_directory(path)) return {path};
    std::vector<fs::path> all;
    for (const auto& entry : fs::directory_iterator(path))
        if (entry.path().extension() == ".lcap") all.push_back(entry.path());
    std::sort(all.begin(), all.end());
    return all;
}

std::vector<Segment> runs_at(const std::string& path) {
    std::vector<Segment> all;
    for (const fs::path& file : segments_at(path)) all.push_back(capture::read_segment(file));
    all = capture::joined(std::move(all));
    if (all.empty()) throw std::runtime_error(path + ": there is no segment (*.lcap) that can be read");
    return all;
}

std::function<void(cometspoke::Settings&)> settings_change(const std::vector<std::string>& sets) {
    if (sets.empty()) return {};
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

std::function<void(std::size_t, std::size_t)> progress_of(bool json, const char* what) {
    if (json || isatty(STDERR_FILENO) == 0) return {};
    return [what](std::size_t done, std::size_t of) {
        std::cerr << "\r" << done << " of " << of << ' ' << what << std::flush;
    };
}

}  // namespace lockgw::program
