/// The operator's [return]: how a forwarder comes back.
#pragma once

#include <cstdint>
#include <optional>

namespace lockgw::config {

struct ReturnRow {
    bool snapshots = true;                ///< what was learned is written down, and believed by its age
    bool pace = true;                     ///< what is owed is taken up by and by
    double bytes_per_s = 16'384;          ///< of snapshots, at most
    std::int64_t ask_ms = 300;            ///< peers are waited for so long, at most; 0: they are not asked
    std::optional<double> full_within_s;  ///< an expectation: lockgw-tier checks it

    bool operator==(const ReturnRow&) const = default;
};

}  // namespace lockgw::config
