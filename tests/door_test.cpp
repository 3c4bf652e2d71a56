// The laws of the door (src/admission/door.hpp) over random histories, and what it does in the usual cases.
#include "admission/door.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace lockgw::admission {
namespace {

using namespace std::chrono_literals;

DoorLimits small_limits(std::size_t most = 20) {
    DoorLimits limits;
    limits.most = most;
    return limits;
}

/// Drives a door with a script and keeps its own, plain account of each connection to hold the laws against.
class History {
public:
    explicit History(std::size_t most) : limits_(small_limits(most)), door_(limits_) {}

    void step(std::uint16_t word) {
        const unsigned what = word % 16, which = word / 16;
        if (what < 5 && door_.room() > 0) return enter(which);
        if (what == 5) return advance(std::chrono::milliseconds(which % 64));
        if (what == 6) return advance(std::chrono::milliseconds(which));
        if (all_.empty()) return;
        auto& [ticket, one] = *std::next(all_.begin(), which % all_.size());
        switch (one.now) {
            case Class::Asked:
                return door_.answering(ticket, now_), enter_class(one, Class::Writing);
            case Class::Writing:
                return rest(ticket, one, what < 11);
            case Class::Leaving:
                return leave(ticket, false);
            default:
                break;
        }
        if (what < 9) return door_.began(ticket, now_), began(one);
        if (what < 14) return door_.asked(ticket, now_), enter_class(one, Class::Asked);
        if (what == 14) return door_.leaves(ticket, now_), enter_class(one, Class::Leaving);
        leave(ticket, false);
    }

    /// What the forwarder does after each event, with every law checked on the way.
    void make_room() {
        for (std::size_t i = 0; i < 3 * limits_.most; ++i) {
            const auto farewell = door_.for_room(now_);
            if (!farewell) return law_three(), law_six();
            check(*farewell);
            leave(farewell->ticket, true);
            RC_ASSERT(door_.closed_proved() <= door_.served());  // law 2
        }
        RC_FAIL("names more than there are");
    }
    void at_rest_there_is_a_way_on() {
        now_ += 2h;
        make_room();
        for (const auto& [ticket, one] : all_)
            if (one.now == Class::Asked || one.now == Class::Writing) return;
        RC_ASSERT(door_.room() > 0u);  // law 6
    }

private:
    struct One {
        Class now = Class::Silent;
        bool proved = false;
        Owner owner = 0;
        Instant since;
    };

    void enter(unsigned which) {
        RC_ASSERT(door_.count() < limits_.most);
        const Owner owner = which % 3 == 0 ? 1 : which % 7;
        const std::size_t trials = door_.count(Class::Trial);
        const Ticket ticket = door_.enter(owner, now_);
        const Class as = door_.count(Class::Trial) > trials ? Class::Trial : Class::Silent;
        all_[ticket] = {as, false, owner, now_};
        bounded_trials();
    }
    void bounded_trials() const {
        const auto most = static_cast<std::size_t>(static_cast<double>(limits_.most) * limits_.unproved);
        RC_ASSERT(door_.count(Class::Trial) <= std::max<std::size_t>(1, most / 16));  // law 7
    }
    void advance(Span span) { now_ += span; }
    void enter_class(One& one, Class next) { one.now = next, one.since = now_; }
    void began(One& one) {
        if (one.now != Class::Partly) enter_class(one, Class::Partly);
    }
    void rest(Ticket ticket, One& one, bool useful) {
        const std::size_t trials = door_.count(Class::Trial);
        door_.rests(ticket, useful, now_);
        one.proved = one.proved || useful;
        const bool on_trial = door_.count(Class::Trial) > trials;
        enter_class(one, one.proved ? Class::Proved : on_trial ? Class::Trial : Class::Probed);
        bounded_trials();
    }
    void leave(Ticket ticket, bool for_room) {
        door_.left(ticket, for_room);
        all_.erase(ticket);
        RC_ASSERT(door_.count() == all_.size());
    }

    std::size_t staying(bool proved) const {
        return static_cast<std::size_t>(std::count_if(all_.begin(), all_.end(), [proved](const auto& one) {
            return one.second.now != Class::Leaving && one.second.proved == proved;
        }));
    }
    bool past_grace(const One& one) const {
        const Span grace = door_.grace();
        RC_ASSERT(grace >= limits_.grace && grace <= 256 * limits_.grace);
        return now_ - one.since >= (one.now == Class::Partly     ? std::max(limits_.partly_grace, grace)
                                       : one.now == Class::Trial ? 256 * limits_.grace
                                                                 : grace);
    }

    void check(const Door::Farewell& farewell) {
        const One& one = all_.at(farewell.ticket);
        RC_ASSERT(one.now != Class::Asked && one.now != Class::Writing);  // law 1
        if (one.now == Class::Leaving) return;
        if (one.proved && one.now != Class::Partly) {
            RC_ASSERT(staying(true) > door_.places());  // law 2
            return;
        }
        RC_ASSERT(past_grace(one));  // law 4
        std::map<Owner, std::size_t> owners;
        std::size_t in_class = 0;
        bool waits_long = false;  // some connection of the heaviest may go
        for (const auto& [ticket, other] : all_)
            if (other.now == one.now) ++owners[other.owner], ++in_class;
        const auto heaviest = std::max_element(
            owners.begin(), owners.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        for (const auto& [ticket, other] : all_)
            if (other.now == one.now && other.owner == heaviest->first) waits_long |= past_grace(other);
        if (owners.size() > 1 && heaviest->second > in_class / 2 + 1 && waits_long) {
            RC_ASSERT(one.owner == heaviest->first);  // law 5
        }
    }
    /// Nothing more is named: those unproved are within their share, or nobody of them may go yet.
    void law_three() {
        const auto cap = static_cast<std::size_t>(static_cast<double>(limits_.most) * limits_.unproved);
        RC_ASSERT(door_.unproved() == staying(false));
        RC_ASSERT(door_.unproved() <= std::max<std::size_t>(1, cap));
        if (door_.unproved() < cap) return;
        for (const auto& [ticket, one] : all_)
            if (!one.proved &&
                (one.now == Class::Silent || one.now == Class::Trial || one.now == Class::Probed))
                RC_ASSERT(!past_grace(one));
    }
    void law_six() {
        if (staying(true) > door_.places())
            for (const auto& [ticket, one] : all_) RC_ASSERT(!one.proved || one.now != Class::Proved);
        if (staying(true) + staying(false) <= door_.places()) return;
        for (const auto& [ticket, one] : all_)  // too many are left: all of them must have a right to stay
            if (one.now != Class::Leaving && !one.proved)
                RC_ASSERT(one.now == Class::Asked || one.now == Class::Writing || !past_grace(one));
    }

    DoorLimits limits_;
    Door door_;
    Instant now_{1h};
    std::map<Ticket, One> all_;
};

TEST(DoorLaws, HoldOverRandomHistories) {
    EXPECT_TRUE(rc::check("the laws of the door", [](std::uint8_t size) {
        const auto script =
            *rc::gen::resize(600, rc::gen::container<std::vector<std::uint16_t>>(
                                      rc::gen::resize(100, rc::gen::inRange<std::uint16_t>(0, 0xffff))));
        History history(4 + size % 40);
        for (const std::uint16_t word : script) {
            history.step(word);
            history.make_room();
        }
        history.at_rest_there_is_a_way_on();
    }));
}

// ---- usual cases, one by one ----

class DoorTest : public ::testing::Test {
protected:
    Ticket enter(Owner owner = 1) { return door.enter(owner, now); }
    Ticket proved(int requests = 1, Owner owner = 1) {
        const Ticket ticket = enter(owner);
        for (int i = 0; i < requests; ++i) ask(ticket);
        return ticket;
    }
    void ask(Ticket ticket) {
        door.asked(ticket, now);
        door.answering(ticket, now);
        door.rests(ticket, true, now);
    }
    void pass(Span span) { now += span; }
    std::optional<Ticket> named() {
        const auto farewell = door.for_room(now);
        return farewell ? std::optional(farewell->ticket) : std::nullopt;
    }

    Instant now{1h};
    Door door{small_limits(20)};  // 16 places, 4 of the doorstep, 10 unproved at the most
};

TEST_F(DoorTest, KeepsRegularsWhileStrangersComeAndGo) {
    std::vector<Ticket> regulars;
    for (int i = 0; i < 12; ++i) regulars.push_back(proved(3));
    for (int round = 0; round < 50; ++round) {
        pass(10ms);
        const Ticket stranger = proved(1);
        if (const auto one = named()) {
            EXPECT_EQ(std::count(regulars.begin(), regulars.end(), *one), 0);
            door.left(*one, true);
        }
        EXPECT_GT(door.room(), 0u);
        (void)stranger;
    }
    EXPECT_EQ(door.count(Class::Regular), 12u);
}

// A request that is there takes the place of the one that rests longest; a connection that may yet ask does
// not.
TEST_F(DoorTest, GivesAPlaceOfAProvedOneForARequestOnly) {
    for (int i = 0; i < 16; ++i) proved(1);
    pass(1s);
    enter();  // on trial
    const Ticket silent = enter();
    EXPECT_FALSE(named());  // within its grace, on the doorstep
    pass(10ms);
    EXPECT_EQ(named(), silent);
    door.asked(silent, now);
    EXPECT_FALSE(named());
    door.answering(silent, now);
    door.rests(silent, true, now);
    EXPECT_EQ(named(), Ticket{1});
}

// Everybody asks once, more of them than there are places: those who have one keep it, the others are served
// in passing. To close the longest resting one each time would have all of them come again for each request.
TEST_F(DoorTest, ServesInPassingWhereAllWereServedJustNow) {
    for (int i = 0; i < 16; ++i) proved(1);
    const Ticket late = proved(1);
    EXPECT_EQ(named(), late);
}

TEST_F(DoorTest, LeavesThemLongerTheMoreClosingsARequestCosts) {
    const Span before = door.least_rest();
    for (int i = 0; i < 400; ++i) {
        proved(1);
        pass(5ms);
        if (const auto one = named()) door.left(*one, true);
    }
    const Span during = door.least_rest();
    EXPECT_GT(during, before);
    for (int i = 0; i < 40; ++i) pass(300ms), named();
    EXPECT_EQ(door.least_rest(), before);
}

TEST_F(DoorTest, CommandsAByteAtATimeDoNotTakeAllOfTheirShare) {
    for (int i = 0; i < 9; ++i) door.began(enter(), now);
    pass(25ms);
    const Ticket silent = enter();
    pass(6ms);
    const auto one = named();
    ASSERT_TRUE(one);
    EXPECT_NE(*one, silent);
}

TEST_F(DoorTest, TimesOutEachClassByItsOwnSpan) {
    const DoorLimits limits = small_limits();
    const Ticket silent = enter(), partly = enter(), once = proved(1);
    door.began(partly, now);
    const auto overdue = [this] { return door.overdue(now); };
    pass(limits.silent - 1ms);
    EXPECT_FALSE(overdue());
    pass(1ms);
    ASSERT_TRUE(overdue());
    EXPECT_EQ(overdue()->ticket, silent);
    door.left(silent);
    EXPECT_EQ(overdue()->ticket, partly);
    door.left(partly);
    EXPECT_FALSE(overdue());  // few are connected: it may rest
    for (int i = 0; i < 6; ++i) proved(4);
    EXPECT_EQ(overdue()->ticket, once);  // a quarter of the places is taken, and it was used once
    door.left(once);
    EXPECT_FALSE(overdue());
}

TEST_F(DoorTest, HandsOnTheLeastUsefulFirst) {
    const Ticket regular = proved(3), once = proved(1), silent = enter();
    const Ticket owed = enter();
    door.asked(owed, now);
    for (const Ticket next : {silent, once, regular}) {
        ASSERT_TRUE(door.hand_on());
        EXPECT_EQ(door.hand_on()->ticket, next);
        door.left(next);
    }
    EXPECT_FALSE(door.hand_on());  // the last one is owed an answer
}

// ---- newcomers before a full door, in simulated time ----

struct Newcomers {
    const char* name;
    std::size_t slow;     ///< clients that come at once, and again after 20 ms until they are served
    Span late;            ///< what these take from their accept to their request
    double fast_per_s;    ///< others, who ask at once and give up after 400 ms
    double silent_per_s;  ///< those that never ask, and go after 400 ms
    double least_served;  ///< of the fast
    Span grace_at_most;   ///< at the end
};

std::ostream& operator<<(std::ostream& out, const Newcomers& one) { return out << one.name; }

class NewcomersTest : public ::testing::TestWithParam<Newcomers> {
protected:
    enum class Kind { Slow, Fast, Silent };
    struct Waiting {
        Kind kind;
        Instant since;
    };
    struct Inside {
        Kind kind;
        Instant asks, goes;
    };

    void come(const Newcomers& who) {
        for (const auto& [kind, rate] :
            {std::pair(Kind::Fast, who.fast_per_s), std::pair(Kind::Silent, who.silent_per_s)})
            for (due[kind] += rate / 1000; due[kind] >= 1; due[kind] -= 1) {
                queue.push_back({kind, now});
                asked += kind == Kind::Fast;
            }
        for (; !again.empty() && again.begin()->first <= now; again.erase(again.begin()))
            queue.push_back({Kind::Slow, now});
    }
    void make_room() {
        for (auto one = door.for_room(now); one; one = door.for_room(now)) leave(one->ticket, true);
    }
    void leave(Ticket ticket, bool for_room) {
        if (inside.at(ticket).kind == Kind::Slow && !served_slow.contains(ticket))
            again.emplace(now + 20ms, 0);
        inside.erase(ticket);
        door.left(ticket, for_room);
    }
    void let_in(const Newcomers& who) {
        for (int i = 0; i < 4 && !queue.empty(); ++i) {  // 4,000 a second
            make_room();
            if (door.room() == 0) return;
            const Waiting next = queue.front();
            queue.pop_front();
            const Ticket ticket = door.enter(1, now);
            const Instant never = Instant::max();
            const Instant gone = next.kind == Kind::Slow ? never : std::max(now, next.since + 400ms);
            const Instant asks =
                next.kind == Kind::Silent ? never : now + (next.kind == Kind::Slow ? who.late : 0ms);
            inside.emplace(ticket, Inside{next.kind, asks <= gone ? asks : never, gone});
        }
    }
    void serve() {
        std::vector<Ticket> done;
        for (const auto& [ticket, one] : inside)
            if (one.asks <= now || one.goes <= now) done.push_back(ticket);
        for (const Ticket ticket : done) {
            const Inside one = inside.at(ticket);
            if (one.asks <= now) {
                door.asked(ticket, now), door.answering(ticket, now), door.rests(ticket, true, now);
                if (one.kind == Kind::Slow) served_slow.insert(ticket);
                served_fast += one.kind == Kind::Fast;
            }
            leave(ticket, false);
        }
    }

    DoorLimits limits = small_limits(256);
    Door door{limits};
    Instant now{1h};
    std::deque<Waiting> queue;
    std::map<Ticket, Inside> inside;
    std::multimap<Instant, int> again;
    std::map<Kind, double> due;
    std::set<Ticket> served_slow;
    std::size_t asked = 0, served_fast = 0;
};

// Thousands of slow ones at a start: with a fixed grace of 5 ms nobody but those on trial would ever be
// served.
TEST_P(NewcomersTest, GetWhatTheirKindCanUse) {
    const Newcomers& who = GetParam();
    for (std::size_t i = 0; i < who.slow; ++i) again.emplace(now, 0);
    for (const Instant end = now + 20s; now < end; now += 1ms) {
        come(who);
        let_in(who);
        serve();
    }
    EXPECT_EQ(served_slow.size(), who.slow);
    EXPECT_GE(static_cast<double>(served_fast), who.least_served * static_cast<double>(asked));
    EXPECT_LE(door.grace(), who.grace_at_most);
}
INSTANTIATE_TEST_SUITE_P(Door, NewcomersTest,
    ::testing::Values(Newcomers{"slow_alone", 5000, 100ms, 0, 0, 0, 1280ms},
        Newcomers{"slower", 1500, 300ms, 0, 0, 0, 1280ms}, Newcomers{"a_second", 300, 1s, 0, 0, 0, 1280ms},
        Newcomers{"hardly_anybody_asks", 0, 0ms, 5, 2000, 0.9, 5ms},
        Newcomers{"storm_of_silent", 0, 0ms, 100, 2000, 0.97, 5ms},
        Newcomers{"slow_beside_silent", 2000, 100ms, 0, 300, 0, 1280ms},
        Newcomers{"fast_beside_few_slow", 200, 100ms, 500, 200, 0.97, 1280ms}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace lockgw::admission
