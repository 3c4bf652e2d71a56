/// What a connection to a target has carried, and what its next answer proves. Pure: no sockets, no clock.
///
/// HTTP/1.1 pairs answers with calls by their order alone. A target, or a proxy in front of it, may send an
/// answer a second time; such a copy can be read behind the next call, whose own answer then comes later.
/// docs/answer-pairing.md has the whole table. The rules:
/// - The first answer on a connection is its call's own: nothing came before it that could be copied.
/// - A connection is reused only after answers of 200. A copy on it says 200, so any other answer is no copy.
/// - An answer that is no copy may still belong to an earlier call with an unconfirmed delivery, in whose
/// place
///   a copy was read. It comes while the connection rests; after kRestTime of silence none is outstanding.
/// - An answer behind earlier ones that is no 200 and ends the connection may be the server's word that it
/// ends an
///   idle connection, which crossed the call.
/// - A 200 behind earlier answers may be a copy. It is unconfirmed until the connection has rested.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <utility>
#include <vector>

#include "cometspoke/sender.hpp"

namespace lockgw {

/// How sure it is that an answer belongs to the call behind which it was read.
enum class Certainty {
    Certain,
    Unconfirmed,  ///< a delivery that may be a copy of an earlier one
    Doubtful,     ///< may be the answer of an earlier call: proves nothing about this one
};

class ConnectionHistory {
public:
    using Time = std::chrono::steady_clock::time_point;
    static constexpr std::chrono::milliseconds kRestTime{1000};
    static constexpr std::size_t kMostUnconfirmed = 32;

    /// Whether a call may be written now. Only a message that may be repeated freely goes over a connection
    /// that has not rested, since a refusal proves nothing there.
    bool may_carry(bool repeatable, Time now) const;
    /// No answer to an earlier call is outstanding: all that was read was certain, or none has come for
    /// kRestTime.
    bool rested(Time now) const;
    void begin_call(Time now) { rested_before_call_ = rested(now); }

    /// What the answer to the present call proves. `delivered`: it says 200. `keeps_connection`: its head
    /// does not end the connection, as the earlier ones did not.
    Certainty judge(bool delivered, bool keeps_connection) const;
    /// A delivery that was told as unconfirmed.
    void add_unconfirmed(cometspoke::MessageId message) { unconfirmed_.push_back(message); }
    /// The last byte of an answer was read.
    void end_answer(Time now) {
        ++answers_;
        last_answer_at_ = now;
    }

    auto operator<=>(const ConnectionHistory&) const = default;

    std::size_t answers() const { return answers_; }
    bool has_unconfirmed() const { return !unconfirmed_.empty(); }
    std::size_t unconfirmed_count() const { return unconfirmed_.size(); }
    std::vector<cometspoke::MessageId> take_unconfirmed() { return std::exchange(unconfirmed_, {}); }

private:
    std::size_t answers_ = 0;
    Time last_answer_at_{};
    bool rested_before_call_ = true;
    std::vector<cometspoke::MessageId> unconfirmed_;
};

}  // namespace lockgw
