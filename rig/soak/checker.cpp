#include "rig/soak/checker.hpp"

#include <algorithm>
#include <iomanip>
#include <set>
#include <sstream>

namespace lockgw::rig::soak {
namespace {

constexpr int kDelivered = 200, kOver = 410;

// The protocol page's slack.
constexpr Milliseconds kSlack{50};          // on each time limit
constexpr Milliseconds kLate{300};          // from a message's deadline until its end is overdue
constexpr Milliseconds kAfterReady{1500};   // from a restart's end on, notices are overdue again
constexpr Milliseconds kDrainGrace{500};    // from when a drain was told
constexpr Milliseconds kWaitCrossing{100};  // calls that cross the answer with the wait
constexpr Milliseconds kHoldUp{150};        // that a forwarder may be held up between its clock and a write
constexpr Milliseconds kKillCrossing{
    250};  // an answer so soon before a kill may not have been read, or not be kept

bool was_delivered(const ObservedMessage& message) {
    return std::any_of(message.calls.begin(), message.calls.end(),
        [](const ObservedCall& call) { return call.status == kDelivered; });
}

/// The checks of one run.
class Checker {
public:
    explicit Checker(const Observations& seen) : seen_(seen) {}

    std::vector<Violation> run() {
        for (const auto& [id, message] : seen_.messages) {
            if (message.given_up) continue;  // what is sent under its id counts for nothing
            id_ = &id;
            check_duplicates(message);
            check_called_after_end(message);
            check_ended(message);
            check_answered(message);
        }
        check_effects();
        check_drains();
        check_waits();
        check_returns();
        check_list_changes();
        if (seen_.unknown > 0)
            violations_.push_back({Rule::UnknownMessage, "", std::to_string(seen_.unknown)});
        return std::move(violations_);
    }

private:
    void broken(Rule rule, const std::string& id) {
        if (reported_.emplace(rule, id).second) violations_.push_back({rule, id, story_of(id)});
    }
    void broken(Rule rule) { broken(rule, *id_); }
    /// A call needs so long from its first byte to the target, and an answer back.
    Milliseconds both_ways() const { return 2 * seen_.one_way; }
    Milliseconds hold_up() const { return seen_.hold_ups ? kHoldUp : Milliseconds(0); }

    // ---- a forwarder that an operator puts back serves ----

    void check_returns() {
        for (const ReturnToService& back : seen_.returns) {
            if (back.serves) continue;
            const double told = std::chrono::duration<double>(back.told - seen_.began).count();
            violations_.push_back({Rule::NotBackInService, "",
                "forwarder " + std::to_string(back.forwarder) + ", told at " + std::to_string(told) + " s"});
        }
    }

    // ---- a change that discovery has counts as told, however slowly it answers ----

    bool served_throughout(std::size_t forwarder, Clock::time_point from, Clock::time_point to) const {
        return std::none_of(seen_.restarts.begin(), seen_.restarts.end(), [&](const Restart& restart) {
            return restart.forwarder == forwarder && restart.told <= to &&
                   restart.ready.value_or(Clock::time_point::max()) >= from;
        });
    }
    void check_list_changes() {
        for (const ListChange& change : seen_.list_changes) {
            if (change.known || !served_throughout(change.forwarder, change.made, change.due)) continue;
            const double made = std::chrono::duration<double>(change.made - seen_.began).count();
            violations_.push_back({Rule::ListNotKnown, "",
                "forwarder " + std::to_string(change.forwarder) + ", changed at " + std::to_string(made) +
                    " s"});
        }
    }

    // ---- a message that may have run is sent again only as its class allows; never two attempts out ----

    bool may_repeat(
        const ObservedMessage& message, const ObservedCall& earlier, const ObservedCall& call) const {
        if (message.effect == Effect::Repeatable) return true;
        return message.effect == Effect::Keyed &&
               call.received - earlier.received <= seen_.keyed_window + kSlack;
    }
    void check_duplicates(const ObservedMessage& message) {
        for (auto call = message.calls.begin(); call != message.calls.end(); ++call)
            for (auto earlier = message.calls.begin(); earlier != call; ++earlier) {
                if (earlier->may_have_run && !may_repeat(message, *earlier, *call)) broken(Rule::RanAgain);
                if (!earlier->ended || *earlier->ended > call->received) broken(Rule::TwoAttemptsOut);
            }
    }

    // ---- an order takes effect once, also where it was handed in again after a refusal ----

    bool harms(
        const ObservedMessage& message, const ObservedEffect& earlier, const ObservedEffect& effect) const {
        if (message.effect == Effect::Repeatable || message.given_up) return false;
        return message.effect == Effect::Unsafe ||
               effect.received - earlier.received > seen_.keyed_window + kSlack;
    }
    void check_effects() {
        for (const auto& [key, effects] : seen_.effects)
            for (std::size_t i = 1; i < effects.size(); ++i) {
                const std::string& id = effects[i].message;
                if (harms(seen_.messages.at(id), effects[i - 1], effects[i]))
                    broken(Rule::TookEffectAgain, id);
            }
    }
    void tell_earlier_effects(std::ostream& out, const std::string& id) const {
        const auto found = seen_.effects.find(seen_.messages.at(id).key);
        if (found == seen_.effects.end() || found->second.size() < 2) return;
        for (const ObservedEffect& effect : found->second)
            out << "\n  its order took effect at " << seconds(effect.received) << " as " << effect.message;
    }

    // ---- nothing is sent for a message that is over ----

    bool killed_behind(std::size_t forwarder, Clock::time_point when) const {
        return std::any_of(seen_.restarts.begin(), seen_.restarts.end(), [&](const Restart& restart) {
            return restart.forwarder == forwarder && restart.ended > when - kKillCrossing &&
                   restart.ended < when + kKillCrossing;
        });
    }
    bool told_its_end(
        const ObservedMessage& message, const ObservedCall& earlier, const ObservedCall& call) const {
        const bool ends = earlier.status == kDelivered || earlier.status == kOver;
        if (!ends || earlier.answer_lost || killed_behind(message.forwarder, *earlier.ended)) return false;
        return *earlier.ended + both_ways() + kSlack < call.received;
    }
    void check_called_after_end(const ObservedMessage& message) {
        for (auto call = message.calls.begin(); call != message.calls.end(); ++call) {
            for (auto earlier = message.calls.begin(); earlier != call; ++earlier)
                if (told_its_end(message, *earlier, *call)) broken(Rule::CalledAfterEnd);
            if (message.reported && *message.reported + both_ways() + kSlack + hold_up() < call->received)
                broken(Rule::CalledAfterEnd);
        }
    }

    // ---- what was taken on is delivered or ended in time ----

    /// From SIGTERM or SIGKILL of a restart until a while after the next process is ready, nothing is
    /// overdue.
    Clock::time_point overdue_at(const ObservedMessage& message) const {
        Clock::time_point at =
            message.submitted + message.deadline + kLate + kSlack + both_ways() + hold_up();
        for (const Restart& restart : seen_.restarts)
            if (restart.forwarder == message.forwarder && restart.told <= at && restart.ready &&
                *restart.ready + kAfterReady + kSlack > at)
                at = *restart.ready + kAfterReady + kSlack;
        return at;
    }
    void check_ended(const ObservedMessage& message) {
        if (!message.accepted || message.withdrawn || was_delivered(message)) return;
        const bool told_over = std::any_of(message.calls.begin(), message.calls.end(),
            [](const ObservedCall& call) { return call.status == kOver; });
        if (told_over) return;
        if (!message.reported || *message.reported > overdue_at(message)) broken(Rule::EndedInSilence);
    }
    void check_answered(const ObservedMessage& message) {
        if (message.closed_unanswered) broken(Rule::ClosedUnanswered);
    }

    // ---- drains and waits ----

    template <class Visit>
    void each_call(Visit visit) const {
        for (const auto& [id, message] : seen_.messages)
            if (!message.given_up)
                for (const ObservedCall& call : message.calls) visit(id, message, call);
    }
    void check_drains() {
        const Milliseconds grace = kDrainGrace + kSlack + both_ways() + hold_up();
        each_call([&](const std::string& id, const ObservedMessage& message, const ObservedCall& call) {
            for (const Drain& drain : seen_.drains)
                if (call.target == drain.target && message.forwarder == drain.forwarder &&
                    call.received > drain.told + grace && (!drain.back || call.received < *drain.back))
                    broken(Rule::DrainIgnored, id);
        });
    }
    bool restarted_between(std::size_t forwarder, Clock::time_point from, Clock::time_point to) const {
        return std::any_of(seen_.restarts.begin(), seen_.restarts.end(), [&](const Restart& restart) {
            return restart.forwarder == forwarder && restart.ended > from - kKillCrossing &&
                   restart.told < to;
        });
    }
    /// A wait runs from when its answer is written: one that could not be written has told nothing.
    bool was_told(const ObservedWait& wait) const {
        return !seen_.messages.at(wait.message).calls[wait.call].answer_unwritten;
    }
    bool ignores(const ObservedMessage& message, const ObservedCall& call, const ObservedWait& wait) const {
        const Milliseconds crossing = kWaitCrossing + kSlack + both_ways() + hold_up();
        return wait.target == call.target && wait.forwarder == message.forwarder && was_told(wait) &&
               call.received > wait.written + crossing && call.received < wait.until &&
               !restarted_between(wait.forwarder, wait.written, call.received);
    }
    void check_waits() {
        each_call([&](const std::string& id, const ObservedMessage& message, const ObservedCall& call) {
            for (const ObservedWait& wait : seen_.waits)
                if (ignores(message, call, wait)) broken(Rule::WaitIgnored, id);
        });
    }
    /// The wait that the call ignores, and the call whose answer told it.
    void tell_ignored_wait(
        std::ostream& out, const ObservedMessage& message, const ObservedCall& call) const {
        for (const ObservedWait& wait : seen_.waits) {
            if (!ignores(message, call, wait)) continue;
            const ObservedMessage& earlier = seen_.messages.at(wait.message);
            const ObservedCall& told = earlier.calls[wait.call];
            out << ", which ignores the wait from " << seconds(wait.written) << " to " << seconds(wait.until)
                << ", told to " << wait.message << " on connection " << told.connection << ", called at "
                << seconds(told.received) << ", its time over at "
                << seconds(earlier.submitted + earlier.deadline);
            for (const std::string& status : earlier.final_statuses)
                out << " and reported " << status << " at " << seconds(*earlier.reported);
        }
    }

    // ---- the story of a message ----

    double seconds(Clock::time_point when) const {
        return std::chrono::duration<double>(when - seen_.began).count();
    }
    std::string story_of(const std::string& id) const {
        const ObservedMessage& message = seen_.messages.at(id);
        static const char* const effects[] = {"repeatable", "keyed", "unsafe"};
        std::ostringstream out;
        out << std::fixed << std::setprecision(3);
        out << id << " (" << effects[static_cast<int>(message.effect)] << ", destination "
            << message.destination << ") submitted to n" << message.forwarder << " at "
            << seconds(message.submitted) << ", for " << message.deadline.count() << " ms";
        if (message.accepted) out << ", accepted at " << seconds(*message.accepted);
        if (message.withdrawn) out << ", withdrawn at " << seconds(*message.withdrawn);
        for (const ObservedCall& call : message.calls) {
            out << "\n  called t" << call.target << " on connection " << call.connection << " at "
                << seconds(call.received);
            tell_ignored_wait(out, message, call);
            if (!call.ended) continue;
            out << ", " << (call.status == 0 ? "given up" : std::to_string(call.status)) << " at "
                << seconds(*call.ended) << (call.answer_lost && call.status != 0 ? ", perhaps lost" : "");
        }
        for (const std::string& status : message.final_statuses)
            out << "\n  reported " << status << " at " << seconds(*message.reported);
        tell_earlier_effects(out, id);
        for (const Restart& restart : seen_.restarts) {
            if (restart.forwarder != message.forwarder) continue;
            out << "\n  n" << restart.forwarder << " " << restart.signals << " from " << seconds(restart.told)
                << ", ended " << seconds(restart.ended);
            if (restart.ready) out << ", ready " << seconds(*restart.ready);
        }
        return out.str();
    }

    const Observations& seen_;
    const std::string* id_ = nullptr;
    std::vector<Violation> violations_;
    std::set<std::pair<Rule, std::string>> reported_;
};

}  // namespace

const char* text_of(Rule rule) {
    switch (rule) {
        case Rule::RanAgain:
            return "ran again";
        case Rule::TookEffectAgain:
            return "took effect again";
        case Rule::TwoAttemptsOut:
            return "two attempts out";
        case Rule::CalledAfterEnd:
            return "called after its end";
        case Rule::EndedInSilence:
            return "ended in silence";
        case Rule::ClosedUnanswered:
            return "closed unanswered";
        case Rule::DrainIgnored:
            return "drain ignored";
        case Rule::WaitIgnored:
            return "wait ignored";
        case Rule::ListNotKnown:
            return "list not known";
        case Rule::NotBackInService:
            return "not back in service";
        case Rule::UnknownMessage:
            break;
    }
    return "unknown message";
}

std::vector<Violation> check(const Observations& observations) { return Checker(observations).run(); }

namespace {

bool has_final_status(const ObservedMessage& message, const char* status) {
    return std::count(message.final_statuses.begin(), message.final_statuses.end(), status) > 0;
}

/// How orders ended, counted over all messages by which one was handed in.
nlohmann::json count_orders(const Observations& observations) {
    std::set<std::string> all, delivered, refused, failed;
    for (const auto& [id, message] : observations.messages) {
        all.insert(message.key);
        if (was_delivered(message)) delivered.insert(message.key);
        if (message.turned_away || has_final_status(message, "bounced")) refused.insert(message.key);
        if (has_final_status(message, "dead")) failed.insert(message.key);
    }
    std::size_t only_refused = 0, only_failed = 0;
    for (const std::string& key : failed) only_failed += !delivered.contains(key);
    for (const std::string& key : refused) only_refused += !delivered.contains(key) && !failed.contains(key);
    return {{"all", all.size()}, {"delivered", delivered.size()}, {"refused_at_last", only_refused},
        {"failed", only_failed}, {"refused_once", refused.size()}};
}

}  // namespace

nlohmann::json report(const Observations& observations, const std::vector<Violation>& violations) {
    std::size_t accepted = 0, served = 0, calls = 0, ended_unrun = 0, withdrawn = 0, given_up = 0;
    for (const auto& [id, message] : observations.messages) {
        calls += message.calls.size();
        withdrawn += message.withdrawn.has_value();
        given_up += message.given_up;
        if (!message.accepted) continue;
        ++accepted;
        served += was_delivered(message);
        const bool never_ran = std::none_of(message.calls.begin(), message.calls.end(),
            [](const ObservedCall& call) { return call.may_have_run; });
        const bool dead = has_final_status(message, "dead");
        ended_unrun += dead && never_ran && !message.withdrawn;
    }
    nlohmann::json broken = nlohmann::json::array(), statuses = nlohmann::json::object();
    for (const Violation& violation : violations)
        broken.push_back(
            {{"rule", text_of(violation.rule)}, {"message", violation.message}, {"story", violation.story}});
    nlohmann::json restarts = nlohmann::json::array();
    const auto seconds = [&](Clock::time_point when) {
        return std::chrono::duration<double>(when - observations.began).count();
    };
    for (const Restart& restart : observations.restarts)
        restarts.push_back({{"forwarder", restart.forwarder}, {"signals", restart.signals},
            {"told_s", seconds(restart.told)}, {"ended_s", seconds(restart.ended)},
            {"ready_s", restart.ready ? seconds(*restart.ready) : -1}});
    for (const auto& [status, count] : observations.statuses) statuses[std::to_string(status)] = count;
    return {{"messages", observations.messages.size()}, {"accepted", accepted}, {"delivered", served},
        {"calls", calls}, {"connections", observations.connections}, {"copies", observations.copies},
        {"unasked", observations.unasked}, {"cut", observations.cut}, {"hung", observations.hung},
        {"withdrawn", withdrawn}, {"given_up", given_up}, {"answers", std::move(statuses)},
        {"restarts", std::move(restarts)}, {"drains", observations.drains.size()},
        {"returns", observations.returns.size()}, {"list_changes", observations.list_changes.size()},
        {"waits", observations.waits.size()}, {"crashes", observations.crashes},
        {"handed_in_again", observations.handed_in_again}, {"orders", count_orders(observations)},
        {"dead_though_never_run", ended_unrun}, {"broken", std::move(broken)}};
}

}  // namespace lockgw::rig::soak
