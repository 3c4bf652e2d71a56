/// lockgw: one real forwarder. Wiring and signals, nothing else.
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "net/forwarder.hpp"

namespace {

/// A fault in one handler must not take what the others hold with it.
void run(boost::asio::io_context& io) {
    while (!io.stopped()) try {
            io.run();
        } catch (const std::exception& fault) {
            std::cerr << "lockgw: " << fault.what() << '\n';
        }
}

}  // namespace

int main() try {
    std::signal(SIGPIPE, SIG_IGN);  // a log that nobody reads any more
    boost::asio::io_context io(1);
    lockgw::Forwarder forwarder(io, lockgw::config_of_environment());
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&forwarder](auto failed, int) {
        if (!failed) forwarder.drain();
    });
    forwarder.start();
    run(io);
    return 0;
} catch (const std::exception& bad) {
    std::string what = bad.what();
    for (char& letter : what)
        if (letter == '\n') letter = ' ';
    std::cerr << "lockgw: cannot start: " << what << std::endl;
    return 1;
}
