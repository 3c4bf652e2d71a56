// The decision module: handles events and decides on actions. Their types are in
// include/cometspoke/sender.hpp.
//
// In normal operation it is an mClock scheduler (Gulati et al., OSDI 2010): a destination takes the place of
// a virtual machine, and the slots that of the queue depth. R, L and P are the tags of the message at a
// destination's head (mclock_tags.hpp). Everything else acts only under the condition that its comment
// states.
//
// The classes form layers, each derived from the one before:
//   State             state.hpp              constants and state
//   MclockTags        mclock_tags.hpp        tags and order of destinations
//   EndpointHealth    endpoint_health.hpp    health, learned limits, recovery budget
//   MessageLifecycle  message_lifecycle.hpp  states of a message, retries, ordering keys
//   LoadShedding      load_shedding.hpp      quotas, messages ended early
//   Scheduler         scheduler.hpp          next message and endpoint, cancelled calls
//   Sender::Logic     logic.cpp              events, and the order of steps in a decision (decide())
#include <stdexcept>

#include "base/checked_settings.hpp"
#include "policy/scheduler.hpp"

namespace cometspoke {

using namespace policy;

class Sender::Logic : public Scheduler {
public:
    using Scheduler::Scheduler;

    void handle(const ListEvent& event, Time now) {
        for (const ListEntry& entry : event.entries) {
            if (entry.kind >= settings_.kinds.size()) throw std::invalid_argument("kind");
            if (entry.zone >= std::max<std::size_t>(1, settings_.zones)) throw std::invalid_argument("zone");
        }
        if (event.kind == ListKind::Failed) {
            const double jitter = std::uniform_real_distribution<double>(0.5, 1.0)(random_);
            next_watch_at_ =
                now + from_seconds(seconds(kFirstWatchBackoff) * (1 << watch_failures_) * jitter);
            watch_failures_ = std::min(watch_failures_ + 1, kMaxWatchBackoffDoublings);
            return;
        }
        if (event.kind != ListKind::Cached) watch_failures_ = 0;
        if (event.kind != ListKind::Changes)
            for (auto& [id, endpoint] : endpoints_) {
                endpoint.condition = Condition::Gone;
                endpoint.destination_record->endpoints.erase(id), unlisted_endpoints_.insert(id);
                reschedule(endpoint.destination, now);
            }
        for (const ListEntry& entry : event.entries) apply_entry(entry, now);
    }
    void handle(const MessageEvent& event, Time now) {
        if (event.message_class >= settings_.classes.size()) throw std::invalid_argument("message_class");
        if (event.tenant && *event.tenant >= quota_tags_.size()) throw std::invalid_argument("tenant");
        if (event.route > route_endpoints_.size()) throw std::invalid_argument("route");
        if (messages_.contains(event.message)) return;
        const ClassSettings& message_class = settings_.classes[event.message_class];
        Message message;
        message.message_class = event.message_class, message.destination = event.destination;
        message.arrival = ++arrival_count_;
        message.created_at = now + event.left - message_class.deadline;
        message.deadline = now + event.left;
        message.over_quota = event.tenant && over_quota(*event.tenant, now);
        message.route = event.route;
        message.attempts = event.attempts;  // those before a restart count too
        if (event.doubt) {
            message.doubt_since = now - event.doubt->age;
            set_doubtful_endpoint(message, event.doubt->endpoint);
        }
        if (message_class.sequential && event.key) {
            message.key = event.key;
            key_queues_[*event.key].waiting.push_back(event.message);
        }
        Destination& destination = destinations_[event.destination];
        if (destination.endpoint_count == 0) unlisted_destinations_.insert(event.destination);
        const double age = seconds(now - std::exchange(destination.last_message_at, now));
        destination.message_rate =
            (destination.message_rate * kArrivalRateMemory_s * std::exp(-age / kArrivalRateMemory_s) + 1.0) /
            kArrivalRateMemory_s;
        add_held(event.destination, destination, event.message, message);
        messages_.emplace(event.message, message);
        if (active_destinations_.emplace(event.destination, &destination).second)
            activate(event.destination, destination, now);
        message_changed(event.message, now);
        if (message.key) key_queue_changed(*message.key, now);
    }
    void handle(const OutcomeEvent& event, Time now) {
        const auto found = attempts_.find({event.message, event.attempt});
        if (found == attempts_.end()) return;
        const auto [call_id, key, cancelled] = found->second;
        attempts_.erase(found);
        if (key) apply_key_outcome(*key, event, now);
        Call& call = calls_.at(call_id);
        Endpoint& endpoint = *call.endpoint_record;
        Route& route = route_of(endpoint);
        // each message of a call may be given a retry-after of its own: the longest applies, also one that
        // came with an answer which proves nothing
        if (event.outcome == Outcome::TurnedAway || event.wait > Time(0))
            route.wait_until = std::max(route.wait_until, now + event.wait);
        if (!call.health_counted && event.outcome != Outcome::NotSent) {
            call.health_counted = true;
            record_outcome(call, event.outcome, event.report, event.rtt, now);
        }
        const Call ended = call;
        if (--call.open_attempts == 0) {
            --endpoint.in_flight, --endpoint.destination_record->in_flight;
            const bool reusable = event.outcome == Outcome::Served || event.outcome == Outcome::ServerError ||
                                  event.outcome == Outcome::TurnedAway;
            if (reusable)
                endpoint.idle_expiries.push_back(now + settings_.conn_idle),
                    freed_endpoints_.insert(ended.endpoint);
            calls_.erase(call_id);
        }
        apply_outcome(event, ended, now);
        reschedule(endpoint.destination, now);
    }
    void handle(const AbandonedEvent& event, Time now) { remove_message(event.message, now); }
    void handle(const RoutesEvent& event, Time now) {
        route_endpoints_.clear();
        for (const auto& only : event.only) route_endpoints_.emplace_back(only.begin(), only.end());
        for (const auto& [id, destination] : active_destinations_) reschedule(id, now);
    }
    void handle(const RerouteEvent& event, Time now) {
        if (event.route > route_endpoints_.size()) throw std::invalid_argument("route");
        if (const auto found = messages_.find(event.message); found != messages_.end())
            found->second.route = event.route, message_changed(event.message, now);
    }
    void handle(const SpreadEvent& event, Time now) {
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
    void handle(const LearnedEvent& event, Time now) { merge_learned(*this, event, now); }
    void handle(const SettingsEvent& event, Time) {
        settings_ = checked(event.settings);
        quota_tags_.resize(settings_.tenants.size(), kLongAgo);
        connect_refused_at_.resize(settings_.kinds.size(), kLongAgo);
    }
    void handle(const PeerNote& note, Time now) {
        if (!gossips_limits()) return;
        if (const auto reports = lockgw::rate_limits::decode(note.bytes, now))
            for (const auto& report : *reports) apply_peer_limit(report, now);
    }
    // The other events change nothing: a timer only causes a decision, the outcome of a streamed attempt is
    // still to come, and probes are not used.
    template <class Ignored>
    void handle(const Ignored&, Time) {}
    // Makes one decision for all events handled since the last one.
    std::vector<Action> decide(Time now) {
        actions_.clear();
        if (next_watch_at_ <= now) actions_.emplace_back(Watch{true}), next_watch_at_ = kNever;
        process_due(now);
        end_expired(now);
        detect_silence(now);
        unhealthy_calls_ = count_unhealthy_calls();
        cancel_stuck_calls(now);
        shed_load(now);
        while (calls_.size() < settings_.slots && !settings_.paused) {
            const std::optional<Pick> pick = pick_next(now);
            if (!pick) break;
            start_call(*pick, now);
        }
        close_idle_connections(now);
        for (auto& gossip : lockgw::rate_limits::messages_due(reported_limits_, now, settings_.n_instances,
                 settings_.own_number, random_, next_gossip_at_))
            actions_.emplace_back(std::move(gossip));
        set_timer(now);
        if (now >= next_cleanup_at_) remove_unreferenced(now);
        return std::move(actions_);
    }

private:
    // Adds or changes one endpoint of the list.
    void apply_entry(const ListEntry& entry, Time now) {
        Endpoint& endpoint = endpoints_[entry.endpoint];
        set_listed_destination(endpoint, entry.destination);
        const bool gone = entry.condition == Condition::Gone;
        gone ? void(unlisted_endpoints_.insert(entry.endpoint))
             : void(unlisted_endpoints_.erase(entry.endpoint));
        // a new endpoint, or one that moved: its calls in flight move with it
        if (endpoint.destination != entry.destination)
            if (const auto previous = destinations_.find(endpoint.destination);
                previous != destinations_.end()) {
                previous->second.endpoints.erase(entry.endpoint),
                    previous->second.in_flight -= endpoint.in_flight;
                reschedule(previous->first, now);
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
        if (entry.cold) {  // all senders know of its outage
            endpoint.health = Health::Unhealthy, endpoint.failure_seen = true, endpoint.aware_share = 1.0;
            endpoint.unhealthy_since = kLongAgo, mark_unhealthy(endpoint, now);
        }
        reschedule(entry.destination, now);
    }
    // Counts the endpoint at the destination that it was last listed for; nullopt: at none any more.
    void set_listed_destination(Endpoint& endpoint, std::optional<DestinationId> to) {
        if (endpoint.is_counted && to == endpoint.destination) return;
        if (endpoint.is_counted && --endpoint.destination_record->endpoint_count == 0)
            unlisted_destinations_.insert(endpoint.destination);
        endpoint.is_counted = to.has_value();
        if (to && destinations_[*to].endpoint_count++ == 0) unlisted_destinations_.erase(*to);
    }
    // Removes endpoints that are not listed and that no call or doubtful message refers to, and destinations
    // without endpoints, messages and calls of which nothing useful is known any more
    // (kDestinationStateLifetime).
    void remove_unreferenced(Time now) {
        next_cleanup_at_ = now + kCleanupInterval;
        std::erase_if(unlisted_endpoints_, [&](EndpointId id) {
            if (endpoints_.at(id).in_flight > 0 || doubtful_counts_.contains(id)) return false;
            set_listed_destination(endpoints_.at(id), std::nullopt);
            if (const auto key = limit_key(endpoints_.at(id)); endpoint_by_limit_key_.erase(key) > 0)
                reported_limits_.forget(key);
            endpoints_.erase(id);
            actions_.emplace_back(Forget{id});
            return true;
        });
        std::erase_if(unlisted_destinations_, [&](DestinationId id) {
            const Destination& destination = destinations_.at(id);
            const Time last = std::max({destination.last_message_at, destination.last_served,
                destination.shared_route.wait_until, destination.shared_route.limit_tag});
            if (!destination.held.empty() || destination.in_flight != 0 ||
                last + kDestinationStateLifetime > now)
                return false;
            destinations_.erase(id), reported_limits_.forget(id);
            return true;
        });
    }
    // Everything that falls due by now: ends of backoffs, of pauses of ordering keys, tags, waits and
    // budgets.
    void process_due(Time now) {
        for (const MessageId id : backoff_queue_.take_due(now)) message_changed(id, now);
        for (const std::uint64_t key : key_pause_queue_.take_due(now)) key_queue_changed(key, now);
        for (const std::uint64_t key : key_cleanup_queue_.take_due(now))
            if (key_queues_.contains(key)) remove_key_queue_if_idle(key, now);
        for (const DestinationId id : destination_due_queue_.take_due(now)) reschedule(id, now);
    }
    // Asks for a timer at the next time at which something falls due, in a millisecond at the earliest,
    // unless a timer that expires no later is set already.
    void set_timer(Time now) {
        Time next = next_watch_at_;
        if (reported_limits_.has_unsent()) next = std::min(next, next_gossip_at_);
        if (!calls_.empty()) next = std::min(next, now + scaled_to_latency(kSilenceCheckInterval, 1.0));
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
    std::visit([&](const auto& concrete) { logic_->handle(concrete, now); }, event);
}
std::vector<Action> Sender::decide(Time now) { return logic_->decide(now); }
Time Sender::wait_until(EndpointId endpoint) const {
    const auto found = logic_->endpoints_.find(endpoint);
    return found == logic_->endpoints_.end() ? kLongAgo : logic_->route_of(found->second).wait_until;
}
policy::State& Sender::state() { return *logic_; }

}  // namespace cometspoke
