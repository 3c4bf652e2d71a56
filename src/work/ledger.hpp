/// What the tier has settled on: the plan in force, who is out by it, and under which number. One value, kept
/// by the voters' register (register.hpp); each change of it is a function of the value before, so whoever
/// makes a change sees all that was granted before it.
///
///     None --plan--> Proposed --approve--> Approved <--approve-- Held
///       ^                |                    |  ^---- all done --> Finished
///       +---- cancel ----+------- hold -------+  (nothing is taken out; who is out comes back)
///
/// Laws (tests/work_ledger_test.cpp):
///  1. No change but force lets more be out than the plan allows: in the tier (those that died by themselves
///  among
///     them), in a zone, of a destination; nor leaves fewer forwarders than least_in, nor less than
///     least_left of a destination, nor most of the voters out.
///  2. A plan takes another's place only while nothing is out.
///  3. Fencing numbers only grow, and each is given once.
///  4. Nothing comes to an end by another number than its own.
/// No I/O, no clock. bytes_of(State) has kMostState bytes at most.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "work/plan.hpp"

namespace lockgw::work {

constexpr std::size_t kMostState = 200;

enum class Mode : std::uint8_t { None, Proposed, Approved, Held, Finished, Cancelled };
const char* text_of(Mode mode);
enum class Reason : std::uint8_t { None, Operator, Broken, Overdue };  ///< of Held
const char* text_of(Reason reason);

/// One machine that is out.
struct Out {
    enum class Phase : std::uint8_t {
        Leaving,  ///< it drains; of a host: not all forwarders have said yet that they send nothing there
        Free,     ///< it may be worked on
        Overdue,  ///< its time is over, and it counts until a person says otherwise
        Broken    ///< it came back and is not well
    };
    Machine machine = 0;
    std::uint32_t fence = 0;  ///< the grant's number
    std::uint16_t term = 0;   ///< how often the grant was renewed
    Number steward = 0;       ///< the forwarder that sees to it: itself, or one for a host
    Phase phase = Phase::Leaving;
    bool forced = false;  ///< by a person, whatever the plan says
    bool operator==(const Out&) const = default;
};
const char* text_of(Out::Phase phase);

struct State {
    std::uint32_t version = 0;  ///< changes so far
    std::uint32_t epoch = 0;    ///< plans so far
    std::uint64_t plan = 0;     ///< the digest of the one in force
    Mode mode = Mode::None;
    Reason reason = Reason::None;
    Machine about = kNobody;  ///< whom the reason is about
    std::uint32_t fence = 0;  ///< the last that was given
    std::vector<Out> outs;
    std::vector<bool> done;  ///< by place in the plan
    bool operator==(const State&) const = default;

    const Out* out(Machine machine) const;
    bool is_done(std::size_t place) const { return place < done.size() && done[place]; }
    std::size_t done_count() const;
};
std::string bytes_of(const State& state);
std::optional<State> state_of(std::string_view bytes);

struct Change {
    enum class What : std::uint8_t {
        Plan,     ///< another one is proposed
        Approve,  ///< it runs, or runs on
        Hold,     ///< nobody goes any more
        Cancel,   ///< the same, and who has not begun comes back
        Take,     ///< a machine goes
        Free,     ///< all forwarders have let go of a host
        Renew,    ///< the grant goes on
        Done,     ///< the machine is back
        Back,     ///< the same, but its work was not done
        Broken,   ///< the same, but it is not well
        Expire,   ///< the time of a grant is over
        Drop,     ///< by force: a machine no longer counts as out, whatever it is
        Force     ///< by force: a machine goes, whatever the plan says
    };
    What what = What::Hold;
    Machine machine = kNobody;
    std::uint32_t fence = 0;  ///< of the grant, where there is one
    std::uint16_t term = 0;   ///< of Expire: the one whose time is over
    std::uint64_t plan = 0;   ///< of Plan
    std::size_t places = 0;   ///< of Plan: machines in it
    bool operator==(const Change&) const = default;
};
const char* text_of(Change::What what);

/// What the one that makes a change knows besides.
struct Facts {
    Number own = 0;
    std::size_t members = 1;
    const Plan* plan = nullptr;  ///< the one in force, if it is known here
    std::vector<Number> voters;
    std::vector<Machine> lost;  ///< forwarders and hosts that are gone without an order
    bool sure = false;          ///< most of the tier is heard
    unsigned minute = 0;        ///< of the day, UTC
    /// The part in percent that stays of the destination that would keep least, were `machine` and all others
    /// that are out or lost gone; 100 where it runs no target.
    std::function<unsigned(Machine)> left;
};

/// The state after it, or why not (one line).
struct Applied {
    std::optional<State> state;
    std::string why;
};
Applied apply(const State& before, const Change& change, const Facts& facts);

/// Whether `machine` could go now, by the plan and what is known here.
std::string refused(const State& state, Machine machine, const Facts& facts);

/// The order in which a plan's machines go: zones take turns, within one by a hash of the plan and the
/// machine, the same at all.
std::vector<Machine> order_of(const Plan& plan, std::uint64_t digest);

}  // namespace lockgw::work
