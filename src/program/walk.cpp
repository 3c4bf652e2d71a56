#include "program/walk.hpp"

#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

#include "program/replay_words.hpp"

namespace lockgw::program {

using capture::Segment;

namespace {

class Walker {
public:
    Walker(const Segment& run, std::ostream& out)
        : run_(run), replay_(run), name_of_(capture::names_of(run)), out_(out) {}

    /// Whether `text` is at or behind the next batch, or there is none; moments are read with its day.
    bool reached(const std::string& text) const {
        if (!replay_.more()) return true;
        const capture::Batch& next = run_.batches[replay_.place()];
        if (text.find_first_not_of("0123456789") == std::string::npos && text.size() < 19)
            return next.number >= std::strtoull(text.c_str(), nullptr, 10);
        return capture::wall_of(*run_.head, next.decided) > wall_ms_of(text, run_.head->wall_ms);
    }
    bool more() const { return replay_.more() && !differs_; }
    bool differs() const { return differs_; }

    void step(bool quiet) {
        const capture::Batch& batch = run_.batches[replay_.place()];
        now_ = batch.decided;
        const auto difference = replay_.step();
        if (difference) {
            differs_ = true;
            return tell_difference(run_, *difference);
        }
        if (quiet) return;
        out_ << "batch " << batch.number << " at " << time_text(capture::wall_of(*run_.head, batch.decided))
             << '\n';
        for (const auto& [when, event] : batch.events)
            out_ << "  told     " << capture::text_of(event, *run_.head, name_of_) << '\n';
        for (const auto& text : words(batch.actions, name_of_)) out_ << "  decided  " << text << '\n';
    }
    void on_to(const std::string& text) {
        while (more() && !reached(text)) step(true);
        if (!more() && !differs_) out_ << "the capture ends\n";
    }
    void tell_known(const std::string& about) {
        capture::Subject subject;
        if (!about.empty()) {
            const auto found = capture::subject_of(run_, about);
            if (!found) {
                out_ << "nothing in the capture is about \"" << about << "\"\n";
                return;
            }
            subject = *found;
        }
        out_ << "at " << time_text(capture::wall_of(*run_.head, now_)) << '\n';
        for (const auto& line : capture::known_then(replay_.state(), now_, name_of_, subject))
            out_ << "  " << line << '\n';
    }

private:
    const Segment& run_;
    capture::Replay replay_;
    capture::NameOf name_of_;
    std::ostream& out_;
    capture::Time now_{0};
    bool differs_ = false;
};

/// What one line says; false for the end.
bool heed(Walker& walker, const std::string& line, std::ostream& out) try {
    std::istringstream words(line);
    std::string verb, rest;
    words >> verb;
    std::getline(words >> std::ws, rest);
    if (verb == "q") return false;
    if (verb.empty() || verb == "n") {
        long count = rest.empty() ? 1 : std::strtol(rest.c_str(), nullptr, 10);
        while (count-- > 0 && walker.more()) walker.step(false);
        if (!walker.more() && !walker.differs()) out << "the capture ends\n";
    } else if (verb == "g" && !rest.empty()) {
        walker.on_to(rest);
    } else if (verb == "s") {
        walker.tell_known(rest);
    } else {
        out << "n [COUNT], g MOMENT or batch, s [ABOUT], q\n";
    }
    return !walker.differs();
} catch (const std::invalid_argument& wrong) {
    out << wrong.what() << '\n';
    return true;
}

}  // namespace

int walk(const ReplayWish& wish, std::istream& in, std::ostream& out) {
    const auto runs = runs_at(wish.path);
    std::size_t which = 0;
    // the run in which the moment is, or the last one before it
    if (!wish.until.empty())
        while (which + 1 < runs.size() && !Walker(runs[which + 1], out).reached(wish.until)) ++which;
    Walker walker(runs[which], out);
    if (!wish.until.empty()) {
        walker.on_to(wish.until);
        if (!walker.differs()) walker.tell_known(wish.why);
    }
    const bool prompt = wish.step && isatty(STDIN_FILENO) != 0;
    std::string line;
    while (wish.step && !walker.differs()) {
        if (prompt) out << "> " << std::flush;
        if (!std::getline(in, line) || !heed(walker, line, out)) break;
    }
    return walker.differs() ? kWrong : kWell;
}

}  // namespace lockgw::program
