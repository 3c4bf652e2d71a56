#include "membership/discovery.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "logging/log.hpp"

namespace lockgw {

namespace http = boost::beast::http;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

// Of a watch that has nothing to tell. Short: until it is over, what hangs cannot be told from what waits.
// But each end is a call, and where many watch, these calls add up: the hold grows with their number.
constexpr auto kLeastHold = 1500ms, kMostHold = 10'000ms, kHoldOfEach = 100ms;
// A whole list is not held back, but an agent that many ask at once takes a while over it. What it has to
// tell counts as told 6 s later: there has to be time for several requests that hang one after another.
constexpr AskPlan::Span kWholeListWait = 1000ms;
// Between two calls of all that start or are refused together.
constexpr auto kStartGap = 20ms, kRefusedGap = 20ms;
// What the agent has counts as told, asked for or not, and new sends must stop within the settings' grace
// after a drain is told: whoever starts asks before that, however many start together, and what does not get
// on is overdue well before that. Shares of the grace.
constexpr double kMostStartSpread = 0.6, kMostOverdue = 0.4;
constexpr AskPlan::Span kLeastOverdue = 20ms;  // however short the grace: less would be a storm of calls
// What an agent has to tell counts as told 6 s later, however many calls it has refused meanwhile: there has
// to be time for three of them.
constexpr auto kMostRefused = 1900ms;
// From so many on the list as last had is believed to be the agent's up to its revision: a whole list for
// each of them, all at one instant, is more than an agent can give.
constexpr std::size_t kManyAsk = 16;
constexpr std::size_t kMostNotices = 256;      // in one request
constexpr auto kLogGap = 5s;                   // between lines on failures in a row
constexpr auto kLongList = 20ms;               // to take a list in: it is told
constexpr std::size_t kLongBody = 256 * 1024;  // parsed beside the loop: some 1,500 targets, 5 ms
constexpr std::size_t kPart = 100;             // entries of a long list taken in by one turn: some 1 ms
constexpr auto kWorthTelling = 1s;             // an agent that was not heard for so long is told to be back

AskPlan::Span part_of(AskPlan::Span grace, double share) {
    return std::chrono::duration_cast<AskPlan::Span>(grace * share);
}

AskPlan::Limits watch_limits(std::size_t fleet, AskPlan::Span grace) {
    AskPlan::Limits limits;
    const AskPlan::Span most_overdue = std::max(kLeastOverdue, part_of(grace, kMostOverdue));
    for (auto* overdue : {&limits.connect_overdue, &limits.answer_overdue, &limits.read_overdue})
        *overdue = std::min(*overdue, most_overdue);
    limits.most_pause = std::min(limits.most_pause, most_overdue);
    const auto many = static_cast<AskPlan::Span::rep>(fleet);
    limits.hold = std::clamp<AskPlan::Span>(kHoldOfEach * many, kLeastHold, kMostHold);
    limits.refused_most = kMostRefused;
    if (fleet >= kManyAsk) limits.refused_pause = std::min<AskPlan::Span>(kRefusedGap * many, kMostRefused);
    return limits;
}

// A notice is overdue 300 ms after its message's time: a post that hangs must not use that up.
AskPlan::Limits report_limits() {
    AskPlan::Limits limits;
    limits.connect_overdue = limits.answer_overdue = limits.read_overdue = 70ms;
    limits.connect_most = limits.answer_most = limits.read_most = 400ms;
    return limits;
}

/// The agent is there and says that it cannot serve now: to ask on would keep it so.
bool overloaded(const AgentConnection::Answer& answer) {
    return answer.status == 503 || answer.status == 429;
}

double seconds(Clock::duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

Discovery::Discovery(boost::asio::io_context& io, Settings settings, Told told, Confirmed confirmed)
    : io_(io),
      address_(settings.address),
      fleet_(settings.fleet),
      drain_grace_(settings.drain_grace),
      hold_(watch_limits(fleet_, drain_grace_).hold),
      start_spread_(fleet_ < kManyAsk ? 0ms
                                      : std::min<AskPlan::Span>(part_of(drain_grace_, kMostStartSpread),
                                            kStartGap * static_cast<AskPlan::Span::rep>(fleet_))),
      random_(settings.seed),
      known_(std::move(settings.known)),
      told_(std::move(told)),
      confirmed_(std::move(confirmed)),
      view_(std::move(settings.zones), std::move(settings.kinds)),
      watch_(
          io, watch_limits(fleet_, drain_grace_), settings.seed, settings.most_list_bytes,
          [this](std::uint64_t request) { return ask_list(request); },
          [this](std::uint64_t request, const auto& answer) { return list_over(request, answer); },
          [this](std::uint64_t request, const auto& answer) { list_peek(request, answer); }),
      reports_(
          io, report_limits(), settings.seed + 1, kLeastListBytes,
          [this](std::uint64_t request) { return post_notices(request); },
          [this](std::uint64_t request, const auto& answer) { return post_over(request, answer); }),
      worker_(io) {}

void Discovery::take_known() try {
    const Json known = std::exchange(known_, nullptr);
    const TargetList list = list_of(known);
    tell(address_ ? view_.known(list, Clock::now(), fleet_ >= kManyAsk)
                  : view_.answered({}, list, Clock::now()));
} catch (const std::exception& bad) {
    log::info("config", "no known list", {{"why", bad.what()}});
}

void Discovery::start() {
    if (!address_) return;
    watch_.want(true);
    const auto spread =
        view_.ask_from() ? start_spread_ : 0ms;  // with no list at all there is nothing to serve by
    watch_.move_to(*address_,
        AskPlan::Span(std::uniform_int_distribution<AskPlan::Span::rep>(0, spread.count())(random_)));
    reports_.move_to(*address_);
}

void Discovery::move_to(const std::optional<Tcp::endpoint>& address) {
    if (address == address_ || !address || !address_) return;
    finish_taking();
    address_ = address;
    view_.new_agent();
    asked_.clear();
    posted_.clear();
    watch_.move_to(*address_);
    reports_.move_to(*address_);
}

void Discovery::among(std::size_t fleet) {
    fleet_ = fleet;
    set_limits();
}
void Discovery::drain_grace(std::chrono::milliseconds grace) {
    drain_grace_ = grace;
    set_limits();
}
void Discovery::set_limits() {
    const AskPlan::Limits limits = watch_limits(fleet_, drain_grace_);
    hold_ = limits.hold;
    watch_.limits(limits);
}

Asker::Request Discovery::ask_list(std::uint64_t request) {
    const View::Asked asked{view_.epoch(), view_.ask_from(), Clock::now()};
    asked_.insert_or_assign(request, asked);
    if (!asked.from) return {http::verb::get, "/v1/servers", "", std::min(hold_, kWholeListWait)};
    const std::string from = std::to_string(*asked.from), hold = std::to_string(hold_.count());
    return {http::verb::get, "/v1/servers?from=" + from + "&hold_ms=" + hold, "", hold_};
}

Asker::Verdict Discovery::list_over(std::uint64_t request, const AgentConnection::Answer& answer) {
    const View::Asked asked = asked_.extract(request).mapped();
    if (answer.body.size() >= kLongBody && judge_beside(request, asked, answer)) return Asker::Verdict::Later;
    if (take(asked, parsed(answer))) return Asker::Verdict::Good;
    return overloaded(answer) ? Asker::Verdict::Refused : Asker::Verdict::Failed;
}

/// False where there is no room for it: it is judged at once, then.
bool Discovery::judge_beside(
    std::uint64_t request, const View::Asked& asked, const AgentConnection::Answer& answer) {
    const auto job = [answer] {
        Parsed all = parsed(answer);
        if (all.list && all.list->complete) stops_first(*all.list);
        return all;
    };
    return worker_.run(job, [this, request, asked](Worker::Came<Parsed> came) {
        bool good = false;
        try {
            Parsed all = came.take();
            if (all.list && all.list->complete) {
                finish_taking();
                const View::Update update = view_.begin(asked, std::move(*all.list), Clock::now());
                tell(update);
                longest_part_ = {};
                part_failed_ = false;
                if (view_.taking()) return go_on(request);
                taken(update.taken, all.why);
                good = update.taken;
            } else {
                good = take(asked, all);
            }
        } catch (const std::exception& fault) {
            log::error("discovery", "a long list could not be taken", {{"why", fault.what()}});
        }
        watch_.judged(request, good);
    });
}

/// The next part of a long list. Between two of them the loop does what else there is.
void Discovery::go_on(std::uint64_t request) {
    const auto begun = Clock::now();
    if (view_.taking()) tell_part();
    longest_part_ = std::max(longest_part_, Clock::now() - begun);
    if (view_.taking()) return boost::asio::post(io_, [this, request] { go_on(request); });
    log::info(
        "discovery", "a long list", {{"targets", view_.size()}, {"longest_part_s", seconds(longest_part_)}});
    taken(true, "");
    watch_.judged(request, !part_failed_);
}
/// What the core cannot make use of (more targets than it has numbers for) must not break off the list, or
/// the watch with it: the other parts are taken, and the list is asked for again.
void Discovery::tell_part() {
    try {
        tell(view_.go_on(kPart));
    } catch (const std::exception& fault) {
        part_failed_ = true;
        log::error("discovery", "a part of a long list could not be taken", {{"why", fault.what()}});
    }
}
/// Whatever else the view is told comes behind what it is being told.
void Discovery::finish_taking() {
    while (view_.taking()) tell_part();
}

Discovery::Parsed Discovery::parsed(const AgentConnection::Answer& answer) {
    Parsed parsed;
    if (answer.status == 200) try {
            parsed.list = list_of(Json::parse(answer.body));
            return parsed;
        } catch (const std::exception& bad) {
            parsed.why = std::string("an unreadable list: ") + bad.what();
        }
    else
        parsed.why = answer.status == 0 ? "no list: " + answer.why
                                        : "no list: status " + std::to_string(answer.status);
    if (answer.success) parsed.stops = stops_in(answer.body);
    return parsed;
}

bool Discovery::take(const View::Asked& asked, const Parsed& parsed) {
    finish_taking();
    const auto begun = Clock::now();
    const View::Update update =
        parsed.list ? view_.answered(asked, *parsed.list, begun) : view_.cut_off(asked, parsed.stops, begun);
    tell(update);
    if (const auto took = Clock::now() - begun; took > kLongList)  // nothing else was done meanwhile
        log::info(
            "discovery", "a long list", {{"targets", update.told.targets.size()}, {"took_s", seconds(took)}});
    taken(update.taken, parsed.why);
    return update.taken;
}

void Discovery::taken(bool counts, const std::string& why) {
    if (!counts) {
        if (!why.empty()) log_failure(why);
        return;
    }
    if (failures_ > 0 && Clock::now() - failing_since_ >= kWorthTelling)
        log::info("discovery", "heard again",
            {{"after_s", seconds(Clock::now() - failing_since_)}, {"failed_requests", failures_}});
    failures_ = 0;
}

/// The news of a drain counts from when it was written to us, not from when its answer ends.
void Discovery::list_peek(std::uint64_t request, const AgentConnection::Answer& answer) {
    finish_taking();
    if (answer.success) tell(view_.cut_off(asked_.at(request), stops_in(answer.body), Clock::now()));
}

void Discovery::tell(const View::Update& update) {
    for (const std::string& remark : update.remarks) log::warn("discovery", "list", {{"remark", remark}});
    if (update.heeded) told_(update);
}

/// One line for the first failure in a row, then one now and then: an agent may be down for hours.
void Discovery::log_failure(const std::string& why) {
    const auto now = Clock::now();
    if (failures_++ == 0) failing_since_ = now;
    if (failures_ > 1 && now - logged_ < kLogGap) return;
    logged_ = now;
    log::warn("discovery", "not heard",
        {{"why", why.substr(0, 160)}, {"in_a_row", failures_}, {"for_s", seconds(now - failing_since_)}});
}

void Discovery::nobody_to_tell(MessageId id, const FinalStatus& notice) {
    log::info("core", "ended",
        {{"message", cometspoke::settings::id_text(id)}, {"as", notice.refused ? "bounced" : "dead"}});
    boost::asio::post(io_, [this, id] { confirmed_(id); });
}

void Discovery::report(MessageId id, const FinalStatus& notice) {
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
            {"ref", cometspoke::settings::id_text(id)}, {"result", notice.refused ? "bounced" : "dead"}};
        if (notice.refused && notice.retry_after > 0ms) line["wait_ms"] = notice.retry_after.count();
        body += line.dump() + "\n";
        sent.push_back(id);
    }
    return {http::verb::post, "/reports", std::move(body), {}};
}

Asker::Verdict Discovery::post_over(std::uint64_t request, const AgentConnection::Answer& answer) {
    const std::vector<MessageId> sent = posted_.extract(request).mapped();
    if (answer.status != 204) {
        const std::string what = answer.status == 0 ? answer.why : "status " + std::to_string(answer.status);
        log::warn("discovery", "notices not taken", {{"why", what.substr(0, 160)}});
        return Asker::Verdict::Failed;
    }
    for (const MessageId id : sent)
        if (notices_.erase(id) > 0) confirmed_(id);
    reports_.want(!notices_.empty());
    return Asker::Verdict::Good;
}

}  // namespace lockgw
