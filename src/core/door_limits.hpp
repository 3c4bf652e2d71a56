/// The limits at the door, from what the operator's file tells: the same for every front.
///
/// What the file leaves out stays as src/admission has it. The file is checked when it is read
/// (config::read_operator_file), so each function gives limits that its module can work with.
#pragma once

#include <cstddef>

#include "admission/door.hpp"
#include "admission/hand_over.hpp"
#include "admission/overload.hpp"
#include "admission/read_turns.hpp"
#include "config/door_row.hpp"

namespace lockgw {

/// `most`: connections in all.
admission::DoorLimits door_limits(std::size_t most, const config::DoorRow& told);
admission::OverloadLimits overload_limits(const config::DoorRow& told);
admission::ReadLimits read_limits(const config::DoorRow& told);
admission::HandOverLimits hand_over_limits(const config::DoorRow& told);
/// Bytes that clients may make the process hold, of all that it may use.
std::size_t door_memory(std::size_t memory_bytes, const config::DoorRow& told);

}  // namespace lockgw
