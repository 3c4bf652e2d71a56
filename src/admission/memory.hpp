/// Bytes that clients make this process hold: commands that have not ended, and requests that wait.
///
/// All of it is bounded in one place, by owner (the tenant where one is told, else the source address). Laws,
/// each with a property test (tests/admission_test.cpp):
///  1. Once over() names nobody, no more than `most` is held.
///  2. While several hold some, none of them holds more than half of `most`.
///  3. Who is named is the one that holds most: nobody pays for another.
///
/// Units: bytes. Threads: one. No I/O, no clock. Cost: logarithmic in the owners.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "admission/crowd.hpp"

namespace lockgw::admission {

class MemoryShares {
public:
    explicit MemoryShares(std::size_t most) : most_(most) {}

    /// What an owner holds of one thing has changed from `before` to `after`.
    void change(Owner owner, std::size_t before, std::size_t after);
    /// Who has to give some up now; ask again until there is nobody.
    std::optional<Owner> over() const;

    std::size_t most() const { return most_; }
    std::size_t held() const { return held_; }
    std::size_t held_by(Owner owner) const;

private:
    std::size_t most_, held_ = 0;
    std::unordered_map<Owner, std::size_t> owners_;
    std::set<std::pair<std::size_t, Owner>> weights_;
};

}  // namespace lockgw::admission
