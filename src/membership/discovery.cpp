#include "membership/discovery.hpp"

#include <boost/asio/post.hpp>
#include <iostream>
#include <utility>

namespace lockgw {

namespace http = boost::beast::http;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

// Of a watch that has nothing to tell. Short: until it is over, what hangs cannot be told from what waits.
constexpr auto kHold = 1500ms;
constexpr std::size_t kMostNotices = 256;  // in one request
constexpr auto kLogGap = 5s;               // between lines on failures in a row
constexpr auto kLongList = 20ms;           // to take a list in: it is told
constexpr auto kWorthTelling = 1s;         // an agent that was not heard for so long is told to be back

AskPlan::Limits watch_limits() {
    AskPlan::Limits limits;
    limits.hold = kHold;
    return limits;
}

// A notice is overdue 300 ms after its message's time: a post that hangs must not use that up.
AskPlan::Limits report_limits() {
    AskPlan::Limits limits;
    limits.connect_overdue = limits.answer_overdue = limits.read_overdue = 70ms;
    limits.connect_most = limits.answer_most = limits.read_most = 400ms;
    return limits;
}

double seconds(Clock::duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

Discovery::Discovery(boost::asio::io_context& io, Settings settings, Told told, Confirmed confirmed)
    : io_(io),
      address_(settings.address),
      known_(std::move(settings.known)),
      told_(std::move(told)),
      confirmed_(std::move(confirmed)),
      view_(std::move(settings.zones), std::move(settings.kinds)),
      watch_(
          io, watch_limits(), settings.most_list_bytes,
          [this](std::uint64_t request) { return ask_list(request); },
          [this](std::uint64_t request, const auto& answer) { return list_over(request, answer); },
          [this](std::uint64_t request, const auto& answer) { list_peek(request, answer); }),
      reports_(
          io, report_limits(), kLeastListBytes,
          [this](std::uint64_t request) { return post_notices(request); },
          [this](std::uint64_t request, const auto& answer) { return post_over(request, answer); }) {}

void Discovery::take_known() try {
    const Json known = std::exchange(known_, nullptr);
    const TargetList list = list_of(known);
    tell(address_ ? view_.known(list, Clock::now()) : view_.answered({}, list, Clock::now()));
} catch (const std::exception& bad) {
    std::cerr << "config: no known list: " << bad.what() << '\n';
}

void Discovery::start() {
    if (!address_) return;
    watch_.want(true);
    watch_.move_to(*address_);
    reports_.move_to(*address_);
}

void Discovery::move_to(const std::optional<Tcp::endpoint>& address) {
    if (address == address_ || !address || !address_) return;
    address_ = address;
    view_.new_agent();
    asked_.clear();
    posted_.clear();
    watch_.move_to(*address_);
    reports_.move_to(*address_);
}

Asker::Request Discovery::ask_list(std::uint64_t request) {
    const View::Asked asked{view_.epoch(), view_.ask_from(), Clock::now()};
    asked_.insert_or_assign(request, asked);
    std::string path = "/v1/servers";
    if (asked.from)
        path += "?from=" + std::to_string(*asked.from) + "&hold_ms=" + std::to_string(kHold.count());
    return {http::verb::get, path, ""};
}

bool Discovery::list_over(std::uint64_t request, const AgentConnection::Answer& answer) {
    const View::Asked asked = asked_.extract(request).mapped();
    std::string why;
    const auto begun = Clock::now();
    const View::Update update = judged(asked, answer, why);
    tell(update);
    if (const auto took = Clock::now() - begun; took > kLongList)  // nothing else was done meanwhile
        std::cerr << "discovery: a list of " << update.told.targets.size() << " targets, "
                  << answer.body.size() << " bytes, took " << seconds(took) << " s\n";
    if (!update.taken) {
        if (!why.empty()) log_failure(why);
        return false;
    }
    if (failures_ > 0 && Clock::now() - failing_since_ >= kWorthTelling)
        std::cerr << "discovery: heard again after " << seconds(Clock::now() - failing_since_) << " s and "
                  << failures_ << " requests that failed\n";
    failures_ = 0;
    return true;
}

View::Update Discovery::judged(
    const View::Asked& asked, const AgentConnection::Answer& answer, std::string& why) {
    const auto now = Clock::now();
    if (answer.status == 200) try {
            return view_.answered(asked, list_of(Json::parse(answer.body)), now);
        } catch (const std::exception& bad) {
            why = std::string("an unreadable list: ") + bad.what();
        }
    else
        why = answer.status == 0 ? "no list: " + answer.why
                                 : "no list: status " + std::to_string(answer.status);
    if (!answer.success) return {};
    return view_.cut_off(asked, stops_in(answer.body), now);
}

/// The news of a drain counts from when it was written to us, not from when its answer ends.
void Discovery::list_peek(std::uint64_t request, const AgentConnection::Answer& answer) {
    if (answer.success) tell(view_.cut_off(asked_.at(request), stops_in(answer.body), Clock::now()));
}

void Discovery::tell(const View::Update& update) {
    for (const std::string& remark : update.remarks) std::cerr << "discovery: " << remark << '\n';
    if (update.heeded) told_(update);
}

/// One line for the first failure in a row, then one now and then: an agent may be down for hours.
void Discovery::log_failure(const std::string& why) {
    const auto now = Clock::now();
    if (failures_++ == 0) failing_since_ = now;
    if (failures_ > 1 && now - logged_ < kLogGap) return;
    logged_ = now;
    std::cerr << "discovery: " << why.substr(0, 160);
    if (failures_ > 1)
        std::cerr << " (" << failures_ << " in a row, for " << seconds(now - failing_since_) << " s)";
    std::cerr << '\n';
}

void Discovery::nobody_to_tell(MessageId id, const Notice& notice) {
    std::cerr << "lockgw: " << cometspoke::settings::id_text(id) << " ended "
              << (notice.bounced ? "bounced" : "dead") << '\n';
    boost::asio::post(io_, [this, id] { confirmed_(id); });
}

void Discovery::report(MessageId id, const Notice& notice) {
    if (!address_) return nobody_to_tell(id, notice);
    notices_.insert_or_assign(id, notice);
    reports_.want(true);
}

Asker::Request Discovery::post_notices(std::uint64_t request) {
    std::string body;
    std::vector<MessageId>& sent = posted_[request];
    for (const auto& [id, notice] : notices_) {
        if (sent.size() == kMostNotices) break;
        Json line{
            {"ref", cometspoke::settings::id_text(id)}, {"result", notice.bounced ? "bounced" : "dead"}};
        if (notice.bounced && notice.wait > 0ms) line["wait_ms"] = notice.wait.count();
        body += line.dump() + "\n";
        sent.push_back(id);
    }
    return {http::verb::post, "/reports", std::move(body)};
}

bool Discovery::post_over(std::uint64_t request, const AgentConnection::Answer& answer) {
    const std::vector<MessageId> sent = posted_.extract(request).mapped();
    if (answer.status != 204) {
        const std::string what = answer.status == 0 ? answer.why : "status " + std::to_string(answer.status);
        std::cerr << "discovery: notices not taken: " << what.substr(0, 160) << '\n';
        return false;
    }
    for (const MessageId id : sent)
        if (notices_.erase(id) > 0) confirmed_(id);
    reports_.want(!notices_.empty());
    return true;
}

}  // namespace lockgw
