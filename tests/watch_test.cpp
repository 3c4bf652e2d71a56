// Who is there: the laws of the watch, over random histories and over all histories of three members to a
// depth; notes and their frames; parts of limits. Mutants: tests/CMakeLists.txt.
#include "tier/watch.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <unordered_set>
#include <utility>

#include "tier/parts.hpp"
#include "watch_fixture.hpp"

namespace lockgw::tier {
namespace {

TEST(Watch, SeesWhoIsThereWhoDiesAndWhoComesBack) {
    Tier tier(10);
    tier.rounds(15);
    for (const Watch& one : tier.all) EXPECT_EQ(one.count(State::Alive), 10u);
    tier.runs[3] = false;
    tier.rounds(25);
    for (Number i = 0; i < 10; ++i)
        if (i != 3) {
            EXPECT_EQ(tier.all[i].state(3), State::Gone) << i;
        }
    EXPECT_EQ(tier.all[4].rank(), 3u) << "places close up";
    EXPECT_EQ(tier.all[0].present(), 9u);
    tier.restart(3, 2);
    tier.rounds(60);  // and each has told each of its view since
    for (const Watch& one : tier.all) {
        EXPECT_EQ(one.state(3), State::Alive);
        EXPECT_EQ(one.word(3).incarnation, 2u);
        EXPECT_EQ(one.digest(), tier.all[0].digest());
        EXPECT_EQ(one.agreement(tier.now).same, one.agreement(tier.now).of);
        EXPECT_EQ(one.agreement(tier.now).of, 9u);
    }
}
TEST(Watch, WhoLeavesByOrderIsNotMissedAndComesBackByOrder) {
    Tier tier(6);
    tier.rounds(15);
    tier.all[2].leave(true);
    tier.rounds(5);
    for (const Watch& one : tier.all) EXPECT_EQ(one.state(2), State::Left);
    tier.rounds(30);
    for (const Watch& one : tier.all) EXPECT_EQ(one.state(2), State::Left) << "though its beats go on";
    tier.all[2].leave(false);
    tier.rounds(10);
    for (const Watch& one : tier.all) EXPECT_EQ(one.state(2), State::Alive);
}
// The folder is lost, and with it the incarnation: it beats its own old entry all the same.
TEST(Watch, OneThatLostItsFolderIsHeard) {
    Tier tier(6);
    for (Number i = 0; i < 6; ++i) tier.restart(i, 5);
    tier.rounds(30);
    for (const std::uint32_t incarnation : {1u, 5u}) {
        tier.restart(2, incarnation);
        tier.rounds(30);
        EXPECT_GT(tier.all[2].incarnation(), 5u);
        for (const Watch& one : tier.all) EXPECT_EQ(one.state(2), State::Alive) << "back as " << incarnation;
    }
}
// A process without its folder that nobody hears for longer than it is young does not take what others
// remember of the process before for a later one, and falls silent for good.
TEST(Watch, OneThatLostItsFolderAndIsCutOffAtItsStartIsHeardAfterwards) {
    for (const std::uint32_t incarnation : {1u, 5u}) {
        Tier tier(6);
        for (Number i = 0; i < 6; ++i) tier.restart(i, 5);
        tier.rounds(30);
        for (Number i = 0; i < 6; ++i) tier.cut.insert({2, i});
        tier.restart(2, incarnation);
        tier.rounds(50);
        tier.cut.clear();
        tier.rounds(30);
        EXPECT_FALSE(tier.all[2].superseded());
        for (const Watch& one : tier.all) EXPECT_EQ(one.state(2), State::Alive) << "back as " << incarnation;
    }
}
// One flaps each second for three minutes: nobody else is doubted for it, and what it is now is what all see
// in the end. Halves that are cut off and healed in turn agree again.
TEST(Watch, FlappingForMinutesDoubtsNobodyElse) {
    Tier tier(10);
    tier.rounds(15);
    for (int second = 0; second < 180; ++second) {
        if (second % 2 == 0)
            tier.runs[4] = false;
        else
            tier.restart(4, static_cast<std::uint32_t>(2 + second));
        tier.rounds(5);
        for (Number i = 0; i < 10; ++i)
            for (Number other = 0; other < 10; ++other)
                if (i != 4 && other != 4) {
                    ASSERT_NE(tier.all[i].state(other), State::Gone)
                        << i << " of " << other << ", " << second;
                }
    }
    tier.rounds(25);
    for (const Watch& one : tier.all) {
        EXPECT_EQ(one.state(4), State::Alive);
        EXPECT_EQ(one.word(4).incarnation, 181u);
    }
}
TEST(Watch, ALinkThatFlapsForMinutesEndsInOneView) {
    Tier tier(8);
    tier.rounds(15);
    for (int second = 0; second < 150; ++second) {
        for (Number i = 0; i < 4; ++i)
            for (Number other = 4; other < 8; ++other) {
                second % 2 == 0 ? void(tier.cut.insert({i, other})) : void(tier.cut.erase({i, other}));
                second % 3 == 0 ? void(tier.cut.insert({other, i})) : void(tier.cut.erase({other, i}));
            }
        tier.rounds(5);
    }
    tier.cut.clear();
    tier.rounds(25);
    for (const Watch& one : tier.all) {
        EXPECT_EQ(one.count(State::Alive), 8u);
        EXPECT_EQ(one.digest(), tier.all[0].digest());
    }
}
// A peer's address is another member's by now: notes say who sends them, and one that says it is somebody
// else than its address tells is not taken for either (core/cluster_membership reads it so; here: the word of
// the name holds).
TEST(Watch, AnAddressThatChangesHandsChangesNobodysWord) {
    Tier tier(6);
    tier.rounds(15);
    tier.runs[3] = false;
    for (int i = 0; i < 30; ++i) {
        tier.round();
        const Note from_the_old_place = tier.all[5].note(tier.now, 240);  // 5 sends from where 3 was
        EXPECT_EQ(from_the_old_place.from, 5u);
        for (Number to = 0; to < 3; ++to) tier.all[to].heard(from_the_old_place, tier.now);
    }
    for (Number to = 0; to < 3; ++to) {
        EXPECT_EQ(tier.all[to].state(3), State::Gone);
        EXPECT_EQ(tier.all[to].state(5), State::Alive);
    }
}
// Two processes of one name: the one that was there before falls silent.
TEST(Watch, AnEarlierProcessOfTheNameFallsSilent) {
    Tier tier(4);
    tier.rounds(40);
    Watch second(settings_of(1, 4, 2), tier.now);
    for (int i = 0; i < 10; ++i) {
        tier.round();
        second.tick(tier.now);
        for (Number to = 0; to < 4; ++to) tier.all[to].heard(second.note(tier.now, 240), tier.now);
    }
    EXPECT_TRUE(tier.all[1].superseded());
    EXPECT_TRUE(tier.all[1].to_tell(tier.random).empty());
    EXPECT_FALSE(second.superseded());
    EXPECT_EQ(tier.all[0].word(1).incarnation, 2u);
}
// One that was stopped itself takes nobody for gone, and nothing that waited for news.
TEST(Watch, OneThatWasStoppedBelievesNothingOld) {
    Tier tier(6);
    tier.rounds(15);
    const Note old = tier.all[1].note(tier.now, 240);
    tier.now += Time(20'000'000);
    Watch& woken = tier.all[0];
    EXPECT_FALSE(woken.heard(old, tier.now));
    for (const auto& change : woken.tick(tier.now)) EXPECT_EQ(change.to, State::Unheard);
    EXPECT_EQ(woken.present(), 6u);
    EXPECT_FALSE(woken.sure(tier.now));
    EXPECT_EQ(woken.counts().stalls, 1u);
}
// Cut off from all it hears nothing, and so says nothing of the others.
TEST(Watch, OneAloneTakesNobodyForGone) {
    Tier tier(6);
    tier.rounds(15);
    for (Number i = 1; i < 6; ++i) tier.cut.insert({0, i}), tier.cut.insert({i, 0});
    tier.rounds(100);
    EXPECT_EQ(tier.all[0].count(State::Gone), 0u);
    EXPECT_FALSE(tier.all[0].sure(tier.now));
    EXPECT_EQ(tier.all[1].state(0), State::Gone);
    tier.cut.clear();
    tier.round();
    EXPECT_LT(tier.all[0].agreement(tier.now).same, 5u) << "they still miss it, and it does not";
    tier.rounds(25);
    for (const Watch& one : tier.all) EXPECT_EQ(one.count(State::Alive), 6u);
}
// Links that fail one way, or between two only, are bridged by the others.
TEST(Watch, LinksThatFailAreBridged) {
    Tier tier(6);
    tier.cut = {{0, 1}, {1, 0}, {2, 3}, {4, 0}};
    tier.rounds(100);
    for (const Watch& one : tier.all) EXPECT_EQ(one.count(State::Alive), 6u);
}
TEST(Watch, NotesThatComeAgainChangeNothing) {
    Tier tier(4);
    std::vector<Note> notes;
    for (int i = 0; i < 30; ++i) tier.round(), notes.push_back(tier.all[1].note(tier.now, 240));
    tier.all[0].heard(notes.back(), tier.now);
    const std::string before = tier.all[0].fingerprint(tier.now);
    for (const Note& note : notes) EXPECT_FALSE(tier.all[0].heard(note, tier.now));
    EXPECT_EQ(tier.all[0].fingerprint(tier.now), before);
}

// ---- all histories of three and four, to a depth ----

/// Coarse time: two rounds without news make one gone, so that a few steps reach every state.
template <Number kMembers>
class Explorer {
public:
    static constexpr Time kUnit{200'000};
    struct Flying {
        Number to;
        Note note;
        int age = 0;  // steps of time
    };
    struct Node {
        std::vector<Watch> all;
        std::vector<int> off;              // steps for which each is down (below 0: stopped); 0: it runs
        std::vector<std::uint32_t> start;  // incarnation kept in its folder
        std::vector<int> lived;            // steps since it last ran
        std::vector<Flying> flying;
        int time = 0;
        std::string path;
    };
    static WatchSettings settings(Number own, std::uint32_t incarnation) {
        WatchSettings one = settings_of(own, kMembers, incarnation);
        one.suspect = kUnit + Time(1), one.gone = 2 * kUnit + Time(1), one.unheard = 3 * kUnit + Time(1);
        one.evidence = 3, one.leap = 2 * kUnit + Time(1), one.young = Time(1'000'000'000);
        return one;
    }
    Node begin() const {
        Node node;
        for (Number i = 0; i < kMembers; ++i) node.all.emplace_back(settings(i, 1), kStart);
        node.off.assign(kMembers, 0), node.start.assign(kMembers, 1), node.lived.assign(kMembers, 0);
        for (int i = 0; i < 4; ++i) node = passed(node, true);  // all know one another
        node.path.clear();
        return node;
    }
    std::size_t states = 0;
    std::string broken;

    void explore(int depth) {
        std::vector<Node> now{begin()}, next;
        for (int level = 0; level < depth && broken.empty(); ++level) {
            next.clear();
            for (const Node& node : now)
                for (Node& after : steps(node)) {
                    if (!seen_.insert(mark(after)).second) continue;
                    ++states;
                    check(node, after);
                    if (!broken.empty()) return;
                    next.push_back(std::move(after));
                }
            now.swap(next);
        }
        for (std::size_t i = 0; i < now.size() && broken.empty(); i += 1 + now.size() / 4000)
            converge(now[i]);
    }

private:
    static Time at(const Node& node) { return kStart + node.time * kUnit; }
    /// A step of time: those that run tell all others; what flies is heard, or stays.
    static Node passed(const Node& from, bool delivered) {
        Node node = from;
        ++node.time;
        for (Flying& one : node.flying) ++one.age;
        std::erase_if(node.flying, [](const Flying& one) { return one.age > 2; });
        for (Number i = 0; i < kMembers; ++i) {
            ++node.lived[i];
            if (node.off[i] != 0) continue;
            node.lived[i] = 0;
            node.all[i].tick(at(node));
            for (Number to = 0; to < kMembers; ++to)
                if (to != i) node.flying.push_back({to, node.all[i].note(at(node), 240), 0});
        }
        if (delivered) {
            for (const Flying& one : std::exchange(node.flying, {}))
                if (node.off[one.to] == 0) node.all[one.to].heard(one.note, at(node));
        }
        node.path += delivered ? " pass" : " late";
        return node;
    }
    std::vector<Node> steps(const Node& node) const {
        std::vector<Node> all{passed(node, true), passed(node, false)};
        // of what flies: one heard, one heard and kept to be heard again, one lost
        for (std::size_t i = 0; i < std::min<std::size_t>(node.flying.size(), 4); ++i)
            for (const char what : {'h', 'd', 'l'}) {
                Node after = node;
                const Flying one = after.flying[i];
                if (what != 'd') after.flying.erase(after.flying.begin() + static_cast<std::ptrdiff_t>(i));
                if (what != 'l' && after.off[one.to] == 0) after.all[one.to].heard(one.note, at(after));
                after.path +=
                    std::string(" ") + what + std::to_string(one.note.from) + ">" + std::to_string(one.to);
                all.push_back(std::move(after));
            }
        for (Number i = 0; i < kMembers; ++i) {
            if (node.off[i] == 0) {
                for (const int off : {1, -1}) {
                    Node after = node;
                    after.off[i] = off;
                    after.path += (off > 0 ? " kill" : " stop") + std::to_string(i);
                    all.push_back(std::move(after));
                }
                Node after = node;
                after.all[i].leave(!after.all[i].has_left());
                after.path += " leave" + std::to_string(i);
                all.push_back(std::move(after));
                continue;
            }
            Node after = node;
            after.off[i] = 0;
            if (node.off[i] > 0) {
                after.all[i] = Watch(settings(i, ++after.start[i]), at(after));
                Node lost = node;  // without its folder
                lost.off[i] = 0;
                lost.start[i] = 1;
                lost.all[i] = Watch(settings(i, 1), at(lost));
                lost.path += " forget" + std::to_string(i);
                all.push_back(std::move(lost));
            }
            after.path += " back" + std::to_string(i);
            all.push_back(std::move(after));
        }
        return all;
    }
    static std::string mark(const Node& node) {
        std::string out;
        for (Number i = 0; i < kMembers; ++i)
            out += node.all[i].fingerprint(at(node)) + '/' + std::to_string(node.off[i]) +
                   std::to_string(std::min(node.lived[i], 6)) + std::to_string(node.start[i]) + ';';
        for (const Flying& one : node.flying)
            out += std::to_string(one.to) + ':' + std::to_string(one.age) + bytes_of(one.note);
        return out;
    }
    void fail(const Node& node, const std::string& what) { broken = what + " after" + node.path; }
    void check(const Node& before, const Node& after) {
        for (Number i = 0; i < kMembers; ++i) {
            const bool same = before.off[i] <= 0 && after.off[i] <= 0;  // the same process
            for (Number j = 0; j < kMembers; ++j) {
                const Watch &was = before.all[i], &is = after.all[i];
                if (same && is.word(j).incarnation < was.word(j).incarnation)
                    return fail(after, "an incarnation falls");
                if (i == j || after.off[i] != 0) continue;
                // who is held for alive has run of late: as long ago as a note may fly, and is believed
                if (is.state(j) == State::Alive && after.lived[j] > 5)
                    return fail(after, "one long dead is alive");
                if (same && was.state(j) == State::Gone && there(is.state(j)) && after.lived[j] > 3)
                    return fail(after, "one gone is back without a sign of life");
                if (same && was.state(j) == State::Left && is.state(j) != State::Left &&
                    !is.word(j).newer_than(was.word(j)))
                    return fail(after, "one that left is back without a word of its own");
                // it may only be missed by one who hears of the others
                if (same && there(was.state(j)) && is.state(j) == State::Gone && is.counts().heard < 2)
                    return fail(after, "one is gone though nobody was heard");
                if (same && there(was.state(j)) && is.state(j) == State::Gone && before.off[i] != 0)
                    return fail(after, "one that wakes takes others for gone");
            }
        }
    }
    /// Faults end: all that run agree, and are right.
    void converge(const Node& from) {
        Node node = from;
        for (Number i = 0; i < kMembers; ++i)
            if (node.off[i] < 0) node.off[i] = 0;
        for (int i = 0; i < 40; ++i) node = passed(node, true);
        for (Number i = 0; i < kMembers; ++i)
            for (Number j = 0; j < kMembers && node.off[i] == 0; ++j) {
                const State state = node.all[i].state(j);
                const bool left = node.all[j].has_left() && node.off[j] == 0;
                const bool alone =
                    static_cast<std::size_t>(std::count(node.off.begin(), node.off.end(), 0)) == 1;
                if (node.off[j] == 0 && left != (state == State::Left))
                    return fail(from, "in the end one that left is not known to have");
                if (node.off[j] == 0 && !left && state != State::Alive)
                    return fail(from, "in the end one that runs is not alive");
                if (node.off[j] != 0 && !alone && there(state))
                    return fail(from, "in the end one dead is there");
            }
    }
    std::unordered_set<std::string> seen_;
};

/// Deeper on request: WATCH_DEPTH adds so many steps.
int more() {
    const char* text = std::getenv("WATCH_DEPTH");
    return text == nullptr ? 0 : std::atoi(text);
}
template <Number kMembers>
void explore(int depth) {
    Explorer<kMembers> explorer;
    explorer.explore(depth + more());
    EXPECT_EQ(explorer.broken, "");
    EXPECT_GT(explorer.states, 1'000u);
    std::cout << explorer.states << " states\n";
}
TEST(WatchLaws, HoldInAllHistoriesOfThree) { explore<3>(5); }
TEST(WatchLaws, HoldInAllHistoriesOfFour) { explore<4>(4); }

// ---- random histories of more ----

TEST(WatchLaws, HoldInRandomHistories) {
    const char* requested = std::getenv("LOCKGW_SEED");
    const std::uint64_t seed =
        requested != nullptr ? std::strtoull(requested, nullptr, 10) : std::random_device{}();
    std::mt19937_64 random(seed);
    for (int history = 0; history < 20; ++history) {
        const auto members = static_cast<Number>(4 + random() % 9);
        Tier tier(members);
        tier.random.seed(random());
        std::vector<std::vector<std::uint32_t>> known(members, std::vector<std::uint32_t>(members));
        for (int step = 0; step < 150; ++step) {
            const auto who = static_cast<Number>(random() % members);
            switch (random() % 8) {
                case 0:
                    tier.runs[who] = false;
                    break;
                case 1:
                    if (!tier.runs[who]) {
                        tier.restart(who, random() % 3 ? ++tier.starts[who] : 1);
                        known[who].assign(members, 0);
                    }
                    break;
                case 2:
                    for (Number i = 0; i < members; ++i) tier.cut.insert({who, i});
                    break;
                case 3:
                    tier.cut.clear();
                    break;
                case 4:
                    tier.all[who].leave(random() % 2);
                    break;
                default:
                    break;
            }
            tier.round();
            for (Number i = 0; i < members; ++i)
                for (Number j = 0; j < members; ++j) {
                    const std::uint32_t now = tier.all[i].word(j).incarnation;
                    ASSERT_GE(now, known[i][j])
                        << "seed " << seed << " history " << history << " step " << step;
                    known[i][j] = now;
                }
        }
        tier.cut.clear();
        for (Number i = 0; i < members; ++i) {
            if (!tier.runs[i]) tier.restart(i, ++tier.starts[i]);
            tier.all[i].leave(false);
        }
        tier.rounds(60);
        for (const Watch& one : tier.all)
            ASSERT_EQ(one.count(State::Alive), members) << "seed " << seed << " history " << history;
    }
}

// ---- notes, parts ----

TEST(TierNotes, AreReadAsTheyWereWrittenAndStrictly) {
    std::mt19937 random(5);
    for (int i = 0; i < 2000; ++i) {
        Note note;
        note.from = random() % 50, note.incarnation = 1 + random() % 9, note.sequence = random();
        note.beat = 1 + random() % (kBeats - 1), note.told = random() & 0xffff,
        note.there = random() & 0xffff;
        for (unsigned w = random() % 5; w > 0; --w)
            note.words.push_back({static_cast<Number>(random() % 50), static_cast<std::uint32_t>(random()),
                static_cast<std::uint8_t>(random()), random() % 2 == 0});
        note.first = random() % 50;
        for (unsigned b = random() % 50; b > 0; --b) note.beats.push_back(random() & 0xffff);
        const std::string bytes = bytes_of(note);
        EXPECT_EQ(note_of(bytes, 50), note);
        EXPECT_FALSE(note_of(bytes, note.from));
        for (std::size_t cut = 0; cut < kHeadBytes; ++cut) EXPECT_FALSE(note_of(bytes.substr(0, cut), 50));
    }
}
TEST(Parts, GrowByAStepInDoubtAndWholeWhenItIsSure) {
    Parts parts(100);
    Time now = kStart;
    EXPECT_EQ(parts.of(100, true, now), 100u);
    EXPECT_EQ(parts.of(50, true, now), 80u) << "half is silent: the own part grows by a quarter at once";
    EXPECT_EQ(parts.of(50, true, now + Parts::kLong / 2), 80u);
    EXPECT_EQ(parts.of(95, true, now + Parts::kLong / 2), 95u) << "few are missed: at once";
    EXPECT_EQ(parts.of(50, false, now + Parts::kLong), 50u);
    EXPECT_EQ(parts.of(20, false, now + 2 * Parts::kLong), 50u) << "unsure: twice at most";
    EXPECT_EQ(parts.of(20, true, now + 4 * Parts::kLong), 20u);
    EXPECT_EQ(parts.of(100, false, now + 4 * Parts::kLong), 100u) << "who comes counts at once";
}

}  // namespace
}  // namespace lockgw::tier
