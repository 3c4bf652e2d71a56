// An answer is first accepted or rejected as a whole, by its agent epoch, its revision and the time of its
// request. An accepted answer is applied entry by entry in the order of the list, except that of two entries
// for one id the stopping one takes effect. A rejected answer can only stop targets, never release or move
// them. Such a stop lasts until an answer that was requested later is accepted: it contains whatever the
// rejected one may have said.
#include "discovery/target_view.hpp"

#include <algorithm>
#include <utility>

namespace lockgw {

using cometspoke::Condition;

Condition TargetView::Member::effective_condition() const {
    return target.condition == Condition::Ready && (stopped || suspended) ? Condition::Draining
                                                                          : target.condition;
}

TargetView::TargetView(std::set<std::string> zones, std::set<std::string> kinds)
    : zones_(std::move(zones)), kinds_(std::move(kinds)) {}

bool TargetView::has_known_names(const Target& target, std::string& error) const {
    if (!target.zone.empty() && !zones_.contains(target.zone)) error = "unknown zone " + target.zone;
    if (!target.kind.empty() && !kinds_.contains(target.kind)) error = "unknown kind " + target.kind;
    return error.empty();
}

/// The list with at most one entry for each id. Entries with unknown names become invalid ones.
TargetList TargetView::normalized(const TargetList& list, Update& update) const {
    TargetList normalized;
    normalized.revision = list.revision;
    normalized.complete = list.complete;
    normalized.invalid = list.invalid;
    std::map<std::string, std::size_t> position;
    for (const Target& entry : list.targets) {
        std::string error;
        Target target = entry;
        if (!has_known_names(target, error)) {
            const auto known = members_.find(target.id);
            if (target.condition == Condition::Ready || known == members_.end()) {
                normalized.invalid.push_back({target.id, target.condition, error});
                continue;
            }
            target.zone = known->second.target.zone;  // a stopping entry needs no valid names
            target.kind = known->second.target.kind;
        }
        const auto [found, inserted] = position.emplace(target.id, normalized.targets.size());
        if (inserted) {
            normalized.targets.push_back(std::move(target));
            continue;
        }
        update.warnings.push_back(
            "two entries for " + target.id + " in one list: the stopping one takes effect");
        Target& previous = normalized.targets[found->second];
        if (previous.condition == Condition::Ready || target.condition == Condition::Gone)
            previous = std::move(target);
    }
    return normalized;
}

TargetView::Update TargetView::apply_known_list(const TargetList& list, Time now, bool amendable) {
    if (has_full_list_) return {};
    if (amendable && list.complete && !list.targets.empty() && list.invalid.empty()) {
        revision_ = list.revision;
        full_list_needed_ = false;
    }
    TargetList full_list = list;
    full_list.complete = true;
    return apply_list(full_list, now, now);
}

void TargetView::switch_agent() {
    ++agent_epoch_;
    revision_.reset();
    full_list_needed_ = true;
    last_accepted_at_.reset();
    revision_reset_at_ = {};
}

TargetView::Update TargetView::apply_answer(const ListRequest& request, const TargetList& list, Time now) {
    std::string reset_warning;
    if (auto rejected = check_revision(request, list, now, reset_warning)) return std::move(*rejected);
    Update update = apply_list(list, request.sent_at, now);
    if (!reset_warning.empty()) update.warnings.push_back(reset_warning);
    return update;
}

/// Decides whether an answer is accepted. Returns the result of an answer that is rejected or contains
/// nothing new. Returns none if the answer is accepted and has to be applied; its revision is then recorded.
/// A reset of the agent's revisions is described in `reset_warning`.
std::optional<TargetView::Update> TargetView::check_revision(
    const ListRequest& request, const TargetList& list, Time now, std::string& reset_warning) {
    if (request.agent_epoch != agent_epoch_) return Update{};
    const bool requested_later = !last_accepted_at_ || request.sent_at >= last_answer_at_;
    const auto rejected = [&](const char* reason) {
        full_list_needed_ = true;
        return apply_stops_only(list, now,
            std::string(reason) + ": revision " + std::to_string(list.revision) + ", have " +
                (revision_ ? std::to_string(*revision_) : "none") + "; the full list is requested");
    };
    if (request.sent_at < revision_reset_at_)
        return rejected("an answer to a request from before the agent reset its revisions");
    if (list.complete) {
        if (revision_ && list.revision < *revision_) {
            if (!requested_later) return rejected("a late full list");
            revision_reset_at_ = now;
            reset_warning = "the agent has reset its revisions: revision " + std::to_string(list.revision) +
                            " after " + std::to_string(*revision_);
        }
        has_full_list_ = true;
        full_list_needed_ = false;
    } else {
        if (!revision_ || !request.from_revision) return rejected("changes instead of the full list");
        if (list.revision < *request.from_revision)
            return rejected("changes with a revision below the requested one");
        if (*request.from_revision > *revision_)
            return rejected("changes from a revision that is not known here");
        // an answer that was accepted before contains all of it
        if (list.revision <= *revision_ && !requested_later) {
            Update already_applied;
            already_applied.accepted = true;
            return already_applied;
        }
        // the changes build on a full list, perhaps one from before this process started
        has_full_list_ = true;
    }
    revision_ = list.complete ? list.revision : std::max(*revision_, list.revision);
    last_answer_at_ = now;
    last_accepted_at_ = now;
    return std::nullopt;
}

TargetView::Update TargetView::apply_partial_answer(
    const ListRequest& request, const TargetList& entries, Time now) {
    if (request.agent_epoch != agent_epoch_) return {};
    return apply_stops_only(entries, now, "");
}

TargetView::Update TargetView::apply_list(const TargetList& list, Time requested_at, Time now) {
    Update update;
    update.accepted = update.changed = true;
    const TargetList entries = normalized(list, update);
    std::set<std::string> listed, ready;
    for (const Target& target : entries.targets) {
        listed.insert(target.id);
        if (upsert(target, now, update)) ready.insert(target.id);
    }
    for (const InvalidEntry& entry : entries.invalid) {
        if (entry.id) listed.insert(*entry.id);
        suspend(entry, now, update);
    }
    if (list.complete) erase_unlisted(listed);
    suspend_others_at_address(ready, update);
    clear_superseded_stops(requested_at, update);
    update.list.revision = list.revision;
    update.list.complete = list.complete;
    if (!list.complete) return update;
    update.list.targets.clear();
    for (const auto& [id, member] : members_) append_target(member, update);
    return update;
}

void TargetView::erase_unlisted(const std::set<std::string>& listed) {
    for (auto member = members_.begin(); member != members_.end();) {
        const auto next = std::next(member);
        if (!listed.contains(member->first)) erase(member);
        member = next;
    }
}

/// Inserts or replaces a target. Returns true if it is Ready now.
bool TargetView::upsert(const Target& target, Time now, Update& update) {
    const auto found = members_.find(target.id);
    if (target.condition == Condition::Gone) {
        update.list.targets.push_back(target);
        if (found != members_.end()) erase(found);
        return false;
    }
    Member member{target, stops_.contains(target.id), false, now};
    if (found != members_.end()) {
        const Member& previous = found->second;
        if (previous.target.condition == target.condition) member.condition_since = previous.condition_since;
        if (previous.target.up_since_ms != target.up_since_ms) update.restarted_ids.push_back(target.id);
        if (target.condition == Condition::Draining) member.target.address = previous.target.address;
        erase(found);
    }
    const bool ready = target.condition == Condition::Ready;
    if (ready) ready_by_address_.emplace(target.address, target.id);
    const auto placed = members_.emplace(target.id, std::move(member)).first;
    append_target(placed->second, update);
    return ready;
}

/// Handles an invalid entry. That of a known target may be its drain: the target gets the condition of the
/// entry if it can be read and is not Ready, and is suspended otherwise.
void TargetView::suspend(const InvalidEntry& entry, Time now, Update& update) {
    const auto found = entry.id ? members_.find(*entry.id) : members_.end();
    const std::string name = entry.id ? *entry.id : "without an id";
    if (found == members_.end()) {
        update.warnings.push_back("ignored an entry " + name + ": " + entry.error);
        return;
    }
    if (entry.condition && *entry.condition != Condition::Ready) {
        Target target = found->second.target;
        target.condition = *entry.condition;
        upsert(target, now, update);
        return;
    }
    if (std::exchange(found->second.suspended, true)) return;
    update.warnings.push_back("no new calls go to " + name + " until its entry can be read: " + entry.error);
    full_list_needed_ = true;
    append_target(found->second, update);
}

/// An address belongs to one process. If another target is listed at an address, the target that had it
/// before is suspended, unless the same answer lists both.
void TargetView::suspend_others_at_address(const std::set<std::string>& listed_ready, Update& update) {
    std::map<Tcp::endpoint, std::string> new_owners;  // one for each address is enough
    for (const std::string& id : listed_ready)        // not Ready if an invalid entry stops it as well
        if (const auto member = members_.find(id);
            member != members_.end() && member->second.target.condition == Condition::Ready)
            new_owners.emplace(member->second.target.address, id);
    for (const auto& [address, id] : new_owners) {
        for (auto position = ready_by_address_.lower_bound({address, ""});
             position != ready_by_address_.end() && position->first == address; ++position) {
            Member& other = members_.at(position->second);
            if (listed_ready.contains(position->second) || std::exchange(other.suspended, true)) continue;
            update.warnings.push_back("no new calls go to " + position->second +
                                      ": its address is listed for " + id + "; the full list is requested");
            full_list_needed_ = true;
            append_target(other, update);
        }
    }
}

void TargetView::clear_superseded_stops(Time requested_at, Update& update) {
    std::erase_if(stops_, [&](const auto& stop) {
        const auto& [id, stopped_at] = stop;
        if (stopped_at > requested_at) return false;
        const auto found = members_.find(id);
        if (found == members_.end()) return true;
        found->second.stopped = false;
        append_target(found->second, update);
        return true;
    });
}

/// Returns false if there is no room for the stop.
bool TargetView::remember_stop(const std::string& id, Time now, Update& update) {
    const bool has_room = members_.contains(id) || stops_.size() < members_.size() + kMaxUnlistedStops;
    if (!has_room && !stops_.contains(id)) {
        update.warnings.push_back("ignored the stop of " + id + ": too many stops of unlisted targets");
        return false;
    }
    stops_.insert_or_assign(id, now);
    return true;
}

TargetView::Update TargetView::apply_stops_only(const TargetList& list, Time now, std::string warning) {
    Update update;
    if (!warning.empty()) update.warnings.push_back(std::move(warning));
    const auto stop = [&](const std::string& id) {
        if (!remember_stop(id, now, update)) return;
        const auto found = members_.find(id);
        if (found == members_.end() || std::exchange(found->second.stopped, true)) return;
        if (found->second.target.condition != Condition::Ready) return;
        update.changed = true;
        update.warnings.push_back("no new calls go to " + id + ": a rejected or incomplete answer stops it");
        append_target(found->second, update);
    };
    for (const Target& target : list.targets)
        if (target.condition != Condition::Ready) stop(target.id);
    for (const InvalidEntry& entry : list.invalid)
        if (entry.id && entry.condition && *entry.condition != Condition::Ready) stop(*entry.id);
    return update;
}

void TargetView::erase(Members::iterator member) {
    ready_by_address_.erase({member->second.target.address, member->first});
    members_.erase(member);
}

void TargetView::append_target(const Member& member, Update& update) const {
    update.list.targets.push_back(member.target);
    update.list.targets.back().condition = member.effective_condition();
}

TargetView::SendCheck TargetView::check_send(
    const std::string& id, const Tcp::endpoint& address, std::int64_t destination) const {
    const auto found = members_.find(id);
    if (found == members_.end()) return SendCheck::Gone;
    const Member& member = found->second;
    if (member.effective_condition() != Condition::Ready) return SendCheck::Draining;
    if (member.target.destination != destination) return SendCheck::OtherDestination;
    return member.target.address == address ? SendCheck::Allowed : SendCheck::Moved;
}

std::optional<Target> TargetView::find(const std::string& id) const {
    const auto found = members_.find(id);
    if (found == members_.end()) return std::nullopt;
    Target target = found->second.target;
    target.condition = found->second.effective_condition();
    return target;
}

Json TargetView::list_json() const {
    if (members_.empty()) return nullptr;
    Json members = Json::array();
    for (const auto& [id, member] : members_)
        members.push_back(target_json(member.target, member.effective_condition()));
    return {{"revision", revision_.value_or(0)}, {"complete", revision_.has_value()},
        {"members", std::move(members)}};
}

std::optional<TargetView::Time> TargetView::condition_since(const std::string& id) const {
    const auto found = members_.find(id);
    if (found == members_.end()) return std::nullopt;
    const Member& member = found->second;
    const bool stopped_only = member.stopped && member.target.condition == Condition::Ready;
    return stopped_only ? stops_.at(id) : member.condition_since;
}

const char* text_of(TargetView::SendCheck check) {
    switch (check) {
        case TargetView::SendCheck::Allowed:
            return "open";
        case TargetView::SendCheck::Gone:
            return "gone";
        case TargetView::SendCheck::Draining:
            return "drains";
        case TargetView::SendCheck::Moved:
            return "moved to another address";
        case TargetView::SendCheck::OtherDestination:
            return "moved to another destination";
    }
    return "?";
}

}  // namespace lockgw
