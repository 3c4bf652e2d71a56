#include "subsetting/hash_ring.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "base/splitmix64.hpp"

namespace lockgw::subsetting {
namespace {

constexpr int kGossipIdBits = 40;

std::uint64_t hash_of(std::string_view text) {  // FNV-1a: the same in every build
    std::uint64_t hash = 0xcbf29ce484222325u;
    for (const char letter : text) hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001b3u;
    return splitmix64(hash);
}
double fractional_part(double value) { return value - std::floor(value); }
/// Maps the upper 53 bits to [0, 1).
double unit_interval(std::uint64_t bits) { return static_cast<double>(bits >> 11) / 9007199254740992.0; }

}  // namespace

double evenly_spaced_position(std::size_t number, std::size_t count) {
    return count == 0 ? 0 : fractional_part((static_cast<double>(number) + 0.5) / static_cast<double>(count));
}
double hashed_position(std::uint64_t seed) { return unit_interval(splitmix64(seed)); }

std::uint64_t gossip_id(std::string_view id) {
    constexpr std::uint64_t marker_bit = std::uint64_t{1} << kGossipIdBits;
    return (hash_of(id) & (marker_bit - 1)) | marker_bit;
}

bool HashRing::put(const std::string& id, double size) {
    if (!(size > 0 && size < 1e9)) size = 1;
    const std::uint64_t hash = splitmix64(hash_of(id) ^ splitmix64(static_cast<std::uint64_t>(destination_)));
    const auto key = std::tie(hash, id);
    const auto place = std::lower_bound(
        segments_.begin(), segments_.end(), key, [](const Segment& segment, const auto& wanted) {
            return std::tie(segment.hash, segment.id) < wanted;
        });
    if (place == segments_.end() || place->id != id) return segments_.insert(place, {hash, id, size}), true;
    return std::exchange(place->size, size) != size;
}
void HashRing::erase(const std::string& id) {
    std::erase_if(segments_, [&](const Segment& segment) { return segment.id == id; });
}

std::vector<SubsetTarget> HashRing::subset(double position, double targets, std::size_t forwarders) const {
    std::vector<SubsetTarget> subset;
    if (segments_.empty()) return subset;
    double total_size = 0;
    for (const Segment& segment : segments_) total_size += segment.size;
    const auto target_count = static_cast<double>(segments_.size());
    const double forwarder_count = static_cast<double>(std::max<std::size_t>(1, forwarders));
    // at least the forwarder's even part of the ring: no part of it may remain uncovered
    const double range = std::min(1.0, std::max(targets / target_count, 1.0 / forwarder_count));
    const bool single = targets < kMinSharedSize && target_count <= forwarder_count;
    // Rotated for each destination: otherwise the segment boundaries of all destinations with few targets
    // would fall on the same forwarders.
    const double middle =
        fractional_part(position + unit_interval(splitmix64(static_cast<std::uint64_t>(destination_) + 1)));
    const double from = middle - range / 2, to = middle + range / 2;
    double begin = 0, sum = 0;
    for (const Segment& segment : segments_) {
        const double end = begin + segment.size / total_size;
        double weight = 0;
        if (single) {
            weight = middle >= begin && (middle < end || &segment == &segments_.back()) ? 1 : 0;
        } else {
            for (const double turn : {-1.0, 0.0, 1.0})  // the range may extend past either end of [0, 1)
                weight += std::max(0.0, std::min(to, end + turn) - std::max(from, begin + turn));
            weight /= range;
        }
        if (weight > 0) subset.push_back({segment.id, weight, forwarder_count * segment.size / total_size});
        begin = end;
    }
    // in a larger subset the targets at its ends are few among the others
    if (subset.size() <= kSmallSubset)
        std::erase_if(subset, [](const SubsetTarget& target) { return target.weight < kMinWeight; });
    for (const SubsetTarget& target : subset) sum += target.weight;
    for (SubsetTarget& target : subset)
        target.weight /= sum, target.sharers = std::max(1.0, target.sharers / target.weight);
    return subset;
}

}  // namespace lockgw::subsetting
