#include "deliveries/http/answer_meaning.hpp"

namespace lockgw {

using cometspoke::Effect;
using cometspoke::Outcome;

namespace {

/// The row of the protocol's table, for an answer that is whole and the call's own.
CallEnd proved(AnswerKind kind) {
    switch (kind) {
        case AnswerKind::Delivered:
            return {Outcome::Served, Fate::Over};
        case AnswerKind::RetryAfter:
        case AnswerKind::Refused:
            return {Outcome::TurnedAway, Fate::Open};
        case AnswerKind::SlotsTaken:
            return {Outcome::NotSent, Fate::Open};
        case AnswerKind::AttemptsUsed:
            return {Outcome::NotSent, Fate::StatusOwed};
        case AnswerKind::Over:
            return {Outcome::NotSent, Fate::Over};
        case AnswerKind::Error:
        case AnswerKind::None:
            break;
    }
    return {Outcome::ServerError, Fate::Open};
}

/// If it is the call's own, another call is forbidden.
bool forbids_another_call(AnswerKind kind) {
    return kind == AnswerKind::Over || kind == AnswerKind::AttemptsUsed;
}

}  // namespace

CallEnd end_of_call(ObservedAnswer answer, Certainty certainty, Effect effect, Outcome otherwise) {
    const bool certain = certainty == Certainty::Certain;
    // true by its first line, whatever becomes of the rest; in doubt the call's own answer may never come
    if (answer.kind == AnswerKind::Delivered)
        return {Outcome::Served, certain ? Fate::Over : Fate::StatusOwed};
    if (answer.kind == AnswerKind::None) return {otherwise, Fate::Open};
    if (!answer.whole) return {otherwise, forbids_another_call(answer.kind) ? Fate::StatusOwed : Fate::Open};
    const bool claims_nothing = answer.kind == AnswerKind::Error;  // it may have run in any case
    if (certain || claims_nothing) return proved(answer.kind);
    // the call is given up, and its own answer may never be read
    if (forbids_another_call(answer.kind)) return {Outcome::CalledOff, Fate::StatusOwed};
    return effect == Effect::Retryable ? proved(answer.kind) : CallEnd{Outcome::CalledOff, Fate::Open};
}

bool keeps_connection(AnswerKind kind, bool reusable) { return reusable && kind == AnswerKind::Delivered; }

}  // namespace lockgw
