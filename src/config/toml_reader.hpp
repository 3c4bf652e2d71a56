/// A TOML table read strictly: a wrong type, a value out of range and a key that nobody asked for are
/// problems with their places. Reading goes on, so that all of them are found.
///
/// A reader notes the keys that it was asked for; finish() reports the others. Threads: one.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/problems.hpp"

namespace lockgw::config {
/// Throws std::runtime_error.
[[noreturn]] void not_understood();
}  // namespace lockgw::config

// One place decides how the library is built: as headers, without its own I/O.
#define TOML_HEADER_ONLY 1
// Some broken files trip the library's own assertions (its parse_key on bytes that are no text): what would
// end the process, or with NDEBUG go on regardless, is an error of that file.
#define TOML_ASSERT(expression) \
    (static_cast<bool>(expression) ? static_cast<void>(0) : ::lockgw::config::not_understood())
#define TOML_ENABLE_FORMATTERS 0
#pragma push_macro("NDEBUG")
#undef NDEBUG  // with it the library takes its assertions for granted instead
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")

namespace lockgw::config {

/// A text with the place where it stands.
struct Word {
    std::string text;
    Place place;
};

Place place_of(const toml::node& node);

class TableReader {
public:
    /// `what`: the table in words, such as "[limits]". Both arguments outlive the reader.
    TableReader(const toml::table& table, std::string what, Problems& problems)
        : table_(table), what_(std::move(what)), problems_(problems) {}

    Place place() const { return place_of(table_); }
    bool has(const char* key) const { return table_.contains(key); }
    /// Where a key's value stands; the table's place where it is absent.
    Place place(const char* key) const;

    std::optional<Word> word(const char* key);
    Word needed_word(const char* key);
    std::string text(const char* key, std::string fallback);
    std::optional<std::int64_t> integer(const char* key, std::int64_t least, std::int64_t most);
    std::optional<double> number(const char* key, double least, double most);
    std::optional<bool> boolean(const char* key);
    /// One text, or an array of them.
    std::optional<std::vector<Word>> words(const char* key);
    /// A text that must be one of these.
    std::optional<Word> one_of(const char* key, const std::vector<std::string>& allowed);
    /// Calls `read` for a table that is there.
    void table(const char* key, const std::function<void(TableReader&)>& read);
    /// Calls `read` for each table of an array of tables.
    void tables(const char* key, const std::function<void(TableReader&)>& read);

    void problem(Place place, std::string rule, std::string text);
    /// Every key that nobody asked for is one too many.
    void finish();

private:
    const toml::node* get(const char* key);
    void wrong_type(const toml::node& node, const char* key, const char* wanted);

    const toml::table& table_;
    std::string what_;
    Problems& problems_;
    std::set<std::string, std::less<>> asked_;
};

constexpr std::size_t kMostFileBytes = 16u << 20;  ///< 10,000 destinations take some 2 MB

/// Parses `text`; none where it is no TOML, with the problem noted (rule `syntax`, or `too-large`).
std::optional<toml::table> parse_toml(const std::string& text, Problems& problems);

}  // namespace lockgw::config
