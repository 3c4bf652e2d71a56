#include "rig/soak/broken_file.hpp"

#include <array>

namespace lockgw::rig::soak {
namespace {

using Json = nlohmann::json;
using Place = Json::json_pointer;

/// A key of one of the objects that make up a file.
Place random_key(const Json& config, std::mt19937_64& random) {
    static const std::array<Place, 6> objects{Place(""), Place("/limits"), Place("/settings"),
        Place("/settings/limits"), Place("/settings/contract"), Place("/settings/classes/0")};
    const Place object = objects[random() % objects.size()];
    const Json& value = config[object];
    auto key = value.begin();
    std::advance(key, static_cast<std::ptrdiff_t>(random() % value.size()));
    return object / key.key();
}

}  // namespace

std::string broken_file(Json config, std::mt19937_64& random) {
    for (Json& row : config["settings"]["classes"]) row["effect"] = "retryable";
    const Place key = random_key(config, random);
    switch (random() % 5) {
        case 0: {
            const std::string text = config.dump();
            return text.substr(0, random() % text.size());
        }
        case 1:
            config[key] = config[key].is_string() ? Json(7) : Json("seven");
            return config.dump();
        case 2: {
            Json& classes = config["settings"]["classes"];
            classes[random() % classes.size()]["dedup_scope"] = "planet";
            return config.dump();
        }
        default:
            config[key.parent_pointer()].erase(key.back());
            return config.dump();
    }
}

}  // namespace lockgw::rig::soak
