/// The forwarder's capture: there by its configuration, or begun and ended by the operator while it runs.
///
/// Threads: the loop's.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "capture/recorder.hpp"
#include "config/config.hpp"
#include "discovery/target_registry.hpp"

namespace lockgw {

class Captures {
public:
    /// Begins at once where the configuration has [capture]; throws where its folder cannot be used. All
    /// outlive it.
    Captures(boost::asio::io_context& io, const Config& config, cometspoke::Sender& module,
        const TargetRegistry& directory);

    /// As those of capture::Recorder; nothing where nothing is captured.
    void observed(const cometspoke::Event& event, cometspoke::Time at) {
        if (recorder_) recorder_->observed(event, at);
    }
    void decided(cometspoke::Time at, const std::vector<cometspoke::Action>& actions) {
        if (recorder_) recorder_->decided(at, actions);
        if (!at_rest_.empty()) rest();
    }
    void named(cometspoke::EndpointId endpoint, const std::string& name) {
        if (recorder_) recorder_->named(endpoint, name);
    }

    using Told = std::function<void(std::string wrong)>;  ///< "": done
    /// Right after the next decision, which the caller brings about. Both tell whether it was so already.
    void start(Told told);
    void stop(Told told);
    /// The minutes before now, by the settings; with the next decision.
    void keep(Told told);
    Json status() const;

private:
    void rest();
    void begin();
    void let_go();

    boost::asio::io_context& io_;
    const Config& config_;
    cometspoke::Sender& module_;
    const TargetRegistry& directory_;
    std::unique_ptr<capture::Recorder> recorder_;
    std::unique_ptr<capture::Recorder> ending_;  // what it was told is being written
    boost::asio::steady_timer written_;
    std::vector<std::function<void()>> at_rest_;
};

}  // namespace lockgw
