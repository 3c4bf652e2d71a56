// Two deployments of other names, numbers and terms through one process by a reload: it decides as a process
// that has known the second one alone. A setting that was read from another's place would show.
#include <random>

#include "node_fixture.hpp"

namespace lockgw {
namespace {

using namespace cometspoke;
using namespace cometspoke::settings;

#ifdef __SANITIZE_ADDRESS__
constexpr unsigned kSeeds = 15;  // many times slower there
#else
constexpr unsigned kSeeds = 300;
#endif
constexpr int kSteps = 250;
constexpr EndpointId kEndpoints = 4;

struct Deployment {
    Names names;
    Settings settings;
};

class Draw {
public:
    explicit Draw(unsigned seed) : random_(seed) {}
    std::size_t below(std::size_t most) { return random_() % most; }
    double between(double least, double most) {
        return std::uniform_real_distribution<double>(least, most)(random_);
    }
    /// Some of these, at least one, in any order.
    std::vector<std::string> some_of(std::vector<std::string> names) {
        std::shuffle(names.begin(), names.end(), random_);
        names.resize(1 + below(names.size()));
        return names;
    }
    Json settings() {
        Json json = make_config("127.0.0.1:1", "127.0.0.1:2")["settings"];
        json["classes"] = Json::array();
        const std::vector<std::string> effects{"retryable", "dedup", "fragile"};
        for (const auto& name : some_of({"order", "status", "notice", "refund", "ticket"}))
            json["classes"].push_back(
                {{"name", name}, {"effect", effects[below(3)]}, {"aim_ms", between(200, 3000)},
                    {"hard_limit_ms", between(3000, 9000)}, {"window_ms", between(300, 3000)},
                    {"worth", between(0.5, 3)}, {"late_worth", between(0, 0.5)}});
        json["tenants"] = Json::array();
        for (const auto& name : some_of({"acme", "north", "quay", "mill"}))
            json["tenants"].push_back({{"name", name}, {"quota_per_s", between(1, 20)}});
        json["kinds"] = some_of({"shop", "lab", "bank"});
        json["n_instances"] = 1 + below(5);
        json["over_share_worth"] = between(0, 1);
        json["family_info"] = {{"slots", 2 + below(8)}, {"loses_worth", below(2) ? "halving" : "linear"}};
        json["limits"]["max_attempts"] = 1 + below(6);
        json["limits"]["most_held"] = 5 + below(30);
        json["limits"]["conn_idle_ms"] = between(100, 9000);
        json["contract"]["fall_ms"] = between(500, 3000);
        json["contract"]["warm_within_ms"] = between(2000, 9000);
        json["contract"]["cold_from"] = between(0.1, 0.5);
        json["contract"]["fall_multiple"] = between(1.5, 3);
        return json;
    }

private:
    std::mt19937 random_;
};

Deployment alone(const Json& json) {
    const Names names = names_of(json);
    Settings settings = settings_of(json, names);
    for (auto& one : settings.classes) one.max_attempts = settings.max_attempts;  // as read_config() does
    return {names, settings};
}
Deployment reloaded(const Deployment& from, const Deployment& to) {
    InForce next = taken_over({from.names, from.settings, from.names.tenants},
        {to.names, to.settings, to.names.tenants}, [](std::size_t) { return false; });
    return {next.names, next.settings};
}
std::string text_of_action(const Action& action) {
    std::ostringstream text;
    if (const auto* send = std::get_if<Send>(&action))
        text << "send " << send->message << " to " << send->endpoint << " for " << send->time_out.count()
             << " by " << send->begin_by.count();
    else if (const auto* refuse = std::get_if<Refuse>(&action))
        text << "refuse " << refuse->message << ' ' << refuse->retry_after.count();
    else if (const auto* fail = std::get_if<Fail>(&action))
        text << "fail " << fail->message;
    else if (const auto* cancel = std::get_if<CancelAttempt>(&action))
        text << "cancel " << cancel->message;
    return text.str();
}

/// One process: told everything by name, as a forwarder tells it.
class Process {
public:
    Process(const Deployment& is, Sender sender) : is_(is), sender_(std::move(sender)) {}

    void list(const std::vector<std::string>& kinds, Time now) {
        ListEvent event;
        for (EndpointId i = 0; i < kEndpoints; ++i) {
            ListEntry entry;
            entry.endpoint = i, entry.destination = i / 2, entry.kind = is_.names.kinds.at(kinds[i]);
            event.entries.push_back(entry);
        }
        sender_.observe(event, now);
    }
    void message(
        MessageId id, const std::string& name, const std::string& tenant, DestinationId to, Time now) {
        MessageEvent event;
        event.message = id, event.destination = to;
        event.message_class = is_.names.classes.at(name);
        event.tenant = is_.names.tenants.at(tenant);
        event.left = is_.settings.classes[event.message_class].deadline;
        sender_.observe(event, now);
    }
    void outcome(const OutcomeEvent& event, Time now) { sender_.observe(event, now); }
    std::vector<Action> decide(Time now) { return sender_.decide(now); }

private:
    Deployment is_;
    Sender sender_;
};

void play(unsigned seed) {
    Draw draw(seed);
    const Deployment first = alone(draw.settings());
    const Deployment second = alone(draw.settings());
    Sender taken(first.settings, seed);
    const Deployment joined = reloaded(first, second);
    taken.observe(SettingsEvent{joined.settings}, Time(0));
    Process one(joined, std::move(taken)), other(second, Sender(second.settings, seed));
    const auto names_of_index = [](const Index& index) {
        const auto names = names_in(index);
        return std::vector<std::string>(names.begin(), names.end());
    };
    const auto classes = names_of_index(second.names.classes), tenants = names_of_index(second.names.tenants),
               kinds = names_of_index(second.names.kinds);
    std::vector<std::string> listed;
    for (EndpointId i = 0; i < kEndpoints; ++i) listed.push_back(kinds[draw.below(kinds.size())]);
    Time now{1'000'000};
    one.list(listed, now), other.list(listed, now);
    std::map<MessageId, std::uint32_t> attempts;
    std::vector<OutcomeEvent> out;
    for (int step = 0; step < kSteps; ++step) {
        now += Time(1000 * (1 + static_cast<Time::rep>(draw.below(60))));
        for (std::size_t i = draw.below(3); i > 0; --i) {
            const MessageId id = static_cast<MessageId>(step) * 4 + i;
            const auto& name = classes[draw.below(classes.size())];
            const auto& tenant = tenants[draw.below(tenants.size())];
            const auto to = static_cast<DestinationId>(draw.below(2));
            one.message(id, name, tenant, to, now), other.message(id, name, tenant, to, now);
        }
        for (std::size_t i = 0; i < out.size();) {
            if (draw.below(3) != 0) {
                ++i;
                continue;
            }
            OutcomeEvent event = out[i];
            out.erase(out.begin() + static_cast<std::ptrdiff_t>(i));
            const Outcome outcomes[] = {Outcome::Served, Outcome::Served, Outcome::Served,
                Outcome::ServerError, Outcome::TurnedAway, Outcome::ConnectionLost, Outcome::NoConnection};
            event.outcome = outcomes[draw.below(std::size(outcomes))];
            event.terminal = event.outcome == Outcome::Served;
            event.rtt = Time(20'000 + static_cast<Time::rep>(draw.below(90'000)));
            one.outcome(event, now), other.outcome(event, now);
        }
        const auto decided = one.decide(now), expected = other.decide(now);
        ASSERT_EQ(decided.size(), expected.size()) << "seed " << seed << " step " << step;
        for (std::size_t i = 0; i < decided.size(); ++i) {
            ASSERT_EQ(text_of_action(decided[i]), text_of_action(expected[i]))
                << "seed " << seed << " step " << step;
            if (const auto* send = std::get_if<Send>(&decided[i])) {
                OutcomeEvent event;
                event.message = send->message, event.endpoint = send->endpoint;
                event.attempt = attempts[send->message]++;
                out.push_back(event);
            }
        }
    }
}

TEST(SettingsCrossing, TwoDeploymentsThroughOneProcess) {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) ASSERT_NO_FATAL_FAILURE(play(seed)) << "seed " << seed;
}

}  // namespace
}  // namespace lockgw
