/// What is wrong with a file, each with its place: all of it is listed, not the first alone.
///
/// One line each, for people and editors: `file:line:column: rule-name: what, and what to write instead`. The
/// rule names are stable; docs/operators/configuration.md lists them. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lockgw::config {

/// 1-based; 0 where it stands for the file as a whole.
struct Place {
    std::uint32_t line = 0, column = 0;
    friend auto operator<=>(const Place&, const Place&) = default;
};

struct Problem {
    std::string file;
    Place place;
    std::string rule, text;
};

class Problems {
public:
    static constexpr std::size_t kMost = 200;  ///< kept; further ones are only counted

    explicit Problems(std::string file) : file_(std::move(file)) {}

    void add(Place place, std::string rule, std::string text);
    bool empty() const { return all_.empty(); }
    std::size_t count() const { return all_.size() + beyond_; }
    /// By their places.
    std::vector<Problem> sorted() const;
    /// One line each, with a last one where some were only counted.
    std::string text() const;
    const std::string& file() const { return file_; }

private:
    std::string file_;
    std::vector<Problem> all_;
    std::size_t beyond_ = 0;
};

std::string text_of(const Problem& problem);

}  // namespace lockgw::config
