/// One thread beside the loop, for work that would keep the loop waiting: reading files, checking, parsing.
///
/// A job gets all that it needs by value and shares nothing with the loop; what it gives back, or the
/// exception that it ended with, comes to `done` on the loop. Jobs run one after another in the order in
/// which they came. Bounded: with `most` jobs waiting or running the next one is refused, and the caller does
/// the work itself or later.
///
/// Threads: every call is made on the loop's thread, which owns the Worker. The loop outlives it. At the end
/// the job that runs is waited for; those that wait are dropped, and their `done` is not called.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <cstddef>
#include <exception>
#include <memory>
#include <utility>
#include <variant>

namespace lockgw {

class Worker {
public:
    /// What a job came to.
    template <class Result>
    class Came {
    public:
        explicit Came(Result result) : what_(std::move(result)) {}
        explicit Came(std::exception_ptr why) : what_(std::move(why)) {}
        /// The result; throws what the job threw. Once.
        Result take() {
            if (auto* why = std::get_if<std::exception_ptr>(&what_)) std::rethrow_exception(*why);
            return std::move(std::get<Result>(what_));
        }

    private:
        std::variant<Result, std::exception_ptr> what_;
    };

    explicit Worker(boost::asio::io_context& loop, std::size_t most = 8) : loop_(loop), most_(most) {}
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;
    ~Worker() {
        *here_ = false;
        thread_.stop();
        thread_.join();
    }
    /// Waits for all jobs, also for those that wait. No `done` is called, and no job taken any more.
    void finish() {
        *here_ = false;
        most_ = 0;
        thread_.join();
    }

    /// Jobs that wait or run, or whose `done` is still to be called.
    std::size_t out() const { return out_; }

    /// `job()` on the thread, then `done(Came<its result>)` on the loop. False where there is no room:
    /// nothing is called then.
    template <class Job, class Done>
    bool run(Job job, Done done) {
        if (out_ >= most_) return false;
        ++out_;
        boost::asio::post(thread_, [this, job = std::move(job), done = std::move(done)]() mutable {
            using Result = decltype(job());
            auto came = std::make_shared<Came<Result>>(result_of<Result>(job));
            boost::asio::post(loop_, [this, here = here_, came, done = std::move(done)]() mutable {
                if (!*here) return;
                --out_;
                done(std::move(*came));
            });
        });
        return true;
    }

private:
    template <class Result, class Job>
    static Came<Result> result_of(Job& job) try {
        return Came<Result>(job());
    } catch (...) {
        return Came<Result>(std::current_exception());
    }

    boost::asio::io_context& loop_;
    std::size_t most_, out_ = 0;
    std::shared_ptr<bool> here_ = std::make_shared<bool>(true);  // read on the loop alone
    boost::asio::thread_pool thread_{1};
};

}  // namespace lockgw
