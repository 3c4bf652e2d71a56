/// What a connection to a target has carried, and what its next answer proves. Pure: no sockets, no clock.
///
/// HTTP/1.1 pairs answers with calls by their order alone. A target, or a proxy in front of it, may send an
/// answer a second time; such a copy can be read behind the next call, whose own answer then comes later.
/// docs/answer-pairing.md has the whole table. The rules:
/// - The first answer on a connection is its call's own: nothing came before it that could be copied.
/// - An answer of a kind that the connection has carried before may be a copy.
/// - An answer that is no copy may still belong to an earlier call, in whose place a copy was read. It comes
///   while the connection rests; after kRestTime of silence none is expected any more.
/// - An answer behind earlier ones that is no 200 and ends the connection may be the server's word that it
///   ends an idle connection, which crossed the call.
#pragma once

#include <bitset>
#include <chrono>
#include <compare>
#include <cstddef>
#include <tuple>

#include "cometspoke/sender.hpp"
#include "deliveries/http/answer_kind.hpp"

namespace lockgw {

/// How sure it is that an answer belongs to the call behind which it was read.
enum class Certainty {
    Certain,
    Doubtful,  ///< may be an earlier call's, a copy, or a word about the connection
};

class ConnectionHistory {
public:
    using Time = std::chrono::steady_clock::time_point;
    static constexpr std::chrono::milliseconds kRestTime{1000};

    /// Whether a call may be written now. Where a refusal would be doubtful, only a message goes that can
    /// bear it: one that may be repeated freely, or, while its target refuses nothing, one with a key, which
    /// can be repeated within its window.
    bool may_carry(cometspoke::Effect effect, bool target_refuses, Time now) const;
    /// Whether a refusal of the next call would be the call's own.
    bool proves_refusals(Time now) const;
    /// No answer to an earlier call is expected: all that was read was certain, or none has come for
    /// kRestTime.
    bool rested(Time now) const;
    void begin_call(Time now) { rested_before_call_ = rested(now); }

    /// Whose answer to the present call this is. `keeps_connection`: its head does not end the connection, as
    /// the earlier ones did not.
    Certainty judge(AnswerKind kind, bool keeps_connection) const;
    /// Whether an earlier answer of this connection was like it.
    bool may_be_copy(AnswerKind kind, bool keeps_connection) const;
    /// The last byte of an answer was read.
    void end_answer(AnswerKind kind, Certainty certainty, Time now);

    std::size_t answers() const { return answers_; }
    auto operator<=>(const ConnectionHistory& other) const;
    bool operator==(const ConnectionHistory&) const = default;

private:
    using Kinds = std::bitset<kAnswerKinds>;

    bool carried_refusal() const;

    std::size_t answers_ = 0;
    Kinds carried_;
    Time last_answer_at_{};
    bool in_doubt_ = false;  // an answer that was read may have been another call's
    bool rested_before_call_ = true;
};

inline auto ConnectionHistory::operator<=>(const ConnectionHistory& other) const {
    const auto values = [](const ConnectionHistory& one) {
        return std::tuple(one.answers_, one.carried_.to_ulong(), one.last_answer_at_, one.in_doubt_,
            one.rested_before_call_);
    };
    return values(*this) <=> values(other);
}

}  // namespace lockgw
