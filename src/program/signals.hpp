/// The loops of one process, one after another. Between two of them nobody heeds signals: they are held back
/// meanwhile, and come after it.
#pragma once

#include <pthread.h>

#include <boost/asio/io_context.hpp>
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

/// Until it is stopped. A fault in one handler must not take what the others hold with it.
inline void run_guarded(boost::asio::io_context& io) {
    while (!io.stopped()) try {
            io.run();
        } catch (const std::exception& fault) {
            log::error("program", "a step failed", {{"why", fault.what()}});
        }
}

}  // namespace lockgw::program
