#include "admission/door.hpp"

#include <algorithm>
#include <utility>

namespace lockgw::admission {
namespace {

constexpr std::uint32_t kRegularUses = 3;                  // useful requests that make a regular
constexpr Span kStretch = std::chrono::milliseconds(250);  // over which closings are weighed against requests

constexpr double kTrialShare = 0.0625;   // of the unproved: those on trial
constexpr double kLeavingShare = 0.125;  // of the places: those that leave, before they are hurried

std::size_t share(std::size_t of, double part) {
    return std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(of) * part));
}

DoorLimits sound(DoorLimits limits) {
    limits.most = std::max<std::size_t>(limits.most, 4);
    limits.doorstep = std::clamp(limits.doorstep, 0.0, 0.5);
    limits.unproved = std::clamp(limits.unproved, 0.0, 1.0);
    return limits;
}

}  // namespace

const char* text_of(Class one) {
    static constexpr const char* texts[] = {
        "silent", "trial", "probed", "partly", "asked", "writing", "proved", "regular", "leaving"};
    return texts[static_cast<std::size_t>(one)];
}

Door::Door(const DoorLimits& limits)
    : limits_(sound(limits)),
      places_(limits_.most - share(limits_.most, limits_.doorstep)),
      most_unproved_(share(limits_.most, limits_.unproved)),
      most_trials_(share(most_unproved_, kTrialShare)),
      grace_(limits_.grace),
      rest_(limits_.least_rest) {}

std::size_t Door::room() const {
    if (count() >= limits_.most || unproved_ >= most_unproved_) return 0;
    return std::min(limits_.most - count(), most_unproved_ - unproved_);
}

/// Newcomers may have to be closed soon: else there is nothing to learn from them.
bool Door::is_short() const { return unproved_ * 2 >= most_unproved_ || count() >= places_; }

Ticket Door::enter(Owner source, Instant now) {
    latest_ = now;
    const Ticket ticket = ++last_;
    Record record;
    record.on_trial = is_short() && of(Class::Trial).size() < most_trials_;
    if (record.on_trial) record.now = Class::Trial;
    record.owner = record.next_owner = source;
    record.since = record.entered = now;
    record.place = of(record.now).add(ticket, source);
    records_.emplace(ticket, record);
    ++unproved_;
    return ticket;
}

void Door::move(Ticket ticket, Class to, Instant now) {
    Record& record = records_.at(ticket);
    latest_ = now;
    if (record.now == Class::Trial) record.pause = std::max(record.pause, now - record.since);
    of(record.now).remove(record.place, record.owner);
    if (record.now == Class::Partly && !record.proved) --partly_unproved_;
    record.owner = record.next_owner;
    record.now = to;
    record.since = now;
    record.place = of(to).add(ticket, record.owner);
    if (to == Class::Partly && !record.proved) ++partly_unproved_;
}

void Door::began(Ticket ticket, Instant now) {
    // the time for a command runs from its first byte, not from its latest
    if (records_.at(ticket).now != Class::Partly) move(ticket, Class::Partly, now);
}
void Door::asked(Ticket ticket, Instant now) { move(ticket, Class::Asked, now); }
void Door::answering(Ticket ticket, Instant now) { move(ticket, Class::Writing, now); }
void Door::leaves(Ticket ticket, Instant now) {
    Record& record = records_.at(ticket);
    move(ticket, Class::Leaving, now);
    if (!std::exchange(record.proved, true)) --unproved_;  // it counts with neither from now on
}
void Door::told_tenant(Ticket ticket, Owner tenant) { records_.at(ticket).next_owner = tenant; }

void Door::rests(Ticket ticket, bool useful, Instant now) {
    Record& record = records_.at(ticket);
    if (useful) {
        ++served_, ++stretch_served_;
        if (!record.proved) --unproved_;
        record.proved = true;
        if (std::exchange(record.on_trial, false)) grace_.asked(record.pause, now);
        record.uses = std::min(record.uses + 1, kRegularUses);
    }
    move(ticket,
        still_on_trial(record, now)   ? Class::Trial
        : !record.proved              ? Class::Probed
        : record.uses >= kRegularUses ? Class::Regular
                                      : Class::Proved,
        now);
    demote(now);
}

/// One that has asked for nothing useful yet may go on, but not for good: its place on trial is for others.
bool Door::still_on_trial(Record& record, Instant now) {
    if (!record.on_trial) return false;
    const bool too_long = now - record.entered >= grace_.longest();
    if (too_long) grace_.never(grace_.longest(), now);
    record.on_trial = !too_long && of(Class::Trial).size() < most_trials_;
    return record.on_trial;
}

/// Regulars beyond their share become merely proved: whoever was useful long ago makes way for who is now.
void Door::demote(Instant now) {
    while (of(Class::Regular).size() > share(places_, limits_.regular_share)) {
        const Ticket ticket = of(Class::Regular).oldest();
        records_.at(ticket).uses = 0;
        move(ticket, Class::Proved, now);
    }
}

void Door::left(Ticket ticket, bool for_room) {
    const auto found = records_.find(ticket);
    if (found == records_.end()) return;
    const Record& record = found->second;
    of(record.now).remove(record.place, record.owner);
    if (record.on_trial)  // one that asked for nothing useful has taken as much of the place as a silent one
        grace_.never(record.now == Class::Trial ? latest_ - record.entered : grace_.longest(), latest_);
    if (!record.proved) --unproved_;
    if (!record.proved && record.now == Class::Partly) --partly_unproved_;
    if (record.proved && for_room && record.now != Class::Leaving) ++closed_proved_, ++stretch_closed_;
    records_.erase(found);
}

bool Door::rested(Ticket ticket, Span least, Instant now) const {
    return now - records_.at(ticket).since >= least;
}

/// The oldest; of an owner that holds more than its share, where there are others.
Ticket Door::first_to_go(const Crowd& crowd) const {
    const bool crowded = crowd.owners() > 1 && crowd.heaviest() > share(crowd.size(), limits_.owner_share);
    return crowded ? crowd.oldest_of_heaviest() : crowd.oldest();
}

std::optional<Door::Farewell> Door::named(Class from, Span least, Instant now) const {
    const Crowd& crowd = of(from);
    if (crowd.empty()) return std::nullopt;
    const Ticket ticket = first_to_go(crowd);
    if (rested(ticket, least, now)) return Farewell{ticket, from, true};
    // that owner's first may be younger than another's
    if (rested(crowd.oldest(), least, now)) return Farewell{crowd.oldest(), from, true};
    return std::nullopt;
}

std::optional<Door::Farewell> Door::unproved_to_go(Instant now) const {
    // commands that come a byte at a time must not take all of this share
    const bool many_halves = partly_unproved_ * 2 > most_unproved_;
    if (many_halves)
        if (const auto one = named(Class::Partly, partly_grace(), now)) return one;
    if (const auto one = named(Class::Silent, grace_.now(), now)) return one;
    if (const auto one = named(Class::Probed, grace_.now(), now)) return one;
    if (const auto one = named(Class::Partly, partly_grace(), now)) return one;
    return named(Class::Trial, grace_.longest(), now);
}

/// Least useful first, by who rests longest. Where all were served just now, one that was served in passing
/// goes: to close the others for it would only have them come again.
std::optional<Door::Farewell> Door::proved_to_go(Instant now) const {
    if (const auto one = named(Class::Proved, rest_, now)) return one;
    if (const auto one = named(Class::Regular, 4 * rest_, now)) return one;
    if (!of(Class::Proved).empty()) return Farewell{of(Class::Proved).newest(), Class::Proved, true};
    if (!of(Class::Regular).empty()) return Farewell{of(Class::Regular).oldest(), Class::Regular, true};
    return std::nullopt;
}

std::optional<Door::Farewell> Door::for_room(Instant now) {
    latest_ = now;
    pace(now);
    grace_.age(now);
    // those that leave are given time to read their last answer, as long as they are few
    const std::size_t leaving = of(Class::Leaving).size(), staying = count() - leaving;
    const bool full = staying > places_, crowded = unproved_ >= most_unproved_;
    if (leaving > 0 && (count() >= limits_.most || leaving > share(places_, kLeavingShare)))
        return Farewell{of(Class::Leaving).oldest(), Class::Leaving, true};
    if (!full && !crowded) return std::nullopt;
    // a place of the proved ones is given up for one that has asked, never for one that may yet ask
    if (staying - unproved_ > places_) return proved_to_go(now);
    return unproved_to_go(now);
}

/// Where a good part of the requests costs a closing, those that rest are left alone longer.
void Door::pace(Instant now) {
    if (now - stretch_ < kStretch) return;
    if (stretch_closed_ * 2 > stretch_served_ && stretch_closed_ > 0)
        rest_ = std::min(rest_ * 2, limits_.most_rest);
    else
        rest_ = std::max(rest_ / 2, limits_.least_rest);
    stretch_ = now;
    stretch_served_ = stretch_closed_ = 0;
}

std::optional<Door::Farewell> Door::overdue(Instant now) const {
    // of those that ask for nothing all count; they never shorten the rest of those that were useful
    const std::size_t enough = share(limits_.most, limits_.short_from);
    const bool is_short = count() > enough, proved_short = count() - unproved_ > enough;
    const std::pair<Class, Span> spans[] = {{Class::Silent, limits_.silent}, {Class::Trial, limits_.silent},
        {Class::Partly, limits_.partly}, {Class::Writing, limits_.unread}, {Class::Leaving, limits_.leaving},
        {Class::Probed, is_short ? limits_.idle_probed : limits_.idle},
        {Class::Proved, proved_short ? limits_.idle_once : limits_.idle},
        {Class::Regular, proved_short ? limits_.idle_regular : limits_.idle}};
    for (const auto& [from, span] : spans)
        if (!of(from).empty() && rested(of(from).oldest(), span, now))
            return Farewell{of(from).oldest(), from, false};
    return std::nullopt;
}

std::optional<Ticket> Door::first(Class one) const {
    if (of(one).empty()) return std::nullopt;
    return first_to_go(of(one));
}

std::optional<Ticket> Door::first_of(Class one, Owner owner) const {
    return of(one).has(owner) ? std::optional(of(one).oldest_of(owner)) : std::nullopt;
}

std::optional<Door::Farewell> Door::hand_on() const {
    for (const Class from : {Class::Silent, Class::Trial, Class::Probed, Class::Proved, Class::Regular})
        if (!of(from).empty()) return Farewell{of(from).oldest(), from, false};
    return std::nullopt;
}

}  // namespace lockgw::admission
