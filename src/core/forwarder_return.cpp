/// The forwarder coming back: under which terms, when and with which doubts it takes up what it owes.
#include <algorithm>
#include <utility>

#include "base/value_decay.hpp"
#include "core/clocks.hpp"
#include "core/forwarder.hpp"
#include "logging/log.hpp"
#include "spread/ring.hpp"

namespace lockgw {

using namespace cometspoke;

namespace {

/// What is left of a message's time; never more than its class has, whatever has become of the clocks.
Time time_left(const Message& message, const ClassSettings& terms, const Moment& now) {
    return std::min(time_until(message.deadline, now), terms.deadline);
}
/// How long ago an attempt began. Longer than the window of repeats where no clock can tell, for a repeat
/// after it would take effect twice.
Time age_of(const BegunAttempt& attempt, const ClassSettings& terms, const Moment& now) {
    return elapsed(attempt.since, now).value_or(terms.window + Time(1));
}

}  // namespace

/// The number of a class of the terms under which a message of an earlier process was taken on; a new one
/// where the settings have none like it any more.
std::optional<std::size_t> Forwarder::class_of(const Message& message) {
    auto& classes = config_.settings.classes;
    const auto named = config_.names.classes.find(message.message_class);
    if (!message.terms) {  // an older build wrote it
        if (named == config_.names.classes.end()) return std::nullopt;
        return named->second;
    }
    if (named != config_.names.classes.end() && classes[named->second] == *message.terms)
        return named->second;
    const auto alike = std::find(classes.begin(), classes.end(), *message.terms);
    if (alike == classes.end()) classes.push_back(*message.terms);
    return std::find(classes.begin(), classes.end(), *message.terms) - classes.begin();
}
bool Forwarder::class_in_use(std::size_t number) const {
    const ClassSettings& terms = config_.settings.classes[number];
    const auto bears = [&](const Message& one) {
        if (one.terms) return *one.terms == terms;
        const auto named = config_.names.classes.find(one.message_class);
        return named != config_.names.classes.end() && named->second == number;
    };
    for (const auto& [id, newcomer] : newcomers_)
        if (bears(newcomer.message)) return true;
    for (const auto& [id, entry] : journal_.entries())
        if (!entry.notice && bears(entry.message)) return true;
    return false;
}
/// What was learned before, and what peers know of it; before any message is taken up.
void Forwarder::come_back(bool handed_over) {
    const auto ordered = [this] {
        std::vector<recovery::Said> said;
        for (const std::string& id : orders_.now().all_out())
            said.push_back({recovery::Said::What::Out, spread::known_as(id), {}});
        return said;
    };
    recovery_.facts_for_peers = ordered;
    recovery_.start(handed_over, !orders_.now().all_out().empty() || !orders_.now().in_service());
    awaiting_orders_ = recovery_.awaiting_peers() && recovery_.orders_lost();
    apply_pause();
}

/// The asking is over: what operators had ordered here, as far as others know, is ordered again.
void Forwarder::heed_peers() {
    if (!asked_ && !recovery_.awaiting_peers()) {
        asked_ = true;
        awaiting_orders_ = false;
        apply_pause();
    }
    if (recovery_.awaiting_peers() || !recovery_.orders_lost() || recovery_.peer_facts().out.empty()) return;
    std::vector<std::string> out;
    directory_.each([&](EndpointId, const std::string& id) {
        const std::uint64_t name = spread::known_as(id);
        if (recovery_.peer_facts().out.contains(name) && heeded_.insert(name).second) out.push_back(id);
    });
    for (const std::string& id : out) {
        const auto answer = order({operations::Order::Kind::Offline, id});
        log::warn("return", "out by the word of peers", {{"target", id}, {"kept", answer.yes()}});
    }
}

/// What an earlier process owed is owed still, with what it knew of each attempt, under the same terms.
void Forwarder::take_up(bool at_once) {
    const std::size_t classes = config_.settings.classes.size();
    for (const Entry* entry : journal_.in_order())
        if (!entry->notice) class_of(entry->message);
    if (config_.settings.classes.size() > classes) observe(SettingsEvent{config_.settings});
    share_terms();
    const Moment now = moment_now();
    std::vector<recovery::Owed> owed;
    for (const Entry* entry : journal_.in_order()) {
        const Message& message = entry->message;
        if (entry->notice) {
            discovery_.report(message.id, *entry->notice);
            continue;
        }
        const auto kind = class_of(message);
        if (!kind) {  // the operator took the class away meanwhile, and its terms are not known
            end(message.id, {});
            continue;
        }
        const ClassSettings& terms = config_.settings.classes[*kind];
        recovery::Owed one{message.id, message.destination, 0, time_left(message, terms, now), {}, false};
        const Time born = one.left - terms.deadline;
        one.worth = one.left <= Time(0)
                        ? 0
                        : terms.worth * remaining_value(terms, config_.settings.loses_worth, born, Time(0));
        if (terms.sequential && !message.key.empty()) one.line = std::hash<std::string>()(message.key);
        const auto& doubt = entry->may_have_run();
        one.over =
            one.left <= Time(0) ||
            (doubt && (terms.effect == Effect::Fragile ||
                          (terms.effect == Effect::Dedup && age_of(*doubt, terms, now) > terms.window)));
        owed.push_back(one);
    }
    if (!at_once && config_.recovery.pace) return recovery_.set_backlog(std::move(owed));
    for (const auto& one : owed) take_up(*journal_.find(one.id));
}
void Forwarder::take_up(const Entry& entry) {
    const Message& message = entry.message;
    const Moment now = moment_now();
    const auto kind = class_of(message);
    if (!kind) return end(message.id, {});  // its class was taken away while it waited for its turn
    const ClassSettings& terms = config_.settings.classes[*kind];
    MessageEvent event;
    event.message = message.id;
    event.destination = message.destination;
    event.message_class = *kind;
    if (const auto tenant = tenants_.find(message.tenant); tenant != tenants_.end())
        event.tenant = tenant->second;
    // one that cannot be in time gets its final answer now, not when its time is up
    event.left = recovery_.cannot_meet_deadline(message.id) ? Time(0) : time_left(message, terms, now);
    event.route = route_of(message);
    event.attempts = entry.attempts;
    if (const auto& first = entry.may_have_run())
        event.doubt = MessageEvent::Doubt{age_of(*first, terms, now), directory_.number_of(first->target)};
    else if (recovery_.stale_folder_age())  // it may have been sent since the copy was made
        event.doubt = MessageEvent::Doubt{*recovery_.stale_folder_age(), {}};
    tell_module(event);
}
void Forwarder::take_up_due(Time now) {
    heed_peers();
    for (const MessageId id : recovery_.release_backlog(now))
        if (const Entry* entry = journal_.find(id); entry != nullptr && !entry->notice) take_up(*entry);
}

/// Of a message that an earlier process held and that nobody decides on any more.
void Forwarder::end(MessageId id, const FinalStatus& notice) {
    journal_.end(id, notice);
    discovery_.report(id, notice);
}

}  // namespace lockgw
