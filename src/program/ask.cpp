/// Commands that ask a running process over its control socket.
#include <iomanip>
#include <iostream>

#include "control/client.hpp"
#include "program/commands.hpp"
#include "program/rows.hpp"

namespace lockgw::program {
namespace {

template <class Use>
int asked(const std::string& socket, const char* verb, Use use, const Json& args = Json::object()) try {
    use(control::ask(socket, verb, args));
    return kWell;
} catch (const control::Refused& refused) {
    std::cerr << "lockgw: " << refused.what() << '\n' << refused.problems() << '\n';
    return kWrong;
} catch (const std::exception& bad) {
    std::cerr << "lockgw: " << bad.what() << '\n';
    return kWrong;
}

void print_table(const Json& status) {
    const auto line = [](const char* name, const Json& value) {
        std::cout << std::left << std::setw(22) << name
                  << (value.is_string() ? value.get<std::string>() : value.dump()) << '\n';
    };
    line("name", status.at("name"));
    line("file", status.at("file"));
    line("in service", status.at("in_service").get<bool>() ? "yes" : "no, by order");
    std::string out;
    for (const Json& id : status.at("out_by_hand")) out += (out.empty() ? "" : ", ") + id.get<std::string>();
    line("targets out by hand", out.empty() ? "none" : out);
    line("held", status.at("held").dump() + " of " + status.at("most_held").dump());
    line("calls out", status.at("calls_out").dump() + " of " + status.at("slots").dump());
    line("ends not confirmed", status.at("unconfirmed_ends"));
    line("routes, expectations", status.at("routes").dump() + ", " + status.at("expectations").dump());
    line("reloads", status.at("reloads"));
    line("longest turn, ms", status.at("longest_turn_ms"));
    for (const Json& front : status.at("fronts"))
        line("clients", front.at("connections").dump() + " at " + front.at("listen").get<std::string>() +
                            ", " + front.at("handed_in").dump() + " messages handed in");
    if (const Json capture = status.value("capture", Json::object()); capture.value("on", false))
        line("capture", capture.at("batches").dump() + " batches, " + capture.at("bytes").dump() +
                            " bytes, " + capture.at("lost_batches").dump() + " lost, " +
                            capture.at("kept").dump() + " kept");
    std::cout << '\n'
              << std::left << std::setw(32) << "destination" << std::setw(8) << "held"
              << "endpoints\n";
    for (const Json& one : status.at("destinations")) {
        std::cout << std::left << std::setw(32) << one.at("name").get<std::string>() << std::setw(8)
                  << one.at("held").dump();
        for (const Json& endpoint : one.at("endpoints"))
            std::cout << endpoint.at("name").get<std::string>() << " ("
                      << endpoint.at("is").get<std::string>() << ") ";
        std::cout << '\n';
    }
}

}  // namespace

int print_status(const std::string& socket, bool json) {
    return asked(socket, "status", [json](const Json& status) {
        if (json)
            std::cout << status.dump(2) << '\n';
        else
            print_table(status);
    });
}

int print_spread(const std::string& socket, bool json) {
    return asked(socket, "spread", [json](const Json& all) {
        if (json) return void(std::cout << all.dump(2) << '\n');
        for (const Json& one : all) {
            std::cout << one.at("name").get<std::string>() << ": " << std::fixed << std::setprecision(2)
                      << one.at("rate").get<double>() << " messages a second here; "
                      << one.at("why").get<std::string>() << '\n';
            for (const Json& target : one.at("targets"))
                std::cout << "  " << std::left << std::setw(32) << target.at("name").get<std::string>()
                          << std::right << std::setw(6) << 100 * target.at("weight").get<double>()
                          << " % of them, shared with " << target.at("sharers").get<double>() << "; "
                          << target.at("why").get<std::string>() << '\n';
        }
    });
}

int print_tier(const std::string& socket, bool json) {
    return asked(socket, "tier", [json](const Json& all) {
        if (json) return void(std::cout << all.dump(2) << '\n');
        if (!all.at("on").get<bool>())
            return void(std::cout << "not watched: " << all.at("why").get<std::string>() << '\n');
        const auto& members = all.at("members");
        const auto& views = all.at("views");
        std::cout << "number " << all.at("own") << " of " << members.size() << "; " << all.at("present")
                  << " present, limits in " << all.at("parts") << " parts; heard of "
                  << all.at("heard_lately") << " others in the last 3 s"
                  << (all.at("sure").get<bool>() ? "" : ": IN DOUBT")
                  << (all.at("superseded").get<bool>() ? "; another process has taken its place" : "") << '\n'
                  << "view " << all.at("digest") << ", the same at " << views.at("same") << " of "
                  << views.at("of") << " that told theirs in the last 10 s; epoch " << all.at("epoch")
                  << ", stopped itself " << all.at("stalls") << " times\n";
        const auto& notes = all.at("notes");
        std::cout << "notes:";
        for (const auto& [name, count] : notes.items()) std::cout << ' ' << name << ' ' << count;
        std::cout << '\n' << std::fixed << std::setprecision(1);
        for (const Json& one : members)
            std::cout << "  " << std::setw(5) << one.at("number").get<int>() << "  " << std::left
                      << std::setw(8) << one.at("is").get<std::string>() << std::right << " for "
                      << std::setw(8) << one.at("since_ms").get<double>() / 1000 << " s; heard of "
                      << one.at("heard_ms").get<double>() / 1000 << " s ago by " << one.at("by") << ", start "
                      << one.at("incarnation") << '\n';
    });
}

int print_return(const std::string& socket, bool json) {
    return asked(socket, "return", [json](const Json& all) {
        if (json) return void(std::cout << all.dump(2) << '\n');
        const Json &owed = all.at("owed"), &believed = all.at("believed"), &peers = all.at("peers"),
                   &lost = all.at("lost"), &snapshots = all.at("snapshots");
        const auto ms = [](const Json& span) {
            return span.is_null() ? std::string("-") : span.dump() + " ms";
        };
        std::cout << "phase " << all.at("phase").get<std::string>() << "; up " << ms(all.at("up_ms"))
                  << ", full after " << ms(all.at("full_after_ms"))
                  << (all.at("handed_over").get<bool>() ? "; taken over from a running process" : "") << '\n'
                  << "owed " << owed.at("all") << ": " << owed.at("waiting") << " wait, " << owed.at("out")
                  << " out of " << owed.at("window") << " allowed; began after "
                  << ms(owed.at("began_after_ms")) << ", " << owed.at("refusals") << " refusals\n"
                  << "believed " << believed.at("facts") << " facts of a snapshot of "
                  << ms(believed.at("snapshot_age_ms")) << " ago, " << believed.at("dropped") << " too old; "
                  << believed.at("learned") << " of targets that are listed; " << believed.at("waits")
                  << " waits held\n"
                  << (peers.at("asked").get<bool>()
                             ? "peers asked: " + peers.at("answers").dump() + " answered, " +
                                   peers.at("out_by_hand").dump() + " targets out by hand, " +
                                   peers.at("down").dump() + " down"
                             : std::string("peers not asked"))
                  << '\n';
        std::string what;
        for (const char* name : {"journal", "learned", "orders"})
            if (lost.at(name).get<bool>()) what += std::string(what.empty() ? "" : ", ") + name;
        if (!lost.at("folder_older_ms").is_null())
            what += (what.empty() ? "" : ", ") + std::string("the folder is a copy, ") +
                    ms(lost.at("folder_older_ms")) + " old";
        std::cout << "lost: "
                  << (lost.at("all").get<bool>() ? "the folder was empty"
                         : what.empty()          ? "nothing"
                                                 : what)
                  << "\nsnapshots: " << snapshots.at("written") << " written, " << snapshots.at("failed")
                  << " failed; " << snapshots.at("waits_kept") << " waits kept\n";
    });
}

int print_running_routes(const std::string& socket, bool json) {
    return asked(socket, "routes", [json](const Json& rows) {
        if (json)
            std::cout << rows.dump(2) << '\n';
        else
            print(std::cout, rows_from(rows));
    });
}

int reload_running(const std::string& socket) {
    return asked(socket, "reload", [](const Json& told) {
        std::cout << "taken over: " << told.at("routes") << " routes, " << told.at("expectations")
                  << " expectations kept\n";
    });
}

int tell_order(const std::string& socket, const std::string& what, const std::string& target) {
    return asked(socket, "order", [&](const Json&) { std::cout << what << ": yes\n"; },
        {{"what", what}, {"target", target}});
}

int tell_capture(const std::string& socket, const std::string& what) {
    return asked(socket, "capture", [&what](const Json&) { std::cout << "capture: " << what << '\n'; },
        {{"do", what}});
}

}  // namespace lockgw::program
