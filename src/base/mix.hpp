/// Numbers that look drawn at random and are the same each time (SplitMix64's finaliser).
#pragma once

#include <cstdint>

namespace lockgw {

constexpr std::uint64_t mixed(std::uint64_t value) {
    value += 0x9e3779b97f4a7c15u;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
    return value ^ (value >> 31);
}

}  // namespace lockgw
