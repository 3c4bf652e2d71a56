#include "config/toml_reader.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <stdexcept>

namespace lockgw::config {
namespace {

std::string list_of(const std::vector<std::string>& words) {
    std::string all;
    for (const std::string& word : words) all += (all.empty() ? "\"" : ", \"") + word + '"';
    return all;
}
std::string plain(double value) {
    std::ostringstream out;
    out.precision(12);
    out << value;
    return out.str();
}
const char* kind_of(const toml::node& node) {
    switch (node.type()) {
        case toml::node_type::table:
            return "a table";
        case toml::node_type::array:
            return "an array";
        case toml::node_type::string:
            return "a text";
        case toml::node_type::integer:
            return "a whole number";
        case toml::node_type::floating_point:
            return "a number";
        case toml::node_type::boolean:
            return "true or false";
        default:
            return "a date or time";
    }
}
/// Letters that differ, are missing or too many: to tell what was meant.
std::size_t distance(std::string_view a, std::string_view b) {
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t before = std::exchange(row[0], i);
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t same = before + (a[i - 1] == b[j - 1] ? 0 : 1);
            before = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, same});
        }
    }
    return row.back();
}

}  // namespace

void not_understood() {
    throw std::runtime_error("the file is not understood: it may hold bytes that are no text");
}

Place place_of(const toml::node& node) { return {node.source().begin.line, node.source().begin.column}; }

void TableReader::problem(Place place, std::string rule, std::string text) {
    problems_.add(place, std::move(rule), what_ + ": " + std::move(text));
}

Place TableReader::place(const char* key) const {
    const toml::node* node = table_.get(key);
    return node == nullptr ? place() : place_of(*node);
}

const toml::node* TableReader::get(std::string_view key) {
    asked_.push_back(key);
    return table_.get(key);
}

void TableReader::wrong_type(const toml::node& node, const char* key, const char* wanted) {
    problem(place_of(node), "wrong-type", std::string(key) + " is " + kind_of(node) + "; write " + wanted);
}

std::optional<Word> TableReader::word(const char* key) {
    const toml::node* node = get(key);
    if (node == nullptr) return std::nullopt;
    if (const auto* text = node->as_string()) {
        constexpr std::size_t kLongest = 1024;
        if (text->get().size() <= kLongest && !text->get().empty()) return Word{text->get(), place_of(*node)};
        problem(place_of(*node), "out-of-range", std::string(key) + " is empty or longer than 1,024 bytes");
        return std::nullopt;
    }
    wrong_type(*node, key, "a text in quotes");
    return std::nullopt;
}
Word TableReader::needed_word(const char* key) {
    if (!table_.contains(key)) {
        asked_.push_back(key);
        problem(place(), "missing-key", std::string("there is no ") + key + "; write " + key + " = \"...\"");
        return {"", place()};
    }
    return word(key).value_or(Word{"", place(key)});
}
std::string TableReader::text(const char* key, std::string fallback) {
    const auto found = word(key);
    return found ? found->text : fallback;
}

std::optional<std::int64_t> TableReader::integer(const char* key, std::int64_t least, std::int64_t most) {
    const toml::node* node = get(key);
    if (node == nullptr) return std::nullopt;
    const auto* value = node->as_integer();
    if (value == nullptr) return wrong_type(*node, key, "a whole number"), std::nullopt;
    if (value->get() >= least && value->get() <= most) return value->get();
    problem(place_of(*node), "out-of-range",
        std::string(key) + " = " + std::to_string(value->get()) + "; write " + std::to_string(least) +
            " to " + std::to_string(most));
    return std::nullopt;
}
std::optional<double> TableReader::number(const char* key, double least, double most) {
    const toml::node* node = get(key);
    if (node == nullptr) return std::nullopt;
    const auto value = node->value<double>();
    if (!value || !node->is_number()) return wrong_type(*node, key, "a number"), std::nullopt;
    if (*value >= least && *value <= most) return *value;  // not where it is no number (nan)
    problem(place_of(*node), "out-of-range",
        std::string(key) + " = " + plain(*value) + "; write " + plain(least) + " to " + plain(most));
    return std::nullopt;
}
std::optional<bool> TableReader::boolean(const char* key) {
    const toml::node* node = get(key);
    if (node == nullptr) return std::nullopt;
    if (const auto* value = node->as_boolean()) return value->get();
    return wrong_type(*node, key, "true or false"), std::nullopt;
}

std::optional<std::vector<Word>> TableReader::words(const char* key) {
    const toml::node* node = get(key);
    if (node == nullptr) return std::nullopt;
    if (const auto* text = node->as_string()) return std::vector<Word>{{text->get(), place_of(*node)}};
    const auto* array = node->as_array();
    if (array == nullptr) return wrong_type(*node, key, "a text or an array of texts"), std::nullopt;
    std::vector<Word> all;
    std::set<std::string> seen;
    for (const toml::node& one : *array) {
        const auto* text = one.as_string();
        if (text == nullptr) {
            wrong_type(one, key, "an array of texts only");
        } else if (!seen.insert(text->get()).second) {
            problem(place_of(one), "duplicate-name", '"' + text->get() + "\" stands twice in " + key);
        } else {
            all.push_back({text->get(), place_of(one)});
        }
    }
    return all;
}

std::optional<Word> TableReader::one_of(const char* key, const std::vector<std::string>& allowed) {
    const auto found = word(key);
    if (!found || std::find(allowed.begin(), allowed.end(), found->text) != allowed.end()) return found;
    problem(found->place, "unknown-word",
        std::string(key) + " = \"" + found->text + "\"; write one of " + list_of(allowed));
    return std::nullopt;
}

void TableReader::table(const char* key, const std::function<void(TableReader&)>& read) {
    const toml::node* node = get(key);
    if (node == nullptr) return;
    const auto* found = node->as_table();
    if (found == nullptr) return wrong_type(*node, key, "a table");
    TableReader reader(*found, std::string("[") + key + "]", problems_);
    read(reader);
    reader.finish();
}
void TableReader::tables(const char* key, const std::function<void(TableReader&)>& read) {
    const toml::node* node = get(key);
    if (node == nullptr) return;
    const auto* array = node->as_array();
    if (array == nullptr) return wrong_type(*node, key, "[[...]], a table in an array");
    for (const toml::node& one : *array) {
        const auto* found = one.as_table();
        if (found == nullptr) {
            wrong_type(one, key, "a table");
            continue;
        }
        TableReader reader(*found, std::string("[[") + key + "]]", problems_);
        read(reader);
        reader.finish();
    }
}

void TableReader::finish() {
    for (const auto& [key, node] : table_) {
        const std::string_view name = key.str();
        if (std::find(asked_.begin(), asked_.end(), name) != asked_.end()) continue;
        std::string_view nearest;
        for (const std::string_view known : asked_)
            if (distance(name, known) <= 2 &&
                (nearest.empty() || distance(name, known) < distance(name, nearest)))
                nearest = known;
        const auto& begin = key.source().begin;
        problem({begin.line, begin.column}, "unknown-key",
            "there is no key " + std::string(name) +
                (nearest.empty() ? "; take it out, or look it up in the manual"
                                 : "; did you mean " + std::string(nearest) + "?"));
    }
}

std::optional<toml::table> parse_toml(const std::string& text, Problems& problems) {
    if (text.size() > kMostFileBytes) {
        problems.add({}, "too-large", "the file has more than 16 MiB");
        return std::nullopt;
    }
    try {
        return toml::parse(text);
    } catch (const toml::parse_error& bad) {
        const auto& begin = bad.source().begin;
        problems.add({begin.line, begin.column}, "syntax", std::string(bad.description()));
        return std::nullopt;
    } catch (const std::runtime_error& bad) {
        problems.add({}, "syntax", bad.what());
        return std::nullopt;
    }
}

}  // namespace lockgw::config
