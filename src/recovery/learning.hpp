/// Between the decision module's memory and facts by name.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "recovery/snapshot.hpp"

namespace lockgw::recovery {

using cometspoke::EndpointId;
/// The name of a target by its number; null: it has none any more.
using Names = std::function<const std::string*(EndpointId)>;

/// What the module knows that another process could use: targets that are not well or have a limit of their
/// own, destinations that were called. Cost: about 0.1 us a target.
Snapshot facts_of(cometspoke::Sender& module, const Names& names, Time now);
/// Those of targets that `to` lists and of all destinations, for a module.
cometspoke::LearnedEvent event_of(
    const Snapshot& facts, const std::map<std::string, EndpointId>& to, Time now);

}  // namespace lockgw::recovery
