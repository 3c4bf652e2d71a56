/// The loops of one process, one after another. Between two of them nobody heeds signals: they are held back
/// meanwhile, and come after it.
#pragma once

#include <pthread.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>

#include "logging/log.hpp"

namespace lockgw::program {

inline void hold_signals_back() {
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_BLOCK, &all, nullptr);
}
inline void let_signals_through() {
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_UNBLOCK, &all, nullptr);
}

/// A SIGTERM or SIGINT is held back.
inline bool end_is_pending() {
    sigset_t pending;
    return sigpending(&pending) == 0 &&
           (sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1);
}

/// Whether this process was told to end (SIGTERM, SIGINT) since this was made. It outlives the loops: a loop
/// that stops in the very moment in which such a signal comes has taken it from the system, and never tells
/// of it.
class EndSignal {
public:
    EndSignal() : signals_(io_, SIGTERM, SIGINT) {
        signals_.async_wait([this](auto failed, int) { told_ = told_ || !failed; });
    }
    /// Not from within a handler of another loop.
    bool told() {
        io_.restart();
        io_.poll();
        return told_;
    }

private:
    boost::asio::io_context io_{1};
    boost::asio::signal_set signals_;
    bool told_ = false;
};

/// Until it is stopped. A fault in one handler must not take what the others hold with it.
inline void run_guarded(boost::asio::io_context& io) {
    while (!io.stopped()) try {
            io.run();
        } catch (const std::exception& fault) {
            log::error("program", "a step failed", {{"why", fault.what()}});
        }
}

}  // namespace lockgw::program
