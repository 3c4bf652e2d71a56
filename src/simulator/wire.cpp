#include "simulator/wire.hpp"

#include <array>
#include <istream>
#include <ostream>
#include <set>
#include <utility>

namespace cometspoke::wire {

using namespace settings;

namespace {

constexpr std::array<std::pair<const char*, Outcome>, 8> outcome_codes{
    {{"served", Outcome::Served}, {"server_error", Outcome::ServerError},
        {"turned_away", Outcome::TurnedAway}, {"no_answer", Outcome::NoAnswer},
        {"no_connection", Outcome::NoConnection}, {"connection_lost", Outcome::ConnectionLost},
        {"called_off", Outcome::CalledOff}, {"not_sent", Outcome::NotSent}}};
Outcome parse_outcome_code(const Json& fields) {
    const auto text = field<std::string>(fields, "code");
    for (const auto& [name, outcome] : outcome_codes)
        if (text == name) return outcome;
    throw BadInput("unknown code " + text);
}

constexpr char base64_digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& bytes) {
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t block = 0;
        const std::size_t available = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j)
            block = block << 8 | (j < available ? static_cast<unsigned char>(bytes[i + j]) : 0u);
        for (std::size_t j = 0; j < 4; ++j)
            text += j <= available ? base64_digits[block >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}
std::string from_base64(const std::string& text) {
    std::string bytes;
    std::uint32_t block = 0;
    int bits = 0;
    for (const char digit : text) {
        if (digit == '=') break;
        const auto position = std::string_view(base64_digits).find(digit);
        if (position == std::string_view::npos) throw BadInput("content is not base64");
        block = block << 6 | static_cast<std::uint32_t>(position);
        bits += 6;
        if (bits >= 8) bytes += static_cast<char>(block >> (bits -= 8) & 255);
    }
    return bytes;
}

}  // namespace

Instance::Instance(const Json& params, std::uint64_t seed)
    : names_(settings::names_of(params)), sender_(Sender(settings::settings_of(params, names_), seed)) {}

EndpointId Instance::endpoint_id(const std::string& name) {
    const auto [found, inserted] = endpoints_.emplace(name, static_cast<EndpointId>(endpoint_names_.size()));
    if (inserted) endpoint_names_.push_back(name);
    return found->second;
}

ListEvent Instance::parse_list(const Json& fields, const Json* ledger) {
    const int kind = field<int>(fields, "kind");
    if (kind != 0 && kind != 2 && kind != 3 && kind != 4) throw BadInput("unknown VIEW kind");
    ListEvent event;
    event.kind = kind == 0   ? ListKind::Cached
                 : kind == 2 ? ListKind::Full
                 : kind == 3 ? ListKind::Failed
                             : ListKind::Changes;
    if (event.kind == ListKind::Failed) return event;
    if (ledger == nullptr) throw BadInput("VIEW names a slot without a LEDGER");
    for (const Json& row : *ledger) {
        ListEntry entry;
        entry.endpoint = endpoint_id(field<std::string>(row, "target"));
        entry.destination = static_cast<DestinationId>(value_or(row, "destination", 0.0));
        if (const auto zone = value_or<std::string>(row, "az", ""); !zone.empty())
            entry.zone = index_of(names_.zones, zone, "zone");
        if (const auto kind_name = value_or<std::string>(row, "shape", ""); !kind_name.empty())
            entry.kind = index_of(names_.kinds, kind_name, "kind");
        entry.rate = value_or(row, "power_hint", 0.0);
        const int condition = value_or(row, "condition", 0);
        entry.condition = condition == 1   ? Condition::Ready
                          : condition == 2 ? Condition::Draining
                                           : Condition::Gone;
        event.entries.push_back(entry);
    }
    return event;
}

MessageEvent Instance::parse_message(const Json& fields) const {
    MessageEvent event;
    event.message = id_of(field<std::string>(fields, "ticket"));
    event.destination = static_cast<DestinationId>(field<double>(fields, "called_node"));
    event.message_class = index_of(names_.classes, field<std::string>(fields, "category"), "class");
    const Json tenant = value_or(fields, "project", Json());
    if (tenant.is_string() && !names_.tenants.empty())
        event.tenant = index_of(names_.tenants, tenant.get<std::string>(), "tenant");
    if (const Json key = value_or(fields, "subject", Json()); !key.is_null())
        event.key = key.get<std::uint64_t>();
    event.left = from_ms(field<double>(fields, "patience_left_ms"));
    return event;
}

std::optional<LoadReport> Instance::parse_load_report(const Json& fields) const {
    const auto found = fields.find("feedback");
    if (found == fields.end() || !found->is_object()) return std::nullopt;
    if (!found->contains("x0") && !found->contains("x1")) return std::nullopt;
    return LoadReport{value_or(*found, "x0", 0.0), value_or(*found, "x1", 0.0)};
}

OutcomeEvent Instance::parse_outcome(const Json& fields) {
    OutcomeEvent event;
    event.message = id_of(field<std::string>(fields, "ticket"));
    event.endpoint = endpoint_id(field<std::string>(fields, "target"));
    event.attempt = value_or<std::uint32_t>(fields, "trial", 0);
    event.outcome = parse_outcome_code(fields);
    event.terminal = value_or(fields, "terminal", false);
    event.rtt = time_or(fields, "rtt_ms", Time(0));
    if (event.outcome == Outcome::TurnedAway) event.wait = time_or(fields, "hold_ms", Time(0));
    event.report = parse_load_report(fields);
    return event;
}

ProbeResult Instance::parse_probe_result(const Json& fields) {
    return {endpoint_id(field<std::string>(fields, "target")), parse_outcome_code(fields),
        time_or(fields, "rtt_ms", Time(0)), parse_load_report(fields)};
}

void Instance::handle(const std::string& name, const Json& fields, const Json* ledger, Time now) {
    if (name == "VIEW") {
        sender_->observe(parse_list(fields, ledger), now);
    } else if (name == "JOB_IN") {
        sender_->observe(parse_message(fields), now);
    } else if (name == "FLOWING") {
        sender_->observe(StreamStarted{id_of(field<std::string>(fields, "ticket")),
                             value_or<std::uint32_t>(fields, "trial", 0)},
            now);
    } else if (name == "REPORT_BACK") {
        sender_->observe(parse_outcome(fields), now);
    } else if (name == "ABANDONED") {
        sender_->observe(AbandonedEvent{id_of(field<std::string>(fields, "ticket"))}, now);
    } else if (name == "WAKE") {
        sender_->observe(TimerFired{}, now);
    } else if (name == "CHECK_RESULT") {
        sender_->observe(parse_probe_result(fields), now);
    } else if (name == "DATAGRAM") {
        sender_->observe(PeerNote{value_or<std::size_t>(fields, "src_peer", 0),
                             from_base64(value_or<std::string>(fields, "content", ""))},
            now);
    } else {
        throw BadInput("unknown event " + name);
    }
}

Json Instance::to_json(const Action& action, std::int64_t instance_id) const {
    Json fields{{"who", instance_id}};
    const char* name = "";
    if (const auto* send = std::get_if<Send>(&action)) {
        name = "SEND";
        fields["ticket"] = id_text(send->message);
        fields["target"] = endpoint_names_.at(send->endpoint);
        fields["allow_for_ms"] = to_ms(send->time_out);
    } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        name = "DROP_ATTEMPT";
        fields["ticket"] = id_text(cancel->message);
        fields["trial"] = cancel->attempt;
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
        name = "DENY";
        fields["ticket"] = id_text(refuse->message);
        fields["retry_after_ms"] = to_ms(refuse->retry_after);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
        name = "GIVE_UP";
        fields["ticket"] = id_text(fail->message);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        name = "WAKE_ME";
        fields["sleep_for_ms"] = to_ms(timer->delay);
        fields["tag"] = "next";
    } else if (const auto* probe = std::get_if<Probe>(&action)) {
        name = "POLL";
        fields["target"] = endpoint_names_.at(probe->endpoint);
    } else if (const auto* close = std::get_if<CloseIdle>(&action)) {
        name = "CLOSE";
        fields["target"] = endpoint_names_.at(close->endpoint);
    } else if (const auto* tell = std::get_if<TellPeers>(&action)) {
        name = "BROADCAST_TO";
        fields["dest"] = tell->to ? static_cast<std::int64_t>(*tell->to) : -1;
        fields["content"] = to_base64(tell->bytes);
    } else if (const auto* watch = std::get_if<Watch>(&action)) {
        name = "TAIL";
        fields["on"] = watch->on;
    } else if (std::holds_alternative<FetchList>(action)) {
        name = "LOOKUP";
    } else {
        name = "DEBUG";
        fields["body_text"] = std::get<Log>(action).text;
    }
    return Json{{name, std::move(fields)}};
}

void Instance::decide(std::int64_t instance_id, Time now, std::ostream& out) {
    for (const Action& action : sender_->decide(now)) {
        if (const auto* forget = std::get_if<Forget>(&action))
            endpoints_.erase(endpoint_names_.at(forget->endpoint));
        else
            out << to_json(action, instance_id).dump() << '\n';
    }
}

namespace {

/// Processes the batches of one run: holds the instances and the numbered lists.
class BatchRunner {
public:
    explicit BatchRunner(std::ostream& out) : out_(out) {}

    void process_line(const std::string& text) {
        const Json object = Json::parse(text);
        if (!object.is_object() || object.size() != 1) throw BadInput("not an object with one key");
        const std::string& name = object.begin().key();
        const Json& fields = object.begin().value();
        if (!fields.is_object()) throw BadInput(name + " is not an object");
        if (name == "MARK") return begin_batch(fields);
        if (!in_batch_) throw BadInput(name + " outside a batch");
        if (name == "OVER_TO_YOU") return end_batch();
        if (name == "LEDGER") {
            ledgers_[field<int>(fields, "slot")] = need(fields, "rows_in");
            return;
        }
        handle_event(name, fields);
    }
    bool in_batch() const { return in_batch_; }

private:
    void begin_batch(const Json& fields) {
        if (in_batch_) throw BadInput("MARK inside a batch");
        now_ = from_ms(field<double>(fields, "time_ms"));
        in_batch_ = true;
        affected_.clear();
        failures_.clear();
    }
    void handle_event(const std::string& name, const Json& fields) {
        const auto instance_id = field<std::int64_t>(fields, "who");
        if (name == "PROVISION") {
            catch_failures(instance_id, [&] {
                instances_.insert_or_assign(instance_id,
                    Instance(need(fields, "params"), value_or<std::uint64_t>(fields, "salt", 0)));
            });
            affected_.insert(instance_id);
            return;
        }
        const auto found = instances_.find(instance_id);
        if (found == instances_.end()) {
            if (failures_.contains(instance_id)) return;
            throw BadInput("unknown instance " + std::to_string(instance_id));
        }
        if (name == "DESTROY") {
            instances_.erase(found);
            affected_.erase(instance_id);
            return;
        }
        const auto ledger = name == "VIEW" ? ledgers_.find(value_or(fields, "slot", 0)) : ledgers_.end();
        catch_failures(instance_id, [&] {
            found->second.handle(name, fields, ledger == ledgers_.end() ? nullptr : &ledger->second, now_);
        });
        affected_.insert(instance_id);
    }
    /// An exception of the decision module becomes a PANIC in the reply. Invalid input stays an error.
    template <class Function>
    void catch_failures(std::int64_t instance_id, Function function) {
        try {
            function();
        } catch (const BadInput&) {
            throw;
        } catch (const Json::exception&) {
            throw;
        } catch (const std::exception& failure) {
            failures_.emplace(instance_id, failure.what());
        }
    }
    void end_batch() {
        for (const std::int64_t instance_id : affected_)
            if (const auto found = instances_.find(instance_id); found != instances_.end())
                catch_failures(instance_id, [&] { found->second.decide(instance_id, now_, out_); });
        for (const auto& [instance_id, text] : failures_)
            out_ << Json{{"PANIC", {{"who", instance_id}, {"body_text", text}}}}.dump() << '\n';
        out_ << "{\"ACK\":{}}\n" << std::flush;
        in_batch_ = false;
    }

    std::ostream& out_;
    std::map<std::int64_t, Instance> instances_;
    std::map<int, Json> ledgers_;
    std::set<std::int64_t> affected_;
    std::map<std::int64_t, std::string> failures_;
    Time now_{0};
    bool in_batch_ = false;
};

}  // namespace

int run(std::istream& in, std::ostream& out, std::ostream& err) {
    BatchRunner batches(out);
    std::string text;
    std::size_t number = 0;
    try {
        while (std::getline(in, text)) {
            ++number;
            if (!text.empty()) batches.process_line(text);
        }
        if (batches.in_batch()) throw BadInput("the input ends inside a batch");
    } catch (const std::exception& failure) {
        std::string what = failure.what();
        for (char& character : what)
            if (character == '\n') character = ' ';
        err << "cometspoke_drill: input line " << number << ": " << what << std::endl;
        return 1;
    }
    return 0;
}

}  // namespace cometspoke::wire
