/// Forwarder: recovery after a restart. Which settings the messages of the journal are held under, when they
/// are passed to the module, and which of their attempts may have run.
#include <algorithm>
#include <utility>

#include "base/value_decay.hpp"
#include "core/clocks.hpp"
#include "core/forwarder.hpp"
#include "logging/log.hpp"
#include "subsetting/hash_ring.hpp"

namespace lockgw {

using namespace cometspoke;

namespace {

/// The time left until a message's deadline. Never more than the deadline of its class, even if a clock was
/// set meanwhile.
Time time_left(const Message& message, const ClassSettings& terms, const Moment& now) {
    return std::min(time_until(message.deadline, now), terms.deadline);
}
/// How long ago an attempt began. If no clock can tell, an age just beyond the deduplication window, because
/// a repeat after the window would take effect twice.
Time age_of(const BegunAttempt& attempt, const ClassSettings& terms, const Moment& now) {
    return elapsed(attempt.since, now).value_or(terms.window + Time(1));
}

}  // namespace

/// The number of the class whose settings equal those under which the message was accepted by an earlier
/// process. Adds a class if the settings have no such class any more. None if the message was recorded
/// without its settings and its class no longer exists.
std::optional<std::size_t> Forwarder::class_number_of(const Message& message) {
    auto& classes = config_.settings.classes;
    const auto named = config_.names.classes.find(message.message_class);
    if (!message.terms) {  // recorded by an older build
        if (named == config_.names.classes.end()) return std::nullopt;
        return named->second;
    }
    if (named != config_.names.classes.end() && classes[named->second] == *message.terms)
        return named->second;
    const auto equal = std::find(classes.begin(), classes.end(), *message.terms);
    if (equal == classes.end()) classes.push_back(*message.terms);
    return std::find(classes.begin(), classes.end(), *message.terms) - classes.begin();
}
/// Whether a held or submitted message was accepted under the settings of this class.
bool Forwarder::class_in_use(std::size_t number) const {
    const ClassSettings& terms = config_.settings.classes[number];
    const auto uses = [&](const Message& message) {
        if (message.terms) return *message.terms == terms;
        const auto named = config_.names.classes.find(message.message_class);
        return named != config_.names.classes.end() && named->second == number;
    };
    for (const auto& [id, submitted] : submitted_)
        if (uses(submitted.message)) return true;
    for (const auto& [id, entry] : journal_.entries())
        if (entry.owed() && uses(entry.message)) return true;
    return false;
}
/// Starts the recovery, before any message is resumed: loads the snapshot of what the previous process had
/// learned, and asks the peers for what they know. Until they have answered, no attempt begins if operators'
/// orders are lost: a peer may know that a target is out.
void Forwarder::start_recovery(bool handed_over) {
    const auto targets_out = [this] {
        std::vector<recovery::Said> statements;
        for (const std::string& id : orders_.now().all_out())
            statements.push_back({recovery::Said::What::Out, subsetting::gossip_id(id), {}});
        return statements;
    };
    recovery_.facts_for_peers = targets_out;
    recovery_.start(handed_over, !orders_.now().all_out().empty() || !orders_.now().in_service());
    paused_for_peer_orders_ = recovery_.awaiting_peers() && recovery_.orders_lost();
    apply_pause();
}

/// Once the peers have answered or their time is over, attempts may begin. If this forwarder's orders are
/// lost, targets that peers know to be out by its operators' orders are taken out again.
void Forwarder::apply_peer_state() {
    if (!peer_state_applied_ && !recovery_.awaiting_peers()) {
        peer_state_applied_ = true;
        paused_for_peer_orders_ = false;
        apply_pause();
    }
    if (recovery_.awaiting_peers() || !recovery_.orders_lost() || recovery_.peer_facts().out.empty()) return;
    std::vector<std::string> out;
    directory_.for_each([&](EndpointId, const std::string& id) {
        const std::uint64_t name = subsetting::gossip_id(id);
        if (recovery_.peer_facts().out.contains(name) && out_by_peers_.insert(name).second) out.push_back(id);
    });
    for (const std::string& id : out) {
        const auto answer = execute_order({operations::Order::Kind::Offline, id});
        log::warn(
            "return", "target taken out as reported by peers", {{"target", id}, {"kept", answer.yes()}});
    }
}

/// The final status that an earlier process has recorded. Earlier builds refused keyed messages that may have
/// run; such a message has failed: handing it in again may do harm.
FinalStatus Forwarder::owed_status(const Entry& entry) const {
    if (!entry.notice->refused || !entry.may_have_run()) return *entry.notice;
    const ClassSettings* terms = entry.message.terms.get();
    if (const auto named = config_.names.classes.find(entry.message.message_class);
        terms == nullptr && named != config_.names.classes.end())
        terms = &config_.settings.classes[named->second];
    const bool repeatable = terms != nullptr && terms->effect == Effect::Retryable;
    return repeatable ? *entry.notice : FinalStatus{};
}

/// Takes over the messages that an earlier process held, under the same class settings and with what is known
/// of their attempts. `at_once`: all of them now, as after a hand-over; otherwise the recovery releases them
/// over time, if pacing is on.
void Forwarder::recover_messages(bool at_once) {
    const std::size_t classes = config_.settings.classes.size();
    for (const Entry* entry : journal_.in_order())
        if (entry->owed()) class_number_of(entry->message);
    if (config_.settings.classes.size() > classes) observe(SettingsEvent{config_.settings});
    update_class_terms();
    const Moment now = moment_now();
    std::vector<recovery::Owed> backlog;
    for (const Entry* entry : journal_.in_order()) {
        const Message& message = entry->message;
        if (entry->notice) {
            discovery_.report_final_status(message.id, owed_status(*entry));
            continue;
        }
        if (entry->unconfirmed) {  // nothing more can be learned; the report changes nothing if it was
                                   // delivered
            end_message(message.id, {});
            continue;
        }
        const auto message_class = class_number_of(message);
        if (!message_class) {  // the class was removed meanwhile, and its settings are not known
            end_message(message.id, {});
            continue;
        }
        const ClassSettings& terms = config_.settings.classes[*message_class];
        recovery::Owed item{message.id, message.destination, 0, time_left(message, terms, now), {}, false};
        const Time accepted_at = item.left - terms.deadline;
        item.worth = item.left <= Time(0) ? 0
                                          : terms.worth * remaining_value(terms, config_.settings.loses_worth,
                                                              accepted_at, Time(0));
        if (terms.sequential && !message.key.empty()) item.line = std::hash<std::string>()(message.key);
        const auto& doubt = entry->may_have_run();
        item.over =
            item.left <= Time(0) ||
            (doubt && (terms.effect == Effect::Fragile ||
                          (terms.effect == Effect::Dedup && age_of(*doubt, terms, now) > terms.window)));
        backlog.push_back(item);
    }
    if (!at_once && config_.recovery.pace) {
        recovery_.set_backlog(std::move(backlog));
    } else {
        for (const auto& item : backlog) resume_message(*journal_.find(item.id));
    }
    report_ended();
}
/// Passes a message of an earlier process to the module, with what is known of its attempts.
void Forwarder::resume_message(const Entry& entry) {
    const Message& message = entry.message;
    const Moment now = moment_now();
    const auto message_class = class_number_of(message);
    if (!message_class) return end_message(message.id, {});  // its class was removed while it waited
    const ClassSettings& terms = config_.settings.classes[*message_class];
    MessageEvent event;
    event.message = message.id;
    event.destination = message.destination;
    event.message_class = *message_class;
    if (const auto tenant = tenant_numbers_.find(message.tenant); tenant != tenant_numbers_.end())
        event.tenant = tenant->second;
    // a message that cannot be delivered in time gets its final status now, not at its deadline
    event.left = recovery_.cannot_meet_deadline(message.id) ? Time(0) : time_left(message, terms, now);
    event.route = route_of(message);
    event.attempts = entry.attempts;
    if (const auto& first = entry.may_have_run())
        event.doubt = MessageEvent::Doubt{age_of(*first, terms, now), directory_.number_of(first->target)};
    else if (recovery_.stale_folder_age())  // a restored copy: the message may have been sent since
        event.doubt = MessageEvent::Doubt{*recovery_.stale_folder_age(), {}};
    notify_module(event);
}
/// Resumes the messages that the pacing of the backlog releases now.
void Forwarder::resume_released_messages(Time now) {
    apply_peer_state();
    for (const MessageId id : recovery_.release_backlog(now))
        if (const Entry* entry = journal_.find(id); entry != nullptr && entry->owed()) resume_message(*entry);
}

/// Ends a message that the module does not know: records its final status, which report_ended() reports.
void Forwarder::end_message(MessageId id, const FinalStatus& status) {
    journal_.end(id, status, moment_now());
    ended_.emplace_back(id, status);
}
/// Reports the final statuses of end_message(). To be called once they are in the journal: a process that is
/// killed behind a report must find at its next start that the message is over.
void Forwarder::report_ended() {
    for (const auto& [id, status] : std::exchange(ended_, {})) discovery_.report_final_status(id, status);
}

}  // namespace lockgw
