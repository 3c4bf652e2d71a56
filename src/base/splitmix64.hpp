/// SplitMix64: a deterministic 64-bit mixing function with well-distributed results.
#pragma once

#include <cstdint>

namespace lockgw {

/// Returns the first output of a SplitMix64 generator seeded with `value`. Not cryptographic.
constexpr std::uint64_t splitmix64(std::uint64_t value) {
    value += 0x9e3779b97f4a7c15u;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
    return value ^ (value >> 31);
}

}  // namespace lockgw
