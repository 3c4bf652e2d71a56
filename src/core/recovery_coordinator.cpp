#include "core/recovery_coordinator.hpp"

#include <fcntl.h>

#include <algorithm>
#include <cerrno>

#include "base/read_file.hpp"
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

constexpr const char* kSnapshotFile = "learned";  // in the state folder
constexpr Time kSaveInterval{1'000'000};
// A snapshot is written at least this often: its time also shows how long the process lived.
constexpr Time kMaxSnapshotAge{5'000'000};
constexpr Time::rep kSaveIntervalFactor = 100;  // saving uses at most 1/100 of the time
constexpr Time kMinRecordedWait{20'000};        // a shorter wait ends before another process can run
constexpr Time kMaxFutureWait{60'000'000};      // upper bound of a wait that starts in the future
constexpr Time kYoungAge{5'000'000};            // a process this young tells peers that it is
constexpr Time kRestartWindow{2'000'000};       // restarts within this span count as simultaneous
constexpr std::size_t kAskedPeers = 3, kRequiredAnswers = 2;
constexpr std::size_t kMaxSnapshotBudget = 512 * 1024;

}  // namespace

std::size_t snapshot_budget(std::size_t disk_bytes) { return std::min(kMaxSnapshotBudget, disk_bytes / 24); }

RecoveryCoordinator::RecoveryCoordinator(
    asio::io_context& io, Dependencies dependencies, EventSink send_event, std::function<void()> on_due)
    : dependencies_(dependencies),
      send_event_(std::move(send_event)),
      on_due_(std::move(on_due)),
      save_timer_(io),
      release_timer_(io),
      peer_timer_(io),
      random_(dependencies.config.seed ^ splitmix64(static_cast<std::uint64_t>(unix_ms()))),
      write_budget_(dependencies.config.recovery.bytes_per_s, 4),
      started_(steady_now()) {}

void RecoveryCoordinator::start(bool handed_over, bool orders) {
    handed_over_ = handed_over;
    if (dependencies_.config.recovery.snapshots) read_snapshot();
    log_lost_state(orders);
    const Moment now = moment_now();
    for (const auto& [target, wait] : dependencies_.journal.waits()) {
        const auto age = elapsed(wait.told, now);
        // recorded in the future of both clocks: the part that has passed is unknown
        const Time left = age ? wait.span - *age : std::min(wait.span, kMaxFutureWait);
        if (left > Time(0)) unlisted_waits_.emplace(target, now.steady + left);
    }
    apply_list();
    if (dependencies_.cluster.enabled()) {
        dependencies_.cluster.on_recovery_section(
            [this](tier::Number from, const notes::Section& section) { receive(from, section); });
        if (!handed_over && dependencies_.config.recovery.ask_ms > 0) ask_peers();
    }
    if (dependencies_.config.recovery.snapshots) save_periodically();
}

void RecoveryCoordinator::read_snapshot() {
    const auto path = dependencies_.config.state / kSnapshotFile;
    const auto bytes = read_file(path);
    if (!bytes) return;
    const Read found = snapshot_of(*bytes);
    if (!found.snapshot) return log::warn("return", "the snapshot cannot be read", {{"why", found.why}});
    snapshot_time_ = found.snapshot->at;
    valid_facts_ = valid_facts(*found.snapshot, moment_now());
    if (!handed_over_) unlisted_facts_ = valid_facts_.facts;
    log::info("return", "believes",
        {{"facts", valid_facts_.valid}, {"dropped", valid_facts_.dropped},
            {"age_ms", valid_facts_.age ? valid_facts_.age->count() / 1000 : -1}});
}

/// Logs which parts of the earlier process's state are missing from the folder, in one line.
void RecoveryCoordinator::log_lost_state(bool orders) {
    const auto& before = valid_facts_.facts;
    journal_lost_ = snapshot_time_ && before.held > 0 && !dependencies_.journal.found();
    orders_lost_ = !handed_over_ && !orders && (!snapshot_time_ || before.orders);
    snapshot_lost_ =
        !snapshot_time_ && dependencies_.journal.found() && dependencies_.config.recovery.snapshots;
    folder_empty_ = !snapshot_time_ && !dependencies_.journal.found();
    if (journal_lost_ || (snapshot_time_ && before.orders && !orders) || (snapshot_lost_ && !handed_over_))
        log::warn("return", "a part of the folder is lost",
            {{"journal", journal_lost_}, {"messages", journal_lost_ ? before.held : 0},
                {"orders", snapshot_time_ && before.orders && !orders}, {"learned", snapshot_lost_}});
    if (snapshot_time_ && !valid_facts_.age)
        log::warn("return", "the clock was set back: no fact of the snapshot is valid", {});
}

void RecoveryCoordinator::apply_list() {
    if (unlisted_waits_.empty() && unlisted_facts_.targets.empty() && unlisted_facts_.destinations.empty())
        return;
    const Time now = steady_now();
    std::map<std::string, EndpointId> numbers;
    dependencies_.directory.for_each(
        [&](EndpointId number, const std::string& id) { numbers.emplace(id, number); });
    const auto& state = dependencies_.sender.state();
    cometspoke::LearnedEvent event = event_of(unlisted_facts_, numbers, now);
    for (auto wait = unlisted_waits_.begin(); wait != unlisted_waits_.end();) {
        const auto number = numbers.find(wait->first);
        const auto recorded = dependencies_.journal.waits().find(wait->first);
        std::optional<EndpointId> applies_to;
        if (number != numbers.end()) applies_to = number->second;
        // The target is not listed: another endpoint of its destination may share the wait.
        if (!applies_to && recorded != dependencies_.journal.waits().end())
            if (const auto destination = state.destinations_.find(recorded->second.destination);
                destination != state.destinations_.end() && !destination->second.endpoints.empty())
                applies_to = *destination->second.endpoints.begin();
        const auto endpoint = applies_to ? state.endpoints_.find(*applies_to) : state.endpoints_.end();
        const bool applicable = endpoint != state.endpoints_.end() &&
                                (number != numbers.end() || !state.has_own_route(endpoint->second));
        if (applicable && wait->second > now) {
            event.endpoints.push_back({*applies_to, endpoint->second.destination, wait->second, {}, {}});
            ++waits_applied_;
        }
        // A wait applied to another endpoint is kept, because the target itself may still be listed.
        wait = wait->second <= now || (applicable && number != numbers.end()) ? unlisted_waits_.erase(wait)
                                                                              : std::next(wait);
    }
    learned_ += event.endpoints.size();
    send_event_(event);
    if (now - started_ > kOutageHolds) return void(unlisted_facts_ = {});
    std::erase_if(unlisted_facts_.targets, [&](const TargetFact& fact) { return numbers.contains(fact.id); });
    std::erase_if(unlisted_facts_.destinations,
        [&](const DestinationFact& fact) { return state.destinations_.contains(fact.number); });
}

void RecoveryCoordinator::record_retry_after(EndpointId endpoint, std::int64_t destination, Time span) {
    const std::string* name = dependencies_.directory.name_of(endpoint);
    if (span < kMinRecordedWait || name == nullptr) return;
    const Moment now = moment_now();
    const auto& recorded = dependencies_.journal.waits();
    if (const auto before = recorded.find(*name);
        before != recorded.end() && before->second.told.boot_id == now.boot_id &&
        before->second.told.steady + before->second.span >= now.steady + span)
        return;  // the recorded wait ends later
    dependencies_.journal.wait_told(*name, {destination, span, now});
}

// ---- backlog ----

void RecoveryCoordinator::set_backlog(std::vector<Owed> backlog) {
    BacklogPacingSettings settings;
    // Assumes that all forwarders restarted together, until peers have answered (finish_asking).
    settings.together = std::max<std::size_t>(1, dependencies_.config.settings.n_instances);
    settings.most = std::max<std::size_t>(2, dependencies_.config.settings.slots);
    if (valid_facts_.facts.usual_s > 0)
        settings.usual = Time(static_cast<Time::rep>(valid_facts_.facts.usual_s * 1e6));
    backlog_pending_ = !backlog.empty();
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    backlog_ = BacklogPacing(settings, std::move(backlog), draw, steady_now());
    if (backlog_pending_)
        log::info("return", "owes",
            {{"messages", backlog_.owed()}, {"begins_in_ms", (backlog_.begins() - started_).count() / 1000}});
    on_due_();
}

std::vector<MessageId> RecoveryCoordinator::release_backlog(Time now) {
    if (!backlog_pending_ || awaiting_peers()) return {};
    std::vector<MessageId> released = backlog_.release(now, pacing_stopped_);
    if (backlog_.phase() == BacklogPacing::Phase::Full) {
        backlog_pending_ = false;
        complete_after_ = now - started_;
        log::info("return", "full",
            {{"after_ms", complete_after_->count() / 1000}, {"messages", backlog_.owed()},
                {"refusals", backlog_.refusals()}});
    }
    schedule_release();
    return released;
}

void RecoveryCoordinator::schedule_release() {
    const auto next = backlog_.next();
    if (!backlog_pending_ || !next) return;
    release_timer_.call_at(std::chrono::steady_clock::time_point(*next), [this] { on_due_(); });
}

void RecoveryCoordinator::on_outcome(const cometspoke::OutcomeEvent& event) {
    if (event.outcome == cometspoke::Outcome::TurnedAway) backlog_.turned_away(event.message, steady_now());
}
void RecoveryCoordinator::on_message_ended(MessageId id, bool served) {
    if (backlog_pending_) backlog_.over(id, served);
}

// ---- peers ----

void RecoveryCoordinator::ask_peers() {
    const auto peers = dependencies_.cluster.random_peers(kAskedPeers);
    if (peers.empty()) return;
    const Time until = steady_now() + Time(dependencies_.config.recovery.ask_ms * 1000);
    peer_state_.emplace(
        std::set<std::size_t>(peers.begin(), peers.end()), std::min(kRequiredAnswers, peers.size()), until);
    const std::string question = bytes_of(Question{dependencies_.cluster.incarnation()});
    for (const tier::Number peer : peers)
        dependencies_.cluster.send_section(peer, notes::Kind::Question, question);
    peer_timer_.call_at(std::chrono::steady_clock::time_point(until), [this] { finish_asking(); });
}

void RecoveryCoordinator::receive(tier::Number from, const notes::Section& section) {
    if (section.kind == static_cast<std::uint8_t>(notes::Kind::Question)) {
        if (const auto question = question_of(section.bytes)) answer(from, *question);
        return;
    }
    const auto answer = answer_of(section.bytes);
    if (!answer || !peer_state_) return;
    if (peers_done_) return void(++late_answers_);
    peer_state_->heard(from, *answer, steady_now());
    if (peer_state_->done(steady_now())) finish_asking();
}

void RecoveryCoordinator::answer(tier::Number from, const Question& question) {
    Answer answer;
    answer.young = steady_now() - started_ < kYoungAge;
    answer.heard = dependencies_.cluster.previous_process_last_heard(from, question.incarnation);
    if (facts_for_peers) answer.facts = facts_for_peers();
    const Time now = steady_now();
    question_times_.push_back(now);
    answer.facts.insert(answer.facts.begin(), {Said::What::Back, recently_restarted(now), {}});
    for (const TargetFact& fact : current_facts(now).targets)
        if (fact.outage && !fact.outage->answers)
            answer.facts.push_back({Said::What::Down, subsetting::gossip_id(fact.id), fact.outage->fell});
    for (const std::string& bytes : sections_of(answer, notes::room_beside(notes::kHeadBytes)))
        dependencies_.cluster.send_section(from, notes::Kind::Answer, bytes);
    // Known rate limits, in the encoding of the decision module.
    const auto reports = dependencies_.sender.state().reported_limits_.all();
    for (std::size_t first = 0; first < reports.size(); first += rate_limits::kMaxReports) {
        const auto last = std::min(reports.size(), first + rate_limits::kMaxReports);
        dependencies_.cluster.send_section(from, notes::Kind::Limits,
            rate_limits::encode(
                {reports.begin() + static_cast<long>(first), reports.begin() + static_cast<long>(last)},
                now));
    }
}

/// Estimates how many forwarders restarted within kRestartWindow, from the questions that came here and from
/// the failure detector.
std::size_t RecoveryCoordinator::recently_restarted(Time now) {
    while (!question_times_.empty() && question_times_.front() < now - kRestartWindow)
        question_times_.pop_front();
    const std::size_t others = dependencies_.config.peers.empty() ? 0 : dependencies_.config.peers.size() - 1;
    return back_of(question_times_.size(), others, kAskedPeers,
        dependencies_.cluster.recently_restarted(kRestartWindow));
}

void RecoveryCoordinator::finish_asking() {
    if (peers_done_) return;
    peers_done_ = true;
    peer_timer_.cancel();
    const Time now = steady_now();
    peer_facts_ = peer_state_->taken(now);
    if (peer_facts_.back) backlog_.together(std::max<std::size_t>(1, *peer_facts_.back), now);
    const auto snapshot_age = snapshot_time_ ? elapsed(*snapshot_time_, moment_now()) : std::nullopt;
    if (PeerStateTransfer::folder_is_old(peer_facts_, snapshot_age)) {
        stale_folder_age_ = *snapshot_age;
        log::warn("return", "the state folder is an older copy: its messages may have been sent since",
            {{"written_ms_ago", snapshot_age->count() / 1000},
                {"heard_ms_ago", peer_facts_.heard->count() / 1000}});
    }
    log::info("return", "asked",
        {{"answers", peer_state_->answers()}, {"out_by_hand", peer_facts_.out.size()},
            {"down", peer_facts_.down.size()}, {"back", peer_facts_.back.value_or(0)}});
    Snapshot facts;
    facts.at = moment_now();
    dependencies_.directory.for_each([&](EndpointId number, const std::string& id) {
        const auto down = peer_facts_.down.find(subsetting::gossip_id(id));
        const auto& endpoints = dependencies_.sender.state().endpoints_;
        const auto endpoint = endpoints.find(number);
        if (down == peer_facts_.down.end() || endpoint == endpoints.end()) return;
        TargetFact fact{id, endpoint->second.destination, Outage{}, {}};
        fact.outage->failure_seen = true, fact.outage->failing = 1, fact.outage->fell = down->second;
        facts.targets.push_back(std::move(fact));
    });
    std::map<std::string, EndpointId> numbers;
    dependencies_.directory.for_each(
        [&](EndpointId number, const std::string& id) { numbers.emplace(id, number); });
    const auto event = event_of(facts, numbers, now);
    learned_ += event.endpoints.size();
    if (!event.endpoints.empty()) send_event_(event);
    on_due_();
}

// ---- snapshots ----

Snapshot RecoveryCoordinator::current_facts(Time now) {
    return facts_of(
        dependencies_.sender, [this](EndpointId number) { return dependencies_.directory.name_of(number); },
        now);
}

void RecoveryCoordinator::save_periodically() {
    const Time before = steady_now();
    save_snapshot();
    const Time duration = steady_now() - before;
    save_timer_.call_after(
        std::max(kSaveInterval, duration * kSaveIntervalFactor), [this] { save_periodically(); });
}

void RecoveryCoordinator::save_snapshot() {
    const Time now = steady_now();
    for (const auto& [target, wait] : dependencies_.journal.waits())
        if (wait.told.boot_id == moment_now().boot_id && wait.told.steady + wait.span <= now) {
            dependencies_.journal.wait_over(std::string(target));
            break;  // one for each save: there are few
        }
    Snapshot snapshot = current_facts(now);
    snapshot.at = moment_now();
    snapshot.held = dependencies_.journal.unended();
    snapshot.orders = facts_for_peers && !facts_for_peers().empty();
    const std::uint64_t digest = gist_of(snapshot);
    if (written_at_ > Time(0) && digest == written_digest_ && now - written_at_ < kMaxSnapshotAge) return;
    // half of the budget: the old file stays until the new one is complete
    const std::size_t max_bytes = snapshot_budget(dependencies_.config.disk_bytes) / 2;
    std::string bytes = bytes_of(snapshot);
    while (bytes.size() > max_bytes && !(snapshot.targets.empty() && snapshot.destinations.empty())) {
        snapshot.targets.resize(snapshot.targets.size() / 2);  // the journal has priority
        snapshot.destinations.resize(snapshot.destinations.size() / 2);
        bytes = bytes_of(snapshot);
    }
    if (bytes.size() > max_bytes || !write_budget_.take(static_cast<double>(bytes.size()), now)) return;
    written_at_ = now;
    if (write_file(bytes)) {
        written_digest_ = digest;
        ++writes_;
    } else if (failed_writes_++ == 0) {
        log::warn("return", "the snapshot cannot be written", {});
    }
}

/// Replaces the snapshot file atomically; the old file stays if that fails.
bool RecoveryCoordinator::write_file(const std::string& bytes) {
    const auto path = dependencies_.config.state / kSnapshotFile,
               temporary = dependencies_.config.state / "learned.new";
    const Descriptor file(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    std::error_code failed;
    bool written = file.get() >= 0 && write_all(file.get(), bytes);
    if (written) std::filesystem::rename(temporary, path, failed);
    written = written && !failed;
    if (!written) std::filesystem::remove(temporary, failed);
    return written;
}

Json RecoveryCoordinator::status() const {
    const auto ms = [](const std::optional<Time>& span) {
        return span ? Json(span->count() / 1000) : Json();
    };
    const char* phase = awaiting_peers()
                            ? "asking"
                            : text_of(backlog_pending_ ? backlog_.phase() : BacklogPacing::Phase::Full);
    return {{"phase", phase}, {"up_ms", (steady_now() - started_).count() / 1000},
        {"full_after_ms", ms(complete_after_)}, {"handed_over", handed_over_},
        {"owed", {{"all", backlog_.owed()}, {"waiting", backlog_.waiting()}, {"out", backlog_.out()},
                     {"window", backlog_.window()}, {"refusals", backlog_.refusals()},
                     {"began_after_ms", (backlog_.begins() - started_).count() / 1000}}},
        {"believed",
            {{"snapshot_age_ms", ms(valid_facts_.age)}, {"facts", valid_facts_.valid},
                {"dropped", valid_facts_.dropped}, {"learned", learned_}, {"waits", waits_applied_}}},
        {"peers", {{"asked", peer_state_.has_value()}, {"answers", peer_state_ ? peer_state_->answers() : 0},
                      {"late", late_answers_}, {"out_by_hand", peer_facts_.out.size()},
                      {"down", peer_facts_.down.size()},
                      {"back", peer_facts_.back ? Json(*peer_facts_.back) : Json()}}},
        {"lost", {{"all", folder_empty_}, {"journal", journal_lost_}, {"learned", snapshot_lost_},
                     {"orders", orders_lost_ && snapshot_time_.has_value()},
                     {"folder_older_ms", ms(stale_folder_age_)}}},
        {"snapshots", {{"on", dependencies_.config.recovery.snapshots}, {"written", writes_},
                          {"failed", failed_writes_}, {"waits_kept", dependencies_.journal.waits().size()}}}};
}

}  // namespace lockgw
