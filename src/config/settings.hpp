/// The operator's settings, from JSON to the module's own types. Shared by the adapter and the forwarder.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <string>

#include "cometspoke/sender.hpp"

namespace cometspoke::settings {

using Json = nlohmann::json;
using Index = std::map<std::string, std::size_t>;

/// The input is not what it should be; what() says what was wrong.
class BadInput : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

Time from_ms(double ms);
double to_ms(Time time);

const Json& need(const Json& object, const char* name);
/// The field's value, or the fallback where it is absent.
template <class T>
T value_or(const Json& object, const char* name, T fallback) {
    const auto found = object.find(name);
    return found == object.end() || found->is_null() ? fallback : found->get<T>();
}
Time time_or(const Json& object, const char* name, Time fallback);
template <class T>
T field(const Json& object, const char* name) {
    return need(object, name).get<T>();
}

/// Message ids are written as 16 hex digits.
MessageId id_of(const std::string& text);
std::string id_text(MessageId message);

/// The names that the settings list, each with its place.
struct Names {
    Index classes, tenants, zones, kinds;
};
std::set<std::string> names_in(const Index& index);
std::size_t index_of(const Index& index, const std::string& name, const char* what);
Names names_of(const Json& params);
Settings settings_of(const Json& params, const Names& names);

/// What a running process goes by.
struct InForce {
    Names names;
    Settings settings;
    Index numbered_tenants;  ///< those of before too, by the numbers that held messages may bear
};
/// Whether a message that is held bears the number of this class.
using InUse = std::function<bool(std::size_t)>;
/// `fresh` as a process takes it over that goes by `running`: a class whose terms differ gets another number,
/// so that what is held keeps the terms under which it was taken; no number that is in use changes its
/// meaning. Names of dropped classes and tenants are unknown from then on; those of kinds and zones stay, for
/// lists may still bear them. Throws BadInput where there would be too many.
InForce taken_over(const InForce& running, const InForce& fresh, const InUse& in_use);

}  // namespace cometspoke::settings
