#include "deliveries/http/connection_history.hpp"

namespace lockgw {

bool ConnectionHistory::may_carry(bool repeatable, Time now) const {
    if (rested(now)) return true;
    return repeatable && unconfirmed_.size() < kMostUnconfirmed;
}

bool ConnectionHistory::rested(Time now) const {
    return unconfirmed_.empty() || now - last_answer_at_ >= kRestTime;
}

Certainty ConnectionHistory::judge(bool delivered, bool keeps_connection) const {
    if (answers_ == 0) return Certainty::Certain;
    const bool may_be_copy = delivered && keeps_connection;
    const bool may_end_connection = !delivered && !keeps_connection;
    if (rested_before_call_ && !may_be_copy && !may_end_connection) return Certainty::Certain;
    return delivered ? Certainty::Unconfirmed : Certainty::Doubtful;
}

}  // namespace lockgw
