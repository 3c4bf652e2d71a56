#include "config/operator_file.hpp"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <unordered_map>
#include <utility>

#include "config/address.hpp"

namespace lockgw::config {

using cometspoke::Condition;

namespace {

constexpr double kLongestMs = 86.4e6;              // a day
constexpr std::int64_t kLongestHandOverMs = 3000;  // the platform ends a process 3.7 s after SIGTERM
constexpr std::int64_t kMostNumber = 1'000'000'000'000;

bool fits_name(const std::string& name) {
    if (name.empty() || name.size() > 128) return false;
    for (const char letter : name)
        if (!std::isalnum(static_cast<unsigned char>(letter)) &&
            std::string_view("-_.:").find(letter) == std::string_view::npos)
            return false;
    return true;
}

/// Rows of one kind by their names: each at most once.
class NameList {
public:
    /// `free`: any words; for what nobody writes elsewhere.
    NameList(const char* what, Problems& problems, bool free = false)
        : what_(what), problems_(problems), free_(free) {}
    void add(const Word& name) {
        if (name.text.empty()) return;  // its absence is told already
        if (!free_ && !fits_name(name.text))
            problems_.add(name.place, "bad-name",
                std::string(what_) + " \"" + name.text +
                    "\"; write 1 to 128 letters, digits, '-', '_', '.' or ':'");
        const auto [found, fresh] = names_.emplace(name.text, name.place);
        if (!fresh)
            problems_.add(name.place, "duplicate-name",
                std::string(what_) + " \"" + name.text + "\" stands in line " +
                    std::to_string(found->second.line) + " already; give one of them another name");
    }

private:
    const char* what_;
    Problems& problems_;
    bool free_;
    std::unordered_map<std::string, Place> names_;
};

class FileReader {
public:
    FileReader(const toml::table& table, OperatorFile& file, Problems& problems)
        : root_(table, "the file", problems), file_(file), problems_(problems) {}

    void read() {
        root_.table("instance", [this](TableReader& table) { instance(table); });
        root_.table("limits", [this](TableReader& table) { limits(table); });
        root_.table("door", [this](TableReader& table) { door(table); });
        root_.table("spread", [this](TableReader& table) { spread(table); });
        root_.table("tier", [this](TableReader& table) { tier(table); });
        root_.table("return", [this](TableReader& table) { recovery(table); });
        root_.table("work", [this](TableReader& table) { work(table); });
        root_.table("log", [this](TableReader& table) { log_settings(table); });
        root_.table("capture", [this](TableReader& table) { capture(table); });
        if (auto zones = root_.words("zones")) file_.zones = std::move(*zones);
        for (const Word& zone : file_.zones) zone_names_.add(zone);
        root_.tables("class", [this](TableReader& table) { message_class(table); });
        root_.tables("tenant", [this](TableReader& table) { tenant(table); });
        root_.tables("kind", [this](TableReader& table) { kind(table); });
        root_.tables("destination", [this](TableReader& table) { destination(table); });
        root_.tables("route", [this](TableReader& table) { route(table); });
        root_.tables("expect", [this](TableReader& table) { expect(table); });
        root_.finish();
    }

private:
    std::optional<Word> address(TableReader& table, const char* key) {
        const auto found = table.word(key);
        if (!found) return found;
        try {
            tcp_endpoint(found->text, key);
        } catch (const std::exception& bad) {
            table.problem(
                found->place, "bad-address", std::string(bad.what()) + "; write \"127.0.0.1:6379\"");
        }
        return found;
    }

    void instance(TableReader& table) {
        InstanceRow row;
        row.place = table.place();
        row.name = table.text("name", row.name);
        row.listen = address(table, "listen");
        row.discovery = address(table, "discovery");
        row.console = address(table, "console");
        row.peer_listen = address(table, "peer_listen");
        row.peers_all = address(table, "peers_all");
        if (auto peers = table.words("peers")) row.peers = std::move(*peers);
        row.state = table.text("state", "");
        row.zone = table.text("zone", "");
        row.seed = table.text("seed", "1");
        if (row.seed.size() > 16 || row.seed.find_first_not_of("0123456789abcdef") != std::string::npos)
            table.problem(table.place("seed"), "out-of-range", "seed; write 1 to 16 hex digits");
        file_.instance = std::move(row);
    }
    void limits(TableReader& table) {
        LimitsRow& row = file_.limits;
        row.descriptors = table.integer("descriptors", 64, 10'000'000);
        row.memory_mb = table.number("memory_mb", 1, 1e6);
        row.disk_mb = table.number("disk_mb", 0.1, 1e6);
        row.slots = table.integer("slots", 1, 1'000'000);
        row.held = table.integer("held", 1, 100'000'000);
        row.attempts = table.integer("attempts", 1, 1000);
        row.connect_timeout_ms = table.integer("connect_timeout_ms", 1, 600'000);
        row.conn_idle_ms = table.integer("conn_idle_ms", 1, 86'400'000);
    }
    void door(TableReader& table) {
        DoorRow& row = file_.door;
        row.doorstep = table.number("doorstep", 0, 0.5);
        row.unproved = table.number("unproved", 0.01, 1);
        row.owner_share = table.number("owner_share", 0.01, 1);
        row.short_from = table.number("short_from", 0, 1);
        const auto ms = [&table](const char* key) { return table.integer(key, 1, 86'400'000); };
        row.grace_ms = table.integer("grace_ms", 1, 10'000);
        row.silent_ms = ms("silent_ms"), row.partly_ms = ms("partly_ms"), row.unread_ms = ms("unread_ms");
        row.idle_ms = ms("idle_ms"), row.idle_probed_ms = ms("idle_probed_ms");
        row.idle_once_ms = ms("idle_once_ms"), row.idle_regular_ms = ms("idle_regular_ms");
        row.overload_target_ms = ms("overload_target_ms"), row.patience_ms = ms("patience_ms");
        row.least_wait_ms = ms("least_wait_ms"), row.most_wait_ms = ms("most_wait_ms");
        row.memory_share = table.number("memory_share", 0.01, 0.9);
        const auto kilobytes = [&table](const char* key) { return table.integer(key, 1, 1'000'000); };
        row.read_kb_per_s = kilobytes("read_kb_per_s"), row.read_burst_kb = kilobytes("read_burst_kb");
        row.read_turn_kb = kilobytes("read_turn_kb");
        row.hand_over_ms = table.integer("hand_over_ms", 100, kLongestHandOverMs);
        row.hand_over_per_s = table.number("hand_over_per_s", 1, 1e6);
        if (row.least_wait_ms && row.most_wait_ms && *row.least_wait_ms > *row.most_wait_ms)
            table.problem(
                table.place("least_wait_ms"), "out-of-range", "least_wait_ms is above most_wait_ms");
    }
    void spread(TableReader& table) {
        subsetting::SubsetConfig& row = file_.spread;
        row.enabled = table.boolean("arcs").value_or(true);
        row.min_targets = table.number("least_targets", 1, 100'000);
        row.max_targets = table.number("most_targets", 1, 100'000);
        if (row.min_targets && row.max_targets && *row.min_targets > *row.max_targets)
            table.problem(
                table.place("least_targets"), "out-of-range", "least_targets is above most_targets");
        if (!row.enabled && (row.min_targets || row.max_targets))
            table.problem(table.place("arcs"), "out-of-range",
                "arcs = false leaves nothing for least_targets and most_targets; take them out");
    }
    void tier(TableReader& table) {
        TierRow& row = file_.tier;
        row.on = table.boolean("on").value_or(false);
        row.round_ms = table.integer("round_ms", 50, 5000).value_or(row.round_ms);
        row.notes_per_s = table.number("notes_per_s", 1, 1000).value_or(row.notes_per_s);
        row.bytes_per_s = table.number("bytes_per_s", 256, 1e6).value_or(row.bytes_per_s);
    }
    void recovery(TableReader& table) {
        ReturnRow& row = file_.recovery;
        row.snapshots = table.boolean("snapshots").value_or(row.snapshots);
        row.pace = table.boolean("pace").value_or(row.pace);
        row.bytes_per_s = table.number("snapshot_bytes_per_s", 256, 1e9).value_or(row.bytes_per_s);
        row.ask_ms = table.integer("ask_ms", 0, 10'000).value_or(row.ask_ms);
        row.full_within_s = table.number("full_within_s", 0.5, 3600);
    }
    void work(TableReader& table) {
        WorkRow& row = file_.work;
        row.on = table.boolean("on").value_or(false);
        for (const Word& word : table.words("hook").value_or(std::vector<Word>{}))
            row.hook.push_back(word.text);
        row.hook_s = table.integer("hook_s", 1, 86'400).value_or(row.hook_s);
        row.longest_call_s = table.integer("longest_call_s", 1, 3600).value_or(row.longest_call_s);
        if (row.on && !file_.tier.on)
            table.problem(table.place("on"), "out-of-range",
                "[work] needs [tier] on = true: whoever is to go must know who is there");
        if (!row.hook.empty() && !std::filesystem::path(row.hook.front()).is_absolute())
            table.problem(table.place("hook"), "bad-path", "hook; write the whole path of a program");
    }
    void log_settings(TableReader& table) {
        if (const auto level = table.one_of("level", {"debug", "info", "warn", "error"}))
            log::level_of(level->text, file_.log.least);
        if (const auto form = table.one_of("form", {"text", "json"}))
            log::form_of(form->text, file_.log.form);
    }
    void capture(TableReader& table) {
        CaptureRow row;
        row.folder = table.text("folder", "");
        row.disk_mb = table.number("disk_mb", 1, 1e6).value_or(row.disk_mb);
        row.segment_mb =
            table.number("segment_mb", 0.05, 1000).value_or(std::min(row.segment_mb, row.disk_mb / 4));
        if (row.segment_mb > row.disk_mb / 3)
            table.problem(table.place("segment_mb"), "out-of-range",
                "segment_mb; write a third of disk_mb at most: the oldest segment goes for the next");
        keeping(table, row);
        file_.capture = std::move(row);
    }
    void keeping(TableReader& table, CaptureRow& row) {
        constexpr double kLongestS = 7 * 86'400;
        for (const Word& cause : table.words("keep_on").value_or(std::vector<Word>{})) {
            if (cause.text != "fell_sick" && cause.text != "given_up" && cause.text != "refused")
                table.problem(cause.place, "unknown-word",
                    "\"" + cause.text + "\" in keep_on; write fell_sick, given_up or refused");
            row.keep_on.push_back(cause.text);
        }
        row.keep_before_s = table.number("keep_before_s", 1, kLongestS).value_or(row.keep_before_s);
        row.keep_after_s = table.number("keep_after_s", 0, kLongestS).value_or(row.keep_after_s);
        row.keep_every_s = table.number("keep_every_s", 1, kLongestS).value_or(row.keep_every_s);
        row.kept_mb = table.number("kept_mb", 0.1, 1e6).value_or(row.kept_mb);
        row.keep_refusals =
            static_cast<std::size_t>(table.integer("keep_refusals", 1, 100'000).value_or(100));
    }
    void message_class(TableReader& table) {
        ClassRow row;
        row.name = table.needed_word("name");
        class_names_.add(row.name);
        if (const auto effect = table.one_of("effect", {"retryable", "dedup", "fragile"}))
            row.effect = effect->text;
        if (const auto scope = table.one_of("dedup_scope", {"all", "zone", "endpoint"}))
            row.dedup_scope = scope->text;
        row.window_ms = table.number("window_ms", 0, kLongestMs).value_or(0);
        row.aim_ms = table.number("aim_ms", 1, kLongestMs).value_or(1000);
        row.deadline_ms = table.number("deadline_ms", 1, kLongestMs).value_or(kLongestMs);
        for (const char* key : {"aim_ms", "deadline_ms"})
            if (!table.has(key))
                table.problem(table.place(), "missing-key", std::string("there is no ") + key);
        if (row.aim_ms > row.deadline_ms)
            table.problem(table.place("aim_ms"), "out-of-range", "aim_ms is above deadline_ms");
        if (row.effect == "dedup" && row.window_ms <= 0)
            table.problem(table.place("effect"), "missing-key",
                "a class with effect = \"dedup\" needs window_ms: how long its receivers drop repeats");
        row.worth = table.number("worth", 0, 1e6).value_or(1);
        row.late_worth = table.number("late_worth", 0, 1).value_or(0);
        row.sequential = table.boolean("sequential").value_or(false);
        if (auto kinds = table.words("kinds")) row.kinds = std::move(*kinds);
        file_.classes.push_back(std::move(row));
    }
    void tenant(TableReader& table) {
        TenantRow row;
        row.name = table.needed_word("name");
        tenant_names_.add(row.name);
        row.quota_per_s = table.number("quota_per_s", 0, 1e9).value_or(0);
        file_.tenants.push_back(std::move(row));
    }
    void kind(TableReader& table) {
        KindRow row;
        row.name = table.needed_word("name");
        kind_names_.add(row.name);
        row.routes_apart = table.boolean("routes_apart").value_or(false);
        row.per_call = table.integer("per_call", 1, 1000).value_or(1);
        file_.kinds.push_back(std::move(row));
    }
    void destination(TableReader& table) {
        DestinationRow row;
        row.name = table.needed_word("name");
        destination_names_.add(row.name);
        row.number_place = table.place("number");
        if (const auto number = table.integer("number", 0, kMostNumber)) {
            row.number = *number;
            const auto [found, fresh] = numbers_.emplace(*number, row.name.text);
            if (!fresh)
                table.problem(row.number_place, "duplicate-number",
                    "number " + std::to_string(*number) + " is \"" + found->second + "\" already");
        } else if (!table.has("number")) {
            table.problem(table.place(), "missing-key", "there is no number; write the destination's number");
        }
        row.kind = table.word("kind");
        NameList names("endpoint", problems_);
        table.tables("endpoint", [&](TableReader& inner) { endpoint(inner, row, names); });
        file_.destinations.push_back(std::move(row));
    }
    void endpoint(TableReader& table, DestinationRow& destination, NameList& names) {
        EndpointRow row;
        row.name = table.needed_word("name");
        names.add(row.name);
        const auto id = table.word("id");
        row.address = address(table, "address");
        if (id.has_value() == row.address.has_value())
            table.problem(table.place(), "missing-key",
                "write either id (as discovery lists it) or address (for a static endpoint)");
        row.id = id ? id->text : destination.name.text + "/" + row.name.text;
        row.zone = table.text("zone", "");
        row.weight = table.number("weight", 0.01, 100).value_or(1);
        const auto [found, fresh] = ids_.emplace(row.id, destination.name.text + "/" + row.name.text);
        if (!fresh)
            table.problem(table.place("id"), "duplicate-id",
                "id \"" + row.id + "\" is endpoint \"" + found->second + "\" already");
        if (row.address) {
            const auto [at, first] = addresses_.emplace(row.address->text, row.id);
            if (!first)
                table.problem(row.address->place, "duplicate-address",
                    "address " + row.address->text + " is that of \"" + at->second + "\" already");
        }
        destination.endpoints.push_back(std::move(row));
    }
    void route(TableReader& table) {
        RouteRow row;
        row.name = table.needed_word("name");
        route_names_.add(row.name);
        const auto take = [&table](const char* key, std::vector<Word>& into) {
            if (auto words = table.words(key)) {
                if (words->empty())
                    table.problem(table.place(key), "empty-list",
                        std::string(key) + " = []; take the key out, or name at least one");
                into = std::move(*words);
            }
        };
        take("class", row.classes), take("tenant", row.tenants);
        take("destination", row.destinations), take("kind", row.kinds), take("endpoints", row.endpoints);
        row.refuse = table.boolean("refuse").value_or(false);
        if (row.refuse && !row.endpoints.empty())
            table.problem(table.place("refuse"), "refuse-and-endpoints",
                "a route either refuses or names endpoints; take one of them out");
        if (!row.refuse && row.endpoints.empty() && !table.has("endpoints"))
            table.problem(table.place(), "missing-key", "write endpoints = [...] or refuse = true");
        file_.routes.push_back(std::move(row));
    }
    void expect(TableReader& table) {
        ExpectRow row;
        row.name = table.needed_word("name");
        expect_names_.add(row.name);
        row.message_class = table.word("class");
        row.tenant = table.word("tenant");
        row.destination = table.word("destination");
        if (!row.destination)
            table.problem(table.place(), "missing-key", "there is no destination; write its name");
        table.tables("while", [&row](TableReader& inner) { suppose(inner, row); });
        row.endpoints = table.words("endpoints");
        row.only = table.words("only").value_or(std::vector<Word>{});
        row.never = table.words("never").value_or(std::vector<Word>{});
        row.at_least = table.integer("at_least", 1, 1'000'000);
        row.refused = table.boolean("refused").value_or(false);
        row.by = table.word("by");
        connections(table, row);
        const bool endpoints = row.endpoints || !row.only.empty() || !row.never.empty() || row.at_least;
        if (row.refused && endpoints)
            table.problem(table.place("refused"), "refuse-and-endpoints",
                "what is refused has no endpoints; take refused out, or the others");
        if (!row.refused && !endpoints && !row.by && !row.connections_at_most)
            table.problem(table.place(), "missing-key",
                "it expects nothing; write endpoints, only, never, at_least, refused, by or "
                "connections_at_most");
        file_.expects.push_back(std::move(row));
    }
    static void connections(TableReader& table, ExpectRow& row) {
        row.connections_at_most = table.integer("connections_at_most", 1, 100'000'000);
        row.at = table.word("at");
        row.messages_per_s = table.number("messages_per_s", 0, 1e6).value_or(row.messages_per_s);
        row.answer_ms = table.number("answer_ms", 0, kLongestMs).value_or(row.answer_ms);
        if (row.connections_at_most && !row.at)
            table.problem(table.place("connections_at_most"), "missing-key",
                "connections_at_most wants at = \"...\": the endpoint that they are to");
        if (!row.connections_at_most)
            for (const char* key : {"at", "messages_per_s", "answer_ms"})
                if (table.has(key))
                    table.problem(table.place(key), "missing-key",
                        std::string(key) + " says something of connections_at_most, which is not there");
    }
    static void suppose(TableReader& table, ExpectRow& row) {
        const std::pair<const char*, Supposition::What> keys[] = {{"endpoint", Supposition::What::Endpoint},
            {"kind", Supposition::What::Kind}, {"zone", Supposition::What::Zone}};
        Supposition one;
        int named = 0;
        for (const auto& [key, what] : keys)
            if (const auto name = table.word(key)) one.what = what, one.name = *name, ++named;
        if (named != 1) table.problem(table.place(), "missing-key", "write one of endpoint, kind or zone");
        const auto is = table.one_of("is", {"ready", "draining", "gone"});
        if (!is && !table.has("is"))
            table.problem(table.place(), "missing-key", "there is no is; write is = \"draining\"");
        one.is = !is || is->text == "gone" ? Condition::Gone
                 : is->text == "ready"     ? Condition::Ready
                                           : Condition::Draining;
        if (named == 1) row.suppositions.push_back(std::move(one));
    }

    TableReader root_;
    OperatorFile& file_;
    Problems& problems_;
    NameList zone_names_{"zone", problems_}, class_names_{"class", problems_},
        tenant_names_{"tenant", problems_}, kind_names_{"kind", problems_},
        destination_names_{"destination", problems_}, route_names_{"route", problems_},
        expect_names_{"expect", problems_, true};
    std::unordered_map<std::int64_t, std::string> numbers_;
    std::unordered_map<std::string, std::string> ids_, addresses_;
};

}  // namespace

bool OperatorFile::has_static_members() const {
    for (const DestinationRow& destination : destinations)
        for (const EndpointRow& endpoint : destination.endpoints)
            if (endpoint.address) return true;
    return false;
}

OperatorFile read_operator_file(const std::string& text, const std::string& path, Problems& problems) {
    OperatorFile file;
    file.path = path;
    if (const auto table = parse_toml(text, problems)) FileReader(*table, file, problems).read();
    return file;
}

OperatorFile load_operator_file(const std::string& path, Problems& problems) {
    std::error_code failed;
    if (!std::filesystem::is_directory(path, failed)) {
        std::ifstream stream(path, std::ios::binary);
        std::string text(kMostFileBytes + 1, '\0');  // of a longer one no more is read
        stream.read(text.data(), static_cast<std::streamsize>(text.size()));
        text.resize(static_cast<std::size_t>(stream.gcount()));
        if (stream.is_open() && !stream.bad()) return read_operator_file(text, path, problems);
    }
    problems.add({}, "unreadable", "the file cannot be read");
    return {};
}

}  // namespace lockgw::config
