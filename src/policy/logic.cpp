// The decisions of cometspoke, all of them. Types, events and actions: include/cometspoke/sender.hpp.
//
// The ordinary path is mClock's tag scheduler: a destination stands for a virtual machine, the slots for the
// queue depth. R, L, P: tags of a destination's head. All else acts only under the condition that its comment
// names. Each layer stands on the one before: state, tags, health, messages, room, turns, events (here).
#include <stdexcept>

#include "base/checked_settings.hpp"
#include "policy/scheduler.hpp"

namespace cometspoke {

using namespace policy;

class Sender::Logic : public Scheduler {
public:
    using Scheduler::Scheduler;

    void take(const ListEvent& event, Time now) {
        for (const ListEntry& entry : event.entries) {
            if (entry.kind >= settings_.kinds.size()) throw std::invalid_argument("kind");
            if (entry.zone >= std::max<std::size_t>(1, settings_.zones)) throw std::invalid_argument("zone");
        }
        if (event.kind == ListKind::Failed) {
            const double spread = std::uniform_real_distribution<double>(0.5, 1.0)(random_);
            next_watch_at_ = now + from_seconds(seconds(kWatchGap) * (1 << watch_failures_) * spread);
            watch_failures_ = std::min(watch_failures_ + 1, kWatchDoublings);
            return;
        }
        if (event.kind != ListKind::Cached) watch_failures_ = 0;
        if (event.kind != ListKind::Changes)
            for (auto& [id, endpoint] : endpoints_) {
                endpoint.condition = Condition::Gone;
                endpoint.destination_record->endpoints.erase(id), unlisted_endpoints_.insert(id);
                reschedule(endpoint.destination, now);
            }
        for (const ListEntry& entry : event.entries) list(entry, now);
    }
    void take(const MessageEvent& event, Time now) {
        if (event.message_class >= settings_.classes.size()) throw std::invalid_argument("message_class");
        if (event.tenant && *event.tenant >= quota_tags_.size()) throw std::invalid_argument("tenant");
        if (event.route > route_endpoints_.size()) throw std::invalid_argument("route");
        if (messages_.contains(event.message)) return;
        const ClassSettings& kind = settings_.classes[event.message_class];
        Message message;
        message.message_class = event.message_class, message.destination = event.destination;
        message.arrival = ++arrival_count_;
        message.created_at = now + event.left - kind.deadline;
        message.deadline = now + event.left;
        message.over_quota = event.tenant && over_quota(*event.tenant, now);
        message.route = event.route;
        message.attempts = event.attempts;  // a restart changes nothing in what may have run
        if (event.doubt) {
            message.doubt_since = now - event.doubt->age;
            set_doubt(message, event.doubt->endpoint);
        }
        if (kind.sequential && event.key) {
            message.key = event.key;
            key_queues_[*event.key].waiting.push_back(event.message);
        }
        Destination& destination = destinations_[event.destination];
        if (destination.endpoint_count == 0) unlisted_destinations_.insert(event.destination);
        const double age = seconds(now - std::exchange(destination.last_message_at, now));
        destination.message_rate =
            (destination.message_rate * kArrivalRateMemory_s * std::exp(-age / kArrivalRateMemory_s) + 1.0) /
            kArrivalRateMemory_s;
        hold(event.destination, destination, event.message, message);
        messages_.emplace(event.message, message);
        if (active_destinations_.emplace(event.destination, &destination).second)
            activate(event.destination, destination, now);
        changed(event.message, now);
        if (message.key) line_changed(*message.key, now);
    }
    void take(const OutcomeEvent& event, Time now) {
        const auto found = attempts_.find({event.message, event.attempt});
        if (found == attempts_.end()) return;
        const auto [call_id, key, dropped] = found->second;
        attempts_.erase(found);
        if (key) settle_key(*key, event, now);
        Call& call = calls_.at(call_id);
        Endpoint& endpoint = *call.endpoint_record;
        Route& route = route_of(endpoint);  // each message of a call may be told its own wait
        if (event.outcome == Outcome::TurnedAway)
            route.wait_until = std::max(route.wait_until, now + event.wait);
        if (!call.health_counted && event.outcome != Outcome::NotSent) {
            call.health_counted = true;
            learn(call, event.outcome, event.report, event.rtt, now);
        }
        const Call ended = call;
        if (--call.open_attempts == 0) {
            --endpoint.in_flight, --endpoint.destination_record->in_flight;
            const bool lives = event.outcome == Outcome::Served || event.outcome == Outcome::ServerError ||
                               event.outcome == Outcome::TurnedAway;
            if (lives)
                endpoint.idle_expiries.push_back(now + settings_.conn_idle),
                    freed_endpoints_.insert(ended.endpoint);
            calls_.erase(call_id);
        }
        settle(event, ended, now);
        reschedule(endpoint.destination, now);
    }
    void take(const AbandonedEvent& event, Time now) { forget(event.message, now); }
    void take(const RoutesEvent& event, Time now) {
        route_endpoints_.clear();
        for (const auto& only : event.only) route_endpoints_.emplace_back(only.begin(), only.end());
        for (const auto& [id, destination] : active_destinations_) reschedule(id, now);
    }
    void take(const RerouteEvent& event, Time now) {
        if (event.route > route_endpoints_.size()) throw std::invalid_argument("route");
        if (const auto found = messages_.find(event.message); found != messages_.end())
            found->second.route = event.route, changed(event.message, now);
    }
    void take(const SpreadEvent& event, Time now) {
        const auto found = destinations_.find(event.destination);
        if (found == destinations_.end()) return;
        found->second.subsetted = !event.parts.empty();
        for (const EndpointId id : found->second.endpoints) endpoints_.at(id).weight = 0.0;
        for (const auto& part : event.parts)
            if (found->second.endpoints.contains(part.endpoint)) {
                Endpoint& endpoint = endpoints_.at(part.endpoint);
                endpoint.weight = part.weight, endpoint.own_route.sharers = part.sharers;
            }
        reschedule(event.destination, now);
    }
    void take(const LearnedEvent& event, Time now) { merge_learned(*this, event, now); }
    void take(const SettingsEvent& event, Time) {
        settings_ = checked(event.settings);
        quota_tags_.resize(settings_.tenants.size(), kLongAgo);
        connect_refused_at_.resize(settings_.kinds.size(), kLongAgo);
    }
    void take(const PeerNote& note, Time now) {
        if (!tells()) return;
        if (const auto reports = lockgw::rate_limits::decode(note.bytes, now))
            for (const auto& report : *reports) hear(report, now);
    }
    // A timer only brings a batch; a stream's outcome still comes; probes are not used.
    template <class Other>
    void take(const Other&, Time) {}
    std::vector<Action> decide(Time now) {
        actions_.clear();
        if (next_watch_at_ <= now) actions_.emplace_back(Watch{true}), next_watch_at_ = kNever;
        free_due(now);
        end_overdue(now);
        watch_silence(now);
        unhealthy_calls_ = sick_calls();
        drop_stuck(now);
        keep_room(now);
        while (calls_.size() < settings_.slots && !settings_.paused) {
            const std::optional<Pick> pick = choose(now);
            if (!pick) break;
            serve(*pick, now);
        }
        close_idle(now);
        for (auto& note : lockgw::rate_limits::messages_due(reported_limits_, now, settings_.n_instances,
                 settings_.own_number, random_, next_gossip_at_))
            actions_.emplace_back(std::move(note));
        set_timer(now);
        if (now >= next_cleanup_at_) tidy(now);
        return std::move(actions_);
    }

private:
    void list(const ListEntry& entry, Time now) {
        Endpoint& endpoint = endpoints_[entry.endpoint];
        name(endpoint, entry.destination);
        const bool gone = entry.condition == Condition::Gone;
        gone ? void(unlisted_endpoints_.insert(entry.endpoint))
             : void(unlisted_endpoints_.erase(entry.endpoint));
        if (endpoint.destination != entry.destination)  // moved with the calls that are out there, or new
            if (const auto old = destinations_.find(endpoint.destination); old != destinations_.end()) {
                old->second.endpoints.erase(entry.endpoint), old->second.in_flight -= endpoint.in_flight;
                reschedule(old->first, now);
                destinations_[entry.destination].in_flight += endpoint.in_flight;
            }
        endpoint.destination = entry.destination;
        Destination& destination = *(endpoint.destination_record = &destinations_[entry.destination]);
        endpoint.zone = entry.zone, endpoint.kind = entry.kind, endpoint.condition = entry.condition;
        endpoint.known_as = entry.known_as;
        gone ? void(destination.endpoints.erase(entry.endpoint))
             : void(destination.endpoints.insert(entry.endpoint));
        if (has_own_route(endpoint) && entry.known_as != 0)
            endpoint_by_limit_key_[limit_key(endpoint)] = entry.endpoint;
        if (settings_.listed_rates) {
            if (entry.rate > 0) destination.weight = entry.rate;
            Route& route = has_own_route(endpoint) ? endpoint.own_route : destination.shared_route;
            if (route.known_limit == 0.0) route.known_limit = entry.rate;
        }
        if (entry.cold) {  // all senders know that it was out
            endpoint.health = Health::Unhealthy, endpoint.failure_seen = true, endpoint.aware_share = 1.0;
            endpoint.unhealthy_since = kLongAgo, fall_sick(endpoint, now);
        }
        reschedule(entry.destination, now);
    }
    void name(Endpoint& endpoint, std::optional<DestinationId> to) {
        if (endpoint.is_counted && to == endpoint.destination) return;
        if (endpoint.is_counted && --endpoint.destination_record->endpoint_count == 0)
            unlisted_destinations_.insert(endpoint.destination);
        endpoint.is_counted = to.has_value();
        if (to && destinations_[*to].endpoint_count++ == 0) unlisted_destinations_.erase(*to);
    }
    // What no list, call, doubt or message names any more is forgotten, if nothing of it is worth knowing.
    void tidy(Time now) {
        next_cleanup_at_ = now + kTidyGap;
        std::erase_if(unlisted_endpoints_, [&](EndpointId id) {
            if (endpoints_.at(id).in_flight > 0 || doubtful_counts_.contains(id)) return false;
            name(endpoints_.at(id), std::nullopt);
            if (const auto as = limit_key(endpoints_.at(id)); endpoint_by_limit_key_.erase(as) > 0)
                reported_limits_.forget(as);
            endpoints_.erase(id);
            actions_.emplace_back(Forget{id});
            return true;
        });
        std::erase_if(unlisted_destinations_, [&](DestinationId id) {
            const Destination& destination = destinations_.at(id);
            const Time last = std::max({destination.last_message_at, destination.last_served,
                destination.shared_route.wait_until, destination.shared_route.limit_tag});
            if (!destination.held.empty() || destination.in_flight != 0 || last + kStateAge > now)
                return false;
            destinations_.erase(id), reported_limits_.forget(id);
            return true;
        });
    }
    // What was waited for has come: pauses, rests of keys, tags, waits and budgets that fall due by now.
    void free_due(Time now) {
        for (const MessageId id : backoff_queue_.take_due(now)) changed(id, now);
        for (const std::uint64_t key : key_pause_queue_.take_due(now)) line_changed(key, now);
        for (const std::uint64_t key : key_cleanup_queue_.take_due(now))
            if (key_queues_.contains(key)) drop_line(key, now);
        for (const DestinationId id : destination_due_queue_.take_due(now)) reschedule(id, now);
    }
    void set_timer(Time now) {
        Time next = next_watch_at_;
        if (reported_limits_.has_unsent()) next = std::min(next, next_gossip_at_);
        if (!calls_.empty()) next = std::min(next, now + paced(kSweep, 1.0));
        for (const auto& due : {expiry_queue_.next(), backoff_queue_.next(), key_pause_queue_.next()})
            if (due) next = std::min(next, *due);
        if (const auto due = destination_due_queue_.next(); due && calls_.size() < settings_.slots)
            next = std::min(next, *due);
        if (next == kNever) return;
        next = std::max(next, now + Time(1000));
        if (timer_at_ > now && timer_at_ <= next) return;
        timer_at_ = next;
        actions_.emplace_back(SetTimer{next - now});
    }
};

Sender::Sender(Settings settings, std::uint64_t seed)
    : logic_(std::make_unique<Logic>(checked(std::move(settings)), seed)) {}
Sender::~Sender() = default;
Sender::Sender(Sender&&) noexcept = default;
Sender& Sender::operator=(Sender&&) noexcept = default;

void Sender::observe(const Event& event, Time now) {
    std::visit([&](const auto& one) { logic_->take(one, now); }, event);
}
std::vector<Action> Sender::decide(Time now) { return logic_->decide(now); }
Time Sender::wait_until(EndpointId endpoint) const {
    const auto found = logic_->endpoints_.find(endpoint);
    return found == logic_->endpoints_.end() ? kLongAgo : logic_->route_of(found->second).wait_until;
}
policy::State& Sender::state() { return *logic_; }

}  // namespace cometspoke
