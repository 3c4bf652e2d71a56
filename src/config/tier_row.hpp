/// The operator's [tier]: forwarders that watch one another.
#pragma once

#include <cstdint>

namespace lockgw::config {

struct TierRow {
    bool on = false;  ///< off: each knows the number that it was told, and no more
    std::int64_t round_ms = 200;
    double notes_per_s = 40, bytes_per_s = 8000;  ///< of this forwarder, at most

    bool operator==(const TierRow&) const = default;
};

}  // namespace lockgw::config
