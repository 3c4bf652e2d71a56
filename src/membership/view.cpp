// How an answer is judged: first whether it counts at all (its epoch, its revision, when it was asked for),
// then entry by entry. An answer that counts is taken entry by entry in its own order, except that of two
// entries for one id the one that stops it wins. One that does not count can only stop targets, never free
// or move them; such a stop lasts until an answer that counts and that was asked for later has come, for that
// one says again all that the doubtful one may have said.
#include "membership/view.hpp"

#include <algorithm>
#include <utility>

namespace lockgw {

using cometspoke::Condition;

Condition View::Member::effective() const {
    return target.condition == Condition::Ready && (stopped || held) ? Condition::Draining : target.condition;
}

View::View(std::set<std::string> zones, std::set<std::string> kinds)
    : zones_(std::move(zones)), kinds_(std::move(kinds)) {}

bool View::readable(const Target& target, std::string& why) const {
    if (!target.zone.empty() && !zones_.contains(target.zone)) why = "unknown place " + target.zone;
    if (!target.kind.empty() && !kinds_.contains(target.kind)) why = "unknown kind " + target.kind;
    return why.empty();
}

/// Entries of which the core can make something, one an id; the others as bad ones.
TargetList View::sound(const TargetList& list, Update& update) const {
    TargetList sound;
    sound.revision = list.revision;
    sound.complete = list.complete;
    sound.bad = list.bad;
    std::map<std::string, std::size_t> place;
    for (const Target& entry : list.targets) {
        std::string why;
        Target target = entry;
        if (!readable(target, why)) {
            const auto known = members_.find(target.id);
            if (target.condition == Condition::Ready || known == members_.end()) {
                sound.bad.push_back({target.id, target.condition, why});
                continue;
            }
            target.zone = known->second.target.zone;  // it goes: what it is does not matter any more
            target.kind = known->second.target.kind;
        }
        const auto [found, fresh] = place.emplace(target.id, sound.targets.size());
        if (fresh) {
            sound.targets.push_back(std::move(target));
            continue;
        }
        update.remarks.push_back(
            "two entries for " + target.id + " in one list: the one that stops it counts");
        Target& before = sound.targets[found->second];
        if (before.condition == Condition::Ready || target.condition == Condition::Gone)
            before = std::move(target);
    }
    return sound;
}

View::Update View::known(const TargetList& list, Time now, bool amend) {
    if (whole_) return {};
    if (amend && list.complete && !list.targets.empty() && list.bad.empty()) {
        revision_ = list.revision;
        whole_needed_ = false;
    }
    TargetList whole = list;
    whole.complete = true;
    return take(whole, now, now);
}

void View::new_agent() {
    ++epoch_;
    revision_.reset();
    whole_needed_ = true;
    heard_.reset();
    anew_at_ = {};
}

View::Update View::answered(const Asked& asked, const TargetList& list, Time now) {
    std::string anew;
    if (auto doubtful = doubted(asked, list, now, anew)) return std::move(*doubtful);
    Update update = take(list, asked.sent, now);
    if (!anew.empty()) update.remarks.push_back(anew);
    return update;
}

/// What an answer comes to that does not count, or says nothing new; none: it counts, and is to be taken.
std::optional<View::Update> View::doubted(
    const Asked& asked, const TargetList& list, Time now, std::string& anew) {
    if (asked.epoch != epoch_) return Update{};
    const bool asked_later = !heard_ || asked.sent >= accepted_at_;
    const auto doubtful = [&](const char* what) {
        whole_needed_ = true;
        return heed_stops(list, now,
            std::string(what) + ": revision " + std::to_string(list.revision) + ", have " +
                (revision_ ? std::to_string(*revision_) : "none") + "; the whole list is asked for");
    };
    if (asked.sent < anew_at_) return doubtful("an answer from before the agent counted anew");
    if (list.complete) {
        if (revision_ && list.revision < *revision_) {
            if (!asked_later) return doubtful("a late whole list");
            anew_at_ = now;
            anew = "the agent counts anew: revision " + std::to_string(list.revision) + " after " +
                   std::to_string(*revision_);
        }
        whole_ = true;
        whole_needed_ = false;
    } else {
        if (!revision_ || !asked.from) return doubtful("changes instead of the whole list");
        if (list.revision < *asked.from) return doubtful("changes that go back");
        if (*asked.from > *revision_) return doubtful("changes that leave a gap");
        if (list.revision <= *revision_ && !asked_later) {  // another answer has told all of it
            Update late;
            late.taken = true;
            return late;
        }
        whole_ = true;  // it amends a list that was told as a whole, if before this process began
    }
    revision_ = list.complete ? list.revision : std::max(*revision_, list.revision);
    accepted_at_ = now;
    heard_ = now;
    return std::nullopt;
}

View::Update View::cut_off(const Asked& asked, const TargetList& entries, Time now) {
    if (asked.epoch != epoch_) return {};
    return heed_stops(entries, now, "");
}

View::Update View::take(const TargetList& list, Time asked, Time now) {
    Update update;
    update.taken = update.heeded = true;
    const TargetList entries = sound(list, update);
    std::set<std::string> named, ready;
    for (const Target& target : entries.targets) {
        named.insert(target.id);
        if (put(target, now, update)) ready.insert(target.id);
    }
    for (const BadEntry& bad : entries.bad) {
        if (bad.id) named.insert(*bad.id);
        hold(bad, now, update);
    }
    if (list.complete) erase_unnamed(named);
    hold_others_at(ready, update);
    release_stops(asked, update);
    update.told.revision = list.revision;
    update.told.complete = list.complete;
    if (!list.complete) return update;
    update.told.targets.clear();
    for (const auto& [id, member] : members_) tell(member, update);
    return update;
}

void View::erase_unnamed(const std::set<std::string>& named) {
    for (auto member = members_.begin(); member != members_.end();) {
        const auto next = std::next(member);
        if (!named.contains(member->first)) erase(member);
        member = next;
    }
}

/// True where it is Ready now.
bool View::put(const Target& target, Time now, Update& update) {
    const auto found = members_.find(target.id);
    if (target.condition == Condition::Gone) {
        update.told.targets.push_back(target);
        if (found != members_.end()) erase(found);
        return false;
    }
    Member member{target, false, false, {}, now};
    if (found != members_.end()) {
        const Member& before = found->second;
        member.stopped = before.stopped;
        member.stopped_at = before.stopped_at;
        if (before.target.condition == target.condition) member.told = before.told;
        if (before.target.up_since_ms != target.up_since_ms) update.restarted.push_back(target.id);
        if (target.condition == Condition::Draining) member.target.address = before.target.address;
        erase(found);
    }
    const bool ready = target.condition == Condition::Ready;
    if (ready) at_.emplace(target.address, target.id);
    const auto placed = members_.emplace(target.id, std::move(member)).first;
    tell(placed->second, update);
    return ready;
}

/// An entry about a known target that cannot be read may be the news of its drain.
void View::hold(const BadEntry& bad, Time now, Update& update) {
    const auto found = bad.id ? members_.find(*bad.id) : members_.end();
    const std::string name = bad.id ? *bad.id : "without an id";
    if (found == members_.end()) {
        update.remarks.push_back("passed over an entry " + name + ": " + bad.why);
        return;
    }
    if (bad.condition && *bad.condition != Condition::Ready) {
        Target target = found->second.target;
        target.condition = *bad.condition;
        put(target, now, update);
        return;
    }
    if (std::exchange(found->second.held, true)) return;
    update.remarks.push_back("nothing new goes to " + name + " until its entry can be read: " + bad.why);
    whole_needed_ = true;
    tell(found->second, update);
}

/// An address is one process's: where another target is told there, the one before it has gone from it,
/// unless the same answer names both.
void View::hold_others_at(const std::set<std::string>& named_ready, Update& update) {
    std::map<Tcp::endpoint, std::string> newcomers;  // one of each address: they are walked once
    for (const std::string& id : named_ready)        // one that a spoilt entry stops besides is none
        if (const auto member = members_.find(id);
            member != members_.end() && member->second.target.condition == Condition::Ready)
            newcomers.emplace(member->second.target.address, id);
    for (const auto& [address, id] : newcomers) {
        for (auto place = at_.lower_bound({address, ""}); place != at_.end() && place->first == address;
             ++place) {
            Member& other = members_.at(place->second);
            if (named_ready.contains(place->second) || std::exchange(other.held, true)) continue;
            update.remarks.push_back("nothing new goes to " + place->second + ": its address is told as " +
                                     id + "'s; the whole list is asked for");
            whole_needed_ = true;
            tell(other, update);
        }
    }
}

void View::release_stops(Time asked, Update& update) {
    std::erase_if(stopped_, [&](const std::string& id) {
        const auto found = members_.find(id);
        if (found == members_.end() || !found->second.stopped) return true;
        if (found->second.stopped_at > asked) return false;
        found->second.stopped = false;
        tell(found->second, update);
        return true;
    });
}

View::Update View::heed_stops(const TargetList& list, Time now, std::string remark) {
    Update update;
    if (!remark.empty()) update.remarks.push_back(std::move(remark));
    const auto stop = [&](const std::string& id) {
        const auto found = members_.find(id);
        if (found == members_.end() || found->second.target.condition != Condition::Ready) return;
        found->second.stopped_at = now;
        if (std::exchange(found->second.stopped, true)) return;
        stopped_.insert(id);
        update.heeded = true;
        update.remarks.push_back("nothing new goes to " + id + ": an answer that does not count stops it");
        tell(found->second, update);
    };
    for (const Target& target : list.targets)
        if (target.condition != Condition::Ready) stop(target.id);
    for (const BadEntry& bad : list.bad)
        if (bad.id && bad.condition && *bad.condition != Condition::Ready) stop(*bad.id);
    return update;
}

void View::erase(Members::iterator member) {
    at_.erase({member->second.target.address, member->first});
    members_.erase(member);
}

void View::tell(const Member& member, Update& update) const {
    update.told.targets.push_back(member.target);
    update.told.targets.back().condition = member.effective();
}

View::Gate View::gate(const std::string& id, const Tcp::endpoint& address, std::int64_t destination) const {
    const auto found = members_.find(id);
    if (found == members_.end()) return Gate::Gone;
    const Member& member = found->second;
    if (member.effective() != Condition::Ready) return Gate::Draining;
    if (member.target.destination != destination) return Gate::OtherDestination;
    return member.target.address == address ? Gate::Open : Gate::Moved;
}

std::optional<Target> View::current(const std::string& id) const {
    const auto found = members_.find(id);
    if (found == members_.end()) return std::nullopt;
    Target target = found->second.target;
    target.condition = found->second.effective();
    return target;
}

Json View::list() const {
    if (members_.empty()) return nullptr;
    Json members = Json::array();
    for (const auto& [id, member] : members_) members.push_back(json_of(member.target, member.effective()));
    return {{"revision", revision_.value_or(0)}, {"complete", revision_.has_value()},
        {"members", std::move(members)}};
}

std::optional<View::Time> View::told_at(const std::string& id) const {
    const auto found = members_.find(id);
    if (found == members_.end()) return std::nullopt;
    return found->second.stopped ? found->second.stopped_at : found->second.told;
}

const char* text_of(View::Gate gate) {
    switch (gate) {
        case View::Gate::Open:
            return "open";
        case View::Gate::Gone:
            return "gone";
        case View::Gate::Draining:
            return "drains";
        case View::Gate::Moved:
            return "moved to another address";
        case View::Gate::OtherDestination:
            return "moved to another destination";
    }
    return "?";
}

}  // namespace lockgw
