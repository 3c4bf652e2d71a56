/// A process beside the one that owns the folder: it is about to take over, or has handed over
/// (handover/plan.hpp). It answers at its console and waits for the locks; nothing else.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "base/timer.hpp"
#include "console/server.hpp"
#include "handover/lock_files.hpp"
#include "handover/reload_request.hpp"
#include "program/pending_orders.hpp"

namespace lockgw::program {

class StandbyProcess {
public:
    enum class End {
        Owns,   ///< both locks are held; `next` is to be let go of once it serves
        Leave,  ///< told to end, or not needed any more
    };

    /// `console`: a listening socket, or -1. `locks` and `pending_orders` outlive it. A SIGHUP is passed on
    /// by `reload_request`.
    StandbyProcess(handover::LockFiles& locks, handover::Waiting::Goal goal, PendingOrders& pending_orders,
        const handover::ReloadRequest& reload_request, int console);

    /// Until it owns, or is to leave.
    End run();
    /// After run(): as console::Server::release().
    int release_console() { return console_.release(); }

private:
    void heed();
    void look();
    void pass_on_reload();

    boost::asio::io_context io_{1};
    boost::asio::signal_set signals_;
    handover::LockFiles& locks_;
    handover::Waiting waiting_;
    PendingOrders& pending_orders_;
    const handover::ReloadRequest reload_request_;
    console::Server console_;
    Timer step_;
    bool reload_pending_ = false;  // received, and not passed on yet
    End end_ = End::Leave;
};

}  // namespace lockgw::program
