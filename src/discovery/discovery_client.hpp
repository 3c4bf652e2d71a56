/// Client of the discovery agent. Keeps the view of the targets up to date, and reports the final status of
/// messages that were not delivered to the platform.
///
/// The list is polled continuously (long polling): the next poll is sent as soon as the last one was
/// answered, and a second one in parallel as soon as the first is overdue. A request that hangs or an answer
/// that stops in the middle therefore costs a fraction of a second. The last list stays in force until the
/// agent sends another one or changes. A final status is posted until the agent answers 204, also in parallel
/// to a post that hangs.
///
/// Runs on the thread of its io_context. Answers of 256 KiB or more are parsed on a worker thread, and a full
/// list among them is then applied in batches of 100 entries, so that the event loop is not blocked.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "background/worker.hpp"
#include "base/final_status.hpp"
#include "discovery/poller.hpp"
#include "discovery/target_view.hpp"

namespace lockgw {

class DiscoveryClient {
public:
    struct Settings {
        std::optional<Tcp::endpoint> address;  ///< of the agent; none: the known list is all there is
        Json known_list;                       ///< the configured list, in the format of the agent's lists
        std::set<std::string> zones, kinds;    ///< the names in the settings
        std::size_t forwarder_count = 1;       ///< forwarders that poll like this one
        std::uint64_t seed = 0;                ///< spreads the requests of many forwarders over time
        /// A drain must have been read this long after the agent knows of it, at the latest.
        std::chrono::milliseconds drain_grace{500};
        std::size_t max_list_bytes = kMinListBytes;  ///< a longer answer is treated as one that was cut off
    };
    using MessageId = cometspoke::MessageId;
    using OnUpdate = std::function<void(const TargetView::Update&)>;
    using OnConfirmed = std::function<void(MessageId)>;

    /// `on_update` is called for each change of the view, `on_confirmed` for each final status that the agent
    /// has confirmed.
    DiscoveryClient(
        boost::asio::io_context& io, Settings settings, OnUpdate on_update, OnConfirmed on_confirmed);

    /// Applies the configured list. Call before start(). A list that cannot be parsed is logged and ignored.
    void apply_known_list();
    void start();
    /// Replaces the agent by another one. It has revisions of its own and has not received what the old one
    /// did not confirm: the full list is requested, and every unconfirmed final status is sent to it at once.
    /// The last list stays in force until it answers. Does nothing if either address is missing.
    void switch_agent(const std::optional<Tcp::endpoint>& address);
    /// Replaces the names of the zones and kinds.
    void set_known_names(std::set<std::string> zones, std::set<std::string> kinds) {
        view_.set_known_names(std::move(zones), std::move(kinds));
    }
    /// Sets the number of forwarders that poll like this one, as far as known.
    void set_forwarder_count(std::size_t forwarder_count);
    void set_drain_grace(std::chrono::milliseconds grace);
    /// Posts a final status until the agent answers 204. Without an agent it is logged and confirmed at once.
    void report_final_status(MessageId id, const FinalStatus& notice);

    const TargetView& view() const { return view_; }
    /// The view in the format of Settings::known_list, to be passed to another process; null if it is empty.
    Json list_json() const { return view_.list_json(); }

private:
    void apply_poll_limits();
    void confirm_without_agent(MessageId id, const FinalStatus& notice);
    Poller::Request make_list_request(std::uint64_t request);
    /// An answer after parsing, independent of the view.
    struct ParsedAnswer {
        std::optional<TargetList> list;  ///< none if the answer is not a complete list
        TargetList stopping_entries;     ///< without a list: the drains and departures that could be read
        std::string error;
    };
    /// A request for the list that is in flight.
    struct ListRequest {
        TargetView::ListRequest request;
        StoppingEntriesReader stopping_entries;  // those that were applied already
    };
    static ParsedAnswer parse_answer(
        const AgentConnection::Answer& answer, StoppingEntriesReader stopping_entries);
    Poller::Verdict on_list_answer(std::uint64_t request, const AgentConnection::Answer& answer);
    bool apply_answer(const TargetView::ListRequest& list_request, const ParsedAnswer& parsed);
    void record_result(bool accepted, const std::string& error);
    void apply_next_batch(std::uint64_t request);
    void publish_next_batch();
    void finish_batches();
    bool parse_in_background(
        std::uint64_t request, const ListRequest& list_request, const AgentConnection::Answer& answer);
    void on_partial_list(std::uint64_t request, const AgentConnection::Answer& answer);
    void publish(const TargetView::Update& update);
    void log_failure(const std::string& error);

    Poller::Request make_report_request(std::uint64_t request);
    Poller::Verdict on_report_answer(std::uint64_t request, const AgentConnection::Answer& answer);

    boost::asio::io_context& io_;
    std::optional<Tcp::endpoint> address_;
    std::size_t forwarder_count_;
    PollSchedule::Duration drain_grace_, hold_, max_start_delay_;
    std::mt19937_64 random_;
    Json known_list_;
    OnUpdate on_update_;
    OnConfirmed on_confirmed_;
    TargetView view_;
    std::map<std::uint64_t, ListRequest> list_requests_;  // in flight, by request number
    std::map<MessageId, FinalStatus> unconfirmed_;
    std::map<std::uint64_t, std::vector<MessageId>> posted_;  // ids in each post in flight, by request number
    std::size_t consecutive_failures_ = 0;                    // of the list poll
    TargetView::Time failing_since_{}, failure_logged_at_{};
    bool batch_failed_ = false;
    std::chrono::steady_clock::duration longest_batch_{};  // of the list that is being applied
    Poller list_poller_, report_poller_;
    Worker worker_;  // parses long answers, so that the event loop is not blocked
};

}  // namespace lockgw
