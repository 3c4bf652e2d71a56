/// Who may hold a client connection, and who gives its place up. Design: docs/admission.md.
///
/// The caller owns the sockets: it tells what each connection does, and asks who has to go. Laws, each with a
/// property test (tests/door_test.cpp):
///  1. A connection that is owed an answer is never named.
///  2. Only a connection that asked for something useful takes a place from one that did so earlier: closings
///     of proved connections for room never outnumber the useful requests served.
///  3. Those that have proved nothing hold `unproved` places at most (beside those not yet past their grace).
///  4. Whoever is let in has `grace` to ask before its place is wanted back, and more where newcomers are
///  slow (admission/grace.hpp).
///  5. While others wait, an owner over its share loses first.
///  6. There is always a way on: with nobody owed an answer, and all past their grace, a full house names
///  one.
///  7. While places are short, a few newcomers (a sixteenth of the unproved, one at least) are on trial: they
///  have the longest grace, and what they do tells how long the others are waited for.
///
/// Units: times are the caller's, which only advance. Threads: one. No I/O, no clock; the same calls give the
/// same answers. Cost: logarithmic in the connections held; no call walks them.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>

#include "admission/crowd.hpp"
#include "admission/grace.hpp"

namespace lockgw::admission {

struct DoorLimits {
    std::size_t most = 256;                     ///< connections in all
    double doorstep = 0.2;                      ///< share of `most` that proved ones leave to newcomers
    double unproved = 0.5;                      ///< share of `most` for those that have proved nothing
    double owner_share = 0.5;                   ///< of a class that one owner keeps while others are in it
    double regular_share = 0.75;                ///< of the proved ones that may be regular
    Span grace = std::chrono::milliseconds(5);  ///< a newcomer's, to send its first byte: the shortest
    Span partly_grace = std::chrono::milliseconds(20);  ///< to end a command that has begun: the shortest
    Span silent = std::chrono::seconds(2);              ///< waited for the first byte, room or not
    Span partly = std::chrono::seconds(2);              ///< and for the rest of a command
    Span unread = std::chrono::seconds(2);              ///< and for an answer to be taken
    Span leaving = std::chrono::milliseconds(500);      ///< and for a last answer to be read
    Span idle = std::chrono::seconds(60);               ///< between requests, while few are connected
    // With more than this share of `most` connected (of proved ones: proved), a connection is kept for what
    // it has shown: a front's pool of connections, too, is bounded, and one that is used once and kept for
    // good takes a place in it.
    double short_from = 0.25;
    Span idle_probed = std::chrono::seconds(2);       ///< nothing useful yet
    Span idle_once = std::chrono::milliseconds(300);  ///< useful, but hardly used again
    Span idle_regular = std::chrono::seconds(2);      ///< used again and again
    Span least_rest = std::chrono::milliseconds(10);  ///< a proved one's before its place is wanted back,
    Span most_rest = std::chrono::seconds(1);         ///< and to what closings in a row raise it
};

enum class Class : std::size_t {
    Silent,   ///< connected, and nothing has come
    Trial,    ///< the same or probed, and waited for longer to learn from it
    Probed,   ///< has asked for nothing useful yet (PING, errors), and is between requests
    Partly,   ///< a command has begun and not ended
    Asked,    ///< a command waits for its answer
    Writing,  ///< its answer is on its way
    Proved,   ///< between requests, has handed something in
    Regular,  ///< the same, again and again
    Leaving,  ///< has its last answer
    Count
};
constexpr std::size_t kClasses = static_cast<std::size_t>(Class::Count);
const char* text_of(Class one);

class Door {
public:
    struct Farewell {
        Ticket ticket = 0;
        Class from = Class::Silent;
        bool for_room = false;  ///< else its time is up
    };

    explicit Door(const DoorLimits& limits);

    /// How many more may be let in now.
    std::size_t room() const;
    Ticket enter(Owner source, Instant now);
    void began(Ticket ticket, Instant now);               ///< some of a command has come
    void asked(Ticket ticket, Instant now);               ///< all of it
    void answering(Ticket ticket, Instant now);           ///< its answer is being written
    void rests(Ticket ticket, bool useful, Instant now);  ///< its answer is written; the next may come
    void leaves(Ticket ticket, Instant now);              ///< it is about to get its last answer
    void told_tenant(Ticket ticket, Owner tenant);        ///< counted by it from its next step on
    Owner owner(Ticket ticket) const { return records_.at(ticket).owner; }
    /// Closed, for whatever reason; `for_room`: because for_room() named it.
    void left(Ticket ticket, bool for_room = false);

    /// The next one that has to go for the room of others; ask again until there is none.
    std::optional<Farewell> for_room(Instant now);
    /// The next one whose time is up.
    std::optional<Farewell> overdue(Instant now) const;
    /// The next one to hand on when this process is about to end: those that rest, the least useful first.
    std::optional<Farewell> hand_on() const;

    /// Of a class, whom it would hit first; none where there is nobody.
    std::optional<Ticket> first(Class one) const;
    /// The same of one owner.
    std::optional<Ticket> first_of(Class one, Owner owner) const;

    std::size_t count() const { return records_.size(); }
    std::size_t count(Class one) const { return classes_[static_cast<std::size_t>(one)].size(); }
    std::size_t unproved() const { return unproved_; }
    /// How long newcomers are waited for just now.
    Span grace() const { return grace_.now(); }
    std::size_t places() const { return places_; }
    Span least_rest() const { return rest_; }
    std::size_t served() const { return served_; }
    std::size_t closed_proved() const { return closed_proved_; }

private:
    struct Record {
        Class now = Class::Silent;
        bool proved = false;
        bool on_trial = false;  // until it has proved useful, has left, or took too long
        Instant entered;
        Span pause{};            // of one on trial: the longest for which it was waited
        std::uint32_t uses = 0;  // useful requests in a row of visits
        Owner owner = 0;
        Owner next_owner = 0;
        Instant since;
        Crowd::Place place;
    };

    Crowd& of(Class one) { return classes_[static_cast<std::size_t>(one)]; }
    const Crowd& of(Class one) const { return classes_[static_cast<std::size_t>(one)]; }
    void move(Ticket ticket, Class to, Instant now);
    bool rested(Ticket ticket, Span least, Instant now) const;
    Ticket first_to_go(const Crowd& crowd) const;
    std::optional<Farewell> named(Class from, Span least, Instant now) const;
    std::optional<Farewell> unproved_to_go(Instant now) const;
    std::optional<Farewell> proved_to_go(Instant now) const;
    void demote(Instant now);
    bool still_on_trial(Record& record, Instant now);
    bool is_short() const;
    Span partly_grace() const { return std::max(limits_.partly_grace, grace_.now()); }
    void pace(Instant now);

    DoorLimits limits_;
    std::size_t places_, most_unproved_, most_trials_;
    Grace grace_;
    Instant latest_{};  // time as last told
    std::unordered_map<Ticket, Record> records_;
    std::array<Crowd, kClasses> classes_;
    Ticket last_ = 0;
    std::size_t unproved_ = 0, partly_unproved_ = 0;
    std::size_t served_ = 0, closed_proved_ = 0;
    // how closings follow one another: of the stretch that runs now
    Span rest_;
    Instant stretch_{};
    std::size_t stretch_served_ = 0, stretch_closed_ = 0;
};

}  // namespace lockgw::admission
