/// What one process knows of its partners, for the one that takes over: told waits, outages, ways back,
/// limits, usual times, and the list of targets as last had. Nothing of messages: the journal has those.
///
/// Times are of the steady clock, which all processes of a machine share until it is started anew; what is
/// older than kFresh is not believed. Waits are told by names and in plain form beside the module's own
/// memory, so that they hold also where another build cannot read that.
#pragma once

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "cometspoke/sender.hpp"

namespace lockgw::handover {

constexpr std::chrono::seconds kFresh{30};

struct Known {
    nlohmann::json list;                                ///< in discovery's form; null: none
    std::map<std::string, cometspoke::EndpointId> ids;  ///< numbers in the module of the one that wrote it
    std::map<std::string, cometspoke::Time> waits;      ///< until when each target is to be left alone
    std::string memory;                                 ///< of the module
};

/// For a file.
std::string bytes_of(const Known& known, cometspoke::Time now);
/// None where it makes no sense, or is not fresh.
std::optional<Known> known_of(const std::string& bytes, cometspoke::Time now);

/// Puts what is known of targets that `to` has under a number into that module, which holds no message yet.
/// How many targets it was. Never throws: what cannot be read is passed over but for the waits.
std::size_t learn(cometspoke::Sender& module, const Known& known,
    const std::map<std::string, cometspoke::EndpointId>& to, const cometspoke::Settings& settings);

}  // namespace lockgw::handover
