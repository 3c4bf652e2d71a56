/// How evenly calls lie on targets, from counts by target and second.
#pragma once

#include <cstddef>
#include <vector>

namespace lockgw::lab {

struct Load {
    double most = 0, least = 0;  ///< of a target in its worst window of 10 s, in fair parts
    double dispersion = 0;       ///< variance over mean of a second's calls at a target: 1 by chance
    std::size_t idle = 0;        ///< windows of 10 s in which a target that 100 calls were due at got none
};

/// Of `load` (by target and second) from second `from` on.
Load evenness(const std::vector<std::vector<int>>& load, std::size_t from);

}  // namespace lockgw::lab
