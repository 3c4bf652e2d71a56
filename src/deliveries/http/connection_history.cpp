#include "deliveries/http/connection_history.hpp"

namespace lockgw {

using cometspoke::Effect;

bool ConnectionHistory::may_carry(Effect effect, bool target_refuses, Time now) const {
    if (proves_refusals(now)) return true;
    return effect == Effect::Retryable || (effect == Effect::Dedup && !target_refuses);
}

bool ConnectionHistory::proves_refusals(Time now) const { return rested(now) && !carried_refusal(); }

bool ConnectionHistory::rested(Time now) const { return !in_doubt_ || now - last_answer_at_ >= kRestTime; }

bool ConnectionHistory::carried_refusal() const {
    for (std::size_t kind = 0; kind < kAnswerKinds; ++kind)
        if (carried_[kind] && is_refusal(static_cast<AnswerKind>(kind))) return true;
    return false;
}

Certainty ConnectionHistory::judge(AnswerKind kind, bool keeps_connection) const {
    if (answers_ == 0) return Certainty::Certain;
    const bool may_end_connection = kind != AnswerKind::Delivered && !keeps_connection;
    if (rested_before_call_ && !may_be_copy(kind, keeps_connection) && !may_end_connection)
        return Certainty::Certain;
    return Certainty::Doubtful;
}

bool ConnectionHistory::may_be_copy(AnswerKind kind, bool keeps_connection) const {
    return keeps_connection && carried_[static_cast<std::size_t>(kind)];
}

void ConnectionHistory::end_answer(AnswerKind kind, Certainty certainty, Time now) {
    ++answers_;
    carried_.set(static_cast<std::size_t>(kind));
    last_answer_at_ = now;
    in_doubt_ = certainty == Certainty::Doubtful;
}

}  // namespace lockgw
