// Settings that change while the program runs: classes and tenants keep their numbers, messages keep the
// class settings under which they were accepted, also over a restart, and invalid files are rejected as a
// whole.
#include "config/missing_keys.hpp"
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
InForce settings_in_force(const Json& params) {
    const Names names = names_of(params);
    return {names, settings_of(params, names), names.tenants};
}
bool no_class_in_use(std::size_t) { return false; }
bool all_classes_in_use(std::size_t) { return true; }

TEST(SettingsTakenOver, UnchangedClassesKeepTheirNumbersAndChangedOnesGetNewNumbers) {
    const InForce before = settings_in_force(settings_json());
    Json fresh = settings_json();
    fresh["classes"] = {class_json("brand-new", "dedup"), class_json("safe", "retryable"),
        class_json("unsafe", "dedup")};  // "keyed" dropped, "unsafe" changed, in another order
    const InForce after = taken_over(before, settings_in_force(fresh), all_classes_in_use);
    EXPECT_EQ(after.names.classes.at("safe"), before.names.classes.at("safe"));
    EXPECT_FALSE(after.names.classes.contains("keyed"));
    for (const auto& [name, number] : before.names.classes)  // held messages keep their settings
        EXPECT_EQ(after.settings.classes[number], before.settings.classes[number]) << name;
    EXPECT_EQ(after.settings.classes[after.names.classes.at("unsafe")].effect, Effect::Dedup);
    EXPECT_EQ(after.settings.classes[after.names.classes.at("brand-new")].effect, Effect::Dedup);
    std::set<std::size_t> numbers;
    for (const auto& [name, number] : after.names.classes) EXPECT_TRUE(numbers.insert(number).second) << name;
}

TEST(SettingsTakenOver, UnusedClassNumbersAreReused) {
    InForce current = settings_in_force(settings_json());
    for (int i = 0; i < 5000; ++i) {
        Json fresh = settings_json();
        fresh["classes"].push_back(class_json("extra", "retryable", 1000 + i));
        current = taken_over(current, settings_in_force(fresh), no_class_in_use);
    }
    EXPECT_LE(current.settings.classes.size(), 8u);
    EXPECT_EQ(current.settings.classes[current.names.classes.at("extra")].deadline, from_ms(1000 + 4999));
}

TEST(SettingsTakenOver, DroppedTenantsAreUnknownAndKeepTheirNumbers) {
    Json first = settings_json(), second = settings_json();
    first["tenants"] = {{{"name", "a"}, {"quota_per_s", 1.0}}, {{"name", "b"}, {"quota_per_s", 2.0}}};
    second["tenants"] = {{{"name", "c"}, {"quota_per_s", 3.0}}, {{"name", "b"}, {"quota_per_s", 4.0}}};
    const InForce after = taken_over(settings_in_force(first), settings_in_force(second), all_classes_in_use);
    EXPECT_EQ(after.names.tenants.size(), 2u);
    EXPECT_EQ(after.names.tenants.at("b"), 1u);
    EXPECT_EQ(after.settings.tenants[1].quota_per_s, 4.0);
    EXPECT_EQ(after.settings.tenants[0].quota_per_s, 1.0) << "held messages of tenant a";
    EXPECT_EQ(after.settings.tenants[after.names.tenants.at("c")].quota_per_s, 3.0);
}

TEST(Settings, InvalidNumbersAreRejectedWithTheirPosition) {
    const auto error_for = [](const char* pointer, const Json& value) -> std::string {
        Json params = settings_json();
        params[Json::json_pointer(pointer)] = value;
        try {
            settings_in_force(params);
        } catch (const std::exception& error) {
            return error.what();
        }
        return "";
    };
    for (const Json& value :
        {Json(0), Json(-1), Json("12"), Json(nullptr), Json(2.5), Json(1e300), Json::array()}) {
        EXPECT_NE(error_for("/limits/max_attempts", value), "") << value;
        EXPECT_NE(error_for("/limits/most_held", value), "") << value;
    }
    for (const Json& value : {Json(0), Json(-5), Json("12"), Json(nullptr), Json(1e300)})
        EXPECT_NE(error_for("/classes/1/hard_limit_ms", value).find("keyed"), std::string::npos) << value;
    EXPECT_NE(error_for("/classes/1/name", "safe"), "") << "the same name twice";
    EXPECT_EQ(error_for("/limits/max_attempts", 3), "");
}

Json without_key(Json file, const char* object, const char* key) {
    file[Json::json_pointer(object)].erase(key);
    return file;
}

TEST(MissingKeys, ListsWhatTheFreshFileLacks) {
    using config::missing_keys;
    using Places = std::vector<std::string>;
    const Json file = make_config("127.0.0.1:1", "127.0.0.1:2");
    EXPECT_EQ(missing_keys(file, file), Places{});
    EXPECT_EQ(missing_keys(file, without_key(file, "", "discovery")), Places{"discovery"});
    EXPECT_EQ(missing_keys(file, without_key(file, "/limits", "memory_mb")), Places{"limits.memory_mb"});
    EXPECT_EQ(missing_keys(file, without_key(file, "/settings/limits", "max_attempts")),
        Places{"settings.limits.max_attempts"});
    const Places one_class = missing_keys(file, without_key(file, "/settings/classes/1", "worth"));
    EXPECT_EQ(one_class, (Places{"settings.classes[].worth", "settings.classes[keyed].worth"}));
    EXPECT_EQ(missing_keys(without_key(file, "", "name"), file), Places{}) << "more keys than before";
}

TEST(MissingKeys, AKeyOfOneClassAloneMustStayThere) {
    Json file = settings_json();
    file["classes"][1]["dedup_scope"] = "zone";
    EXPECT_EQ(
        config::missing_keys(file, settings_json()), std::vector<std::string>{"classes[keyed].dedup_scope"});
    Json dropped = file;
    dropped["classes"].erase(1);
    dropped["classes"].push_back(class_json("express", "fragile"));
    EXPECT_TRUE(config::missing_keys(file, dropped).empty()) << "classes may come and go";
}

TEST(MissingKeys, AnotherTypeAndAnEmptiedListAreMissing) {
    const Json file{{"discovery", "127.0.0.1:1"}, {"known", Json::object()}, {"disk_mb", 3},
        {"peers", {"127.0.0.1:2"}}, {"tenants", {{{"name", "a"}}}}};
    Json fresh = file;
    fresh["disk_mb"] = 3.5;
    EXPECT_TRUE(config::missing_keys(file, fresh).empty());
    for (const Json& value : {Json(nullptr), Json(true), Json("x")}) {
        fresh = file;
        fresh["known"] = fresh["disk_mb"] = fresh["peers"] = value;
        EXPECT_EQ(config::missing_keys(file, fresh), (std::vector<std::string>{"disk_mb", "known", "peers"}));
    }
    fresh = file;
    fresh["peers"] = fresh["tenants"] = Json::array();
    EXPECT_EQ(config::missing_keys(file, fresh), (std::vector<std::string>{"peers[]", "tenants[]"}));
    fresh["tenants"] = {1};
    EXPECT_EQ(config::missing_keys(file, fresh), (std::vector<std::string>{"peers[]", "tenants[]"}));
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

TEST(JournalClassSettings, SurviveRestartsAndCompactions) {
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

class SettingsReloadTest : public NodeTest {
protected:
    SettingsReloadTest() { node.config()["settings"]["limits"]["max_attempts"] = 3; }
    void reload(const Json& config) {
        const std::string before = node.log();
        node.reload(config.dump());
        const auto until = Clock::now() + kDeadline;
        const auto logged = [&](const char* line) {  // other lines may be logged meanwhile
            return node.log().find(line, before.size()) != std::string::npos;
        };
        while (!logged("configuration read anew") && !logged("configuration stays") && Clock::now() < until)
            std::this_thread::sleep_for(5ms);
    }
    Json without_class(const char* name) {
        Json config = node.config();
        Json& classes = config["settings"]["classes"];
        for (std::size_t i = 0; i < classes.size(); ++i)
            if (classes[i]["name"] == name) classes.erase(i--);
        return config;
    }
};

TEST_F(SettingsReloadTest, ClassesAreAddedAndRemovedWithTheirSettings) {
    node.start_ready();
    Client client = node.client();
    EXPECT_TRUE(enqueue(client, id, "express").starts_with("-ERR"));
    Json changed = without_class("unsafe");
    changed["settings"]["classes"].push_back(class_json("express", "fragile"));
    reload(changed);
    EXPECT_EQ(enqueue(client, id, "express"), "+OK");
    target.next().answer(500);  // fragile: it may have run, and is reported dead at once
    EXPECT_EQ(final_statuses(agent_request("/reports"))[0]["result"], "dead");
    EXPECT_TRUE(enqueue(client, "00000000000000aa", "unsafe").starts_with("-ERR unknown class unsafe"));
    reload(node.config());
    EXPECT_TRUE(enqueue(client, "00000000000000ab", "express").starts_with("-ERR unknown class express"));
    EXPECT_EQ(enqueue(client, "00000000000000ac", "unsafe"), "+OK");
}

// Held messages keep the class settings under which they were accepted, also over SIGKILL. Here "safe" may be
// retried. The class that replaces it under the same name may not, and at the restart no class of this name
// is left.
TEST_F(SettingsReloadTest, HeldMessagesKeepTheirClassSettings) {
    node.start_ready();
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "safe"), "+OK");
    Exchange first = target.next();
    Json replaced = without_class("safe");
    replaced["settings"]["classes"].push_back(class_json("safe", "fragile"));
    replaced["settings"]["limits"]["max_attempts"] = 1;
    reload(replaced);
    ASSERT_EQ(enqueue(client, "00000000000000aa", "safe"), "+OK");
    Exchange of_new_class = target.next();
    EXPECT_EQ(of_new_class.header("X-Call-Id"), "00000000000000aa");
    of_new_class.answer(500);  // fragile: it may have run
    const Exchange report = agent_request("/reports");
    EXPECT_EQ(final_statuses(report)[0]["ref"], "00000000000000aa");
    report.answer(204);
    first.answer(500);
    Exchange second = target.next();  // retried under the old settings
    EXPECT_EQ(second.header("X-Call-Id"), id);
    node.kill(), node.wait();
    node.config() = without_class("safe");
    node.start_ready();
    Exchange third = target.next();  // the last of three attempts
    EXPECT_EQ(third.header("X-Call-Id"), id);
    third.answer(200);
    EXPECT_TRUE(no_report_within(300ms));
}

TEST_F(SettingsReloadTest, AnInvalidFileChangesNothing) {
    node.start_ready();
    Json base = node.config();
    base["discovery"] = "127.0.0.1:9";
    base["settings"]["classes"].push_back(class_json("express", "fragile"));
    std::vector<std::string> invalid_files{"", "{", base.dump().substr(0, base.dump().size() / 2), "{}"};
    const auto add_with = [&](const char* pointer, const Json& value) {
        Json json = base;
        json[Json::json_pointer(pointer)] = value;
        invalid_files.push_back(json.dump());
    };
    const auto add_without = [&](const char* pointer, const char* key) {
        Json json = base;
        json[Json::json_pointer(pointer)].erase(key);
        invalid_files.push_back(json.dump());
    };
    add_with("/settings/limits/max_attempts", 0), add_with("/settings/limits/max_attempts", -3);
    add_with("/settings/classes/3/hard_limit_ms", 0), add_with("/settings/classes/3/hard_limit_ms", "soon");
    add_with("/settings/classes/3/hard_limit_ms", -1), add_with("/settings/limits/max_attempts", "many");
    add_without("", "settings"), add_without("/settings", "classes"), add_without("/settings", "limits");
    add_without("/settings/limits", "max_attempts"), add_without("/settings/limits", "cancel");
    add_without("/settings/classes/3", "worth"), add_without("/settings/classes/3", "effect");
    add_without("/settings/classes/3", "hard_limit_ms"), add_without("/settings/contract", "fall_ms");
    Client client = node.client();
    for (const std::string& file : invalid_files) {
        const std::string before = node.log();
        node.reload(file);
        const auto new_log = [&] { return node.log().substr(before.size()); };
        const auto until = Clock::now() + kDeadline;
        while (new_log().find('\n') == std::string::npos && Clock::now() < until)
            std::this_thread::sleep_for(5ms);
        EXPECT_NE(new_log().find("the old configuration stays"), std::string::npos) << file << new_log();
        EXPECT_TRUE(enqueue(client, id, "express").starts_with("-ERR unknown class")) << file;
    }
    ASSERT_EQ(enqueue(client, id), "+OK");
    EXPECT_EQ(target.next().header("X-Call-Id"), id);
}

// A file of all that DEPLOY tells, so that each of its keys can be left out.
Json platform_file(const Json& base) {
    Json file = base;
    file["console"] = "127.0.0.1:" + std::to_string(rig::free_endpoint().port());
    file["peer_listen"] = "127.0.0.1:" + std::to_string(rig::free_endpoint().port());
    file["peers_all"] = "127.0.0.1:9";
    file["peers"] = {file["peer_listen"]};
    Json& settings = file["settings"];
    settings["me"] = 0, settings["az"] = "a", settings["weights"] = "off",
    settings["discovery"] = "automatic";
    settings["over_share_worth"] = 0.05, settings["floor_per_s"] = 0.0;
    settings["limits"]["peers"] = false, settings["limits"]["retry_after"] = true;
    settings["contract"]["drain_grace_ms"] = 500, settings["contract"]["settle_after_doubt_ms"] = 0;
    settings["family_info"]["routes_apart"] = {false}, settings["family_info"]["per_call"] = {1};
    settings["family_info"]["loses_worth"] = "linear";
    settings["tenants"][0]["quota_per_s"] = 20.0;
    for (Json& row : settings["classes"]) row["late_worth"] = 0.5;
    settings["classes"][1]["dedup_scope"] = "zone";  // one class alone tells it
    return file;
}
/// The places of all keys, but for those of the rows that discovery wrote.
void collect_keys(const Json& value, const Json::json_pointer& at, std::vector<Json::json_pointer>& keys) {
    if (!value.is_structured() || at == Json::json_pointer("/known/members")) return;
    for (const auto& [key, inner] : value.items()) {
        const auto place = value.is_array() ? at / std::stoul(key) : at / key;
        if (value.is_object()) keys.push_back(place);
        collect_keys(inner, place, keys);
    }
}
std::vector<Json::json_pointer> keys_of(const Json& file) {
    std::vector<Json::json_pointer> keys;
    collect_keys(file, Json::json_pointer(), keys);
    return keys;
}
Json without(Json file, const Json::json_pointer& place) {
    file[place.parent_pointer()].erase(place.back());
    return file;
}
/// Orders that may not be repeated become such that may: what a file that is taken would do.
Json with_unsafe_repeatable(Json file) {
    for (Json& row : file["settings"]["classes"])
        if (row["name"] == "unsafe") row["effect"] = "retryable";
    return file;
}

constexpr auto kLogPause = 25ms;  // the log has at most 50 equal lines a second

// Incident review-3: SIGHUP with a file that lacked a key outside the settings came into force, and orders
// that may not be repeated ran twice.
TEST_F(SettingsReloadTest, AFileThatLacksAnyKeyIsRefusedAndNoUnsafeMessageRunsTwice) {
    node.config() = platform_file(node.config());
    node.start_ready();
    const Json changed = with_unsafe_repeatable(node.config());
    const auto keys = keys_of(changed);
    ASSERT_GT(keys.size(), 60u);
    for (const auto& place : keys) {
        std::this_thread::sleep_for(kLogPause);
        const std::size_t before = node.log().size();
        reload(without(changed, place));
        const std::string log = node.log().substr(before);
        EXPECT_NE(log.find("the old configuration stays"), std::string::npos) << place.to_string() << log;
    }
    Client client = node.client();
    ASSERT_EQ(enqueue(client, id, "unsafe"), "+OK");
    target.next().answer(500);  // it may have run
    EXPECT_EQ(final_statuses(agent_request("/reports"))[0]["result"], "dead");
    EXPECT_TRUE(target.no_request_within(300ms));
    reload(changed);  // whole, it is taken
    EXPECT_TRUE(node.logs("configuration read anew reloads=1")) << node.log();
}

}  // namespace
}  // namespace lockgw
