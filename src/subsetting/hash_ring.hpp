/// Selects which targets of a destination one of many forwarders uses, and the weight of each.
///
/// Each target owns a segment of a ring, as long as its size. The segments are ordered by a hash of the
/// target's id, so the order is the same at every forwarder, whatever the order of its list. Each forwarder
/// has a position on the ring, derived from its number, and uses the targets that overlap a range centred on
/// that position, each in proportion to its overlap. The ranges of all forwarders together cover the ring
/// evenly, although no forwarder knows of another's calls. docs/spread.md compares the alternatives.
///
/// No I/O, no clock, no randomness.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lockgw::subsetting {

/// Ring position in [0, 1) of forwarder `number` of `count`: the middle of its even part of the ring.
double evenly_spaced_position(std::size_t number, std::size_t count);
/// Ring position in [0, 1) of a forwarder that has no number, derived from a value of its own.
double hashed_position(std::uint64_t seed);

/// Identifier of a target in gossip: the same at all forwarders, and never a destination's number, since it
/// is 2^40 or more.
std::uint64_t gossip_id(std::string_view id);

/// A target of a forwarder's subset.
struct SubsetTarget {
    std::string id;
    double weight = 0;   ///< share of the forwarder's calls to the destination; the weights sum to 1
    double sharers = 0;  ///< number of forwarders that share this target, counted in shares of this size
};

/// The targets of one destination.
class HashRing {
public:
    explicit HashRing(std::int64_t destination) : destination_(destination) {}

    /// Adds a target or changes its size, which is relative to the sizes of the others; one that is not above
    /// 0 and below 1e9 counts as 1. Returns whether the ring changed.
    bool put(const std::string& id, double size);
    void erase(const std::string& id);
    std::size_t size() const { return segments_.size(); }

    /// Targets that overlap the range centred on `position`, as long as `targets` average segments, for one
    /// of `forwarders` forwarders. If `targets` is below kMinSharedSize and there are no more targets
    /// than forwarders, returns only the target at the position: a connection that is seldom used does not
    /// stay open.
    std::vector<SubsetTarget> subset(double position, double targets, std::size_t forwarders) const;

    static constexpr double kMinSharedSize = 2.0;   ///< smaller subsets consist of a single target
    static constexpr double kMinWeight = 0.08;      ///< targets below it are left out of the subset,
    static constexpr std::size_t kSmallSubset = 8;  ///< if that has no more targets than this

private:
    struct Segment {
        std::uint64_t hash;
        std::string id;
        double size;
    };
    std::int64_t destination_;
    std::vector<Segment> segments_;  // by hash, then id
};

}  // namespace lockgw::subsetting
