#include "rig/soak/soak.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <set>
#include <sstream>

#include "rig/directory.hpp"
#include "rig/node.hpp"
#include "rig/soak/broken_file.hpp"
#include "rig/soak/client_load.hpp"
#include "rig/soak/questions.hpp"

namespace lockgw::rig::soak {
namespace {

using Json = nlohmann::json;

constexpr Milliseconds kAfterDeadline{3000};  // by then every final status is reported, also after a restart
constexpr Milliseconds kLongestRestart{8000};
constexpr Milliseconds kHoldUpEvery{700}, kLongestHoldUp{150}, kBetweenHoldUps{300};
constexpr Milliseconds kRestartEvery{5000}, kDownTime{600};
constexpr Milliseconds kKillBehindTermination{3700};
constexpr Milliseconds kReloadEvery{4000}, kDrainEvery{3000}, kShortestDrain{1500}, kLongestDrain{4000};
constexpr Milliseconds kSpellEvery{6000}, kShortestSpell{2000}, kLongestSpell{3000};
constexpr Milliseconds kCrashEvery{5000}, kShortestCrash{1500}, kLongestCrash{6000};
constexpr Milliseconds kNoticePoll{5};
constexpr Milliseconds kConsoleDrainEvery{2000}, kShortestAway{50}, kLongestAway{2500}, kOrderAgain{200};
constexpr Milliseconds kShortestConsoleHoldUp{20};
constexpr Milliseconds kBackInServiceWithin{2000};  // the operators' days: 2 s after the second call
constexpr Milliseconds kShortestAnswer{500}, kLongestAnswer{3000};
constexpr std::size_t kMostPieces = 40;
constexpr Milliseconds kKnownWithin{6000};  // beyond the time of an answer
constexpr std::int64_t kRevisionJump = 100;
constexpr Milliseconds kReadyPoll{20}, kCrowdReturns{100};
constexpr std::size_t kSockets = 1024, kSocketsInACrowd = 160;
constexpr std::size_t kMostLogLines = 12;  // of a story

/// Idle connections that come again when they are closed.
class IdleCrowd {
public:
    IdleCrowd(boost::asio::io_context& io, const Tcp::endpoint& address, std::size_t size)
        : io_(io), address_(address) {
        for (std::size_t i = 0; i < size; ++i) come();
    }
    void stop() { stopped_ = true; }

private:
    struct One {
        explicit One(boost::asio::io_context& io) : socket(io), timer(io) {}
        Tcp::socket socket;
        boost::asio::steady_timer timer;
        std::array<char, 64> in{};
    };
    void come() {
        if (stopped_) return;
        const auto one = std::make_shared<One>(io_);
        one->socket.async_connect(address_, [this, one](auto failed) {
            if (failed) return come_later(one);
            one->socket.async_read_some(
                boost::asio::buffer(one->in), [this, one](auto, std::size_t) { come_later(one); });
        });
    }
    void come_later(const std::shared_ptr<One>& one) {
        one->timer.expires_after(kCrowdReturns);
        one->timer.async_wait([this, one](auto) { come(); });
    }

    boost::asio::io_context& io_;
    Tcp::endpoint address_;
    bool stopped_ = false;
};

class Run {
public:
    explicit Run(const SoakPlan& plan) : plan_(plan), random_(plan.seed) {
        observations_.keyed_window = plan.keyed_window;
        observations_.one_way = plan.link.one_way;
        observations_.hold_ups = plan.hold_ups;
        observations_.crowd = plan.crowd > 0;
        for (std::size_t i = 0; i < plan.forwarders; ++i)
            directories_.push_back(std::make_unique<Directory>());
        notices_read_.resize(plan.forwarders);
    }

    SoakResult play() {
        make_targets();
        start_forwarders();
        observations_.began = Clock::now();
        for (auto& client : clients_) client->start();
        schedule_faults();
        if (plan_.hand_in_again) pass_on_refusals();
        io_.run_for(plan_.span);
        faults_over_ = true;
        for (auto& client : clients_) client->stop();
        for (auto& crowd : crowds_) crowd->stop();
        io_.run_for(
            plan_.longest_deadline + kAfterDeadline + (restarts() ? kLongestRestart : Milliseconds(0)));
        read_final_statuses();
        SoakResult result{check(observations_), {}};
        for (Violation& violation : result.violations) violation.story += log_lines(violation.message);
        result.report = report(observations_, result.violations);
        result.report["seed"] = plan_.seed;
        result.report["faults"] = text_of(plan_);
        return result;
    }

private:
    bool restarts() const { return plan_.kills || plan_.terminations; }
    Milliseconds between(Milliseconds least, Milliseconds most) {
        return Milliseconds(
            std::uniform_int_distribution<Milliseconds::rep>(least.count(), most.count())(random_));
    }
    Milliseconds up_to(Milliseconds most) { return between(Milliseconds(1), most); }
    void later(Milliseconds delay, std::function<void()> step) {
        auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay);
        timer->async_wait([timer, step = std::move(step)](auto) { step(); });
    }
    /// Until the faults are over, at random times of half the period in the mean.
    void repeat(Milliseconds period, std::function<void()> fault) {
        later(up_to(period), [this, period, fault = std::move(fault)] {
            if (faults_over_) return;
            fault();
            repeat(period, fault);
        });
    }

    void make_targets() {
        for (std::int64_t destination = 0; destination < plan_.destinations; ++destination)
            for (std::size_t i = 0; i < plan_.targets_each; ++i) {
                const std::size_t number = targets_.size();
                targets_.push_back(std::make_unique<FaultyTarget>(io_, number, plan_.link, random_,
                    observations_, [this](const std::string& id) { return notice_told(id).has_value(); }));
                members_.push_back(member(number, destination, "in_service"));
            }
        for (auto& directory : directories_) directory->put_all(members_);
    }
    /// Each forwarder has an agent of its own, as on its own machine.
    void tell_all(const Json& member) {
        for (auto& directory : directories_) directory->put(member);
    }
    std::optional<Clock::time_point> notice_told(const std::string& message) const {
        std::optional<Clock::time_point> first;
        for (const auto& directory : directories_)
            if (const auto told = directory->notice_told(message); told && (!first || *told < *first))
                first = told;
        return first;
    }
    Json member(std::size_t target, std::int64_t destination, const char* phase) const {
        return {{"id", id_of(target)}, {"host_port", rig::text_of(targets_[target]->address())},
            {"locality", "a"}, {"flavor", "shop"}, {"cell", destination}, {"phase", phase}, {"size", 1.0},
            {"up_since_ms", 0}};
    }
    static std::string id_of(std::size_t target) { return "s-" + std::to_string(target + 1); }

    void start_forwarders() {
        const auto effects = draw_effects();
        for (std::size_t i = 0; i < plan_.forwarders; ++i) {
            consoles_.push_back(free_endpoint());
            nodes_.push_back(std::make_unique<Node>(config_of(i, effects), plan_.program));
            nodes_.back()->start_ready();
            restarting_.push_back(false);
            out_of_service_.push_back(false);
            next_hold_up_.emplace_back();
            ClientPlan client;
            client.forwarder = i;
            client.address = nodes_.back()->address();
            client.per_second = plan_.messages_per_second / static_cast<double>(plan_.forwarders);
            client.shortest_deadline = plan_.shortest_deadline;
            client.longest_deadline = plan_.longest_deadline;
            client.destinations = plan_.destinations;
            client.effects = effects;
            client.impatient = plan_.impatient;
            client.withdrawn = plan_.withdrawn;
            client.bursts = plan_.bursts;
            client.batches = plan_.batches;
            client.hands_in_again = plan_.hand_in_again;
            client.keyed_window = plan_.keyed_window;
            clients_.push_back(std::make_unique<ClientLoad>(io_, client, random_, observations_,
                [this, i](Clock::time_point since) { return killed_since(i, since); }));
            if (plan_.crowd > 0)
                crowds_.push_back(std::make_unique<IdleCrowd>(io_, nodes_.back()->address(), plan_.crowd));
        }
    }
    std::map<std::string, Effect> draw_effects() {
        std::array<Effect, 3> effects{Effect::Repeatable, Effect::Keyed, Effect::Unsafe};
        if (plan_.effects_drawn) std::shuffle(effects.begin(), effects.end(), random_);
        return {{"safe", effects[0]}, {"keyed", effects[1]}, {"unsafe", effects[2]}};
    }
    Json config_of(std::size_t forwarder, const std::map<std::string, Effect>& effects) const {
        static const char* const names[] = {"retryable", "dedup", "fragile"};
        Json config = make_config("127.0.0.1:1", directories_[forwarder]->address());
        config["name"] = "n" + std::to_string(forwarder);
        config["console"] = rig::text_of(consoles_[forwarder]);
        config["settings"]["n_instances"] = plan_.forwarders;
        config["settings"]["me"] = forwarder;
        config["settings"]["family_info"]["slots"] = 64;
        config["settings"]["limits"]["most_held"] = 400;
        config["limits"]["sockets"] = plan_.crowd > 0 ? kSocketsInACrowd : kSockets;
        for (Json& kind : config["settings"]["classes"]) {
            kind["hard_limit_ms"] = plan_.longest_deadline.count();
            kind["window_ms"] = plan_.keyed_window.count();
            kind["effect"] = names[static_cast<int>(effects.at(kind["name"].get<std::string>()))];
        }
        return config;
    }

    void schedule_faults() {
        if (plan_.hold_ups) repeat(kHoldUpEvery, [this] { hold_up(); });
        if (restarts()) repeat(kRestartEvery, [this] { restart(); });
        if (plan_.console_drains) repeat(kConsoleDrainEvery, [this] { drain_by_console(); });
        if (plan_.reloads || plan_.broken_files) repeat(kReloadEvery, [this] { reload(); });
        if (plan_.slow_discovery)
            for (std::size_t i = 0; i < plan_.forwarders; ++i) slow_down_discovery(i);
        if (plan_.drains) repeat(kDrainEvery, [this] { drain(); });
        if (plan_.hanging_spells) repeat(kSpellEvery, [this] { hang(); });
        if (plan_.crashes) repeat(kCrashEvery, [this] { crash(); });
    }
    std::size_t any_forwarder() { return random_() % nodes_.size(); }

    void hold_up() { hold_up(any_forwarder(), up_to(kLongestHoldUp)); }
    /// One after another would be one longer hold-up.
    void hold_up(std::size_t forwarder, Milliseconds span) {
        const pid_t process = nodes_[forwarder]->pid();
        const auto now = Clock::now();
        if (process <= 0 || restarting_[forwarder] || now < next_hold_up_[forwarder]) return;
        next_hold_up_[forwarder] = now + span + kBetweenHoldUps;
        ::kill(process, SIGSTOP);
        later(span, [process] { ::kill(process, SIGCONT); });
    }
    void reload() {
        const std::size_t forwarder = any_forwarder();
        if (restarting_[forwarder]) return;
        Node& node = *nodes_[forwarder];
        const bool broken = plan_.broken_files && random_() % 2 == 0;
        node.reload(broken ? broken_file(node.config(), random_) : node.config().dump());
    }
    /// Out of service and back at any step of the drain; the order back comes while the forwarder is held up.
    void drain_by_console() {
        const std::size_t forwarder = any_forwarder();
        if (restarting_[forwarder] || out_of_service_[forwarder]) return;
        out_of_service_[forwarder] = true;
        give_order(io_, consoles_[forwarder], "out-of-service", [](bool) {});
        later(between(kShortestAway, kLongestAway), [this, forwarder] { put_back(forwarder); });
    }
    void put_back(std::size_t forwarder) {
        hold_up(forwarder, between(kShortestConsoleHoldUp, kLongestHoldUp));
        give_order(io_, consoles_[forwarder], "in-service", [this, forwarder](bool yes) {
            if (!yes) return later(kOrderAgain, [this, forwarder] { put_back(forwarder); });
            const auto told = Clock::now();
            later(kBackInServiceWithin, [this, forwarder, told] { check_back_in_service(forwarder, told); });
        });
    }
    void check_back_in_service(std::size_t forwarder, Clock::time_point told) {
        const auto judged = [this, forwarder, told] {  // in a crowd the door may shut new connections
            return !restarting_[forwarder] && !killed_since(forwarder, told) && plan_.crowd == 0;
        };
        if (!judged()) return void(out_of_service_[forwarder] = false);
        const std::size_t number = observations_.returns.size();
        observations_.returns.push_back({forwarder, told, false});
        ask_ping(io_, nodes_[forwarder]->address(), [=, this](const std::string& answer) {
            observations_.returns[number].serves = answer == "+PONG" || !judged();
            out_of_service_[forwarder] = false;
        });
    }
    /// Now and then all at once.
    void restart() {
        const bool together = random_() % 5 == 0;
        const std::size_t chosen = any_forwarder();
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            if ((together || i == chosen) && !restarting_[i]) restart(i);
    }
    void restart(std::size_t forwarder) {
        const bool terminated = plan_.terminations && (!plan_.kills || random_() % 2 == 0);
        restarting_[forwarder] = true;
        observations_.restarts.push_back({forwarder, terminated ? "SIGTERM" : "SIGKILL", Clock::now(),
            Clock::time_point::max(), std::nullopt});
        const std::size_t number = observations_.restarts.size() - 1;
        if (!terminated) return kill(number);
        nodes_[forwarder]->terminate();
        later(kKillBehindTermination, [this, number] { kill(number); });
    }
    void kill(std::size_t number) {
        Restart& restart = observations_.restarts[number];
        Node& node = *nodes_[restart.forwarder];
        node.kill();
        restart.ended = Clock::now();
        node.wait();
        later(kDownTime, [this, number] {
            nodes_[observations_.restarts[number].forwarder]->start();
            wait_ready(number);
        });
    }
    /// Asks until the new process answers.
    void wait_ready(std::size_t number) {
        const std::size_t forwarder = observations_.restarts[number].forwarder;
        ask_ping(io_, nodes_[forwarder]->address(), [this, number, forwarder](const std::string& answer) {
            if (answer.empty()) return later(kReadyPoll, [this, number] { wait_ready(number); });
            observations_.restarts[number].ready = Clock::now();
            restarting_[forwarder] = false;
        });
    }
    bool killed_since(std::size_t forwarder, Clock::time_point since) const {
        return std::any_of(
            observations_.restarts.begin(), observations_.restarts.end(), [&](const Restart& restart) {
                return restart.forwarder == forwarder && restart.ended >= since &&
                       restart.ended != Clock::time_point::max();
            });
    }

    /// A target drains once in a run, so that it is known when that was told; two thirds stay at least.
    void drain() {
        const std::size_t destination = random_() % static_cast<std::size_t>(plan_.destinations);
        const std::size_t target = destination * plan_.targets_each;
        if (!drained_.insert(target).second) return;
        members_[target]["phase"] = "terminating";
        tell_all(members_[target]);
        later(between(kShortestDrain, kLongestDrain), [this, target] { end_drain(target); });
    }
    void end_drain(std::size_t target) {
        for (std::size_t i = 0; i < directories_.size(); ++i)
            if (const auto told = directories_[i]->stop_told(id_of(target)))
                observations_.drains.push_back({i, target, *told, Clock::now()});
        members_[target]["phase"] = "in_service";
        tell_all(members_[target]);
    }
    /// A change that takes its time, perhaps with the whole list, perhaps behind a refusal.
    void slow_down_discovery(std::size_t forwarder) {
        if (faults_over_) return;
        Directory& directory = *directories_[forwarder];
        const Milliseconds span = between(kShortestAnswer, kLongestAnswer);
        directory.pace({span, 2 + random_() % kMostPieces, 0});
        if (random_() % 2 == 0) directory.count_anew(directory.revision() + kRevisionJump);
        if (random_() % 2 == 0) directory.fault({rig::ListFault::Kind::Status});
        directory.put(members_.back());
        const auto made = Clock::now();
        later(span + kKnownWithin, [this, forwarder, made, revision = directory.revision()] {
            const bool known = directories_[forwarder]->asked_from(revision);
            observations_.list_changes.push_back({forwarder, made, Clock::now(), known});
            slow_down_discovery(forwarder);
        });
    }
    void hang() {
        const auto destination = random_() % static_cast<std::uint64_t>(plan_.destinations);
        const auto until = Clock::now() + between(kShortestSpell, kLongestSpell);
        for (std::size_t i = 0; i < plan_.targets_each; ++i)
            targets_[destination * plan_.targets_each + i]->hang_until(until);
    }

    void crash() {
        const auto destination = random_() % static_cast<std::uint64_t>(plan_.destinations);
        const auto down_for = between(kShortestCrash, kLongestCrash);
        ++observations_.crashes;
        for (std::size_t i = 0; i < plan_.targets_each; ++i)
            targets_[destination * plan_.targets_each + i]->crash_for(down_for);
    }
    /// Tells clients of the refusals that the agent has heard since.
    void pass_on_refusals() {
        for (std::size_t i = 0; i < directories_.size(); ++i)
            for (const Json& notice : directories_[i]->notices_from(notices_read_[i])) {
                ++notices_read_[i];
                const std::string id = notice.at("ref").get<std::string>();
                const auto found = observations_.messages.find(id);
                if (notice.at("result") == "bounced" && found != observations_.messages.end())
                    clients_[found->second.forwarder]->on_refused(id);
            }
        later(kNoticePoll, [this] { pass_on_refusals(); });
    }

    void read_final_statuses() {
        for (const auto& directory : directories_)
            for (const Json& notice : directory->notices()) {
                const std::string id = notice.at("ref").get<std::string>();
                const auto found = observations_.messages.find(id);
                if (found == observations_.messages.end()) continue;
                found->second.final_statuses.push_back(notice.at("result").get<std::string>());
                found->second.reported = notice_told(id);
            }
    }
    /// What the program itself has logged of a message.
    std::string log_lines(const std::string& message) const {
        std::string lines;
        std::size_t count = 0;
        if (message.empty()) return lines;
        for (const auto& node : nodes_) {
            std::istringstream log(node->log());
            for (std::string line; std::getline(log, line) && count < kMostLogLines;)
                if (line.find(message) != std::string::npos) lines += "\n  log: " + line, ++count;
        }
        return lines;
    }

    const SoakPlan& plan_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Directory>> directories_;  // of each forwarder
    boost::asio::io_context io_{1};
    Observations observations_;
    std::vector<std::unique_ptr<FaultyTarget>> targets_;
    std::vector<Json> members_;
    std::set<std::size_t> drained_;
    std::vector<std::unique_ptr<ClientLoad>> clients_;
    std::vector<std::unique_ptr<IdleCrowd>> crowds_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<Tcp::endpoint> consoles_;
    std::vector<Clock::time_point> next_hold_up_;
    std::vector<bool> restarting_, out_of_service_;
    std::vector<std::size_t> notices_read_;  // of each directory
    bool faults_over_ = false;
};

}  // namespace

void draw_faults(SoakPlan& plan) {
    std::mt19937_64 random(plan.seed);
    const auto chance = [&](double share) { return std::uniform_real_distribution<>(0, 1)(random) < share; };
    const auto one_of = [&](std::initializer_list<int> values) {
        return *(values.begin() + random() % values.size());
    };
    LinkFaults& link = plan.link;
    link.one_way = Milliseconds(one_of({0, 0, 8, 20}));
    link.copied = chance(0.4) ? 0.2 : 0;
    link.copy_lag = Milliseconds(one_of({40, 200, 1000}));
    link.refused = chance(0.7) ? 0.25 : 0;
    link.told_to_wait = chance(0.5) ? 0.03 : 0;
    link.failed = chance(0.5) ? 0.05 : 0;
    link.over_slots = chance(0.3) ? 0.03 : 0;
    link.cut = chance(0.4) ? 0.04 : 0;
    link.closing = chance(0.3) ? 0.1 : 0;
    link.unasked = chance(0.4) ? 0.05 : 0;
    link.reset = chance(0.4) ? 0.04 : 0;
    link.hung = chance(0.3) ? 0.01 : 0;
    plan.shortest_deadline = Milliseconds(one_of({1500, 4000}));
    plan.longest_deadline = Milliseconds(5000);
    plan.keyed_window = Milliseconds(one_of({1000, 4000}));
    plan.effects_drawn = true;
    plan.hold_ups = chance(0.5);
    plan.kills = chance(0.5);
    plan.terminations = chance(0.5);
    plan.reloads = chance(0.4);
    plan.drains = chance(0.6);
    plan.hanging_spells = chance(0.5);
    plan.impatient = chance(0.3) ? 0.02 : 0;
    plan.withdrawn = chance(0.6) ? 0.15 : 0;
    plan.bursts = chance(0.5) ? 0.15 : 0;
    plan.crowd = chance(0.2) ? 200 : 0;
    plan.broken_files = chance(0.5);
    plan.console_drains = chance(0.5);
    plan.crashes = chance(0.5);
    plan.hand_in_again = chance(0.5);
    plan.batches = chance(0.5) ? 0.03 : 0;
    plan.slow_discovery = chance(0.5);
}

Json text_of(const SoakPlan& plan) {
    const LinkFaults& link = plan.link;
    return {{"one_way_ms", link.one_way.count()}, {"copied", link.copied},
        {"copy_lag_ms", link.copy_lag.count()}, {"refused", link.refused},
        {"told_to_wait", link.told_to_wait}, {"failed", link.failed}, {"over_slots", link.over_slots},
        {"cut", link.cut}, {"closing", link.closing}, {"unasked", link.unasked}, {"reset", link.reset},
        {"hung", link.hung}, {"shortest_deadline_ms", plan.shortest_deadline.count()},
        {"keyed_window_ms", plan.keyed_window.count()}, {"hold_ups", plan.hold_ups}, {"kills", plan.kills},
        {"terminations", plan.terminations}, {"reloads", plan.reloads}, {"drains", plan.drains},
        {"hanging_spells", plan.hanging_spells}, {"impatient", plan.impatient}, {"withdrawn", plan.withdrawn},
        {"bursts", plan.bursts}, {"crowd", plan.crowd}, {"broken_files", plan.broken_files},
        {"console_drains", plan.console_drains}, {"crashes", plan.crashes},
        {"hand_in_again", plan.hand_in_again}, {"batches", plan.batches},
        {"slow_discovery", plan.slow_discovery}};
}

SoakResult play(const SoakPlan& plan) { return Run(plan).play(); }

}  // namespace lockgw::rig::soak
