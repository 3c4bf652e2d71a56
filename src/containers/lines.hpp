/// Items of several groups, each group a line by arrival and by birth: walked all in one order of arrival, or
/// only where it matters.
///
/// put and take are logarithmic in a line; a walk costs what it visits, times the groups. No clock, one
/// thread.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace lockgw {

template <class Group, class Item, class Birth>
class Lines {
public:
    using Arrival = std::uint64_t;

    void put(const Group& group, Arrival arrival, Birth birth, Item item) {
        Line& line = lines_[group];
        line.by_arrival.emplace(arrival, item);
        line.by_birth.emplace(birth, arrival);
        ++size_;
    }
    /// One that was put in, with the same words.
    void take(const Group& group, Arrival arrival, Birth birth) {
        Line& line = lines_.at(group);
        line.by_arrival.erase(arrival);
        line.by_birth.erase({birth, arrival});
        --size_;
    }
    std::size_t size() const { return size_; }

    /// In order of arrival, until `look(item)` says false.
    template <class Look>
    void each(Look look) const {
        std::vector<std::pair<Place, Place>> heads;
        for (const auto& [group, line] : lines_)
            if (!line.by_arrival.empty()) heads.emplace_back(line.by_arrival.begin(), line.by_arrival.end());
        while (!heads.empty()) {
            const auto first = std::min_element(heads.begin(), heads.end(),
                [](const auto& a, const auto& b) { return a.first->first < b.first->first; });
            const Item item = first->first->second;
            if (++first->first == first->second) heads.erase(first);
            if (!look(item)) return;
        }
    }
    /// Some of them, in order of arrival: `most` at the front of each line, and as many born right before and
    /// right after `around(group)`.
    template <class Around, class Look>
    void some(std::size_t most, Around around, Look look) const {
        std::map<Arrival, Item> chosen;
        for (const auto& [group, line] : lines_) {
            auto front = line.by_arrival.begin();
            for (std::size_t i = 0; i < most && front != line.by_arrival.end(); ++i) chosen.insert(*front++);
            auto after = line.by_birth.lower_bound({around(group), 0}), before = after;
            for (std::size_t i = 0; i < most && after != line.by_birth.end(); ++i, ++after)
                chosen.insert(*line.by_arrival.find(after->second));
            for (std::size_t i = 0; i < most && before != line.by_birth.begin(); ++i)
                chosen.insert(*line.by_arrival.find((--before)->second));
        }
        for (const auto& [arrival, item] : chosen)
            if (!look(item)) return;
    }

    /// For whoever keeps it elsewhere: an archive takes its members one by one.
    template <class Archive>
    void members(Archive& archive) {
        archive(lines_)(size_);
    }

private:
    struct Line {
        std::map<Arrival, Item> by_arrival;
        std::set<std::pair<Birth, Arrival>> by_birth;
    };
    using Place = typename std::map<Arrival, Item>::const_iterator;

    std::map<Group, Line> lines_;
    std::size_t size_ = 0;
};

}  // namespace lockgw
