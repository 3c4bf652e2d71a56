// The operator's file: a corpus of invalid files, each with the rule and line of the expected problem; routes
// and expectations of random files; and the comparison of two files.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include "config/operator_file.hpp"
#include "program/load.hpp"
#include "routes/expectations.hpp"

namespace lockgw {
namespace {

using config::Problems;

std::string read(const std::filesystem::path& path) {
    std::ifstream stream(path);
    return {std::istreambuf_iterator<char>(stream), {}};
}

class Corpus : public ::testing::TestWithParam<std::filesystem::path> {};
TEST_P(Corpus, ReportsTheExpectedRuleAndLine) {
    std::istringstream head(read(GetParam()));
    std::string hash, expect, rule;
    std::uint32_t line = 0;
    head >> hash >> expect >> line >> rule;
    Problems problems(GetParam().string());
    EXPECT_FALSE(program::load({GetParam().string(), "", "", ""}, problems));
    bool found = false;
    for (const auto& problem : problems.sorted()) found |= problem.rule == rule && problem.place.line == line;
    EXPECT_TRUE(found) << "expected " << rule << " in line " << line << "; found\n" << problems.text();
}
std::vector<std::filesystem::path> corpus_files() {
    std::vector<std::filesystem::path> paths;
    for (const auto& entry : std::filesystem::directory_iterator(CORPUS_FOLDER))
        paths.push_back(entry.path());
    std::sort(paths.begin(), paths.end());
    return paths;
}
INSTANTIATE_TEST_SUITE_P(Config, Corpus, ::testing::ValuesIn(corpus_files()),
    [](const auto& info) { return info.param.stem().string(); });

class OperatorFileTest : public ::testing::Test {
protected:
    std::optional<program::Loaded> load(const std::string& text, const std::string& name = "file.toml") {
        const auto path = folder / name;
        std::filesystem::remove(
            path);  // some file systems flush a file at once when it is truncated and rewritten
        std::ofstream(path) << text;
        problems = Problems(name);
        return program::load({path.string(), "", "", ""}, problems);
    }
    OperatorFileTest() { std::filesystem::create_directories(folder); }
    ~OperatorFileTest() override { std::filesystem::remove_all(folder); }

    std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("lockgw-routes-" + std::to_string(::getpid()));
    Problems problems{"file.toml"};
};

TEST_F(OperatorFileTest, TheExampleIsValid) {
    Problems found(EXAMPLE_FILE);
    const auto loaded = program::load({EXAMPLE_FILE, "", "", ""}, found);
    ASSERT_TRUE(loaded) << found.text();
    const auto status =
        loaded->table.resolve({"status-update", "shop-supply", 3}, loaded->members.endpoints_of(3));
    EXPECT_EQ(status.endpoints, std::vector<std::string>{"lab.example.org/b"});
    EXPECT_EQ(status.rule, "route \"status-to-b\"");
    EXPECT_TRUE(
        loaded->table.resolve({"order-submit", "clinic-orders", 7}, loaded->members.endpoints_of(7)).refused);
    EXPECT_TRUE(
        loaded->table.resolve({"status-update", "shop-supply", 7}, loaded->members.endpoints_of(7)).refused);
}

TEST_F(OperatorFileTest, ReportsAllErrors) {
    EXPECT_FALSE(load("[limits]\nslots = 0\nheld = \"x\"\nslts = 3\n[[class]]\nname = \"a b\"\n"));
    EXPECT_GE(problems.count(), 5u) << problems.text();
}

TEST_F(OperatorFileTest, RejectsInvalidInputWithoutFault) {
    std::mt19937 random(11);
    std::string noise(1 << 20, '\0');
    for (char& letter : noise) letter = static_cast<char>(random());
    EXPECT_FALSE(load(noise));
    EXPECT_FALSE(load(std::string(1 << 20, '[')));
    EXPECT_FALSE(load(std::string(17u << 20, '#')));
    std::string unknown_keys;
    for (int i = 0; i < 5000; ++i) unknown_keys += "k" + std::to_string(i) + " = 1\n";
    EXPECT_FALSE(load(unknown_keys));
    EXPECT_LE(problems.sorted().size(), Problems::kMost);
    const std::string example = read(EXAMPLE_FILE);  // truncated anywhere, as if read while it is written
    for (std::size_t size = 0; size < example.size(); size += 37) {
        const auto loaded = load(example.substr(0, size));
        EXPECT_TRUE(!loaded || !loaded->file.destinations.empty()) << size;
    }
}

// An expectation on the connections that a cluster of 40, by its list of peers, keeps to one of ten
// endpoints.
TEST_F(OperatorFileTest, ChecksConnectionsOfTheCluster) {
    std::string text = "[instance]\nlisten = \"127.0.0.1:1\"\nstate = \"s\"\npeers = [";
    for (int i = 0; i < 40; ++i) text += "\"127.0.0.1:" + std::to_string(2000 + i) + "\",";
    text +=
        "]\n[[class]]\nname = \"c\"\naim_ms = 1\ndeadline_ms = 9\n[[destination]]\nname = "
        "\"lab\"\nnumber = 3\n";
    for (int i = 0; i < 10; ++i)
        text += "[[destination.endpoint]]\nname = \"e" + std::to_string(i) +
                "\"\naddress = \"127.0.0.1:" + std::to_string(100 + i) + "\"\n";
    const auto with_expectation = [&](int max_connections, const std::string& rate,
                                      const std::string& prefix = "") {
        return prefix + text + "[[expect]]\nname = \"few\"\ndestination = \"lab\"\nat = \"e3\"\n" +
               "messages_per_s = " + rate + "\nconnections_at_most = " + std::to_string(max_connections) +
               "\n";
    };
    EXPECT_TRUE(load(with_expectation(5, "0.1"))) << problems.text();
    EXPECT_FALSE(load(with_expectation(2, "0.1")));
    EXPECT_NE(problems.text().find("expected at most 2 connections of the tier to \"e3\"; found"),
        std::string::npos)
        << problems.text();
    EXPECT_FALSE(load(with_expectation(30, "100"))) << "at this rate all targets are used";
    EXPECT_TRUE(load(with_expectation(30, "1", "[spread]\nmost_targets = 2\n"))) << problems.text();
}

/// A file of random rows with few different names, so that they often overlap.
std::string random_file(std::mt19937& random, std::vector<std::string>* destinations = nullptr) {
    std::ostringstream text;
    text << "[instance]\nlisten = \"127.0.0.1:1\"\nstate = \"s\"\n";
    for (const char* name : {"k0", "k1"}) text << "[[kind]]\nname = \"" << name << "\"\n";
    for (const char* name : {"c0", "c1", "c2"})
        text << "[[class]]\nname = \"" << name << "\"\naim_ms = 1\ndeadline_ms = 9\n";
    for (const char* name : {"t0", "t1"}) text << "[[tenant]]\nname = \"" << name << "\"\n";
    const int count = 1 + static_cast<int>(random() % 4);
    for (int d = 0; d < count; ++d) {
        text << "[[destination]]\nname = \"d" << d << "\"\nnumber = " << d << "\nkind = \"k" << random() % 2
             << "\"\n";
        if (destinations) destinations->push_back("d" + std::to_string(d));
        for (int e = 0; e < 3; ++e)
            text << "[[destination.endpoint]]\nname = \"e" << e
                 << "\"\naddress = \"127.0.0.1:" << 100 + d * 10 + e << "\"\n";
    }
    const auto maybe_add = [&](const char* key, const char* prefix, int name_count) {
        if (random() % 2) return;
        text << key << " = [\"" << prefix << random() % static_cast<unsigned>(name_count) << "\"]\n";
    };
    for (int r = 0, routes = static_cast<int>(random() % 6); r < routes; ++r) {
        text << "[[route]]\nname = \"r" << r << "\"\n";
        maybe_add("class", "c", 3), maybe_add("tenant", "t", 2);
        if (random() % 4 == 0) {
            maybe_add("kind", "k", 2), maybe_add("destination", "d", count);
            text << "refuse = true\n";
        } else {
            text << "destination = [\"d" << random() % static_cast<unsigned>(count) << "\"]\nendpoints = [\"e"
                 << random() % 3 << "\"" << (random() % 2 ? "" : ", \"d0/e0\"") << "]\n";
        }
    }
    return text.str();
}

// Compares the compiled table with a linear search of the rows in the order of the file.
TEST_F(OperatorFileTest, TheFirstMatchingRouteDecides) {
    std::mt19937 random(2026);
    int checked = 0;
    for (int run = 0; run < 400; ++run) {
        const auto loaded = load(random_file(random));
        if (!loaded)
            continue;  // invalid by chance: an unreachable route, or an endpoint of another destination
        const auto allows = [](const std::vector<config::Word>& words, const std::string& value) {
            return words.empty() || std::any_of(words.begin(), words.end(),
                                        [&](const auto& word) { return word.text == value; });
        };
        for (const auto& destination : loaded->file.destinations)
            for (const char* message_class : {"c0", "c1", "c2"})
                for (const char* tenant : {"t0", "t1"}) {
                    const config::RouteRow* expected = nullptr;
                    for (const auto& row : loaded->file.routes)
                        if (!expected && allows(row.classes, message_class) && allows(row.tenants, tenant) &&
                            allows(row.kinds, destination.kind->text) &&
                            allows(row.destinations, destination.name.text))
                            expected = &row;
                    const auto found = loaded->table.resolve({message_class, tenant, destination.number},
                        loaded->members.endpoints_of(destination.number));
                    ASSERT_EQ(found.rule,
                        expected ? "route \"" + expected->name.text + '"' : loaded->table.rule_text(0))
                        << "run " << run;
                    ASSERT_EQ(found.refused, expected && expected->refuse);
                    ++checked;
                }
    }
    EXPECT_GT(checked, 300);
}

// The expectations of the old file are checked against the new one, even if the new file does not contain
// them.
TEST_F(OperatorFileTest, ComparisonReportsBrokenAndDroppedExpectations) {
    const std::string old_text = read(EXAMPLE_FILE);
    const auto before = load(old_text, "old.toml");
    ASSERT_TRUE(before) << problems.text();
    const auto changed = [&](const std::string& from, const std::string& to) {
        std::string text = old_text.substr(0, old_text.find("[[expect]]"));  // without its expectations
        text.replace(text.find(from), from.size(), to);
        const auto after = load(text, "new.toml");
        EXPECT_TRUE(after) << problems.text();
        return routes::compare_routing(before->scene(), after->scene());
    };
    const auto other_endpoint = changed("endpoints = [\"b\"]", "endpoints = [\"a\"]");
    EXPECT_EQ(other_endpoint.dropped_expectations.size(), 3u);
    ASSERT_EQ(other_endpoint.broken_expectations.size(), 1u);
    EXPECT_NE(other_endpoint.broken_expectations[0].find("status updates go to b"), std::string::npos);
    EXPECT_NE(other_endpoint.broken_expectations[0].find("lab.example.org"), std::string::npos);
    EXPECT_EQ(other_endpoint.changes.size(), 2u);  // one for each tenant
    EXPECT_EQ(changed("refuse = true", "endpoints = [\"a\"]").broken_expectations.size(), 1u);
}

// The operator's file and the list of discovery place an endpoint at different destinations: loading fails.
TEST_F(OperatorFileTest, ReportsAnEndpointThatMoved) {
    std::string text = read(EXAMPLE_FILE);
    const auto list = folder / "members.json";
    std::ofstream(list) << R"({"revision":1,"complete":true,"members":[{"id":"lab.example.org/b",)"
                           R"("host_port":"127.0.0.1:7402","locality":"","flavor":"lens-lab","cell":7,)"
                           R"("phase":"in_service","size":1.0,"up_since_ms":0}]})";
    Problems found("file");
    EXPECT_FALSE(program::load({EXAMPLE_FILE, "", "", list.string()}, found));
    EXPECT_NE(found.text().find("endpoint-moved"), std::string::npos) << found.text();
}

}  // namespace
}  // namespace lockgw
