#include "config/problems.hpp"

#include <algorithm>
#include <utility>

namespace lockgw::config {
namespace {

/// A name from the file stands in the text: it must not break the line, nor the terminal.
std::string printable(std::string text) {
    constexpr std::size_t kLongest = 400;
    if (text.size() > kLongest) text = text.substr(0, kLongest) + "...";
    for (char& letter : text)
        if (static_cast<unsigned char>(letter) < ' ' || letter == '\x7f') letter = '?';
    return text;
}

}  // namespace

void Problems::add(Place place, std::string rule, std::string text) {
    if (all_.size() >= kMost) return void(++beyond_);
    all_.push_back({file_, place, std::move(rule), printable(std::move(text))});
}

std::vector<Problem> Problems::sorted() const {
    auto all = all_;
    std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.place < b.place; });
    return all;
}

std::string Problems::text() const {
    std::string all;
    for (const Problem& problem : sorted()) all += text_of(problem) + '\n';
    if (beyond_ > 0) all += file_ + ": and " + std::to_string(beyond_) + " more\n";
    return all;
}

std::string text_of(const Problem& problem) {
    std::string text = problem.file;
    if (problem.place.line > 0)
        text += ':' + std::to_string(problem.place.line) + ':' + std::to_string(problem.place.column);
    return text + ": " + problem.rule + ": " + problem.text;
}

}  // namespace lockgw::config
