// Case 1: out of service and back by the console, while the forwarder is held up for 0.1 s (SIGSTOP, SIGCONT).
#include <random>

#include "standin/standin.hpp"

using namespace standin;

namespace {

constexpr int kRounds = 4;
constexpr double kOutFor = 400;       // from the first call to about the second
constexpr double kHoldUp = 100;       // the page: up to 0.15 s
constexpr double kBackWithin = 2050;  // the page: 2 s after the second call, and 50 ms for each time limit

/// The front's question, on a new connection.
bool says_yes(const Node& node) {
    const auto answer = ping(node.port());
    return answer && *answer == "+PONG";
}

}  // namespace

int main(int, char** arguments) {
    begin(arguments[1]);
    Folder folder;
    std::atomic<int> calls{0};
    HttpServer target([&](HttpConnection& connection) {
        while (const auto call = connection.read()) {
            ++calls;
            RECORD("target: call %s runs", call->header("x-call-id").c_str());
            sleep_ms(100);
            if (!connection.answer(200)) return;
            RECORD("target: call %s answered 200", call->header("x-call-id").c_str());
        }
    });
    Agent agent({{"s-1", target.port(), 7}, {"s-2", target.port(), 8}});
    Setup setup;
    setup.console = true;
    Node node(setup, agent, folder.path());
    node.start();
    node.ready();

    // Ten clients, two messages a second each. Who is let go connects again while the front says so.
    std::atomic<bool> over{false}, serves{true};
    std::vector<std::thread> clients;
    std::atomic<int> taken{0};
    for (int number = 0; number < 10; ++number)
        clients.emplace_back([&, number] {
            std::unique_ptr<Client> connection;
            for (int i = 0; !over; ++i) {
                sleep_ms(500);
                if (!connection) {
                    if (!serves) continue;
                    connection = std::make_unique<Client>(node.port());
                }
                Order order;
                order.id = new_id();
                order.key = new_id();
                order.destination = 7 + i % 2;
                const auto answer = connection->send(order.command()) ? connection->line() : std::nullopt;
                RECORD("client %d: %s -> %s", number, order.id.c_str(), answer ? answer->c_str() : "no answer");
                if (answer && *answer == "+OK") ++taken;
                if (!answer) connection.reset();
            }
        });
    std::thread front([&] {
        while (!over) {
            serves = says_yes(node);
            sleep_ms(100);
        }
    });

    std::mt19937 random(std::random_device{}());
    bool broken = false;
    sleep_ms(1500);
    for (int round = 0; round < kRounds && !broken; ++round) {
        if (node.order("PUT", "/control/out-of-service") != 200) cannot_run("out of service: no yes");
        sleep_ms(kOutFor - 100);
        const int operator_call = connected(node.console_port());
        if (operator_call < 0) cannot_run("no console");
        sleep_ms(100 + random() % 40);
        const double before = 20 + static_cast<double>(random() % 60);  // of the hold-up, when the call comes
        if (trouble()) {
            RECORD("n0: held up for %.0f ms", kHoldUp);
            node.signal(SIGSTOP);
            sleep_ms(before);
        }
        const double called = now_ms();
        send_all(operator_call, "PUT /control/in-service HTTP/1.1\r\nHost: console\r\nContent-Length: 0\r\n\r\n");
        if (trouble()) {
            sleep_ms(kHoldUp - before);
            node.signal(SIGCONT);
        }
        const int status = Node::answer_on(operator_call, 1000);
        ::close(operator_call);
        RECORD("n0: operator: PUT /control/in-service, written at %.1f -> %d", called, status);
        if (status != 200) cannot_run("in service: no yes");
        sleep_until_ms(called + kBackWithin);
        broken = !says_yes(node);
        RECORD("n0: %.0f ms after the second call PING is answered %s", now_ms() - called, broken ? "NO" : "yes");
        if (!broken) continue;
        for (int i = 0; i < 8; ++i) {  // for the record: it stays so
            sleep_ms(1000);
            RECORD("n0: %.0f ms after the second call: the process %s, its console says %d, PING %s", now_ms() - called,
                node.running() ? "runs" : "has ended", node.order("GET", "/control/ready"),
                says_yes(node) ? "yes" : "NO");
        }
    }
    over = true;
    front.join();
    for (auto& client : clients) client.join();
    RECORD("messages taken on: %d, calls at targets: %d", taken.load(), calls.load());
    std::ifstream log(node.log_path());
    for (std::string line; std::getline(log, line);) RECORD("log: %s", line.c_str());
    node.kill();
    RECORD(broken ? "RULE BROKEN: in service again by the operator's order, and it serves no client"
                  : "the rule held");
    std::filesystem::remove_all(folder.path());
    std::_Exit(broken ? 1 : 0);
}
