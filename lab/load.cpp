#include "lab/load.hpp"

#include <algorithm>

namespace lockgw::lab {

namespace {

constexpr std::size_t kWindow = 10;  // seconds
constexpr double kDue = 100;         // calls at a target for which none is idle by chance

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

}  // namespace lockgw::lab
