#include "deliveries/http/answer_meaning.hpp"

namespace lockgw {

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

CallEnd end_of_call(ObservedAnswer answer, Certainty certainty, bool repeatable, Outcome otherwise) {
    // true by its first line, whatever becomes of the rest
    if (answer.kind == AnswerKind::Delivered)
        return {Outcome::Served, certainty == Certainty::Certain ? Fate::Over : Fate::OverIfConfirmed};
    if (answer.kind == AnswerKind::None) return {otherwise, Fate::Open};
    if (!answer.whole) return {otherwise, forbids_another_call(answer.kind) ? Fate::StatusOwed : Fate::Open};
    const bool claims_nothing = answer.kind == AnswerKind::Error;  // it may have run in any case
    if (certainty == Certainty::Certain || claims_nothing) return proved(answer.kind);
    // the call is given up, and its own answer may never be read
    if (forbids_another_call(answer.kind)) return {Outcome::CalledOff, Fate::StatusOwed};
    return repeatable ? proved(answer.kind) : CallEnd{Outcome::CalledOff, Fate::Open};
}

NextUse next_use(AnswerKind kind, Certainty certainty, bool reusable) {
    if (certainty == Certainty::Doubtful) return NextUse::None;
    return reusable && kind == AnswerKind::Delivered ? NextUse::Calls : NextUse::Silence;
}

bool contradicts(AnswerKind surplus) {
    return surplus != AnswerKind::None && surplus != AnswerKind::Delivered;
}

const char* text_of(Settlement settlement) {
    switch (settlement) {
        case Settlement::Confirmed:
            return "confirmed";
        case Settlement::ConnectionEnded:
            return "the connection ended";
        case Settlement::Contradicted:
            return "another answer came later";
        case Settlement::DescriptorNeeded:
            return "its descriptor was needed";
    }
    return "";
}

Fate fate_after(Settlement settlement) {
    return settlement == Settlement::Confirmed ? Fate::Over : Fate::StatusOwed;
}

}  // namespace lockgw
