// Applies a long full list in batches: first its entries in their order (stops first), then the invalid
// entries, then the removal of members that the list does not name. Each batch yields changes, and only for
// targets that differ. The result is the same as with apply_list(): a list's own Ready targets never suspend
// one another (see TargetView::suspend_others_at_address), and every remaining member is named by the list.
#include <algorithm>
#include <utility>

#include "discovery/target_view.hpp"

namespace lockgw {

using cometspoke::Condition;

namespace {

bool same_entry(const Target& a, const Target& b) {
    return a.address == b.address && a.zone == b.zone && a.kind == b.kind && a.destination == b.destination &&
           a.rate == b.rate && a.up_since_ms == b.up_since_ms && a.condition == b.condition;
}

}  // namespace

void sort_stops_first(TargetList& list) {
    const auto ready = std::stable_partition(list.targets.begin(), list.targets.end(),
        [](const Target& target) { return target.condition != Condition::Ready; });
    std::stable_partition(list.targets.begin(), ready,
        [](const Target& target) { return target.condition == Condition::Draining; });
}

TargetView::Update TargetView::begin_batches(const ListRequest& request, TargetList list, Time now) {
    const bool had_full_list = has_full_list_;
    std::string reset_warning;
    if (auto rejected = check_revision(request, list, now, reset_warning)) return std::move(*rejected);
    has_full_list_ = had_full_list;
    batched_list_ =
        std::make_shared<BatchedList>(BatchedList{std::move(list), request.sent_at, now, 0, 0, {}, {}});
    batched_list_->listed.reserve(batched_list_->list.targets.size() + batched_list_->list.invalid.size());
    Update update;
    update.accepted = update.more_follows = true;
    if (!reset_warning.empty()) update.warnings.push_back(reset_warning);
    return update;
}

TargetView::Update TargetView::apply_batch(std::size_t max_entries) {
    Update update;
    update.accepted = update.more_follows = true;
    update.list.revision = batched_list_->list.revision;
    std::size_t processed = 0;
    for (; processed < max_entries && batched_list_->next_target < batched_list_->list.targets.size();
         ++processed)
        apply_entry(batched_list_->next_target++, update);
    for (; processed < max_entries && batched_list_->next_invalid < batched_list_->list.invalid.size();
         ++processed) {
        const InvalidEntry entry = batched_list_->list.invalid[batched_list_->next_invalid++];
        if (entry.id)
            batched_list_->listed.try_emplace(*entry.id, BatchedList::Listed{Condition::Ready, true});
        suspend(entry, batched_list_->received_at, update);
    }
    if (processed < max_entries && erase_unlisted(max_entries - processed, update)) {
        clear_superseded_stops(batched_list_->requested_at, update);
        has_full_list_ = true;
        update.more_follows = false;
        finished_list_ = std::exchange(batched_list_, nullptr);
    }
    update.changed = !update.list.targets.empty() || !update.more_follows;
    return update;
}

/// Applies one entry. Returns false if it changes nothing.
bool TargetView::apply_entry(std::size_t index, Update& update) {
    Target& target = batched_list_->list.targets[index];
    std::string error;
    const auto known = members_.find(target.id);
    const auto earlier = batched_list_->listed.find(target.id);
    const bool known_before =
        earlier == batched_list_->listed.end() ? known != members_.end() : earlier->second.known_before;
    if (!has_known_names(target, error)) {
        if (target.condition == Condition::Ready || known == members_.end() || !known_before) {
            batched_list_->list.invalid.push_back({target.id, target.condition, error});
            return false;
        }
        target.zone = known->second.target.zone;  // a stopping entry needs no valid names
        target.kind = known->second.target.kind;
    }
    if (earlier == batched_list_->listed.end()) {
        batched_list_->listed.emplace(target.id, BatchedList::Listed{target.condition, known_before});
    } else {
        update.warnings.push_back(
            "two entries for " + target.id + " in one list: the stopping one takes effect");
        Condition& listed_condition = earlier->second.condition;
        if (listed_condition != Condition::Ready && target.condition != Condition::Gone) return false;
        listed_condition = target.condition;
    }
    if (known != members_.end() && !known->second.suspended && same_entry(known->second.target, target))
        return false;
    upsert(target, batched_list_->received_at, update);
    return true;
}

/// Removes members that the list does not name, checking at most `max_entries`. Returns true once all were
/// checked.
bool TargetView::erase_unlisted(std::size_t max_entries, Update& update) {
    auto member =
        batched_list_->checked_up_to ? members_.upper_bound(*batched_list_->checked_up_to) : members_.begin();
    for (; member != members_.end() && max_entries > 0; --max_entries) {
        batched_list_->checked_up_to = member->first;
        const auto next = std::next(member);
        if (!batched_list_->listed.contains(member->first)) {
            Target gone = member->second.target;
            gone.condition = Condition::Gone;
            update.list.targets.push_back(std::move(gone));
            erase(member);
        }
        member = next;
    }
    return member == members_.end();
}

}  // namespace lockgw
