/// The adapter's wire: JSON lines to events of the module, and its actions back to JSON lines. No decisions.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cometspoke/sender.hpp"
#include "config/settings.hpp"

namespace cometspoke::wire {

using Json = settings::Json;

using settings::BadInput;

/// One hosted instance: its Sender and the names it has met.
class Instance {
public:
    Instance(const Json& params, std::uint64_t seed);

    /// True if the event counts for this instance; its time is the batch's.
    void take(const std::string& name, const Json& fields, const Json* ledger, Time now);
    void reply(std::int64_t who, Time now, std::ostream& out);

private:
    EndpointId endpoint_of(const std::string& name);
    ListEvent list_of(const Json& fields, const Json* ledger);
    MessageEvent message_of(const Json& fields) const;
    OutcomeEvent outcome_of(const Json& fields);
    ProbeResult probe_of(const Json& fields);
    std::optional<LoadReport> report_of(const Json& fields) const;
    Json json_of(const Action& action, std::int64_t who) const;

    settings::Names names_;
    std::map<std::string, EndpointId> endpoints_;
    std::vector<std::string> endpoint_names_;
    std::optional<Sender> sender_;
};

/// Reads batches until the input ends; returns the exit code. Plain errors go to `err`, naming the line.
int run(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace cometspoke::wire
