/// Through a capture batch by batch, at a prompt.
#pragma once

#include <iosfwd>

#include "program/commands.hpp"

namespace lockgw::program {

/// To `wish.until` at once, and what was known there; with `wish.step` it goes on as the lines of `in` say,
/// until they end:
///     n [COUNT]  the next batches, what was told and decided (an empty line: one)
///     g MOMENT   on to a moment or a batch's number
///     s [ABOUT]  what is known now, of all or of a destination, an endpoint or a message
///     q          ends
/// 1 where this build decides otherwise; it ends there. Throws std::invalid_argument for a moment that is
/// none.
int walk(const ReplayWish& wish, std::istream& in, std::ostream& out);

}  // namespace lockgw::program
