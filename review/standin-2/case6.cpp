// Case 6: a new configuration comes with SIGHUP while a new version takes over. The process that serves by all
// that the platform has heard gets the signal, the new one has read the old file: the new settings never come
// into force.
#include "kit.hpp"

using namespace kit;

namespace {

constexpr int kPartners = 3, kErrorEach = 100;  // one call in so many is answered 500
constexpr double kBinds = 1.2, kMargin = 0.3;   // from SIGHUP on; the margin is the test's own

bool broken() {
    auto& discovery = *new Discovery;
    discovery.start();
    std::vector<Target*> targets;
    std::atomic<int> calls = 0;
    for (int cell = 1; cell <= kPartners; ++cell) {
        auto& target = *new Target;
        target.cell = cell;
        target.id = "s-000" + std::to_string(cell);
        target.serve_call = [&calls](Target&, int fd, Call& call) {
            if (!Target::work(fd, call, 0.1)) return false;
            const bool error = ++calls % kErrorEach == 0;  // the order has run all the same
            return Target::write(fd, call, error ? "500 Error" : "200 OK");
        };
        target.start();
        targets.push_back(&target);
        discovery.put({target.id, target.address.text(), "lens-lab", cell});
    }
    Node node;
    node.discovery = &discovery;
    const std::string other = "," + class_row("status-update", "retryable", 1500, 5000, 5000, 2);
    node.classes = class_row("order-submit", "retryable", 4000, 16000, 4000, 1) + other;
    node.hold_listener();
    const Address first_console = free_address(), second_console = free_address();
    std::mutex platform;  // what the platform does, one thing after another
    std::atomic<double> told = -1;
    const pid_t first = node.start(first_console.text());
    node.wait_ready();
    pid_t serving = first;  // the last one that has said yes
    const auto retune = [&] {
        const std::lock_guard hold(platform);
        node.classes = class_row("order-submit", "fragile", 4000, 16000, 4000, 1) + other;
        node.write_config();
        record.line("the new configuration is in its place: order-submit may not be repeated any more");
        node.signal(serving, SIGHUP);
        told = now();
    };

    std::mutex lock;
    std::vector<Message> all;
    std::atomic<bool> done = false;
    std::atomic<int> clients = 0;
    std::thread traffic([&] {  // 46 messages a second, 68 of a hundred orders
        for (double next = now(); !done; sleep_s(next - now())) {
            static int number = 0;
            ++clients;
            const bool order = number % 25 < 17;
            std::thread([&, order, dest = 1 + number++ % kPartners] {
                Message message;
                message.kind = order ? "order-submit" : "status-update";
                message.dest = dest, message.d_ms = order ? 16000 : 5000;
                hand_in(node.listen, message, false);
                record.line("sent %s, %s for %d, at %.3f: %s", message.id.c_str(), message.kind.c_str(), dest, message.sent,
                    message.answer.empty() ? "no answer" : message.answer.c_str());
                const std::lock_guard hold(lock);
                all.push_back(message);
                --clients;
            }).detach();
            next += 1.0 / 46;
        }
    });
    sleep_s(5);
    if (trouble()) {
        // the agent beside the forwarder sees that the new process has begun to work
        std::atomic<bool> once = false;
        discovery.on_whole_list = [&](int) {
            if (!once.exchange(true)) retune();
        };
        pid_t second;
        {
            const std::lock_guard hold(platform);
            second = node.start(second_console.text());
        }
        double yes = -1;
        for (const double begun = now(); yes < 0 && now() - begun < 6; sleep_s(0.1)) {
            const auto answer = console_call(second_console, "GET", "/control/ready");
            const std::lock_guard hold(platform);
            record.line("ready, asked of the new process: %d", answer.value_or(0));
            if (answer == 200) yes = now(), serving = second;
        }
        if (yes < 0) throw NotRun("the new process does not say yes");
        discovery.on_whole_list = nullptr;
        if (told < 0) throw NotRun("the new process was ready before it asked discovery");
        node.signal(first, SIGTERM);
        if (node.wait(first, 3.7) == -1) node.signal(first, SIGKILL), node.wait(first, 2);
    } else {
        retune();
    }
    sleep_s(told + 45 - now());
    done = true;
    traffic.join();
    while (clients > 0) sleep_s(0.01);
    sleep_s(2);
    if (node.wait(serving, 0.01) != -1) throw NotRun("the forwarder has ended by itself");
    std::ifstream log(node.folder() + "/log");
    for (std::string line; std::getline(log, line);)
        if (line.find("configuration") != std::string::npos || line.find("handed over") != std::string::npos)
            record.line("log: %s", line.c_str());

    int taken = 0, erred = 0, twice = 0;
    for (const Message& message : all) {
        if (message.kind != "order-submit" || message.answer != "+OK" || message.sent < told + kBinds + kMargin) continue;
        ++taken;
        for (Target* target : targets) {
            bool may_have_run = false;
            for (const Call& call : target->calls(message.id)) {
                if (may_have_run) {
                    ++twice;
                    record.line("TWICE: %s, sent %.3f s after SIGHUP, was answered 500 and called again at %.3f: %s",
                        message.id.c_str(), message.sent - told, call.came, call.answer.c_str());
                }
                may_have_run = may_have_run || call.answer == "500";
            }
            erred += may_have_run;
        }
    }
    record.line("orders under the new settings: %d, answered 500: %d, run again: %d", taken, erred, twice);
    std::printf("orders under the new settings: %d, answered 500: %d, run again: %d\n", taken, erred, twice);
    if (erred == 0) throw NotRun("no order was answered 500");
    return twice > 0;
}

}  // namespace

int main(int count, char** words) {
    const int code = run(count, words, broken);
    std::fflush(stdout);
    _exit(code);
}
