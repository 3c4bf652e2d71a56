/// One member's part in orderly work: it votes, learns what is settled, takes its own turn, renews what it
/// holds, sees to hosts, and tells what a person wants. docs/work.md has the ways weighed and the laws.
///
///     Serving --its turn, granted--> Leaving --drained--> Working --done--> Returning --warm--> Serving
///        ^                              |                    |                  ^
///        +------------------------------+--- time over, cancelled, dropped -----+
///
/// Time: a grant holds for Plan::each from before the proposal that renewed it was begun, by the holder's
/// clock; the others take it for over when they have known of it, unrenewed, for longer by twice the drift.
/// So it has ended for its holder before it ends for anybody else, however late anything comes. Clocks may
/// differ by anything, and drift by kDrift.
///
/// Safety goes before progress: whoever hears too little, does not know the plan, or cannot write down what
/// it is to promise, does nothing. Whoever sends what out() has must have stored stored() first, where
/// `changed`.
///
/// No I/O, no clock. Deterministic for a seed. One thread.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "work/register.hpp"

namespace lockgw::work {

constexpr double kDrift = 0.05;
/// By so much longer than its holder the others wait for a grant to end.
constexpr double kPatience = (1 + kDrift) * (1 + kDrift);

struct CrewSettings {
    Number own = 0;
    std::size_t members = 1;
    std::uint32_t process =
        1;  ///< another one with each start, and growing: seconds of a clock, where the folder is lost
    std::uint64_t seed = 1;
    Time answer{1'200'000};  ///< a proposal that is not through by then is begun anew, with longer each time
    Time again{200'000};     ///< voters that have not answered are asked again
    Time backoff{300'000};   ///< after one that was refused, twice as long each time
    Time tells{1'000'000};   ///< what is chosen is told to somebody, at least
    Time margin{300'000};    ///< a grant that ends is let go of so long before
    Time passed_over{
        4'000'000};  ///< one whose turn it is and that does not go holds the others up for so long
};

/// What a member sees of the world at a moment.
struct Sight {
    bool sure = false;                      ///< most of the tier is heard
    std::vector<Number> gone;               ///< forwarders that are there no more, without an order
    std::vector<Number> long_gone;          ///< of those, gone for longer than any call takes
    std::vector<Machine> lost;              ///< hosts without any target that serves, without an order
    unsigned minute = 0;                    ///< of the day
    bool serves = true;                     ///< this one is in service, and not out by hand
    bool drained = false;                   ///< it owes nothing and has no client
    bool warm = true;                       ///< it serves, and what it owed is taken up
    std::set<Machine> over;                 ///< what it was to do to them is done
    std::set<Machine> broken;               ///< or has failed
    std::function<unsigned(Machine)> left;  ///< Facts::left
    std::function<bool(Machine)> let_go;    ///< no call of this one is out at any of the host's targets
};

class Crew {
public:
    enum class Phase : std::uint8_t { Serving, Leaving, Working, Returning };
    struct Note {
        Number to = 0;
        Message message;
    };
    /// What became of what a person wanted.
    struct Answer {
        std::uint64_t ticket = 0;
        bool done = false;
        std::string why;  ///< where not
    };

    /// `stored`: of the process before; empty: none. One that cannot be read is none, and told by `read`.
    Crew(const CrewSettings& settings, std::string_view stored, Time now);
    bool read() const { return read_; }

    void tick(const Sight& sight, Time now);
    void heard(Number from, const Message& message, Time now);
    /// What is to be sent, since the last call.
    std::vector<Note> out() { return std::exchange(out_, {}); }
    /// Nothing of that may be sent: it could not be stored.
    void keep_quiet() { out_.clear(); }
    bool changed() const { return changed_; }
    std::string stored();

    /// By a person's word; an answer comes by answers(). Plan: with its bytes.
    std::uint64_t want(const Change& change, std::string plan = {});
    std::vector<Answer> answers() { return std::exchange(answers_, {}); }
    /// This voter lost its record, and a person says that it may vote all the same.
    void join();

    Phase phase() const { return own_.phase; }
    std::uint32_t fence() const { return own_.fence; }
    /// It is to be out of service.
    bool away() const { return own_.phase == Phase::Leaving || own_.phase == Phase::Working; }
    /// Machines that this one may have worked on now, by their fences: itself, hosts that it sees to.
    std::map<Machine, std::uint32_t> to_work_on() const;
    /// known_as of the targets to which nothing new goes.
    const std::set<std::uint64_t>& targets_out() const { return targets_out_; }
    /// A process of this member began its work: the next one ends it (Task::Restart).
    bool restarted() const { return own_.phase == Phase::Working && own_.process != settings_.process; }

    const State& state() const { return state_; }
    const std::optional<Plan>& plan() const { return plan_; }
    const std::vector<Number>& voters() const { return voters_; }
    bool votes() const;
    bool joined() const { return voter_.stored().joined; }
    const Voter& voter() const { return voter_; }
    std::optional<Change> proposing() const;
    /// The machines that go next, in the settled order, and why the first that could not go waits.
    struct Order {
        std::vector<Machine> next;
        std::string waits;
    };
    Order order(const Sight& sight, Time now) const;
    /// Of a grant that it holds, by its own clock; none: it does not know, or holds none.
    std::optional<Time> lease_left(std::uint32_t fence, Time now) const;
    struct Counts {
        std::uint64_t proposals = 0, refused = 0, chosen = 0, foreign = 0;
    };
    const Counts& counts() const { return counts_; }
    /// All that decides what it does next, but for its random numbers.
    std::string fingerprint(Time now) const;

private:
    struct Own {
        std::uint32_t fence = 0;
        Phase phase = Phase::Serving;
        std::uint32_t process = 0;  // that began to work
        bool fails = false;         // it came back without its work done
    };
    struct Wanted {
        Change change;
        std::uint64_t ticket = 0;  // 0: its own
        std::string plan;
        std::optional<Time> begun;  // the first proposal of it
    };

    Facts facts(const Sight& sight) const;
    void send(Number to, Message message);
    void send_to_voters(const Message& message);
    void tell_chosen(Number to);
    void learn(const Ballot& ballot, const std::string& value, Time now);
    bool may_still_go(const Sight& sight) const;
    void look_at_own(const Sight& sight, Time now);
    void look_at_hosts(const Sight& sight, Time now);
    void look_at_leases(const Sight& sight, Time now);
    void look_at_plan(Time now);
    void take_turn(const Sight& sight, Time now);
    void go_on(const Sight& sight, Time now);
    void propose(Time now);
    void promised(const Sight& sight, Time now);
    void settled(bool done, const std::string& why);
    void wish(const Change& change);
    bool wishes(Change::What what, Machine machine) const;
    void take_in_plan(const std::string& bytes);
    static Change about(Change::What what, const Out& out);
    void hold_on(const Out& out, Time now);
    void release_old();
    bool first_alive(Machine machine, const Sight& sight) const;
    Time drawn(Time most);
    std::uint64_t random();
    void back_off(Time now);

    CrewSettings settings_;
    std::vector<Number> voters_;
    std::uint32_t electorate_;
    bool read_ = true, changed_ = false;
    Voter voter_;
    Proposer proposer_;
    std::uint32_t round_ = 0;  // the highest that was begun here: no ballot comes twice
    State state_;              // as chosen, as far as it is known
    Ballot state_of_;
    std::string value_;
    std::optional<Plan> plan_;
    std::string plan_bytes_;
    std::map<std::uint32_t, std::string> parts_;  // of a plan on its way
    std::uint32_t parts_of_ = 0;
    Own own_;
    std::map<std::uint32_t, Time> leases_;  // by fence, of what it holds: since when
    std::vector<Machine> order_;            // of the plan
    std::optional<Wanted> wanted_;
    std::deque<Wanted> queue_;
    Time began_{0}, sent_{0}, not_before_{0}, told_at_{0}, asked_at_{0}, changed_at_{0};
    unsigned tries_ = 0;
    int fresh_ = 0;  // rounds in which what is chosen is told to more
    bool promised_ = false;
    std::string refusal_;  // of the change, while a value before it is written to its end
    std::map<std::uint32_t, std::pair<std::uint16_t, Time>> seen_;  // by fence: its term, and since when
    std::map<std::uint32_t, std::set<Number>> let_;                 // by fence, of hosts that it sees to
    std::map<std::uint32_t, Time> let_told_;                        // by fence, when it said so
    std::set<std::uint64_t> targets_out_;
    std::vector<Note> out_;
    std::vector<Answer> answers_;
    std::uint64_t tickets_ = 0, random_;
    Counts counts_;
};

const char* text_of(Crew::Phase phase);

}  // namespace lockgw::work
