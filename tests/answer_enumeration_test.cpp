// Every interleaving of a small world, to a stated depth: calls, answers, second copies, withdrawals, a
// server's words about its connection, breaks, time-outs, hung calls, kills and descriptors taken away. The
// forwarder of the model decides by answer_meaning and connection_history alone. The oracle knows what is
// true at the target, and checks the protocol page's sentences; it shares no table with the program.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>

#include "deliveries/http/answer_meaning.hpp"

namespace lockgw {
namespace {

using cometspoke::Effect;
using cometspoke::Outcome;

constexpr std::size_t kMostConnections = 3, kMostCallsEach = 3;

/// What the forwarder of the model holds of a message.
enum class Record { Held, Out, Noticed, Gone };

/// An answer on its way to the forwarder.
struct Sent {
    AnswerKind kind;
    int message;  ///< whose own answer it is; kNobodys: a copy, or a word about the connection
    bool closing = false;
    auto operator<=>(const Sent&) const = default;
};
constexpr int kNobodys = -1;

struct Link {
    bool open = true;
    bool pooled = false;  ///< may carry a call
    bool hung = false;    ///< a call on it is never answered, and none behind it
    int call = kNobodys;  ///< the message whose answer the forwarder waits for
    ConnectionHistory history;
    std::deque<int> unanswered;      ///< calls that the target has not answered, by message
    std::deque<Sent> on_their_way;   ///< answers that the forwarder has not read
    std::set<AnswerKind> written{};  ///< that may be copied
    auto operator<=>(const Link&) const = default;
};

/// What is true of a message.
struct Truth {
    bool withdrawn = false, may_have_run = false, delivered = false;
    bool end_was_told = false;  ///< an own 200 or 410 was read, or a notice sent
    int calls = 0;
    auto operator<=>(const Truth&) const = default;
};

struct Message {
    Effect effect = Effect::Retryable;
    Record record = Record::Held;
    bool doubt = false;  ///< of the forwarder: a call may have run
    Truth truth;
    auto operator<=>(const Message&) const = default;
};

struct Faults {
    int copies = 0, words = 0, breaks = 0, time_outs = 0, kills = 0, descriptors = 0, withdrawals = 0,
        hangs = 0;
    auto operator<=>(const Faults&) const = default;
    bool any() const { return *this != Faults{}; }
};

struct World {
    std::vector<Message> messages;
    std::vector<Link> links;
    ConnectionHistory::Time now{std::chrono::hours(1)};
    Faults left;             ///< that may still happen
    bool disturbed = false;  ///< one has happened, a withdrawal excepted
    std::string broken;      ///< the first sentence that was broken
    auto operator<=>(const World&) const = default;
};

bool runs(AnswerKind kind) { return kind == AnswerKind::Delivered || kind == AnswerKind::Error; }

// ---- the forwarder of the model ----

/// A call with this outcome has certainly not run.
bool never_ran(Outcome outcome) { return outcome == Outcome::TurnedAway || outcome == Outcome::NotSent; }

void send_notice(World& world, int message) {
    Message& one = world.messages[static_cast<std::size_t>(message)];
    const Truth& truth = one.truth;
    if (!world.disturbed && !truth.delivered && !truth.withdrawn && !truth.may_have_run)
        world.broken = "a message that never ran was ended early, though nothing was in doubt";
    one.record = Record::Noticed;
    one.truth.end_was_told = true;
}

void apply_fate(World& world, int message, Fate fate, Outcome outcome) {
    Message& one = world.messages[static_cast<std::size_t>(message)];
    if (one.record == Record::Noticed || one.record == Record::Gone) return;
    switch (fate) {
        case Fate::Open:
            one.doubt = one.doubt || !never_ran(outcome);
            one.record = Record::Held;
            break;
        case Fate::Over:
            if (!one.truth.delivered && !one.truth.withdrawn)
                world.broken = "a message that was taken on ended in silence";
            one.record = Record::Gone;
            break;
        case Fate::StatusOwed:
            send_notice(world, message);
            break;
    }
}

/// What is on its way is lost; a call that the target has not answered may still run.
void close_link(World& world, Link& link) {
    link.open = link.pooled = false;
    for (const int message : link.unanswered)
        world.messages[static_cast<std::size_t>(message)].truth.may_have_run = true;
    link.unanswered.clear();
    link.on_their_way.clear();
    link.written.clear();
}

/// The call of the link ends; `answer`: what was read of its answer.
void end_call(World& world, Link& link, ObservedAnswer answer, bool closing, Outcome otherwise) {
    const int message = std::exchange(link.call, kNobodys);
    const Message& one = world.messages[static_cast<std::size_t>(message)];
    const Certainty certainty = link.history.judge(answer.kind, !closing);
    const CallEnd end = end_of_call(answer, certainty, one.effect, otherwise);
    apply_fate(world, message, end.fate, end.outcome);
    if (answer.kind == AnswerKind::None) return close_link(world, link);
    link.history.end_answer(answer.kind, certainty, world.now);
    if (keeps_connection(answer.kind, answer.whole && !closing))
        link.pooled = true;
    else
        close_link(world, link);
}

void read_answer(World& world, Link& link) {
    const Sent sent = link.on_their_way.front();
    link.on_their_way.pop_front();
    if (sent.message != kNobodys && (sent.kind == AnswerKind::Delivered || sent.kind == AnswerKind::Over))
        world.messages[static_cast<std::size_t>(sent.message)].truth.end_was_told = true;
    if (link.call != kNobodys)
        return end_call(world, link, {sent.kind, true}, sent.closing, Outcome::Unreadable);
    close_link(world, link);  // more answers than calls
}

// ---- the oracle: what the protocol page says of a call ----

void check_call(World& world, int message) {
    const Message& one = world.messages[static_cast<std::size_t>(message)];
    if (one.truth.end_was_told) world.broken = "a message was called again after its end was told";
    if (one.truth.may_have_run && one.effect == Effect::Fragile)
        world.broken = "an unsafe message that may have run was called again";
    for (const Link& link : world.links)
        if (link.open && std::count(link.unanswered.begin(), link.unanswered.end(), message) != 0)
            world.broken = "two calls of one message were out at once";
}

void start_call(World& world, std::size_t link_number, int message) {
    Message& one = world.messages[static_cast<std::size_t>(message)];
    check_call(world, message);
    ++one.truth.calls;
    one.record = Record::Out;
    Link& link = world.links[link_number];
    link.history.begin_call(world.now);
    link.pooled = false;
    link.call = message;
    link.unanswered.push_back(message);
}

// ---- what may happen next ----

using Next = std::function<void(World)>;

bool may_be_called(const Message& one) {
    return one.record == Record::Held && one.truth.calls < static_cast<int>(kMostCallsEach) &&
           (!one.doubt || one.effect != Effect::Fragile);
}

void calls(const World& world, const Next& next) {
    for (std::size_t i = 0; i < world.messages.size(); ++i) {
        const Message& one = world.messages[i];
        if (!may_be_called(one)) continue;
        for (std::size_t at = 0; at < world.links.size(); ++at) {
            const Link& link = world.links[at];
            if (!link.pooled || !link.history.may_carry(one.effect, false, world.now)) continue;
            World after = world;
            start_call(after, at, static_cast<int>(i));
            next(std::move(after));
        }
        if (world.links.size() >= kMostConnections) continue;
        World after = world;
        after.links.emplace_back();
        start_call(after, after.links.size() - 1, static_cast<int>(i));
        next(std::move(after));
    }
}

/// The target answers the oldest call of a connection, by what is true of its message.
void answers(const World& world, const Next& next) {
    for (std::size_t at = 0; at < world.links.size(); ++at) {
        if (world.links[at].unanswered.empty() || world.links[at].hung) continue;
        const int message = world.links[at].unanswered.front();
        const Truth& truth = world.messages[static_cast<std::size_t>(message)].truth;
        std::vector<AnswerKind> possible{AnswerKind::Delivered, AnswerKind::Refused, AnswerKind::Error};
        if (truth.withdrawn) possible = {AnswerKind::Over};
        if (truth.delivered) possible = {AnswerKind::Delivered};
        for (const AnswerKind kind : possible) {
            World after = world;
            Link& link = after.links[at];
            link.unanswered.pop_front();
            link.on_their_way.push_back({kind, message});
            link.written.insert(kind);
            Truth& now = after.messages[static_cast<std::size_t>(message)].truth;
            now.may_have_run = now.may_have_run || runs(kind);
            now.delivered = now.delivered || kind == AnswerKind::Delivered;
            next(std::move(after));
        }
    }
}

void reads(const World& world, const Next& next) {
    for (std::size_t at = 0; at < world.links.size(); ++at) {
        if (world.links[at].on_their_way.empty()) continue;
        World after = world;
        read_answer(after, after.links[at]);
        next(std::move(after));
    }
}

/// A second passes. No own answer comes later than that behind a copy, unless its call hangs and is never
/// answered (what stays belief, docs/answer-pairing.md).
void rests(const World& world, const Next& next) {
    bool waiting = false;
    std::size_t hung = 0;
    for (const Link& link : world.links) {
        if (!link.open || link.call != kNobodys) continue;
        if (!link.on_their_way.empty()) return;
        waiting = waiting || !link.history.proves_refusals(world.now);
        hung += link.unanswered.size();
    }
    if (!waiting || hung > static_cast<std::size_t>(world.left.hangs)) return;
    World after = world;
    after.left.hangs -= static_cast<int>(hung);
    after.disturbed = after.disturbed || hung > 0;
    after.now += ConnectionHistory::kRestTime;
    for (Link& link : after.links) {
        if (!link.open || link.call != kNobodys) continue;
        for (const int message : link.unanswered)
            after.messages[static_cast<std::size_t>(message)].truth.may_have_run = true;
        link.hung = link.hung || !link.unanswered.empty();
    }
    next(std::move(after));
}

void copies(const World& world, const Next& next) {
    if (world.left.copies == 0) return;
    for (std::size_t at = 0; at < world.links.size(); ++at)
        for (const AnswerKind kind : world.links[at].written) {
            if (!world.links[at].open) continue;
            World after = world;
            --after.left.copies;
            after.disturbed = true;
            after.links[at].on_their_way.push_back({kind, kNobodys});
            next(std::move(after));
        }
}

/// A server ends an idle connection by an answer that nobody asked for. A call that crosses it may be taken
/// all the same.
void words(const World& world, const Next& next) {
    if (world.left.words == 0) return;
    for (std::size_t at = 0; at < world.links.size(); ++at)
        for (const AnswerKind kind : {AnswerKind::Error, AnswerKind::Refused}) {
            const Link& link = world.links[at];
            if (!link.open || !link.unanswered.empty() || link.call != kNobodys) continue;
            World after = world;
            --after.left.words;
            after.disturbed = true;
            after.links[at].on_their_way.push_back({kind, kNobodys, true});
            next(std::move(after));
        }
}

void withdrawals(const World& world, const Next& next) {
    if (world.left.withdrawals == 0) return;
    for (std::size_t i = 0; i < world.messages.size(); ++i) {
        if (world.messages[i].truth.withdrawn || world.messages[i].truth.delivered) continue;
        World after = world;
        --after.left.withdrawals;
        after.messages[i].truth.withdrawn = true;
        next(std::move(after));
    }
}

/// A connection breaks, a call is given up, or a descriptor is taken away.
void ends_of_connections(const World& world, const Next& next) {
    for (std::size_t at = 0; at < world.links.size(); ++at) {
        const Link& link = world.links[at];
        if (!link.open) continue;
        const auto end = [&](int Faults::*fault, Outcome outcome) {
            if (world.left.*fault == 0) return;
            World after = world;
            --(after.left.*fault);
            after.disturbed = true;
            Link& ended = after.links[at];
            if (ended.call != kNobodys)
                end_call(after, ended, {}, false, outcome);
            else
                close_link(after, ended);
            next(std::move(after));
        };
        end(&Faults::breaks, Outcome::ConnectionLost);
        if (link.call != kNobodys)
            end(&Faults::time_outs, Outcome::NoAnswer);
        else
            end(&Faults::descriptors, Outcome::NotSent);
    }
}

/// The process is killed and started again: what the journal holds is all it knows.
void kills(const World& world, const Next& next) {
    if (world.left.kills == 0) return;
    World after = world;
    --after.left.kills;
    after.disturbed = true;
    for (Link& link : after.links) {
        link.call = kNobodys;
        if (link.open) close_link(after, link);
    }
    for (Message& one : after.messages)
        if (one.record == Record::Out) one.record = Record::Held, one.doubt = true;
    next(std::move(after));
}

struct Explored {
    std::size_t states = 0;
    std::map<std::string, std::size_t> broken;  ///< the steps to the first state that breaks a sentence
};

/// All worlds that can come of `first` within `depth` steps, each once.
Explored explore(const World& first, std::size_t depth) {
    Explored explored;
    std::set<World> seen{first}, front{first};
    for (std::size_t step = 1; step <= depth && !front.empty(); ++step) {
        std::set<World> following;
        const Next next = [&](World world) {
            if (!world.broken.empty()) {
                explored.broken.emplace(world.broken, step);
                return;
            }
            if (seen.insert(world).second) following.insert(std::move(world));
        };
        for (const World& world : front)
            for (const auto& events :
                {calls, answers, reads, rests, copies, words, withdrawals, ends_of_connections, kills})
                events(world, next);
        if (!explored.broken.empty()) break;
        front = std::move(following);
    }
    explored.states = seen.size();
    return explored;
}

/// A connection that has carried one delivery, and messages of these effects.
World used_connection(const std::vector<Effect>& effects, const Faults& faults) {
    World world;
    for (const Effect effect : effects) world.messages.emplace_back().effect = effect;
    Link& link = world.links.emplace_back();
    link.history.begin_call(world.now);
    link.history.end_answer(AnswerKind::Delivered, Certainty::Certain, world.now);
    link.written.insert(AnswerKind::Delivered);
    link.pooled = true;
    world.left = faults;
    return world;
}

struct Play {
    const char* name;
    std::vector<Effect> effects;
    Faults faults;
    std::size_t depth;
};
void PrintTo(const Play& play, std::ostream* out) { *out << play.name; }

constexpr Effect kRepeatable = Effect::Retryable, kKeyed = Effect::Dedup, kUnsafe = Effect::Fragile;

class AnswerEnumeration : public ::testing::TestWithParam<Play> {};

// In no world that is still possible may a message be called again after its end was told, run again against
// its effect, be out twice at once, or end in silence.
TEST_P(AnswerEnumeration, NoInterleavingBreaksASentence) {
    const Play& play = GetParam();
    const Explored explored = explore(used_connection(play.effects, play.faults), play.depth);
    RecordProperty("states", std::to_string(explored.states));
    std::printf("%s: depth %zu, %zu states\n", play.name, play.depth, explored.states);
    for (const auto& [sentence, steps] : explored.broken)
        ADD_FAILURE() << sentence << ", in " << steps << " steps";
    EXPECT_GT(explored.states, 100u);
}
INSTANTIATE_TEST_SUITE_P(Worlds, AnswerEnumeration,
    ::testing::Values(Play{"nothing_goes_wrong", {kRepeatable, kUnsafe}, {}, 12},
        Play{"withdrawals", {kRepeatable, kRepeatable, kUnsafe}, {0, 0, 0, 0, 0, 0, 2}, 10},
        Play{"copies", {kRepeatable, kUnsafe}, {2}, 10}, Play{"copies_and_keys", {kKeyed, kUnsafe}, {2}, 9},
        Play{"copies_and_withdrawals", {kRepeatable, kKeyed}, {1, 0, 0, 0, 0, 0, 1}, 9},
        Play{"words_about_connections", {kRepeatable, kUnsafe}, {0, 1, 0, 0, 0, 0, 1}, 10},
        Play{"words_and_keys", {kKeyed, kUnsafe}, {1, 1, 0, 0, 0, 0, 1}, 8},
        Play{"breaks_and_time_outs", {kRepeatable, kUnsafe}, {1, 0, 1, 1, 0, 0, 0}, 9},
        Play{"hung_calls", {kRepeatable, kUnsafe}, {2, 0, 0, 0, 0, 0, 1, 2}, 9},
        Play{"hung_calls_and_keys", {kKeyed, kUnsafe}, {2, 0, 0, 1, 0, 0, 0, 2}, 8},
        Play{"kills", {kRepeatable, kUnsafe}, {1, 0, 0, 0, 1, 0, 1}, 9},
        Play{"descriptors", {kRepeatable, kUnsafe}, {1, 0, 0, 0, 0, 1, 1}, 9},
        Play{"everything_once", {kRepeatable, kUnsafe}, {1, 1, 1, 1, 1, 1, 1, 1}, 7}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace lockgw
