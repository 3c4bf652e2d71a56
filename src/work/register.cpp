#include "work/register.hpp"

#include <algorithm>

#include "base/splitmix64.hpp"
#include "work/bytes.hpp"

namespace lockgw::work {
namespace {

constexpr std::uint8_t kVersion = 1;
using Kind = Message::Kind;

void put_ballot(std::string& to, const Ballot& ballot) { put(to, ballot.round), put(to, ballot.by); }
Ballot take_ballot(Reader& from) {
    Ballot ballot;
    ballot.round = from.take<std::uint32_t>(), ballot.by = from.take<Number>();
    return ballot;
}
bool has_of(Kind kind) {
    return kind == Kind::Promise || kind == Kind::Refused || kind == Kind::Recovered ||
           kind == Kind::PlanPart;
}
bool has_digest(Kind kind) {
    return kind == Kind::PlanAsk || kind == Kind::PlanPart || kind == Kind::Recovered;
}
bool has_value(Kind kind) {
    return kind == Kind::Promise || kind == Kind::Accept || kind == Kind::Chosen || kind == Kind::Recovered ||
           kind == Kind::PlanPart;
}

}  // namespace

std::string bytes_of(const Message& message) {
    std::string out;
    put(out, kVersion), put(out, static_cast<std::uint8_t>(message.kind)), put(out, message.electorate);
    put_ballot(out, message.ballot);
    if (has_of(message.kind)) put_ballot(out, message.of);
    if (has_digest(message.kind)) put(out, message.digest);
    if (has_value(message.kind)) out += message.value;
    return out;
}

std::optional<Message> message_of(std::string_view bytes) {
    Reader from(bytes);
    Message message;
    if (from.take<std::uint8_t>() != kVersion) return std::nullopt;
    const auto kind = from.take<std::uint8_t>();
    if (kind < 1 || kind > static_cast<std::uint8_t>(Kind::PlanPart)) return std::nullopt;
    message.kind = static_cast<Kind>(kind);
    message.electorate = from.take<std::uint32_t>();
    message.ballot = take_ballot(from);
    if (has_of(message.kind)) message.of = take_ballot(from);
    if (has_digest(message.kind)) message.digest = from.take<std::uint64_t>();
    if (has_value(message.kind)) message.value = std::string(from.take_bytes(from.rest().size()));
    if (!from.ended()) return std::nullopt;
    // a state is read here, so that nothing that is none goes any further
    if (has_value(message.kind) && message.kind != Kind::PlanPart && !message.value.empty() &&
        !state_of(message.value))
        return std::nullopt;
    const bool needs = message.kind == Kind::Accept || message.kind == Kind::Chosen;
    if ((needs && message.value.empty()) || message.value.size() > kMostState) return std::nullopt;
    return message;
}

std::vector<Number> voters_of(std::size_t members) {
    const std::size_t count = std::min(members, kMostVoters);
    std::vector<Number> voters;
    for (std::size_t i = 0; i < count; ++i) voters.push_back(static_cast<Number>(i * members / count));
    return voters;
}
std::uint32_t electorate_of(std::size_t members, const std::vector<Number>& voters) {
    std::uint64_t all = splitmix64(members);
    for (const Number one : voters) all = splitmix64(all ^ one);
    return static_cast<std::uint32_t>(all);
}

std::optional<Message> Voter::heard(const Message& message, bool& changed, Time now) {
    Message answer;
    answer.electorate = message.electorate, answer.ballot = message.ballot;
    if (message.kind == Kind::Recover) {
        answer.kind = Kind::Recovered, answer.digest = is_.joined;
        answer.ballot = is_.promised, answer.of = is_.accepted, answer.value = is_.value;
        return answer;
    }
    if (!is_.joined) return std::nullopt;
    const bool waits = message.kind == Kind::Prepare && message.ballot.by > is_.promised.by && busy(now);
    if (message.ballot < is_.promised || waits) {
        answer.kind = Kind::Refused, answer.of = is_.promised;
        return answer;
    }
    changed = is_.promised != message.ballot;
    is_.promised = message.ballot;
    if (message.kind == Kind::Prepare) {
        if (changed) busy_until_ = now + kBusy;
        answer.kind = Kind::Promise, answer.of = is_.accepted, answer.value = is_.value;
        return answer;
    }
    changed = changed || is_.accepted != message.ballot || is_.value != message.value;
    is_.accepted = message.ballot, is_.value = message.value;
    answer.kind = Kind::Accepted;
    return answer;
}

bool Voter::recovered(Number from, const Message& message, std::size_t voters, bool first) {
    if (is_.joined || message.kind != Kind::Recovered) return false;
    told_[from] = {message.digest == 1, message.ballot, message.of, message.value};
    const auto joined = static_cast<std::size_t>(
        std::count_if(told_.begin(), told_.end(), [](const auto& one) { return one.second.joined; }));
    const bool none =
        std::all_of(told_.begin(), told_.end(), [](const auto& one) { return one.second.value.empty(); });
    if (joined < majority_of(voters) && !(first && none && told_.size() + 1 >= voters)) return false;
    for (const auto& [who, told] : told_) {
        is_.promised = std::max(is_.promised, told.promised);
        if (told.accepted > is_.accepted) is_.accepted = told.accepted, is_.value = told.value;
    }
    told_.clear();
    return is_.joined = true;
}
void Voter::join(const Ballot& ballot, std::string value) {
    is_.joined = true;
    if (ballot > is_.accepted) is_.accepted = ballot, is_.value = std::move(value);
    is_.promised = std::max(is_.promised, is_.accepted);
    told_.clear();
}

Message Proposer::begin(std::uint32_t after) {
    ballot_ = {std::max(seen_, after) + 1, own_};
    seen_ = ballot_.round;
    phase_ = Phase::Preparing;
    newest_of_ = {}, newest_.clear(), with_.clear();
    Message message;
    message.kind = Kind::Prepare, message.ballot = ballot_;
    return message;
}

Proposer::Came Proposer::heard(Number from, const Message& message) {
    if (phase_ == Phase::Idle || message.ballot != ballot_) return Came::Nothing;
    if (message.kind == Kind::Refused) {
        if (message.of < ballot_)
            return Came::Nothing;  // another is on its way there: asked again, it may be through
        seen_ = std::max(seen_, message.of.round);
        phase_ = Phase::Idle;
        return Came::Refused;
    }
    if (message.kind == Kind::Promise && phase_ == Phase::Preparing) {
        if (message.of > newest_of_) newest_of_ = message.of, newest_ = message.value;
        with_.insert(from);
        return with_.size() == majority_of(voters_) ? Came::Promised : Came::Nothing;
    }
    if (message.kind == Kind::Accepted && phase_ == Phase::Accepting) {
        with_.insert(from);
        if (with_.size() < majority_of(voters_)) return Came::Nothing;
        phase_ = Phase::Idle;
        return Came::Chosen;
    }
    return Came::Nothing;
}

Message Proposer::accept(std::string value) {
    phase_ = Phase::Accepting;
    with_.clear();
    proposed_ = std::move(value);
    Message message;
    message.kind = Kind::Accept, message.ballot = ballot_, message.value = proposed_;
    return message;
}

std::optional<Message> Proposer::again() const {
    if (phase_ == Phase::Idle) return std::nullopt;
    Message message;
    message.kind = phase_ == Phase::Preparing ? Kind::Prepare : Kind::Accept, message.ballot = ballot_;
    if (phase_ == Phase::Accepting) message.value = proposed_;
    return message;
}

std::string Proposer::fingerprint() const {
    std::string out;
    put(out, static_cast<std::uint8_t>(phase_)), put(out, seen_);
    if (phase_ == Phase::Idle) return out;
    put(out, ballot_.round), put(out, newest_of_.round), put(out, newest_of_.by);
    out += newest_ + '/' + proposed_ + '/';
    for (const Number one : with_) put(out, one);
    return out;
}

}  // namespace lockgw::work
