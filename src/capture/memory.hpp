/// All that the decision module knows, as bytes, and back: the head of a segment of a capture.
///
/// A module that was given the bytes decides as the one that they were taken of, from then on, to the bit.
/// Only a build whose module has the same members can be relied upon for that: the bytes name them by count.
/// Cost: about 0.2 us and 100 bytes a held message. Throws BadCapture where the bytes make no sense.
#pragma once

#include <string>
#include <string_view>

#include "cometspoke/sender.hpp"

namespace lockgw::capture {

std::string memory_of(cometspoke::Sender& sender);
void remember(cometspoke::Sender& sender, std::string_view memory);

}  // namespace lockgw::capture
