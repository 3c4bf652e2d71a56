/// A new version takes over from an old one: who owns what, step by step. Design: docs/handover.md.
///
/// One folder that lasts, two locks in it. `owner` is held by the process that owns the journal, the peers'
/// address and the clients; `next` by the one that is ready to take over, which is how it asks. The kernel
/// lets go of both with their process, whatever ends it. Laws (tests/handover_test.cpp):
///  1. Nobody owns without `owner`; nobody gives it up with a client's answer owed, unless its time is up.
///  2. A process that is asked stops new calls first, then lets clients go, then hands over: never in another
///     order, and within kCalls + kClients.
///  3. Whoever asked and died is forgotten: the old one goes on.
///  4. One that has given up and is not followed takes back.
///
/// No I/O, no clock: locks are the caller's, times too. Deterministic. One thread.
#pragma once

#include <chrono>
#include <cstddef>

namespace lockgw::handover {

using Time = std::chrono::steady_clock::time_point;
using Span = std::chrono::milliseconds;

constexpr Span kCalls{250};      ///< waited for calls that are out; then their outcomes are unknown
constexpr Span kClients{250};    ///< and for clients between requests and commands that have begun
constexpr Span kAnswers{50};     ///< of these, at the end: nothing is read any more, and answers are written
constexpr Span kNotTaken{1500};  ///< a successor that has not taken over by then hangs
constexpr Span kSpare{10'000};   ///< how long one that was followed stands by

/// The side of the one that owns.
class Yielding {
public:
    enum class State { Serving, EndingCalls, LettingGo, Answering, Over };
    enum class Step {
        None,
        StopCalls,    ///< none is begun any more; messages are taken in as before
        GoOn,         ///< whoever asked is gone: calls are begun again
        LetGo,        ///< clients, between requests; nobody new
        StopReading,  ///< from clients: a request read now would not be answered in time
        HandOver,     ///< all of it, now
    };

    /// `wanted`: another process asks. `calls`: that are out. `clients`: some are connected.
    Step step(bool wanted, std::size_t calls, bool clients, Time now) {
        if (state_ == State::Serving)
            return wanted ? to(State::EndingCalls, Step::StopCalls, now) : Step::None;
        if (state_ == State::EndingCalls) {
            if (!wanted) return to(State::Serving, Step::GoOn, now);
            if (calls > 0 && now < since_ + kCalls) return Step::None;
            return to(State::LettingGo, Step::LetGo, now);
        }
        if (state_ == State::LettingGo && clients && now >= since_ + kClients - kAnswers)
            return to(State::Answering, Step::StopReading, now);
        if (state_ == State::LettingGo && clients) return Step::None;
        if (state_ == State::Over || (state_ == State::Answering && clients && now < since_ + kAnswers))
            return Step::None;
        return to(State::Over, Step::HandOver, now);
    }
    State state() const { return state_; }

private:
    Step to(State state, Step step, Time now) {
        state_ = state;
        since_ = now;
        return step;
    }
    State state_ = State::Serving;
    Time since_{};
};

inline const char* text_of(Yielding::Step step) {
    switch (step) {
        case Yielding::Step::None:
            return "none";
        case Yielding::Step::StopCalls:
            return "no new calls";
        case Yielding::Step::GoOn:
            return "goes on";
        case Yielding::Step::LetGo:
            return "clients let go";
        case Yielding::Step::StopReading:
            return "nothing more is read";
        case Yielding::Step::HandOver:
            return "handed over";
    }
    return "?";
}

/// What a process that does not own can do with the locks. try_ calls tell whether it has the lock now.
class Locks {
public:
    virtual bool try_owner() = 0;
    virtual bool try_next() = 0;
    virtual void drop_next() = 0;

protected:
    ~Locks() = default;
};

/// The side of the one that does not own, yet or any more.
class Waiting {
public:
    enum class Goal {
        TakeOver,  ///< it is new, and asks
        Spare,     ///< it has handed over, and owns again only if nobody else does
    };
    enum class Step { None, Own, Leave };

    Waiting(Goal goal, Time now) : goal_(goal), since_(now) {}

    /// Own: it has both locks, and lets go of `next` once it serves.
    Step step(Locks& locks, Time now) {
        if (goal_ == Goal::TakeOver) {
            asks_ = asks_ || locks.try_next();
            return asks_ && locks.try_owner() ? Step::Own : Step::None;
        }
        const bool nobody_next = locks.try_next();
        if ((nobody_next || now >= since_ + kNotTaken) && locks.try_owner()) return Step::Own;
        if (nobody_next) locks.drop_next();
        return now >= since_ + kSpare ? Step::Leave : Step::None;
    }

private:
    Goal goal_;
    Time since_;
    bool asks_ = false;
};

}  // namespace lockgw::handover
