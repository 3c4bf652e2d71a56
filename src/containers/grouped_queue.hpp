/// Items in groups, each group ordered by arrival and by creation time. Iterates over all items in order of
/// arrival, or over a sample near the front and near a given creation time.
///
/// insert and erase take logarithmic time in the size of a group; an iteration takes time proportional to the
/// visited items times the number of groups. Does not read a clock. Not thread-safe.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace lockgw {

template <class GroupKey, class Item, class Creation>
class GroupedQueue {
public:
    using Arrival = std::uint64_t;

    void insert(const GroupKey& key, Arrival arrival, Creation creation, Item item) {
        Group& group = groups_[key];
        group.by_arrival.emplace(arrival, item);
        group.by_creation.emplace(creation, arrival);
        ++size_;
    }
    /// Removes an item. The arguments must be those of its insert().
    void erase(const GroupKey& key, Arrival arrival, Creation creation) {
        Group& group = groups_.at(key);
        group.by_arrival.erase(arrival);
        group.by_creation.erase({creation, arrival});
        --size_;
    }
    std::size_t size() const { return size_; }

    /// Visits all items in order of arrival until `visit(item)` returns false.
    template <class Visit>
    void for_each(Visit visit) const {
        std::vector<std::pair<Position, Position>> heads;  // current position and end of each group
        for (const auto& [key, group] : groups_)
            if (!group.by_arrival.empty())
                heads.emplace_back(group.by_arrival.begin(), group.by_arrival.end());
        while (!heads.empty()) {
            const auto earliest = std::min_element(heads.begin(), heads.end(),
                [](const auto& a, const auto& b) { return a.first->first < b.first->first; });
            const Item item = earliest->first->second;
            if (++earliest->first == earliest->second) heads.erase(earliest);
            if (!visit(item)) return;
        }
    }
    /// Visits a sample in order of arrival until `visit(item)` returns false: of each group, the first
    /// `count` items and up to `count` items created just before and just after `around(key)`.
    template <class Around, class Visit>
    void for_each_sampled(std::size_t count, Around around, Visit visit) const {
        std::map<Arrival, Item> sample;
        for (const auto& [key, group] : groups_) {
            auto front = group.by_arrival.begin();
            for (std::size_t i = 0; i < count && front != group.by_arrival.end(); ++i)
                sample.insert(*front++);
            auto after = group.by_creation.lower_bound({around(key), 0}), before = after;
            for (std::size_t i = 0; i < count && after != group.by_creation.end(); ++i, ++after)
                sample.insert(*group.by_arrival.find(after->second));
            for (std::size_t i = 0; i < count && before != group.by_creation.begin(); ++i)
                sample.insert(*group.by_arrival.find((--before)->second));
        }
        for (const auto& [arrival, item] : sample)
            if (!visit(item)) return;
    }

    /// Passes the members to `archive` for serialization.
    template <class Archive>
    void serialize(Archive& archive) {
        archive(groups_)(size_);
    }

private:
    struct Group {
        std::map<Arrival, Item> by_arrival;
        std::set<std::pair<Creation, Arrival>> by_creation;
    };
    using Position = typename std::map<Arrival, Item>::const_iterator;

    std::map<GroupKey, Group> groups_;
    std::size_t size_ = 0;
};

}  // namespace lockgw
