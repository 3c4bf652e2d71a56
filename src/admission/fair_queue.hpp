/// Requests that wait for their decision, taken in turn from those who sent them.
///
/// Deficit round-robin ("Efficient Fair Queueing Using Deficit Round-Robin", Shreedhar and Varghese, 1995)
/// over flows (tenants, or sources where no tenant is told): each gets its weight in cost a round, whoever
/// has nothing waiting is passed over, and nothing is kept of it. Bounded: where it is full, the longest flow
/// loses. No I/O, no clock, one thread; push and pop take logarithmic time in the flows that wait.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace lockgw::admission {

template <class Item>
class FairQueue {
public:
    using Flow = std::uint64_t;

    /// `most`: items in all.
    explicit FairQueue(std::size_t most) : most_(std::max<std::size_t>(1, most)) {}

    bool empty() const { return size_ == 0; }
    std::size_t size() const { return size_; }
    std::size_t flows() const { return flows_.size(); }

    /// `cost` (1 or more, in any unit) and `quantum`: what the flow may take each round, 1 or more. Gives
    /// back the item that found no room, which may be this one.
    std::optional<Item> push(Flow id, Item item, std::uint64_t cost, std::uint64_t quantum) {
        auto [place, fresh] = flows_.try_emplace(id);
        Waiting& flow = place->second;
        if (fresh) flow.place = round_.insert(round_.end(), id);
        flow.quantum = std::max<std::uint64_t>(1, quantum);
        flow.items.push_back({std::move(item), std::max<std::uint64_t>(1, cost)});
        weigh(id, flow.items.size() - 1, flow.items.size());
        ++size_;
        if (size_ <= most_) return std::nullopt;
        return take(lengths_.rbegin()->second, false);
    }

    /// The newest of a flow, out of turn; none where it has nothing waiting.
    std::optional<Item> drop_newest(Flow id) {
        return flows_.contains(id) ? std::optional(take(id, true)) : std::nullopt;
    }
    /// The next one; of its flow the newest where `newest_first`, else the oldest. Not of an empty queue.
    Item pop(bool newest_first) {
        while (true) {
            const Flow id = round_.front();
            Waiting& flow = flows_.at(id);
            const auto& next = newest_first ? flow.items.back() : flow.items.front();
            if (flow.credit >= next.cost) {
                flow.credit -= next.cost;
                return take(id, newest_first);
            }
            // its turn ends here; the rounds that nobody could use are passed over at once
            round_.splice(round_.end(), round_, round_.begin());
            flow.credit += flow.quantum;
        }
    }

private:
    struct One {
        Item item;
        std::uint64_t cost;
    };
    struct Waiting {
        std::deque<One> items;
        std::uint64_t credit = 0, quantum = 1;
        std::list<Flow>::iterator place;
    };

    Item take(Flow id, bool newest) {
        const auto found = flows_.find(id);
        std::deque<One>& items = found->second.items;
        Item item = std::move(newest ? items.back() : items.front()).item;
        newest ? items.pop_back() : items.pop_front();
        weigh(id, items.size() + 1, items.size());
        --size_;
        if (items.empty()) {  // an idle flow saves nothing up
            round_.erase(found->second.place);
            flows_.erase(found);
        }
        return item;
    }
    void weigh(Flow id, std::size_t from, std::size_t to) {
        if (from > 0) lengths_.erase({from, id});
        if (to > 0) lengths_.insert({to, id});
    }

    std::size_t most_, size_ = 0;
    std::map<Flow, Waiting> flows_;
    std::list<Flow> round_;
    std::set<std::pair<std::size_t, Flow>> lengths_;
};

}  // namespace lockgw::admission
