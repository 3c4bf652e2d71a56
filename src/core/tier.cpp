#include "core/tier.hpp"

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

constexpr const char* kIncarnation = "incarnation";                           // in the folder that lasts
constexpr std::uint32_t kEpoch = 1'700'000'000;                               // Unix seconds
constexpr std::size_t kLeastTold = tier::kHeadBytes + tier::kWordBytes + 16;  // worth a section
constexpr std::size_t kChangeRounds = 5;                                      // between two changes told
constexpr std::size_t kMostMembers = 4096;

}  // namespace

TierWatch::TierWatch(asio::io_context& io, const Config& config, std::function<void(const Standing&)> changed,
    std::function<void(PeerNote)> limits)
    : config_(config),
      changed_(std::move(changed)),
      limits_(std::move(limits)),
      peers_(io, config, [this](const PeerNote& note) { came(note); }),
      timer_(io),
      random_(config.seed),
      outbox_({config.tier.notes_per_s, config.tier.bytes_per_s}),
      frames_(config.peers.size()) {
    const std::size_t members = config.peers.size(), own = config.settings.own_number;
    if (!config.tier.on || !config.peer_listen || members < 2 || members > kMostMembers || own >= members)
        return;
    tier::WatchSettings settings;
    settings.own = static_cast<Number>(own), settings.members = static_cast<Number>(members);
    const auto times = [&](tier::Time& span) { span = span * config.tier.round_ms / 200; };
    times(settings.suspect), times(settings.gone), times(settings.unheard), times(settings.alone);
    times(settings.leap), times(settings.young), times(settings.round);
    settings.incarnation = next_incarnation();
    watch_.emplace(settings, steady_now());
    parts_.emplace(members);
    told_ = {members, own, members};
}

/// Above that of the last start; where the folder was lost, the clock stands in for it, and the others'
/// memory for the clock.
std::uint32_t TierWatch::next_incarnation() const {
    const auto path = config_.state / kIncarnation;
    std::uint32_t last = 0;
    std::ifstream(path) >> last;
    const auto clock = static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(unix_ms() / 1000 - kEpoch, 1, std::int64_t{1} << 31));
    const std::uint32_t next = std::max(last + 1, clock);
    auto fresh = path;
    fresh += ".new";
    std::ofstream stream(fresh, std::ios::trunc);
    stream << next << '\n';
    stream.close();
    std::error_code failed;
    if (stream) std::filesystem::rename(fresh, path, failed);
    if (!stream || failed) {  // what it was stays: an empty file would say less
        log::warn("tier", "the incarnation is not kept", {{"it", next}});
        std::filesystem::remove(fresh, failed);
    }
    return next;
}

void TierWatch::start() {
    peers_.start();
    if (!watch_) return;
    log::info("tier", "watches", {{"members", frames_.size()}, {"incarnation", watch_->incarnation()}});
    round();
}

void TierWatch::round() {
    const auto now = steady_now();
    const auto stalls = watch_->counts().stalls;
    say(watch_->tick(now));
    remember();
    if (watch_->counts().stalls > stalls) {  // what waits in the socket is from before
        const std::size_t dropped = peers_.discard_pending();
        log::warn("tier", "was stopped itself: believes nothing old", {{"notes_dropped", dropped}});
    }
    for (const Number peer : watch_->to_tell(random_)) send(peer);
    stand();
    // drawn anew, lest rounds of many come together
    const double spread = std::uniform_real_distribution<double>(0.8, 1.2)(random_);
    timer_.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double, std::milli>(static_cast<double>(config_.tier.round_ms) * spread)));
    timer_.async_wait([this](auto cancelled) {
        if (!cancelled) round();
    });
}

/// `limits`: a note of the module's that goes along, if any.
void TierWatch::send(Number peer, const std::string& limits) {
    const auto now = steady_now();
    if (!outbox_.may_send(notes::kMostBytes, now)) return;
    const std::size_t beside = limits.empty() ? 0 : limits.size() + notes::kSectionHead;
    const std::size_t room = notes::room_beside(notes::kHeadBytes);
    std::vector<notes::Section> sections;
    if (room >= beside + kLeastTold)
        sections.push_back(
            {static_cast<std::uint8_t>(notes::Kind::Tier), tier::bytes_of(watch_->note(now, room - beside))});
    if (!limits.empty()) sections.push_back({static_cast<std::uint8_t>(notes::Kind::Limits), limits});
    peers_.send(peer, notes::frame_of(sections));
    if (!limits.empty() && !frames_[peer] && outbox_.may_send(limits.size(), now))
        peers_.send(peer, limits);  // an older build's
}

void TierWatch::came(const PeerNote& note) {
    if (!watch_) return limits_(note);
    const auto now = steady_now();
    if (!inbox_.may_come(note.from, now)) return;
    if (!notes::is_frame(note.bytes)) {
        watch_->plain(static_cast<Number>(note.from), now);
        return limits_(note);
    }
    const auto sections = notes::sections_of(note.bytes);
    if (!sections) return void(++spoilt_);
    frames_[note.from] = true;
    for (const notes::Section& one : *sections) {
        if (one.kind == static_cast<std::uint8_t>(notes::Kind::Tier)) {
            const auto read = tier::note_of(one.bytes, frames_.size());
            if (read && read->from == note.from)
                watch_->heard(*read, now);
            else
                ++spoilt_;
        } else if (one.kind == static_cast<std::uint8_t>(notes::Kind::Limits)) {
            limits_({note.from, one.bytes});
        } else if (work_ && one.kind == static_cast<std::uint8_t>(notes::Kind::Work)) {
            work_(static_cast<Number>(note.from), one);
        } else if (other_ && one.kind <= static_cast<std::uint8_t>(notes::Kind::Answer)) {
            other_(static_cast<Number>(note.from), one);
        } else {
            ++unknown_;
        }
    }
}

void TierWatch::say(Number to, notes::Kind kind, const std::string& bytes) {
    const std::string frame = notes::frame_of({{static_cast<std::uint8_t>(kind), bytes}});
    if (watch_ && outbox_.may_send(frame.size(), steady_now())) peers_.send(to, frame);
}

std::vector<Number> TierWatch::some(std::size_t most) {
    std::vector<Number> all;
    for (Number i = 0; watch_ && i < frames_.size(); ++i)
        if (i != config_.settings.own_number) all.push_back(i);
    std::shuffle(all.begin(), all.end(), random_);
    all.resize(std::min(all.size(), most));
    return all;
}

/// When each member's process was last heard of, and the one before it.
void TierWatch::remember() {
    const auto now = steady_now();
    seen_.resize(frames_.size());
    for (Number i = 0; i < seen_.size(); ++i) {
        const auto row = watch_->row(i, now);
        Seen& seen = seen_[i];
        if (row.incarnation != seen.incarnation) {
            if (seen.incarnation != 0) seen.anew = now;
            if (seen.heard) seen.before = seen.incarnation, seen.heard_before = seen.heard;
            seen.incarnation = row.incarnation, seen.heard.reset();
        }
        if (row.state == State::Alive) seen.heard = now - row.age;
    }
}
std::optional<tier::Time> TierWatch::heard_before(Number who, std::uint32_t incarnation) const {
    if (who >= seen_.size()) return std::nullopt;
    const Seen& seen = seen_[who];
    const auto at = seen.incarnation < incarnation ? seen.heard
                    : seen.before < incarnation    ? seen.heard_before
                                                   : std::nullopt;
    return at ? std::optional(steady_now() - *at) : std::nullopt;
}

std::size_t TierWatch::back_of_late(tier::Time span) const {
    if (!watch_) return 0;
    const auto now = steady_now();
    const auto anew = std::count_if(
        seen_.begin(), seen_.end(), [&](const Seen& one) { return one.anew && now - *one.anew <= span; });
    return static_cast<std::size_t>(anew) + watch_->count(State::Gone);
}

/// At once, for the ages in it are those of now; the watch knows better than the module who is there.
void TierWatch::tell(const TellPeers& note) {
    if (!watch_) return peers_.send(note.to, note.bytes);
    const auto to = watch_->to_tell(random_);
    if (!to.empty()) send(to.back(), note.bytes);
}

void TierWatch::leave(bool left) {
    if (!watch_ || watch_->has_left() == left) return;
    watch_->leave(left);
    for (int i = 0; i < 3; ++i)  // it may have no round left
        for (const Number peer : watch_->to_tell(random_)) send(peer);
    stand();
}

void TierWatch::say(const std::vector<tier::Watch::Change>& changes) {
    for (const auto& change : changes) {
        const bool quiet = change.to == State::Suspect || change.from == State::Suspect;
        (quiet && change.to != State::Gone ? log::debug : log::info)("tier", "member",
            {{"who", change.who}, {"was", text_of(change.from)}, {"is", text_of(change.to)},
                {"incarnation", watch_->word(change.who).incarnation}});
    }
}

void TierWatch::stand() {
    const auto now = steady_now();
    const Standing next{std::max<std::size_t>(1, watch_->present()), watch_->rank(),
        parts_->of(std::max<std::size_t>(1, watch_->present()), watch_->sure(now), now)};
    if (pause_ > 0) --pause_;
    // more parts at once, for the sum must not go above the limit; all else a little apart at each
    if (next == told_ || (pause_ > 0 && next.parts <= told_.parts)) return;
    pause_ = kChangeRounds + random_() % kChangeRounds;
    told_ = next;
    log::info("tier", "stands",
        {{"present", next.present}, {"rank", next.rank}, {"parts", next.parts},
            {"heard_lately", watch_->heard_lately(now)}, {"sure", watch_->sure(now)}});
    changed_(next);
}

Json TierWatch::status() const {
    if (!watch_)
        return {{"on", false}, {"why", "the operator's file has no [tier] on = true, or there are no peers"}};
    const auto now = steady_now();
    const auto ms = [](tier::Time span) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    };
    Json members = Json::array();
    for (Number i = 0; i < frames_.size(); ++i) {
        const auto row = watch_->row(i, now);
        members.push_back({{"number", i}, {"is", text_of(row.state)}, {"incarnation", row.incarnation},
            {"since_ms", ms(row.since)}, {"heard_ms", ms(row.age)}, {"by", row.by}});
    }
    const auto& counts = watch_->counts();
    const auto agreement = watch_->agreement(now);
    return {{"on", true}, {"own", config_.settings.own_number}, {"incarnation", watch_->incarnation()},
        {"superseded", watch_->superseded()}, {"epoch", watch_->epoch()}, {"digest", watch_->digest()},
        {"present", told_.present}, {"parts", told_.parts}, {"heard_lately", watch_->heard_lately(now)},
        {"sure", watch_->sure(now)}, {"views", {{"same", agreement.same}, {"of", agreement.of}}},
        {"notes", {{"sent", outbox_.sent()}, {"held_back", outbox_.held_back()}, {"heard", counts.heard},
                      {"old", counts.old}, {"stale", counts.stale}, {"dropped", inbox_.dropped()},
                      {"spoilt", spoilt_}, {"unknown", unknown_}}},
        {"stalls", counts.stalls}, {"members", std::move(members)}};
}

}  // namespace lockgw
