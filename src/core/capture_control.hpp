/// Starts and stops the capture: from the start if the configuration asks for it, or on the operator's
/// command while the forwarder runs.
///
/// Not thread-safe: called on the event loop only.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/timer.hpp"
#include "capture/recorder.hpp"
#include "config/config.hpp"
#include "discovery/target_registry.hpp"

namespace lockgw {

class CaptureControl {
public:
    /// Starts recording at once if the configuration has [capture]; throws if its folder cannot be used. The
    /// arguments must outlive this object.
    CaptureControl(boost::asio::io_context& io, const Config& config, cometspoke::Sender& module,
        const TargetRegistry& directory);

    /// Forwarded to capture::Recorder; no effect while nothing is recorded.
    void observed(const cometspoke::Event& event, cometspoke::Time now) {
        if (recorder_) recorder_->observed(event, now);
    }
    void decided(cometspoke::Time now, const std::vector<cometspoke::Action>& actions) {
        if (recorder_) recorder_->decided(now, actions);
        if (!pending_.empty()) run_pending();
    }
    void named(cometspoke::EndpointId endpoint, const std::string& name) {
        if (recorder_) recorder_->named(endpoint, name);
    }

    using Reply = std::function<void(std::string error)>;  ///< empty: done
    /// Take effect right after the next decision, which the caller must bring about. The error says if the
    /// capture was already on or off.
    void start(Reply reply);
    void stop(Reply reply);
    /// Keeps the last minutes, as configured. Takes effect after the next decision.
    void keep(Reply reply);
    Json status() const;

private:
    void run_pending();
    void start_recorder();
    void release_when_written();

    boost::asio::io_context& io_;
    const Config& config_;
    cometspoke::Sender& module_;
    const TargetRegistry& directory_;
    std::unique_ptr<capture::Recorder> recorder_;
    std::unique_ptr<capture::Recorder> stopping_;  // its last blocks are still being written
    Timer write_poll_timer_;
    std::vector<std::function<void()>> pending_;  // commands to run after the next decision
};

}  // namespace lockgw
