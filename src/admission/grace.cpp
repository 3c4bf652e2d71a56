#include "admission/grace.hpp"

#include <algorithm>
#include <cmath>

namespace lockgw::admission {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr Span kHalfLife = std::chrono::seconds(2);
constexpr double kPrior = 0.02;  // of an asker at once: enough to choose the shortest where nobody asks

}  // namespace

void Grace::asked(Span after, Instant now) { count(after, true, now); }
void Grace::never(Span after, Instant now) { count(after, false, now); }

void Grace::count(Span after, bool useful, Instant now) {
    age(now);
    for (std::size_t i = 0; i < kChoices; ++i) {
        if (useful && after <= choice(i)) asked_[i] += 1;
        spent_[i] += Seconds(std::min(after, choice(i))).count();
    }
    choose();
}

void Grace::age(Instant now) {
    if (now - aged_ < kHalfLife / 8) return;  // often enough, and cheap
    const double part = std::exp2(-Seconds(now - aged_).count() / Seconds(kHalfLife).count());
    aged_ = now;
    for (auto* sums : {&asked_, &spent_})
        for (double& sum : *sums) sum *= part;
    choose();
}

void Grace::choose() {
    const double prior_spent = kPrior * Seconds(shortest_).count();
    const auto rate = [&](std::size_t i) { return (kPrior + asked_[i]) / (prior_spent + spent_[i]); };
    std::size_t best = 0;
    for (std::size_t i = 1; i < kChoices; ++i)
        if (rate(i) > rate(best) * (1 + 1e-9)) best = i;
    chosen_ = best;
}

}  // namespace lockgw::admission
