#include "rig/tier/tier.hpp"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <cmath>
#include <csignal>
#include <fstream>
#include <future>
#include <map>
#include <random>
#include <set>
#include <thread>

#include "lab/return_budget.hpp"
#include "rig/node.hpp"
#include "rig/tier/agents.hpp"
#include "rig/tier/clients.hpp"
#include "rig/tier/latency.hpp"
#include "rig/tier/partner.hpp"
#include "rig/tier/relay.hpp"

namespace lockgw::rig::tier {

using namespace std::chrono_literals;
using What = Fault::What;

namespace {

constexpr double kInTime_s = 1.5;
constexpr auto kAfter = 5500ms;  // the last messages' time, and a little

class Counter {
public:
    void begin(Clock::time_point at) { begun_ = at; }
    void count() {
        const double at = std::chrono::duration<double>(Clock::now() - begun_).count() * 10;
        if (begun_ == Clock::time_point() || at < 0 || at >= 36'000) return;
        const auto slot = static_cast<std::size_t>(at);
        if (slot >= slots_.size()) slots_.resize(slot + 1);
        ++slots_[slot];
    }
    std::uint32_t most(double from_s) const { return tier::most(slots_, from_s, 3600); }
    const Slots& slots() const { return slots_; }

private:
    Clock::time_point begun_{};
    Slots slots_;
};

class Tier {
public:
    Tier(const Scenario& scenario, const std::string& program,
        const std::map<std::string, std::string>& environment)
        : scenario_(scenario),
          notes_(io_, scenario.forwarders, scenario.seed),
          partner_(io_, scenario, [this](const std::string& id) { clients_->delivered(id); }),
          agents_(io_, scenario.forwarders, [this](std::size_t one) { return members(one); }),
          gone_(scenario.targets),
          age_(scenario.targets),
          since_ms_(scenario.targets) {
        for (const Fault& fault : scenario.faults)  // relays stand only where a fault wants them
            if (fault.what == What::Link)
                for (std::size_t i = fault.who.first; i <= fault.who.last; ++i) {
                    const auto target = static_cast<std::size_t>(fault.value);
                    auto& relay = relays_[{i, target}];
                    if (!relay) relay = std::make_unique<TcpRelay>(io_, partner_.address(target));
                }
        std::vector<Tcp::endpoint> addresses;
        for (std::size_t i = 0; i < scenario.forwarders; ++i) {
            std::unique_ptr<Node> node;
            do {  // each has its port for itself only once it runs
                node = std::make_unique<Node>(config(i), program);
            } while (std::find(addresses.begin(), addresses.end(), node->address()) != addresses.end());
            for (const auto& [name, value] : environment) node->set_environment(name, value);
            if (scenario.watch) {
                const auto path = node->folder() / "operator.toml";
                std::ofstream(path) << "[tier]\non = true\n[log]\nform = \"json\"\n"
                                    << (scenario.work.most_out > 0 ? "[work]\non = true\n" : "");
                node->set_environment("LOCKGW_CONFIG", path.string());
            }
            addresses.push_back(node->address());
            nodes_.push_back(std::move(node));
        }
        for (const Fault& fault : scenario.faults)
            if (fault.what == What::Clients)
                for (std::size_t i = fault.who.first; i <= fault.who.last; ++i) {
                    auto& relay = client_relays_[i];
                    if (relay) continue;
                    relay = std::make_unique<TcpRelay>(io_, addresses[i]);
                    addresses[i] = relay->address();
                }
        partner_.on_accept = [this] { connects_.count(); };
        notes_.on_note = [this] { notes_sent_.count(); };
        agents_.on_asked = [this] { asked_.count(); };
        clients_ = std::make_unique<Clients>(io_, scenario_, std::move(addresses));
        thread_ = std::thread([this] {
            const auto work = boost::asio::make_work_guard(io_);
            io_.run();
        });
    }
    ~Tier() {
        io_.stop();
        thread_.join();
    }

    Result play(const Progress& progress) {
        const auto say = [&](const std::string& text) {
            if (progress) progress(text);
        };
        say("starting " + std::to_string(nodes_.size()) + " forwarders");
        for (const auto& node : nodes_) node->start();
        for (const auto& node : nodes_) ready(*node);
        const auto cpu_before = cpu();
        const auto begun = Clock::now() + 200ms;
        const std::int64_t begun_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch() + 200ms)
                                          .count();
        on_loop([&] {
            partner_.begin(begun);
            for (Counter* one : {&connects_, &notes_sent_, &asked_}) one->begin(begun);
        });
        clients_->begin(begun);
        if (scenario_.work.most_out > 0) supervisor_.begin(begun);
        std::multimap<double, std::function<void()>> steps;
        double last_fault = -1;
        for (const Fault& fault : scenario_.faults) {
            last_fault = std::max(last_fault, fault.at_s);
            steps.emplace(fault.at_s, [this, fault, say] { set(fault, true), say("fault begins"); });
            if (fault.what == What::Old)
                steps.emplace(std::max(0.0, fault.at_s - fault.value), [this, fault] { copy(fault); });
            if (fault.for_s > 0)
                steps.emplace(
                    fault.at_s + fault.for_s, [this, fault, say] { set(fault, false), say("fault ends"); });
        }
        if (progress)
            for (double at = 1; at < scenario_.seconds; ++at)
                steps.emplace(at, [this, at, say] { say(so_far(at)); });
        for (const auto& [at, step] : steps) {
            std::this_thread::sleep_until(begun + std::chrono::milliseconds(static_cast<int>(at * 1000)));
            step();
        }
        std::this_thread::sleep_until(
            begun + std::chrono::milliseconds(static_cast<int>(scenario_.seconds * 1000)));
        say("traffic ends");
        std::this_thread::sleep_for(kAfter);
        supervisor_.rest();
        Result result;
        for (const auto& node : nodes_) result.crashed += ended(*node);
        const double used = cpu() - cpu_before;
        on_loop([&] { count(result, last_fault); });
        if (scenario_.watch) {
            std::vector<std::string> logs;
            for (const auto& node : nodes_) logs.push_back(node->log());
            result.watched = watching(scenario_, logs, begun_ms);
            if (scenario_.work.most_out > 0) count_work(result, absences(logs, begun_ms, scenario_.seconds));
        } else if (scenario_.work.most_out > 0) {
            count_work(result, supervisor_.scripted());
        }
        result.cpu_us_a_message =
            clients_->jobs().empty() ? 0 : used * 1e6 / static_cast<double>(clients_->jobs().size());
        return result;
    }

private:
    template <class Step>
    void on_loop(Step step) {
        std::promise<void> done;
        boost::asio::post(io_, [&] { step(), done.set_value(); });
        done.get_future().wait();
    }

    std::string so_far(double at) {
        std::size_t come = 0, over = 0, timely = 0;
        on_loop([&] {
            for (const Job& job : clients_->jobs()) {
                ++come;
                if (job.begun_s > at - kInTime_s) continue;
                ++over, timely += job.delivered_s >= 0 && job.delivered_s - job.begun_s <= kInTime_s;
            }
        });
        return "second " + std::to_string(static_cast<int>(at)) + " of " +
               std::to_string(static_cast<int>(scenario_.seconds)) + ": " + std::to_string(come) +
               " messages, " + std::to_string(timely) + " of " + std::to_string(over) + " in time";
    }

    std::string target_id(std::size_t target) const {
        return "t-" + std::to_string(target) + (age_[target] > 0 ? "-" + std::to_string(age_[target]) : "");
    }
    Json members(std::size_t one) const {
        Json all = Json::array();
        for (std::size_t i = 0; i < scenario_.targets; ++i) {
            if (gone_[i]) continue;
            const auto relay = relays_.find({one, i});
            all.push_back({{"id", target_id(i)},
                {"host_port",
                    text_of(relay == relays_.end() ? partner_.address(i) : relay->second->address())},
                {"locality", "a"}, {"flavor", "shop"}, {"cell", 7}, {"phase", "in_service"}, {"size", 1.0},
                {"up_since_ms", since_ms_[i]}});
        }
        return all;
    }
    static std::string text(const Udp::endpoint& at) {
        return at.address().to_string() + ":" + std::to_string(at.port());
    }
    Json config(std::size_t one) const {
        Json config = make_config("127.0.0.1:1", agents_.address(one));
        std::seed_seq seeds{scenario_.seed, static_cast<std::uint64_t>(one)};
        std::uint32_t words[2];
        seeds.generate(words, words + 2);
        char seed[17];
        std::snprintf(seed, sizeof seed, "%08x%08x", words[0], words[1]);
        config["name"] = "n" + std::to_string(one);
        config["seed"] = seed;
        Json& settings = config["settings"];
        for (Json& kind : settings["classes"]) kind["aim_ms"] = 1500, kind["hard_limit_ms"] = 5000;
        settings["n_instances"] = scenario_.forwarders;
        if (scenario_.numbered) settings["me"] = one;
        settings["family_info"] = {{"slots", 12}, {"routes_apart", {scenario_.apart}}, {"per_call", {1}}};
        settings["limits"]["most_held"] = 140;
        settings["limits"]["peers"] = scenario_.notes;
        if (scenario_.notes) {
            config["peer_listen"] = text(notes_.own(one));
            for (std::size_t i = 0; i < scenario_.forwarders; ++i)
                config["peers"].push_back(text(notes_.stand_in(i)));
        }
        if (!scenario_.discovery) config.erase("discovery");
        config["known"] = agents_.list(one);
        return config;
    }
    static void ready(Node& node) {
        const auto until = Clock::now() + kDeadline;
        while (Clock::now() < until) try {
                if (node.client().ask({"PING"}) == "+PONG") return;
            } catch (const boost::system::system_error&) {
                std::this_thread::sleep_for(10ms);
            }
        throw std::runtime_error("a forwarder is not ready: " + node.log());
    }
    bool ended(const Node& node) const { return ::kill(node.pid(), 0) != 0 || node.descriptors() == 0; }
    double cpu() const {
        double all = 0;
        for (const auto& node : nodes_) try {
                all += node->cpu_seconds();
            } catch (const std::exception&) {
            }
        return all;
    }

    /// Beside what was done to them.
    void count_work(Result& result, std::vector<Absence> all) {
        std::set<std::size_t> done;
        for (Absence& one : all) {
            done.insert(one.who);
            if (one.to_s < 0) one.to_s = scenario_.seconds;
        }
        for (const Fault& fault : scenario_.faults) {
            if (!starts_anew(fault.what) && fault.what != What::Stop) continue;
            const double end = fault.for_s > 0 ? fault.at_s + fault.for_s : scenario_.seconds;
            for (std::size_t i = fault.who.first; i <= fault.who.last; ++i)
                all.push_back({i, fault.at_s, end, false});
        }
        result.worked = working(std::move(all), scenario_.work.most_out, scenario_.seconds);
        result.worked.odd = supervisor_.odd();
        result.worked.done = done.size(), result.worked.took_s = supervisor_.took_s();
    }
    void set(const Fault& fault, bool on) {
        const std::lock_guard lock(supervisor_.nodes());
        for (std::size_t i = fault.who.first; starts_anew(fault.what) && i <= fault.who.last; ++i)
            supervisor_.by_fault(i, on);
        for (std::size_t i = fault.who.first; i <= fault.who.last; ++i) {
            if (starts_anew(fault.what)) {
                on ? end(fault, *nodes_[i]) : nodes_[i]->start();
            } else if (fault.what == What::Stop) {
                ::kill(nodes_[i]->pid(), on ? SIGSTOP : SIGCONT);
            } else {
                on_loop([&] { set_on_loop(fault, i, on); });
            }
        }
        if (fault.what == What::Leave) on_loop([&] { agents_.changed(); });
    }
    static bool starts_anew(What what) {
        return what == What::Kill || what == What::Forget || what == What::Old;
    }
    void end(const Fault& fault, Node& node) {
        namespace fs = std::filesystem;
        std::error_code ignored;
        const auto copy = node.folder() / "copy";
        node.kill(), node.wait();
        if (fault.what != What::Kill) fs::remove_all(node.state(), ignored);
        if (fault.what == What::Old) fs::rename(copy, node.state(), ignored);
    }
    void copy(const Fault& fault) {
        for (std::size_t i = fault.who.first; i <= fault.who.last; ++i)
            copy_files(nodes_[i]->state(), nodes_[i]->folder() / "copy");
    }
    std::chrono::milliseconds span_of(const Fault& fault) const {
        const double seconds = fault.for_s > 0 ? fault.for_s : scenario_.seconds;
        return std::chrono::milliseconds(static_cast<std::int64_t>(1000 * seconds));
    }
    void set_on_loop(const Fault& fault, std::size_t i, bool on) {
        switch (fault.what) {
            case What::Notes:
                return void(notes_.fault(i).lost = on ? fault.value : 0);
            case What::Late:
                return void(notes_.fault(i).late_s = on ? fault.value : 0);
            case What::Spoil:
                return void(notes_.fault(i).spoilt = on ? fault.value : 0);
            case What::Double:
                return void(notes_.fault(i).doubled = on ? fault.value : 0);
            case What::Cut: {
                NoteMesh::Fault& one = notes_.fault(i);
                one.island = on ? static_cast<int>(fault.value) : 0;
                one.mute = fault.direction != Fault::Direction::Back;
                one.deaf = fault.direction != Fault::Direction::Out;
                return;
            }
            case What::Pair: {
                const auto other = static_cast<std::size_t>(fault.value);
                if (fault.direction != Fault::Direction::Back) notes_.pair(i, other, on);
                if (fault.direction != Fault::Direction::Out) notes_.pair(other, i, on);
                return;
            }
            case What::Clients:
                return client_relays_.at(i)->silence(on && fault.direction != Fault::Direction::Out,
                    on && fault.direction != Fault::Direction::Back);
            case What::Discovery:
                return agents_.silence(i, on);
            case What::Slow:
                return partner_.slow(i, on ? fault.value : 1);
            case What::Errors:
                return partner_.mode(i, on ? Partner::Mode::Errors : Partner::Mode::Well);
            case What::Hang:
                return partner_.mode(i, on ? Partner::Mode::Hang : Partner::Mode::Well);
            case What::Refuse:
                if (on) partner_.refuse_for(i, span_of(fault));
                return;
            case What::Die:
                if (on) partner_.die_for(i, span_of(fault));
                return;
            case What::Limit:
                return partner_.limit(on ? fault.value : 1);
            case What::Leave:
                gone_[i] = on;
                if (on) return;
                ++age_[i];
                since_ms_[i] = std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                                   .count();
                return partner_.cold(i);
            case What::Link:
                return relays_.at({i, static_cast<std::size_t>(fault.value)})
                    ->silence(on && fault.direction != Fault::Direction::Back,
                        on && fault.direction != Fault::Direction::Out);
            default:
                return;
        }
    }

    void count(Result& result, double last_fault) {
        result.seed = scenario_.seed, result.name = scenario_.name;
        const auto seconds = static_cast<std::size_t>(std::ceil(scenario_.seconds));
        const auto from = static_cast<std::size_t>(std::ceil(scenario_.warm_s));
        result.load.assign(scenario_.targets, std::vector<int>(seconds));
        std::mt19937_64 random(scenario_.seed);
        auto chance = result.load;
        result.refused_by_second.assign(seconds, 0);
        for (const auto& call : partner_.calls()) {
            if (call.at_s < 0 || call.at_s >= static_cast<float>(seconds)) continue;
            const auto second = static_cast<std::size_t>(call.at_s);
            ++result.load[call.target][second];
            ++chance[random() % scenario_.targets][second];
            result.refused_by_second[second] += call.refused;
            if (second < from) continue;
            ++result.calls, result.refused += call.refused;
        }
        result.seen = evenness(result.load, from), result.chance = evenness(chance, from);
        Latency spans;
        std::map<std::size_t, std::pair<std::size_t, std::size_t>> by_second;  // come, in time
        for (const Job& job : clients_->jobs()) {
            const double span = job.delivered_s - job.begun_s;
            const bool in_time = job.delivered_s >= 0 && span <= kInTime_s;
            auto& [come, timely] = by_second[static_cast<std::size_t>(job.begun_s)];
            ++come, timely += in_time;
            result.doubled += job.effects > 1;
            if (job.begun_s < scenario_.warm_s) continue;
            ++result.messages, result.in_time += in_time, result.delivered += job.delivered_s >= 0;
            if (job.delivered_s >= 0) spans.add(span * 1000);
        }
        result.p50_ms = spans.quantile(0.5), result.p99_ms = spans.quantile(0.99);
        result.latency = spans.steps();
        result.timely.assign(seconds, -1);
        for (const auto& [second, of] : by_second)
            if (second < seconds)
                result.timely[second] = static_cast<double>(of.second) / static_cast<double>(of.first);
        for (auto second = by_second.rbegin(); last_fault >= 0 && second != by_second.rend(); ++second) {
            if (static_cast<double>(second->first) < last_fault) break;
            if (static_cast<double>(second->second.second) < 0.95 * static_cast<double>(second->second.first))
                break;
            result.back_s = static_cast<double>(second->first) - last_fault;
        }
        count_return(result);
        count_outages(result);
        result.connections = partner_.connections();
        result.reset_above_limit = partner_.reset_above_limit();
        result.peak_connects = connects_.most(scenario_.warm_s);
        result.peak_notes = notes_sent_.most(scenario_.warm_s);
        result.peak_asked = asked_.most(scenario_.warm_s);
        result.notes = notes_.notes(), result.note_bytes = notes_.bytes();
        result.dead = agents_.dead(), result.bounced = agents_.bounced();
    }

    void count_return(Result& result) {
        double first = scenario_.seconds, started = -1;
        for (const Fault& fault : scenario_.faults) {
            first = std::min(first, fault.at_s);
            if (starts_anew(fault.what) && fault.for_s > 0)
                started = std::max(started, fault.at_s + fault.for_s);
        }
        if (started < 0) return;
        result.returned = returning({scenario_.warm_s, first, started, kInTime_s, connects_.slots(),
            notes_sent_.slots(), asked_.slots(), clients_->jobs(), partner_.calls()});
    }

    /// What each target got after it had died and come back, beside what it may get.
    void count_outages(Result& result) const {
        const Json contract = config(0).at("settings").at("contract");
        lab::ReturnBudget budget;
        budget.limit_per_s = scenario_.limit;
        budget.multiple = contract.at("fall_multiple");
        budget.cold_share = contract.at("cold_from");
        budget.window_s = contract.at("fall_ms").get<double>() / 1000;
        budget.warm_s = contract.at("warm_within_ms").get<double>() / 1000;
        for (const Fault& fault : scenario_.faults) {
            if (fault.what != What::Die || fault.for_s <= 0) continue;
            for (std::size_t target = fault.who.first; target <= fault.who.last; ++target) {
                const auto calls = calls_since(target, fault.at_s + fault.for_s);
                result.most_of_allowed =
                    std::max(result.most_of_allowed, lab::most_of_allowed(calls, budget));
            }
        }
    }
    std::vector<double> calls_since(std::size_t target, double from_s) const {
        std::vector<double> since;
        for (const auto& call : partner_.calls())
            if (call.target == target && call.at_s >= from_s) since.push_back(call.at_s - from_s);
        return since;
    }

    const Scenario& scenario_;
    boost::asio::io_context io_;
    NoteMesh notes_;
    Partner partner_;
    Agents agents_;
    std::vector<bool> gone_;
    std::vector<int> age_;
    std::vector<std::int64_t> since_ms_;
    std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<TcpRelay>> relays_;
    std::map<std::size_t, std::unique_ptr<TcpRelay>> client_relays_;
    Counter connects_, notes_sent_, asked_;
    std::vector<std::unique_ptr<Node>> nodes_;
    Supervisor supervisor_{scenario_, nodes_};
    std::unique_ptr<Clients> clients_;
    std::thread thread_;
};

}  // namespace

Result run(const Scenario& scenario, const std::string& program, const Progress& progress,
    const std::map<std::string, std::string>& environment) {
    Tier tier(scenario, program, environment);
    Result result = tier.play(progress);
    result.program = program;
    return result;
}

}  // namespace lockgw::rig::tier
