/// Adapter between the simulator and the decision module: converts the simulator's JSON lines to events, and
/// actions to JSON lines. It makes no decisions.
///
/// The input is a series of batches. A batch starts with MARK, which sets the time, and ends with
/// OVER_TO_YOU; then every instance that had events in it decides, its actions are written, and ACK ends the
/// reply. PROVISION and DESTROY create and remove instances; LEDGER sets a numbered list, which a later VIEW
/// passes to an instance.
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

/// A Sender in the simulation, with the numbers of the endpoint names that it has seen.
class Instance {
public:
    Instance(const Json& params, std::uint64_t seed);

    /// Passes an event to the Sender. `ledger`: the rows of the list that a VIEW refers to; nullptr if there
    /// is none. Throws BadInput for an event that cannot be read.
    void handle(const std::string& name, const Json& fields, const Json* ledger, Time now);
    /// Makes a decision and writes its actions; `instance_id` is put into each of them.
    void decide(std::int64_t instance_id, Time now, std::ostream& out);

private:
    EndpointId endpoint_id(const std::string& name);
    ListEvent parse_list(const Json& fields, const Json* ledger);
    MessageEvent parse_message(const Json& fields) const;
    OutcomeEvent parse_outcome(const Json& fields);
    ProbeResult parse_probe_result(const Json& fields);
    std::optional<LoadReport> parse_load_report(const Json& fields) const;
    Json to_json(const Action& action, std::int64_t instance_id) const;

    settings::Names names_;  // of classes, tenants, zones and kinds
    std::map<std::string, EndpointId> endpoints_;
    std::vector<std::string> endpoint_names_;
    std::optional<Sender> sender_;
};

/// Reads batches until the input ends. Returns the exit code: 1 after invalid input, which is reported on
/// `err` with its line number.
int run(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace cometspoke::wire
