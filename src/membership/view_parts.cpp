// A long whole list by parts: entries in its order (stops first), then those that could not be read, then the
// members that it does not name. What is told are changes, and only where something is new. Compared with a
// list that is taken at once nothing is left out: of its own Ready targets none can hold another one of them
// (View::hold_others_at), and every member that is left is named.
#include <algorithm>
#include <utility>

#include "membership/view.hpp"

namespace lockgw {

using cometspoke::Condition;

namespace {

bool alike(const Target& a, const Target& b) {
    return a.address == b.address && a.zone == b.zone && a.kind == b.kind && a.destination == b.destination &&
           a.rate == b.rate && a.up_since_ms == b.up_since_ms && a.condition == b.condition;
}

}  // namespace

void stops_first(TargetList& list) {
    const auto ready = std::stable_partition(list.targets.begin(), list.targets.end(),
        [](const Target& one) { return one.condition != Condition::Ready; });
    std::stable_partition(
        list.targets.begin(), ready, [](const Target& one) { return one.condition == Condition::Draining; });
}

View::Update View::begin(const Asked& asked, TargetList list, Time now) {
    const bool was_whole = whole_;
    std::string anew;
    if (auto doubtful = doubted(asked, list, now, anew)) return std::move(*doubtful);
    whole_ = was_whole;
    taking_ = std::make_shared<Taking>(Taking{std::move(list), asked.sent, now, 0, 0, {}, {}});
    taking_->named.reserve(taking_->list.targets.size() + taking_->list.bad.size());
    Update update;
    update.taken = update.more = true;
    if (!anew.empty()) update.remarks.push_back(anew);
    return update;
}

View::Update View::go_on(std::size_t most) {
    Update update;
    update.taken = update.more = true;
    update.told.revision = taking_->list.revision;
    std::size_t done = 0;
    for (; done < most && taking_->next < taking_->list.targets.size(); ++done)
        take_entry(taking_->next++, update);
    for (; done < most && taking_->next_bad < taking_->list.bad.size(); ++done) {
        const BadEntry bad = taking_->list.bad[taking_->next_bad++];
        if (bad.id) taking_->named.try_emplace(*bad.id, Taking::Named{Condition::Ready, true});
        hold(bad, taking_->now, update);
    }
    if (done < most && erase_unnamed(most - done, update)) {
        release_stops(taking_->asked, update);
        whole_ = true;
        update.more = false;
        spent_ = std::exchange(taking_, nullptr);
    }
    update.heeded = !update.told.targets.empty() || !update.more;
    return update;
}

/// False where it says nothing that counts.
bool View::take_entry(std::size_t place, Update& update) {
    Target& target = taking_->list.targets[place];
    std::string why;
    const auto known = members_.find(target.id);
    const auto earlier = taking_->named.find(target.id);
    const bool before = earlier == taking_->named.end() ? known != members_.end() : earlier->second.before;
    if (!readable(target, why)) {
        if (target.condition == Condition::Ready || known == members_.end() || !before) {
            taking_->list.bad.push_back({target.id, target.condition, why});
            return false;
        }
        target.zone = known->second.target.zone;  // it goes: what it is does not matter any more
        target.kind = known->second.target.kind;
    }
    if (earlier == taking_->named.end()) {
        taking_->named.emplace(target.id, Taking::Named{target.condition, before});
    } else {
        update.remarks.push_back(
            "two entries for " + target.id + " in one list: the one that stops it counts");
        Condition& so_far = earlier->second.condition;
        if (so_far != Condition::Ready && target.condition != Condition::Gone) return false;
        so_far = target.condition;
    }
    if (known != members_.end() && !known->second.held && alike(known->second.target, target)) return false;
    put(target, taking_->now, update);
    return true;
}

/// True where all members have been looked at.
bool View::erase_unnamed(std::size_t most, Update& update) {
    auto member = taking_->erased_to ? members_.upper_bound(*taking_->erased_to) : members_.begin();
    for (; member != members_.end() && most > 0; --most) {
        taking_->erased_to = member->first;
        const auto next = std::next(member);
        if (!taking_->named.contains(member->first)) {
            Target gone = member->second.target;
            gone.condition = Condition::Gone;
            update.told.targets.push_back(std::move(gone));
            erase(member);
        }
        member = next;
    }
    return member == members_.end();
}

}  // namespace lockgw
