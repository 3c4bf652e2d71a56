// lockgw_rig_demo: hands messages in at a lockgw of its own and prints how they ended.
//
//   lockgw_rig_demo --program build/lockgw --file deploy/example.toml [--messages 300]
//
// Stand-in targets take the place of the file's addresses, in their order; the second is slow.
// Loopback only; it ends by itself and leaves nothing running.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <regex>
#include <sstream>

#include "rig/node.hpp"
#include "rig/targets.hpp"

using namespace lockgw::rig;
using namespace std::chrono_literals;

namespace {

std::string read(const std::string& path) {
    std::ifstream stream(path);
    if (!stream) throw std::runtime_error("cannot read " + path);
    return {std::istreambuf_iterator<char>(stream), {}};
}

/// The file with this run's addresses: of targets for its endpoints, and of the client's side.
std::string with_addresses(std::string text, const Targets& targets, std::size_t count,
    const std::string& listen, const std::string& state) {
    for (std::size_t i = 0; i < count; ++i) {
        const std::regex next("(\n *address = )\"[^\"@]*\"");
        text = std::regex_replace(
            text, next, "$1\"@" + targets.address(i) + "\"", std::regex_constants::format_first_only);
    }
    std::erase(text, '@');
    text = std::regex_replace(text, std::regex("\nlisten = \"[^\"]*\""), "\nlisten = \"" + listen + "\"");
    return std::regex_replace(text, std::regex("\nstate = \"[^\"]*\""), "\nstate = \"" + state + "\"");
}

std::size_t addresses_in(const std::string& text) {
    const std::regex each("\n *address = \"");
    return static_cast<std::size_t>(
        std::distance(std::sregex_iterator(text.begin(), text.end(), each), std::sregex_iterator()));
}

struct Kind {
    const char *name, *fields;
};
constexpr Kind kKinds[] = {{"order to the lab", "c=order-submit,t=shop-supply,d=16000,dest=3"},
    {"status update to the lab", "c=status-update,t=shop-supply,d=5000,dest=3"},
    {"order to the shop", "c=order-submit,t=shop-supply,d=16000,dest=7"},
    {"clinic order to the shop", "c=order-submit,t=clinic-orders,d=16000,dest=7"}};

}  // namespace

int main(int count, char** words) {
    CLI::App app("Hands messages in at a lockgw of its own and prints how they ended.");
    std::string program, file;
    int messages = 300;
    app.add_option("--program", program, "the forwarder")->required()->check(CLI::ExistingFile);
    app.add_option("--file", file, "an operator's file")->required()->check(CLI::ExistingFile);
    app.add_option("--messages", messages, "of all kinds")->check(CLI::Range(4, 20'000));
    CLI11_PARSE(app, count, words);
    try {
        const std::string text = read(file);
        const std::size_t endpoints = addresses_in(text);
        Targets targets(endpoints);
        if (endpoints > 1) targets.usual(1, {CallScript::Kind::Answer, 200, "", 30ms, true});
        Node node(make_config("127.0.0.1:1", "127.0.0.1:1"), std::filesystem::absolute(program).string());
        const auto own = node.folder() / "operator.toml";
        std::filesystem::create_directories(node.state());
        std::ofstream(own) << with_addresses(
            text, targets, endpoints, text_of(node.address()), node.state().string());
        node.set_environment("LOCKGW_CONFIG", own.string());
        node.alone();
        node.start_ready();

        std::map<std::string, std::map<std::string, int>> ends;
        std::map<std::string, std::string> kind_of;
        Client client = node.client();
        for (int i = 0; i < messages; ++i) {
            const Kind& kind = kKinds[i % std::size(kKinds)];
            char id[17];
            std::snprintf(id, sizeof id, "%016x", 0x1000 + i);
            const std::string answer = client.ask(
                {"ENQUEUE", "0000000000000000", id, std::string(kind.fields) + ",k=" + id, "BODY"});
            if (answer == "+OK")
                kind_of[id] = kind.name;
            else
                ++ends[kind.name]
                      [answer.starts_with("-BUSY") ? "told to come again" : "refused: " + answer.substr(1)];
        }
        const auto until = Clock::now() + 20s;
        while (Clock::now() < until && targets.effects_by_id().size() < kind_of.size())
            std::this_thread::sleep_for(20ms);
        std::map<std::string, std::size_t> where;
        for (const auto& call : targets.calls()) where[call.id] = call.target;
        const auto effects = targets.effects_by_id();
        const std::string log = node.log();  // without a platform the ends of those not delivered stand there
        const auto other_end = [&log](const std::string& id) {
            return log.find(id + " ended dead") != std::string::npos ? "ended dead: out of time"
                   : log.find(id + " ended bounced") != std::string::npos
                       ? "ended bounced: told to come again"
                       : "still held after 20 s";
        };
        for (const auto& [id, kind] : kind_of)
            ++ends[kind][effects.contains(id)
                             ? "delivered by endpoint " + std::to_string(where.at(id) + 1) + " of the file"
                             : other_end(id)];
        node.terminate();
        node.wait();
        std::cout << "\nhow " << messages << " messages ended:\n" << std::left;
        for (const auto& [kind, how] : ends)
            for (const auto& [end, number] : how)
                std::cout << "  " << std::setw(28) << kind << std::setw(6) << number << end << '\n';
        return 0;
    } catch (const std::exception& bad) {
        std::cerr << "lockgw_rig_demo: " << bad.what() << '\n';
        return 1;
    }
}
