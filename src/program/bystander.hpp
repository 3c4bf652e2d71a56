/// A process beside the one that owns the folder: it is about to take over, or has handed over
/// (handover/plan.hpp). It answers at its console and waits for the locks; nothing else.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "console/server.hpp"
#include "handover/place.hpp"
#include "program/desk.hpp"

namespace lockgw::program {

class Bystander {
public:
    enum class End {
        Owns,   ///< both locks are held; `next` is to be let go of once it serves
        Leave,  ///< told to end, or not needed any more
    };

    /// `console`: a listening socket, or -1. `place` and `desk` outlive it.
    Bystander(handover::Place& place, handover::Waiting::Goal goal, Desk& desk, int console);

    /// Until it owns, or is to leave.
    End run();
    /// After run(): as console::Server::release().
    int release_console() { return console_.release(); }

private:
    void heed();
    void look();

    boost::asio::io_context io_{1};
    boost::asio::signal_set signals_;
    handover::Place& place_;
    handover::Waiting waiting_;
    Desk& desk_;
    console::Server console_;
    boost::asio::steady_timer step_;
    End end_ = End::Leave;
};

}  // namespace lockgw::program
