/// Who is there: what one forwarder knows of the others of its tier, and what it tells them.
///
/// Each round it counts a beat, and tells some others, by chance, the last beat of each member that it heard
/// of, by whosever word. One whose beats no longer go on, while enough is heard of others, is gone. Who
/// restarts has a higher incarnation; who leaves by order says so. docs/tier.md has the ways weighed and the
/// laws.
///
/// No I/O, no clock: times are the caller's, and may leap: then it was stopped itself, and believes nothing
/// old. Deterministic: the same settings, notes, times and random numbers give the same view. Threads: one.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "tier/note.hpp"

namespace lockgw::tier {

enum class State : std::uint8_t {
    Unheard,  ///< nothing is known of it yet, since the start or since this one was stopped
    Alive,
    Suspect,  ///< no news for a while, or not enough heard to say so
    Gone,     ///< no news for long, while others were heard
    Left      ///< by order: SIGTERM, or taken out of service
};
const char* text_of(State state);

/// Spans for rounds of 200 ms.
struct WatchSettings {
    Number own = 0, members = 1;
    std::uint32_t incarnation = 1;  ///< higher than that of the last start, as far as is known
    int peers = 4;                  ///< told each round
    Time suspect{1'100'000};        ///< no news for so long
    Time gone{1'500'000};           ///< and for so long,
    Time unheard{7'000'000};        ///< the same for one that nothing was heard of yet
    int evidence = 22;              ///< with so many notes meanwhile that told of it; fewer in small tiers
    Time alone{10'000'000};         ///< of two, the other is gone after this with nothing heard
    Time leap{1'000'000};           ///< longer between two rounds: it was stopped
    Time round{200'000};            ///< between two rounds, where the machine has time for them
    double most_slow = 4;           ///< where its own rounds come late, its spans grow by so much at most
    /// A process that hears of a higher incarnation of itself takes one above it until other members have
    /// passed on beats of its own for so long; later the other process has taken its place.
    Time young{5'000'000};
};

class Watch {
public:
    static constexpr int kTells = 10;             ///< how often a word is passed on
    static constexpr int kRepairs = 6;            ///< notes that tell old words in turn, where views differ
    static constexpr Time kPassedOn{20'000'000};  ///< an older beat is not
    static constexpr Time kLately{3'000'000};     ///< heard within this: for people
    static constexpr Time kAskedLately{10'000'000};
    static constexpr Time kPlain{60'000'000};  ///< so long after a note of an older build it is there

    Watch(const WatchSettings& settings, Time now);

    struct Change {
        Number who;
        State from, to;
    };
    /// To be called every round, at least: what has changed since the last call.
    std::vector<Change> tick(Time now);
    /// What was heard; false: it is old, or comes out of the time while this one was stopped.
    bool heard(const Note& note, Time now);
    /// A note came that is no frame: an older build, which tells nothing of others. While such ones are in
    /// the tier, whoever was never heard of may be one of them and is not missed.
    void plain(Number from, Time now);
    /// Whom to tell this round, and the note, of at most `room` bytes.
    template <class Random>
    std::vector<Number> to_tell(Random& random);
    Note note(Time now, std::size_t room);

    /// By order; back again: false.
    void leave(bool left);
    bool has_left() const { return all_[settings_.own].word.left; }
    /// Another process of the same name has started later: this one says nothing any more.
    bool superseded() const { return superseded_; }
    std::uint32_t incarnation() const { return all_[settings_.own].word.incarnation; }

    State state(Number who) const { return all_[who].state; }
    const Word& word(Number who) const { return all_[who].word; }
    struct Row {
        State state;
        std::uint32_t incarnation;
        Time since, age;  ///< in its state; since it was heard of
        Number by;        ///< whose word that was
    };
    Row row(Number who, Time now) const;

    /// Changes whenever somebody comes or goes.
    std::uint64_t epoch() const { return epoch_; }
    /// The same at two forwarders whose views agree.
    std::uint16_t digest() const;
    /// Of those whose own notes came in the last kAskedLately, how many had this digest.
    struct Agreement {
        std::size_t same = 0, of = 0;
    };
    Agreement agreement(Time now) const;
    /// Those that are or may be there: neither gone nor left. Itself among them unless it has left.
    std::size_t present() const;
    std::size_t count(State state) const;
    /// Of the others, how many were heard of in the last kLately, and whether that is most of those present.
    std::size_t heard_lately(Time now) const;
    bool sure(Time now) const;
    /// Where this one stands among those present, by number.
    std::size_t rank() const;

    struct Counts {
        std::uint64_t heard = 0, old = 0, stale = 0, stalls = 0;
    };
    const Counts& counts() const { return counts_; }
    /// All that decides what it does next, relative to `now`: for whoever compares states.
    std::string fingerprint(Time now) const;

private:
    struct Member {
        Word word;
        State state = State::Unheard;
        Time since{0};           // in its state
        int life = 0;            // the low bits of the incarnation that its beats are of
        std::uint16_t beat = 0;  // the last; 0: none of this incarnation
        Time heard{0};           // when it was seen to go on
        bool ever = false;       // whether it was, in this incarnation
        Number by = 0;
        std::uint32_t sequence = 0;  // of its last note
        std::uint16_t there = 0;     // as that one told who is there
        std::optional<Time> told;    // when that came
        std::optional<Time> plain;   // when a note of an older build came
        std::uint64_t notes = 0;     // that told of it, since it was last seen to go on
        int tells = 0;
    };
    void beat(Number who, std::uint16_t said, Number by, Time now);
    void take(const Word& word, Time now);
    void set(Number who, State state, Time now, std::vector<Change>& changes);
    State judged(const Member& one, Time now) const;
    bool may_be_older(const Member& one, Time now) const;
    bool young() const;
    std::uint16_t told() const;
    std::size_t evidence() const;

    WatchSettings settings_;
    std::vector<Member> all_;
    std::optional<Time> plain_;  // when the last of those came, from whomever
    Time believes_from_, last_tick_;
    struct Echoes {
        Time first, last;
    };
    std::optional<Echoes> acknowledged_;  // fresh beats of this incarnation that others passed on
    std::uint32_t sequence_ = 0;
    std::uint64_t epoch_ = 1;
    bool superseded_ = false;
    int repair_ = 0;                 // notes that still tell all words in turn
    std::optional<Number> differs_;  // it was heard of last that its words are others
    double wordy_ = 0;               // which part of the notes of late was words, in the place of beats
    double late_ = 1;                // its own rounds of late: by how many times longer than they should be
    Number next_beat_ = 0, next_word_ = 0;
    std::vector<Change> pending_;
    Counts counts_;
};

/// Mostly those that are there; one in the round may be of those that are not, for they may be back.
template <class Random>
std::vector<Number> Watch::to_tell(Random& random) {
    std::vector<Number> here, away, chosen;
    if (superseded_) return chosen;
    for (Number i = 0; i < settings_.members; ++i) {
        if (i == settings_.own) continue;
        const State state = all_[i].state;
        (state == State::Gone || state == State::Left ? away : here).push_back(i);
    }
    const auto draw = [&](std::vector<Number>& from) {
        const std::size_t at = random() % from.size();
        chosen.push_back(from[at]);
        from[at] = from.back(), from.pop_back();
    };
    int left = settings_.peers;
    // whoever knows other words than this one: what it lacks stands in the next note
    if (const auto who = std::exchange(differs_, std::nullopt)) {
        for (auto* from : {&here, &away})
            if (const auto at = std::find(from->begin(), from->end(), *who); at != from->end())
                from->erase(at);
        chosen.push_back(*who), --left;
    }
    if (!away.empty() && (here.empty() || random() % 2 == 0)) draw(away), --left;
    for (; left > 0 && !here.empty(); --left) draw(here);
    return chosen;
}

}  // namespace lockgw::tier
