/// The module as it was before its walks were taken out (tests/reference/logic_before.cpp, compiled under
/// another name): what the present one is held against.
#pragma once

#include "cometspoke/sender.hpp"

namespace cometspoke {

class SenderBefore {
public:
    SenderBefore(Settings settings, std::uint64_t seed);
    ~SenderBefore();
    SenderBefore(SenderBefore&&) noexcept;
    SenderBefore& operator=(SenderBefore&&) noexcept;
    void observe(const Event& event, Time now);
    std::vector<Action> decide(Time now);

private:
    class Logic;
    std::unique_ptr<Logic> logic_;
};

}  // namespace cometspoke
