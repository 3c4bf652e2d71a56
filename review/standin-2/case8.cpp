// Case 8: requests wait in the listening socket that the platform holds while the forwarder is started again
// after a SIGKILL. Those that are answered +OK must be over 300 ms (and 50 ms) after their time is up, and
// their time counts from when their clients sent them.
#include "kit.hpp"

using namespace kit;

namespace {

constexpr int kPartners = 4, kKills = 3;  // kills in each outage
constexpr double kSlack = 0.3 + 0.05, kAfterReady = 1.5;
constexpr int kDeadline_ms = 5000;

bool broken() {
    auto& discovery = *new Discovery;
    discovery.start();
    std::atomic<int> hangs = 0;  // the partner that takes calls and answers none; each has one outage
    std::vector<Target*> targets;
    for (int cell = 1; cell <= kPartners; ++cell) {
        auto& target = *new Target;
        target.cell = cell;
        target.id = "s-000" + std::to_string(cell);
        target.serve_call = [&hangs](Target& self, int fd, Call& call) {
            if (self.cell == hangs) {
                call.answer = "none";
                readable(fd, 60);
                call.ended = now();
                return false;
            }
            return Target::work(fd, call, 0.1) && Target::write(fd, call, "200 OK");
        };
        target.start();
        targets.push_back(&target);
        discovery.put({target.id, target.address.text(), "lens-lab", cell});
    }
    Node node;
    node.discovery = &discovery;
    node.classes = class_row("order-submit", "dedup", 4000, 16000, 4000, 1) + "," +
                   class_row("status-update", "retryable", 1500, kDeadline_ms, 5000, 2);
    node.hold_listener();
    pid_t process = node.start();
    node.wait_ready();

    std::mutex lock;
    std::vector<Message> all;
    std::vector<std::pair<double, double>> restarts;  // SIGKILL, ready again
    std::atomic<bool> done = false;
    std::atomic<int> clients = 0;
    std::thread traffic([&] {  // 46 messages a second, a quarter of them for each partner
        std::mt19937 random(6);
        double next = now();
        for (int i = 0; !done; ++i) {
            ++clients;
            std::thread([&, dest = 1 + i % kPartners] {
                Message message;
                message.kind = "status-update", message.dest = dest, message.d_ms = kDeadline_ms;
                hand_in(node.listen, message, false);
                record.line("sent %s for %d at %.3f: %s at %.3f", message.id.c_str(), dest, message.sent,
                    message.answer.empty() ? "no answer" : message.answer.c_str(), message.answered);
                const std::lock_guard hold(lock);
                all.push_back(message);
                --clients;
            }).detach();
            next += std::uniform_real_distribution<double>(0.5, 1.5)(random) / 46;
            sleep_s(next - now());
        }
    });
    for (int partner = 1; partner <= kPartners; ++partner) {
        const double begun = now();
        record.line("partner %d answers nothing from now on, for 20.9 s", partner);
        hangs = partner;
        for (int kill = 0; kill < kKills; ++kill) {
            sleep_s(begun + 1.0 + 6.5 * kill - now());
            if (!trouble()) continue;
            const double killed = now();
            node.signal(process, SIGKILL);
            node.wait(process, 5);
            sleep_s(killed + 0.6 - now());
            process = node.start();
            restarts.emplace_back(killed, node.wait_ready());
            record.line("ready again");
        }
        sleep_s(begun + 20.9 - now());
        hangs = 0;
    }
    done = true;
    traffic.join();
    while (clients > 0) sleep_s(0.01);
    sleep_s(kDeadline_ms / 1000.0 + kSlack + 0.5);
    if (node.wait(process, 0.01) != -1) throw NotRun("the forwarder has ended by itself");

    int taken = 0, late = 0;
    for (const Message& message : all) {
        if (message.answer != "+OK") continue;
        ++taken;
        double due = message.sent + message.d_ms / 1000.0 + kSlack;
        for (const auto& [killed, ready] : restarts)
            if (due >= killed && due <= ready + kAfterReady) due = ready + kAfterReady;
        std::optional<double> over;  // delivered, or ended by a notice
        for (const Notice& notice : discovery.notices(message.id))
            over = std::min(over.value_or(notice.at), notice.at);
        for (Target* target : targets)
            for (const Call& call : target->calls(message.id))
                if (call.answer == "200") over = std::min(over.value_or(call.ended), call.ended);
        if (!over) {
            ++late;
            record.line("LOST: %s was never delivered nor ended", message.id.c_str());
            continue;
        }
        if (*over > due) {
            ++late;
            record.line(
                "LOST: %s was sent at %.3f, answered +OK after %.0f ms, its time was up at %.3f, its notice "
                "came at %.3f: %.0f ms after the limit",
                message.id.c_str(), message.sent, (message.answered - message.sent) * 1000,
                message.sent + message.d_ms / 1000.0, *over, (*over - due) * 1000);
        }
    }
    record.line("taken on: %d, lost: %d", taken, late);
    std::printf("taken on: %d, lost: %d\n", taken, late);
    return late > 0;
}

}  // namespace

int main(int count, char** words) {
    const int code = run(count, words, broken);
    std::fflush(stdout);
    _exit(code);
}
