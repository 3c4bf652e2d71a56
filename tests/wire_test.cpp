#include "simulator/wire.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace cometspoke::wire {
namespace {

const std::string params =
    R"({"az":"z1","classes":[{"aim_ms":1500,"effect":"retryable","hard_limit_ms":6000,"name":"a","window_ms":0},)"
    R"({"aim_ms":1500,"effect":"fragile","hard_limit_ms":6000,"name":"b"}],)"
    R"("contract":{"cold_from":0.2,"fall_ms":2000,"fall_multiple":2,"warm_within_ms":9000},"discovery":"subscribe",)"
    R"("family_info":{"per_call":[1],"routes_apart":[false],"slots":8},"kinds":["k"],)"
    R"("limits":{"cancel":true,"max_attempts":4,"most_held":50,"conn_idle_ms":1000},"localities":["z1"],)"
    R"("n_instances":2,"never_heard_of":{"x":1},"tenants":[{"name":"t","quota_per_s":3}]})";

std::string provision(int who) {
    return R"({"PROVISION":{"who":)" + std::to_string(who) + R"(,"salt":5,"params":)" + params + "}}\n" +
           R"({"LEDGER":{"slot":0,"rows_in":[{"target":"t_a","az":"z1","destination":57,"shape":"k","condition":1}]}})" +
           "\n" + R"({"VIEW":{"who":)" + std::to_string(who) + R"(,"kind":0,"seq_no":1,"slot":0}})" + "\n";
}
std::string job(int who, const std::string& ticket) {
    return R"({"JOB_IN":{"who":)" + std::to_string(who) + R"(,"ticket":")" + ticket +
           R"(","category":"a","project":"t","patience_left_ms":6000,"called_node":57,"odd":[1]}})" + "\n";
}
std::string batch(double at, const std::string& events) {
    return "{\"MARK\":{\"time_ms\":" + std::to_string(at) + "}}\n" + events + "{\"OVER_TO_YOU\":{}}\n";
}

struct Result {
    int code;
    std::string out, err;
};
Result run_adapter(const std::string& input) {
    std::istringstream in(input);
    std::ostringstream out, err;
    const int code = run(in, out, err);
    return {code, out.str(), err.str()};
}
std::size_t count(const std::string& text, const std::string& part) {
    std::size_t occurrences = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++occurrences;
    return occurrences;
}

TEST(Wire, EmptyBatchIsAcknowledged) {
    const Result result = run_adapter(batch(1, ""));
    EXPECT_EQ(result.code, 0);
    EXPECT_EQ(result.out, "{\"ACK\":{}}\n");
    EXPECT_EQ(result.err, "");
}

TEST(Wire, SendsAMessageAndReadsItsOutcome) {
    const std::string done =
        R"({"REPORT_BACK":{"who":3,"ticket":"00000000000000af","target":"t_a","rtt_ms":18.5,"terminal":true,)"
        R"("code":"served","trial":0,"feedback":{"x0":0.4,"x1":1.25}}})"
        "\n";
    const Result result =
        run_adapter(batch(10, provision(3) + job(3, "00000000000000af")) + batch(30, done) + batch(8000, ""));
    EXPECT_EQ(result.code, 0) << result.err;
    EXPECT_EQ(count(result.out, "\"SEND\""), 1u);
    EXPECT_EQ(count(result.out, "00000000000000af"), 1u);
    EXPECT_EQ(count(result.out, "\"TAIL\""), 1u);
    EXPECT_EQ(count(result.out, "\"GIVE_UP\""), 0u);
    EXPECT_EQ(count(result.out, "\"ACK\""), 3u);
}

TEST(Wire, EveryEventIsAccepted) {
    const Result result = run_adapter(batch(
        10, provision(3) + job(3, "00000000000000af") +
                R"({"FLOWING":{"who":3,"ticket":"00000000000000af","trial":0,"target":"t_a","rtt_ms":9.25}})"
                "\n"
                R"({"ABANDONED":{"who":3,"ticket":"00000000000000af"}})"
                "\n"
                R"({"WAKE":{"who":3,"tag":"next"}})"
                "\n"
                R"({"CHECK_RESULT":{"who":3,"target":"t_a","rtt_ms":1.4,"code":"served"}})"
                "\n"
                R"({"DATAGRAM":{"who":3,"src_peer":2,"content":"aGkgNw=="}})"
                "\n"
                R"({"VIEW":{"who":3,"kind":3,"seq_no":0,"slot":9}})"
                "\n"));
    EXPECT_EQ(result.code, 0) << result.err;
    EXPECT_EQ(count(result.out, "\"SEND\""), 0u);
}

TEST(Wire, InstanceIsDestroyedAndCreatedAgainInOneBatch) {
    const Result result =
        run_adapter(batch(10, provision(3) + job(3, "00000000000000af") + "{\"DESTROY\":{\"who\":3}}\n" +
                                  provision(3) + job(3, "00000000000000b0")));
    EXPECT_EQ(result.code, 0) << result.err;
    EXPECT_EQ(count(result.out, "00000000000000af"), 0u);
    EXPECT_EQ(count(result.out, "00000000000000b0"), 1u);
}

TEST(Wire, ViewUsesTheLedgerBeforeIt) {
    const std::string other =
        R"({"LEDGER":{"slot":0,"rows_in":[{"target":"t_b","az":"z1","destination":57,"shape":"k","condition":1}]}})"
        "\n";
    const Result result = run_adapter(batch(10, provision(3) + other + job(3, "00000000000000af")));
    EXPECT_EQ(count(result.out, "t_a"), 1u);
    EXPECT_EQ(count(result.out, "t_b"), 0u);
}

TEST(Wire, InstancesAreIndependent) {
    const std::string together = run_adapter(
        batch(10, provision(1) + job(1, "00000000000000a1") + provision(2) + job(2, "00000000000000a2")))
                                     .out;
    const std::string first_alone = run_adapter(batch(10, provision(1) + job(1, "00000000000000a1"))).out;
    const std::string second_alone = run_adapter(batch(10, provision(2) + job(2, "00000000000000a2"))).out;
    const std::string ack = "{\"ACK\":{}}\n";
    EXPECT_EQ(together, first_alone.substr(0, first_alone.size() - ack.size()) + second_alone);
}

TEST(Wire, BadInputIsReportedWithItsLineNumber) {
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"{\"MARK\":{\"time_ms\":1}}\n{nonsense\n", "line 2"},
        {batch(1, job(9, "00000000000000af")), "line 2: unknown instance 9"},
        {batch(1, provision(3) + "{\"JOB_IN\":{\"who\":3}}\n"), "line 5: missing field ticket"},
        {batch(1, provision(3) + job(3, "xyz")), "line 5: id is not 16 hex digits"},
        {"{\"MARK\":{\"time_ms\":1}}\n", "line 1: the input ends inside a batch"},
        {"{\"WAKE\":{\"who\":1}}\n", "line 1: WAKE outside a batch"},
        {batch(1, provision(3) + "{\"SURPRISE\":{\"who\":3}}\n"), "line 5: unknown event SURPRISE"},
    };
    for (const auto& [input, expected_error] : cases) {
        const Result result = run_adapter(input);
        EXPECT_NE(result.code, 0) << expected_error;
        EXPECT_NE(result.err.find(expected_error), std::string::npos) << result.err;
        EXPECT_EQ(count(result.err, "\n"), 1u);
    }
}

TEST(Wire, AnExceptionInTheModuleBecomesPanic) {
    std::string invalid = provision(3);
    invalid.replace(invalid.find("\"slots\":8"), 9, "\"slots\":0");
    const Result result = run_adapter(batch(1, invalid));
    EXPECT_EQ(result.code, 0);
    EXPECT_EQ(count(result.out, "\"PANIC\""), 1u);
    EXPECT_NE(result.out.find("slots"), std::string::npos);
}

TEST(Wire, ThousandsOfEventsInOneBatch) {
    std::string events = provision(3);
    for (int i = 0; i < 5000; ++i) {
        std::ostringstream ticket;
        ticket << std::hex << (0x1000000000000000ULL + static_cast<unsigned long long>(i));
        events += job(3, ticket.str());
    }
    const Result result = run_adapter(batch(1, events));
    EXPECT_EQ(result.code, 0);
    EXPECT_EQ(count(result.out, "\"SEND\""), 5u);
    EXPECT_GE(count(result.out, "\"DENY\""), 4950u);
}

}  // namespace
}  // namespace cometspoke::wire
