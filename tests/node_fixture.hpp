/// Fixture for tests of the built program between stub servers for its targets and the discovery agent.
#pragma once

#include <sstream>

#include "net_helpers.hpp"
#include "store/journal.hpp"

namespace lockgw {

using Clock = std::chrono::steady_clock;

/// An entry of a target list, as the agent sends it. `cell`: the destination.
inline Json member(
    const std::string& id, const std::string& address, int cell, const char* phase = "in_service") {
    return {{"id", id}, {"host_port", address}, {"locality", "a"}, {"flavor", "shop"}, {"cell", cell},
        {"phase", phase}, {"size", 1.0}, {"up_since_ms", 0}};
}
/// An answer of the discovery agent.
inline Json target_list(int revision, bool complete, const std::vector<Json>& members) {
    return {{"revision", revision}, {"complete", complete}, {"members", members}};
}

/// A forwarder, one target of destination 7, and the discovery agent. The list of the configuration names the
/// target, and a terminating one of destination 99: messages to 99 are accepted and cannot be delivered.
class NodeTest : public ::testing::Test {
protected:
    NodeTest() : node(make_config("127.0.0.1:1", agent.address())) {
        node.config()["known"] = target_list(1, true,
            {member("s-1", target.address(), 7), member("s-99", target.address(), 99, "terminating")});
    }

    /// The next request to the agent with this path. Polls of the list and reports come on two connections;
    /// requests with another path are skipped.
    Exchange agent_request(const std::string& path) {
        while (true) {
            Exchange exchange = agent.next();
            const auto target_text = exchange.request.target();
            if (std::string(target_text.data(), target_text.size()).starts_with(path)) return exchange;
            if (path == "/reports") watches.push_back(exchange);
        }
    }
    /// Whether no report arrives within `span`. Polls of the list are ignored.
    bool no_report_within(std::chrono::milliseconds span) {
        const auto until = Clock::now() + span;
        while (Clock::now() < until) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now());
            if (agent.no_request_within(left)) break;
            if (std::string(agent.next().request.target()) == "/reports") return false;
        }
        return true;
    }
    /// The first final status of the message that is reported within `span`, else null. Reports are
    /// acknowledged.
    Json final_status_of(const std::string& message, std::chrono::milliseconds span) {
        const auto until = Clock::now() + span;
        while (Clock::now() < until) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now());
            if (agent.no_request_within(left)) break;
            const Exchange request = agent.next();
            if (request.request.target() != "/reports") {
                watches.push_back(request);
                continue;
            }
            const auto statuses = final_statuses(request);
            request.write("HTTP/1.1 204 X\r\n\r\n");
            for (const Json& status : statuses)
                if (status.at("ref") == message) return status;
        }
        return nullptr;
    }
    /// The final statuses in a report, one JSON line each.
    std::vector<Json> final_statuses(const Exchange& report) {
        std::vector<Json> lines;
        std::istringstream stream(report.request.body());
        for (std::string text; std::getline(stream, text);) lines.push_back(Json::parse(text));
        return lines;
    }
    static void respond_json(const Exchange& exchange, const Json& json) {
        const std::string body = json.dump();
        exchange.write(
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    /// Submits a message and returns the reply. `message_class`: a class of make_config().
    std::string enqueue(Client& client, const std::string& id, const std::string& message_class = "safe",
        int deadline_ms = 30000, const std::string& body = "BODY", int destination = 7) {
        return client.ask({"ENQUEUE", "0000000000000000", id,
            "c=" + message_class + ",t=acme,d=" + std::to_string(deadline_ms) +
                ",k=5c0f6e1a2b3d4c59,dest=" + std::to_string(destination),
            body});
    }

    HttpStub agent, target;
    Node node;
    std::vector<Exchange> watches;  // polls left unanswered, so that their connections stay open
    const std::string id = "9b1f03aa5c7e2d41";
};

}  // namespace lockgw
