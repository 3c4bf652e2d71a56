#include "config/missing_keys.hpp"

#include <algorithm>

namespace lockgw::config {
namespace {

using Json = nlohmann::json;
using Places = std::vector<std::string>;

void compare(const Json& running, const Json& fresh, const std::string& place, Places& missing);

bool same_type(const Json& running, const Json& fresh) {
    return running.type() == fresh.type() || (running.is_number() && fresh.is_number());
}

void compare_objects(const Json& running, const Json& fresh, const std::string& place, Places& missing) {
    for (const auto& [key, value] : running.items()) {
        if (value.is_null()) continue;  // as good as absent
        const std::string at = place.empty() ? key : place + "." + key;
        const auto found = fresh.find(key);
        if (found == fresh.end())
            missing.push_back(at);
        else
            compare(value, *found, at, missing);
    }
}

bool has_name(const Json& element) {
    const auto name = element.find("name");
    return name != element.end() && name->is_string();
}

const Json* find_by_name(const Json& list, const Json& name) {
    const auto found = std::find_if(list.begin(), list.end(), [&name](const Json& element) {
        return element.is_object() && element.value("name", Json()) == name;
    });
    return found == list.end() ? nullptr : &*found;
}

bool all_have(const Json& list, const std::string& key) {
    return std::all_of(list.begin(), list.end(), [&key](const Json& element) {
        const auto found = element.find(key);
        return found != element.end() && !found->is_null();
    });
}

/// The keys of the first element that all others have, too.
void compare_common_keys(const Json& running, const Json& fresh, const std::string& place, Places& missing) {
    for (const auto& [key, value] : running.front().items())
        if (all_have(running, key) && !all_have(fresh, key)) missing.push_back(place + "[]." + key);
}

void compare_lists(const Json& running, const Json& fresh, const std::string& place, Places& missing) {
    if (running.empty()) return;
    if (fresh.empty()) return missing.push_back(place + "[]");
    const auto is_object = [](const Json& element) { return element.is_object(); };
    if (!std::all_of(running.begin(), running.end(), is_object)) return;
    if (!std::all_of(fresh.begin(), fresh.end(), is_object)) return missing.push_back(place + "[]");
    compare_common_keys(running, fresh, place, missing);
    for (const Json& element : running) {
        if (!has_name(element)) continue;
        const auto& name = element["name"].get_ref<const std::string&>();
        if (const Json* namesake = find_by_name(fresh, name))
            compare(element, *namesake, place + "[" + name + "]", missing);
    }
}

void compare(const Json& running, const Json& fresh, const std::string& place, Places& missing) {
    if (!same_type(running, fresh)) return missing.push_back(place);
    if (running.is_object()) compare_objects(running, fresh, place, missing);
    if (running.is_array()) compare_lists(running, fresh, place, missing);
}

}  // namespace

std::vector<std::string> missing_keys(const nlohmann::json& running, const nlohmann::json& fresh) {
    Places missing;
    compare(running, fresh, "", missing);
    return missing;
}

}  // namespace lockgw::config
