#include "capture/story.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <set>

#include "policy/state.hpp"

namespace lockgw::capture {

using namespace cometspoke;
using cometspoke::policy::Health;
using cometspoke::policy::State;

namespace {

std::string id_text(MessageId id) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(id));
    return text;
}
std::string ms(Time time) {
    char text[32];
    std::snprintf(text, sizeof text, "%.1f ms", static_cast<double>(time.count()) / 1000);
    return text;
}
std::string named(const std::vector<std::string>& names, std::size_t place) {
    return place < names.size() ? names[place] : std::to_string(place);
}

const char* word_of(Outcome outcome) {
    switch (outcome) {
        case Outcome::Served:
            return "served";
        case Outcome::ServerError:
            return "answered with an error";
        case Outcome::TurnedAway:
            return "turned away unseen";
        case Outcome::NoAnswer:
            return "no answer in time: it may have run";
        case Outcome::NoConnection:
            return "no connection could be made";
        case Outcome::ConnectionLost:
            return "the connection broke: it may have run";
        case Outcome::CalledOff:
            return "called off: it may have run";
        case Outcome::NotSent:
            return "not sent";
        case Outcome::Unreadable:
            return "a spoilt answer: it may have run";
    }
    return "?";
}
const char* word_of(Health health) {
    return health == Health::Healthy ? "well" : health == Health::Unhealthy ? "sick" : "returning";
}
const char* word_of(Condition condition) {
    return condition == Condition::Ready ? "ready" : condition == Condition::Draining ? "draining" : "gone";
}

struct EventWords {
    const Head& head;
    const NameOf& name_of;

    std::string operator()(const ListEvent& e) const {
        std::string text = e.kind == ListKind::Failed ? "the list could not be had"
                                                      : "a list of " + std::to_string(e.entries.size()) + ":";
        std::size_t told = 0;
        for (const ListEntry& entry : e.entries) {
            if (++told > 8) return text + " ...";
            text += ' ' + name_of(entry.endpoint) + " of " + std::to_string(entry.destination) + ' ' +
                    word_of(entry.condition) + ';';
        }
        return text;
    }
    std::string operator()(const MessageEvent& e) const {
        std::string text = "message " + id_text(e.message) + " taken: class " +
                           named(head.classes, e.message_class) + ", destination " +
                           std::to_string(e.destination) + ", " + ms(e.left) + " left";
        if (e.tenant) text += ", tenant " + named(head.tenants, *e.tenant);
        if (e.attempts > 0) text += ", " + std::to_string(e.attempts) + " attempts before a restart";
        if (e.doubt) text += ", one of them may have run " + ms(e.doubt->age) + " ago";
        return text;
    }
    std::string operator()(const StreamStarted& e) const {
        return "the answer of " + id_text(e.message) + " has begun";
    }
    std::string operator()(const OutcomeEvent& e) const {
        std::string text = "attempt " + std::to_string(e.attempt) + " of " + id_text(e.message) + " at " +
                           name_of(e.endpoint) + ": " + word_of(e.outcome);
        if (e.rtt > Time(0)) text += " after " + ms(e.rtt);
        if (e.wait > Time(0)) text += "; told to wait " + ms(e.wait);
        if (e.report)
            text +=
                "; limit " + std::to_string(e.report->limit) + "/s, left " + std::to_string(e.report->left);
        return text;
    }
    std::string operator()(const RoutesEvent& e) const {
        return std::to_string(e.only.size()) + " routes are in force";
    }
    std::string operator()(const RerouteEvent& e) const {
        return "message " + id_text(e.message) + " goes by route " + std::to_string(e.route) + " from now on";
    }
    std::string operator()(const SettingsEvent& e) const {
        return "other settings, with " + std::to_string(e.settings.classes.size()) + " classes";
    }
    std::string operator()(const SpreadEvent& e) const {
        return "calls to " + std::to_string(e.destination) + " go by turns to " +
               std::to_string(e.parts.size()) + " endpoints from now on";
    }
    std::string operator()(const LearnedEvent& e) const {
        return "learned before: of " + std::to_string(e.endpoints.size()) + " endpoints and " +
               std::to_string(e.destinations.size()) + " destinations";
    }
    std::string operator()(const AbandonedEvent& e) const {
        return "message " + id_text(e.message) + " is nobody's any more";
    }
    std::string operator()(const TimerFired&) const { return "a timer"; }
    std::string operator()(const ProbeResult& e) const {
        return "a probe of " + name_of(e.endpoint) + ": " + word_of(e.outcome);
    }
    std::string operator()(const PeerNote& e) const {
        return "a note of peer " + std::to_string(e.from) + ", " + std::to_string(e.bytes.size()) + " bytes";
    }
};

struct ActionWords {
    const NameOf& name_of;

    std::string operator()(const Send& a) const {
        return "sent " + id_text(a.message) + " to " + name_of(a.endpoint) + ", waiting " + ms(a.time_out) +
               " at most";
    }
    std::string operator()(const CancelAttempt& a) const {
        return "called attempt " + std::to_string(a.attempt) + " of " + id_text(a.message) + " off";
    }
    std::string operator()(const Refuse& a) const {
        return "refused " + id_text(a.message) + ", to come again after " + ms(a.retry_after);
    }
    std::string operator()(const Fail& a) const { return "gave " + id_text(a.message) + " up"; }
    std::string operator()(const SetTimer& a) const { return "a timer in " + ms(a.delay); }
    std::string operator()(const Probe& a) const { return "a probe of " + name_of(a.endpoint); }
    std::string operator()(const CloseIdle& a) const {
        return "closed the idle connections to " + name_of(a.endpoint);
    }
    std::string operator()(const TellPeers&) const { return "a note to peers"; }
    std::string operator()(const Watch&) const { return "a watch of the list"; }
    std::string operator()(const FetchList&) const { return "the list asked for"; }
    std::string operator()(const Log& a) const { return a.text; }
    std::string operator()(const Forget& a) const { return "forgot " + name_of(a.endpoint); }
};

/// Whether an event or an action is about the subject.
class About {
public:
    About(const Subject& subject, State& state) : subject_(subject), state_(state) {}

    bool of(const ListEvent& e) const {
        return std::any_of(e.entries.begin(), e.entries.end(), [this](const ListEntry& one) {
            return endpoint(one.endpoint) || subject_.destination == one.destination;
        });
    }
    bool of(const MessageEvent& e) const {
        return message(e.message) || subject_.destination == e.destination;
    }
    bool of(const OutcomeEvent& e) const { return message(e.message) || endpoint(e.endpoint); }
    bool of(const RoutesEvent&) const { return true; }
    bool of(const SettingsEvent&) const { return true; }
    bool of(const Send& a) const { return message(a.message) || endpoint(a.endpoint); }
    bool of(const ProbeResult& e) const { return endpoint(e.endpoint); }
    bool of(const CloseIdle& a) const { return endpoint(a.endpoint) && subject_.endpoint; }
    bool of(const Forget& a) const { return endpoint(a.endpoint); }
    template <class Other>
    bool of(const Other& other) const {
        if constexpr (requires { other.message; })
            return message(other.message);
        else
            return false;
    }

private:
    bool message(MessageId id) const {
        if (subject_.message == id) return true;
        if (!subject_.destination) return false;
        const auto found = state_.messages_.find(id);
        return found != state_.messages_.end() && found->second.destination == *subject_.destination;
    }
    bool endpoint(EndpointId id) const {
        if (subject_.endpoint == id) return true;
        if (!subject_.destination) return false;
        const auto found = state_.endpoints_.find(id);
        return found != state_.endpoints_.end() && found->second.destination == *subject_.destination;
    }

    const Subject& subject_;
    State& state_;
};

/// What keeps an endpoint from having anything now.
std::vector<std::string> hindrances(State& state, EndpointId id, Time now) {
    policy::Endpoint& endpoint = state.endpoints_.at(id);
    const policy::Route& route = state.route_of(endpoint);
    std::vector<std::string> all;
    if (endpoint.condition != Condition::Ready) all.push_back(word_of(endpoint.condition));
    if (route.wait_until > now) all.push_back("a told wait");
    if (endpoint.health != Health::Healthy && endpoint.recovery_tag > now)
        all.push_back(std::string(word_of(endpoint.health)) + ", no trial is due");
    if (route.limit_tag > now) all.push_back("its limit is used up for now");
    return all;
}

std::string joined(const std::vector<std::string>& words) {
    std::string text;
    for (const std::string& word : words) text += (text.empty() ? "" : ", ") + word;
    return text;
}

/// Why a message that is held was passed over in the decision that has just been made; "" where it is not
/// held.
std::string passed_over(State& state, MessageId id, Time now, const NameOf& name_of) {
    const auto found = state.messages_.find(id);
    if (found == state.messages_.end()) return "";
    const policy::Message& message = found->second;
    if (message.open_attempts > 0) return "it is out";
    std::vector<std::string> why;
    if (message.not_before > now) why.push_back("it rests after an attempt that failed");
    if (message.attempts >= state.class_settings(message).max_attempts)
        why.push_back("all its attempts are used up");
    const auto home = state.destinations_.find(message.destination);
    if (home == state.destinations_.end() || home->second.endpoints.empty()) {
        why.push_back("its destination has no endpoint");
        return "held: " + joined(why);
    }
    std::size_t open = 0;
    for (const EndpointId endpoint : home->second.endpoints) {
        const auto hindered = hindrances(state, endpoint, now);
        hindered.empty() ? void(++open) : why.push_back(name_of(endpoint) + ": " + joined(hindered));
    }
    if (state.calls_.size() >= state.settings_.slots) why.push_back("all slots are taken");
    const double cap = policy::kMaxDestinationSlotShare * static_cast<double>(state.settings_.slots);
    if (home->second.in_flight > 0 && home->second.in_flight + 1 >= cap)
        why.push_back("its destination has its share of the slots");
    const auto& held = home->second.held;
    if (open > 0 && !held.empty() && held.begin()->second != id)
        why.push_back(std::to_string(held.size()) + " are held for its destination");
    return "held: " + (why.empty() ? "its turn has not come" : joined(why));
}

/// What is known of an endpoint, in one line that changes with what matters.
std::string condition_of(State& state, EndpointId id, Time now) {
    const auto found = state.endpoints_.find(id);
    if (found == state.endpoints_.end()) return "not known";
    policy::Endpoint& endpoint = found->second;
    const auto hindered = hindrances(state, id, now);
    std::string text = std::string(word_of(endpoint.condition)) + ", " + word_of(endpoint.health);
    if (endpoint.health != Health::Healthy && endpoint.recovery_tag <= now) text += ", a trial may go";
    if (!hindered.empty()) text += "; nothing may go: " + joined(hindered);
    return text;
}

class Teller {
public:
    Teller(const Segment& segment, const Subject& subject, std::size_t most)
        : segment_(segment),
          subject_(subject),
          most_(most),
          replay_(segment),
          about_(subject, replay_.state()),
          name_of_(names_of(segment)) {}

    std::vector<Line> told() {
        while (replay_.more() && lines_.size() < most_) {
            const Batch& batch = segment_.batches.at(replay_.place());
            for (const auto& [when, event] : batch.events)
                if (std::visit([this](const auto& one) { return about_.of(one); }, event))
                    tell(batch, when, capture::text_of(event, *segment_.head, name_of_));
            if (const auto difference = replay_.step()) {
                tell(batch, batch.decided,
                    "here this build decides otherwise than the one that was captured: the story ends");
                break;
            }
            for (const Action& action : batch.actions)
                if (std::visit([this](const auto& one) { return about_.of(one); }, action))
                    tell(batch, batch.decided, capture::text_of(action, name_of_));
            changed(batch);
        }
        if (lines_.size() >= most_) lines_.back().text += " ... and more";
        return std::move(lines_);
    }

private:
    void tell(const Batch& batch, Time at, std::string text) {
        if (lines_.size() < most_)
            lines_.push_back({batch.number, wall_of(*segment_.head, at), std::move(text)});
    }
    void changed(const Batch& batch) {
        State& state = replay_.state();
        if (subject_.message) {
            const std::string why = passed_over(state, *subject_.message, batch.decided, name_of_);
            if (why != before_["message"] && why.starts_with("held")) tell(batch, batch.decided, why);
            before_["message"] = why;
            return;
        }
        std::set<EndpointId> endpoints;
        if (subject_.endpoint) endpoints.insert(*subject_.endpoint);
        if (subject_.destination)
            if (const auto home = state.destinations_.find(*subject_.destination);
                home != state.destinations_.end())
                endpoints = home->second.endpoints;
        for (const EndpointId id : endpoints) {
            const std::string now = name_of_(id) + " is " + condition_of(state, id, batch.decided);
            if (std::exchange(before_[name_of_(id)], now) != now) tell(batch, batch.decided, now);
        }
    }

    const Segment& segment_;
    const Subject& subject_;
    std::size_t most_;
    Replay replay_;
    About about_;
    NameOf name_of_;
    std::map<std::string, std::string> before_;
    std::vector<Line> lines_;
};

}  // namespace

std::int64_t wall_of(const Head& head, Time at) {
    return head.wall_ms + std::chrono::duration_cast<std::chrono::milliseconds>(at - head.steady).count();
}

NameOf names_of(const Segment& segment) {
    auto names = std::make_shared<std::map<EndpointId, std::string>>();
    for (const Named& one : segment.names) names->insert_or_assign(one.endpoint, one.name);
    return [names](EndpointId id) {
        const auto found = names->find(id);
        return found == names->end() ? "endpoint " + std::to_string(id) : found->second;
    };
}

std::string text_of(const Event& event, const Head& head, const NameOf& name_of) {
    return std::visit(EventWords{head, name_of}, event);
}
std::string text_of(const Action& action, const NameOf& name_of) {
    return std::visit(ActionWords{name_of}, action);
}

std::optional<MessageId> message_of(const std::string& text) {
    if (text.size() != 16 || text.find_first_not_of("0123456789abcdef") != std::string::npos)
        return std::nullopt;
    return std::strtoull(text.c_str(), nullptr, 16);
}

std::optional<Subject> subject_of(const Segment& segment, const std::string& text) {
    Subject subject;
    for (const Named& one : segment.names)
        if (one.name == text) return subject.endpoint = one.endpoint, subject;
    if ((subject.message = message_of(text))) return subject;
    const std::string unnamed = "endpoint ";
    if (text.starts_with(unnamed) && text.size() < 20 &&
        text.find_first_not_of("0123456789", unnamed.size()) == std::string::npos)
        return subject.endpoint =
                   static_cast<EndpointId>(std::strtoul(text.c_str() + unnamed.size(), nullptr, 10)),
               subject;
    const std::string word = "destination ";
    const std::string number = text.starts_with(word) ? text.substr(word.size()) : text;
    if (number.empty() || number.find_first_not_of("0123456789") != std::string::npos) return std::nullopt;
    subject.destination = std::strtoll(number.c_str(), nullptr, 10);
    return subject;
}

std::vector<std::string> known_then(
    State& state, Time now, const NameOf& name_of, const Subject& subject, std::size_t most) {
    std::vector<std::string> lines;
    const bool all = !subject.message && !subject.endpoint && !subject.destination;
    const auto ill = [&](EndpointId id) {
        const auto found = state.endpoints_.find(id);
        return found != state.endpoints_.end() && !hindrances(state, id, now).empty();
    };
    lines.push_back(std::to_string(state.messages_.size()) + " messages are held, " +
                    std::to_string(state.calls_.size()) + " calls are out of " +
                    std::to_string(state.settings_.slots));
    if (subject.message) {
        const std::string why = passed_over(state, *subject.message, now, name_of);
        lines.push_back("message " + id_text(*subject.message) + ": " + (why.empty() ? "not held" : why));
    }
    for (const auto& [id, destination] : state.destinations_) {
        const auto& endpoints = destination.endpoints;
        const bool about =
            subject.destination == id || (subject.endpoint && endpoints.contains(*subject.endpoint)) ||
            (all && (!destination.held.empty() || std::any_of(endpoints.begin(), endpoints.end(), ill)));
        if (!about) continue;
        if (lines.size() >= most) {
            lines.push_back("... and more");
            break;
        }
        lines.push_back("destination " + std::to_string(id) + ": " + std::to_string(destination.held.size()) +
                        " held, " + std::to_string(destination.in_flight) + " out");
        for (const EndpointId endpoint : endpoints)
            if (subject.destination || subject.endpoint == endpoint || (all && ill(endpoint)))
                lines.push_back("  " + name_of(endpoint) + ": " + condition_of(state, endpoint, now));
    }
    return lines;
}

std::vector<Line> story_of(const Segment& segment, const Subject& subject, std::size_t most) {
    return Teller(segment, subject, most).told();
}

}  // namespace lockgw::capture
