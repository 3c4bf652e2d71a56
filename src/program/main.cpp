/// lockgw: one real forwarder. Wiring and signals, nothing else.
#include <pthread.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "core/forwarder.hpp"
#include "deliveries/http/targets.hpp"
#include "fronts/resp2/clients.hpp"

namespace {

std::string plain(std::string what) {
    for (char& letter : what)
        if (letter == '\n') letter = ' ';
    return what;
}

/// A bad file must not take a good process down: the configuration that it has stays in force.
void reload(lockgw::Forwarder& forwarder) try {
    forwarder.reload(lockgw::config_of_environment());
    std::cerr << "lockgw: configuration read anew" << std::endl;
} catch (const std::exception& bad) {
    std::cerr << "lockgw: the old configuration stays: " << plain(bad.what()) << std::endl;
}

void heed(boost::asio::signal_set& signals, lockgw::Forwarder& forwarder) {
    signals.async_wait([&](auto failed, int signal) {
        if (failed) return;
        heed(signals, forwarder);
        signal == SIGHUP ? reload(forwarder) : forwarder.drain();
    });
}

lockgw::Protocols protocols() {
    using namespace lockgw;
    return {[](auto& io, const Config& config, std::size_t most, Intake& intake) {
                return std::make_unique<Clients>(io, config, most, intake);
            },
        [](auto& io, const Config& config, std::size_t most, Delivery::May may, Delivery::Done done) {
            return std::make_unique<Targets>(io, config, most, std::move(may), std::move(done));
        }};
}

/// A signal that comes while all is being taken down must not turn a good end into a crash.
void block_signals() {
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

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
    // first: a SIGHUP during the start must not end the process either
    boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    lockgw::Forwarder forwarder(io, lockgw::config_of_environment(), protocols());
    heed(signals, forwarder);
    forwarder.start();
    run(io);
    block_signals();
    return 0;
} catch (const std::exception& bad) {
    std::cerr << "lockgw: cannot start: " << plain(bad.what()) << std::endl;
    return 1;
}
