// Second copies of earlier answers on a kept connection that cross the next call: none may be taken for that
// call's own answer. Each test forces the order.
#include <thread>

#include "node_fixture.hpp"

namespace lockgw {
namespace {

constexpr auto kBetween = 60ms;       // from a copy to the call's own answer
constexpr auto kRested = 1300ms;      // after which a kept connection may carry a call of any class
constexpr auto kNoMoreCalls = 400ms;  // several first backoffs of a refused message
const std::string kOk = "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n";
const std::string kRefusal = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";

class StrayAnswer : public NodeTest {
protected:
    /// One call at a time, and a connection that is kept because its target is called often.
    void start() {
        node.config()["settings"]["family_info"]["slots"] = 1;
        node.start_ready();
        client = std::make_unique<Client>(node.address());
        ASSERT_EQ(enqueue(*client, next_id()), "+OK");
        ASSERT_EQ(enqueue(*client, next_id()), "+OK");
        answer(target.next(), kOk);
        answer(target.next(), kOk);
    }
    std::string next_id() { return "00000000000000" + std::to_string(++ids); }
    void answer(const Exchange& call, const std::string& bytes) {
        carried[call.connection].insert(bytes);
        call.write(bytes);
    }
    /// The call's own answer, behind a copy of an earlier one where its connection has carried that.
    void answer_behind_copy(const Exchange& call, const std::string& copy, const std::string& own) {
        if (carried[call.connection].contains(copy)) {
            call.push(copy);
            std::this_thread::sleep_for(kBetween);
        }
        answer(call, own);
    }

    std::unique_ptr<Client> client;
    std::map<int, std::set<std::string>> carried;  // by connection
    int ids = 10;
};

// Incident 7f8772: a copy of a refusal that crosses the next call says that this call never ran; it is sent
// and run again (unsafe), or a second attempt is out beside it (keyed).
TEST_F(StrayAnswer, ACopyOfARefusalDoesNotRepeatACallThatRan) {
    start();
    for (const char* message_class : {"unsafe", "keyed"}) {
        ASSERT_EQ(enqueue(*client, next_id()), "+OK");
        const Exchange refused = target.next();
        answer(refused, kRefusal);
        answer(target.next(), kOk);  // the repeat
        const std::string id = next_id();
        ASSERT_EQ(enqueue(*client, id, message_class), "+OK");
        const Exchange call = target.next();
        EXPECT_EQ(call.header("X-Call-Id"), id);
        answer_behind_copy(call, kRefusal, kOk);
        EXPECT_TRUE(target.no_request_within(kNoMoreCalls)) << message_class;
    }
}

}  // namespace
}  // namespace lockgw
