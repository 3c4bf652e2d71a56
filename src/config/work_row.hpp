/// The operator's [work]: machines are taken out in an order that the forwarders settle among themselves.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lockgw::config {

struct WorkRow {
    bool on = false;  ///< needs [tier] on: whoever goes must know who is there
    std::vector<std::string>
        hook;  ///< what is run at this machine by plans with task = "hook"; program and words
    std::int64_t hook_s = 600;         ///< it is ended after this, and has failed
    std::int64_t longest_call_s = 60;  ///< a forwarder gone for longer has no call out any more

    bool operator==(const WorkRow&) const = default;
};

}  // namespace lockgw::config
