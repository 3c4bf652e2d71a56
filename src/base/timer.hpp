/// A timer of the event loop whose handler runs only while it is wanted.
///
/// cancel() of a timer of asio does not recall a handler that has expired already and waits in the queue of
/// the loop: it runs all the same, with no error. Here it does not run, whether the timer was cancelled, set
/// anew or destroyed meanwhile. All timers of the program are of this type; a test looks for others.
///
/// Threads: all calls are made on the thread of the loop.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <utility>

namespace lockgw {

class Timer {
public:
    using Clock = std::chrono::steady_clock;

    /// `context`: an execution context, or an executor of one.
    template <class Context>
    explicit Timer(Context&& context) : timer_(std::forward<Context>(context)) {}
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    ~Timer() { cancel(); }

    /// Calls `handler()` once, at `when` or as soon after it as the loop turns. Replaces an earlier call that
    /// is still to come.
    template <class Handler>
    void call_at(Clock::time_point when, Handler handler) {
        timer_.expires_at(when);
        wait(std::move(handler));
    }
    template <class Handler>
    void call_after(Clock::duration span, Handler handler) {
        timer_.expires_after(span);
        wait(std::move(handler));
    }
    void cancel() {
        ++*generation_;
        timer_.cancel();
    }
    /// When it was last set to; the epoch of the clock where it never was.
    Clock::time_point expiry() const { return timer_.expiry(); }

private:
    template <class Handler>
    void wait(Handler handler) {
        timer_.async_wait([current = generation_, own = ++*generation_, handler = std::move(handler)](
                              const boost::system::error_code& failed) mutable {
            if (!failed && own == *current) handler();
        });
    }

    boost::asio::steady_timer timer_;
    std::shared_ptr<std::uint64_t> generation_ = std::make_shared<std::uint64_t>(0);
};

}  // namespace lockgw
