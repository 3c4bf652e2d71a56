// SIGHUP: the configuration is reloaded, among others with another discovery agent, while the program runs.
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

// A new agent has its own revisions: it is asked for the full list, and gets every unconfirmed final status.
TEST_F(ReloadTest, SwitchesToTheNewAgentAndReportsAgain) {
    HttpStub new_agent, second_target;
    node.start_ready();
    respond_json(agent_request("/v1/servers"), target_list(5, true, {member("s-1", target.address(), 7)}));
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "safe", 100, "B", 99), "+OK");
    agent_request("/reports");  // never confirmed

    node.reload(with_discovery(new_agent.address()));
    std::optional<Exchange> full_list, report;
    while (!full_list || !report) {
        const Exchange exchange = new_agent.next();
        (path_of(exchange) == "/reports" ? report : full_list) = exchange;
    }
    EXPECT_EQ(path_of(*full_list), "/v1/servers");
    EXPECT_EQ(final_statuses(*report)[0]["ref"], id);
    report->answer(204);

    ASSERT_EQ(enqueue(client, "00000000000000aa"), "+OK");  // the previous list is still in use
    const Exchange call = target.next();
    EXPECT_EQ(call.header("X-Call-Id"), "00000000000000aa");
    call.answer(200);
    respond_json(*full_list, target_list(2, true, {member("s-2", second_target.address(), 7)}));
    EXPECT_TRUE(path_of(new_agent.next()).starts_with("/v1/servers?from=2&"));
    ASSERT_EQ(enqueue(client, "00000000000000bb"), "+OK");
    EXPECT_EQ(second_target.next().header("X-Call-Id"), "00000000000000bb");
}

// Late answers of the previous agent must be ignored, and so must the end of its connection.
TEST_F(ReloadTest, IgnoresLateAnswersOfThePreviousAgent) {
    HttpStub new_agent, second_target;
    node.start_ready();
    const Exchange old_poll = agent_request("/v1/servers");
    node.reload(with_discovery(new_agent.address()));
    const Exchange full_list = new_agent.next();
    respond_json(old_poll, target_list(9, true, {member("s-2", second_target.address(), 7)}));
    old_poll.hang_up();
    respond_json(full_list, target_list(2, true, {member("s-1", target.address(), 7)}));
    EXPECT_TRUE(path_of(new_agent.next()).starts_with("/v1/servers?from=2&"));
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    EXPECT_EQ(target.next().header("X-Call-Id"), id);
}

TEST_F(ReloadTest, KeepsTheOldConfigurationWhenTheNewOneIsInvalid) {
    node.start_ready();
    Json invalid = node.config();
    invalid["settings"]["family_info"]["slots"] = 0;
    for (const std::string& config :
        {std::string("{\"name\":\n"), std::string("[]"), with_discovery("nowhere"), invalid.dump()}) {
        const std::string before = node.log();
        node.reload(config);
        const auto new_log = [&] { return node.log().substr(before.size()); };
        const auto until = Clock::now() + kDeadline;
        while (new_log().find('\n') == std::string::npos && Clock::now() < until)
            std::this_thread::sleep_for(10ms);
        const std::string log = new_log();
        EXPECT_NE(log.find("the old configuration stays why="), std::string::npos) << config << log;
        EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
    }
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    EXPECT_EQ(target.next().header("X-Call-Id"), id);
    agent_request("/v1/servers");
}

TEST_F(ReloadTest, HandlesManySignalsBeforeAndDuringADrain) {
    HttpStub new_agent;
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id), "+OK");
    const Exchange call = target.next();
    for (int i = 0; i < 20; ++i)
        node.reload(with_discovery(i % 2 == 0 ? new_agent.address() : agent.address()));
    node.terminate();
    for (int i = 0; i < 20; ++i)
        node.reload(with_discovery(i % 2 == 0 ? agent.address() : new_agent.address()));
    new_agent.next();
    call.answer(200);
    const int status = node.wait();
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
}

}  // namespace
}  // namespace lockgw
