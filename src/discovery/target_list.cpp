#include "discovery/target_list.hpp"

#include "config/address.hpp"

namespace lockgw {

using cometspoke::Condition;
using cometspoke::settings::BadInput;
using cometspoke::settings::field;
using cometspoke::settings::need;
using cometspoke::settings::value_or;

namespace {

Condition condition_of(const std::string& phase) {
    if (phase == "in_service") return Condition::Ready;
    return phase == "terminating" ? Condition::Draining : Condition::Gone;
}

std::string id_of(const Json& member) {
    auto id = field<std::string>(member, "id");
    if (id.empty() || id.size() > kMaxIdLength) throw BadInput("an id that is empty or too long");
    return id;
}

Target parse_target(const Json& member) {
    Target target;
    target.id = id_of(member);
    target.condition = condition_of(field<std::string>(member, "phase"));
    // a drain or departure must be read even if the address is not valid any more
    if (target.condition == Condition::Ready)
        target.address = tcp_endpoint(field<std::string>(member, "host_port"), "host_port");
    target.zone = value_or<std::string>(member, "locality", "");
    target.kind = value_or<std::string>(member, "flavor", "");
    target.destination = field<std::int64_t>(member, "cell");
    target.rate = value_or(member, "size", 0.0);
    target.up_since_ms = value_or<std::int64_t>(member, "up_since_ms", 0);
    return target;
}

InvalidEntry parse_invalid_entry(const Json& member, const char* error) {
    InvalidEntry invalid;
    invalid.error = error;
    try {
        invalid.id = id_of(member);
        invalid.condition = condition_of(field<std::string>(member, "phase"));
    } catch (const std::exception&) {  // the fields read so far are kept
    }
    return invalid;
}

void append_entry(const Json& member, TargetList& list) try {
    list.targets.push_back(parse_target(member));
} catch (const std::exception& error) {
    list.invalid.push_back(parse_invalid_entry(member, error.what()));
}

/// The offset behind the JSON object that begins at `position`; npos if it is not closed.
std::size_t end_of_object(std::string_view text, std::size_t position) {
    int depth = 0;
    bool in_string = false;
    for (; position < text.size(); ++position) {
        const char c = text[position];
        if (in_string) {
            if (c == '\\') ++position;
            if (c == '"') in_string = false;
        } else if (c == '"') {
            in_string = true;
        } else if (c == '{') {
            ++depth;
        } else if (c == '}' && --depth == 0) {
            return position + 1;
        }
    }
    return std::string_view::npos;
}

}  // namespace

TargetList parse_target_list(const Json& body) {
    TargetList list;
    list.revision = field<std::int64_t>(body, "revision");
    list.complete = field<bool>(body, "complete");
    const Json& members = need(body, "members");
    if (!members.is_array() || members.size() > kMaxTargets) throw BadInput("members is not a list");
    list.targets.reserve(members.size());
    for (const Json& member : members) append_entry(member, list);
    return list;
}

Json target_json(const Target& target, Condition condition) {
    return {{"id", target.id}, {"host_port", address_text(target.address)}, {"locality", target.zone},
        {"flavor", target.kind}, {"cell", target.destination},
        {"phase", condition == Condition::Ready ? "in_service" : "terminating"}, {"size", target.rate},
        {"up_since_ms", target.up_since_ms}};
}

TargetList parse_stopping_entries(std::string_view text) { return StoppingEntriesReader().read(text); }

TargetList StoppingEntriesReader::read(std::string_view text) {
    TargetList list;
    text = text.substr(0, kMaxListBytes);
    if (!find_first_entry(text)) return list;
    while (entries_found_ < kMaxTargets) {
        const std::size_t start = text.find('{', position_);
        if (start == std::string_view::npos) break;
        const std::size_t end = end_of_object(text, start);
        if (end == std::string_view::npos) break;
        const std::string_view entry = text.substr(start, end - start);
        position_ = end;
        if (entry.find("\"in_service\"") != std::string_view::npos)
            continue;  // most entries: need not be parsed
        const Json member = Json::parse(entry, nullptr, false);
        if (member.is_discarded()) continue;
        append_entry(member, list);
        ++entries_found_;
    }
    return list;
}

/// Returns false if the list of entries has not begun yet.
bool StoppingEntriesReader::find_first_entry(std::string_view text) {
    if (in_members_) return true;
    const std::size_t name = text.find("\"members\"");
    const std::size_t start = name == std::string_view::npos ? name : text.find('[', name);
    if (start == std::string_view::npos) return false;
    position_ = start;
    return in_members_ = true;
}

}  // namespace lockgw
