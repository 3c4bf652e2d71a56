/// The built program between stub sockets: clients, targets and discovery.
#pragma once

#include <sstream>

#include "net_helpers.hpp"
#include "store/journal.hpp"

namespace lockgw {

using Clock = std::chrono::steady_clock;

inline Json member(
    const std::string& id, const std::string& address, int cell, const char* phase = "in_service") {
    return {{"id", id}, {"host_port", address}, {"locality", "a"}, {"flavor", "shop"}, {"cell", cell},
        {"phase", phase}, {"size", 1.0}, {"up_since_ms", 0}};
}
inline Json target_list(int revision, bool complete, const std::vector<Json>& members) {
    return {{"revision", revision}, {"complete", complete}, {"members", members}};
}

/// A forwarder, one target of destination 7 that its first list names, and discovery.
class NodeTest : public ::testing::Test {
protected:
    NodeTest() : node(make_config("127.0.0.1:1", agent.address())) {
        node.config()["known"] = target_list(1, true,
            {member("s-1", target.address(), 7), member("s-99", target.address(), 99, "terminating")});
    }

    /// Requests to discovery come on two connections: this passes over those of the other kind.
    Exchange agent_request(const std::string& path) {
        while (true) {
            Exchange exchange = agent.next();
            const auto target_text = exchange.request.target();
            if (std::string(target_text.data(), target_text.size()).starts_with(path)) return exchange;
            if (path == "/reports") watches.push_back(exchange);
        }
    }
    /// Watches go on coming meanwhile.
    bool no_report_within(std::chrono::milliseconds span) {
        const auto until = Clock::now() + span;
        while (Clock::now() < until) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now());
            if (agent.no_request_within(left)) break;
            if (std::string(agent.next().request.target()) == "/reports") return false;
        }
        return true;
    }
    std::vector<Json> final_statuses(const Exchange& report) {
        std::vector<Json> lines;
        std::istringstream stream(report.request.body());
        for (std::string text; std::getline(stream, text);) lines.push_back(Json::parse(text));
        return lines;
    }
    static void respond_json(const Exchange& watch, const Json& told) {
        const std::string body = told.dump();
        watch.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    std::string enqueue(Client& client, const std::string& id, const std::string& kind = "safe",
        int left_ms = 30000, const std::string& body = "BODY", int destination = 7) {
        return client.ask({"ENQUEUE", "0000000000000000", id,
            "c=" + kind + ",t=acme,d=" + std::to_string(left_ms) +
                ",k=5c0f6e1a2b3d4c59,dest=" + std::to_string(destination),
            body});
    }

    HttpStub agent, target;
    Node node;
    std::vector<Exchange> watches;  // left unanswered
    const std::string id = "9b1f03aa5c7e2d41";
};

}  // namespace lockgw
