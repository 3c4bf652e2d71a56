/// `lockgw capture list`, `cut` and `minimise`: files of captures.
#include <filesystem>
#include <iostream>

#include "capture/minimise.hpp"
#include "capture/part.hpp"
#include "program/commands.hpp"
#include "program/replay_words.hpp"

namespace lockgw::program {

namespace fs = std::filesystem;
using capture::Segment;

namespace {

capture::Part part_of(const Segment& segment, const CutWish& wish) {
    if (!wish.about.empty()) {
        const auto subject = capture::subject_of(segment, wish.about);
        return subject ? capture::part_about(segment, *subject) : capture::Part{};
    }
    const std::int64_t near = segment.head->wall_ms;
    return capture::part_between(segment, wish.from.empty() ? INT64_MIN : wall_ms_of(wish.from, near),
        wish.to.empty() ? INT64_MAX : wall_ms_of(wish.to, near));
}

void tell_written(const Segment& segment, const std::string& path) {
    const auto& batches = segment.batches;
    std::cout << path << ": " << batches.size() << " batches, "
              << time_text(capture::wall_of(*segment.head, batches.front().decided)) << " to "
              << time_text(capture::wall_of(*segment.head, batches.back().decided)) << ", "
              << fs::file_size(path) << " bytes\n";
}

}  // namespace

int cut_capture(const CutWish& wish) {
    return told_wrong([&] {
        if (wish.about.empty() && wish.from.empty() && wish.to.empty())
            throw std::invalid_argument("say which part: --from, --to or --about");
        std::optional<Segment> out;
        for (const Segment& run : runs_at(wish.path)) {
            const capture::Part part = part_of(run, wish);
            if (part.empty()) continue;
            if (out) {
                std::cerr << "lockgw: it goes on behind a gap or a restart, from "
                          << time_text(run.head->wall_ms) << " on; that part is not in the file\n";
                break;
            }
            out = capture::cut(run, part);
        }
        if (!out) throw std::runtime_error("nothing in the capture is in that part");
        if (wish.hide_names) capture::hide_names(*out);
        capture::write_segment(*out, wish.out);
        tell_written(*out, wish.out);
        return kWell;
    });
}

int minimise_capture(const MinimiseWish& wish) {
    return told_wrong([&] {
        if (wish.decision.empty()) throw std::invalid_argument("--decision: write words of it");
        const auto changes = settings_change(wish.sets);
        for (const Segment& run : runs_at(wish.path)) {
            const auto decision = capture::chosen(run, wish.decision);
            if (!decision) continue;
            std::vector<cometspoke::Action> also;
            for (const std::string& words : wish.also) {
                const auto met = capture::chosen(run, words);
                if (!met || met->place > decision->place)
                    throw std::runtime_error("nothing before it reads \"" + words + '"');
                also.push_back(met->action);
            }
            const auto progress = progress_of(false, "events left");
            const capture::Minimal least = capture::minimal(
                run, *decision, wish.trials, also, changes, [&](std::size_t trials, std::size_t left) {
                    if (progress && trials % 50 == 0) progress(trials, left);
                });
            if (progress) std::cerr << '\n';
            capture::write_segment(least.segment, wish.out);
            tell_written(least.segment, wish.out);
            std::cout << least.events << " of " << least.events_before << " events, "
                      << (least.knows_nothing ? "from a module that knows nothing"
                                              : "from what was known right before")
                      << "; " << least.trials << " trials\n";
            return kWell;
        }
        throw std::runtime_error("nothing that was decided reads \"" + wish.decision +
                                 "\"; write words of a line of --why, such as: gave 9b1f03aa5c7e2d41 up");
    });
}

int list_captures(const std::string& folder, bool json) try {
    Json all = Json::array();
    for (const fs::path& file : segments_at(folder)) {
        const auto head = capture::read_head(file);
        const auto bytes = static_cast<std::uint64_t>(fs::file_size(file));
        if (json) {
            Json one{{"file", file.string()}, {"bytes", bytes}, {"readable", head.has_value()}};
            if (head)
                one.update({{"wall_ms", head->wall_ms}, {"first_batch", head->first}, {"why", head->why},
                    {"process", head->process}, {"program", head->program}});
            all.push_back(std::move(one));
        } else if (head) {
            std::cout << file.filename().string() << "  " << time_text(head->wall_ms) << "  from batch "
                      << head->first << ", " << bytes << " bytes, process " << head->process << ": "
                      << head->why << '\n';
        } else {
            std::cout << file.filename().string() << "  its head cannot be read\n";
        }
    }
    if (json) std::cout << all.dump(2) << '\n';
    return kWell;
} catch (const std::exception& bad) {
    std::cerr << "lockgw: " << bad.what() << '\n';
    return kWrong;
}

}  // namespace lockgw::program
