#include "discovery/discovery_client.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "logging/log.hpp"

namespace lockgw {

namespace http = boost::beast::http;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

// How long the agent may hold back the answer to a poll while it has nothing to tell. Short, because a
// request that hangs cannot be distinguished from a held one before the hold is over. But each poll is a
// call, and the calls of many forwarders add up, so the hold grows with their number.
constexpr auto kMinHold = 1500ms, kMaxHold = 10'000ms, kHoldPerForwarder = 100ms;
// The time allowed for the first byte of a full list. It is not held back, but an agent with many requests at
// once takes a while. The platform assumes that a forwarder knows a change of the agent's data 6 s later, so
// there must be time for several requests that hang one after another.
constexpr PollSchedule::Duration kFullListWait = 1000ms;
// Average interval between the requests of all forwarders that start together, or were refused together.
constexpr auto kStartInterval = 20ms, kOverloadInterval = 20ms;
// The platform assumes that a forwarder knows what its agent knows, whether it has polled or not, and new
// calls to a target must stop within the drain grace of the settings. So a starting forwarder sends its first
// poll within this share of the grace, however many start together, and a request is overdue well before its
// end.
constexpr double kMaxStartDelayShare = 0.6, kMaxOverdueShare = 0.4;
// However short the grace is; less would cause a storm of calls.
constexpr PollSchedule::Duration kMinOverdue = 20ms;
// The platform assumes that a forwarder knows a change 6 s later, however many polls the agent has refused in
// the meantime. There has to be time for three of them.
constexpr auto kMaxOverloadDelay = 1900ms;
// With at least this many forwarders the configured list is assumed to be the agent's own at its revision,
// and only changes are requested: an agent cannot serve a full list to each of them at one moment.
constexpr std::size_t kManyForwarders = 16;
// A slow answer (a busy agent, a narrow link, a long list) is received to its end.
constexpr PollSchedule::Duration kMaxPause = 2000ms, kSlowReadTimeout = 10'000ms;
constexpr std::size_t kMaxStatusesPerPost = 256;
constexpr auto kFailureLogInterval = 5s;                   // between log lines on consecutive failures
constexpr auto kSlowListThreshold = 20ms;                  // applying a list for longer is logged
constexpr std::size_t kBackgroundParseBytes = 256 * 1024;  // parsed by the worker: some 1,500 targets, 5 ms
// Entries of a long list applied in one turn of the event loop: some 1 ms.
constexpr std::size_t kBatchEntries = 100;
constexpr auto kOutageLogThreshold = 1s;  // the end of a longer outage of the agent is logged

PollSchedule::Duration share_of(PollSchedule::Duration grace, double share) {
    return std::chrono::duration_cast<PollSchedule::Duration>(grace * share);
}

PollSchedule::Limits list_poll_limits(std::size_t forwarder_count, PollSchedule::Duration grace) {
    PollSchedule::Limits limits;
    const PollSchedule::Duration max_overdue = std::max(kMinOverdue, share_of(grace, kMaxOverdueShare));
    for (auto* overdue : {&limits.connect_overdue, &limits.answer_overdue, &limits.read_overdue})
        *overdue = std::min(*overdue, max_overdue);
    limits.max_retry_delay = std::min(limits.max_retry_delay, max_overdue);
    const auto count = static_cast<PollSchedule::Duration::rep>(forwarder_count);
    limits.hold = std::clamp<PollSchedule::Duration>(kHoldPerForwarder * count, kMinHold, kMaxHold);
    limits.max_overload_delay = kMaxOverloadDelay;
    limits.max_pause = kMaxPause;
    limits.slow_read_timeout = kSlowReadTimeout;
    if (forwarder_count >= kManyForwarders)
        limits.first_overload_delay =
            std::min<PollSchedule::Duration>(kOverloadInterval * count, kMaxOverloadDelay);
    return limits;
}

// A final status is late 300 ms after the deadline of its message; a post that hangs must not use that up.
PollSchedule::Limits report_poll_limits() {
    PollSchedule::Limits limits;
    limits.connect_overdue = limits.answer_overdue = limits.read_overdue = 70ms;
    limits.connect_timeout = limits.answer_timeout = limits.read_timeout = 400ms;
    return limits;
}

/// The agent refused the request because it is overloaded; retries at the usual rate would keep it
/// overloaded.
bool overloaded(const AgentConnection::Answer& answer) {
    return answer.status == 503 || answer.status == 429;
}

double seconds(Clock::duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

DiscoveryClient::DiscoveryClient(
    boost::asio::io_context& io, Settings settings, OnUpdate on_update, OnConfirmed on_confirmed)
    : io_(io),
      address_(settings.address),
      forwarder_count_(settings.forwarder_count),
      drain_grace_(settings.drain_grace),
      hold_(list_poll_limits(forwarder_count_, drain_grace_).hold),
      max_start_delay_(
          forwarder_count_ < kManyForwarders
              ? 0ms
              : std::min<PollSchedule::Duration>(share_of(drain_grace_, kMaxStartDelayShare),
                    kStartInterval * static_cast<PollSchedule::Duration::rep>(forwarder_count_))),
      random_(settings.seed),
      known_list_(std::move(settings.known_list)),
      on_update_(std::move(on_update)),
      on_confirmed_(std::move(on_confirmed)),
      view_(std::move(settings.zones), std::move(settings.kinds)),
      list_poller_(
          io, list_poll_limits(forwarder_count_, drain_grace_), settings.seed, settings.max_list_bytes,
          [this](std::uint64_t request) { return make_list_request(request); },
          [this](std::uint64_t request, const auto& answer) { return on_list_answer(request, answer); },
          [this](std::uint64_t request, const auto& answer) { on_partial_list(request, answer); }),
      report_poller_(
          io, report_poll_limits(), settings.seed + 1, kMinListBytes,
          [this](std::uint64_t request) { return make_report_request(request); },
          [this](std::uint64_t request, const auto& answer) { return on_report_answer(request, answer); }),
      worker_(io) {}

void DiscoveryClient::apply_known_list() try {
    const Json known = std::exchange(known_list_, nullptr);
    const TargetList list = parse_target_list(known);
    publish(address_ ? view_.apply_known_list(list, Clock::now(), forwarder_count_ >= kManyForwarders)
                     : view_.apply_answer({}, list, Clock::now()));
} catch (const std::exception& fault) {
    log::info("config", "no usable list in the configuration", {{"why", fault.what()}});
}

void DiscoveryClient::start() {
    if (!address_) return;
    list_poller_.set_enabled(true);
    const auto max_delay =
        view_.poll_from_revision() ? max_start_delay_ : 0ms;  // without any list nothing can be delivered
    list_poller_.set_agent(*address_,
        PollSchedule::Duration(
            std::uniform_int_distribution<PollSchedule::Duration::rep>(0, max_delay.count())(random_)));
    report_poller_.set_agent(*address_);
}

void DiscoveryClient::switch_agent(const std::optional<Tcp::endpoint>& address) {
    if (address == address_ || !address || !address_) return;
    finish_batches();
    address_ = address;
    view_.switch_agent();
    list_requests_.clear();
    posted_.clear();
    list_poller_.set_agent(*address_);
    report_poller_.set_agent(*address_);
}

void DiscoveryClient::set_forwarder_count(std::size_t forwarder_count) {
    forwarder_count_ = forwarder_count;
    apply_poll_limits();
}
void DiscoveryClient::set_drain_grace(std::chrono::milliseconds grace) {
    drain_grace_ = grace;
    apply_poll_limits();
}
void DiscoveryClient::apply_poll_limits() {
    const PollSchedule::Limits limits = list_poll_limits(forwarder_count_, drain_grace_);
    hold_ = limits.hold;
    list_poller_.set_limits(limits);
}

Poller::Request DiscoveryClient::make_list_request(std::uint64_t request) {
    const TargetView::ListRequest list_request{view_.agent_epoch(), view_.poll_from_revision(), Clock::now()};
    list_requests_.insert_or_assign(request, ListRequest{list_request, {}});
    if (!list_request.from_revision)
        return {http::verb::get, "/v1/servers", "", std::min(hold_, kFullListWait)};
    const std::string from = std::to_string(*list_request.from_revision),
                      hold = std::to_string(hold_.count());
    return {http::verb::get, "/v1/servers?from=" + from + "&hold_ms=" + hold, "", hold_};
}

Poller::Verdict DiscoveryClient::on_list_answer(
    std::uint64_t request, const AgentConnection::Answer& answer) {
    const ListRequest list_request = list_requests_.extract(request).mapped();
    if (answer.body.size() >= kBackgroundParseBytes && parse_in_background(request, list_request, answer))
        return Poller::Verdict::Pending;
    const ParsedAnswer parsed = parse_answer(answer, list_request.stopping_entries);
    if (apply_answer(list_request.request, parsed)) return Poller::Verdict::Accepted;
    return overloaded(answer) ? Poller::Verdict::Overloaded : Poller::Verdict::Rejected;
}

/// Returns false if the worker has no capacity; the answer is then parsed by the caller.
bool DiscoveryClient::parse_in_background(
    std::uint64_t request, const ListRequest& list_request, const AgentConnection::Answer& answer) {
    const auto job = [answer, stopping_entries = list_request.stopping_entries] {
        ParsedAnswer parsed = parse_answer(answer, stopping_entries);
        if (parsed.list && parsed.list->complete) sort_stops_first(*parsed.list);
        return parsed;
    };
    return worker_.run(
        job, [this, request, list_request = list_request.request](Worker::Came<ParsedAnswer> result) {
            bool accepted = false;
            try {
                ParsedAnswer parsed = result.take();
                if (parsed.list && parsed.list->complete) {
                    finish_batches();
                    const TargetView::Update update =
                        view_.begin_batches(list_request, std::move(*parsed.list), Clock::now());
                    publish(update);
                    longest_batch_ = {};
                    batch_failed_ = false;
                    if (view_.batches_pending()) return apply_next_batch(request);
                    record_result(update.accepted, parsed.error);
                    accepted = update.accepted;
                } else {
                    accepted = apply_answer(list_request, parsed);
                }
            } catch (const std::exception& fault) {
                log::error("discovery", "applying a long list failed", {{"why", fault.what()}});
            }
            list_poller_.finish_processing(request, accepted);
        });
}

/// Applies the next batch of a long list. Other work of the event loop runs between two batches.
void DiscoveryClient::apply_next_batch(std::uint64_t request) {
    const auto started = Clock::now();
    if (view_.batches_pending()) publish_next_batch();
    longest_batch_ = std::max(longest_batch_, Clock::now() - started);
    if (view_.batches_pending())
        return boost::asio::post(io_, [this, request] { apply_next_batch(request); });
    log::info(
        "discovery", "a long list", {{"targets", view_.size()}, {"longest_part_s", seconds(longest_batch_)}});
    record_result(true, "");
    list_poller_.finish_processing(request, !batch_failed_);
}
/// A batch that the core rejects (more targets than it has numbers for) must not end the list or the polling:
/// the other batches are applied, and the list is requested again.
void DiscoveryClient::publish_next_batch() {
    try {
        publish(view_.apply_batch(kBatchEntries));
    } catch (const std::exception& fault) {
        batch_failed_ = true;
        log::error("discovery", "applying a batch of a long list failed", {{"why", fault.what()}});
    }
}
/// Applies the remaining batches at once, because any other input of the view has to come after them.
void DiscoveryClient::finish_batches() {
    while (view_.batches_pending()) publish_next_batch();
}

DiscoveryClient::ParsedAnswer DiscoveryClient::parse_answer(
    const AgentConnection::Answer& answer, StoppingEntriesReader stopping_entries) {
    ParsedAnswer parsed;
    if (answer.status == 200) try {
            parsed.list = parse_target_list(Json::parse(answer.body));
            return parsed;
        } catch (const std::exception& fault) {
            parsed.error = std::string("an unreadable list: ") + fault.what();
        }
    else
        parsed.error = answer.status == 0 ? "no list: " + answer.error
                                          : "no list: status " + std::to_string(answer.status);
    if (answer.status_ok) parsed.stopping_entries = stopping_entries.read(answer.body);
    return parsed;
}

bool DiscoveryClient::apply_answer(const TargetView::ListRequest& list_request, const ParsedAnswer& parsed) {
    finish_batches();
    const auto started = Clock::now();
    const TargetView::Update update =
        parsed.list ? view_.apply_answer(list_request, *parsed.list, started)
                    : view_.apply_partial_answer(list_request, parsed.stopping_entries, started);
    publish(update);
    if (const auto took = Clock::now() - started;
        took > kSlowListThreshold)  // the event loop was blocked for so long
        log::info(
            "discovery", "a long list", {{"targets", update.list.targets.size()}, {"took_s", seconds(took)}});
    record_result(update.accepted, parsed.error);
    return update.accepted;
}

void DiscoveryClient::record_result(bool accepted, const std::string& error) {
    if (!accepted) {
        if (!error.empty()) log_failure(error);
        return;
    }
    if (consecutive_failures_ > 0 && Clock::now() - failing_since_ >= kOutageLogThreshold)
        log::info("discovery", "heard again",
            {{"after_s", seconds(Clock::now() - failing_since_)},
                {"failed_requests", consecutive_failures_}});
    consecutive_failures_ = 0;
}

/// A drain counts from the moment when its bytes were sent to this forwarder, not from the end of the answer.
void DiscoveryClient::on_partial_list(std::uint64_t request, const AgentConnection::Answer& answer) {
    finish_batches();
    if (!answer.status_ok) return;
    ListRequest& list_request = list_requests_.at(request);
    publish(view_.apply_partial_answer(
        list_request.request, list_request.stopping_entries.read(answer.body), Clock::now()));
}

void DiscoveryClient::publish(const TargetView::Update& update) {
    for (const std::string& warning : update.warnings) log::warn("discovery", "list", {{"remark", warning}});
    if (update.changed) on_update_(update);
}

/// Logs the first of consecutive failures, then one every 5 s, since an agent may be down for hours.
void DiscoveryClient::log_failure(const std::string& error) {
    const auto now = Clock::now();
    if (consecutive_failures_++ == 0) failing_since_ = now;
    if (consecutive_failures_ > 1 && now - failure_logged_at_ < kFailureLogInterval) return;
    failure_logged_at_ = now;
    log::warn("discovery", "not heard",
        {{"why", error.substr(0, 160)}, {"in_a_row", consecutive_failures_},
            {"for_s", seconds(now - failing_since_)}});
}

void DiscoveryClient::confirm_without_agent(MessageId id, const FinalStatus& notice) {
    const char* as = notice.refused ? "bounced" : notice.perhaps_delivered ? "delivered" : "dead";
    log::info("core", "ended", {{"message", cometspoke::settings::id_text(id)}, {"as", as}});
    boost::asio::post(io_, [this, id] { on_confirmed_(id); });
}

void DiscoveryClient::report_final_status(MessageId id, const FinalStatus& notice) {
    if (!address_) return confirm_without_agent(id, notice);
    unconfirmed_.insert_or_assign(id, notice);
    report_poller_.set_enabled(true);
}

Poller::Request DiscoveryClient::make_report_request(std::uint64_t request) {
    std::string body;
    std::vector<MessageId>& sent = posted_[request];
    for (const auto& [id, notice] : unconfirmed_) {
        if (sent.size() == kMaxStatusesPerPost) break;
        Json line{
            {"ref", cometspoke::settings::id_text(id)}, {"result", notice.refused ? "bounced" : "dead"}};
        if (notice.refused && notice.retry_after > 0ms) line["wait_ms"] = notice.retry_after.count();
        body += line.dump() + "\n";
        sent.push_back(id);
    }
    return {http::verb::post, "/reports", std::move(body), {}};
}

Poller::Verdict DiscoveryClient::on_report_answer(
    std::uint64_t request, const AgentConnection::Answer& answer) {
    const std::vector<MessageId> sent = posted_.extract(request).mapped();
    if (answer.status != 204) {
        const std::string error =
            answer.status == 0 ? answer.error : "status " + std::to_string(answer.status);
        log::warn("discovery", "notices not taken", {{"why", error.substr(0, 160)}});
        return Poller::Verdict::Rejected;
    }
    for (const MessageId id : sent)
        if (unconfirmed_.erase(id) > 0) on_confirmed_(id);
    report_poller_.set_enabled(!unconfirmed_.empty());
    return Poller::Verdict::Accepted;
}

}  // namespace lockgw
