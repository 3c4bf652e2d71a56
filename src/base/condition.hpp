/// A target's condition in words, as the platform's protocol and the operator's file have them.
#pragma once

#include "cometspoke/sender.hpp"

namespace lockgw {

inline const char* text_of(cometspoke::Condition condition) {
    switch (condition) {
        case cometspoke::Condition::Ready:
            return "ready";
        case cometspoke::Condition::Draining:
            return "draining";
        case cometspoke::Condition::Gone:
            break;
    }
    return "gone";
}

}  // namespace lockgw
