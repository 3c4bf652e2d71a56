#include "fronts/resp2/enqueue.hpp"

#include <charconv>
#include <map>

namespace lockgw {

using cometspoke::settings::BadInput;
using cometspoke::settings::index_of;

namespace {

constexpr double kLongestMs = 86.4e6;  // a day: no class keeps a message so long
constexpr std::size_t kLongestKey = 128;

template <class T>
T number_of(std::string_view text, const char* what) {
    T value{};
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end) throw BadInput(std::string("bad number for ") + what);
    return value;
}

/// "c=notice,t=acme,d=8000" as names and values; a name that is unknown here is passed over.
std::map<std::string, std::string> pairs_of(const std::string& text) {
    std::map<std::string, std::string> pairs;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = std::min(text.find(',', at), text.size());
        const std::string pair = text.substr(at, end - at);
        const std::size_t equals = pair.find('=');
        if (equals == std::string::npos) throw BadInput("a name without a value");
        pairs.insert_or_assign(pair.substr(0, equals), pair.substr(equals + 1));
        at = end + 1;
    }
    return pairs;
}

/// The key goes on as a header of the call: nothing that could end a header line may be in it.
void check_key(const std::string& key) {
    if (key.size() > kLongestKey) throw BadInput("k is too long");
    for (const char letter : key)
        if (letter <= ' ' || letter > '~') throw BadInput("k holds an unprintable character");
}

}  // namespace

Message message_of(
    const resp::Command& command, const Config& config, const Moment& now, cometspoke::Time& left) {
    if (command.size() != 5) throw BadInput("wrong number of arguments for ENQUEUE");
    auto pairs = pairs_of(command[3]);
    const auto value = [&pairs](const char* name) -> const std::string& {
        const auto found = pairs.find(name);
        if (found == pairs.end()) throw BadInput(std::string("missing ") + name);
        return found->second;
    };
    Message message;
    message.id = cometspoke::settings::id_of(command[2]);
    message.message_class = value("c");
    const std::size_t index = index_of(config.names.classes, message.message_class, "class");
    if (!config.names.tenants.empty()) {
        message.tenant = value("t");
        index_of(config.names.tenants, message.tenant, "tenant");
    }
    const bool keyed = config.settings.classes[index].effect == cometspoke::Effect::Dedup;
    if (keyed || pairs.contains("k")) message.key = value("k");
    check_key(message.key);
    message.destination = number_of<std::int64_t>(value("dest"), "dest");
    const auto left_ms = number_of<double>(value("d"), "d");
    if (!(left_ms >= 0 && left_ms <= kLongestMs)) throw BadInput("bad number for d");
    // no message of the class may be delivered for longer, whatever its client says
    left = std::min(cometspoke::settings::from_ms(left_ms), config.settings.classes[index].deadline);
    message.deadline = now + left;
    message.body = command[4];
    return message;
}

}  // namespace lockgw
