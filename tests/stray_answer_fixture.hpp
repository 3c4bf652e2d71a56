/// Fixture for tests of what the answers on a kept connection prove: a forwarder with one call out at a time,
/// so that the test knows which connection carries the next call.
#pragma once

#include <thread>

#include "node_fixture.hpp"

namespace lockgw {

inline constexpr auto kBetween = 60ms;       // from a copy to the call's own answer
inline constexpr auto kRested = 1300ms;      // after which a kept connection may carry a call of any class
inline constexpr auto kNoMoreCalls = 400ms;  // several first backoffs of a refused message
inline constexpr auto kReported = 5s;        // until a final status must have been reported
inline const std::string kOk = "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n";
inline const std::string kRefusal = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";

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

    /// What a process that has ended posted, and nobody acknowledged.
    void take_reports_unanswered() {
        while (!agent.no_request_within(kBetween)) agent.next();
    }
    Json reported_of(const std::string& message) { return final_status_of(message, kReported); }

    std::unique_ptr<Client> client;
    std::map<int, std::set<std::string>> carried;  // by connection
    int ids = 10;
};

}  // namespace lockgw
