/// What the end of a call means for its message, by the protocol's table of outcomes. Pure: no sockets, no
/// clock.
///
/// An answer whose owner is in doubt leaves several possible worlds: it is the call's own, or an earlier
/// call's and the call's own is outstanding, or a server's word about the connection. What may be done is
/// what is allowed in every possible world; what is owed is what is owed in any. docs/answer-pairing.md has
/// the table.
#pragma once

#include "core/delivery.hpp"
#include "deliveries/http/connection_history.hpp"

namespace lockgw {

/// What the first line of an answer says, and for 503 its head.
enum class AnswerKind {
    None,          ///< no first line that can be read has come
    Delivered,     ///< 200
    RetryAfter,    ///< 429
    Refused,       ///< 503
    SlotsTaken,    ///< 503 with X-Over-Slots: 1
    AttemptsUsed,  ///< 504: not sent, for the message has had all its attempts
    Over,          ///< 410: not sent, for the message is over
    Error,         ///< 500, and every status that the protocol does not list
};

struct ObservedAnswer {
    AnswerKind kind = AnswerKind::None;
    bool whole = false;  ///< read to its end, without a fault
};

struct CallEnd {
    cometspoke::Outcome outcome;
    Fate fate;
};

/// `otherwise`: the outcome of a call without a whole answer.
CallEnd end_of_call(
    ObservedAnswer answer, Certainty certainty, bool repeatable, cometspoke::Outcome otherwise);

/// What a connection is used for behind an answer.
enum class NextUse {
    Calls,    ///< further calls
    Silence,  ///< none: it is read until it has rested, for the sake of unconfirmed deliveries
    None,     ///< it is closed, which gives up a call that may still be out
};
/// `reusable`: the answer is whole, nothing came behind it, and its head keeps the connection. A connection
/// carries a further call only behind a delivery, so that no refusal can be a copy.
NextUse next_use(AnswerKind kind, Certainty certainty, bool reusable);
/// Whether a further answer on a connection without a call speaks against its unconfirmed deliveries: any but
/// a delivery may be the own answer of a call in whose place a copy was read.
bool contradicts(AnswerKind surplus);

/// How a delivery that may have been another call's was settled.
enum class Settlement {
    Confirmed,         ///< its connection has rested: no answer is outstanding
    ConnectionEnded,   ///< before it had rested
    Contradicted,      ///< by a further answer, which may be the call's own or a word about the connection
    DescriptorNeeded,  ///< the connection was closed for the sake of another call
};
/// For the log.
const char* text_of(Settlement settlement);
/// Never another call: the delivery may have been the message's own.
Fate fate_after(Settlement settlement);

}  // namespace lockgw
