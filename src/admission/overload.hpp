/// Whether requests wait too long before they are decided, and what those that must be turned away are told.
///
/// As in CoDel ("Controlling Queue Delay", Nichols and Jacobson, 2012) it goes by the least wait of an
/// interval: a burst that is worked off within one is none, a queue that stands is. While it stands, the
/// newest are taken first (adaptive LIFO): their clients still listen. No I/O, no clock, one thread.
#pragma once

#include <chrono>
#include <cstdint>

namespace lockgw::admission {

using Instant = std::chrono::steady_clock::time_point;
using Span = std::chrono::steady_clock::duration;

struct OverloadLimits {
    Span target = std::chrono::milliseconds(20);     ///< least wait of an interval that is one too many
    Span interval = std::chrono::milliseconds(100);  ///< over which the least wait is taken
    Span patience = std::chrono::milliseconds(400);  ///< a client's: after it nobody hears the answer
    double give_up = 0.6;  ///< share of `patience` after which a request is turned away while overloaded
    Span least_wait = std::chrono::milliseconds(250);  ///< told to the first that are turned away,
    Span most_wait = std::chrono::seconds(2);          ///< and to those after long overload
};

class Overload {
public:
    enum class Verdict {
        Serve,
        Refuse,  ///< at once, with told_wait()
        Gone,    ///< its client has likely given up: not to be taken on
    };

    explicit Overload(const OverloadLimits& limits) : limits_(limits) {}

    /// Of a request that waited so long from its last byte until now, when it can be decided.
    Verdict judge(Span waited, Instant now);
    bool overloaded() const { return overloaded_; }
    /// Grows while the overload lasts, and differs from one to the next, lest they come back together.
    std::chrono::milliseconds told_wait(Instant now);

private:
    void close_interval(Instant now);

    OverloadLimits limits_;
    bool overloaded_ = false, any_ = false;
    Span least_{};  // wait in this interval
    Instant interval_{}, since_{};
    std::uint32_t told_ = 0;
};

}  // namespace lockgw::admission
