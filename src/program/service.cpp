#include "program/service.hpp"

#include <csignal>
#include <utility>

#include "config/plan_file.hpp"
#include "deliveries/http/targets.hpp"
#include "fronts/resp2/clients.hpp"
#include "logging/log.hpp"
#include "program/commands.hpp"
#include "program/rows.hpp"
#include "program/signals.hpp"

namespace lockgw::program {
namespace {

constexpr std::chrono::milliseconds kReloadRequestPollInterval{25};

Protocols protocols() {
    return {[](auto& io, const Config& config, std::size_t most, Intake& intake) {
                return std::make_unique<Clients>(io, config, most, intake);
            },
        [](auto& io, const Config& config, std::size_t most, Delivery::Callbacks callbacks) {
            return std::make_unique<Targets>(io, config, most, std::move(callbacks));
        }};
}

std::optional<operations::Order> order_of(const std::string& what, const std::string& target) {
    using Kind = operations::Order::Kind;
    for (const Kind kind : {Kind::Ready, Kind::Offline, Kind::Online, Kind::OutOfService, Kind::InService})
        if (what == operations::text_of(kind)) return operations::Order{kind, target};
    return std::nullopt;
}

config::PlanScene plan_scene(Forwarder& forwarder) {
    config::PlanScene scene;
    scene.members = forwarder.maintenance().member_count();
    for (const auto& [destination, members] : forwarder.members().by_destination())
        for (const auto& one : members) scene.targets.push_back({one.id, destination, 1});
    scene.whole = !scene.targets.empty();
    scene.name_of = [&forwarder](std::int64_t number) { return forwarder.routes().destination_name(number); };
    return scene;
}

}  // namespace

Loaded loaded(const Sources& sources, const Loaded* running) {
    config::Problems problems(sources.operator_file.empty() ? "NODE_CONFIG" : sources.operator_file);
    if (sources.node_config.empty() && sources.operator_file.empty())
        throw std::runtime_error("NODE_CONFIG is not set, and there is no --config");
    auto fresh = load(sources, problems);
    if (fresh && fresh->config.state.empty())
        throw std::runtime_error("NODE_STATE is not set, and there is no --state");
    if (fresh && running != nullptr) check_running(*running, *fresh, problems);
    if (problems.empty()) return std::move(*fresh);
    std::string text = problems.text();
    text.pop_back();
    throw std::runtime_error(text);
}

Service::Service(const Sources& sources, const std::string& control, std::shared_ptr<const Loaded> loaded,
    handover::LockFiles& locks, int console)
    : sources_(sources),
      locks_(locks),
      reload_request_(loaded->config.state),
      // first: a SIGHUP during the start must not end the process either
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      running_(std::move(loaded)),
      forwarder_(io_, running_->config, protocols(), running_->table),
      server_(io_, verbs_),
      console_(io_, [this](const operations::Order& order) { return forwarder_.execute_order(order); }),
      worker_(io_),
      reload_request_timer_(io_) {
    log::set(running_->config.log);
    verbs_.add("status", [this](const Json&) { return status(); });
    verbs_.add("spread", [this](const Json&) { return forwarder_.subset_status(); });
    verbs_.add("tier", [this](const Json&) { return forwarder_.cluster_status(); });
    verbs_.add("routes", [this](const Json&) {
        return json_of(routes::routing_rows(
            {running_->file, forwarder_.routes(), running_->known, forwarder_.members()}));
    });
    verbs_.add("return", [this](const Json&) { return forwarder_.recovery_status(); });
    verbs_.add_later("capture", [this](const Json& args, control::Promise promise) {
        const std::string what = args.value("do", "");
        forwarder_.control_capture(what, [promise = std::move(promise), what](const std::string& wrong) {
            wrong.empty() ? promise(Json{{"done", what}}) : promise(control::Refused(wrong));
        });
    });
    verbs_.add_later(
        "work", [this](const Json& args, control::Promise promise) { work(args, std::move(promise)); });
    verbs_.add_later("reload", [this](const Json&, control::Promise promise) { reload(std::move(promise)); });
    verbs_.add("order", [this](const Json& args) { return ordered(args); });
    console_.work([this](const std::string& what, const std::string& machine, console::Server::Told told) {
        if (what == "status") return told(200, forwarder_.maintenance().status().dump() + '\n');
        forwarder_.maintenance().order(what, machine,
            [told = std::move(told)](const std::string& why) { told(why.empty() ? 200 : 409, why); });
    });
    if (console >= 0)
        console_.adopt(console);
    else if (running_->config.console)
        console_.listen(*running_->config.console);
    if (!control.empty())
        server_.listen(control);
    else if (!sources.operator_file.empty())
        listen_in_the_folder();
}

/// Nobody has asked for it by its path: where it cannot be had, messages are served all the same. (Seen after
/// a SIGKILL in one environment: the name was in use, and why it was not removed as a left socket is inferred
/// only.)
void Service::listen_in_the_folder() try {
    server_.listen(running_->config.state / kSocketName);
} catch (const std::exception& bad) {
    log::error("program", "there is no control socket", {{"why", bad.what()}});
}

Service::End Service::run() {
    heed();
    forwarder_.start();
    if (running_->config.listen_fd) {
        forwarder_.enable_hand_over([this] { return locks_.wanted(); },
            [this] {
                handed_over_ = true;
                io_.stop();
            });
        poll_reload_request();
    }
    locks_.drop_next();
    let_signals_through();
    run_guarded(io_);
    hold_signals_back();
    return handed_over_ ? End::HandedOver : End::Ended;
}

void Service::heed() {
    signals_.async_wait([this](auto failed, int signal) {
        if (failed) return;
        heed();
        if (signal == SIGHUP) return reload({});
        told_to_end_ = true;
        forwarder_.drain();
    });
}
/// Whoever asks while files are read and checked is told of the next reading, which begins after this
/// one: the files may have changed meanwhile.
void Service::reload(control::Promise promise) {
    asked_.push_back(std::move(promise));
    if (!loading_) load_anew();
}
/// The process that has handed over passes its SIGHUP on.
void Service::poll_reload_request() {
    if (reload_request_.take()) reload({});
    reload_request_timer_.call_after(kReloadRequestPollInterval, [this] { poll_reload_request(); });
}
void Service::load_anew() {
    loading_ = true;
    // the worker's one job: there is room
    worker_.run([sources = sources_, running = running_] { return loaded(sources, running.get()); },
        [this, told = std::exchange(asked_, {})](Worker::Came<Loaded> came) {
            loading_ = false;
            const control::Outcome outcome = taken_over(came);
            for (const control::Promise& promise : told)
                if (promise) promise(outcome);
            if (!asked_.empty()) load_anew();
        });
}
/// A bad file must not take a good process down: what it has stays in force, whole.
control::Outcome Service::taken_over(Worker::Came<Loaded>& came) try {
    auto fresh = std::make_shared<const Loaded>(came.take());
    forwarder_.reload(fresh->config, fresh->table);
    running_ = std::move(fresh);
    log::set(running_->config.log);
    ++reloads_;
    log::info("program", "configuration read anew", {{"reloads", reloads_}});
    return Json{{"reloads", reloads_}, {"routes", running_->file.routes.size()},
        {"expectations", running_->file.expects.size()}};
} catch (const std::exception& bad) {
    log::error("program", "the old configuration stays", {{"why", bad.what()}});
    return control::Refused("the old configuration stays", bad.what());
}
Json Service::ordered(const Json& args) {
    const auto order = order_of(args.value("what", ""), args.value("target", ""));
    if (!order) throw control::Refused("there is no such order");
    const auto answer = forwarder_.execute_order(*order);
    if (!answer.yes()) throw control::Refused(answer.why);
    return Json{{"done", args.value("what", "")}};
}
void Service::work(const Json& args, control::Promise promise) {
    const std::string what = args.value("do", "status");
    if (what == "status") return promise(forwarder_.maintenance().status());
    const auto told = [promise = std::move(promise), what](const std::string& wrong) {
        wrong.empty() ? promise(Json{{"done", what}}) : promise(control::Refused(wrong));
    };
    if (what == "request")
        return forwarder_.maintenance().request_for_self(
            args.value("for_s", 600.0), args.value("why", ""), told);
    if (what != "plan") return forwarder_.maintenance().order(what, args.value("machine", ""), told);
    config::Problems problems(args.value("name", "the plan"));
    const auto plan = config::read_plan(args.value("text", ""), plan_scene(forwarder_), problems);
    if (!plan) return told(problems.text());
    forwarder_.maintenance().submit_plan(work::bytes_of(*plan), args.value("approve", false), told);
}
Json Service::status() const {
    Json all = forwarder_.status();
    all["reloads"] = reloads_;
    all["file"] = running_->file.path;
    all["expectations"] = running_->file.expects.size();
    all["control_connections"] = server_.connections();
    return all;
}

}  // namespace lockgw::program
