/// What the first line of an answer says.
#pragma once

#include <cstddef>

namespace lockgw {

/// By the protocol's table of outcomes; for 503 also by the head.
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
inline constexpr std::size_t kAnswerKinds = static_cast<std::size_t>(AnswerKind::Error) + 1;

/// Says that its call has not run and may be repeated.
constexpr bool is_refusal(AnswerKind kind) {
    return kind == AnswerKind::RetryAfter || kind == AnswerKind::Refused || kind == AnswerKind::SlotsTaken;
}

struct ObservedAnswer {
    AnswerKind kind = AnswerKind::None;
    bool whole = false;  ///< read to its end, without a fault
};

}  // namespace lockgw
