// Messages go where `lockgw check` and `lockgw routes` say that they go: random operator files and discovery
// lists are loaded with load(), as by these commands, and compared with the calls of the running program.
#include <gtest/gtest.h>

#include <random>

#include "control/client.hpp"
#include "discovery_fixture.hpp"
#include "program/load.hpp"

namespace lockgw {
namespace {

constexpr int kDestinations = 6, kTargetsEach = 4, kRounds = 12;

class RoutesProperty : public DiscoveryTest {
protected:
    RoutesProperty() : DiscoveryTest(kDestinations * kTargetsEach) {
        node.config()["settings"]["tenants"] = {{{"name", "acme"}}, {{"name", "umbra"}}};
        node.config()["settings"]["kinds"] = {"shop", "lab"};
    }
    std::size_t pick(std::size_t count) { return random() % count; }
    bool one_in(std::size_t count) { return pick(count) == 0; }
    static std::string kind_of(int destination) { return destination % 2 == 0 ? "shop" : "lab"; }
    static std::string id_of(std::size_t target) { return "s-" + std::to_string(target); }

    /// A list of all targets: some draining, some gone; the first of each destination is always ready.
    std::vector<Json> random_members() {
        std::vector<Json> members;
        for (std::size_t target = 0; target < kDestinations * kTargetsEach; ++target) {
            const int destination = static_cast<int>(target) / kTargetsEach;
            const bool first = target % kTargetsEach == 0;
            Json entry = member(id_of(target), target, destination,
                first || one_in(2) ? "in_service"
                : one_in(2)        ? "terminating"
                                   : "terminated");
            entry["flavor"] = kind_of(destination);
            members.push_back(std::move(entry));
        }
        return members;
    }
    std::string maybe_key(const char* key, const std::vector<std::string>& names) {
        if (one_in(2)) return "";
        return std::string(key) + " = \"" + names[pick(names.size())] + "\"\n";
    }
    std::string random_file() {
        std::string text;
        for (int i = 0; i < kDestinations; ++i) {
            text += "[[destination]]\nname = \"d" + std::to_string(i) + "\"\nnumber = " + std::to_string(i) +
                    "\n";
            for (int j = 0; j < kTargetsEach; ++j)
                text += "[[destination.endpoint]]\nname = \"e" + std::to_string(j) + "\"\nid = \"" +
                        id_of(static_cast<std::size_t>(i * kTargetsEach + j)) + "\"\n";
        }
        for (std::size_t i = 0, count = 1 + pick(6); i < count; ++i) {
            text += "[[route]]\nname = \"r" + std::to_string(i) + "\"\n" +
                    maybe_key("class", {"safe", "keyed", "unsafe"}) + maybe_key("tenant", {"acme", "umbra"}) +
                    maybe_key("kind", {"shop", "lab"});
            const std::string destination = "d" + std::to_string(pick(kDestinations));
            if (one_in(3))
                text += "refuse = true\n";
            else
                text += "destination = \"" + destination + "\"\nendpoints = [\"e0\", \"e" +
                        std::to_string(1 + pick(3)) + "\"]\n";
        }
        return text;
    }
    std::optional<program::Loaded> load_files(const std::string& file, const std::vector<Json>& members) {
        write(node.folder() / "tried.toml", file);
        Json listed = members;
        write(node.folder() / "members.json",
            Json({{"revision", 1}, {"complete", true}, {"members", listed}}).dump());
        config::Problems problems("tried.toml");
        return program::load(
            {(node.folder() / "tried.toml").string(), (node.folder() / "config.json").string(),
                node.state().string(), (node.folder() / "members.json").string()},
            problems);
    }
    static void write(const std::filesystem::path& path, const std::string& text) {
        std::filesystem::remove(path);
        std::ofstream(path) << text;
    }
    std::string enqueue(Client& client, const routes::Query& query) {
        const std::string id = new_message_id();
        return client.ask({"ENQUEUE", "0000000000000000", id,
            "c=" + query.message_class + ",t=" + query.tenant + ",d=30000,k=" + id +
                ",dest=" + std::to_string(query.destination),
            "B"});
    }

    std::mt19937 random{20261201};
};

TEST_F(RoutesProperty, CallsGoToTheEndpointsThatLoadResolves) {
    std::size_t refused = 0, routed = 0, sent = 0;
    std::vector<Json> members = random_members();
    write(node.folder() / "operator.toml", "");
    node.set_environment("LOCKGW_CONFIG", (node.folder() / "operator.toml").string());
    start_with(members);
    Client client = node.client();
    for (int round = 0; round < kRounds; ++round) {
        std::string file = random_file();
        std::optional<program::Loaded> loaded_file;
        while (!(loaded_file = load_files(file, members)))
            file = random_file();  // invalid by chance: a route that can match nothing
        write(node.folder() / "operator.toml", file);
        control::ask(node.state() / "control", "reload");
        std::vector<std::pair<std::string, std::set<std::size_t>>> expected;
        const std::size_t before = targets.calls().size();
        for (const char* message_class : {"safe", "keyed", "unsafe"})
            for (const char* tenant : {"acme", "umbra"})
                for (int destination = 0; destination < kDestinations; ++destination) {
                    const routes::Query query{message_class, tenant, destination};
                    const auto resolution =
                        loaded_file->table.resolve(query, loaded_file->members.endpoints_of(destination));
                    const std::string answer = enqueue(client, query);
                    if (resolution.refused) {
                        EXPECT_EQ(answer, "-ERR refused by " + resolution.rule) << file;
                        ++refused;
                        continue;
                    }
                    ASSERT_EQ(answer, "+OK") << file;
                    char id[17];
                    std::snprintf(id, sizeof id, "%016x", last_message_number());
                    std::set<std::size_t> allowed;
                    for (const std::string& endpoint : resolution.endpoints)
                        allowed.insert(std::stoul(endpoint.substr(2)));
                    routed += resolution.route != routes::kDefaultRoute;
                    expected.emplace_back(id, allowed);
                }
        sent += expected.size();
        ASSERT_TRUE(targets.wait_calls(before + expected.size(), kDeadline)) << file << node.log();
        const auto calls = targets.calls();
        for (const auto& [id, allowed] : expected)
            for (std::size_t i = before; i < calls.size(); ++i)
                EXPECT_TRUE(calls[i].id != id || allowed.contains(calls[i].target))
                    << id << " at " << calls[i].target << '\n'
                    << file;
        members = random_members();
        directory.put_all(members);
        ASSERT_TRUE(directory.wait_asked_from(directory.revision(), kDeadline)) << node.log();
    }
    EXPECT_GT(refused, 20u);
    EXPECT_GT(routed, 20u);
    EXPECT_GT(sent, 150u);
}

}  // namespace
}  // namespace lockgw
