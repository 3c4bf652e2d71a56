#include "work/crew.hpp"

#include <algorithm>

#include "base/splitmix64.hpp"
#include "work/bytes.hpp"

namespace lockgw::work {
namespace {

using What = Change::What;
using Kind = Message::Kind;
constexpr std::uint8_t kVersion = 1;
constexpr int kFresh = 2;  // rounds in which something new is told to three

void put_long(std::string& to, std::string_view bytes) {
    put(to, static_cast<std::uint16_t>(bytes.size()));
    to.append(bytes);
}
std::string take_long(Reader& from) { return std::string(from.take_bytes(from.take<std::uint16_t>())); }
void put_ballot(std::string& to, const Ballot& ballot) { put(to, ballot.round), put(to, ballot.by); }
Ballot take_ballot(Reader& from) {
    Ballot ballot;
    ballot.round = from.take<std::uint32_t>(), ballot.by = from.take<Number>();
    return ballot;
}
Time stretched(Time span, double times) {
    return Time(static_cast<Time::rep>(static_cast<double>(span.count()) * times));
}
/// Above all that earlier processes of this member have begun, also where their record is lost: a ballot that
/// came twice could have two values. As long as the tier settles on fewer changes a second in the long run.
std::uint32_t first_round(std::uint32_t process) {
    constexpr std::uint64_t kRoundsPerSecond = 16;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(process * kRoundsPerSecond, 0xf0000000));
}
bool in(const std::vector<Number>& all, Number one) {
    return std::find(all.begin(), all.end(), one) != all.end();
}

}  // namespace

const char* text_of(Crew::Phase phase) {
    constexpr const char* kTexts[] = {"serving", "leaving", "working", "returning"};
    return kTexts[static_cast<std::size_t>(phase)];
}

Crew::Crew(const CrewSettings& settings, std::string_view stored, Time now)
    : settings_(settings),
      voters_(voters_of(settings.members)),
      electorate_(electorate_of(settings.members, voters_)),
      proposer_(settings.own, voters_.size()),
      round_(first_round(settings.process)),
      changed_at_(now),
      random_(splitmix64(settings.seed ^ settings.own)) {
    if (stored.empty()) return;
    Reader from(stored);
    const auto version = from.take<std::uint8_t>();
    const auto electorate = from.take<std::uint32_t>(), round = from.take<std::uint32_t>();
    Voter::Stored vote;
    vote.joined = from.take<std::uint8_t>() == 1;
    vote.promised = take_ballot(from), vote.accepted = take_ballot(from);
    vote.value = take_long(from);
    const Ballot of = take_ballot(from);
    const std::string value = take_long(from);
    Own own;
    own.fence = from.take<std::uint32_t>();
    own.phase = static_cast<Phase>(from.take<std::uint8_t>() & 3);
    own.process = from.take<std::uint32_t>(), own.fails = from.take<std::uint8_t>() == 1;
    const std::string plan = take_long(from);
    const auto state = value.empty() ? std::optional(State()) : state_of(value);
    if (version != kVersion || !from.ended() || !state) {
        read_ = false;
        return;
    }
    round_ = std::max(round_, round);
    // what was promised to other voters is worth nothing to these, and these know nothing of it: a person
    // decides
    if (electorate == electorate_) voter_ = Voter(vote);
    state_ = *state, state_of_ = of, value_ = value, own_ = own;
    if (!plan.empty()) take_in_plan(plan);
}

std::string Crew::stored() {
    std::string out;
    put(out, kVersion), put(out, electorate_), put(out, round_);
    const Voter::Stored& vote = voter_.stored();
    put(out, static_cast<std::uint8_t>(vote.joined));
    put_ballot(out, vote.promised), put_ballot(out, vote.accepted), put_long(out, vote.value);
    put_ballot(out, state_of_), put_long(out, value_);
    put(out, own_.fence), put(out, static_cast<std::uint8_t>(own_.phase));
    put(out, own_.process), put(out, static_cast<std::uint8_t>(own_.fails));
    put_long(out, plan_bytes_);
    changed_ = false;
    return out;
}

std::uint64_t Crew::random() { return random_ = splitmix64(random_); }
Time Crew::drawn(Time most) {
    return Time(
        static_cast<Time::rep>(random() % static_cast<std::uint64_t>(std::max<Time::rep>(1, most.count()))));
}
bool Crew::votes() const { return in(voters_, settings_.own); }

Facts Crew::facts(const Sight& sight) const {
    Facts facts;
    facts.own = settings_.own, facts.members = settings_.members;
    facts.plan = plan_ ? &*plan_ : nullptr;
    facts.voters = voters_;
    facts.sure = sight.sure, facts.minute = sight.minute;
    facts.lost.assign(sight.gone.begin(), sight.gone.end());
    facts.lost.insert(facts.lost.end(), sight.lost.begin(), sight.lost.end());
    facts.left = sight.left;
    return facts;
}

void Crew::send(Number to, Message message) {
    message.electorate = electorate_;
    out_.push_back({to, std::move(message)});
}
void Crew::send_to_voters(const Message& message) {
    for (const Number one : voters_) send(one, message);  // to itself as well: it is stored first there too
}
void Crew::tell_chosen(Number to) {
    if (value_.empty() || to == settings_.own) return;
    Message message;
    message.kind = Kind::Chosen, message.ballot = state_of_, message.value = value_;
    send(to, message);
}

// ---- what comes ----

void Crew::heard(Number from, const Message& message, Time now) {
    if (message.electorate != electorate_) return void(++counts_.foreign);
    switch (message.kind) {
        case Kind::Prepare:
        case Kind::Accept:
            proposer_.saw(message.ballot.round);
            [[fallthrough]];
        case Kind::Recover: {
            if (!votes()) return;
            bool changed = false;
            const auto answer = voter_.heard(message, changed, now);
            changed_ = changed_ || changed;
            if (answer) send(from, *answer);
            return;
        }
        case Kind::Promise:
        case Kind::Accepted:
        case Kind::Refused: {
            const auto came = proposer_.heard(from, message);
            if (came == Proposer::Came::Promised) promised_ = true;
            if (came == Proposer::Came::Refused) ++counts_.refused, back_off(now);
            if (came == Proposer::Came::Chosen) {
                ++counts_.chosen;
                learn(proposer_.ballot(), proposer_.proposed(), now);
                settled(refusal_.empty(), refusal_);
            }
            return;
        }
        case Kind::Recovered:
            if (votes() && voter_.recovered(from, message, voters_.size(), state_.version == 0))
                changed_ = true;
            return;
        case Kind::Chosen: {
            const auto theirs = state_of(message.value);
            if (!theirs) return;
            if (theirs->version < state_.version) return tell_chosen(from);
            learn(message.ballot, message.value, now);
            return;
        }
        case Kind::Ask:
            return tell_chosen(from);
        case Kind::Let:
            let_[message.ballot.round].insert(from);
            return;
        case Kind::PlanAsk: {
            if (!plan_ || message.digest != state_.plan) return;
            const std::size_t at = std::size_t{message.ballot.round} * kPlanPart;
            if (at >= plan_bytes_.size()) return;
            Message part;
            part.kind = Kind::PlanPart, part.digest = message.digest;
            part.ballot.round = message.ballot.round;
            part.of.round = static_cast<std::uint32_t>((plan_bytes_.size() + kPlanPart - 1) / kPlanPart);
            part.value = plan_bytes_.substr(at, kPlanPart);
            return send(from, part);
        }
        case Kind::PlanPart: {
            if (plan_ || message.digest != state_.plan || message.of.round == 0 ||
                message.of.round > kMostPlanBytes / kPlanPart + 1 || message.ballot.round >= message.of.round)
                return;
            if (parts_of_ != message.of.round) parts_.clear(), parts_of_ = message.of.round;
            parts_[message.ballot.round] = message.value;
            if (parts_.size() < parts_of_) return;
            std::string all;
            for (const auto& [at, bytes] : parts_) all += bytes;
            parts_.clear();
            if (digest_of(all) == state_.plan) take_in_plan(all);
            return;
        }
    }
}

/// Versions are those of one chain: a higher one is later.
void Crew::learn(const Ballot& ballot, const std::string& value, Time now) {
    const auto state = state_of(value);
    if (!state || state->version <= state_.version) return;
    const bool other = state->plan != state_.plan;
    state_ = *state, state_of_ = ballot, value_ = value;
    proposer_.saw(ballot.round);  // the next one of this member begins above it
    changed_ = true, changed_at_ = now, fresh_ = kFresh;
    if (other) parts_.clear(), parts_of_ = 0;
    if (other && plan_ && digest_of(plan_bytes_) != state_.plan)
        plan_.reset(), plan_bytes_.clear(), order_.clear();
    if (other && wanted_ && wanted_->change.what == What::Plan && wanted_->change.plan == state_.plan)
        take_in_plan(wanted_->plan);
    release_old();
}

void Crew::take_in_plan(const std::string& bytes) {
    auto plan = plan_of(bytes);
    if (!plan) return;
    plan_ = std::move(plan), plan_bytes_ = bytes;
    order_ = order_of(*plan_, digest_of(bytes));
    changed_ = true;
    release_old();
}

/// What is kept by grants that are over is dropped.
void Crew::release_old() {
    const auto old = [this](const auto& one) {
        return std::none_of(state_.outs.begin(), state_.outs.end(),
            [&one](const Out& out) { return out.fence == one.first; });
    };
    std::erase_if(seen_, old), std::erase_if(let_, old), std::erase_if(let_told_, old);
    targets_out_.clear();
    for (const Out& out : state_.outs)
        if (const auto at = plan_ ? plan_->index_of(out.machine) : std::nullopt)
            targets_out_.insert(plan_->machines[*at].targets.begin(), plan_->machines[*at].targets.end());
}

// ---- what it does by itself ----

Change Crew::about(What what, const Out& out) {
    Change change;
    change.what = what, change.machine = out.machine, change.fence = out.fence, change.term = out.term;
    return change;
}
bool Crew::wishes(What what, Machine machine) const {
    const auto same = [&](const Wanted& one) {
        return one.change.what == what && one.change.machine == machine;
    };
    return (wanted_ && same(*wanted_)) || std::any_of(queue_.begin(), queue_.end(), same);
}
void Crew::wish(const Change& change) {
    if (!wishes(change.what, change.machine)) queue_.push_back({change, 0, {}, {}});
}

std::optional<Time> Crew::lease_left(std::uint32_t fence, Time now) const {
    const auto from = leases_.find(fence);
    if (from == leases_.end() || !plan_) return std::nullopt;
    return from->second + plan_->each - now;
}

/// A grant of its own is renewed in time.
void Crew::hold_on(const Out& out, Time now) {
    if (out.phase == Out::Phase::Overdue || out.phase == Out::Phase::Broken) return;
    const auto left = lease_left(out.fence, now);
    if (!left || *left < plan_->each * 2 / 3) wish(about(What::Renew, out));
}

bool Crew::may_still_go(const Sight& sight) const {
    State without = state_;
    std::erase_if(without.outs, [this](const Out& one) { return one.machine == settings_.own; });
    return refused(without, settings_.own, facts(sight)).empty();
}

void Crew::look_at_own(const Sight& sight, Time now) {
    const Own before = own_;
    const Out* out = state_.out(settings_.own);
    if (out == nullptr) {
        // the grant is over, whoever ended it
        if (away()) own_.phase = Phase::Returning;
        if (own_.phase == Phase::Returning && sight.warm) own_ = {};
        if (own_.phase == Phase::Serving) own_ = {};
        if (own_.fence != 0) leases_.erase(own_.fence);
    } else if (plan_) {
        if (own_.fence != out->fence) own_ = {out->fence, Phase::Serving, 0, false};
        const auto left = lease_left(out->fence, now);
        const bool holds = plan_->overdue == Overdue::Out ? left.has_value() || own_.phase != Phase::Serving
                                                          : left && *left > settings_.margin;
        const bool task = plan_->task == Task::Restart ? restarted() : sight.over.contains(settings_.own);
        hold_on(*out, now);
        if (away() && !task && (!holds || (state_.mode == Mode::Cancelled && own_.phase == Phase::Leaving)))
            own_.phase = Phase::Returning, own_.fails = true;
        if (own_.phase == Phase::Serving && holds) {
            // it may have been stopped since it was granted: what was lost meanwhile counts
            if (out->forced || may_still_go(sight))
                own_.phase = Phase::Leaving;
            else
                wish(about(What::Back, *out));
        }
        if (own_.phase == Phase::Leaving && sight.drained)
            own_.phase = Phase::Working, own_.process = settings_.process;
        if (own_.phase == Phase::Working && task) own_.phase = Phase::Returning, own_.fails = false;
        if (own_.phase == Phase::Working && sight.broken.contains(settings_.own) &&
            out->phase != Out::Phase::Broken)
            wish(about(What::Broken, *out));
        if (own_.phase == Phase::Returning && sight.serves && sight.warm)
            wish(about(own_.fails ? What::Back : What::Done, *out));
    }
    changed_ = changed_ || before.fence != own_.fence || before.phase != own_.phase ||
               before.fails != own_.fails || before.process != own_.process;
}

bool Crew::first_alive(Machine machine, const Sight& sight) const {
    const auto weight = [machine](Number one) { return splitmix64(splitmix64(machine) ^ one); };
    for (Number one = 0; one < settings_.members; ++one)
        if (one != settings_.own && weight(one) > weight(settings_.own) && !in(sight.gone, one)) return false;
    return true;
}

void Crew::look_at_hosts(const Sight& sight, Time now) {
    if (!plan_) return;
    for (const Out& out : state_.outs) {
        if (!is_host(out.machine)) continue;
        const bool let = sight.let_go && sight.let_go(out.machine);
        if (out.steward != settings_.own) {
            if (in(sight.gone, out.steward) && first_alive(out.machine, sight)) wish(about(What::Renew, out));
            const auto told = let_told_.find(out.fence);
            if (out.phase != Out::Phase::Leaving || !let ||
                (told != let_told_.end() && now - told->second < settings_.tells))
                continue;
            let_told_[out.fence] = now;
            Message message;
            message.kind = Kind::Let, message.ballot.round = out.fence;
            send(out.steward, message);
            continue;
        }
        hold_on(out, now);
        auto& all = let_[out.fence];
        let ? void(all.insert(settings_.own)) : void(all.erase(settings_.own));
        bool everybody = true;
        for (Number one = 0; one < settings_.members; ++one)
            everybody = everybody && (all.contains(one) || in(sight.long_gone, one));
        if (out.phase == Out::Phase::Leaving && state_.mode == Mode::Cancelled)
            wish(about(What::Back, out));
        else if (out.phase == Out::Phase::Leaving && everybody)
            wish(about(What::Free, out));
        else if (sight.over.contains(out.machine))
            wish(about(What::Done, out));
        else if (sight.broken.contains(out.machine) && out.phase != Out::Phase::Broken)
            wish(about(What::Broken, out));
    }
}

/// Others' grants whose time is over by this one's clock. One of them says so, mostly: each a little later.
void Crew::look_at_leases(const Sight& sight, Time now) {
    if (!plan_) return;
    for (const Out& out : state_.outs) {
        auto [at, fresh] = seen_.try_emplace(out.fence, out.term, now);
        if (!fresh && at->second.first != out.term) at->second = {out.term, now};
        const bool own = out.steward == settings_.own;
        if (own || !sight.sure || out.phase == Out::Phase::Overdue || out.phase == Out::Phase::Broken)
            continue;
        const Time apart(
            static_cast<Time::rep>(splitmix64(out.fence ^ splitmix64(settings_.own)) % 2'000'000));
        if (now - at->second.second > stretched(plan_->each, kPatience) + settings_.margin + apart)
            wish(about(What::Expire, out));
    }
}

void Crew::look_at_plan(Time now) {
    if (state_.plan == 0 || plan_ || now < asked_at_ + settings_.answer / 4) return;
    asked_at_ = now;
    // parts that are missing, each from somebody
    int asked = 0;
    for (std::uint32_t i = 0; i < std::max<std::uint32_t>(1, parts_of_) && asked < 6; ++i) {
        if (parts_.contains(i)) continue;
        const auto from = static_cast<Number>(random() % settings_.members);
        if (from == settings_.own) continue;
        Message message;
        message.kind = Kind::PlanAsk, message.ballot.round = i, message.digest = state_.plan;
        send(from, message), ++asked;
    }
}

Crew::Order Crew::order(const Sight& sight, Time now) const {
    Order order;
    if (!plan_ || state_.mode != Mode::Approved) {
        order.waits = plan_ ? std::string("the plan is ") + text_of(state_.mode) : "there is no plan";
        return order;
    }
    State after = state_;
    const Facts known = facts(sight);
    // who does not go though it may (out by hand, of an older build) holds the others up for a while only
    auto skips = (now - changed_at_) / settings_.passed_over;
    for (const Machine machine : order_) {
        const auto place = plan_->index_of(machine);
        if (state_.is_done(*place) || state_.out(machine) != nullptr) continue;
        if (!is_host(machine) && in(sight.gone, machine)) continue;
        const std::string why = refused(after, machine, known);
        if (!why.empty()) {
            if (order.waits.empty()) order.waits = why;
            if (after.outs.size() >= std::min<std::size_t>(plan_->most_out, kMostOut)) break;
            continue;
        }
        order.next.push_back(machine);
        if (skips > 0)
            --skips;
        else
            after.outs.push_back({machine, 0, 0, 0, Out::Phase::Leaving});
    }
    return order;
}

void Crew::take_turn(const Sight& sight, Time now) {
    if (wanted_ || !queue_.empty() || !plan_ || state_.mode != Mode::Approved || now < not_before_) return;
    for (const Machine machine : order(sight, now).next) {
        const bool mine = is_host(machine) ? first_alive(machine, sight)
                                           : machine == settings_.own && sight.serves && own_.fence == 0;
        if (!mine) continue;
        Change change;
        change.what = What::Take, change.machine = machine;
        return wish(change);
    }
}

std::map<Machine, std::uint32_t> Crew::to_work_on() const {
    std::map<Machine, std::uint32_t> all;
    if (own_.phase == Phase::Working) all.emplace(settings_.own, own_.fence);
    for (const Out& out : state_.outs)
        if (is_host(out.machine) && out.steward == settings_.own && out.phase != Out::Phase::Leaving)
            all.emplace(out.machine, out.fence);
    return all;
}

void Crew::tick(const Sight& sight, Time now) {
    look_at_plan(now);
    look_at_own(sight, now);
    look_at_hosts(sight, now);
    look_at_leases(sight, now);
    take_turn(sight, now);
    go_on(sight, now);
    if (votes() && !voter_.stored().joined && (told_at_ == Time(0) || now - told_at_ >= settings_.tells)) {
        Message message;
        message.kind = Kind::Recover;
        for (const Number one : voters_)
            if (one != settings_.own) send(one, message);
        // of one alone nobody else can know anything
        if (voters_.size() == 1) voter_.join({}, {}), changed_ = true;
    }
    if (settings_.members < 2) return;
    const bool due = told_at_ == Time(0) || now - told_at_ >= settings_.tells;
    if (!due && fresh_ == 0) return;
    const bool starts = told_at_ == Time(0);
    if (due) told_at_ = now;
    if (fresh_ > 0) --fresh_;
    for (int i = fresh_ > 0 || starts ? 3 : 1; i > 0; --i) {
        const auto to = static_cast<Number>(random() % settings_.members);
        if (to == settings_.own) continue;
        if (value_.empty() || starts) {
            Message message;
            message.kind = Kind::Ask;
            send(to, message);
        } else {
            tell_chosen(to);
        }
    }
}

std::string Crew::fingerprint(Time now) const {
    std::string out = value_ + '|' + voter_.stored().value + '|' + proposer_.fingerprint() + '|';
    const auto age = [&](Time when) { put(out, static_cast<std::int64_t>((now - when).count() / 1000)); };
    put_ballot(out, voter_.stored().promised), put_ballot(out, voter_.stored().accepted);
    put(out, static_cast<std::uint8_t>(voter_.stored().joined)), put(out, round_);
    put(out, static_cast<std::uint8_t>(voter_.busy(now)));
    put(out, own_.fence), put(out, static_cast<std::uint8_t>(own_.phase)), put(out, own_.process);
    put(out, static_cast<std::uint8_t>(own_.fails)), put(out, static_cast<std::uint8_t>(plan_.has_value()));
    for (const auto& [fence, from] : leases_) put(out, fence), age(from);
    for (const auto& [fence, seen] : seen_) put(out, fence), put(out, seen.first), age(seen.second);
    for (const auto& [fence, all] : let_) {
        put(out, fence);
        for (const Number one : all) put(out, one);
    }
    const auto wanted = [&out](const Wanted& one) {
        put(out, static_cast<std::uint8_t>(one.change.what)), put(out, one.change.machine);
        put(out, one.change.fence), put(out, one.change.term);
    };
    if (wanted_) wanted(*wanted_), age(wanted_->begun.value_or(now));
    for (const Wanted& one : queue_) wanted(one);
    age(changed_at_), age(began_), age(std::min(now, not_before_)), put(out, tries_), put(out, promised_);
    return out;
}

}  // namespace lockgw::work
