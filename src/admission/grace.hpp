/// How long newcomers may take to ask before their places are wanted back, learned from some of them.
///
/// Too short a grace closes slow clients before they ask, and they come again for ever; too long a one leaves
/// the places to those that never ask. So a few newcomers are on trial: they may take up to `longest`. From
/// what they did, the grace is chosen that has the most of them asking for each second of a place
/// (renewal-reward: asked within g / mean of min(time, g)). Who never asks only ever counts against a longer
/// grace, so a storm of silent ones cannot raise it. Evidence halves every 2 s; with none, and where
/// two do equally well, it is the shortest. Laws, each with a test and a mutant (tests/grace_test.cpp):
///  1. shortest <= now() <= longest, at shortest x 2^n.
///  2. Newcomers that never ask do not raise it, however many they are.
///  3. Where all ask, but late, it rises until most of them are waited for.
///
/// Units: the caller's times, which only advance. Threads: one. No I/O, no clock. Cost: constant.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace lockgw::admission {

using Instant = std::chrono::steady_clock::time_point;
using Span = std::chrono::steady_clock::duration;

class Grace {
public:
    static constexpr std::size_t kChoices = 9;

    /// The longest is 256 times the shortest.
    explicit Grace(Span shortest) : shortest_(shortest) {}

    Span now() const { return choice(chosen_); }
    Span longest() const { return choice(kChoices - 1); }
    /// One on trial handed in something useful, and took so long to ask.
    void asked(Span after, Instant now);
    /// One on trial left, or was closed, without it.
    void never(Span after, Instant now);
    /// Evidence ages with time, whether or not any is added.
    void age(Instant now);

private:
    Span choice(std::size_t which) const { return shortest_ * (Span::rep{1} << which); }
    void count(Span after, bool useful, Instant now);
    void choose();

    Span shortest_;
    std::size_t chosen_ = 0;
    // by choice: how many asked within it, and the place-time in seconds that waiting for all so long took
    std::array<double, kChoices> asked_{}, spent_{};
    Instant aged_{};
};

}  // namespace lockgw::admission
