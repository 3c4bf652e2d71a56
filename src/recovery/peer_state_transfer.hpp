/// What a restarted process asks its peers, what they answer, and which of their facts it adopts.
///
/// Carried by gossip datagrams (src/notes), one section each. An answer tells whether its sender has itself
/// only just started, how long ago it last heard of the asker's earlier process, and, as 48-bit names with an
/// age each, which targets an operator has taken offline and which it holds to be down. Rate limits travel in
/// their own sections.
///
/// Each peer counts for itself how many processes came back together: by the questions it received, of which
/// each restarted process sends kAsked to random members, and by the members seen to have restarted
/// (back_of()).
///
/// No answer sets or ends a retry-after, tells anything about attempts, or marks a target as healthy.
/// Invariants (tests/recovery_test.cpp):
///  1. A fact of a single peer is adopted only if nobody else answered; otherwise the majority of the peers
///     that answered and are not young themselves must state it, and at least two.
///  2. A fact older than kHolds is ignored. No peer counts twice, however often it answers.
///  3. The folder is an old copy if it lacks more than kLacking of what peers heard of its owner.
/// Bounds: kMostFacts of a peer. No I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cometspoke/sender.hpp"

namespace lockgw::recovery {

using cometspoke::Time;

constexpr Time kHolds{30'000'000};
constexpr Time kLacking{10'000'000};
constexpr std::size_t kMostHeard = 512;  ///< facts of one peer
constexpr std::size_t kAnswerHead = 5, kFactBytes = 9;

struct Question {
    std::uint32_t incarnation = 0;
};
struct Said {
    enum class What : std::uint8_t {
        Out = 1,
        Down = 2,
        Back = 3  ///< the name is a number: of forwarders that came back of late, as the teller counts them
    };
    What what = What::Out;
    std::uint64_t name = 0;  ///< 48 bits at most
    Time age{0};             ///< of an outage: since it began; an order has none
    bool operator==(const Said&) const = default;
};
struct Answer {
    bool young = false;
    std::optional<Time> heard;  ///< of the asker's earlier process, ago
    std::vector<Said> facts;
    bool operator==(const Answer&) const = default;
};

std::string bytes_of(const Question& question);
std::optional<Question> question_of(std::string_view bytes);
/// Sections of at most `room` bytes; at least one.
std::vector<std::string> sections_of(const Answer& answer, std::size_t room);
std::optional<Answer> answer_of(std::string_view bytes);

/// How many came back of late, where `questions` of them came here: each newcomer asks `asked` of the
/// `others` by chance. `seen`: known to have started anew, or to be gone and likely to come.
std::size_t back_of(std::size_t questions, std::size_t others, std::size_t asked, std::size_t seen);

class PeerStateTransfer {
public:
    /// Of `asked` peers, `enough` answers of such as are not young end the asking; `until` ends it at the
    /// latest.
    PeerStateTransfer(std::set<std::size_t> asked, std::size_t enough, Time until)
        : asked_(std::move(asked)), enough_(enough), until_(until) {}

    /// Not of one that was not asked.
    void heard(std::size_t from, const Answer& answer, Time now);
    bool done(Time now) const { return now >= until_ || old_ >= enough_; }
    Time until() const { return until_; }
    std::size_t answers() const { return by_.size(); }

    struct Taken {
        std::set<std::uint64_t> out;
        std::map<std::uint64_t, Time> down;  ///< and since when, ago
        std::optional<Time> heard;           ///< of the earlier process, ago
        std::optional<std::size_t> back;     ///< came back of late, in the middle of what is said
    };
    Taken taken(Time now) const;
    /// `mark`: how long ago the folder was last written.
    static bool folder_is_old(const Taken& taken, const std::optional<Time>& mark) {
        return taken.heard && mark && *mark > *taken.heard + kLacking;
    }

private:
    struct One {
        bool young = false;
        std::optional<Time> heard;  // when
        std::set<std::uint64_t> out;
        std::map<std::uint64_t, Time> down;  // since when
        std::optional<std::size_t> back;
    };
    std::set<std::size_t> asked_;
    std::size_t enough_;
    Time until_;
    std::size_t old_ = 0;  // answers of such as are not young
    std::map<std::size_t, One> by_;
};

}  // namespace lockgw::recovery
