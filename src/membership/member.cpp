#include "membership/member.hpp"

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
    if (id.empty() || id.size() > kMostIdLength) throw BadInput("an id that is empty or too long");
    return id;
}

Target target_of(const Json& member) {
    Target target;
    target.id = id_of(member);
    target.condition = condition_of(field<std::string>(member, "phase"));
    // that a target goes must be heeded even where its address makes no sense any more
    if (target.condition == Condition::Ready)
        target.address = tcp_endpoint(field<std::string>(member, "host_port"), "host_port");
    target.zone = value_or<std::string>(member, "locality", "");
    target.kind = value_or<std::string>(member, "flavor", "");
    target.destination = field<std::int64_t>(member, "cell");
    target.rate = value_or(member, "size", 0.0);
    target.up_since_ms = value_or<std::int64_t>(member, "up_since_ms", 0);
    return target;
}

BadEntry bad_entry_of(const Json& member, const char* why) {
    BadEntry bad;
    bad.why = why;
    try {
        bad.id = id_of(member);
        bad.condition = condition_of(field<std::string>(member, "phase"));
    } catch (const std::exception&) {  // less of it can be read
    }
    return bad;
}

void read_entry(const Json& member, TargetList& list) try {
    list.targets.push_back(target_of(member));
} catch (const std::exception& bad) {
    list.bad.push_back(bad_entry_of(member, bad.what()));
}

/// One past the end of the object that begins at `at`; npos where it does not end.
std::size_t end_of_object(std::string_view text, std::size_t at) {
    int depth = 0;
    bool quoted = false;
    for (; at < text.size(); ++at) {
        const char letter = text[at];
        if (quoted) {
            if (letter == '\\') ++at;
            if (letter == '"') quoted = false;
        } else if (letter == '"') {
            quoted = true;
        } else if (letter == '{') {
            ++depth;
        } else if (letter == '}' && --depth == 0) {
            return at + 1;
        }
    }
    return std::string_view::npos;
}

}  // namespace

TargetList list_of(const Json& body) {
    TargetList list;
    list.revision = field<std::int64_t>(body, "revision");
    list.complete = field<bool>(body, "complete");
    const Json& members = need(body, "members");
    if (!members.is_array() || members.size() > kMostTargets) throw BadInput("members is not a list");
    list.targets.reserve(members.size());
    for (const Json& member : members) read_entry(member, list);
    return list;
}

Json json_of(const Target& target, Condition condition) {
    return {{"id", target.id}, {"host_port", address_text(target.address)}, {"locality", target.zone},
        {"flavor", target.kind}, {"cell", target.destination},
        {"phase", condition == Condition::Ready ? "in_service" : "terminating"}, {"size", target.rate},
        {"up_since_ms", target.up_since_ms}};
}

TargetList stops_in(std::string_view text) {
    TargetList list;
    text = text.substr(0, kMostListBytes);
    std::size_t at = text.find("\"members\"");
    if (at == std::string_view::npos) return list;
    at = text.find('[', at);
    while (at != std::string_view::npos && list.targets.size() + list.bad.size() < kMostTargets) {
        at = text.find('{', at);
        if (at == std::string_view::npos) break;
        const std::size_t end = end_of_object(text, at);
        if (end == std::string_view::npos) break;
        const std::string_view entry = text.substr(at, end - at);
        at = end;
        if (entry.find("\"in_service\"") != std::string_view::npos) continue;  // most are: not worth a parse
        const Json member = Json::parse(entry, nullptr, false);
        if (!member.is_discarded()) read_entry(member, list);
    }
    return list;
}

}  // namespace lockgw
