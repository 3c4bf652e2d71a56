// HTTP answers of targets that contradict themselves or break off, against the built program: what counts is
// a first line of 200, and nothing else is proof of anything. The connection carries no further call, others
// are served.
#include <gtest/gtest.h>

#include "node_fixture.hpp"

namespace lockgw {
namespace {

/// The part of an answer behind its first line, which stays the same for all statuses.
struct BadRest {
    const char* name;
    const char* bytes;
    bool closed;  ///< the target closes the connection behind it
};
void PrintTo(const BadRest& rest, std::ostream* out) { *out << rest.name; }

class BadAnswer : public NodeTest, public ::testing::WithParamInterface<BadRest> {
protected:
    void SetUp() override {
        node.start_ready();
        client.reset(new Client(node.client()));
    }
    void answer(const Exchange& call, int status) const {
        call.write("HTTP/1.1 " + std::to_string(status) + " X\r\n" + GetParam().bytes);
        if (GetParam().closed) call.hang_up();
    }
    /// The next message is delivered, by a connection that is not one of these.
    void is_served_on_a_fresh_connection(int connections) {
        ASSERT_EQ(enqueue(*client, "00000000000000aa"), "+OK");
        const Exchange call = target.next();
        EXPECT_EQ(call.header("X-Call-Id"), "00000000000000aa");
        EXPECT_GT(target.connections(), connections);
        call.answer(200);
    }

    std::unique_ptr<Client> client;
};

TEST_P(BadAnswer, WithAFirstLineOf200IsADelivery) {
    ASSERT_EQ(enqueue(*client, id), "+OK");
    answer(target.next(), 200);
    EXPECT_TRUE(target.no_request_within(300ms)) << "it was sent once more";
    is_served_on_a_fresh_connection(target.connections());
}

TEST_P(BadAnswer, WithAnyOtherMayHaveRunAndIsRepeated) {
    for (const int status : {503, 500}) {
        const std::string one = "00000000000" + std::to_string(10'000 + status);
        ASSERT_EQ(enqueue(*client, one), "+OK");
        answer(target.next(), status);
        const Exchange again = target.next();
        EXPECT_EQ(again.header("X-Call-Id"), one) << status;
        again.answer(200);
    }
}

// What the first line forbids stays forbidden: the message may be over.
TEST_P(BadAnswer, WithAFirstLineOf410Or504EndsTheMessage) {
    for (const int status : {410, 504}) {
        const std::string one = "00000000000" + std::to_string(10'000 + status);
        ASSERT_EQ(enqueue(*client, one), "+OK");
        answer(target.next(), status);
        const Exchange report = agent_request("/reports");
        EXPECT_EQ(final_statuses(report)[0], (Json{{"ref", one}, {"result", "dead"}}));
        report.write("HTTP/1.1 204 X\r\n\r\n");
        EXPECT_TRUE(target.no_request_within(300ms)) << "it was sent once more after " << status;
    }
}

TEST_P(BadAnswer, WithAnyOtherEndsAnUnsafeMessage) {
    ASSERT_EQ(enqueue(*client, id, "unsafe"), "+OK");
    answer(target.next(), 503);
    EXPECT_EQ(final_statuses(agent_request("/reports"))[0], (Json{{"ref", id}, {"result", "dead"}}));
    EXPECT_TRUE(target.no_request_within(300ms)) << "it was sent once more";
    is_served_on_a_fresh_connection(target.connections());
}

INSTANTIATE_TEST_SUITE_P(Answers, BadAnswer,
    ::testing::Values(BadRest{"TwoLengths", "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef", false},
        BadRest{"LengthAndChunks", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
        BadRest{"ChunksAndLength", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", false},
        BadRest{"NegativeLength", "Content-Length: -1\r\n\r\n", false},
        BadRest{"LengthThatIsNoNumber", "Content-Length: 0x4\r\n\r\nbody", false},
        BadRest{"HugeLength", "Content-Length: 99999999999999999999\r\n\r\n", false},
        BadRest{"ChunkSizeThatIsNoNumber", "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n", false},
        BadRest{"HugeChunk", "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc", false},
        BadRest{
            "ChunkLongerThanItsSize", "Transfer-Encoding: chunked\r\n\r\n3\r\nabcdef\r\n0\r\n\r\n", false},
        BadRest{"HeaderWithoutColon", "no colon here\r\n\r\n", false},
        BadRest{"ClosedInTheHead", "Content-Len", true},
        BadRest{"ClosedInTheBody", "Content-Length: 9\r\n\r\nhalf", true},
        BadRest{"ClosedInAChunk", "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf", true},
        BadRest{"ClosedBeforeTheLastChunk", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace lockgw
