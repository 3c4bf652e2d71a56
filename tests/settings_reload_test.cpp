// Settings taken over while the program runs: numbers that keep their meaning, terms that outlast the
// process, and files that are refused whole.
#include "node_fixture.hpp"

namespace lockgw {
namespace {

using namespace cometspoke::settings;
using cometspoke::ClassSettings;
using cometspoke::Effect;

Json settings_json() { return make_config("127.0.0.1:1", "127.0.0.1:2")["settings"]; }
Json class_json(const char* name, const char* effect, double limit_ms = 60000) {
    return {{"name", name}, {"effect", effect}, {"aim_ms", 4000}, {"hard_limit_ms", limit_ms},
        {"window_ms", 4000}, {"worth", 1}};
}
InForce of(const Json& params) {
    const Names names = names_of(params);
    return {names, settings_of(params, names), names.tenants};
}
bool nobody(std::size_t) { return false; }
bool everybody(std::size_t) { return true; }

TEST(TakenOver, KeepsTheNumbersOfWhatStaysAndGivesNewOnesToWhatChanges) {
    const InForce before = of(settings_json());
    Json fresh = settings_json();
    fresh["classes"] = {class_json("brand-new", "dedup"), class_json("safe", "retryable"),
        class_json("unsafe", "dedup")};  // "keyed" dropped, "unsafe" changed, in another order
    const InForce after = taken_over(before, of(fresh), everybody);
    EXPECT_EQ(after.names.classes.at("safe"), before.names.classes.at("safe"));
    EXPECT_FALSE(after.names.classes.contains("keyed"));
    for (const auto& [name, number] : before.names.classes)  // what is held means what it meant
        EXPECT_EQ(after.settings.classes[number], before.settings.classes[number]) << name;
    EXPECT_EQ(after.settings.classes[after.names.classes.at("unsafe")].effect, Effect::Dedup);
    EXPECT_EQ(after.settings.classes[after.names.classes.at("brand-new")].effect, Effect::Dedup);
    std::set<std::size_t> numbers;
    for (const auto& [name, number] : after.names.classes) EXPECT_TRUE(numbers.insert(number).second) << name;
}

TEST(TakenOver, NumbersThatNobodyBearsAreUsedAgain) {
    InForce now = of(settings_json());
    for (int i = 0; i < 5000; ++i) {
        Json fresh = settings_json();
        fresh["classes"].push_back(class_json("extra", "retryable", 1000 + i));
        now = taken_over(now, of(fresh), nobody);
    }
    EXPECT_LE(now.settings.classes.size(), 8u);
    EXPECT_EQ(now.settings.classes[now.names.classes.at("extra")].deadline, from_ms(1000 + 4999));
}

TEST(TakenOver, DroppedTenantsAreUnknownAndKeepTheirNumbers) {
    Json first = settings_json(), second = settings_json();
    first["tenants"] = {{{"name", "a"}, {"quota_per_s", 1.0}}, {{"name", "b"}, {"quota_per_s", 2.0}}};
    second["tenants"] = {{{"name", "c"}, {"quota_per_s", 3.0}}, {{"name", "b"}, {"quota_per_s", 4.0}}};
    const InForce after = taken_over(of(first), of(second), everybody);
    EXPECT_EQ(after.names.tenants.size(), 2u);
    EXPECT_EQ(after.names.tenants.at("b"), 1u);
    EXPECT_EQ(after.settings.tenants[1].quota_per_s, 4.0);
    EXPECT_EQ(after.settings.tenants[0].quota_per_s, 1.0) << "what is held of a";
    EXPECT_EQ(after.settings.tenants[after.names.tenants.at("c")].quota_per_s, 3.0);
}

TEST(Settings, WhatIsNoPositiveNumberIsRefusedWithItsPlace) {
    const auto refused = [](const char* pointer, const Json& value) -> std::string {
        Json params = settings_json();
        params[Json::json_pointer(pointer)] = value;
        try {
            of(params);
        } catch (const std::exception& bad) {
            return bad.what();
        }
        return "";
    };
    for (const Json& bad :
        {Json(0), Json(-1), Json("12"), Json(nullptr), Json(2.5), Json(1e300), Json::array()}) {
        EXPECT_NE(refused("/limits/max_attempts", bad), "") << bad;
        EXPECT_NE(refused("/limits/most_held", bad), "") << bad;
    }
    for (const Json& bad : {Json(0), Json(-5), Json("12"), Json(nullptr), Json(1e300)})
        EXPECT_NE(refused("/classes/1/hard_limit_ms", bad).find("keyed"), std::string::npos) << bad;
    EXPECT_NE(refused("/classes/1/name", "safe"), "") << "twice the same name";
    EXPECT_EQ(refused("/limits/max_attempts", 3), "");
}

TEST(Settings, ShapeNamesWhatAllClassesHave) {
    Json params = settings_json();
    const auto whole = shape_of(params);
    EXPECT_TRUE(whole.contains("limits.max_attempts"));
    EXPECT_TRUE(whole.contains("classes[].worth"));
    params["classes"][1].erase("worth");
    params["limits"].erase("cancel");
    const auto less = shape_of(params);
    EXPECT_FALSE(less.contains("classes[].worth"));
    EXPECT_FALSE(less.contains("limits.cancel"));
}

Message message_of_class(MessageId id, std::shared_ptr<const ClassSettings> terms) {
    Message message;
    message.id = id, message.message_class = "notice", message.body = "B";
    message.deadline.wall = std::chrono::microseconds(1'000'000);
    message.terms = std::move(terms);
    return message;
}
std::shared_ptr<const ClassSettings> terms_of(std::size_t attempts) {
    ClassSettings terms;
    terms.effect = Effect::Dedup, terms.deadline = std::chrono::seconds(7), terms.max_attempts = attempts;
    terms.worth = 2.5, terms.sequential = true;
    return std::make_shared<const ClassSettings>(terms);
}

TEST(JournalTerms, OutlastTheProcessAndCompactions) {
    TemporaryFolder folder;
    for (int round = 0; round < 3; ++round) {
        Journal journal(folder.path(), 1 << 20);
        for (std::size_t i = 1; i <= 300; ++i) {
            const MessageId id = static_cast<MessageId>(round) * 1000 + i;
            ASSERT_TRUE(journal.take_on(message_of_class(id, i % 3 == 0 ? nullptr : terms_of(i))));
            if (i <= 290) journal.delivered(id);
        }
        for (const auto& [id, entry] : journal.entries()) {
            const std::size_t i = id % 1000;
            ASSERT_EQ(entry.message.terms != nullptr, i % 3 != 0) << id;
            if (entry.message.terms) {
                EXPECT_EQ(*entry.message.terms, *terms_of(i));
            }
        }
    }
    const Journal journal(folder.path(), 1 << 20);
    EXPECT_EQ(journal.entries().size(), 30u);
}

class RetuneTest : public NodeTest {
protected:
    RetuneTest() { node.config()["settings"]["limits"]["max_attempts"] = 3; }
    void reload(const Json& config) {
        const std::string before = node.log();
        node.reload(config.dump());
        const auto until = Clock::now() + kDeadline;
        const auto told = [&](const char* line) {  // other lines come at any time
            return node.log().find(line, before.size()) != std::string::npos;
        };
        while (!told("configuration read anew") && !told("configuration stays") && Clock::now() < until)
            std::this_thread::sleep_for(5ms);
    }
    Json without(const char* name) {
        Json config = node.config();
        Json& classes = config["settings"]["classes"];
        for (std::size_t i = 0; i < classes.size(); ++i)
            if (classes[i]["name"] == name) classes.erase(i--);
        return config;
    }
};

TEST_F(RetuneTest, ClassesComeAndGoWithTheirNamesAndRules) {
    node.start_ready();
    Client client = node.client();
    EXPECT_TRUE(enqueue(client, id, "express").starts_with("-ERR"));
    Json more = without("unsafe");
    more["settings"]["classes"].push_back(class_json("express", "fragile"));
    reload(more);
    EXPECT_EQ(enqueue(client, id, "express"), "+OK");
    target.next().answer(500);  // fragile: it may have run, and ends dead at once
    EXPECT_EQ(final_statuses(agent_request("/reports"))[0]["result"], "dead");
    EXPECT_TRUE(enqueue(client, "00000000000000aa", "unsafe").starts_with("-ERR unknown class unsafe"));
    reload(node.config());
    EXPECT_TRUE(enqueue(client, "00000000000000ab", "express").starts_with("-ERR unknown class express"));
    EXPECT_EQ(enqueue(client, "00000000000000ac", "unsafe"), "+OK");
}

// Open messages keep the terms under which they were taken, also over SIGKILL: "safe" may be repeated, the
// class that takes its name may not, and it is gone altogether at the restart.
TEST_F(RetuneTest, OpenMessagesKeepTheirTerms) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "safe"), "+OK");
    Exchange first = target.next();
    Json other = without("safe");
    other["settings"]["classes"].push_back(class_json("safe", "fragile"));
    other["settings"]["limits"]["max_attempts"] = 1;
    reload(other);
    ASSERT_EQ(enqueue(client, "00000000000000aa", "safe"), "+OK");
    Exchange fresh = target.next();
    EXPECT_EQ(fresh.header("X-Call-Id"), "00000000000000aa");
    fresh.answer(500);  // of the new class: it may have run
    const Exchange report = agent_request("/reports");
    EXPECT_EQ(final_statuses(report)[0]["ref"], "00000000000000aa");
    report.answer(204);
    first.answer(500);
    Exchange second = target.next();  // repeated all the same
    EXPECT_EQ(second.header("X-Call-Id"), id);
    node.kill(), node.wait();
    node.config() = without("safe");
    node.start_ready();
    Exchange third = target.next();  // of three attempts, the last
    EXPECT_EQ(third.header("X-Call-Id"), id);
    third.answer(200);
    EXPECT_TRUE(no_report_within(300ms));
}

TEST_F(RetuneTest, NothingIsTakenOfABrokenFile) {
    node.start_ready();
    Json base = node.config();
    base["discovery"] = "127.0.0.1:9";
    base["settings"]["classes"].push_back(class_json("express", "fragile"));
    std::vector<std::string> broken{"", "{", base.dump().substr(0, base.dump().size() / 2), "{}"};
    const auto with = [&](const char* pointer, const Json& value) {
        Json bad = base;
        bad[Json::json_pointer(pointer)] = value;
        broken.push_back(bad.dump());
    };
    const auto lacking = [&](const char* pointer, const char* key) {
        Json bad = base;
        bad[Json::json_pointer(pointer)].erase(key);
        broken.push_back(bad.dump());
    };
    with("/settings/limits/max_attempts", 0), with("/settings/limits/max_attempts", -3);
    with("/settings/classes/3/hard_limit_ms", 0), with("/settings/classes/3/hard_limit_ms", "soon");
    with("/settings/classes/3/hard_limit_ms", -1), with("/settings/limits/max_attempts", "many");
    lacking("", "settings"), lacking("/settings", "classes"), lacking("/settings", "limits");
    lacking("/settings/limits", "max_attempts"), lacking("/settings/limits", "cancel");
    lacking("/settings/classes/3", "worth"), lacking("/settings/classes/3", "effect");
    lacking("/settings/classes/3", "hard_limit_ms"), lacking("/settings/contract", "fall_ms");
    Client client = node.client();
    for (const std::string& bad : broken) {
        const std::string before = node.log();
        node.reload(bad);
        const auto said = [&] { return node.log().substr(before.size()); };
        const auto until = Clock::now() + kDeadline;
        while (said().find('\n') == std::string::npos && Clock::now() < until)
            std::this_thread::sleep_for(5ms);
        EXPECT_NE(said().find("the old configuration stays"), std::string::npos) << bad << said();
        EXPECT_TRUE(enqueue(client, id, "express").starts_with("-ERR unknown class")) << bad;
    }
    ASSERT_EQ(enqueue(client, id), "+OK");
    EXPECT_EQ(target.next().header("X-Call-Id"), id);
}

}  // namespace
}  // namespace lockgw
