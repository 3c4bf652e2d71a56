#include "core/maintenance.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>

#include "base/read_file.hpp"
#include "base/write_all.hpp"
#include "core/clocks.hpp"
#include "logging/log.hpp"

namespace lockgw {

using work::Change;
using work::Machine;
using work::Number;
using What = work::Change::What;

namespace {

constexpr const char* kRecordFile = "work";  // in the state folder
constexpr auto kRoundInterval = std::chrono::milliseconds(200);
constexpr std::int64_t kDayMinutes = 24 * 60;

/// Replaces the file atomically and syncs it to disk. A vote that is lost in a power cut after it was sent
/// would break the agreement, which is worse than not voting.
bool write_durably(const std::filesystem::path& path, const std::string& bytes) {
    auto temporary = path;
    temporary += ".new";
    const Descriptor file(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    std::error_code failed;
    bool written = file.get() >= 0 && write_all(file.get(), bytes) && ::fdatasync(file.get()) == 0;
    if (written) std::filesystem::rename(temporary, path, failed);
    written = written && !failed;
    if (!written) std::filesystem::remove(temporary, failed);
    return written;
}

}  // namespace

Maintenance::Maintenance(
    asio::io_context& io, const Config& config, ClusterMembership& cluster, Callbacks callbacks)
    : io_(io), config_(config), cluster_(cluster), callbacks_(std::move(callbacks)), timer_(io) {}

void Maintenance::start() {
    if (!config_.work.on || !cluster_.enabled()) return;
    const auto path = config_.state / kRecordFile;
    const std::string stored = read_file(path).value_or("");
    work::CrewSettings settings;
    settings.own = static_cast<Number>(config_.settings.own_number), settings.members = member_count();
    settings.process = cluster_.incarnation(), settings.seed = config_.seed ^ settings.process;
    coordinator_.emplace(settings, stored, steady_now());
    if (!coordinator_->read())
        log::error("work", "the record cannot be read: this forwarder does not vote", {});
    logged_state_ = coordinator_->state();
    cluster_.on_maintenance_section([this](Number from, const notes::Section& section) {
        const auto message = work::message_of(section.bytes);
        if (!message) return void(++unreadable_messages_);
        coordinator_->heard(from, *message, steady_now());
        step();
    });
    log::info("work", "maintenance coordination started",
        {{"votes", coordinator_->votes()}, {"joined", coordinator_->joined()},
            {"phase", text_of(coordinator_->phase())}, {"fence", coordinator_->fence()},
            {"version", coordinator_->state().version}});
    run_round();
}

const std::set<std::uint64_t>& Maintenance::targets_out() const {
    static const std::set<std::uint64_t> none;
    return coordinator_ ? coordinator_->targets_out() : none;
}
const std::optional<work::Plan>& Maintenance::plan() const {
    static const std::optional<work::Plan> none;
    return coordinator_ ? coordinator_->plan() : none;
}

void Maintenance::run_round() {
    step();
    timer_.call_after(kRoundInterval, [this] { run_round(); });
}

work::Sight Maintenance::observe() {
    work::Sight sight;
    const tier::Watch& detector = *cluster_.failure_detector();
    const auto now = steady_now();
    const tier::Time longest_call = std::chrono::seconds(config_.work.longest_call_s);
    sight.sure = detector.sure(now);
    for (Number i = 0; i < member_count(); ++i) {
        if (i == config_.settings.own_number) continue;
        const auto row = detector.row(i, now);
        const bool gone = row.state == tier::State::Gone, left = row.state == tier::State::Left;
        if (gone || left) sight.gone.push_back(i);
        // A forwarder that left may still deliver its backlog; it sends heartbeats for as long as it does.
        if ((gone && row.since > longest_call) || (left && row.age > longest_call))
            sight.long_gone.push_back(i);
    }
    sight.minute = static_cast<unsigned>(unix_ms() / 60'000 % kDayMinutes);
    for (const auto& [machine, fence] : coordinator_->to_work_on())
        if (const auto finished = finished_tasks_.find(fence); finished != finished_tasks_.end())
            (finished->second ? sight.over : sight.broken).insert(machine);
    callbacks_.observe(sight);
    warm_ = sight.serves && sight.warm;
    return sight;
}

/// Observes the local state and carries out what follows from it. The record is persisted before any message
/// is sent; if that fails, the messages are dropped.
void Maintenance::step() {
    coordinator_->tick(observe(), steady_now());
    run_tasks();
    if (coordinator_->changed() && !persist()) {
        coordinator_->keep_quiet();
    } else {
        std::vector<work::Message> to_self;
        for (auto& outgoing : coordinator_->out()) {
            if (outgoing.to == config_.settings.own_number)
                to_self.push_back(std::move(outgoing.message));
            else
                cluster_.send_section(outgoing.to, notes::Kind::Work, bytes_of(outgoing.message));
        }
        if (!to_self.empty())
            asio::post(io_, [this, to_self = std::move(to_self)] {
                for (const work::Message& message : to_self)
                    coordinator_->heard(
                        static_cast<Number>(config_.settings.own_number), message, steady_now());
                step();
            });
    }
    log_changes();
    for (const auto& answer : coordinator_->answers())
        if (const auto reply = pending_replies_.extract(answer.ticket))
            reply.mapped()(answer.done ? "" : answer.why);
    callbacks_.on_change();
}

bool Maintenance::persist() {
    const bool written = write_durably(config_.state / kRecordFile, coordinator_->stored());
    if (!written && ++failed_writes_ && std::exchange(record_kept_, false))
        log::error("work", "the record cannot be written: this forwarder sends no messages", {});
    if (written) record_kept_ = true;
    return written;
}

/// Runs the task of the plan for the machines that this forwarder may work on now.
void Maintenance::run_tasks() {
    const auto machines = coordinator_->to_work_on();
    std::erase_if(finished_tasks_, [&](const auto& task) {
        return std::none_of(machines.begin(), machines.end(),
            [&](const auto& machine) { return machine.second == task.first; });
    });
    if (const auto succeeded = hook_.poll(); succeeded && hook_target_) {
        finished_tasks_[hook_target_->second] = *succeeded;
        log::info("work", "the hook has ended",
            {{"machine", name_of(hook_target_->first)}, {"fence", hook_target_->second},
                {"well", *succeeded}});
        hook_target_.reset();
    }
    if (!plan() || machines.empty()) return;
    if (plan()->task == work::Task::Restart && coordinator_->phase() == work::Crew::Phase::Working &&
        !coordinator_->restarted() && !std::exchange(restarting_, true)) {
        // This step persists that the work has begun; the next process completes it.
        asio::post(io_, [this] {
            if (!coordinator_->changed()) return callbacks_.restart();
            restarting_ = false;  // the record could not be written (disk full): no restart
        });
    }
    if (plan()->task != work::Task::Hook || hook_.running()) return;
    for (const auto& [machine, fence] : machines) {
        if (finished_tasks_.contains(fence)) continue;
        hook_target_ = {machine, fence};
        const std::vector<std::string> environment{"LOCKGW_WORK_MACHINE=" + name_of(machine),
            "LOCKGW_WORK_FENCE=" + std::to_string(fence), "LOCKGW_WORK_PLAN=" + plan()->name};
        if (hook_.start(config_.work.hook, environment, std::chrono::seconds(config_.work.hook_s))) {
            log::info("work", "the hook was started", {{"machine", name_of(machine)}, {"fence", fence}});
        } else {
            log::error("work", "the hook cannot be started", {{"machine", name_of(machine)}});
            finished_tasks_[fence] = false, hook_target_.reset();
        }
        return;
    }
}

std::string Maintenance::name_of(Machine machine) const {
    if (machine == work::kNobody) return "nobody";
    if (!work::is_host(machine)) return std::to_string(machine);
    const auto index = plan() ? plan()->index_of(machine) : std::nullopt;
    return index ? plan()->machines[*index].name : "host " + std::to_string(machine);
}
std::optional<Machine> Maintenance::parse_machine(const std::string& text) const {
    if (text.empty()) return static_cast<Machine>(config_.settings.own_number);
    if (plan())
        for (const work::Place& place : plan()->machines)
            if (work::is_host(place.machine) && place.name == text) return place.machine;
    Machine number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || number >= member_count())
        return std::nullopt;
    return number;
}

void Maintenance::propose(const Change& change, Reply reply, std::string plan) {
    pending_replies_.emplace(coordinator_->want(change, std::move(plan)), std::move(reply));
    asio::post(io_, [this] { step(); });
}

void Maintenance::order(const std::string& command, const std::string& machine, Reply reply) {
    if (!coordinator_) return reply("orderly work is off: the operator's file has no [work] on = true");
    if (command == "join") {
        coordinator_->join();
        log::warn("work", "votes again by an operator's order", {});
        return step(), reply("");
    }
    static const std::map<std::string, What> kPlain{
        {"approve", What::Approve}, {"hold", What::Hold}, {"cancel", What::Cancel}};
    static const std::map<std::string, What> kForced{{"force-in", What::Drop}, {"force-out", What::Force}};
    Change change;
    if (const auto plain = kPlain.find(command); plain != kPlain.end()) {
        change.what = plain->second;
        return propose(change, std::move(reply));
    }
    const auto who = parse_machine(machine);
    if (!who) return reply("no forwarder and no host of the plan in force: \"" + machine + '"');
    change.machine = *who;
    if (const auto forced = kForced.find(command); forced != kForced.end()) {
        log::warn("work", "forced", {{"what", command}, {"machine", name_of(*who)}});
        change.what = forced->second;
        return propose(change, std::move(reply));
    }
    if (command != "done")
        return reply("approve, hold, cancel, done, force-in, force-out or join, not \"" + command + '"');
    const work::Out* out = coordinator_->state().out(*who);
    if (out == nullptr) return reply(name_of(*who) + " is not out");
    const auto machines = coordinator_->to_work_on();
    if (machines.contains(*who) &&
        (plan()->task == work::Task::Word || out->phase == work::Out::Phase::Broken)) {
        finished_tasks_[out->fence] = true;
        return step(), reply("");
    }
    if (!work::is_host(*who))
        return reply("give this order at forwarder " + name_of(*who) + ", where the work is done");
    if (out->phase == work::Out::Phase::Leaving) return reply("not all forwarders have stopped using it yet");
    change.what = What::Done, change.fence = out->fence;
    propose(change, std::move(reply));
}

void Maintenance::submit_plan(const std::string& bytes, bool approve, Reply reply) {
    if (!coordinator_) return reply("orderly work is off: the operator's file has no [work] on = true");
    const auto plan = work::plan_of(bytes);
    const std::string error = plan ? work::nonsense_of(*plan, member_count()) : "the plan cannot be read";
    if (!error.empty()) return reply(error);
    Change change;
    change.what = What::Plan, change.plan = work::digest_of(bytes), change.places = plan->machines.size();
    propose(
        change,
        [this, approve, reply = std::move(reply)](const std::string& why) {
            if (!why.empty() || !approve) return reply(why);
            order("approve", "", reply);
        },
        bytes);
}

void Maintenance::request_for_self(double for_s, const std::string& why, Reply reply) {
    work::Plan plan;
    plan.name = "request of " + std::to_string(config_.settings.own_number);
    plan.why = why.substr(0, 255);
    plan.each = work::Time(static_cast<work::Time::rep>(std::clamp(for_s, 1.0, 86'400.0) * 1e6));
    plan.least_in = 1;
    plan.machines = {{static_cast<Machine>(config_.settings.own_number), "", 0, {}, {}}};
    submit_plan(work::bytes_of(plan), true, std::move(reply));
}

/// Logs one line for each change since the last call.
void Maintenance::log_changes() {
    const work::State& state = coordinator_->state();
    const bool warm = coordinator_->phase() == work::Crew::Phase::Returning && warm_;
    if (warm && !warm_logged_)
        log::info("work", "this one", {{"phase", "warm"}, {"fence", coordinator_->fence()}});
    warm_logged_ = warm;
    if (logged_phase_ != coordinator_->phase()) {
        if (logged_phase_ || coordinator_->phase() != work::Crew::Phase::Serving)
            log::info("work", "this one",
                {{"phase", text_of(coordinator_->phase())}, {"fence", coordinator_->fence()}});
        logged_phase_ = coordinator_->phase();
    }
    if (state.version == logged_state_.version) return;
    if (state.epoch != logged_state_.epoch || state.mode != logged_state_.mode)
        log::info("work", "the plan",
            {{"is", text_of(state.mode)}, {"why", text_of(state.reason)}, {"about", name_of(state.about)},
                {"plan", plan() ? plan()->name : "not known here yet"}, {"epoch", state.epoch}});
    for (const work::Out& out : state.outs) {
        const work::Out* before = logged_state_.out(out.machine);
        if (before == nullptr || before->fence != out.fence || before->phase != out.phase)
            log::info("work", "out",
                {{"machine", name_of(out.machine)}, {"is", text_of(out.phase)}, {"fence", out.fence},
                    {"steward", out.steward}});
    }
    for (const work::Out& out : logged_state_.outs)
        if (state.out(out.machine) == nullptr)
            log::info("work", "in",
                {{"machine", name_of(out.machine)}, {"fence", out.fence}, {"done", state.done_count()}});
    logged_state_ = state;
}

Json Maintenance::status() {
    if (!coordinator_)
        return {{"on", false}, {"why", "the operator's file has no [work] on = true, or no [tier]"}};
    const auto now = steady_now();
    const work::State& state = coordinator_->state();
    Json outs = Json::array(), next = Json::array(), done = Json::array();
    for (const work::Out& out : state.outs) {
        const auto left = coordinator_->lease_left(out.fence, now);
        outs.push_back({{"machine", name_of(out.machine)}, {"is", text_of(out.phase)}, {"fence", out.fence},
            {"steward", out.steward}, {"renewed", out.term},
            {"left_ms", left ? Json(left->count() / 1000) : Json()}});
    }
    const auto order = coordinator_->order(observe(), now);
    for (const Machine machine : order.next) next.push_back(name_of(machine));
    if (plan())
        for (std::size_t i = 0; i < plan()->machines.size(); ++i)
            if (state.is_done(i)) done.push_back(name_of(plan()->machines[i].machine));
    Json about = nullptr;
    if (plan())
        about = {{"name", plan()->name}, {"why", plan()->why}, {"task", text_of(plan()->task)},
            {"overdue", text_of(plan()->overdue)}, {"most_out", plan()->most_out},
            {"each_s", static_cast<double>(plan()->each.count()) / 1e6},
            {"machines", plan()->machines.size()}};
    Json voters = Json::array();
    for (const Number voter : coordinator_->voters()) voters.push_back(voter);
    const auto& counts = coordinator_->counts();
    return {{"on", true}, {"mode", text_of(state.mode)}, {"reason", text_of(state.reason)},
        {"about", name_of(state.about)}, {"epoch", state.epoch}, {"version", state.version},
        {"plan", std::move(about)}, {"outs", std::move(outs)}, {"next", std::move(next)},
        {"waits", order.waits}, {"done", std::move(done)},
        {"own", {{"phase", text_of(coordinator_->phase())}, {"fence", coordinator_->fence()},
                    {"votes", coordinator_->votes()}, {"joined", coordinator_->joined()},
                    {"keeps", record_kept_}}},
        {"voters", std::move(voters)},
        {"proposals",
            {{"begun", counts.proposals}, {"refused", counts.refused}, {"chosen", counts.chosen},
                {"foreign", counts.foreign}, {"unread", unreadable_messages_}, {"unkept", failed_writes_}}}};
}

}  // namespace lockgw
