// SIGHUP: the configuration read anew, and another agent of discovery, while the program runs.
#include "node_fixture.hpp"

namespace lockgw {
namespace {

class ReloadTest : public NodeTest {
protected:
    std::string with_discovery(const std::string& address) {
        Json config = node.config();
        config["discovery"] = address;
        return config.dump();
    }
    static std::string path_of(const Exchange& exchange) { return std::string(exchange.request.target()); }
};

// A new agent counts its own versions: it is asked for the whole list, and gets every unconfirmed notice.
TEST_F(ReloadTest, MovesToTheNewAgentWithItsNotices) {
    HttpStub fresh, other;
    node.start_ready();
    respond_json(agent_request("/v1/servers"), target_list(5, true, {member("s-1", target.address(), 7)}));
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "safe", 100, "B", 99), "+OK");
    agent_request("/reports");  // never confirmed

    node.reload(with_discovery(fresh.address()));
    std::optional<Exchange> whole, report;
    while (!whole || !report) {
        const Exchange exchange = fresh.next();
        (path_of(exchange) == "/reports" ? report : whole) = exchange;
    }
    EXPECT_EQ(path_of(*whole), "/v1/servers");
    EXPECT_EQ(final_statuses(*report)[0]["ref"], id);
    report->answer(204);

    ASSERT_EQ(enqueue(client, "00000000000000aa"), "+OK");  // the last list stays in use meanwhile
    const Exchange call = target.next();
    EXPECT_EQ(call.header("X-Call-Id"), "00000000000000aa");
    call.answer(200);
    respond_json(*whole, target_list(2, true, {member("s-2", other.address(), 7)}));
    EXPECT_TRUE(path_of(fresh.next()).starts_with("/v1/servers?from=2&"));
    ASSERT_EQ(enqueue(client, "00000000000000bb"), "+OK");
    EXPECT_EQ(other.next().header("X-Call-Id"), "00000000000000bb");
}

// An old agent that goes on answering must not be believed, nor end anything when it closes.
TEST_F(ReloadTest, PassesOverWhatTheOldAgentStillSays) {
    HttpStub fresh, other;
    node.start_ready();
    const Exchange old = agent_request("/v1/servers");
    node.reload(with_discovery(fresh.address()));
    const Exchange whole = fresh.next();
    respond_json(old, target_list(9, true, {member("s-2", other.address(), 7)}));
    old.hang_up();
    respond_json(whole, target_list(2, true, {member("s-1", target.address(), 7)}));
    EXPECT_TRUE(path_of(fresh.next()).starts_with("/v1/servers?from=2&"));
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    EXPECT_EQ(target.next().header("X-Call-Id"), id);
}

TEST_F(ReloadTest, KeepsTheOldConfigurationWhereTheNewOneIsBad) {
    node.start_ready();
    Json senseless = node.config();
    senseless["settings"]["family_info"]["slots"] = 0;
    for (const std::string& bad :
        {std::string("{\"name\":\n"), std::string("[]"), with_discovery("nowhere"), senseless.dump()}) {
        const std::string before = node.log();
        node.reload(bad);
        const auto said = [&] { return node.log().substr(before.size()); };
        const auto until = Clock::now() + kDeadline;
        while (said().find('\n') == std::string::npos && Clock::now() < until)
            std::this_thread::sleep_for(10ms);
        const std::string log = said();
        EXPECT_NE(log.find("the old configuration stays why="), std::string::npos) << bad << log;
        EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
    }
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    EXPECT_EQ(target.next().header("X-Call-Id"), id);
    agent_request("/v1/servers");
}

TEST_F(ReloadTest, TakesManySignalsAlsoWhileItDrains) {
    HttpStub fresh;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange call = target.next();
    for (int i = 0; i < 20; ++i) node.reload(with_discovery(i % 2 == 0 ? fresh.address() : agent.address()));
    node.terminate();
    for (int i = 0; i < 20; ++i) node.reload(with_discovery(i % 2 == 0 ? agent.address() : fresh.address()));
    fresh.next();
    call.answer(200);
    const int status = node.wait();
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
}

}  // namespace
}  // namespace lockgw
