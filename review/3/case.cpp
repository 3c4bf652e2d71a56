// Case 3: a configuration file that lacks a key, and SIGHUP. Counted: messages that may not be repeated and ran twice.
#include <random>

#include "standin/standin.hpp"

using namespace standin;

namespace {

constexpr double kPerSecond = 40, kFileAt = 4000, kHandInUntil = 30000, kEnd = 36000;
constexpr int kErrorEvery = 100;  // the site: up to 0.01 of the calls end in an error
// The settings in force: order-submit may not be repeated.
constexpr const char* kClasses =
    R"([{"aim_ms":4000.0,"dedup_scope":"all","effect":"fragile","hard_limit_ms":16000.0,"late_worth":0.5,"name":"order-submit","streamed":false,"window_ms":4000.0,"worth":1.0},
        {"aim_ms":1500.0,"dedup_scope":"all","effect":"retryable","hard_limit_ms":5000.0,"late_worth":0.0,"name":"status-update","streamed":false,"window_ms":5000.0,"worth":2.0}])";

/// Runs each call, and answers one of a hundred with an error ("500 | error | it may have").
class Partner {
public:
    Partner() : server_([this](HttpConnection& connection) { serve(connection); }) {}
    int port() const { return server_.port(); }
    std::map<std::string, std::vector<double>> runs() const {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

private:
    void serve(HttpConnection& connection) {
        while (const auto call = connection.read()) {
            const std::string id = call->header("x-call-id");
            bool error = false;
            {
                const std::lock_guard lock(mutex_);
                runs_[id].push_back(call->last_byte_ms);
                error = ++calls_ % kErrorEvery == 0;
                RECORD("partner: %s runs for the %zu. time, and is answered %d", id.c_str(), runs_[id].size(),
                    error ? 500 : 200);
            }
            sleep_ms(100);
            if (!connection.answer(error ? 500 : 200, "X-Load-Report: x0=0,x1=0\r\n")) return;
        }
    }
    mutable std::mutex mutex_;
    int calls_ = 0;
    std::map<std::string, std::vector<double>> runs_;
    HttpServer server_;
};

std::string without(std::string text, const std::string& from, const std::string& to) {
    const auto begin = text.find(from), end = text.find(to, begin);
    if (begin == std::string::npos || end == std::string::npos) cannot_run("the file is not as expected");
    return text.erase(begin, end - begin);
}

}  // namespace

int main(int, char** arguments) {
    begin(arguments[1]);
    Folder folder;
    Partner partner;
    Agent agent({{"s-1", partner.port(), 7}, {"s-2", partner.port(), 8}, {"s-3", partner.port(), 9}});
    Setup setup;
    setup.classes = kClasses;
    Node node(setup, agent, folder.path());
    node.start();
    node.ready();
    const double start = now_ms();

    std::mutex mutex;
    std::map<std::string, std::string> orders;  // order-submit, by id: the answer
    const auto client = [&](int number) {
        std::mt19937 random(static_cast<unsigned>(number) + 1);
        std::exponential_distribution<double> gap(kPerSecond / 4 / 1000);
        Client connection(node.port());
        for (double next = now_ms() + gap(random); now_ms() < start + kHandInUntil; next += gap(random)) {
            sleep_until_ms(next);
            Order order;
            order.id = new_id();
            order.destination = 7 + static_cast<std::int64_t>(random() % 3);
            const auto answer = connection.send(order.command()) ? connection.line() : std::nullopt;
            RECORD("client: %s, order-submit -> %s", order.id.c_str(), answer ? answer->c_str() : "no answer");
            const std::lock_guard lock(mutex);
            orders[order.id] = answer.value_or("");
        }
    };
    std::vector<std::thread> clients;
    for (int i = 0; i < 4; ++i) clients.emplace_back(client, i);

    sleep_until_ms(start + kFileAt);
    std::string file = node.file();
    if (trouble()) {
        // Other settings, as a retuning brings them: order-submit may be repeated. But the file lacks "discovery".
        file.replace(file.find("\"effect\":\"fragile\""), 18, "\"effect\":\"retryable\"");
        file = without(file, "\"discovery\":\"127.0.0.1:", "\"seed\"");
    }
    RECORD("platform: another file%s, and SIGHUP", trouble() ? " that lacks the key \"discovery\"" : ", the same as before");
    RECORD("file: %s", file.substr(0, 200).c_str());
    node.reload(file);

    for (auto& one : clients) one.join();
    sleep_until_ms(start + kEnd);
    if (!node.running()) cannot_run("the process has ended");
    int twice = 0;
    for (const auto& [id, times] : partner.runs()) {
        if (!orders.contains(id) || times.size() < 2) continue;
        ++twice;
        RECORD("RULE BROKEN: %s, which may not be repeated, ran %zu times, first at %.1f, last at %.1f", id.c_str(),
            times.size(), times.front(), times.back());
    }
    RECORD("orders: %zu, ran more than once: %d", orders.size(), twice);
    std::ifstream log(node.log_path());
    for (std::string line; std::getline(log, line);)
        if (line.find("configuration") != std::string::npos) RECORD("log: %s", line.substr(0, 300).c_str());
    node.kill();
    std::filesystem::remove_all(folder.path());
    std::_Exit(twice > 0 ? 1 : 0);
}
