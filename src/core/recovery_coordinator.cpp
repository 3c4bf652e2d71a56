#include "core/recovery_coordinator.hpp"

#include <fcntl.h>

#include <algorithm>
#include <cerrno>
#include <fstream>
#include <iterator>

#include "base/write_all.hpp"
#include "core/clocks.hpp"
#include "logging/log.hpp"
#include "policy/state.hpp"
#include "subsetting/hash_ring.hpp"

namespace lockgw {

using cometspoke::EndpointId;
using cometspoke::Time;
using namespace recovery;
using namespace std::chrono_literals;

namespace {

constexpr const char* kLearned = "learned";         // in the folder that lasts
constexpr Time kLook{1'000'000}, kMark{5'000'000};  // between looks; a snapshot is also a sign of life
constexpr Time::rep kLookShare = 100;               // of the time, a look takes at most one part in so many
constexpr Time kLeastWait{20'000};                  // a shorter one is over before any other process runs
constexpr Time kFutureWait{60'000'000};             // of a wait that lies in the future: at most
constexpr Time kYoung{5'000'000};
constexpr Time kTogether{2'000'000};            // who came back within this came back together
constexpr std::size_t kAsked = 3, kEnough = 2;  // peers
constexpr std::size_t kMostRoom = 512 * 1024;

}  // namespace

std::size_t snapshot_room(std::size_t disk_bytes) { return std::min(kMostRoom, disk_bytes / 24); }

RecoveryCoordinator::RecoveryCoordinator(
    asio::io_context& io, Parts parts, Tell tell, std::function<void()> due)
    : parts_(parts),
      tell_(std::move(tell)),
      due_(std::move(due)),
      look_(io),
      wake_(io),
      ask_(io),
      random_(parts.config.seed ^ mixed(static_cast<std::uint64_t>(unix_ms()))),
      bytes_(parts.config.recovery.bytes_per_s, 4),
      started_(steady_now()) {}

void RecoveryCoordinator::start(bool handed_over, bool orders) {
    handed_over_ = handed_over;
    if (parts_.config.recovery.snapshots) read();
    tell_lost(orders);
    const Moment now = moment_now();
    for (const auto& [target, wait] : parts_.journal.waits()) {
        const auto age = elapsed(wait.told, now);
        // from the future: nobody knows how much of it has passed
        const Time left = age ? wait.span - *age : std::min(wait.span, kFutureWait);
        if (left > Time(0)) waits_.emplace(target, now.steady + left);
    }
    listed();
    if (parts_.tier.on()) {
        parts_.tier.other([this](tier::Number from, const notes::Section& one) { heard(from, one); });
        if (!handed_over && parts_.config.recovery.ask_ms > 0) ask();
    }
    if (parts_.config.recovery.snapshots) look();
}

void RecoveryCoordinator::read() {
    const auto path = parts_.config.state / kLearned;
    std::ifstream stream(path, std::ios::binary);
    if (!stream) return;
    const std::string bytes{std::istreambuf_iterator<char>(stream), {}};
    const Read found = snapshot_of(bytes);
    if (!found.snapshot) return log::warn("return", "what was learned is not read", {{"why", found.why}});
    mark_ = found.snapshot->at;
    valid_facts_ = valid_facts(*found.snapshot, moment_now());
    if (!handed_over_) pending_ = valid_facts_.facts;
    log::info("return", "believes",
        {{"facts", valid_facts_.valid}, {"dropped", valid_facts_.dropped},
            {"age_ms", valid_facts_.age ? valid_facts_.age->count() / 1000 : -1}});
}

/// What was there, and is not: one line, whatever it is.
void RecoveryCoordinator::tell_lost(bool orders) {
    const auto& was = valid_facts_.facts;
    journal_lost_ = mark_ && was.held > 0 && !parts_.journal.found();
    orders_lost_ = !handed_over_ && !orders && (!mark_ || was.orders);
    learned_lost_ = !mark_ && parts_.journal.found() && parts_.config.recovery.snapshots;
    empty_ = !mark_ && !parts_.journal.found();
    if (journal_lost_ || (mark_ && was.orders && !orders) || (learned_lost_ && !handed_over_))
        log::warn("return", "a part of the folder is lost",
            {{"journal", journal_lost_}, {"messages", journal_lost_ ? was.held : 0},
                {"orders", mark_ && was.orders && !orders}, {"learned", learned_lost_}});
    if (mark_ && !valid_facts_.age)
        log::warn("return", "the clock has gone back: nothing learned is believed", {});
}

void RecoveryCoordinator::listed() {
    if (waits_.empty() && pending_.targets.empty() && pending_.destinations.empty()) return;
    const Time now = steady_now();
    std::map<std::string, EndpointId> to;
    parts_.directory.for_each([&](EndpointId number, const std::string& id) { to.emplace(id, number); });
    const auto& state = parts_.sender.state();
    cometspoke::LearnedEvent event = event_of(pending_, to, now);
    for (auto wait = waits_.begin(); wait != waits_.end();) {
        const auto number = to.find(wait->first);
        const auto kept = parts_.journal.waits().find(wait->first);
        std::optional<EndpointId> at;
        if (number != to.end()) at = number->second;
        if (!at &&
            kept != parts_.journal.waits().end())  // others of its destination share it, where routes do
            if (const auto home = state.destinations_.find(kept->second.destination);
                home != state.destinations_.end() && !home->second.endpoints.empty())
                at = *home->second.endpoints.begin();
        const auto endpoint = at ? state.endpoints_.find(*at) : state.endpoints_.end();
        const bool may = endpoint != state.endpoints_.end() &&
                         (number != to.end() || !state.has_own_route(endpoint->second));
        if (may && wait->second > now) {
            event.endpoints.push_back({*at, endpoint->second.destination, wait->second, {}, {}});
            ++waits_held_;
        }
        // one that stands for another's stays, for the target itself may still come
        wait = wait->second <= now || (may && number != to.end()) ? waits_.erase(wait) : std::next(wait);
    }
    learned_ += event.endpoints.size();
    tell_(event);
    if (now - started_ > kOutageHolds) return void(pending_ = {});
    std::erase_if(pending_.targets, [&](const TargetFact& one) { return to.contains(one.id); });
    std::erase_if(pending_.destinations,
        [&](const DestinationFact& one) { return state.destinations_.contains(one.number); });
}

void RecoveryCoordinator::wait_told(EndpointId endpoint, std::int64_t destination, Time span) {
    const std::string* name = parts_.directory.name_of(endpoint);
    if (span < kLeastWait || name == nullptr) return;
    const Moment now = moment_now();
    const auto& kept = parts_.journal.waits();
    if (const auto before = kept.find(*name);
        before != kept.end() && before->second.told.boot == now.boot &&
        before->second.told.steady + before->second.span >= now.steady + span)
        return;  // it is to be left alone for longer already
    parts_.journal.wait_told(*name, {destination, span, now});
}

// ---- what is owed ----

void RecoveryCoordinator::owe(std::vector<Owed> owed) {
    BacklogPacingSettings settings;
    // who came back with it nobody knows, until peers have told (asking_over)
    settings.together = std::max<std::size_t>(1, parts_.config.settings.n_instances);
    settings.most = std::max<std::size_t>(2, parts_.config.settings.slots);
    if (valid_facts_.facts.usual_s > 0)
        settings.usual = Time(static_cast<Time::rep>(valid_facts_.facts.usual_s * 1e6));
    owes_ = !owed.empty();
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    backlog_ = BacklogPacing(settings, std::move(owed), draw, steady_now());
    if (owes_)
        log::info("return", "owes",
            {{"messages", backlog_.owed()}, {"begins_in_ms", (backlog_.begins() - started_).count() / 1000}});
    due_();
}

std::vector<MessageId> RecoveryCoordinator::take_up(Time now) {
    if (!owes_ || asking()) return {};
    std::vector<MessageId> all = backlog_.release(now, hurry_);
    if (backlog_.phase() == BacklogPacing::Phase::Full) {
        owes_ = false;
        full_after_ = now - started_;
        log::info("return", "full",
            {{"after_ms", full_after_->count() / 1000}, {"messages", backlog_.owed()},
                {"refusals", backlog_.refusals()}});
    }
    wake();
    return all;
}

void RecoveryCoordinator::wake() {
    const auto next = backlog_.next();
    if (!owes_ || !next) return;
    wake_.expires_at(std::chrono::steady_clock::time_point(*next));
    wake_.async_wait([this](auto cancelled) {
        if (!cancelled) due_();
    });
}

void RecoveryCoordinator::outcome(const cometspoke::OutcomeEvent& event) {
    if (event.outcome == cometspoke::Outcome::TurnedAway) backlog_.turned_away(event.message, steady_now());
}
void RecoveryCoordinator::over(MessageId id, bool served) {
    if (owes_) backlog_.over(id, served);
}

// ---- peers ----

void RecoveryCoordinator::ask() {
    const auto peers = parts_.tier.some(kAsked);
    if (peers.empty()) return;
    const Time until = steady_now() + Time(parts_.config.recovery.ask_ms * 1000);
    peer_state_.emplace(
        std::set<std::size_t>(peers.begin(), peers.end()), std::min(kEnough, peers.size()), until);
    const std::string question = bytes_of(Question{parts_.tier.incarnation()});
    for (const tier::Number peer : peers) parts_.tier.say(peer, notes::Kind::Question, question);
    ask_.expires_at(std::chrono::steady_clock::time_point(until));
    ask_.async_wait([this](auto cancelled) {
        if (!cancelled) asking_over();
    });
}

void RecoveryCoordinator::heard(tier::Number from, const notes::Section& section) {
    if (section.kind == static_cast<std::uint8_t>(notes::Kind::Question)) {
        if (const auto question = question_of(section.bytes)) answer(from, *question);
        return;
    }
    const auto said = answer_of(section.bytes);
    if (!said || !peer_state_) return;
    if (asked_) return void(++late_answers_);
    peer_state_->heard(from, *said, steady_now());
    if (peer_state_->done(steady_now())) asking_over();
}

void RecoveryCoordinator::answer(tier::Number from, const Question& question) {
    Answer answer;
    answer.young = steady_now() - started_ < kYoung;
    answer.heard = parts_.tier.heard_before(from, question.incarnation);
    if (tells) answer.facts = tells();
    const Time now = steady_now();
    questions_.push_back(now);
    answer.facts.insert(answer.facts.begin(), {Said::What::Back, back_of_late(now), {}});
    for (const TargetFact& one : present(now).targets)
        if (one.outage && !one.outage->answers)
            answer.facts.push_back({Said::What::Down, subsetting::gossip_id(one.id), one.outage->fell});
    for (const std::string& bytes : sections_of(answer, notes::room_beside(notes::kHeadBytes)))
        parts_.tier.say(from, notes::Kind::Answer, bytes);
    // and what it knows of limits, in the form that the module reads
    const auto reports = parts_.sender.state().reported_limits_.all();
    for (std::size_t at = 0; at < reports.size(); at += rate_limits::kMaxReports) {
        const auto last = std::min(reports.size(), at + rate_limits::kMaxReports);
        parts_.tier.say(from, notes::Kind::Limits,
            rate_limits::encode(
                {reports.begin() + static_cast<long>(at), reports.begin() + static_cast<long>(last)}, now));
    }
}

/// By the questions that came here, and by the watch.
std::size_t RecoveryCoordinator::back_of_late(Time now) {
    while (!questions_.empty() && questions_.front() < now - kTogether) questions_.pop_front();
    const std::size_t others = parts_.config.peers.empty() ? 0 : parts_.config.peers.size() - 1;
    return back_of(questions_.size(), others, kAsked, parts_.tier.back_of_late(kTogether));
}

void RecoveryCoordinator::asking_over() {
    if (asked_) return;
    asked_ = true;
    ask_.cancel();
    const Time now = steady_now();
    taken_ = peer_state_->taken(now);
    if (taken_.back) backlog_.together(std::max<std::size_t>(1, *taken_.back), now);
    const auto mark = mark_ ? elapsed(*mark_, moment_now()) : std::nullopt;
    if (PeerStateTransfer::folder_is_old(taken_, mark)) {
        folder_older_ = *mark;
        log::warn("return", "the folder is an older copy: what it lacks may have been sent",
            {{"written_ms_ago", mark->count() / 1000}, {"heard_ms_ago", taken_.heard->count() / 1000}});
    }
    log::info("return", "asked",
        {{"answers", peer_state_->answers()}, {"out_by_hand", taken_.out.size()},
            {"down", taken_.down.size()}, {"back", taken_.back.value_or(0)}});
    Snapshot facts;
    facts.at = moment_now();
    parts_.directory.for_each([&](EndpointId number, const std::string& id) {
        const auto down = taken_.down.find(subsetting::gossip_id(id));
        const auto& endpoints = parts_.sender.state().endpoints_;
        const auto at = endpoints.find(number);
        if (down == taken_.down.end() || at == endpoints.end()) return;
        TargetFact one{id, at->second.destination, Outage{}, {}};
        one.outage->failure_seen = true, one.outage->failing = 1, one.outage->fell = down->second;
        facts.targets.push_back(std::move(one));
    });
    std::map<std::string, EndpointId> to;
    parts_.directory.for_each([&](EndpointId number, const std::string& id) { to.emplace(id, number); });
    const auto event = event_of(facts, to, now);
    learned_ += event.endpoints.size();
    if (!event.endpoints.empty()) tell_(event);
    due_();
}

// ---- snapshots ----

Snapshot RecoveryCoordinator::present(Time now) {
    return facts_of(
        parts_.sender, [this](EndpointId number) { return parts_.directory.name_of(number); }, now);
}

void RecoveryCoordinator::look() {
    const Time before = steady_now();
    save();
    const Time took = steady_now() - before;
    look_.expires_after(std::max(kLook, took * kLookShare));
    look_.async_wait([this](auto cancelled) {
        if (!cancelled) look();
    });
}

void RecoveryCoordinator::save() {
    const Time now = steady_now();
    for (const auto& [target, wait] : parts_.journal.waits())
        if (wait.told.boot == moment_now().boot && wait.told.steady + wait.span <= now) {
            parts_.journal.wait_over(std::string(target));
            break;  // one a look: there are few
        }
    Snapshot fresh = present(now);
    fresh.at = moment_now();
    fresh.held = parts_.journal.unended();
    fresh.orders = tells && !tells().empty();
    const std::uint64_t gist = gist_of(fresh);
    if (written_at_ > Time(0) && gist == gist_ && now - written_at_ < kMark) return;
    const std::size_t room = snapshot_room(parts_.config.disk_bytes) / 2;
    std::string bytes = bytes_of(fresh);
    while (bytes.size() > room && !(fresh.targets.empty() && fresh.destinations.empty())) {
        fresh.targets.resize(fresh.targets.size() / 2);  // the journal goes before
        fresh.destinations.resize(fresh.destinations.size() / 2);
        bytes = bytes_of(fresh);
    }
    if (bytes.size() > room || !bytes_.take(static_cast<double>(bytes.size()), now)) return;
    written_at_ = now;
    if (write(bytes)) {
        gist_ = gist;
        ++writes_;
    } else if (failed_writes_++ == 0) {
        log::warn("return", "what was learned cannot be written down", {});
    }
}

/// Whole or not at all; what stood there before stays where it cannot be written.
bool RecoveryCoordinator::write(const std::string& bytes) {
    const auto path = parts_.config.state / kLearned, fresh = parts_.config.state / "learned.new";
    const Descriptor file(::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    std::error_code failed;
    bool kept = file.get() >= 0 && write_all(file.get(), bytes);
    if (kept) std::filesystem::rename(fresh, path, failed);
    kept = kept && !failed;
    if (!kept) std::filesystem::remove(fresh, failed);
    return kept;
}

Json RecoveryCoordinator::status() const {
    const auto ms = [](const std::optional<Time>& span) {
        return span ? Json(span->count() / 1000) : Json();
    };
    const char* phase = asking() ? "asking" : text_of(owes_ ? backlog_.phase() : BacklogPacing::Phase::Full);
    return {{"phase", phase}, {"up_ms", (steady_now() - started_).count() / 1000},
        {"full_after_ms", ms(full_after_)}, {"handed_over", handed_over_},
        {"owed", {{"all", backlog_.owed()}, {"waiting", backlog_.waiting()}, {"out", backlog_.out()},
                     {"window", backlog_.window()}, {"refusals", backlog_.refusals()},
                     {"began_after_ms", (backlog_.begins() - started_).count() / 1000}}},
        {"believed", {{"snapshot_age_ms", ms(valid_facts_.age)}, {"facts", valid_facts_.valid},
                         {"dropped", valid_facts_.dropped}, {"learned", learned_}, {"waits", waits_held_}}},
        {"peers", {{"asked", peer_state_.has_value()}, {"answers", peer_state_ ? peer_state_->answers() : 0},
                      {"late", late_answers_}, {"out_by_hand", taken_.out.size()},
                      {"down", taken_.down.size()}, {"back", taken_.back ? Json(*taken_.back) : Json()}}},
        {"lost", {{"all", empty_}, {"journal", journal_lost_}, {"learned", learned_lost_},
                     {"orders", orders_lost_ && mark_.has_value()}, {"folder_older_ms", ms(folder_older_)}}},
        {"snapshots", {{"on", parts_.config.recovery.snapshots}, {"written", writes_},
                          {"failed", failed_writes_}, {"waits_kept", parts_.journal.waits().size()}}}};
}

}  // namespace lockgw
