/// Between two loops of one process nobody heeds signals: they are held back meanwhile, and come after it.
#pragma once

#include <pthread.h>

#include <csignal>

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

}  // namespace lockgw::program
