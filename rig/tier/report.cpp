#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>

#include "rig/tier/tier.hpp"

namespace lockgw::rig::tier {

namespace {

constexpr int kCell = 8, kMargin = 60, kTitle = 30;  // of a picture, in its units

double share(std::size_t part, std::size_t whole) {
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

std::string returned_line(const Returning& one) {
    char line[400];
    std::snprintf(line, sizeof line,
        "%-24s full service %.1f s after the start; refused in 5 s %.1f%% (%.1f%% before); most in 100 ms: "
        "connects "
        "%u (%u), calls %u (%u), lists %u (%u), notes %u (%u); until then late %zu, lost %zu\n",
        "", one.full_s, 100 * one.refused, 100 * one.refused_steady, one.connects, one.connects_steady,
        one.calls, one.calls_steady, one.asked_lists, one.asked_lists_steady, one.notes, one.notes_steady,
        one.late, one.lost);
    return line;
}

std::string worked_line(const Working& one) {
    char line[300];
    std::snprintf(line, sizeof line,
        "%-24s work: %zu done in %.1f s; out at a time %zu of %zu, with the lost %zu; went though it might "
        "not: "
        "%zu\n",
        "", one.done, one.took_s, one.most_out, one.allowed, one.most_gone, one.broken);
    return line + (one.odd.empty() ? std::string() : "one ended with " + one.odd + '\n');
}

}  // namespace

std::string table_of(const std::vector<Result>& results) {
    std::ostringstream out;
    out << "most, least: a target's calls in its worst 10 s, in fair parts (as an order by chance lays the "
           "same "
           "calls); 1 s: variance over mean\n";
    char line[320];
    std::snprintf(line, sizeof line, "%-24s %8s %7s %7s %7s %13s %13s %5s %11s %7s %7s %8s %6s\n", "run",
        "messages", "in time", "refused", "p99 ms", "most", "least", "idle", "1 s", "conn/m", "note B/m",
        "CPU us/m", "back s");
    out << line;
    for (const Result& one : results) {
        const auto per = [&](double what) {
            return one.messages == 0 ? 0 : what / static_cast<double>(one.messages);
        };
        std::snprintf(line, sizeof line,
            "%-24s %8zu %6.1f%% %6.1f%% %7.0f %5.2f (%5.2f) %5.2f (%5.2f) %5zu %4.2f (%4.2f) %7.3f %8.1f "
            "%8.0f %6.1f\n",
            one.name.c_str(), one.messages, share(one.in_time, one.messages), share(one.refused, one.calls),
            one.p99_ms, one.seen.most, one.chance.most, one.seen.least, one.chance.least, one.seen.idle,
            one.seen.dispersion, one.chance.dispersion, per(static_cast<double>(one.connections)),
            per(static_cast<double>(one.note_bytes)), one.cpu_us_a_message, one.back_s);
        out << line;
        if (one.returned.asked) out << returned_line(one.returned);
        if (one.worked.asked) out << worked_line(one.worked);
        if (one.watched.deaths == 0 && one.watched.settled_s == 0) continue;
        std::snprintf(line, sizeof line,
            "%-24s deaths %zu, seen by all after %.2f s at most, unseen %zu, false %zu, settled %.1f s after "
            "the "
            "last fault\n",
            "", one.watched.deaths, one.watched.seen_by_all_s, one.watched.unseen, one.watched.false_gone,
            one.watched.settled_s);
        out << line;
    }
    return out.str();
}

namespace {

/// In time (blue) and refused calls as a share of all (red), by second.
std::string curves_of(const Result& one) {
    constexpr int kHigh = 120, kWide = 16;
    std::ostringstream out;
    const auto seconds = static_cast<int>(one.timely.size());
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << seconds * kWide + 40 << "\" height=\""
        << kHigh + 20 << "\"><rect x=\"30\" y=\"5\" width=\"" << seconds * kWide << "\" height=\"" << kHigh
        << "\" fill=\"none\" stroke=\"grey\"/><text x=\"0\" y=\"15\" font-size=\"10\">100%</text>";
    const auto line = [&](const char* colour, auto share) {
        out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour << "\" points=\"";
        for (int s = 0; s < seconds; ++s)
            if (const double part = share(static_cast<std::size_t>(s)); part >= 0)
                out << 30 + s * kWide + kWide / 2 << ',' << 5 + static_cast<int>((1 - part) * kHigh) << ' ';
        out << "\"/>";
    };
    line("steelblue", [&](std::size_t s) { return one.timely[s]; });
    line("firebrick", [&](std::size_t s) {
        double calls = 0;
        for (const auto& target : one.load) calls += target[s];
        return calls > 0 ? one.refused_by_second[s] / calls : -1;
    });
    out << "</svg>";
    return out.str();
}

}  // namespace

std::string csv_of(const std::vector<Result>& results) {
    std::ostringstream out;
    out << "run,program,seed,target,second,calls\n";
    for (const Result& one : results)
        for (std::size_t target = 0; target < one.load.size(); ++target)
            for (std::size_t second = 0; second < one.load[target].size(); ++second)
                out << one.name << ',' << one.program << ',' << one.seed << ',' << target << ',' << second
                    << ',' << one.load[target][second] << '\n';
    return out.str();
}

std::string json_of(const std::vector<Result>& results) {
    using Json = nlohmann::json;
    const auto load = [](const Load& one) {
        return Json{
            {"most", one.most}, {"least", one.least}, {"dispersion", one.dispersion}, {"idle", one.idle}};
    };
    Json all = Json::array();
    for (const Result& one : results)
        all.push_back({{"run", one.name}, {"program", one.program}, {"seed", one.seed},
            {"messages", one.messages}, {"in_time", one.in_time}, {"delivered", one.delivered},
            {"doubled", one.doubled}, {"calls", one.calls}, {"refused", one.refused},
            {"connections", one.connections}, {"notes", one.notes}, {"note_bytes", one.note_bytes},
            {"dead", one.dead}, {"bounced", one.bounced}, {"p50_ms", one.p50_ms}, {"p99_ms", one.p99_ms},
            {"cpu_us_a_message", one.cpu_us_a_message}, {"back_s", one.back_s}, {"crashed", one.crashed},
            {"out_by_second", one.worked.out_by_second}, {"work_done", one.worked.done},
            {"work_took_s", one.worked.took_s}, {"work_most_out", one.worked.most_out},
            {"work_broken", one.worked.broken}, {"reset_above_limit", one.reset_above_limit},
            {"peak_connects", one.peak_connects}, {"peak_notes", one.peak_notes},
            {"peak_asked", one.peak_asked}, {"timely", one.timely},
            {"watched", {{"deaths", one.watched.deaths}, {"seen_by_all_s", one.watched.seen_by_all_s},
                            {"unseen", one.watched.unseen}, {"false_gone", one.watched.false_gone},
                            {"settled_s", one.watched.settled_s}}},
            {"returned",
                {{"started_s", one.returned.started_s}, {"full_s", one.returned.full_s},
                    {"refused", one.returned.refused}, {"refused_steady", one.returned.refused_steady},
                    {"connects", one.returned.connects}, {"connects_steady", one.returned.connects_steady},
                    {"calls", one.returned.calls}, {"calls_steady", one.returned.calls_steady},
                    {"lists", one.returned.asked_lists}, {"lists_steady", one.returned.asked_lists_steady},
                    {"notes", one.returned.notes}, {"notes_steady", one.returned.notes_steady},
                    {"late", one.returned.late}, {"lost", one.returned.lost}}},
            {"refused_by_second", one.refused_by_second}, {"latency", one.latency}, {"seen", load(one.seen)},
            {"chance", load(one.chance)}, {"load", one.load}});
    return all.dump(1);
}

std::string svg_of(const std::vector<Result>& results) {
    std::ostringstream out;
    int width = 0, height = 0;
    for (const Result& one : results) {
        const int seconds = one.load.empty() ? 0 : static_cast<int>(one.load.front().size());
        width = std::max(width, seconds * kCell + 2 * kMargin);
        height += static_cast<int>(one.load.size()) * kCell + 2 * kTitle;
    }
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << std::max(width, 640) << "\" height=\""
        << height + kTitle
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n<text x=\"4\" y=\"18\">calls by target (rows) "
           "and "
           "second: white none, grey a fair part, red three and more</text>\n";
    int top = kTitle;
    for (const Result& one : results) {
        out << "<text x=\"" << kMargin << "\" y=\"" << top + 18 << "\">" << one.name << ", seed " << one.seed
            << ": most " << one.seen.most << ", least " << one.seen.least << "</text>\n";
        top += kTitle;
        for (std::size_t second = 0; !one.load.empty() && second < one.load.front().size(); ++second) {
            double all = 0;
            for (const auto& target : one.load) all += target[second];
            const double fair = std::max(1e-9, all / static_cast<double>(one.load.size()));
            for (std::size_t target = 0; target < one.load.size(); ++target) {
                const double part = one.load[target][second] / fair;
                if (part <= 0) continue;
                const int grey = 255 - static_cast<int>(std::min(part, 1.0) * 110);
                const int off = part > 1 ? static_cast<int>(std::min((part - 1) / 2, 1.0) * 145) : 0;
                out << "<rect x=\"" << kMargin + static_cast<int>(second) * kCell << "\" y=\""
                    << top + static_cast<int>(target) * kCell << "\" width=\"" << kCell << "\" height=\""
                    << kCell << "\" fill=\"rgb(" << std::min(255, grey + off) << ',' << grey - off << ','
                    << grey - off << ")\"/>\n";
            }
        }
        top += static_cast<int>(one.load.size()) * kCell + kTitle;
    }
    out << "</svg>\n";
    return out.str();
}

std::string html_of(const std::vector<Result>& results) {
    std::ostringstream out;
    out << "<!doctype html>\n<meta charset=\"utf-8\"><title>lockgw-tier</title>\n<h1>lockgw-tier</h1>\n<pre>"
        << table_of(results) << "</pre>\n";
    for (const Result& one : results)
        out << "<h2>" << one.name << ", seed " << one.seed
            << "</h2>\n<p>In time (blue) and refused calls (red) by second; most in 100 ms: "
            << one.peak_connects << " connections, " << one.peak_notes << " notes, " << one.peak_asked
            << " questions for lists; " << one.reset_above_limit << " connections above a target's cap.</p>\n"
            << curves_of(one) << "\n";
    out << "<h2>Calls by target and second</h2>\n" << svg_of(results);
    return out.str();
}

}  // namespace lockgw::rig::tier
