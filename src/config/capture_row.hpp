/// The operator's [capture]: where what the decision module is told and decides is written down.
#pragma once

#include <optional>
#include <string>

namespace lockgw::config {

struct CaptureRow {
    std::string folder;  ///< empty: "capture" in the folder that lasts
    double disk_mb = 64, segment_mb = 4;

    bool operator==(const CaptureRow&) const = default;
};

}  // namespace lockgw::config
