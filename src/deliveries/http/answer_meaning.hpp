/// What the end of a call means for its message, by the protocol's table of outcomes. Pure: no sockets, no
/// clock.
///
/// An answer whose owner is in doubt leaves several possible worlds: it is the call's own, or an earlier
/// call's and the call's own is outstanding, or a server's word about the connection. What may be done is
/// what is allowed in every possible world; what is owed is what is owed in any. docs/answer-pairing.md has
/// the table.
#pragma once

#include "core/delivery.hpp"
#include "deliveries/http/answer_kind.hpp"
#include "deliveries/http/connection_history.hpp"

namespace lockgw {

struct CallEnd {
    cometspoke::Outcome outcome;
    Fate fate;
};

/// `otherwise`: the outcome of a call without a whole answer.
CallEnd end_of_call(
    ObservedAnswer answer, Certainty certainty, cometspoke::Effect effect, cometspoke::Outcome otherwise);

/// Whether the connection may carry a further call behind this answer; else it is closed, which gives up a
/// call that may still be out. `reusable`: the answer is whole, nothing came behind it, and its head keeps
/// the connection. Only behind a delivery: a copy of a refusal could be read while the own answer of the next
/// call, a delivery, is on its way, and the message would be called again after its end.
bool keeps_connection(AnswerKind kind, bool reusable);

}  // namespace lockgw
