/// Text form of a target's condition, as in the discovery protocol and in the operator's file.
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
