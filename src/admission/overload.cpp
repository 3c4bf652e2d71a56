#include "admission/overload.hpp"

#include <algorithm>
#include <cmath>

namespace lockgw::admission {
namespace {

constexpr double kGolden = 0.6180339887498949;  // multiples of it, less their whole part, spread evenly

}  // namespace

void Overload::close_interval(Instant now) {
    if (now - interval_ < limits_.interval) return;
    // an interval without any request is no sign of a queue
    const bool standing = any_ && least_ > limits_.target && now - interval_ < 10 * limits_.interval;
    if (standing && !overloaded_) since_ = now;
    overloaded_ = standing;
    interval_ = now;
    any_ = false;
}

Overload::Verdict Overload::judge(Span waited, Instant now) {
    close_interval(now);
    least_ = any_ ? std::min(least_, waited) : waited;
    any_ = true;
    if (waited <= limits_.target) overloaded_ = false;  // who waits so little proves that no queue stands
    if (waited >= limits_.patience) return Verdict::Gone;
    const auto most = std::chrono::duration_cast<Span>(limits_.patience * limits_.give_up);
    return overloaded_ && waited >= most ? Verdict::Refuse : Verdict::Serve;
}

std::chrono::milliseconds Overload::told_wait(Instant now) {
    const Span lasting = overloaded_ ? now - since_ : Span{0};
    const double base = std::chrono::duration<double, std::milli>(
        std::clamp(limits_.least_wait + lasting / 2, limits_.least_wait, limits_.most_wait))
                            .count();
    const double part = std::fmod(kGolden * static_cast<double>(++told_), 1.0);
    return std::chrono::milliseconds(std::lround(base * (0.5 + part)));
}

}  // namespace lockgw::admission
