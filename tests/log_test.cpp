// The log: its two forms, its bounds, and that nobody who reads it slowly keeps the program waiting. The
// worker beside the loop.
#include "logging/log.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "background/worker.hpp"

namespace lockgw {
namespace {

using namespace std::chrono_literals;
using log::Form;
using log::Level;
using log::Value;

std::string line(Form form, std::vector<Value> values) {
    return log::line_of(
        form, 1'764'597'600'045, Level::Warn, "discovery", "not heard", values.data(), values.size());
}

TEST(Log, HasAFormForPeopleAndOneForPrograms) {
    EXPECT_EQ(line(Form::Text, {{"why", "status 500"}, {"in_a_row", 3}, {"for_s", 0.5}, {"plain", "a-b"}}),
        "warn discovery: not heard why=\"status 500\" in_a_row=3 for_s=0.5 plain=a-b");
    const auto json = nlohmann::json::parse(line(Form::Json, {{"why", "a\n\"b\""}, {"again", true}}));
    EXPECT_EQ(json, nlohmann::json({{"at", "2025-12-01T14:00:00.045Z"}, {"level", "warn"},
                        {"part", "discovery"}, {"what", "not heard"}, {"why", "a\n\"b\""}, {"again", true}}));
}

// What peers send stands in lines: it must neither begin a line of its own nor break the form.
TEST(Log, KeepsALineOneLineWhateverItTells) {
    for (const std::string& text :
        {std::string("a\nerror core: lost"), std::string("\xff\x00\x1b[2J", 6), std::string(100'000, 'x')})
        for (const Form form : {Form::Text, Form::Json}) {
            const std::string made = line(form, {{"why", text}});
            EXPECT_EQ(made.find_first_of("\n\x1b"), std::string::npos);
            EXPECT_LT(made.size(), 3000u);
            EXPECT_TRUE(form == Form::Text || nlohmann::json::accept(made));
        }
}

/// Standard error is a pipe of one page, which is read only when the test says so.
class LogOnAPipe : public ::testing::Test {
protected:
    LogOnAPipe() : before_(dup(2)) {
        EXPECT_EQ(pipe2(pipe_, O_CLOEXEC), 0);
        fcntl(pipe_[1], F_SETPIPE_SZ, 4096);
        dup2(pipe_[1], 2);
        close(pipe_[1]);
    }
    ~LogOnAPipe() override {
        close(before_);
        close(pipe_[0]);
    }
    /// All that the log wrote, to its end.
    std::string rest() {
        std::string all;
        std::thread reader([&] {
            char bytes[4096];
            for (ssize_t count; (count = read(pipe_[0], bytes, sizeof bytes)) > 0;)
                all.append(bytes, static_cast<std::size_t>(count));
        });
        log::stop();
        dup2(before_, 2);  // the pipe's only other end is closed
        reader.join();
        log::set({});
        return all;
    }
    static std::size_t count(const std::string& text, const std::string& part) {
        std::size_t count = 0;
        for (std::size_t at = 0; (at = text.find(part, at)) != std::string::npos; ++at) ++count;
        return count;
    }

private:
    int pipe_[2], before_;
};

TEST_F(LogOnAPipe, NeverWaitsForWhoeverReadsIt) {
    log::start({});
    for (int i = 0; i < 6000; ++i)  // 120 things that happen 50 times: 500 KB into a page
        log::info("part", "thing " + std::to_string(i % 120), {{"text", std::string(60, 'x')}});
    const std::string all = rest();
    EXPECT_LE(count(all, "\n"), 1024u + 120u);  // what waited, and what stood in the pipe
    EXPECT_GE(count(all, "\n"), 1000u);
    EXPECT_NE(all.find("thing 119"), std::string::npos);  // the oldest are lost, not the newest
}

TEST_F(LogOnAPipe, TellsHowManyOfOneKindWereLeftOut) {
    log::start({Level::Warn, Form::Json});
    log::info("part", "not wanted");
    for (int i = 0; i < 500; ++i) log::warn("part", "storm");
    log::error("part", "calm");
    std::this_thread::sleep_for(1100ms);
    log::warn("part", "storm");
    const std::string all = rest();
    EXPECT_EQ(all.find("not wanted"), std::string::npos);
    EXPECT_LE(count(all, "storm"), 110u);  // 50 a second; the loop may have run into the next one
    EXPECT_EQ(count(all, "calm"), 1u);
    EXPECT_NE(all.find("\"left_out\":"), std::string::npos);
}

class WorkerTest : public ::testing::Test {
protected:
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> stays{io.get_executor()};
};

TEST_F(WorkerTest, GivesResultsAndFailuresBackInOrder) {
    Worker worker(io, 3);
    const auto loop = std::this_thread::get_id();
    std::vector<std::string> told;
    ASSERT_TRUE(worker.run([loop] { return std::this_thread::get_id() != loop ? "beside" : "here"; },
        [&](Worker::Came<const char*> came) { told.push_back(came.take()); }));
    ASSERT_TRUE(worker.run([]() -> int { throw std::runtime_error("no"); },
        [&](Worker::Came<int> came) {
            try {
                came.take();
            } catch (const std::runtime_error& bad) {
                told.push_back(bad.what());
            }
            EXPECT_EQ(std::this_thread::get_id(), loop);
        }));
    ASSERT_TRUE(worker.run([] { return 1; }, [&](auto) { told.push_back("last"); }));
    EXPECT_FALSE(worker.run([] { return 1; }, [](auto) { ADD_FAILURE() << "there was no room"; }));
    while (worker.out() > 0) io.run_one_for(20s);
    EXPECT_EQ(told, (std::vector<std::string>{"beside", "no", "last"}));
    EXPECT_TRUE(worker.run([] { return 1; }, [](auto) {}));  // there is room again
}

TEST_F(WorkerTest, AtItsEndWaitsForWhatRunsAndDropsTheRest) {
    std::atomic<int> ran = 0;
    {
        Worker worker(io);
        std::atomic<bool> begun = false;
        worker.run(
            [&] {
                begun = true;
                std::this_thread::sleep_for(50ms);
                return ++ran;
            },
            [](auto) { ADD_FAILURE() << "its owner is gone"; });
        for (int i = 0; i < 5; ++i)
            worker.run([&] { return ++ran; }, [](auto) { ADD_FAILURE() << "its owner is gone"; });
        while (!begun) std::this_thread::yield();
    }
    EXPECT_GE(ran, 1);
    io.poll();  // what it came to is passed over
}

}  // namespace
}  // namespace lockgw
