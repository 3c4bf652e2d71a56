#include "rig/soak/soak.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <csignal>

#include "rig/directory.hpp"
#include "rig/node.hpp"
#include "rig/soak/client_load.hpp"

namespace lockgw::rig::soak {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kDeadline{4000};       // of each message
constexpr milliseconds kAfterDeadline{2000};  // by then every final status is reported, also after a kill
constexpr milliseconds kHoldUpEvery{700}, kLongestHoldUp{150};
constexpr milliseconds kKillEvery{5000}, kDownTime{600};

class Run {
public:
    explicit Run(const SoakPlan& plan)
        : plan_(plan), random_(plan.seed), fault_timer_(io_), kill_timer_(io_) {}

    SoakResult play() {
        make_targets();
        start_forwarders();
        observations_.began = Clock::now();
        for (auto& client : clients_) client->start();
        if (plan_.hold_ups) schedule_hold_up();
        if (plan_.kills) schedule_kill();
        io_.run_for(plan_.span);
        stop_faults();
        for (auto& client : clients_) client->stop();
        io_.run_for(kDeadline + kAfterDeadline);
        read_final_statuses();
        SoakResult result{check(observations_), {}};
        result.report = report(observations_, result.violations);
        result.report["seed"] = plan_.seed;
        return result;
    }

private:
    void make_targets() {
        std::vector<Json> members;
        for (std::int64_t destination = 0; destination < plan_.destinations; ++destination)
            for (std::size_t i = 0; i < plan_.targets_each; ++i) {
                targets_.push_back(
                    std::make_unique<FaultyTarget>(io_, targets_.size(), plan_.link, random_, observations_));
                members.push_back({{"id", "s-" + std::to_string(targets_.size())},
                    {"host_port", rig::text_of(targets_.back()->address())}, {"locality", "a"},
                    {"flavor", "shop"}, {"cell", destination}, {"phase", "in_service"}, {"size", 1.0},
                    {"up_since_ms", 0}});
            }
        directory_.put_all(members);
    }
    void start_forwarders() {
        for (std::size_t i = 0; i < plan_.forwarders; ++i) {
            Json config = make_config("127.0.0.1:1", directory_.address());
            config["name"] = "n" + std::to_string(i);
            config["settings"]["n_instances"] = plan_.forwarders;
            config["settings"]["me"] = i;
            config["settings"]["family_info"]["slots"] = 64;
            config["settings"]["limits"]["most_held"] = 400;
            config["limits"]["sockets"] = 1024;
            for (Json& kind : config["settings"]["classes"]) kind["hard_limit_ms"] = kDeadline.count();
            nodes_.push_back(std::make_unique<Node>(config, plan_.program));
            nodes_.back()->start_ready();
            ClientPlan client;
            client.forwarder = i;
            client.address = nodes_.back()->address();
            client.per_second = plan_.messages_per_second / static_cast<double>(plan_.forwarders);
            client.deadline = kDeadline;
            client.destinations = plan_.destinations;
            clients_.push_back(std::make_unique<ClientLoad>(io_, client, random_, observations_));
        }
    }

    Node& any_node() { return *nodes_[random_() % nodes_.size()]; }
    milliseconds up_to(milliseconds most) {
        return milliseconds(
            1 + static_cast<milliseconds::rep>(random_() % static_cast<std::uint64_t>(most.count())));
    }
    void schedule_hold_up() {
        fault_timer_.expires_after(up_to(kHoldUpEvery));
        fault_timer_.async_wait([this](auto cancelled) {
            if (cancelled) return;
            hold_up(any_node().pid());
            schedule_hold_up();
        });
    }
    void hold_up(pid_t process) {
        if (process <= 0) return;  // it is down
        ::kill(process, SIGSTOP);
        auto timer = std::make_shared<boost::asio::steady_timer>(io_, up_to(kLongestHoldUp));
        timer->async_wait([timer, process](auto) { ::kill(process, SIGCONT); });
    }
    void schedule_kill() {
        kill_timer_.expires_after(up_to(kKillEvery));
        kill_timer_.async_wait([this](auto cancelled) {
            if (cancelled) return;
            Node& node = any_node();
            node.kill();
            node.wait();
            down_ = &node;
            kill_timer_.expires_after(kDownTime);
            kill_timer_.async_wait([this](auto stopped) {
                start_killed();
                if (!stopped) schedule_kill();
            });
        });
    }
    void start_killed() {
        if (Node* node = std::exchange(down_, nullptr)) node->start();
    }
    void stop_faults() {
        fault_timer_.cancel();
        kill_timer_.cancel();
        io_.poll();
        start_killed();
    }

    void read_final_statuses() {
        for (const Json& notice : directory_.notices()) {
            const auto found = observations_.messages.find(notice.at("ref").get<std::string>());
            if (found != observations_.messages.end())
                found->second.final_statuses.push_back(notice.at("result").get<std::string>());
        }
    }

    const SoakPlan& plan_;
    std::mt19937_64 random_;
    Directory directory_;
    boost::asio::io_context io_{1};
    Observations observations_;
    boost::asio::steady_timer fault_timer_, kill_timer_;
    std::vector<std::unique_ptr<FaultyTarget>> targets_;
    std::vector<std::unique_ptr<ClientLoad>> clients_;
    std::vector<std::unique_ptr<Node>> nodes_;
    Node* down_ = nullptr;
};

}  // namespace

SoakResult play(const SoakPlan& plan) { return Run(plan).play(); }

}  // namespace lockgw::rig::soak
