#include "program/pending_orders.hpp"

#include <chrono>

namespace lockgw::program {

using operations::Answer;

Answer PendingOrders::order(const operations::Order& order) {
    if (order.kind == operations::Order::Kind::Ready)
        return {Answer::Kind::NotReady, "another process serves"};
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    Answer answer;
    const bool kept = orders_.update([&](operations::Operations& state) {
        answer = state.give(order, listed_.contains(order.target), now.count());
    });
    return kept ? answer : Answer{Answer::Kind::NotKept, "the order could not be written down"};
}

}  // namespace lockgw::program
