#include "core/capture_control.hpp"

#include <utility>

namespace lockgw {
namespace {

capture::RecorderSettings recorder_settings(const Config& config) {
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

std::vector<std::string> names_by_index(const cometspoke::settings::Index& index) {
    std::vector<std::string> names;
    for (const auto& [name, position] : index) {
        if (position >= names.size()) names.resize(position + 1);  // dropped names leave gaps
        names[position] = name;
    }
    return names;
}

}  // namespace

CaptureControl::CaptureControl(boost::asio::io_context& io, const Config& config, cometspoke::Sender& module,
    const TargetRegistry& directory)
    : io_(io), config_(config), module_(module), directory_(directory), write_poll_timer_(io) {
    if (config_.capture) start_recorder();
}

void CaptureControl::start_recorder() {
    const auto& names = config_.names;
    recorder_ = std::make_unique<capture::Recorder>(io_, recorder_settings(config_),
        capture::About{LOCKGW_VERSION, names_by_index(names.classes), names_by_index(names.tenants),
            names_by_index(names.kinds)},
        module_);
    directory_.for_each(
        [this](cometspoke::EndpointId endpoint, const std::string& name) { named(endpoint, name); });
}

void CaptureControl::run_pending() {
    for (const auto& command : std::exchange(pending_, {})) command();
}

void CaptureControl::start(Reply reply) {
    pending_.push_back([this, reply = std::move(reply)] {
        if (recorder_) return reply("it is captured already");
        if (stopping_) return reply("what was captured before is still being written");
        try {
            start_recorder();
            reply("");
        } catch (const std::exception& error) {
            reply(error.what());
        }
    });
}

void CaptureControl::stop(Reply reply) {
    pending_.push_back([this, reply = std::move(reply)] {
        if (!recorder_) return reply("nothing is captured");
        stopping_ = std::move(recorder_);
        stopping_->end();
        release_when_written();
        reply("");
    });
}

/// Destroys the stopped recorder once all its blocks are written. Polls, because destroying it earlier would
/// block the event loop for as long as a slow disk takes.
void CaptureControl::release_when_written() {
    if (stopping_->idle()) {
        stopping_.reset();
        return;
    }
    write_poll_timer_.call_after(std::chrono::milliseconds(50), [this] { release_when_written(); });
}

void CaptureControl::keep(Reply reply) {
    pending_.push_back([this, reply = std::move(reply)] {
        if (!recorder_) return reply("nothing is captured");
        if (recorder_->failing()) return reply("the capture's disk fails");
        recorder_->keep();
        reply("");
    });
}

Json CaptureControl::status() const {
    if (!recorder_) return {{"on", false}};
    const capture::RecorderCounters& counters = recorder_->counters();
    return {{"on", true}, {"failing", recorder_->failing()}, {"batches", counters.batches},
        {"lost_batches", counters.lost_batches}, {"bytes", counters.bytes}, {"segments", counters.segments},
        {"failures", counters.failures}, {"kept", counters.kept}, {"kept_bytes", counters.kept_bytes}};
}

}  // namespace lockgw
