#include "core/captures.hpp"

#include <utility>

namespace lockgw {
namespace {

capture::RecorderSettings settings_of(const Config& config) {
    const config::CaptureRow row = config.capture.value_or(config::CaptureRow{});
    const auto bytes = [](double megabytes) { return static_cast<std::size_t>(megabytes * 1024 * 1024); };
    const auto span = [](double seconds) {
        return std::chrono::duration_cast<cometspoke::Time>(std::chrono::duration<double>(seconds));
    };
    capture::RecorderSettings settings;
    settings.folder = row.folder.empty() ? config.state / "capture" : std::filesystem::path(row.folder);
    settings.disk_bytes = bytes(row.disk_mb);
    settings.segment_bytes = bytes(row.segment_mb);
    settings.kept_bytes = bytes(row.kept_mb);
    settings.trigger.before = span(row.keep_before_s);
    settings.trigger.after = span(row.keep_after_s);
    settings.trigger.every = span(row.keep_every_s);
    settings.trigger.refusals = row.keep_refusals;
    for (const std::string& cause : row.keep_on)
        if (const auto known = capture::cause_of(cause)) settings.trigger.on.insert(*known);
    return settings;
}

std::vector<std::string> names_in_order(const cometspoke::settings::Index& index) {
    std::vector<std::string> all;
    for (const auto& [name, place] : index) {
        if (place >= all.size()) all.resize(place + 1);  // between them stand those that were dropped
        all[place] = name;
    }
    return all;
}

}  // namespace

Captures::Captures(boost::asio::io_context& io, const Config& config, cometspoke::Sender& module,
    const TargetRegistry& directory)
    : io_(io), config_(config), module_(module), directory_(directory), written_(io) {
    if (config_.capture) begin();
}

void Captures::begin() {
    const auto& names = config_.names;
    recorder_ = std::make_unique<capture::Recorder>(io_, settings_of(config_),
        capture::About{LOCKGW_VERSION, names_in_order(names.classes), names_in_order(names.tenants),
            names_in_order(names.kinds)},
        module_);
    directory_.for_each(
        [this](cometspoke::EndpointId endpoint, const std::string& name) { named(endpoint, name); });
}

void Captures::rest() {
    for (const auto& step : std::exchange(at_rest_, {})) step();
}

void Captures::start(Told told) {
    at_rest_.push_back([this, told = std::move(told)] {
        if (recorder_) return told("it is captured already");
        if (ending_) return told("what was captured before is still being written");
        try {
            begin();
            told("");
        } catch (const std::exception& bad) {
            told(bad.what());
        }
    });
}

void Captures::stop(Told told) {
    at_rest_.push_back([this, told = std::move(told)] {
        if (!recorder_) return told("nothing is captured");
        ending_ = std::move(recorder_);
        ending_->end();
        let_go();
        told("");
    });
}

/// A disk that hangs must not keep the loop: it is looked at again until all is written.
void Captures::let_go() {
    if (ending_->idle()) {
        ending_.reset();
        return;
    }
    written_.expires_after(std::chrono::milliseconds(50));
    written_.async_wait([this](auto cancelled) {
        if (!cancelled) let_go();
    });
}

void Captures::keep(Told told) {
    at_rest_.push_back([this, told = std::move(told)] {
        if (!recorder_) return told("nothing is captured");
        if (recorder_->failing()) return told("the capture's disk fails");
        recorder_->keep();
        told("");
    });
}

Json Captures::status() const {
    if (!recorder_) return {{"on", false}};
    const capture::RecorderCounters& counters = recorder_->counters();
    return {{"on", true}, {"failing", recorder_->failing()}, {"batches", counters.batches},
        {"lost_batches", counters.lost_batches}, {"bytes", counters.bytes}, {"segments", counters.segments},
        {"failures", counters.failures}, {"kept", counters.kept}, {"kept_bytes", counters.kept_bytes}};
}

}  // namespace lockgw
