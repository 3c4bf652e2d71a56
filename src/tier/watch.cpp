#include "tier/watch.hpp"

#include <algorithm>

#include "base/splitmix64.hpp"

namespace lockgw::tier {

namespace {
constexpr double kLateWeight = 0.125;  // of the last round
constexpr double kWordyWeight = 0.05, kWordsCost = 4;
constexpr int kFreshBeats =
    20;  // less than `young`: an older echo of the own beat may be an earlier process's
constexpr double kNotLate = 1.3;  // times longer: within what rounds are drawn from
}  // namespace

const char* text_of(State state) {
    switch (state) {
        case State::Unheard:
            return "unheard";
        case State::Alive:
            return "alive";
        case State::Suspect:
            return "suspect";
        case State::Gone:
            return "gone";
        case State::Left:
            return "left";
    }
    return "?";
}

Watch::Watch(const WatchSettings& settings, Time now)
    : settings_(settings), all_(settings.members), believes_from_(now), last_tick_(now) {
    for (Number i = 0; i < settings_.members; ++i) all_[i].word.who = i, all_[i].since = now;
    Member& own = all_[settings_.own];
    own.word.incarnation = std::max(1u, settings_.incarnation);
    own.life = static_cast<int>(own.word.incarnation & 7);
    own.state = State::Alive, own.tells = kTells;
}

void Watch::set(Number who, State state, Time now, std::vector<Change>& changes) {
    Member& one = all_[who];
    if (one.state == state) return;
    const auto there = [](State which) { return which != State::Gone && which != State::Left; };
    if (there(one.state) != there(state)) ++epoch_;
    changes.push_back({who, one.state, state});
    one.state = state, one.since = now;
}

std::size_t Watch::evidence() const {
    // where notes are full of words, beats go round slower: each note then tells less
    const auto full = static_cast<std::size_t>(settings_.evidence * (1 + kWordsCost * wordy_));
    const std::size_t others = static_cast<std::size_t>(settings_.members) - 1;
    // each round brings some `peers` notes in a large tier, and one of each other member at most in a small
    // one
    return std::min(full, full * std::min<std::size_t>(others, 3) / 3);
}

/// Of an older build: it tells of nobody, and nobody else tells of it.
bool Watch::may_be_older(const Member& one, Time now) const {
    const auto lately = [now](const std::optional<Time>& when) { return when && now - *when < kPlain; };
    const bool since = lately(one.plain) && (!one.ever || *one.plain > one.heard + settings_.suspect);
    const bool never = one.word.incarnation == 0 && one.beat == 0;
    return since || (never && lately(plain_));
}

State Watch::judged(const Member& one, Time now) const {
    if (one.word.left) return State::Left;
    const Time last = one.ever ? std::max(one.heard, believes_from_) : believes_from_;
    // one that is short of time itself hears late: it gives the others longer (Lifeguard's local health)
    const double slow = std::clamp(late_ / kNotLate, 1.0, settings_.most_slow);
    const auto long_as = [slow](Time span) {
        return Time(static_cast<Time::rep>(slow * static_cast<double>(span.count())));
    };
    const Time age = now - last, suspect = long_as(settings_.suspect);
    const bool known = one.ever && one.heard >= believes_from_;
    if (known && age < suspect) return State::Alive;
    if (may_be_older(one, now)) return State::Unheard;
    const bool enough = one.notes >= (known ? 1 : 2) * evidence();
    const bool alone = settings_.members == 2 && age >= settings_.alone;
    // once gone it stays so until there is news of its life: what was heard before does not count again
    if (one.state == State::Gone) return State::Gone;
    const Time gone = long_as(known ? settings_.gone : settings_.unheard);
    if (age >= gone && (enough || alone)) return State::Gone;
    return known ? State::Suspect : State::Unheard;
}

std::vector<Watch::Change> Watch::tick(Time now) {
    std::vector<Change> changes;
    changes.swap(pending_);
    if (now - last_tick_ > settings_.leap) {
        ++counts_.stalls;
        believes_from_ = now;
        for (Number i = 0; i < settings_.members; ++i) {
            Member& one = all_[i];
            one.notes = 0;
            if (i != settings_.own && one.state != State::Left && one.state != State::Gone)
                set(i, State::Unheard, now, changes);
        }
    }
    const double took = std::chrono::duration<double>(now - last_tick_) / settings_.round;
    late_ += (std::clamp(took, 0.0, settings_.most_slow) - late_) * kLateWeight;
    last_tick_ = now;
    Member& own = all_[settings_.own];
    own.beat = static_cast<std::uint16_t>(own.beat % (kBeats - 1) + 1);
    for (Number i = 0; i < settings_.members; ++i)
        if (i != settings_.own) set(i, judged(all_[i], now), now, changes);
    return changes;
}

/// Beats only go on: what is late, doubled or comes by a longer way says nothing new. The first one heard of
/// may be of one that died meanwhile; the next one shows that it lives.
void Watch::beat(Number who, std::uint16_t said, Number by, Time now) {
    Member& one = all_[who];
    const auto number = static_cast<std::uint16_t>(said & (kBeats - 1));
    const int life = said >> kBeatBits;
    // where its incarnation was not told yet, any is as good as another
    const bool unknown = one.word.incarnation == 0 && one.beat == 0;
    if (unknown) one.life = life;
    if (number == 0 || life != one.life) return;
    const int ahead = (number - one.beat + kBeats) % kBeats;
    const bool news = one.beat == 0 || (ahead != 0 && ahead <= kBeats / 2);
    const int behind = (one.beat - number + kBeats) % kBeats;
    const bool fresh_echo = who == settings_.own && one.beat != 0 && behind <= kFreshBeats;
    if (fresh_echo) acknowledged_ = Echoes{acknowledged_ ? acknowledged_->first : now, now};
    if (!news) return;
    // they know a later beat of this one: it had this incarnation once before
    if (who == settings_.own) return take({who, one.word.incarnation + 1, 0, one.word.left}, now);
    if (one.beat != 0) one.ever = true, one.notes = 0;
    one.beat = number, one.heard = now, one.by = by;
}

/// While no other member knows this incarnation, a higher one may be what they remember of an earlier
/// process, however long ago this one started: it may have been cut off since.
bool Watch::young() const {
    return !acknowledged_ || acknowledged_->last - acknowledged_->first <= settings_.young;
}

void Watch::take(const Word& word, Time now) {
    Member& one = all_[word.who];
    if (!word.newer_than(one.word)) return;
    if (word.who == settings_.own) {
        if (!young()) {
            superseded_ = true;
        } else {
            acknowledged_.reset();
            one.word.incarnation = word.incarnation + 1, one.word.change = 0;
            one.life = static_cast<int>(one.word.incarnation & 7);
            sequence_ = 0;
            one.tells = kTells;
        }
        return;
    }
    const int life = static_cast<int>(word.incarnation & 7);
    if (word.incarnation > one.word.incarnation && (one.word.incarnation > 0 || life != one.life))
        one.sequence = 0, one.beat = 0, one.ever = false;
    one.life = life;
    if (one.word.left && !word.left) one.ever = false, one.notes = 0;
    one.word = word, one.tells = kTells;
    set(word.who,
        word.left                  ? State::Left
        : one.state == State::Left ? State::Unheard
                                   : one.state,
        now, pending_);
}

bool Watch::heard(const Note& note, Time now) {
    if (now - last_tick_ > settings_.leap) return ++counts_.stale, false;
    if (note.from == settings_.own) {  // another process of the name
        take({note.from, note.incarnation, 0, false}, now);
        return ++counts_.old, false;
    }
    Member& from = all_[note.from];
    if (note.incarnation < from.word.incarnation) {
        // it may have lost what it knew of itself: it is told, as all are
        from.tells = std::max(from.tells, kTells);
        return ++counts_.old, false;
    }
    if (note.incarnation == from.word.incarnation && note.sequence <= from.sequence)
        return ++counts_.old, false;
    ++counts_.heard;
    // its own word stands in each of its notes
    for (const Word& word : note.words) take(word, now);
    if (note.incarnation != from.word.incarnation) return false;
    const auto words =
        static_cast<double>((note.words.size() - std::min<std::size_t>(1, note.words.size())) * kWordBytes);
    const double beats = 2 * static_cast<double>(note.beats.size());
    if (words + beats > 0) wordy_ += (words / (words + beats) - wordy_) * kWordyWeight;
    from.sequence = note.sequence, from.there = note.there, from.told = now;
    beat(note.from, static_cast<std::uint16_t>((note.incarnation & 7) << kBeatBits | note.beat), note.from,
        now);
    for (std::size_t i = 0; i < note.beats.size() && i < settings_.members; ++i) {
        const auto who = static_cast<Number>((note.first + i) % settings_.members);
        ++all_[who].notes;
        beat(who, note.beats[i], note.from, now);
    }
    if (note.told != told()) repair_ = kRepairs, differs_ = note.from;
    return true;
}

void Watch::plain(Number from, Time now) {
    if (now - last_tick_ > settings_.leap || from == settings_.own) return;
    all_[from].plain = plain_ = now;
}

Note Watch::note(Time now, std::size_t room) {
    Note note;
    const Member& own = all_[settings_.own];
    note.from = settings_.own, note.incarnation = own.word.incarnation, note.sequence = ++sequence_,
    note.beat = std::max<std::uint16_t>(1, own.beat);
    note.told = told(), note.there = digest();
    room = std::min<std::size_t>(room, 255) - std::min<std::size_t>(room, kHeadBytes);
    const std::size_t most_words = std::min<std::size_t>(room / kWordBytes / 2, 255);
    // what is new first, then, where views differ, all in turn
    std::vector<Number> told{settings_.own};
    for (Number i = 0; i < settings_.members && told.size() < most_words; ++i) {
        const auto who = static_cast<Number>((next_word_ + i) % settings_.members);
        if (all_[who].tells > 0 && who != settings_.own) told.push_back(who);
    }
    for (const Number who : told) all_[who].tells = std::max(0, all_[who].tells - 1);
    for (Number i = 0; repair_ > 0 && i < settings_.members && told.size() < most_words; ++i) {
        const auto who = static_cast<Number>((next_word_ + i) % settings_.members);
        const bool known = all_[who].word.incarnation > 0;
        if (known && std::find(told.begin(), told.end(), who) == told.end()) told.push_back(who);
    }
    if (told.size() > 1) next_word_ = static_cast<Number>((told.back() + 1) % settings_.members);
    if (repair_ > 0) --repair_;
    for (const Number who : told) note.words.push_back(all_[who].word);
    room -= std::min(room, told.size() * kWordBytes);
    note.first = next_beat_;
    const std::size_t beats = std::min<std::size_t>(room / 2, settings_.members);
    for (std::size_t i = 0; i < beats; ++i) {
        const Member& one = all_[(next_beat_ + i) % settings_.members];
        const bool known = one.beat != 0 && one.word.who != settings_.own && now - one.heard <= kPassedOn;
        note.beats.push_back(known ? static_cast<std::uint16_t>(one.life << kBeatBits | one.beat) : 0);
    }
    next_beat_ = static_cast<Number>((next_beat_ + beats) % settings_.members);
    return note;
}

void Watch::leave(bool left) {
    Member& own = all_[settings_.own];
    if (own.word.left == left) return;
    own.word.left = left;
    if (++own.word.change == 0) own.life = static_cast<int>(++own.word.incarnation & 7);
    own.tells = kTells;
    own.state = left ? State::Left : State::Alive;
    ++epoch_;
}

Watch::Row Watch::row(Number who, Time now) const {
    const Member& one = all_[who];
    const bool own = who == settings_.own;
    return {one.state, one.word.incarnation, now - one.since,
        own ? Time(0) : now - (one.ever ? one.heard : believes_from_), own ? who : one.by};
}

std::uint16_t Watch::told() const {
    std::uint64_t all = 0;
    for (const Member& one : all_)
        all ^= splitmix64((std::uint64_t{one.word.who} << 48) ^ (std::uint64_t{one.word.incarnation} << 9) ^
                          (std::uint64_t{one.word.change} << 1) ^ one.word.left);
    return static_cast<std::uint16_t>(all);
}
std::uint16_t Watch::digest() const {
    std::uint64_t all = 0;
    for (const Member& one : all_) {
        const int group = one.state == State::Gone ? 1 : one.state == State::Left ? 2 : 0;
        all ^= splitmix64((std::uint64_t{one.word.who} << 2) ^ static_cast<std::uint64_t>(group));
    }
    return static_cast<std::uint16_t>(all);
}
Watch::Agreement Watch::agreement(Time now) const {
    Agreement all;
    const std::uint16_t own = digest();
    for (const Member& one : all_) {
        if (!one.told || now - *one.told > kAskedLately) continue;
        ++all.of;
        all.same += one.there == own;
    }
    return all;
}
std::size_t Watch::count(State state) const {
    return static_cast<std::size_t>(
        std::count_if(all_.begin(), all_.end(), [state](const Member& one) { return one.state == state; }));
}
std::size_t Watch::present() const { return all_.size() - count(State::Gone) - count(State::Left); }
std::size_t Watch::heard_lately(Time now) const {
    std::size_t all = 0;
    for (Number i = 0; i < settings_.members; ++i)
        all += i != settings_.own && all_[i].ever && all_[i].heard >= believes_from_ &&
               now - all_[i].heard <= kLately;
    return all;
}
bool Watch::sure(Time now) const {
    const std::size_t others = settings_.members - 1u;
    return others == 0 || 2 * heard_lately(now) > others;
}
std::size_t Watch::rank() const {
    std::size_t before = 0;
    for (Number i = 0; i < settings_.own; ++i)
        before += all_[i].state != State::Gone && all_[i].state != State::Left;
    return before;
}

std::string Watch::fingerprint(Time now) const {
    std::string out;
    const auto put = [&out](std::int64_t value) { out += std::to_string(value) + ','; };
    const std::size_t wanted = evidence();
    for (const Member& one : all_) {
        put(one.word.incarnation), put(one.word.change), put(one.word.left);
        put(static_cast<int>(one.state)), put(one.ever), put(one.by), put(one.sequence), put(one.tells);
        put(one.ever ? std::min(now - one.heard, settings_.gone + settings_.suspect).count() : -1);
        put(one.beat), put(one.life);
        put(static_cast<std::int64_t>(std::min<std::uint64_t>(one.notes, 2 * wanted)));
    }
    put(std::min(now - believes_from_, settings_.gone).count());
    put(static_cast<std::int64_t>(late_ * 1000)),
        put(static_cast<std::int64_t>(wordy_ * 10));  // whom to tell is drawn by the caller: not a part of it
    put(acknowledged_ ? std::min(now - acknowledged_->first, settings_.young + Time(1)).count() : -1);
    put(young());
    put((now - last_tick_).count()), put(superseded_), put(repair_ > 0), put(next_beat_), put(next_word_);
    return out;
}

}  // namespace lockgw::tier
