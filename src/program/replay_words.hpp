/// What the commands on captures share: which files, which moments, which words.
#pragma once

#include <filesystem>
#include <functional>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

#include "capture/change.hpp"
#include "capture/story.hpp"
#include "program/commands.hpp"

namespace lockgw::program {

/// Segments of a folder in their order, or the one file.
std::vector<std::filesystem::path> segments_at(const std::string& path);
/// All of them, those that follow one another as one. Throws std::runtime_error where there is none.
std::vector<capture::Segment> runs_at(const std::string& path);

/// UTC, with milliseconds.
std::string time_text(std::int64_t wall_ms);
/// "2026-12-01 16:08:43.5", or the time of the day alone, on the day of `near`. Throws std::invalid_argument.
std::int64_t wall_ms_of(const std::string& text, std::int64_t near);

/// "slots=16", several, as a change to the settings; throws std::invalid_argument for what is none. Empty
/// for none.
std::function<void(cometspoke::Settings&)> settings_change(const std::vector<std::string>& sets);

std::vector<std::string> words(
    const std::vector<cometspoke::Action>& actions, const capture::NameOf& name_of);
void tell_difference(const capture::Segment& segment, const capture::Difference& difference);

/// Runs `use`; what it throws is told, with its exit code.
template <class Use>
int told_wrong(Use use) try {
    return use();
} catch (const std::invalid_argument& wrong) {
    std::cerr << "lockgw: " << wrong.what() << '\n';
    return kUsage;
} catch (const std::exception& bad) {
    std::cerr << "lockgw: " << bad.what() << '\n';
    return kWrong;
}

/// Shown to a person at a terminal, else empty.
std::function<void(std::size_t, std::size_t)> progress_of(bool json, const char* what);

}  // namespace lockgw::program
