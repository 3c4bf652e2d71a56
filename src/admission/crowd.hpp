/// Connections of one class in the order in which they came to it, counted by owner (a source or a tenant).
///
/// Every call takes constant or logarithmic time, whatever the class holds. No clock, no I/O, one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <utility>

namespace lockgw::admission {

using Ticket = std::uint64_t;  ///< a connection's number, never given twice
using Owner = std::uint64_t;   ///< a source address, or a tenant once it is told

class Crowd {
public:
    struct Place {
        std::list<Ticket>::iterator in_all, in_own;
    };

    Place add(Ticket ticket, Owner owner) {
        std::list<Ticket>& own = owners_[owner];
        weigh(owner, own.size(), own.size() + 1);
        return {all_.insert(all_.end(), ticket), own.insert(own.end(), ticket)};
    }
    void remove(const Place& place, Owner owner) {
        const auto found = owners_.find(owner);
        weigh(owner, found->second.size(), found->second.size() - 1);
        all_.erase(place.in_all);
        found->second.erase(place.in_own);
        if (found->second.empty()) owners_.erase(found);
    }

    bool empty() const { return all_.empty(); }
    std::size_t size() const { return all_.size(); }
    std::size_t owners() const { return owners_.size(); }
    Ticket oldest() const { return all_.front(); }
    Ticket newest() const { return all_.back(); }
    /// The first of an owner that has some.
    Ticket oldest_of(Owner owner) const { return owners_.at(owner).front(); }
    bool has(Owner owner) const { return owners_.contains(owner); }
    /// How many the owner with most of them has, and the first of these. Not for an empty one.
    std::size_t heaviest() const { return weights_.rbegin()->first; }
    Ticket oldest_of_heaviest() const { return owners_.at(weights_.rbegin()->second).front(); }

private:
    void weigh(Owner owner, std::size_t from, std::size_t to) {
        if (from > 0) weights_.erase({from, owner});
        if (to > 0) weights_.insert({to, owner});
    }

    std::list<Ticket> all_;
    std::map<Owner, std::list<Ticket>> owners_;
    std::set<std::pair<std::size_t, Owner>> weights_;
};

}  // namespace lockgw::admission
