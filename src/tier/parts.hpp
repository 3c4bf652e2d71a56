/// Into how many parts a limit of the whole tier is cut while it is in doubt who is there.
///
/// Where members go, their parts are free for the others; but those that are cut off from here take theirs
/// there. So the parts grow by a step at once, and to the whole only later: the sum over two halves that do
/// not hear one another is at most kAtOnce times the limit for kLong, and kMost times at any time. No I/O, no
/// clock.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "tier/note.hpp"

namespace lockgw::tier {

class Parts {
public:
    static constexpr double kAtOnce = 1.25;   ///< by so much the own part grows at once,
    static constexpr Time kLong{30'000'000};  ///< and after this
    static constexpr double kMost = 2.0;      ///< by so much, unless most of the tier is heard

    explicit Parts(std::size_t members) : members_(std::max<std::size_t>(1, members)), settled_(members_) {}

    /// `present`: those that are or may be there; `sure`: most of the tier is heard.
    std::size_t of(std::size_t present, bool sure, Time now) {
        present = std::clamp<std::size_t>(present, 1, members_);
        // who comes is counted at once: a part that is too small harms nobody
        if (present >= settled_) {
            settled_ = present, doubt_ = false;
            return settled_;
        }
        if (!doubt_) doubt_ = true, since_ = now;
        const bool late = now - since_ >= kLong;
        if (late && sure) {
            settled_ = present, doubt_ = false;
            return settled_;
        }
        const double bound = static_cast<double>(settled_) / (late ? kMost : kAtOnce);
        return std::max(present, static_cast<std::size_t>(std::ceil(bound)));
    }

private:
    std::size_t members_, settled_;
    bool doubt_ = false;
    Time since_{0};
};

}  // namespace lockgw::tier
