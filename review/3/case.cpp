// Case 3: out of service by the console; clients send three commands at once, and the forwarder is held up for 0.13 s
// about 1.5 s after the call. Counted: commands that lay written on an open connection, behind one that was answered,
// and whose connection the forwarder ended without an answer to them.
#include "standin/standin.hpp"

using namespace standin;

namespace {

constexpr int kRounds = 4, kConnections = 150, kAtOnce = 3;
constexpr double kEvery = 60;  // three commands each: 50 messages a second
constexpr double kHoldUpAt = 1375, kHoldUp = 145;
constexpr double kCrossing = 20;  // written later than this before the end: it may have crossed it

struct Batch {
    std::vector<std::string> ids;
    std::vector<std::string> answers;
    double written = 0;
};

}  // namespace

int main(int, char** arguments) {
    begin(arguments[1]);
    Folder folder;
    HttpServer target([](HttpConnection& connection) {
        while (const auto call = connection.read()) {
            sleep_ms(100);
            if (!connection.answer(200)) return;
        }
    });
    Agent agent({{"s-1", target.port(), 7}, {"s-2", target.port(), 8}, {"s-3", target.port(), 9}});
    Setup setup;
    setup.console = true;
    Node node(setup, agent, folder.path());
    node.start();
    node.ready();

    int unanswered = 0, batches = 0;
    for (int round = 0; round < kRounds && unanswered == 0; ++round) {
        std::vector<std::unique_ptr<Client>> clients;
        std::vector<Batch> last(kConnections);
        const auto hand_in = [&](int number, int commands) {
            Batch batch;
            std::string bytes;
            for (int i = 0; i < commands; ++i) {
                Order order;
                order.id = new_id();
                order.key = new_id();
                order.destination = 7 + (number + i) % 3;
                bytes += order.command();
                batch.ids.push_back(order.id);
            }
            batch.written = now_ms();
            if (!clients[static_cast<std::size_t>(number)]->send(bytes)) return false;
            last[static_cast<std::size_t>(number)] = batch;
            ++batches;
            return true;
        };
        // Reads what has come; tells whether the connection stays open.
        const auto read = [&](int number, int wait_ms) {
            Client& client = *clients[static_cast<std::size_t>(number)];
            Batch& batch = last[static_cast<std::size_t>(number)];
            while (batch.answers.size() < batch.ids.size()) {
                const auto answer = client.line(wait_ms);
                if (!answer) break;
                batch.answers.push_back(*answer);
            }
            if (batch.answers.size() == batch.ids.size()) client.line(3);  // whether it ends
            if (batch.answers.size() == batch.ids.size() || !client.ended()) return;
            const double age = now_ms() - batch.written;
            std::string text;
            for (const auto& answer : batch.answers) text += " \"" + answer + "\"";
            RECORD("client %d: %zu commands written at once at %.1f; answers:%s; ended by the forwarder %.1f ms later, %s",
                number, batch.ids.size(), batch.written, text.c_str(), age, client.was_reset() ? "a reset" : "in order");
            if (batch.answers.empty() || age < kCrossing) return;  // the end may have crossed them
            for (std::size_t i = batch.answers.size(); i < batch.ids.size(); ++i) {
                ++unanswered;
                RECORD("RULE BROKEN: client %d: %s was written %.1f ms before the end and got no answer", number,
                    batch.ids[i].c_str(), age);
            }
        };
        for (int i = 0; i < kConnections; ++i) {
            clients.push_back(std::make_unique<Client>(node.port()));
            hand_in(i, 1);
            read(i, 400);
        }
        for (int i = 0; i < 8; ++i) {  // ordinary traffic
            hand_in(i, kAtOnce);
            read(i, 400);
            sleep_ms(kEvery);
        }
        const double called = now_ms();
        if (node.order("PUT", "/control/out-of-service") != 200) cannot_run("out of service: no yes");
        std::thread hold_up([&] {
            sleep_until_ms(called + kHoldUpAt);
            if (!trouble()) return;
            RECORD("n0: held up for %.0f ms", kHoldUp);
            node.signal(SIGSTOP);
            sleep_ms(kHoldUp);
            node.signal(SIGCONT);
        });
        // Clients go on using the connections that stay open; nobody connects anew, for PING says no.
        for (int number = 0; now_ms() < called + kHoldUpAt + kHoldUp;) {
            const double next = now_ms() + kEvery;
            int tried = 0;
            for (; tried < kConnections; ++tried) {
                number = (number + 7) % kConnections;
                Client& client = *clients[static_cast<std::size_t>(number)];
                read(number, 3);
                pollfd entry{client.fd(), POLLIN | POLLRDHUP, 0};
                if (client.ended() || poll(&entry, 1, 0) > 0) continue;  // let go
                if (last[static_cast<std::size_t>(number)].answers.size() <
                    last[static_cast<std::size_t>(number)].ids.size())
                    continue;  // busy
                if (hand_in(number, kAtOnce)) break;
            }
            sleep_until_ms(next);
        }
        hold_up.join();
        for (const double until = now_ms() + 500; now_ms() < until;) {
            std::vector<pollfd> entries;
            std::vector<int> numbers;
            for (int i = 0; i < kConnections; ++i)
                if (!clients[static_cast<std::size_t>(i)]->ended())
                    entries.push_back({clients[static_cast<std::size_t>(i)]->fd(), POLLIN, 0}), numbers.push_back(i);
            if (entries.empty() || poll(entries.data(), entries.size(), 100) <= 0) continue;
            for (std::size_t i = 0; i < entries.size(); ++i)
                if (entries[i].revents) read(numbers[i], 5);
        }
        for (auto& client : clients) client->close();
        sleep_until_ms(called + 2500);
        if (node.order("PUT", "/control/in-service") != 200) cannot_run("in service: no yes");
        sleep_ms(1000);
        if (!node.running()) cannot_run("the process has ended");
    }
    RECORD("batches: %d, commands without an answer: %d", batches, unanswered);
    node.kill();
    std::filesystem::remove_all(folder.path());
    std::_Exit(unanswered > 0 ? 1 : 0);
}
