#include "fronts/resp2/enqueue.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

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

/// The values that an ENQUEUE names. They point into its text.
struct NamedValues {
    std::optional<std::string_view> message_class, tenant, left, destination, key;

    /// None for a name that is unknown here.
    std::optional<std::string_view>* find(std::string_view name) {
        if (name == "c") return &message_class;
        if (name == "t") return &tenant;
        if (name == "d") return &left;
        if (name == "dest") return &destination;
        if (name == "k") return &key;
        return nullptr;
    }
};

/// Reads "c=notice,t=acme,d=8000". Unknown names are passed over without a copy: a list may hold thousands.
/// Of a name that comes twice the last value counts.
NamedValues named_values_of(std::string_view text) {
    NamedValues values;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(','), text.size());
        const std::string_view pair = text.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (equals == std::string_view::npos) throw BadInput("a name without a value");
        if (auto* value = values.find(pair.substr(0, equals))) *value = pair.substr(equals + 1);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return values;
}

std::string required(const std::optional<std::string_view>& value, const char* name) {
    if (!value) throw BadInput(std::string("missing ") + name);
    return std::string(*value);
}

/// The key goes on as a header of the call: nothing that could end a header line may be in it.
void check_key(const std::string& key) {
    if (key.size() > kLongestKey) throw BadInput("k is too long");
    for (const char letter : key)
        if (letter <= ' ' || letter > '~') throw BadInput("k holds an unprintable character");
}

}  // namespace

Message message_of(const resp::Command& command, const Config& config, const Moment& came) {
    if (command.size() != 5) throw BadInput("wrong number of arguments for ENQUEUE");
    const NamedValues values = named_values_of(command[3]);
    Message message;
    message.id = cometspoke::settings::id_of(command[2]);
    message.message_class = required(values.message_class, "c");
    const std::size_t index = index_of(config.names.classes, message.message_class, "class");
    if (!config.names.tenants.empty()) {
        message.tenant = required(values.tenant, "t");
        index_of(config.names.tenants, message.tenant, "tenant");
    }
    const bool keyed = config.settings.classes[index].effect == cometspoke::Effect::Dedup;
    if (keyed || values.key) message.key = required(values.key, "k");
    check_key(message.key);
    message.destination = number_of<std::int64_t>(required(values.destination, "dest"), "dest");
    const auto left_ms = number_of<double>(required(values.left, "d"), "d");
    if (!(left_ms >= 0 && left_ms <= kLongestMs)) throw BadInput("bad number for d");
    // no message of the class may be delivered for longer, whatever its client says
    const auto left =
        std::min(cometspoke::settings::from_ms(left_ms), config.settings.classes[index].deadline);
    message.deadline = came + left;
    message.body = command[4];
    return message;
}

}  // namespace lockgw
