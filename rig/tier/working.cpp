#include "rig/tier/working.hpp"

#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <ctime>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "control/client.hpp"

namespace lockgw::rig::tier {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr double kKnown_s = 5;  // a fault so old is known to all that hear of anybody

double seconds_of(const std::string& at, std::int64_t begun_ms) {
    std::tm utc{};
    if (strptime(at.c_str(), "%Y-%m-%dT%H:%M:%S", &utc) == nullptr || at.size() < 23) return -1;
    const std::int64_t ms = static_cast<std::int64_t>(timegm(&utc)) * 1000 + std::atoi(at.c_str() + 20);
    return static_cast<double>(ms - begun_ms) / 1000;
}

}  // namespace

std::vector<Absence> absences(const std::vector<std::string>& logs, std::int64_t begun_ms, double end_s) {
    std::vector<Absence> all;
    for (std::size_t who = 0; who < logs.size(); ++who) {
        std::istringstream log(logs[who]);
        constexpr double kNever = -1e9;
        double since = kNever;
        for (std::string text; std::getline(log, text);) {
            if (text.find("\"part\":\"work\"") == std::string::npos) continue;
            const auto line = json::parse(text, nullptr, false);
            if (line.is_discarded() || line.value("what", "") != "this one") continue;
            const double at = seconds_of(line.value("at", ""), begun_ms);
            // warm: it serves again, and says so to the others
            const std::string phase = line.value("phase", "");
            const bool away = phase != "serving" && phase != "warm";
            if (away && since == kNever) since = at;
            if (!away && since != kNever) all.push_back({who, since, at, true}), since = kNever;
        }
        if (since != kNever) all.push_back({who, since, end_s, true});
    }
    return all;
}

Working working(std::vector<Absence> all, std::size_t allowed, double end_s) {
    Working found;
    found.asked = true, found.allowed = allowed;
    std::vector<double> moments;
    for (const Absence& one : all) moments.push_back(one.from_s);
    const auto at = [&all](double moment, bool faults, double age) {
        std::set<std::size_t> who;
        for (const Absence& one : all)
            if ((one.by_plan ? moment >= one.from_s : faults && moment >= one.from_s + age) &&
                moment < one.to_s)
                who.insert(one.who);
        return who.size();
    };
    for (const double moment : moments) {
        found.most_out = std::max(found.most_out, at(moment, false, 0));
        found.most_gone = std::max(found.most_gone, at(moment, true, 0));
    }
    for (const Absence& one : all) found.broken += one.by_plan && at(one.from_s, true, kKnown_s) > allowed;
    for (double second = 0; second < end_s; ++second) found.out_by_second.push_back(at(second, true, 0));
    return found;
}

Supervisor::Supervisor(const Scenario& scenario, std::vector<std::unique_ptr<Node>>& nodes)
    : scenario_(scenario), all_(nodes) {}
Supervisor::~Supervisor() {
    {
        const std::lock_guard lock(nodes_lock_);
        ending_ = true;
    }
    if (thread_.joinable()) thread_.join();
}

void Supervisor::begin(std::chrono::steady_clock::time_point begun) {
    begun_ = begun;
    faulty_.assign(all_.size(), false), ended_s_.assign(all_.size(), -1);
    thread_ = std::thread([this] {
        for (;;) {
            {
                const std::lock_guard lock(nodes_lock_);
                if (ending_) return;
                if (!resting_) look();
            }
            std::this_thread::sleep_for(30ms);
        }
    });
}
void Supervisor::rest() {
    const std::lock_guard lock(nodes_lock_);
    resting_ = true;
}
void Supervisor::by_fault(std::size_t node, bool down) {
    if (node < faulty_.size()) faulty_[node] = down, ended_s_[node] = -1;
}

double Supervisor::now_s() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begun_).count();
}

void Supervisor::look() {
    const Scenario::Work& work = scenario_.work;
    const double now = now_s();
    for (std::size_t i = 0; i < all_.size(); ++i) {
        if (faulty_[i]) continue;
        siginfo_t is{};
        if (ended_s_[i] < 0) {
            // without taking it away: wait() is the node's
            if (::waitid(P_PID, static_cast<id_t>(all_[i]->pid()), &is, WEXITED | WNOHANG | WNOWAIT) == 0 &&
                is.si_pid != 0)
                ended_s_[i] = now;
            if (ended_s_[i] >= 0 && (is.si_code != CLD_EXITED || is.si_status != 0)) {
                const std::string log = all_[i]->log();
                odd_ = std::to_string(is.si_status) + ": " +
                       log.substr(log.size() - std::min<std::size_t>(log.size(), 600));
            }
        } else if (now - ended_s_[i] >= work.down_s) {
            all_[i]->wait();
            all_[i]->start();
            ended_s_[i] = -1;
        }
    }
    if (now < work.at_s || took_s_ >= 0) return;
    if (work.unguarded) return script();
    if (now - looked_s_ < 0.5) return;
    looked_s_ = now;
    order();
}

/// Any that runs will do; the first to answer hears the plan.
void Supervisor::order() {
    for (std::size_t i = 0; i < all_.size(); ++i) {
        const auto& node = all_[(next_ + i) % all_.size()];
        if (faulty_[(next_ + i) % all_.size()] || ended_s_[(next_ + i) % all_.size()] >= 0) continue;
        next_ = (next_ + i) % all_.size();
        try {
            const auto ask = [&](const json& args) {
                return control::ask(node->state() / "control", "work", args);
            };
            if (ordered_s_ < 0) {
                const Scenario::Work& work = scenario_.work;
                std::ostringstream plan;
                plan << "name = \"restart\"\ntask = \"restart\"\noverdue = \"" << (work.back ? "back" : "out")
                     << "\"\nmost_out = " << work.most_out << "\neach_s = " << work.each_s
                     << "\nforwarders = \"0-" << all_.size() - 1 << "\"\n";
                ask({{"do", "plan"}, {"text", plan.str()}, {"approve", true}});
                ordered_s_ = now_s();
                return;
            }
            const json status = ask({{"do", "status"}});
            if (status.at("mode") == "finished") took_s_ = now_s() - ordered_s_;
            // the person at the rig: what was held for one that took too long goes on
            if (status.at("mode") == "held") ask({{"do", "approve"}});
            return;
        } catch (const std::exception&) {
            next_ = (next_ + 1) % all_.size();
            return;  // the next one, at the next look
        }
    }
}

/// So many at a time, by the clock and their own ends, whatever else is down.
void Supervisor::script() {
    const double now = now_s();
    if (ordered_s_ < 0) ordered_s_ = now;
    const bool back = std::all_of(
        group_.begin(), group_.end(), [this](std::size_t i) { return ended_s_[i] < 0 || faulty_[i]; });
    const bool waits = !group_.empty() && now - scripted_.back().from_s < scenario_.work.down_s + 4.5;
    if (!back || waits) return;
    for (Absence& one : scripted_)
        if (one.to_s < 0) one.to_s = now;
    group_.clear();
    for (; group_.size() < scenario_.work.most_out && next_ < all_.size(); ++next_) {
        if (faulty_[next_]) continue;
        all_[next_]->terminate();
        group_.push_back(next_);
        scripted_.push_back({next_, now, -1, true});
    }
    if (group_.empty()) took_s_ = now - ordered_s_;
}

}  // namespace lockgw::rig::tier
