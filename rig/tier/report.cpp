#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>

#include "rig/tier/tier.hpp"

namespace lockgw::rig::tier {

namespace {

constexpr std::size_t kWindow = 10;                  // seconds
constexpr double kDue = 100;                         // calls at a target for which none is idle by chance
constexpr int kCell = 8, kMargin = 60, kTitle = 30;  // of a picture, in its units

double share(std::size_t part, std::size_t whole) {
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

Load evenness(const std::vector<std::vector<int>>& load, std::size_t from) {
    Load found;
    if (load.empty() || load.front().size() <= from) return found;
    const auto targets = static_cast<double>(load.size());
    const std::size_t seconds = load.front().size();
    found.least = targets;
    // windows end to end; a span shorter than one is a window of its own
    for (std::size_t at = from; at < seconds; at += kWindow) {
        const std::size_t end = std::min(at + kWindow, seconds);
        if (end - at < kWindow && at != from) break;
        std::vector<double> sums;
        double all = 0;
        for (const auto& one : load) {
            double sum = 0;
            for (std::size_t s = at; s < end; ++s) sum += one[s];
            sums.push_back(sum), all += sum;
        }
        if (all <= 0) continue;
        const double fair = all / targets;
        for (const double sum : sums) {
            found.most = std::max(found.most, sum / fair);
            found.least = std::min(found.least, sum / fair);
            found.idle += sum == 0 && fair >= kDue;
        }
    }
    double square = 0, mean = 0, cells = 0;
    for (std::size_t s = from; s < seconds; ++s) {
        double all = 0;
        for (const auto& one : load) all += one[s];
        for (const auto& one : load) {
            const double off = one[s] - all / targets;
            square += off * off, mean += one[s], ++cells;
        }
    }
    // against the second's own mean: one degree of freedom less than there are targets
    if (mean > 0 && targets > 1) found.dispersion = square / mean * targets / (targets - 1);
    return found;
}

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
    }
    return out.str();
}

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
            {"seen", load(one.seen)}, {"chance", load(one.chance)}, {"load", one.load}});
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

}  // namespace lockgw::rig::tier
