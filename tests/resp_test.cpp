#include "fronts/resp2/resp.hpp"

#include <gtest/gtest.h>

namespace lockgw::resp {
namespace {

const std::string kPing = "*1\r\n$4\r\nPING\r\n";

TEST(Resp, ReadsBinaryArguments) {
    Parser parser;
    const std::string body("\0\r\n*\xff", 5);
    parser.feed("*2\r\n$3\r\nSET\r\n$5\r\n" + body + "\r\n");
    EXPECT_EQ(parser.next(), (Command{"SET", body}));
    EXPECT_EQ(parser.next(), std::nullopt);
    EXPECT_FALSE(parser.midway());
}

TEST(Resp, ReadsWhatComesByteByByte) {
    Parser parser;
    const std::string bytes = "*2\r\n$1\r\na\r\n$0\r\n\r\n";
    for (std::size_t i = 0; i + 1 < bytes.size(); ++i) {
        parser.feed(bytes.substr(i, 1));
        ASSERT_EQ(parser.next(), std::nullopt) << i;
        EXPECT_TRUE(parser.midway());
    }
    parser.feed(bytes.substr(bytes.size() - 1));
    EXPECT_EQ(parser.next(), (Command{"a", ""}));
}

TEST(Resp, ReadsPipelinedCommandsInOrder) {
    Parser parser;
    parser.feed(kPing + "*0\r\n*1\r\n$1\r\nx\r\n" + kPing.substr(0, 5));
    EXPECT_EQ(parser.next(), Command{"PING"});
    EXPECT_EQ(parser.next(), Command{"x"});
    EXPECT_EQ(parser.next(), std::nullopt);
    EXPECT_TRUE(parser.midway());
}

TEST(Resp, RejectsWhatItCannotRead) {
    for (const std::string bytes : {"PING\r\n", "*x\r\n", "*-1\r\n", "*99999\r\n", "*1\r\n:5\r\n",
             "*1\r\n$-1\r\n", "*1\r\n$999999\r\n", "*1\r\n$1\r\nabc", "*11111111111111111111111111"}) {
        Parser parser;
        parser.feed(bytes);
        EXPECT_THROW(parser.next(), Unreadable) << bytes;
    }
}

TEST(Resp, TakesABodyOfTheMostAllowedAndNoMore) {
    const std::string body(kMostBytes, 'b');
    Parser parser;
    parser.feed("*1\r\n$" + std::to_string(body.size()) + "\r\n" + body + "\r\n");
    EXPECT_EQ(parser.next(), Command{body});
    parser.feed("*1\r\n$" + std::to_string(body.size() + 1) + "\r\n");
    EXPECT_THROW(parser.next(), Unreadable);
}

TEST(Resp, WritesAnswers) {
    EXPECT_EQ(simple("OK"), "+OK\r\n");
    EXPECT_EQ(error("BUSY 5"), "-BUSY 5\r\n");
    EXPECT_EQ(bulk("ab"), "$2\r\nab\r\n");
}

}  // namespace
}  // namespace lockgw::resp
