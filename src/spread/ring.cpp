#include "spread/ring.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "base/splitmix64.hpp"

namespace lockgw::spread {
namespace {

constexpr int kNameBits = 40;

std::uint64_t hash_of(std::string_view text) {  // FNV-1a: the same in every build
    std::uint64_t hash = 0xcbf29ce484222325u;
    for (const char letter : text) hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001b3u;
    return splitmix64(hash);
}
double turned(double point) { return point - std::floor(point); }
double share_of(std::uint64_t bits) { return static_cast<double>(bits >> 11) / 9007199254740992.0; }

}  // namespace

double point_of(std::size_t number, std::size_t of) {
    return of == 0 ? 0 : turned((static_cast<double>(number) + 0.5) / static_cast<double>(of));
}
double point_by_chance(std::uint64_t own) { return share_of(splitmix64(own)); }

std::uint64_t known_as(std::string_view id) {
    constexpr std::uint64_t above = std::uint64_t{1} << kNameBits;
    return (hash_of(id) & (above - 1)) | above;
}

bool Ring::put(const std::string& id, double size) {
    if (!(size > 0 && size < 1e9)) size = 1;
    const std::uint64_t order =
        splitmix64(hash_of(id) ^ splitmix64(static_cast<std::uint64_t>(destination_)));
    const auto key = std::tie(order, id);
    const auto place = std::lower_bound(segments_.begin(), segments_.end(), key,
        [](const Segment& one, const auto& wanted) { return std::tie(one.order, one.id) < wanted; });
    if (place == segments_.end() || place->id != id) return segments_.insert(place, {order, id, size}), true;
    return std::exchange(place->size, size) != size;
}
void Ring::erase(const std::string& id) {
    std::erase_if(segments_, [&](const Segment& one) { return one.id == id; });
}

std::vector<Part> Ring::arc(double point, double targets, std::size_t forwarders) const {
    std::vector<Part> parts;
    if (segments_.empty()) return parts;
    double all = 0;
    for (const Segment& one : segments_) all += one.size;
    const auto count = static_cast<double>(segments_.size());
    const double many = static_cast<double>(std::max<std::size_t>(1, forwarders));
    // never so narrow that a part of the ring is nobody's
    const double width = std::min(1.0, std::max(targets / count, 1.0 / many));
    const bool single = targets < kOneTarget && count <= many;
    // destinations of few targets would otherwise all be cut at the same forwarders
    const double middle = turned(point + share_of(splitmix64(static_cast<std::uint64_t>(destination_) + 1)));
    const double from = middle - width / 2, to = middle + width / 2;
    double at = 0, sum = 0;
    for (const Segment& one : segments_) {
        const double end = at + one.size / all;
        double met = 0;
        if (single) {
            met = middle >= at && (middle < end || &one == &segments_.back()) ? 1 : 0;
        } else {
            for (const double turn : {-1.0, 0.0, 1.0})
                met += std::max(0.0, std::min(to, end + turn) - std::max(from, at + turn));
            met /= width;
        }
        if (met > 0) parts.push_back({one.id, met, many * one.size / all});
        at = end;
    }
    // in a wide arc the ends are few beside the rest
    if (parts.size() <= kNarrow)
        std::erase_if(parts, [](const Part& one) { return one.weight < kLeastWeight; });
    for (const Part& one : parts) sum += one.weight;
    for (Part& one : parts) one.weight /= sum, one.sharers = std::max(1.0, one.sharers / one.weight);
    return parts;
}

}  // namespace lockgw::spread
