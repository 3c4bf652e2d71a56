#include "rig/tier/returning.hpp"

#include <algorithm>
#include <cmath>

namespace lockgw::rig::tier {
namespace {

constexpr double kWindow_s = 0.5, kFirst_s = 5.0, kService = 0.95;
constexpr std::size_t kInARow = 3;

}  // namespace

std::uint32_t most(const Slots& slots, double from_s, double to_s) {
    const auto at = [&](double s) {
        return std::min(slots.size(), static_cast<std::size_t>(std::max(0.0, s) * 10));
    };
    const auto from = at(from_s), to = at(to_s);
    return from >= to ? 0
                      : *std::max_element(
                            slots.begin() + static_cast<long>(from), slots.begin() + static_cast<long>(to));
}

Returning returning(const Counted& of) {
    Returning result;
    result.asked = true, result.started_s = of.started_s;
    const double until = of.started_s + kFirst_s;
    const auto peaks = [&](const Slots& slots, std::uint32_t& here, std::uint32_t& steady) {
        here = most(slots, of.started_s, until), steady = most(slots, of.warm_s, of.first_fault_s);
    };
    peaks(of.connects, result.connects, result.connects_steady);
    peaks(of.notes, result.notes, result.notes_steady);
    peaks(of.asked, result.asked_lists, result.asked_lists_steady);

    Slots calls;
    std::size_t all = 0, refused = 0, all_steady = 0, refused_steady = 0;
    for (const auto& call : of.calls) {
        if (call.at_s < 0) continue;
        const auto slot = static_cast<std::size_t>(call.at_s * 10);
        if (slot >= calls.size()) calls.resize(slot + 1);
        ++calls[slot];
        if (call.at_s >= of.started_s && call.at_s < until) ++all, refused += call.refused;
        if (call.at_s >= of.warm_s && call.at_s < of.first_fault_s)
            ++all_steady, refused_steady += call.refused;
    }
    peaks(calls, result.calls, result.calls_steady);
    const auto share = [](std::size_t part, std::size_t whole) {
        return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
    };
    result.refused = share(refused, all), result.refused_steady = share(refused_steady, all_steady);

    struct Window {
        std::size_t come = 0, timely = 0;
    };
    std::vector<Window> windows;  // from the start on
    Window steady;
    for (const Job& job : of.jobs) {
        const bool timely = job.delivered_s >= 0 && job.delivered_s - job.begun_s <= of.in_time_s;
        if (job.begun_s >= of.warm_s && job.begun_s < of.first_fault_s - of.in_time_s)
            ++steady.come, steady.timely += timely;
        if (job.begun_s < of.started_s) continue;
        const auto at = static_cast<std::size_t>((job.begun_s - of.started_s) / kWindow_s);
        if (at >= windows.size()) windows.resize(at + 1);
        ++windows[at].come, windows[at].timely += timely;
    }
    const double wanted = kService * share(steady.timely, steady.come);
    std::size_t row = 0;
    for (std::size_t i = 0; i < windows.size() && result.full_s < 0; ++i) {
        row = share(windows[i].timely, windows[i].come) >= wanted ? row + 1 : 0;
        if (row == kInARow) result.full_s = static_cast<double>(i + 1 - row) * kWindow_s;
    }
    const double to = result.full_s < 0 ? HUGE_VAL : of.started_s + result.full_s;
    for (const Job& job : of.jobs) {
        if (job.begun_s < of.first_fault_s || job.begun_s >= to) continue;
        result.lost += job.delivered_s < 0;
        result.late += job.delivered_s >= 0 && job.delivered_s - job.begun_s > of.in_time_s;
    }
    return result;
}

}  // namespace lockgw::rig::tier
