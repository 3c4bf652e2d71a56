/// The process that owns the folder: the forwarder with its fronts, its control socket and its console.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "background/worker.hpp"
#include "base/timer.hpp"
#include "console/server.hpp"
#include "control/server.hpp"
#include "core/forwarder.hpp"
#include "handover/lock_files.hpp"
#include "handover/reload_request.hpp"
#include "program/load.hpp"

namespace lockgw::program {

/// Both files, read anew; throws with all problems, one line each. `running`: what has to stay as it is.
Loaded loaded(const Sources& sources, const Loaded* running);

class Service {
public:
    enum class End {
        Ended,       ///< told to, and with nothing left to do
        HandedOver,  ///< to another process
    };

    /// `locks`: its owner lock is held. `console`: a listening socket of this process, or -1. Throws where an
    /// address cannot be had or the folder cannot be used.
    Service(const Sources& sources, const std::string& control, std::shared_ptr<const Loaded> loaded,
        handover::LockFiles& locks, int console);

    /// Serves; `locks` is let go of as the next owner's as soon as it does.
    End run();
    /// After run().
    bool told_to_end() const { return told_to_end_; }
    int release_console() { return console_.release(); }
    std::set<std::string> listed() const { return forwarder_.listed_targets(); }
    std::shared_ptr<const Loaded> running() const { return running_; }

private:
    void heed();
    void listen_in_the_folder();
    void reload(control::Promise promise);
    void load_anew();
    void poll_reload_request();
    control::Outcome taken_over(Worker::Came<Loaded>& came);
    Json ordered(const Json& args);
    void work(const Json& args, control::Promise promise);
    Json status() const;

    const Sources sources_;
    handover::LockFiles& locks_;
    const handover::ReloadRequest reload_request_;
    boost::asio::io_context io_{1};
    boost::asio::signal_set signals_;
    std::shared_ptr<const Loaded> running_;
    Forwarder forwarder_;
    control::Verbs verbs_;
    control::Server server_;
    console::Server console_;
    Worker worker_;  // reads and checks files, while messages go on
    Timer reload_request_timer_;
    std::vector<control::Promise> asked_;
    bool loading_ = false, told_to_end_ = false, handed_over_ = false;
    std::size_t reloads_ = 0;
};

}  // namespace lockgw::program
