#include "core/cluster_membership.hpp"

#include <algorithm>
#include <chrono>
#include <fstream>

#include "core/clocks.hpp"
#include "logging/log.hpp"

namespace lockgw {

using cometspoke::PeerNote;
using cometspoke::TellPeers;
using tier::Number;
using tier::State;

namespace {

constexpr const char* kIncarnationFile = "incarnation";  // in the state folder
constexpr std::uint32_t kEpoch = 1'700'000'000;          // Unix seconds
// A membership section that does not have this much room is not sent.
constexpr std::size_t kMinSectionBytes = tier::kHeadBytes + tier::kWordBytes + 16;
constexpr std::size_t kMinChangeRounds = 5;  // rounds between two reported changes
constexpr std::size_t kMaxMembers = 4096;

}  // namespace

ClusterMembership::ClusterMembership(asio::io_context& io, const Config& config,
    std::function<void(const Position&)> on_change, std::function<void(PeerNote)> on_rate_limits)
    : config_(config),
      on_change_(std::move(on_change)),
      on_rate_limits_(std::move(on_rate_limits)),
      peers_(io, config, [this](const PeerNote& message) { receive(message); }),
      timer_(io),
      random_(config.seed),
      outbox_({config.tier.notes_per_s, config.tier.bytes_per_s}),
      sends_frames_(config.peers.size()) {
    const std::size_t members = config.peers.size(), own = config.settings.own_number;
    if (!config.tier.on || !config.peer_listen || members < 2 || members > kMaxMembers || own >= members)
        return;
    tier::WatchSettings settings;
    settings.own = static_cast<Number>(own), settings.members = static_cast<Number>(members);
    // the defaults are meant for rounds of 200 ms
    const auto scale = [&](tier::Time& span) { span = span * config.tier.round_ms / 200; };
    scale(settings.suspect), scale(settings.gone), scale(settings.unheard), scale(settings.alone);
    scale(settings.leap), scale(settings.young), scale(settings.round);
    settings.incarnation = next_incarnation();
    detector_.emplace(settings, steady_now());
    limit_shares_.emplace(members);
    reported_ = {members, own, members};
}

/// Returns an incarnation above that of the last start. If the state folder was lost, the wall clock is used
/// instead; if the clock is wrong as well, the peers' memory of a higher incarnation makes up for it
/// (tier::Watch).
std::uint32_t ClusterMembership::next_incarnation() const {
    const auto path = config_.state / kIncarnationFile;
    std::uint32_t last = 0;
    std::ifstream(path) >> last;
    const auto clock = static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(unix_ms() / 1000 - kEpoch, 1, std::int64_t{1} << 31));
    const std::uint32_t next = std::max(last + 1, clock);
    auto temporary = path;
    temporary += ".new";
    std::ofstream stream(temporary, std::ios::trunc);
    stream << next << '\n';
    stream.close();
    std::error_code failed;
    if (stream) std::filesystem::rename(temporary, path, failed);
    if (!stream || failed) {  // keeps the old file: an empty one would hold less information
        log::warn("tier", "the incarnation cannot be written", {{"it", next}});
        std::filesystem::remove(temporary, failed);
    }
    return next;
}

void ClusterMembership::start() {
    peers_.start();
    if (!detector_) return;
    log::info("tier", "failure detection started",
        {{"members", sends_frames_.size()}, {"incarnation", detector_->incarnation()}});
    run_round();
}

void ClusterMembership::run_round() {
    const auto now = steady_now();
    const auto stalls = detector_->counts().stalls;
    log_changes(detector_->tick(now));
    update_history();
    if (detector_->counts().stalls > stalls) {  // datagrams that wait in the socket are from before the stall
        const std::size_t dropped = peers_.discard_pending();
        log::warn(
            "tier", "this process was stalled: queued gossip is discarded", {{"notes_dropped", dropped}});
    }
    for (const Number peer : detector_->to_tell(random_)) send(peer);
    update_position();
    // random interval, so that the rounds of many forwarders do not coincide
    const double jitter = std::uniform_real_distribution<double>(0.8, 1.2)(random_);
    timer_.call_after(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            std::chrono::duration<double, std::milli>(static_cast<double>(config_.tier.round_ms) * jitter)),
        [this] { run_round(); });
}

/// `rate_limits`: message of the decision module to be sent in the same datagram; may be empty.
void ClusterMembership::send(Number peer, const std::string& rate_limits) {
    const auto now = steady_now();
    if (!outbox_.may_send(notes::kMostBytes, now)) return;
    const std::size_t reserved = rate_limits.empty() ? 0 : rate_limits.size() + notes::kSectionHead;
    const std::size_t room = notes::room_beside(notes::kHeadBytes);
    std::vector<notes::Section> sections;
    if (room >= reserved + kMinSectionBytes)
        sections.push_back({static_cast<std::uint8_t>(notes::Kind::Tier),
            tier::bytes_of(detector_->note(now, room - reserved))});
    if (!rate_limits.empty())
        sections.push_back({static_cast<std::uint8_t>(notes::Kind::Limits), rate_limits});
    peers_.send(peer, notes::frame_of(sections));
    // a build from before frames reads only the bare message
    if (!rate_limits.empty() && !sends_frames_[peer] && outbox_.may_send(rate_limits.size(), now))
        peers_.send(peer, rate_limits);
}

void ClusterMembership::receive(const PeerNote& message) {
    if (!detector_) return on_rate_limits_(message);
    const auto now = steady_now();
    if (!inbox_.may_come(message.from, now)) return;
    if (!notes::is_frame(message.bytes)) {
        detector_->plain(static_cast<Number>(message.from), now);
        return on_rate_limits_(message);
    }
    const auto sections = notes::sections_of(message.bytes);
    if (!sections) return void(++invalid_sections_);
    sends_frames_[message.from] = true;
    for (const notes::Section& section : *sections) {
        if (section.kind == static_cast<std::uint8_t>(notes::Kind::Tier)) {
            const auto note = tier::note_of(section.bytes, sends_frames_.size());
            if (note && note->from == message.from)
                detector_->heard(*note, now);
            else
                ++invalid_sections_;
        } else if (section.kind == static_cast<std::uint8_t>(notes::Kind::Limits)) {
            on_rate_limits_({message.from, section.bytes});
        } else if (maintenance_handler_ && section.kind == static_cast<std::uint8_t>(notes::Kind::Work)) {
            maintenance_handler_(static_cast<Number>(message.from), section);
        } else if (recovery_handler_ && section.kind <= static_cast<std::uint8_t>(notes::Kind::Answer)) {
            recovery_handler_(static_cast<Number>(message.from), section);
        } else {
            ++unknown_sections_;
        }
    }
}

void ClusterMembership::send_section(Number to, notes::Kind kind, const std::string& bytes) {
    const std::string frame = notes::frame_of({{static_cast<std::uint8_t>(kind), bytes}});
    if (detector_ && outbox_.may_send(frame.size(), steady_now())) peers_.send(to, frame);
}

std::vector<Number> ClusterMembership::random_peers(std::size_t count) {
    std::vector<Number> peers;
    for (Number i = 0; detector_ && i < sends_frames_.size(); ++i)
        if (i != config_.settings.own_number) peers.push_back(i);
    std::shuffle(peers.begin(), peers.end(), random_);
    peers.resize(std::min(peers.size(), count));
    return peers;
}

void ClusterMembership::update_history() {
    const auto now = steady_now();
    history_.resize(sends_frames_.size());
    for (Number i = 0; i < history_.size(); ++i) {
        const auto row = detector_->row(i, now);
        ProcessHistory& member = history_[i];
        if (row.incarnation != member.incarnation) {
            if (member.incarnation != 0) member.restarted_at = now;
            if (member.heard_at)
                member.previous_incarnation = member.incarnation, member.previous_heard_at = member.heard_at;
            member.incarnation = row.incarnation, member.heard_at.reset();
        }
        if (row.state == State::Alive) member.heard_at = now - row.age;
    }
}
std::optional<tier::Time> ClusterMembership::previous_process_last_heard(
    Number member, std::uint32_t incarnation) const {
    if (member >= history_.size()) return std::nullopt;
    const ProcessHistory& history = history_[member];
    const auto heard_at = history.incarnation < incarnation            ? history.heard_at
                          : history.previous_incarnation < incarnation ? history.previous_heard_at
                                                                       : std::nullopt;
    return heard_at ? std::optional(steady_now() - *heard_at) : std::nullopt;
}

std::size_t ClusterMembership::recently_restarted(tier::Time span) const {
    if (!detector_) return 0;
    const auto now = steady_now();
    const auto restarted = std::count_if(history_.begin(), history_.end(), [&](const ProcessHistory& member) {
        return member.restarted_at && now - *member.restarted_at <= span;
    });
    return static_cast<std::size_t>(restarted) + detector_->count(State::Gone);
}

/// Sends at once, because the ages in the message are relative to now. The failure detector chooses the
/// recipient: it knows better than the decision module which members are present.
void ClusterMembership::send_to_peers(const TellPeers& message) {
    if (!detector_) return peers_.send(message.to, message.bytes);
    const auto recipients = detector_->to_tell(random_);
    if (!recipients.empty()) send(recipients.back(), message.bytes);
}

void ClusterMembership::leave(bool left) {
    if (!detector_ || detector_->has_left() == left) return;
    detector_->leave(left);
    for (int i = 0; i < 3; ++i)  // the process may end before its next round
        for (const Number peer : detector_->to_tell(random_)) send(peer);
    update_position();
}

void ClusterMembership::log_changes(const std::vector<tier::Watch::Change>& changes) {
    for (const auto& change : changes) {
        const bool minor = change.to == State::Suspect || change.from == State::Suspect;
        (minor && change.to != State::Gone ? log::debug : log::info)("tier", "member",
            {{"who", change.who}, {"was", text_of(change.from)}, {"is", text_of(change.to)},
                {"incarnation", detector_->word(change.who).incarnation}});
    }
}

void ClusterMembership::update_position() {
    const auto now = steady_now();
    const Position next{std::max<std::size_t>(1, detector_->present()), detector_->rank(),
        limit_shares_->of(std::max<std::size_t>(1, detector_->present()), detector_->sure(now), now)};
    if (change_pause_ > 0) --change_pause_;
    // A higher number of shares is reported at once, because the sum of the shares must not exceed the limit.
    // All other changes are reported at a different time in each forwarder.
    if (next == reported_ || (change_pause_ > 0 && next.limit_shares <= reported_.limit_shares)) return;
    change_pause_ = kMinChangeRounds + random_() % kMinChangeRounds;
    reported_ = next;
    log::info("tier", "stands",
        {{"present", next.present}, {"rank", next.rank}, {"parts", next.limit_shares},
            {"heard_lately", detector_->heard_lately(now)}, {"sure", detector_->sure(now)}});
    on_change_(next);
}

Json ClusterMembership::status() const {
    if (!detector_)
        return {{"on", false}, {"why", "the operator's file has no [tier] on = true, or there are no peers"}};
    const auto now = steady_now();
    const auto ms = [](tier::Time span) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    };
    Json members = Json::array();
    for (Number i = 0; i < sends_frames_.size(); ++i) {
        const auto row = detector_->row(i, now);
        members.push_back({{"number", i}, {"is", text_of(row.state)}, {"incarnation", row.incarnation},
            {"since_ms", ms(row.since)}, {"heard_ms", ms(row.age)}, {"by", row.by}});
    }
    const auto& counts = detector_->counts();
    const auto agreement = detector_->agreement(now);
    return {{"on", true}, {"own", config_.settings.own_number}, {"incarnation", detector_->incarnation()},
        {"superseded", detector_->superseded()}, {"epoch", detector_->epoch()},
        {"digest", detector_->digest()}, {"present", reported_.present}, {"parts", reported_.limit_shares},
        {"heard_lately", detector_->heard_lately(now)}, {"sure", detector_->sure(now)},
        {"views", {{"same", agreement.same}, {"of", agreement.of}}},
        {"notes", {{"sent", outbox_.sent()}, {"held_back", outbox_.held_back()}, {"heard", counts.heard},
                      {"old", counts.old}, {"stale", counts.stale}, {"dropped", inbox_.dropped()},
                      {"spoilt", invalid_sections_}, {"unknown", unknown_sections_}}},
        {"stalls", counts.stalls}, {"members", std::move(members)}};
}

}  // namespace lockgw
