/// The operator's [capture]: where what the decision module is told and decides is written down.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace lockgw::config {

struct CaptureRow {
    std::string folder;  ///< empty: "capture" in the folder that lasts
    double disk_mb = 64, segment_mb = 4;
    std::vector<std::string> keep_on;  ///< causes by capture/trigger.hpp: fell_sick, given_up, refused
    double keep_before_s = 300, keep_after_s = 30, keep_every_s = 600, kept_mb = 64;
    std::size_t keep_refusals = 100;  ///< within a second

    bool operator==(const CaptureRow&) const = default;
};

}  // namespace lockgw::config
