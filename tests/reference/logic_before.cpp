// The decisions of cometspoke, all of them. Types, events and actions: include/cometspoke/sender.hpp.
//
// The ordinary path is mClock's tag scheduler: a destination stands for a virtual machine, the slots for the
// queue depth. R, L, P: tags of a destination's head. All else acts only under the condition that its comment
// names.
#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <stdexcept>
#include <utility>

#include "base/splitmix64.hpp"
#include "cometspoke/sender.hpp"

namespace cometspoke {
namespace {

constexpr Time kNever{4'000'000'000'000'000'000};  // far from overflow when one is taken from another
constexpr Time kLongAgo{-4'000'000'000'000'000'000};

constexpr double kSigma = 1.0;      // idle credit in sends: the design's default
constexpr double kCapShare = 0.75;  // calls to one destination stay under this share of the slots
constexpr double kSickShare = 0.5;  // and at most this while it fails or is slow; also all sick ones together

// Learning l: the own part is between an even part and the whole. Steps are powers of n, the number of
// senders: the more they are, the rarer is each one's news and the further off its right part may be.
constexpr double kFall = -1.0 / 3.0;  // the first refusal: a third off among three senders, 3/4 among sixty
constexpr double kRise = 1.0 / 24.0;  // a success: eight for the first refusal after it
constexpr double kRiseRoom = 0.3;     // more with the told share of the limit that is left
constexpr double kLeastGain = 0.5;    // half an even part is always there while others keep to theirs

constexpr double kToldPart = 0.85, kToldSlope = 0.25, kFreeSlope = 4.0;
constexpr std::size_t kLeastBacklog = 2;
constexpr double kUsualBlend = 0.05;   // the usual time to answer moves slowly, so slowness shows against it
constexpr double kUsualClip = 3.0;     // one long call counts as at most so many usual ones
constexpr double kSilentTimes = 5.0;   // summed waiting without a success, in usual times: exp(-5) by chance
constexpr Time kLeastUsual{50'000};    // floor of the usual time, against a sweep's coarseness
constexpr Time kFirstUsual{500'000};   // before any answer is known
constexpr double kRateBlend = 0.1;     // the own rate of successes: about the last ten
constexpr double kRateClip = 50.0;     // answers that come together are no rate of thousands a second
constexpr double kFailBlend = 0.3;     // two failures in a row from clean make 0.51
constexpr double kNewsAge_s = 4.0;     // outcomes older than this tell little of now: one failure trips
constexpr Time kLongWait{2'500'000};   // no limit makes wait so long: shut, and it opens then
constexpr double kRoomLeft = 0.9;      // refused with so much of the limit left: shut too
constexpr Time kSlowConnect{500'000};  // a connect that fails later found nobody: not an allowance used up
constexpr double kFailTrip = 0.5;      // most calls failing: an outage
constexpr double kSpoiltBlend =
    0.1;                             // a spoilt answer: seven in a row trip, one in ten among good ones never
constexpr double kFragileBar = 0.2;  // above this share of failures fragile messages wait
constexpr Time kFragileTrialPause{250'000}, kFragileOutageTrialPause{4'000'000};  // then one goes as a trial
constexpr int kShutRefusals = 3;        // refusals in a row with no success between: shut, not above a limit
constexpr double kBudgetUse = 0.9;      // part of the fall-back budget used; limits lie below the capacity
constexpr double kLeastCapacity = 2.0;  // calls a second that any destination is taken to stand
constexpr double kMemory_s = 20.0, kLeastKnowing = 0.05;  // own messages a second; share that knows
constexpr double kLeastTrials = 3.0;      // all senders together try so often in a fall-back window, at least
constexpr Time kTrialGap{250'000};        // sends to an endpoint that is sick are at least so far apart,
constexpr Time kLeastGap{10'000};         // and to one that answers again so far at most, and at least so
constexpr double kTimeOutTimes = 8.0;     // time-out in usual times, where a repeat is allowed
constexpr Time kLeastTimeOut{1'000'000};  // or, where it is shorter,
constexpr double kLeastTimes = 12.0;      // so many usual times of all destinations
constexpr double kTrialTimes = 2.5;       // the same for the gap between trials
constexpr Time kLeastPaced{50'000};
constexpr Time kLeastOvertaken{200'000};  // less where later calls to the endpoint were answered first
constexpr double kScarce = 0.75;          // above this share of the slots taken, stuck calls are in the way
constexpr Time kDropTrip{500'000};        // a drop and the repeat after it need this much of a dedup window
constexpr Time kRetryGap{50'000};  // pause of a message after an attempt that failed; doubles with each
constexpr std::uint32_t kPauseDoublings = 4;
constexpr Time kDedupMargin{100'000};   // a resend leaves this much before its window closes
constexpr Time kSweep{100'000};         // silence is looked for this often while calls are out
constexpr double kNewConnection = 0.7;  // choosing: a new connection weighs as so many calls in flight
constexpr double kOtherZone = 0.4;      // and another zone as so many
constexpr Time kRecent{60'000'000};     // after a failed connect: allowances of connections seldom change
constexpr int kReuse = 3;               // an idle connection is kept if reused within this part of its time
constexpr double kRoomKept = 0.1;       // share of most_held kept free for worth
constexpr double kLeastDrain = 0.5;     // messages a second that any destination is expected to take
constexpr Time kLongStall{60'000'000};  // a stall longer than any deadline is as good as this
constexpr Time kQuotaBurst{1'000'000};  // a tenant's quota may come this far at once
constexpr Time kTidyGap{1'000'000};     // what has gone is looked for at most so often
constexpr Time kStateAge{60'000'000};   // what was learned of a destination tells nothing after this
constexpr Time kWatchGap{500'000};      // first pause after a failed list call; doubles
constexpr int kWatchDoublings = 4;

double seconds(Time time) { return static_cast<double>(time.count()) / 1e6; }
Time from_seconds(double value) {
    return Time(static_cast<Time::rep>(std::llround(std::min(value, 1e6) * 1e6)));
}
Time gap_of(double rate) { return rate > 0 ? from_seconds(1.0 / rate) : Time(0); }

enum class Health { Well, Sick, Returning };

// What is shared by all endpoints of a destination, or belongs to one where its routes are apart.
struct Route {
    Time wait_until{kLongAgo};  // told wait
    Time limit_tag{kLongAgo};   // L
    double known = 0.0;         // limit in calls a second from all senders, listed or reported; 0: none known
    double gain = 0.0;          // own part of it, in even parts; 0: no refusal yet, the whole
    int refusals = 0;           // falls since the last success
    double left = -1.0;         // share of the limit that was left when last told; below 0: never told
};

struct Endpoint {
    DestinationId destination = 0;
    std::size_t zone = 0;
    std::size_t kind = 0;
    Condition condition = Condition::Gone;
    Route own;  // used where routes are apart
    int in_flight = 0;
    std::vector<Time> idle;  // when each idle connection closes
    Time used{kLongAgo};     // the last call's sending
    Time heard{kLongAgo};    // the last outcome that counted for health
    bool often = false;      // it came soon after the one before
    Health health = Health::Well;
    bool failure_seen = false;  // since it fell sick
    double failing = 0.0;       // blended share of calls that fail
    int refused_row = 0;
    Time last_good{kLongAgo}, refused_at{kLongAgo}, lost_at{kLongAgo}, unconnected_at{kLongAgo};
    Time fell{kLongAgo};      // when it was last found not well
    double knowing = 1.0;     // share of the senders that know of the outage
    Time returned{0};         // first success after an outage, or its told opening
    Time cold_tag{kLongAgo};  // L while it is not well: the fall-back budget
};

struct Destination {
    Route shared;
    std::set<EndpointId> endpoints;
    std::map<std::uint64_t, MessageId> held;  // by arrival; those with an attempt out stay in place
    double weight = 1.0;                      // w: the listed rate, if there is one
    Time reservation_tag{kLongAgo};           // R
    Time share_tag{kLongAgo};                 // P
    int in_flight = 0;
    double usual = 0.0;  // seconds to answer, blended slowly
    double asked = 0;    // own messages a second, as of the last one
    Time asked_at{kLongAgo};
    double served_rate = 0;  // own successes a second, blended
    Time last_served{kLongAgo};
};

struct Message {
    std::size_t message_class = 0;
    DestinationId destination = 0;
    std::uint64_t arrival = 0;
    std::optional<std::uint64_t> key;
    Time born{0}, deadline{0}, not_before{kLongAgo};
    bool over_share = false;
    std::uint32_t attempts = 0;
    int out = 0;
    std::optional<Time> doubt_since;  // sending of the first attempt that may have run
    std::optional<EndpointId> doubt_at;
};

struct Call {
    EndpointId endpoint = 0;
    Time sent{0};
    std::size_t out = 0;
    bool judged = false;
    bool overtaken = false;  // one sent to its endpoint later was answered
};

struct Attempt {
    std::uint64_t call = 0;  // the call that carries it
    std::optional<std::uint64_t> key;
    bool dropped = false;
};

struct KeyLine {
    std::deque<MessageId> turn;
    int out = 0;  // attempts without an outcome
    Time rest_until{kLongAgo};
    MessageId rest_for = 0;  // the message that the rest does not bind
};

struct Pick {
    DestinationId destination = 0;
    MessageId message = 0;
    EndpointId endpoint = 0;
};

void require(bool good, const char* name) {
    if (!good) throw std::invalid_argument(std::string("cometspoke settings: ") + name);
}

}  // namespace

class Sender::Logic {
public:
    Logic(Settings settings, std::uint64_t seed) : settings_(std::move(settings)), random_(seed), own_(seed) {
        require(settings_.slots > 0, "slots");
        require(settings_.most_held > 0, "most_held");
        require(settings_.max_attempts > 0, "max_attempts");
        require(settings_.n_instances > 0, "n_instances");
        require(!settings_.classes.empty(), "classes");
        require(!settings_.zone || *settings_.zone < settings_.zones, "zone");
        require(settings_.floor_per_s >= 0, "floor_per_s");
        require(settings_.fall_multiple > 0, "fall_multiple");
        require(settings_.cold_from > 0 && settings_.cold_from <= 1, "cold_from");
        for (const auto& [time, name] :
            {std::pair{settings_.conn_idle, "conn_idle"}, {settings_.fall, "fall"},
                {settings_.warm_within, "warm_within"}, {settings_.settle_after_doubt, "settle_after_doubt"}})
            require(time >= Time(0), name);
        for (const ClassSettings& entry : settings_.classes)
            require(entry.aim >= Time(0) && entry.deadline > Time(0) && entry.window >= Time(0), "classes");
        for (const KindSettings& entry : settings_.kinds) require(entry.per_call > 0, "kinds.per_call");
        for (const TenantSettings& entry : settings_.tenants) require(entry.quota_per_s >= 0, "tenants");
        if (settings_.kinds.empty()) settings_.kinds.emplace_back();
        quota_tags_.resize(settings_.tenants.size(), kLongAgo);
        unconnected_.resize(settings_.kinds.size(), kLongAgo);
        if (settings_.must_subscribe) watch_at_ = kLongAgo;
    }

    void take(const ListEvent& event, Time now) {
        for (const ListEntry& entry : event.entries) {
            if (entry.kind >= settings_.kinds.size()) throw std::invalid_argument("kind");
            if (entry.zone >= std::max<std::size_t>(1, settings_.zones)) throw std::invalid_argument("zone");
        }
        if (event.kind == ListKind::Failed) {
            const double spread = std::uniform_real_distribution<double>(0.5, 1.0)(random_);
            watch_at_ = now + from_seconds(seconds(kWatchGap) * (1 << watch_tries_) * spread);
            watch_tries_ = std::min(watch_tries_ + 1, kWatchDoublings);
            return;
        }
        if (event.kind != ListKind::Cached) watch_tries_ = 0;
        if (event.kind != ListKind::Changes)
            for (auto& [id, endpoint] : endpoints_) {
                endpoint.condition = Condition::Gone;
                destinations_.at(endpoint.destination).endpoints.erase(id);
                gone_.insert(id);
            }
        for (const ListEntry& entry : event.entries) list(entry);
    }

    void take(const MessageEvent& event, Time now) {
        if (event.message_class >= settings_.classes.size()) throw std::invalid_argument("message_class");
        if (event.tenant && *event.tenant >= quota_tags_.size()) throw std::invalid_argument("tenant");
        if (messages_.contains(event.message)) return;
        const ClassSettings& kind = settings_.classes[event.message_class];
        Message message;
        message.message_class = event.message_class;
        message.destination = event.destination;
        message.arrival = ++arrivals_;
        message.born = now + event.left - kind.deadline;
        message.deadline = now + event.left;
        message.over_share = event.tenant && over_quota(*event.tenant, now);
        message.attempts = event.attempts;  // a restart changes nothing in what may have run
        if (event.doubt) {
            message.doubt_since = now - event.doubt->age;
            message.doubt_at = event.doubt->endpoint;
        }
        if (kind.sequential && event.key) {
            message.key = event.key;
            keys_[*event.key].turn.push_back(event.message);
        }
        Destination& destination = destinations_[event.destination];
        const double age = seconds(now - std::exchange(destination.asked_at, now));
        destination.asked = (destination.asked * kMemory_s * std::exp(-age / kMemory_s) + 1.0) / kMemory_s;
        destination.held.emplace(message.arrival, event.message);
        messages_.emplace(event.message, message);
        if (active_.emplace(event.destination, &destination).second) activate(destination, now);
    }

    void take(const OutcomeEvent& event, Time now) {
        const auto found = attempts_.find({event.message, event.attempt});
        if (found == attempts_.end()) return;
        const auto [call_id, key, dropped] = found->second;
        attempts_.erase(found);
        if (key) settle_key(*key, event, now);
        Call& call = calls_.at(call_id);
        Endpoint& endpoint = endpoints_.at(call.endpoint);
        Route& route = route_of(endpoint);  // each message of a call may be told its own wait
        if (event.outcome == Outcome::TurnedAway)
            route.wait_until = std::max(route.wait_until, now + event.wait);
        if (!call.judged && event.outcome != Outcome::NotSent) {
            call.judged = true;
            learn(call, event.outcome, event.report, event.rtt, now);
        }
        const Call ended = call;
        if (--call.out == 0) {
            --endpoint.in_flight;
            --destinations_[endpoint.destination].in_flight;
            const bool lives = event.outcome == Outcome::Served || event.outcome == Outcome::ServerError ||
                               event.outcome == Outcome::TurnedAway;
            if (lives) endpoint.idle.push_back(now + settings_.conn_idle), freed_.insert(ended.endpoint);
            calls_.erase(call_id);
        }
        settle(event, ended, now);
    }

    void take(const AbandonedEvent& event, Time now) { forget(event.message, now); }

    // A timer only brings a batch; a stream's outcome still comes; notes and probes are not used.
    template <class Other>
    void take(const Other&, Time) {}

    std::vector<Action> decide(Time now) {
        actions_.clear();
        if (watch_at_ <= now) actions_.emplace_back(Watch{true}), watch_at_ = kNever;
        end_overdue(now);
        watch_silence(now);
        drop_stuck(now);
        keep_room(now);
        while (calls_.size() < settings_.slots) {
            const std::optional<Pick> pick = choose(now);
            if (!pick) break;
            serve(*pick, now);
        }
        close_idle(now);
        set_timer(now);
        if (now >= tidy_at_) tidy(now);
        return std::move(actions_);
    }

private:
    void list(const ListEntry& entry) {
        Endpoint& endpoint = endpoints_[entry.endpoint];
        if (entry.condition == Condition::Gone)
            gone_.insert(entry.endpoint);
        else
            gone_.erase(entry.endpoint);
        if (endpoint.destination != entry.destination)  // moved, or new
            if (const auto before = destinations_.find(endpoint.destination); before != destinations_.end()) {
                before->second.endpoints.erase(entry.endpoint);
                before->second.in_flight -= endpoint.in_flight;  // its calls move with it
                destinations_[entry.destination].in_flight += endpoint.in_flight;
            }
        endpoint.destination = entry.destination;
        endpoint.zone = entry.zone;
        endpoint.kind = entry.kind;
        endpoint.condition = entry.condition;
        Destination& destination = destinations_[entry.destination];
        if (entry.condition == Condition::Gone)
            destination.endpoints.erase(entry.endpoint);
        else
            destination.endpoints.insert(entry.endpoint);
        if (!settings_.listed_rates) return;
        if (entry.rate > 0) destination.weight = entry.rate;
        Route& route = apart(endpoint) ? endpoint.own : destination.shared;
        if (route.known == 0.0) route.known = entry.rate;
    }

    // Targets come and go for as long as a process lives: what nothing names any more is forgotten. An
    // endpoint is named by a list, a call or a doubt; a destination by an endpoint, a message or what is
    // still worth knowing of it.
    void tidy(Time now) {
        tidy_at_ = now + kTidyGap;
        std::set<EndpointId> doubted;
        for (const auto& [id, message] : messages_)
            if (message.doubt_at) doubted.insert(*message.doubt_at);
        std::erase_if(gone_, [&](EndpointId id) {
            if (endpoints_.at(id).in_flight > 0 || doubted.contains(id)) return false;
            endpoints_.erase(id);
            actions_.emplace_back(Forget{id});
            return true;
        });
        std::set<DestinationId> named;
        for (const auto& [id, endpoint] : endpoints_) named.insert(endpoint.destination);
        std::erase_if(destinations_, [&](const auto& entry) {
            const auto& [id, destination] = entry;
            const Time last = std::max({destination.asked_at, destination.last_served,
                destination.shared.wait_until, destination.shared.limit_tag});
            return !named.contains(id) && destination.held.empty() && destination.in_flight == 0 &&
                   last + kStateAge <= now;
        });
    }

    // The tags of the head: R = max(R+1/r, now), L = max(L+1/l, now), P = max(P+1/w, now-sigma/w). They
    // stepped when the last head left; here the arrival time comes in, and P shifts so that all start level.
    void activate(Destination& newcomer, Time now) {
        const double w = slot_weight(newcomer);
        newcomer.reservation_tag = std::max(newcomer.reservation_tag, now);
        newcomer.share_tag = std::max(newcomer.share_tag, now - from_seconds(kSigma / w));
        newcomer.shared.limit_tag = std::max(newcomer.shared.limit_tag, now);
        Time smallest = kNever;
        for (const auto& [id, other] : active_)
            if (other != &newcomer) smallest = std::min(smallest, other->share_tag);
        if (smallest == kNever) return;
        const Time shift = newcomer.share_tag - smallest;
        for (const auto& [id, other] : active_)
            if (other != &newcomer) other->share_tag += shift;
    }

    // First the smallest R tag due; else the smallest P tag among destinations whose L tag is due.
    std::optional<Pick> choose(Time now) {
        reserved_ = settings_.floor_per_s > 0;
        if (reserved_)
            if (const auto pick = smallest(&Destination::reservation_tag, now, now, false)) return pick;
        reserved_ = false;
        return smallest(&Destination::share_tag, kNever, now, true);
    }
    std::optional<Pick> smallest(Time Destination::*tag, Time latest, Time now, bool limited) {
        std::optional<Pick> best;
        Time least = kNever;
        for (const auto& [id, destination] : active_) {
            if (destination->*tag > latest || destination->*tag >= least) continue;
            if (!has_room(*destination)) continue;
            if (const auto pick = head(id, *destination, now, limited))
                best = pick, least = destination->*tag;
        }
        return best;
    }

    // The slot cap. Sick destinations together leave half of the slots to the healthy.
    bool has_room(const Destination& destination) const {
        const double slots = static_cast<double>(settings_.slots);
        if (destination.in_flight > 0 && destination.in_flight + 1 >= kCapShare * slots) return false;
        if (!ailing(destination)) return true;
        // one trial each while slots are left: after a stall of all, stuck calls must not keep them unheard
        if (destination.in_flight == 0 && static_cast<double>(calls_.size()) < kScarce * slots) return true;
        return sick_calls() + 1 <= std::max(1.0, kSickShare * slots);
    }
    int sick_calls() const {
        return static_cast<int>(std::count_if(calls_.begin(), calls_.end(), [this](const auto& entry) {
            return ailing(destinations_.at(endpoints_.at(entry.second.endpoint).destination));
        }));
    }

    void serve(const Pick& pick, Time now) {
        Destination& destination = destinations_[pick.destination];
        Endpoint& endpoint = endpoints_.at(pick.endpoint);
        const std::uint64_t call_id = ++call_count_;
        calls_.emplace(call_id, Call{pick.endpoint, now});
        ++endpoint.in_flight;
        ++destination.in_flight;
        take_connection(endpoint, now);
        endpoint.often = now - std::exchange(endpoint.used, now) < settings_.conn_idle / kReuse;
        send(pick.message, pick.endpoint, call_id, now);
        fill_call(destination, pick.endpoint, call_id, now);
        step_tags(destination, endpoint, now);
    }

    void step_tags(Destination& destination, Endpoint& endpoint, Time now) {
        Route& route = route_of(endpoint);
        route.limit_tag = std::max(route.limit_tag + gap_of(limit(route, destination)), now);
        if (endpoint.health != Health::Well) spend_budget(endpoint, now);
        const double w = slot_weight(destination);
        destination.share_tag = std::max(destination.share_tag + gap_of(w), now - from_seconds(kSigma / w));
        if (settings_.floor_per_s <= 0) return;
        const Time step = gap_of(settings_.floor_per_s);
        destination.reservation_tag = std::max(destination.reservation_tag + step, now);
        if (!reserved_) destination.reservation_tag -= step;  // served by share: 1/r is taken off again
    }

    void send(MessageId id, EndpointId to, std::uint64_t call_id, Time now) {
        Message& message = messages_.at(id);
        attempts_.emplace(std::pair(id, message.attempts), Attempt{call_id, message.key, false});
        ++message.attempts;
        ++message.out;
        ++calls_.at(call_id).out;
        if (message.key) ++keys_[*message.key].out;
        actions_.emplace_back(Send{id, to, time_out(message, now)});
    }

    // Where a call may carry several messages, the next ones in order travel along.
    void fill_call(Destination& destination, EndpointId to, std::uint64_t call_id, Time now) {
        const std::size_t most = settings_.kinds[endpoints_.at(to).kind].per_call;
        if (most < 2 || endpoints_.at(to).health == Health::Sick) return;
        for (const auto& [arrival, id] : destination.held) {
            if (calls_.at(call_id).out >= most) return;
            const Message& message = messages_.at(id);
            if (ready(id, message, now) && may_go(message, to, now)) send(id, to, call_id, now);
        }
    }

    // The first message in arrival order that may be sent, with an endpoint for it. While the backlog is
    // longer than the aim of a held message, the one goes that loses most worth by waiting the backlog out.
    std::optional<Pick> head(DestinationId id, const Destination& destination, Time now, bool limited) {
        const Time backlog = backlog_of(destination);
        std::optional<Pick> best;
        double most = 0.0;
        for (const auto& [arrival, message_id] : destination.held) {
            const Message& message = messages_.at(message_id);
            if (!ready(message_id, message, now)) continue;
            const double loss =
                backlog == Time(0) ? 0.0 : worth_of(message, now) - worth_of(message, now + backlog);
            if (best && loss <= most) continue;
            const auto endpoint = endpoint_for(destination, message, now, limited);
            if (!endpoint) continue;
            best = Pick{id, message_id, *endpoint}, most = loss;
            if (backlog == Time(0)) break;
        }
        return best;
    }
    // How long the held messages take to go out, where that is longer than the aim of one of them; else 0.
    Time backlog_of(const Destination& destination) const {
        if (destination.served_rate <= 0) return Time(0);  // nothing is known yet: the ordinary path
        Time shortest = kNever;
        for (const auto& [arrival, id] : destination.held)
            shortest = std::min(shortest, settings_.classes[messages_.at(id).message_class].aim);
        const double held = static_cast<double>(destination.held.size()) - destination.in_flight;
        const Time backlog = from_seconds(std::max(0.0, held) / drain_rate(destination));
        return backlog > shortest ? backlog : Time(0);
    }

    // Not out, its pause over, its key's turn, and inside its window if it may have run.
    bool ready(MessageId id, const Message& message, Time now) const {
        if (message.out > 0 || message.not_before > now || message.deadline <= now) return false;
        if (message.attempts >= settings_.max_attempts) return false;
        if (message.doubt_since && now > resend_until(message)) return false;
        return !message.key || turn_at(id, *message.key) <= now;
    }

    Time turn_at(MessageId id, std::uint64_t key) const {
        const KeyLine& line = keys_.at(key);
        if (line.out > 0 || line.turn.front() != id) return kNever;
        return line.rest_for == id ? kLongAgo : line.rest_until;
    }

    Time resend_until(const Message& message) const {
        const ClassSettings& kind = settings_.classes[message.message_class];
        if (kind.effect == Effect::Retryable) return kNever;
        if (kind.effect == Effect::Fragile) return kLongAgo;
        return *message.doubt_since + kind.window - kDedupMargin;
    }

    std::optional<EndpointId> endpoint_for(
        const Destination& destination, const Message& message, Time now, bool limited) {
        std::optional<EndpointId> best;
        std::pair<double, std::uint64_t> least;
        for (const EndpointId id : destination.endpoints) {
            Endpoint& endpoint = endpoints_.at(id);
            if (limited && route_of(endpoint).limit_tag > now) continue;
            if (!open(id, now) || !may_go(message, id, now)) continue;
            const std::pair cost(cost_of(endpoint, now), lockgw::splitmix64(own_ ^ lockgw::splitmix64(id)));
            if (!best || cost < least) best = id, least = cost;
        }
        return best;
    }

    // An endpoint with an idle connection first, then the least busy; the own zone before another.
    double cost_of(const Endpoint& endpoint, Time now) const {
        double cost = endpoint.in_flight;
        if (!has_idle(endpoint, now)) cost += kNewConnection;
        if (settings_.zone && endpoint.zone != *settings_.zone) cost += kOtherZone;
        if (endpoint.health != Health::Well) cost += 1.0;
        return cost;
    }

    // Listed as ready, no told wait, and its fall-back budget not spent.
    bool open(EndpointId id, Time now) {
        Endpoint& endpoint = endpoints_.at(id);
        if (endpoint.condition != Condition::Ready || route_of(endpoint).wait_until > now) return false;
        return endpoint.health == Health::Well || endpoint.cold_tag <= now;
    }

    static bool fails_too_often(const Endpoint& endpoint) {
        return endpoint.failing > kFragileBar || endpoint.health == Health::Sick;
    }
    static Time fragile_trial_at(const Endpoint& endpoint) {
        return std::max(endpoint.used, endpoint.heard) +
               (endpoint.health == Health::Sick ? kFragileOutageTrialPause : kFragileTrialPause);
    }

    // Fragile messages keep away from endpoints that fail; dedup resends keep to the scope of the first.
    bool may_go(const Message& message, EndpointId to, Time now) const {
        const ClassSettings& kind = settings_.classes[message.message_class];
        const Endpoint& endpoint = endpoints_.at(to);
        if (kind.effect == Effect::Fragile && fails_too_often(endpoint) &&
            (endpoint.in_flight > 0 || fragile_trial_at(endpoint) > now))
            return false;
        if (kind.effect != Effect::Dedup || !message.doubt_since || kind.dedup_scope == DedupScope::All)
            return true;
        if (kind.dedup_scope == DedupScope::Endpoint) return message.doubt_at == to;
        const auto first = message.doubt_at ? endpoints_.find(*message.doubt_at) : endpoints_.end();
        return first != endpoints_.end() && first->second.zone == endpoint.zone;
    }

    // Calls that can be dropped later, and those that may not be repeated, are waited for to the end.
    Time time_out(const Message& message, Time now) const {
        const bool wait =
            settings_.cancel || settings_.classes[message.message_class].effect == Effect::Fragile;
        const Time left = message.deadline - now;
        return wait ? left : std::min(left, patience(destinations_.at(message.destination)));
    }
    Time patience(const Destination& destination) const {
        return std::max(from_seconds(kTimeOutTimes * usual(destination)), paced(kLeastTimeOut, kLeastTimes));
    }

    Time short_patience(const Destination& destination) const {
        return std::max(from_seconds(kTimeOutTimes * usual(destination)), kLeastOvertaken);
    }

    // A fixed span is meant for answers in a tenth of a second or more; where all answer sooner it shrinks.
    Time paced(Time span, double times) const {
        if (overall_usual_ <= 0) return span;
        return std::min(span, std::max(kLeastPaced, from_seconds(times * overall_usual_)));
    }

    // A long call stays out while nothing better can be done: it may still be answered, and a repeat costs
    // the destination its work again. It is dropped where its endpoint answered calls sent later, or where
    // the sick hold slots that others need; where nearly all slots are taken, also if it may not be repeated.
    void drop_stuck(Time now) {
        if (!settings_.cancel) return;
        const auto slots = static_cast<double>(settings_.slots), out = static_cast<double>(calls_.size());
        const bool jammed = out > kScarce * slots;
        const bool scarce = jammed || sick_calls() + 1 > kSickShare * slots;
        for (auto& [name, attempt] : attempts_) {
            const Call& call = calls_.at(attempt.call);
            const auto found = messages_.find(name.first);
            if (attempt.dropped || found == messages_.end()) continue;
            const Endpoint& endpoint = endpoints_.at(call.endpoint);
            const Destination& destination = destinations_.at(endpoint.destination);
            const bool passed = jammed && call.overtaken;
            const Time longest = passed ? short_patience(destination) : patience(destination);
            if (now - call.sent < longest || !(jammed || may_repeat(found->second, call, now))) continue;
            const bool lost = endpoint.last_good > call.sent + longest;
            const bool silent = endpoint.health != Health::Well;
            if (!passed && !lost && !(silent && scarce)) continue;
            attempt.dropped = true;
            actions_.emplace_back(CancelAttempt{name.first, name.second});
        }
    }
    bool may_repeat(const Message& message, const Call& call, Time now) const {
        const ClassSettings& kind = settings_.classes[message.message_class];
        if (message.attempts >= settings_.max_attempts || kind.effect == Effect::Fragile) return false;
        if (kind.effect == Effect::Retryable) return true;
        return now + kDropTrip < std::min(call.sent, message.doubt_since.value_or(call.sent)) + kind.window;
    }

    // The connection used last is taken first; the freshest closes last.
    static bool has_idle(const Endpoint& endpoint, Time now) {
        return !endpoint.idle.empty() && endpoint.idle.back() > now;
    }
    static void take_connection(Endpoint& endpoint, Time now) {
        if (has_idle(endpoint, now)) return endpoint.idle.pop_back();
        endpoint.idle.clear();
    }
    // Idle connections count against an endpoint's allowance, and those of many senders fill it: they are
    // closed where they would seldom be used or connects were refused. Costs a handshake where traffic is
    // thin.
    void close_idle(Time now) {
        for (const EndpointId id : std::exchange(freed_, {})) {
            Endpoint& endpoint = endpoints_.at(id);
            if (endpoint.idle.empty() || (endpoint.often && now - unconnected_[endpoint.kind] > kRecent))
                continue;
            endpoint.idle.clear();
            actions_.emplace_back(CloseIdle{id});
        }
    }

    bool apart(const Endpoint& endpoint) const { return settings_.kinds[endpoint.kind].routes_apart; }
    Route& route_of(Endpoint& endpoint) {
        return apart(endpoint) ? endpoint.own : destinations_.at(endpoint.destination).shared;
    }

    // l: an even part of the limit times what was learned. Without a known limit it is unbounded (0) until
    // the first refusal, and what the destination is seen to take stands for it.
    double limit(const Route& route, const Destination& destination) const {
        if (route.known > 0 && route.left >= 0) {
            const double learned = route.gain > 0 ? std::max(kToldPart, route.gain) : senders();
            return route.known / senders() * std::min(learned, told_part(route.left, destination));
        }
        if (route.gain == 0.0) return route.known;
        return capacity(route, destination) / senders() * route.gain;
    }
    double told_part(double left, const Destination& destination) const {
        const std::size_t out = static_cast<std::size_t>(destination.in_flight);
        return kToldPart + left * (destination.held.size() >= out + kLeastBacklog ? kToldSlope : kFreeSlope);
    }
    double capacity(const Route& route, const Destination& destination) const {
        if (route.known > 0) return route.known;
        return std::max(kLeastCapacity, destination.served_rate * senders());
    }
    double senders() const { return static_cast<double>(settings_.n_instances); }
    double slot_weight(const Destination& one) const {
        const double quick = overall_usual_ > 0 ? overall_usual_ / usual(one) : 1.0;
        return one.weight * std::clamp(quick * quick, 0.02, 20.0);
    }
    double usual(const Destination& destination) const {
        const double known = destination.usual > 0 ? destination.usual : overall_usual_;
        return std::max(known > 0 ? known : seconds(kFirstUsual), seconds(kLeastUsual));
    }

    void learn(
        const Call& call, Outcome outcome, const std::optional<LoadReport>& report, Time rtt, Time now) {
        const EndpointId id = call.endpoint;
        const Time sent = call.sent;
        Endpoint& endpoint = endpoints_.at(id);
        Route& route = route_of(endpoint);
        if (report && report->limit > 0) route.known = report->limit, route.left = report->left;
        if (outcome == Outcome::CalledOff) return;  // our own doing: it says nothing new of the endpoint
        if (outcome == Outcome::ConnectionLost) endpoint.lost_at = now;
        if (outcome == Outcome::Unreadable || outcome == Outcome::ConnectionLost) return spoil(endpoint, now);
        if (outcome == Outcome::Served) {
            for (auto& [other_id, other] : calls_)
                if (other.endpoint == id && other.sent < sent) other.overtaken = true;
            return succeed(id, report ? report->left : 0.0, rtt, now);
        }
        if (outcome == Outcome::TurnedAway) lower_limit(route, endpoint, now);
        const bool shut = outcome == Outcome::TurnedAway &&
                          (route.wait_until > now + kLongWait || (report && report->left > kRoomLeft));
        const bool no_room = outcome == Outcome::NoConnection && now - sent < kSlowConnect;
        // one may be lost on the way; with none made between them they are turned away for their number
        const bool again = no_room && endpoint.unconnected_at > endpoint.last_good;
        if (again && endpoint.health == Health::Well) unconnected_[endpoint.kind] = now;
        if (no_room) endpoint.unconnected_at = now;
        // calls that broke off, then refused connects: the process died. One of each is the network's noise.
        const bool died = again && endpoint.lost_at > endpoint.last_good;
        if (died) endpoint.failing = 1.0;
        if (!died && ((outcome == Outcome::TurnedAway && !shut) || no_room)) {
            if (report && report->limit > 0) return;  // its limit is used up: no outage
            // refusals of calls sent before the last one was known are the same piece of news
            if (sent <= endpoint.refused_at) return;
            endpoint.refused_at = now;
            if (++endpoint.refused_row < kShutRefusals) return;
        }
        endpoint.failing += news(endpoint, now) * (1.0 - endpoint.failing);
        endpoint.failure_seen = true;
        if (route.wait_until > now + kLongWait)  // a told opening holds for all endpoints that share the wait
            for (const EndpointId other : destinations_.at(endpoint.destination).endpoints)
                if (&route_of(endpoints_.at(other)) == &route) fall_sick(endpoints_.at(other), now);
        if (endpoint.health != Health::Returning && endpoint.failing <= kFailTrip) return;
        if (no_room) unconnected_[endpoint.kind] = kLongAgo;
        fall_sick(endpoint, now);
    }

    // It took the call and answered: no sign of an outage, unless hardly any other answer comes.
    void spoil(Endpoint& endpoint, Time now) {
        endpoint.failing += kSpoiltBlend * (1.0 - endpoint.failing);
        endpoint.heard = now;
        if (endpoint.failing <= kFailTrip || endpoint.health != Health::Well) return;
        endpoint.failure_seen = true;
        fall_sick(endpoint, now);
    }

    // How much the newest outcome weighs in the share of failures: more where the ones before are old.
    double news(Endpoint& endpoint, Time now) {
        const double age = seconds(now - std::exchange(endpoint.heard, now));
        return std::max(kFailBlend, 1.0 - std::exp(-age / kNewsAge_s));
    }

    void lower_limit(Route& route, const Endpoint& endpoint, Time now) {
        const double before = route.gain > 0 ? route.gain : senders();
        route.gain = std::max(kLeastGain, before * std::pow(senders(), kFall * ++route.refusals));
        if (destinations_.at(endpoint.destination).in_flight > 1) return;
        const double spread = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
        const double l = limit(route, destinations_.at(endpoint.destination));
        route.limit_tag = std::max(route.limit_tag, now + from_seconds(spread / l));
    }

    void succeed(EndpointId id, double left, Time rtt, Time now) {
        Endpoint& endpoint = endpoints_.at(id);
        Destination& destination = destinations_.at(endpoint.destination);
        Route& route = route_of(endpoint);
        route.gain = std::min(senders(), route.gain * std::pow(senders(), kRise + left * kRiseRoom));
        route.refusals = 0;
        if (rtt > Time(0)) {
            blend_usual(destination.usual, seconds(rtt));
            blend_usual(overall_usual_, seconds(rtt));
        }
        if (destination.last_served != kLongAgo && now > destination.last_served) {
            const double rate = std::min(kRateClip, 1.0 / seconds(now - destination.last_served));
            const double before = destination.served_rate > 0 ? destination.served_rate : rate;
            destination.served_rate = before + kRateBlend * (rate - before);
        }
        destination.last_served = now;
        endpoint.failing *= 1.0 - news(endpoint, now);
        endpoint.refused_row = 0;
        endpoint.last_good = now;
        recover(endpoint, now);
    }

    void blend_usual(double& usual_time, double sample) {
        if (usual_time <= 0) usual_time = sample;
        usual_time += kUsualBlend * (std::min(sample, kUsualClip * usual_time) - usual_time);
    }

    void fall_sick(Endpoint& endpoint, Time now) {
        if (endpoint.health == Health::Well) endpoint.fell = now;
        endpoint.health = Health::Sick;
        if (const Time opening = route_of(endpoint).wait_until; opening > now + kLongWait) {
            endpoint.health = Health::Returning;
            endpoint.returned = endpoint.cold_tag = opening;
        }
        spend_budget(endpoint, now);
    }

    // Silence alone, ended by a success before any failure was seen, was no outage. After one, slow start.
    void recover(Endpoint& endpoint, Time now) {
        if (endpoint.health == Health::Sick) {
            endpoint.health = endpoint.failure_seen ? Health::Returning : Health::Well;
            endpoint.returned = now;
        }
        if (endpoint.health == Health::Returning && now - endpoint.returned >= settings_.warm_within)
            endpoint.health = Health::Well;
        if (endpoint.health == Health::Well) endpoint.failure_seen = false;
    }

    // The fall-back budget as a limit tag: own part of multiple x present capacity, which rises evenly from
    // cold_from after the return, taken as no earlier than the first success or a told opening; before that a
    // trial may meet it at its coldest. Spread, lest senders that saw the same failure come back together.
    void spend_budget(Endpoint& endpoint, Time now) {
        const Destination& destination = destinations_.at(endpoint.destination);
        double present = capacity(route_of(endpoint), destination);
        if (!apart(endpoint))
            present /= static_cast<double>(std::max<std::size_t>(1, destination.endpoints.size()));
        const Time from = std::max(endpoint.cold_tag, now);
        // only senders that called since it went out know of the outage; once it is back no more learn of it
        if (endpoint.last_good <= endpoint.fell) {
            const Time out = from - (endpoint.last_good + endpoint.fell) / 2;
            endpoint.knowing = std::max(kLeastKnowing, 1.0 - std::exp(-destination.asked * seconds(out)));
        }
        const double rate = kBudgetUse * settings_.fall_multiple * settings_.cold_from * present /
                            (senders() * endpoint.knowing);
        const double longest = seconds(settings_.fall) * senders() / kLeastTrials;
        const double step =
            std::uniform_real_distribution<double>(0.5, 1.5)(random_) * std::min(1.0 / rate, longest);
        // not heard of for a warm-up and a half: it may well be back
        const Time back = endpoint.health == Health::Returning
                              ? endpoint.returned
                              : endpoint.heard + 3 * settings_.warm_within / 2;
        double gap = step;
        if (const double warm = seconds(settings_.warm_within); warm > 0 && settings_.cold_from < 1) {
            const double rise = (1.0 / settings_.cold_from - 1.0) / warm;
            const double flat = std::clamp(seconds(back - from), 0.0, step);
            const double since = std::max(0.0, seconds(from - back));
            const double due = since + rise * since * since / 2.0 + step - flat;
            gap = flat + (std::sqrt(1.0 + 2.0 * rise * due) - 1.0) / rise - since;
        }
        const bool answers = endpoint.health == Health::Returning && endpoint.last_good > endpoint.fell;
        const double know = senders() * endpoint.knowing, all = rate * seconds(settings_.fall) * know;
        const Time ahead = from_seconds(seconds(settings_.fall) * know / (all + 2.0 * std::sqrt(all) + 2.0));
        const Time most = std::max(kTrialGap, ahead);
        endpoint.cold_tag = from + (answers ? std::clamp(from_seconds(gap), kLeastGap, most)
                                            : std::max(paced(kTrialGap, kTrialTimes), from_seconds(gap)));
    }

    // Waiting summed over the calls out since the last success, in usual times.
    void watch_silence(Time now) {
        std::map<EndpointId, double> waiting;
        for (const auto& [id, call] : calls_) {
            const Endpoint& endpoint = endpoints_.at(call.endpoint);
            if (call.overtaken) continue;  // it hangs alone
            waiting[call.endpoint] += seconds(now - std::max(call.sent, endpoint.last_good)) /
                                      usual(destinations_.at(endpoint.destination));
        }
        for (const auto& [id, sum] : waiting) {
            Endpoint& endpoint = endpoints_.at(id);
            if (sum > kSilentTimes && endpoint.health == Health::Well) fall_sick(endpoint, now);
        }
    }

    // Failing or slow: an endpoint is not well (silent, failing, or warming up).
    bool ailing(const Destination& destination) const {
        return std::any_of(destination.endpoints.begin(), destination.endpoints.end(),
            [this](EndpointId id) { return endpoints_.at(id).health != Health::Well; });
    }

    void settle(const OutcomeEvent& event, const Call& call, Time now) {
        const bool never_ran = event.outcome == Outcome::TurnedAway ||
                               event.outcome == Outcome::NoConnection || event.outcome == Outcome::NotSent;
        const auto found = messages_.find(event.message);
        if (found == messages_.end()) return;
        Message& message = found->second;
        --message.out;
        if (event.terminal || event.outcome == Outcome::Served) return forget(event.message, now);
        message.not_before = now + pause_after(message, now);
        if (never_ran) return;
        if (!message.doubt_since || call.sent < *message.doubt_since) {
            message.doubt_since = call.sent;
            message.doubt_at = call.endpoint;
        }
    }

    // Doubling; from half of the allowed attempts on, those left are spread over the time left: otherwise
    // they are used up in the middle of a long outage.
    Time pause_after(const Message& message, Time now) const {
        const Time doubled =
            kRetryGap * (1 << std::min<std::uint32_t>(message.attempts - 1, kPauseDoublings));
        if (message.attempts * 2 < settings_.max_attempts || message.attempts >= settings_.max_attempts)
            return doubled;
        const auto left = static_cast<Time::rep>(settings_.max_attempts - message.attempts);
        return std::max(doubled, (message.deadline - now) / (left + 1));
    }

    void settle_key(std::uint64_t key, const OutcomeEvent& event, Time now) {
        KeyLine& line = keys_.at(key);
        --line.out;
        if (event.outcome == Outcome::NoAnswer || event.outcome == Outcome::ConnectionLost ||
            event.outcome == Outcome::CalledOff) {
            line.rest_until = std::max(line.rest_until, now + settings_.settle_after_doubt);
            line.rest_for = event.message;
        }
        drop_line(key, now);
    }
    void drop_line(std::uint64_t key, Time now) {
        const KeyLine& line = keys_.at(key);
        if (line.turn.empty() && line.out == 0 && line.rest_until <= now) keys_.erase(key);
    }

    // A message is over when its time is, or when no further attempt is allowed.
    void end_overdue(Time now) {
        std::vector<MessageId> over;
        for (const auto& [id, message] : messages_)
            if (ends_at(message) <= now) over.push_back(id);
        for (const MessageId id : over) end(id, now);
    }
    Time ends_at(const Message& message) const {
        if (message.out > 0) return message.deadline;
        if (message.attempts >= settings_.max_attempts) return kLongAgo;
        if (message.doubt_since) return std::min(message.deadline, resend_until(message));
        return message.deadline;
    }

    bool may_refuse(const Message& message) const {
        if (settings_.classes[message.message_class].effect == Effect::Retryable) return true;
        return message.out == 0 && !message.doubt_since;
    }
    void end(MessageId id, Time now) {
        // at its deadline a client has no time to come again: a refusal would promise what helps nobody
        if (messages_.at(id).deadline > now && may_refuse(messages_.at(id)))
            actions_.emplace_back(Refuse{id, come_back_in(messages_.at(id), now)});
        else
            actions_.emplace_back(Fail{id});
        forget(id, now);
    }
    // When a client should come again: once the outage or the backlog is likely to be over, and while there
    // is still time to deliver.
    Time come_back_in(const Message& message, Time now) const {
        const Destination& destination = destinations_.at(message.destination);
        const double backlog = static_cast<double>(destination.held.size()) / drain_rate(destination);
        const Time over = std::max(stalled(destination, now), from_seconds(backlog));
        return std::min(over, (message.deadline - now) / 2);
    }
    void forget(MessageId id, Time now) {
        const auto found = messages_.find(id);
        if (found == messages_.end()) return;
        Destination& destination = destinations_[found->second.destination];
        destination.held.erase(found->second.arrival);
        if (destination.held.empty()) active_.erase(found->second.destination);
        if (const auto key = found->second.key) {
            std::erase(keys_.at(*key).turn, id);
            drop_line(*key, now);
        }
        messages_.erase(found);
    }

    // A tenant's own part of its quota, as a tag that may run ahead by kQuotaBurst.
    bool over_quota(std::size_t index, Time now) {
        const Time gap = gap_of(settings_.tenants[index].quota_per_s / senders());
        const Time next = std::max(quota_tags_[index], now) + gap;
        if (next > now + std::max(gap, kQuotaBurst)) return true;
        quota_tags_[index] = next;
        return false;
    }

    // Nearly full: of those that may be refused, the one that will be worth least when its turn comes goes. A
    // destination that is down thus cannot fill the room of the others; its clients come again meanwhile.
    void keep_room(Time now) {
        const auto most =
            static_cast<std::size_t>(static_cast<double>(settings_.most_held) * (1.0 - kRoomKept));
        while (messages_.size() > std::max<std::size_t>(1, most)) {
            std::optional<MessageId> least;
            double least_worth = 0.0;
            for (const auto& [destination_id, destination] : active_) {
                Time turn = now + stalled(*destination, now);
                for (const auto& [arrival, id] : destination->held) {
                    turn += gap_of(drain_rate(*destination));
                    const Message& message = messages_.at(id);
                    if (message.out > 0 || message.doubt_since) continue;
                    const double worth = worth_of(message, turn);
                    if (!least || worth < least_worth) least = id, least_worth = worth;
                }
            }
            if (!least) return;
            end(*least, now);
        }
    }
    // While it ails, a destination is expected to stay so for as long again as it has been without a success.
    Time stalled(const Destination& destination, Time now) const {
        if (!ailing(destination)) return Time(0);
        return std::min(kLongStall, now - destination.last_served);
    }
    double drain_rate(const Destination& destination) const {
        return std::max(kLeastDrain, destination.served_rate);
    }
    double worth_of(const Message& message, Time served) const {
        const ClassSettings& kind = settings_.classes[message.message_class];
        const double worth = kind.worth * (message.over_share ? settings_.over_share_worth : 1.0);
        if (served >= message.deadline) return 0.0;
        const Time late = served - message.born - kind.aim;
        if (late <= Time(0)) return worth;
        const double aims_late = seconds(late) / std::max(seconds(Time(1000)), seconds(kind.aim));
        if (settings_.loses_worth == LateWorth::Halving)
            return worth * std::max(kind.late_worth, std::exp2(-aims_late));
        return worth * (1.0 - (1.0 - kind.late_worth) * seconds(late) / seconds(kind.deadline - kind.aim));
    }

    void set_timer(Time now) {
        Time next = watch_at_;
        if (!calls_.empty()) next = std::min(next, now + paced(kSweep, 1.0));
        for (const auto& [id, message] : messages_) {
            next = std::min(next, ends_at(message));
            if (message.out == 0 && message.not_before > now) next = std::min(next, message.not_before);
            if (message.out == 0 && message.key && turn_at(id, *message.key) > now)
                next = std::min(next, turn_at(id, *message.key));
        }
        if (calls_.size() < settings_.slots)
            for (const auto& [id, destination] : active_) next = std::min(next, next_due(*destination, now));
        if (next == kNever) return;
        next = std::max(next, now + Time(1000));
        if (timer_at_ > now && timer_at_ <= next) return;
        timer_at_ = next;
        actions_.emplace_back(SetTimer{next - now});
    }
    // The earliest moment after now at which a tag, wait or budget of the destination falls due.
    Time next_due(const Destination& destination, Time now) {
        Time next = kNever;
        if (settings_.floor_per_s > 0 && destination.reservation_tag > now)
            next = destination.reservation_tag;
        const bool fragile =
            std::any_of(destination.held.begin(), destination.held.end(), [this](const auto& held) {
                return settings_.classes[messages_.at(held.second).message_class].effect == Effect::Fragile;
            });
        for (const EndpointId id : destination.endpoints) {
            Endpoint& endpoint = endpoints_.at(id);
            const Route& route = route_of(endpoint);
            for (const Time due :
                {route.limit_tag, route.wait_until, endpoint.health != Health::Well ? endpoint.cold_tag : now,
                    fragile && fails_too_often(endpoint) ? fragile_trial_at(endpoint) : now})
                if (due > now) next = std::min(next, due);
        }
        return next;
    }

    Settings settings_;
    std::mt19937_64 random_;
    std::uint64_t own_;
    std::map<DestinationId, Destination> destinations_;
    std::map<DestinationId, Destination*> active_;  // those that hold messages
    std::map<EndpointId, Endpoint> endpoints_;
    std::map<MessageId, Message> messages_;
    std::map<std::uint64_t, KeyLine> keys_;
    std::map<std::pair<MessageId, std::uint32_t>, Attempt> attempts_;
    std::map<std::uint64_t, Call> calls_;
    std::vector<Time> quota_tags_;   // by tenant
    std::vector<Time> unconnected_;  // by kind, the last connect that was refused
    std::set<EndpointId> freed_;     // calls ended there in this batch
    std::set<EndpointId> gone_;      // no longer listed, and not forgotten yet
    std::vector<Action> actions_;
    std::uint64_t arrivals_ = 0, call_count_ = 0;
    double overall_usual_ = 0.0;
    bool reserved_ = false;
    Time watch_at_ = kNever;
    int watch_tries_ = 0;
    Time timer_at_{kLongAgo};
    Time tidy_at_{kLongAgo};
};

Sender::Sender(Settings settings, std::uint64_t seed)
    : logic_(std::make_unique<Logic>(std::move(settings), seed)) {}
Sender::~Sender() = default;
Sender::Sender(Sender&&) noexcept = default;
Sender& Sender::operator=(Sender&&) noexcept = default;

void Sender::observe(const Event& event, Time now) {
    std::visit([&](const auto& one) { logic_->take(one, now); }, event);
}
std::vector<Action> Sender::decide(Time now) { return logic_->decide(now); }

}  // namespace cometspoke
