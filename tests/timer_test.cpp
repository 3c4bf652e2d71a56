// Timers that are cancelled, set anew or destroyed while their handlers wait in the queue of the loop.
#include "base/timer.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <thread>

namespace lockgw {
namespace {

using namespace std::chrono_literals;

/// Two timers that fall due while the loop does not run: the handler of the second waits behind the first.
class TimerTest : public ::testing::Test {
protected:
    void both_due(const std::function<void()>& first) {
        const auto now = Timer::Clock::now();
        first_.call_at(now + 1ms, first);
        second_->call_at(now + 2ms, [this] { ++calls_; });
        std::this_thread::sleep_for(5ms);
        io_.run_for(50ms);
    }

    boost::asio::io_context io_{1};
    Timer first_{io_};
    std::optional<Timer> second_{std::in_place, io_};
    int calls_ = 0;
};

TEST_F(TimerTest, CallsItsHandlerOnce) {
    both_due([] {});
    EXPECT_EQ(calls_, 1);
}
TEST_F(TimerTest, ACancelRecallsAHandlerThatIsQueuedAlready) {
    both_due([this] { second_->cancel(); });
    EXPECT_EQ(calls_, 0);
}
TEST_F(TimerTest, SettingItAnewRecallsAHandlerThatIsQueuedAlready) {
    int later = 0;
    both_due([&] { second_->call_after(10ms, [&] { ++later; }); });
    EXPECT_EQ(calls_, 0);
    EXPECT_EQ(later, 1);
}
TEST_F(TimerTest, ItsEndRecallsAHandlerThatIsQueuedAlready) {
    both_due([this] { second_.reset(); });
    EXPECT_EQ(calls_, 0);
}
TEST_F(TimerTest, AHandlerMaySetItsOwnTimerAnewAndEndIt) {
    second_->call_after(1ms, [this] {
        second_->call_after(1ms, [this] {
            ++calls_;
            second_.reset();
        });
    });
    io_.run_for(50ms);
    EXPECT_EQ(calls_, 1);
}

}  // namespace
}  // namespace lockgw
