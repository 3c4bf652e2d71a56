/// Limits of admission control from the operator's file, the same for every protocol front.
///
/// A setting that the file leaves out keeps the default of src/admission. The file is validated when it is
/// read (config::read_operator_file), so every function returns limits that its module accepts.
#pragma once

#include <cstddef>

#include "admission/door.hpp"
#include "admission/hand_over.hpp"
#include "admission/overload.hpp"
#include "admission/read_turns.hpp"
#include "config/door_row.hpp"

namespace lockgw {

/// `max_connections`: client connections in total.
admission::DoorLimits connection_limits(std::size_t max_connections, const config::DoorRow& configured);
admission::OverloadLimits overload_limits(const config::DoorRow& configured);
admission::ReadLimits read_limits(const config::DoorRow& configured);
admission::HandOverLimits hand_over_limits(const config::DoorRow& configured);
/// Bytes of memory that client connections may occupy, out of `memory_bytes` for the process.
std::size_t client_memory_limit(std::size_t memory_bytes, const config::DoorRow& configured);

}  // namespace lockgw
