/// `lockgw work`: machines taken out in an order that the forwarders settle, and `lockgw check --plan`.
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <thread>

#include "config/plan_file.hpp"
#include "control/client.hpp"
#include "program/commands.hpp"
#include "program/rows.hpp"

namespace lockgw::program {
namespace {

std::string text_of_file(const std::string& path) {
    std::ifstream stream(path, std::ios::binary);
    if (!stream) throw std::runtime_error(path + ": cannot be read");
    return {std::istreambuf_iterator<char>(stream), {}};
}

std::string listed(const Json& names) {
    std::string text;
    for (const Json& one : names) text += (text.empty() ? "" : ", ") + one.get<std::string>();
    return text.empty() ? "nobody" : text;
}

void print(const Json& all) {
    if (!all.at("on").get<bool>())
        return void(std::cout << "off: " << all.at("why").get<std::string>() << '\n');
    const Json &plan = all.at("plan"), &own = all.at("own");
    const std::string mode = all.at("mode").get<std::string>();
    if (plan.is_null())
        std::cout << "no plan" << (mode == "none" ? "" : " known here yet (it is " + mode + ")") << '\n';
    else
        std::cout << "plan \"" << plan.at("name").get<std::string>() << "\" is " << mode
                  << (mode == "held" ? ", for " + all.at("reason").get<std::string>() + " of " +
                                           all.at("about").get<std::string>()
                                     : "")
                  << ": " << all.at("done").size() << " of " << plan.at("machines") << " done, "
                  << all.at("outs").size() << " of " << plan.at("most_out") << " out; task "
                  << plan.at("task").get<std::string>() << ", each " << plan.at("each_s") << " s, then "
                  << plan.at("overdue").get<std::string>() << '\n';
    for (const Json& one : all.at("outs"))
        std::cout << "  " << std::left << std::setw(24) << one.at("machine").get<std::string>()
                  << std::setw(10) << one.at("is").get<std::string>() << " number " << one.at("fence")
                  << ", renewed " << one.at("renewed") << " times"
                  << (one.at("left_ms").is_null() ? "" : ", " + one.at("left_ms").dump() + " ms left")
                  << '\n';
    if (mode == "approved")
        std::cout << "next: " << listed(all.at("next"))
                  << (all.at("waits").get<std::string>().empty()
                             ? ""
                             : "; others wait: " + all.at("waits").get<std::string>())
                  << '\n';
    std::cout << "this forwarder is " << own.at("phase").get<std::string>()
              << (own.at("votes").get<bool>()
                         ? own.at("joined").get<bool>() ? ", votes" : ", DOES NOT VOTE YET"
                         : "")
              << (own.at("keeps").get<bool>() ? "" : ", CANNOT WRITE ITS RECORD") << "; change "
              << all.at("version") << ", plan number " << all.at("epoch") << '\n';
}

/// What force would break, in words.
std::string breaks(const Json& all, const WorkWish& wish) {
    if (wish.what == "force-in")
        return wish.machine +
               " would no longer count as out. If it is, one more than the plan allows may go.";
    const Json& plan = all.at("plan");
    return wish.machine + " would go whatever the plan says: " + all.at("outs").dump() + " are out, " +
           (plan.is_null() ? "0" : plan.at("most_out").dump()) +
           " may be, and what else it bounds is not looked at.";
}

}  // namespace

int work(const std::string& socket, const WorkWish& wish) try {
    const auto ask = [&socket](const Json& args) { return control::ask(socket, "work", args); };
    if (wish.what == "status") {
        for (;;) {
            const Json all = ask({{"do", "status"}});
            wish.json ? void(std::cout << all.dump(2) << '\n') : print(all);
            const std::string mode = all.value("mode", "none");
            if (!wish.watch || mode == "finished" || mode == "none" || mode == "cancelled") return kWell;
            std::this_thread::sleep_for(std::chrono::seconds(1));
            if (!wish.json) std::cout << '\n';
        }
    }
    Json args{{"do", wish.what}, {"machine", wish.machine}};
    if (wish.what == "plan")
        args.update({{"text", text_of_file(wish.file)}, {"name", wish.file}, {"approve", wish.approve}});
    if (wish.what == "request") args.update({{"for_s", wish.for_s}, {"why", wish.why}});
    if (wish.what.starts_with("force") && !wish.yes) {
        std::cout << breaks(ask({{"do", "status"}}), wish)
                  << "\nSay --yes to do it; it is written down in the log.\n";
        return kWrong;
    }
    ask(args);
    std::cout << wish.what << ": yes\n";
    return kWell;
} catch (const control::Refused& refused) {
    std::cerr << "lockgw: " << refused.what() << '\n';
    return kWrong;
} catch (const std::exception& bad) {
    std::cerr << "lockgw: " << bad.what() << '\n';
    return kWrong;
}

int check_plans(const Sources& sources, const std::vector<std::string>& plans) try {
    config::Problems problems(sources.operator_file);
    Sources only = sources;
    only.only_checked = true;
    const auto loaded = load(only, problems);
    if (!loaded) return std::cerr << problems.text(), kWrong;
    config::PlanScene scene;
    for (const auto& [destination, members] : loaded->members.by_destination())
        for (const auto& one : members) scene.targets.push_back({one.id, destination, 1});
    scene.whole = !scene.targets.empty();
    scene.members = loaded->config.peers.size();
    scene.name_of = [&loaded](std::int64_t number) { return loaded->table.destination_name(number); };
    std::vector<std::pair<std::string, work::Plan>> read;
    bool well = true;
    for (const std::string& path : plans) {
        config::Problems wrong(path);
        auto plan = config::read_plan(text_of_file(path), scene, wrong);
        std::cerr << wrong.text();
        well = well && plan;
        if (!plan) continue;
        for (const auto& [other, before] : read)
            if (const std::string why = config::contradiction(before, *plan); !why.empty())
                std::cerr << path << ":1:1: contradiction: " << why << " (" << other << ")\n", well = false;
        std::cout << path << ": well; " << plan->machines.size() << " machines, " << plan->most_out
                  << " out at a time\n";
        read.emplace_back(path, std::move(*plan));
    }
    return well ? kWell : kWrong;
} catch (const std::exception& bad) {
    std::cerr << "lockgw: " << bad.what() << '\n';
    return kWrong;
}

}  // namespace lockgw::program
