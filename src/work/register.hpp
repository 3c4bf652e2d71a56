/// One value that the voters keep together, without a leader: a register after Paxos, each change of which is
/// a function of the value before (CASPaxos). A change is made by whoever wants it: it asks the voters for
/// their promise not to take part in any earlier ballot, builds on the newest value that they know, and has
/// it accepted. What a majority has accepted is chosen, and no other value is ever chosen in its place.
///
/// A voter's promise and what it accepted must be on disk before its word goes out: the caller writes
/// Voter::stored() before it sends what Voter::heard() gives back.
///
/// No I/O, no clock. Deterministic.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "work/ledger.hpp"

namespace lockgw::work {

/// Higher ones win; no two members have the same.
struct Ballot {
    std::uint32_t round = 0;
    Number by = 0;
    auto operator<=>(const Ballot&) const = default;
};

/// What members say about the register; one section of a note.
struct Message {
    enum class Kind : std::uint8_t {
        Prepare = 1,  ///< promise not to accept anything of an earlier ballot
        Promise,      ///< so be it; and the newest that was accepted here
        Accept,       ///< accept this
        Accepted,     ///< so be it
        Refused,      ///< there is a later ballot
        Chosen,       ///< a majority has accepted this
        Ask,          ///< tell what is chosen, as far as you know
        Let,          ///< `ballot.round`: the version that the sender goes by and has let go of hosts after
        PlanAsk,      ///< tell a part of the plan: `ballot.round`, its number
        Recover,      ///< a voter without a record: tell what you promised and accepted
        Recovered,    ///< so be it; `digest` 1: the teller has a record itself
        PlanPart      ///< so be it: `ballot.round` of `of.round`, the bytes of the plan with this digest
    };
    Kind kind = Kind::Ask;
    std::uint32_t electorate = 0;  ///< whoever has other voters is not heard
    Ballot ballot;
    Ballot of;                 ///< the value's, of Promise and Refused (the later one)
    std::string value;         ///< bytes_of(State), empty: none; a plan's bytes
    std::uint64_t digest = 0;  ///< of a plan
    bool operator==(const Message&) const = default;
};
std::string bytes_of(const Message& message);
std::optional<Message> message_of(std::string_view bytes);
constexpr std::size_t kPlanPart = 160;  ///< bytes of a plan in one message

/// So many members vote at most: where there are fewer, all do.
constexpr std::size_t kMostVoters = 7;
/// The voters of a tier, the same at all that have the same peers: spread over the numbers.
std::vector<Number> voters_of(std::size_t members);
std::uint32_t electorate_of(std::size_t members, const std::vector<Number>& voters);
constexpr std::size_t majority_of(std::size_t voters) { return voters / 2 + 1; }

/// One voter's part.
class Voter {
public:
    struct Stored {
        bool joined = false;  ///< it votes: it has a record, and the record is whole
        Ballot promised, accepted;
        std::string value;
        bool operator==(const Stored&) const = default;
    };
    Voter() = default;
    explicit Voter(Stored stored) : is_(std::move(stored)) {}

    /// The answer to Prepare, Accept or Recover, if there is one; `changed`: it is to be stored first.
    /// For kBusy after a promise no ballot of a higher member gets one, unless the first is through here
    /// (lower ones do, so that two that have half of the voters each do not wait for one another): many that
    /// want something at once come one after another, and do not keep each other from it.
    std::optional<Message> heard(const Message& message, bool& changed, Time now);
    bool busy(Time now) const { return is_.promised != is_.accepted && busy_until_ > now; }
    /// Without a record it must not vote: what it promised may be forgotten. It recovers from as many others
    /// with a record as make a majority, or begins with all others where none has accepted anything yet and
    /// nobody tells of anything chosen (`first`). True: it has joined.
    bool recovered(Number from, const Message& message, std::size_t voters, bool first);
    /// By a person's word, with what was learned.
    void join(const Ballot& ballot, std::string value);
    const Stored& stored() const { return is_; }

private:
    struct Told {
        bool joined = false;
        Ballot promised, accepted;
        std::string value;
    };
    static constexpr Time kBusy{2'000'000};
    Stored is_;
    Time busy_until_{0};
    std::map<Number, Told> told_;
};

/// One change on its way.
class Proposer {
public:
    enum class Phase { Idle, Preparing, Accepting };

    Proposer(Number own, std::size_t voters) : own_(own), voters_(voters) {}

    /// Begins; what is to be sent to all voters.
    Message begin(std::uint32_t after);
    /// An answer of a voter. Once most have promised, value() is the newest value and accept() goes on.
    enum class Came { Nothing, Promised, Chosen, Refused };
    Came heard(Number from, const Message& message);
    const std::string& value() const { return newest_; }
    Message accept(std::string value);
    /// What is to be sent once more to those that have not answered.
    std::optional<Message> again() const;
    bool answered(Number voter) const { return with_.contains(voter); }
    void give_up() { phase_ = Phase::Idle; }

    Phase phase() const { return phase_; }
    const Ballot& ballot() const { return ballot_; }
    /// The highest round that was heard of: the next begins above it.
    std::uint32_t seen() const { return seen_; }
    /// A round that somebody else has begun.
    void saw(std::uint32_t round) { seen_ = std::max(seen_, round); }
    const std::string& proposed() const { return proposed_; }
    std::string fingerprint() const;

private:
    Number own_;
    std::size_t voters_;
    Phase phase_ = Phase::Idle;
    Ballot ballot_, newest_of_;
    std::string newest_, proposed_;
    std::set<Number> with_;
    std::uint32_t seen_ = 0;
};

}  // namespace lockgw::work
