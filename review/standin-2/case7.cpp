// Case 7: partners answer one call in a hundred with 500, as they do on a calm day. Orders that may not be
// repeated keep away from an endpoint behind such an answer, and nothing ever lets one through again.
#include "kit.hpp"

using namespace kit;

namespace {

constexpr int kForwarders = 2, kPartners = 4, kErrorEach = 100;
constexpr int kDeadline_ms = 16000;
constexpr double kTraffic = 85;  // seconds

bool broken() {
    auto& discovery = *new Discovery;
    discovery.start();
    std::vector<Target*> targets;
    for (int cell = 1; cell <= kPartners; ++cell) {
        auto& target = *new Target;
        auto& calls = *new std::atomic<int>(0);
        target.cell = cell;
        target.id = "s-000" + std::to_string(cell);
        target.serve_call = [&calls](Target&, int fd, Call& call) {
            if (!Target::work(fd, call, 0.1)) return false;
            const bool error = trouble() && ++calls % kErrorEach == 0;
            return Target::write(fd, call, error ? "500 Error" : "200 OK");
        };
        target.start();
        targets.push_back(&target);
        discovery.put({target.id, target.address.text(), "insurer", cell});
    }
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<pid_t> processes;
    for (int i = 0; i < kForwarders; ++i) {
        auto& node = *nodes.emplace_back(std::make_unique<Node>());
        node.number = i;
        node.instances = kForwarders;
        node.discovery = &discovery;
        node.classes = class_row("order-submit", "fragile", 4000, kDeadline_ms, 4000, 1);
    }
    nodes[0]->other_peer = nodes[1]->peer, nodes[1]->other_peer = nodes[0]->peer;
    for (auto& node : nodes) processes.push_back(node->start());
    for (auto& node : nodes) node->wait_ready();

    std::mutex lock;
    std::vector<std::pair<int, Message>> all;
    std::atomic<int> clients = 0;
    const double begun = now();
    std::mt19937 random(8);
    for (double next = begun; next < begun + kTraffic; sleep_s(next - now())) {  // 46 messages a second
        ++clients;
        const int at = static_cast<int>(random() % kForwarders), dest = 1 + static_cast<int>(random() % kPartners);
        std::thread([&, at, dest] {
            Message message;
            message.kind = "order-submit", message.dest = dest, message.d_ms = kDeadline_ms;
            hand_in(nodes[at]->listen, message, false);
            record.line("sent %s for %d to n%d: %s", message.id.c_str(), dest, at,
                message.answer.empty() ? "no answer" : message.answer.c_str());
            const std::lock_guard hold(lock);
            all.emplace_back(at, message);
            --clients;
        }).detach();
        next += 1.0 / 46;
    }
    const double ended = now();
    while (clients > 0) sleep_s(0.01);
    sleep_s(kDeadline_ms / 1000.0 + 1);
    for (int i = 0; i < kForwarders; ++i)
        if (nodes[i]->wait(processes[i], 0.01) != -1) throw NotRun("a forwarder has ended by itself");

    int stuck = 0;
    for (int i = 0; i < kForwarders; ++i) {
        double last_call = begun;
        for (const auto& [at, message] : all)
            for (Target* target : targets)
                for (const Call& call : target->calls(message.id))
                    if (at == i) last_call = std::max(last_call, call.came);
        int got = 0, rejected = 0;  // behind its last call
        for (const auto& [at, message] : all) {
            if (at != i || message.sent < last_call) continue;
            ++got;
            rejected += message.answer != "+OK" || !discovery.notices(message.id).empty();
        }
        const double span = std::max(0.0, ended - last_call);
        record.line("n%d: its last call came at %.3f, %.1f s before the last message; it got %d messages since, "
                    "%d of them refused or failed",
            i, last_call, span, got, rejected);
        std::printf("n%d: no call for the last %.1f s, %d messages got, %d refused or failed\n", i, span, got, rejected);
        stuck += span > 4 && got >= 15 && rejected == got;
    }
    return stuck * 10 > kForwarders;
}

}  // namespace

int main(int count, char** words) {
    const int code = run(count, words, broken);
    std::fflush(stdout);
    _exit(code);
}
