/// `lockgw check`, `routes` and `version`: answers for people, or with --json for programs.
#include <unistd.h>

#include <iostream>

#include "program/commands.hpp"
#include "program/rows.hpp"

#ifndef LOCKGW_VERSION
#define LOCKGW_VERSION "unknown"
#endif

namespace lockgw::program {
namespace {

using config::Problems;

/// On a terminal only, and one line: long work shows where it is.
std::function<void(std::size_t, std::size_t)> progress(bool json) {
    if (json || isatty(STDERR_FILENO) == 0) return {};
    return [](std::size_t done, std::size_t of) {
        std::cerr << "\r" << done << " of " << of << " expectations" << (done == of ? "\n" : "")
                  << std::flush;
    };
}

Json json_of(const Problems& problems) {
    Json all = Json::array();
    for (const auto& problem : problems.sorted())
        all.push_back({{"file", problem.file}, {"line", problem.place.line}, {"column", problem.place.column},
            {"rule", problem.rule}, {"text", problem.text}});
    return all;
}

/// Tells what is wrong; none where anything is.
std::optional<Loaded> loaded_or_told(const Sources& sources, bool json) {
    Problems problems(sources.operator_file);
    Sources only = sources;
    only.only_checked = true;
    auto loaded = load(only, problems, progress(json));
    if (loaded) return loaded;
    if (json)
        std::cout << Json{{"ok", false}, {"count", problems.count()}, {"problems", json_of(problems)}}.dump(2)
                  << '\n';
    else
        std::cerr << problems.text();
    return std::nullopt;
}

}  // namespace

int check_file(const Sources& sources, bool json) {
    const auto loaded = loaded_or_told(sources, json);
    if (!loaded) return kWrong;
    const auto& file = loaded->file;
    if (json)
        std::cout << Json{{"ok", true}, {"destinations", file.destinations.size()},
                         {"routes", file.routes.size()}, {"expectations", file.expects.size()}}
                         .dump(2)
                  << '\n';
    else
        std::cout << sources.operator_file << ": well; " << file.destinations.size() << " destinations, "
                  << file.routes.size() << " routes, " << file.expects.size() << " expectations kept\n";
    return kWell;
}

int compare_files(const Sources& sources, const std::string& newer, bool json) {
    const auto before = loaded_or_told(sources, json);
    if (!before) return kWrong;
    Sources others = sources;
    others.operator_file = newer;
    const auto after = loaded_or_told(others, json);
    if (!after) return kWrong;
    const auto found = routes::compare_routing(before->scene(), after->scene());
    if (json) {
        Json changes = Json::array();
        for (const auto& one : found.changes)
            changes.push_back({{"class", one.message_class}, {"tenant", one.tenant},
                {"destination", one.destination}, {"before", one.before}, {"after", one.after}});
        std::cout << Json{{"ok", found.broken_expectations.empty() && found.dropped_expectations.empty()},
                         {"changes", changes}, {"more_changes", found.omitted_changes},
                         {"broken", found.broken_expectations}, {"dropped", found.dropped_expectations},
                         {"gone", found.removed_destinations}, {"come", found.added_destinations}}
                         .dump(2)
                  << '\n';
    } else {
        for (const std::string& name : found.removed_destinations)
            std::cout << "gone: destination " << name << '\n';
        for (const std::string& name : found.added_destinations)
            std::cout << "new: destination " << name << '\n';
        for (const auto& one : found.changes)
            std::cout << "changed: " << one.message_class << (one.tenant.empty() ? "" : " of " + one.tenant)
                      << " for " << one.destination << ": " << one.before << " -> " << one.after << '\n';
        if (found.omitted_changes > 0) std::cout << "and " << found.omitted_changes << " changes more\n";
        for (const std::string& text : found.broken_expectations) std::cout << "broken: " << text << '\n';
        for (const std::string& name : found.dropped_expectations)
            std::cout << "dropped: expectation \"" << name << "\" is not in the new file\n";
        if (found.removed_destinations.empty() && found.added_destinations.empty() && found.changes.empty() &&
            found.broken_expectations.empty() && found.dropped_expectations.empty())
            std::cout << "no route changes\n";
    }
    return found.broken_expectations.empty() && found.dropped_expectations.empty() ? kWell : kWrong;
}

int print_routes(const Sources& sources, bool json) {
    const auto loaded = loaded_or_told(sources, json);
    if (!loaded) return kWrong;
    const auto rows = routes::routing_rows(loaded->scene());
    if (json)
        std::cout << json_of(rows).dump(2) << '\n';
    else
        print(std::cout, rows);
    return kWell;
}

int print_version() {
    std::cout << "lockgw " << LOCKGW_VERSION << '\n';
    return kWell;
}

}  // namespace lockgw::program
