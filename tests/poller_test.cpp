// Polls whose answers come, or whose time ends, while the loop is held up; and handlers that change the
// poller while it evaluates an answer.
#include "discovery/poller.hpp"

#include <gtest/gtest.h>

#include <thread>

#include "rig/http.hpp"

namespace lockgw {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using Tcp = boost::asio::ip::tcp;

constexpr std::size_t kMaxBytes = 1 << 16;

/// An agent on a thread of its own. It answers 204, at once or when it is told to.
class Agent {
public:
    explicit Agent(bool at_once) : at_once_(at_once), thread_([this] { io_.run(); }) {}
    ~Agent() {
        boost::asio::post(io_, [this] { io_.stop(); });
        thread_.join();
    }
    Tcp::endpoint address() const { return server_.address(); }
    int requests() const { return requests_; }
    int answered() const { return answered_; }
    void answer_all() {
        boost::asio::post(io_, [this] {
            for (const auto& peer : std::exchange(held_, {})) answer(peer);
        });
    }

    /// Writes a part of an answer to each request that waits.
    void write_to_all(const std::string& bytes) {
        boost::asio::post(io_, [this, bytes] {
            for (const auto& peer : held_) peer->write(bytes, [this](auto) { ++answered_; });
        });
    }

private:
    void handle(const std::shared_ptr<rig::Peer>& peer) {
        ++requests_;
        at_once_ ? answer(peer) : held_.push_back(peer);
    }
    void answer(const std::shared_ptr<rig::Peer>& peer) {
        peer->write("HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n", [this](auto) { ++answered_; });
    }

    bool at_once_;
    std::atomic<int> requests_{0}, answered_{0};
    boost::asio::io_context io_{1};
    std::vector<std::shared_ptr<rig::Peer>> held_;
    rig::Server server_{
        io_, {boost::asio::ip::address_v4::loopback(), 0}, [this](auto peer, auto, auto) { handle(peer); }};
    std::thread thread_;
};

class PollerTest : public ::testing::Test {
protected:
    static PollSchedule::Limits limits() {
        PollSchedule::Limits limits;
        limits.connect_overdue = limits.answer_overdue = limits.read_overdue = 50ms;
        limits.connect_timeout = limits.answer_timeout = limits.read_timeout = 150ms;
        return limits;
    }
    void start(const Agent& agent, std::function<void()> on_answer) { start(agent, limits(), on_answer); }
    void start(const Agent& agent, const PollSchedule::Limits& limits, std::function<void()> on_answer) {
        poller_.emplace(
            io_, limits, 1, kMaxBytes,
            [](std::uint64_t) {
                return Poller::Request{boost::beast::http::verb::get, "/", "", {}};
            },
            [this, on_answer = std::move(on_answer)](std::uint64_t request, const auto& answer) {
                answers_.emplace_back(request, answer.status);
                bodies_.push_back(answer.body);
                on_answer();
                return answer.status == 204 ? Poller::Verdict::Accepted : Poller::Verdict::Rejected;
            });
        poller_->set_enabled(true);
        poller_->set_agent(agent.address());
    }
    bool run_until(const std::function<bool()>& condition) {
        const auto until = Clock::now() + 10s;
        while (!condition() && Clock::now() < until) io_.run_for(1ms);
        return condition();
    }
    static void wait_for(const std::function<bool()>& condition) {
        const auto until = Clock::now() + 10s;
        while (!condition() && Clock::now() < until) std::this_thread::sleep_for(1ms);
    }
    /// No event is handled meanwhile: all limits of a request pass.
    static void hold_up() { std::this_thread::sleep_for(400ms); }

    boost::asio::io_context io_{1};
    std::optional<Poller> poller_;
    std::vector<std::pair<std::uint64_t, unsigned>> answers_;
    std::vector<std::string> bodies_;
};

// The answer waits in the socket when the time of its request ends, and its handler runs first. It disables
// the poller, as the report of final statuses does once all are confirmed: the steps of the schedule that
// follow at once must not find the request timed out and evaluate it a second time.
TEST_F(PollerTest, AnAnswerWhoseTimeHasPassedIsEvaluatedOnce) {
    Agent agent(false);
    start(agent, [this] { poller_->set_enabled(false); });
    ASSERT_TRUE(run_until([&] { return agent.requests() == 1; }));
    agent.answer_all();
    wait_for([&] { return agent.answered() == 1; });
    hold_up();
    ASSERT_TRUE(run_until([&] { return !answers_.empty(); }));
    io_.run_for(100ms);
    EXPECT_EQ(answers_, (std::vector<std::pair<std::uint64_t, unsigned>>{{1, 204}}));
}

class AnswerInParts : public PollerTest {
protected:
    static constexpr std::size_t kBody = 40'000, kFirstPart = 100;
    static std::string first_part() {
        return "HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(kBody) + "\r\n\r\n" +
               std::string(kFirstPart, 'a');
    }
    /// The agent writes the first part, which is read, and then `bytes`, while the loop is held up until the
    /// time of the request has passed.
    void play(Agent& agent, std::size_t bytes) {
        start(agent, [this] { poller_->set_enabled(false); });
        ASSERT_TRUE(run_until([&] { return agent.requests() == 1; }));
        agent.write_to_all(first_part());
        wait_for([&] { return agent.answered() == 1; });
        io_.run_for(20ms);
        agent.write_to_all(std::string(bytes, 'b'));
        wait_for([&] { return agent.answered() == 2; });
        hold_up();
        ASSERT_TRUE(run_until([&] { return !answers_.empty(); }));
    }
};

// What has come of an answer when its time ends counts, read or not: there may be a drain in it. Only the
// first 512 bytes that had come during a hold-up were read, and the rest was lost with the connection.
TEST_F(AnswerInParts, WhatHasComeWhenItsTimeEndsIsEvaluated) {
    Agent agent(false);
    play(agent, kBody / 2);
    ASSERT_EQ(answers_.size(), 1u);
    EXPECT_EQ(answers_[0].second, 0u);
    EXPECT_EQ(bodies_[0].size(), kFirstPart + kBody / 2);
}

TEST_F(AnswerInParts, AnAnswerThatIsCompleteWhenItsTimeEndsIsWhole) {
    Agent agent(false);
    play(agent, kBody - kFirstPart);
    ASSERT_EQ(answers_.size(), 1u);
    EXPECT_EQ(answers_[0].second, 200u);
    EXPECT_EQ(bodies_[0].size(), kBody);
}

// An answer has begun with the first byte of its header.
TEST_F(AnswerInParts, APartOfTheHeaderIsTheBeginningOfAnAnswer) {
    Agent agent(false);
    PollSchedule::Limits limits;
    limits.answer_overdue = limits.answer_timeout = 1500ms;
    limits.read_overdue = limits.read_timeout = 10s;
    start(agent, limits, [this] { poller_->set_enabled(false); });
    ASSERT_TRUE(run_until([&] { return agent.requests() == 1; }));
    const std::string answer = first_part();
    agent.write_to_all(answer.substr(0, 20));
    io_.run_for(2500ms);
    EXPECT_TRUE(answers_.empty());
    agent.write_to_all(answer.substr(20) + std::string(kBody - kFirstPart, 'b'));
    ASSERT_TRUE(run_until([&] { return !answers_.empty(); }));
    EXPECT_EQ(answers_[0].second, 200u);
    EXPECT_EQ(agent.requests(), 1);
}

// Two requests time out in one turn, and the handler of the first changes the agent, which cancels the
// second.
TEST_F(PollerTest, AnotherAgentIsSetWhileRequestsTimeOut) {
    Agent silent(false), other(true);
    bool changed = false;
    start(silent, [&] {
        if (!std::exchange(changed, true)) poller_->set_agent(other.address());
        if (other.requests() > 0) poller_->set_enabled(false);
    });
    ASSERT_TRUE(run_until([&] { return silent.requests() == 2; }));
    hold_up();
    ASSERT_TRUE(run_until([&] { return answers_.size() >= 2; }));
    io_.run_for(200ms);
    ASSERT_EQ(answers_.size(), 2u) << "the second request has no result";
    EXPECT_EQ(answers_[0].second, 0u);
    EXPECT_EQ(answers_[1].second, 204u);
    EXPECT_EQ(other.requests(), 1);
}

}  // namespace
}  // namespace lockgw
