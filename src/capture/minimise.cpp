#include "capture/minimise.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>
#include <set>

#include "capture/archive.hpp"
#include "capture/memory.hpp"
#include "capture/story.hpp"
#include "policy/state.hpp"

namespace lockgw::capture {

using namespace cometspoke;

namespace {

std::string bytes_of_one(const Action& action) { return bytes_of(std::vector<Action>{action}); }

std::size_t events_in(const std::vector<Batch>& batches) {
    return std::accumulate(batches.begin(), batches.end(), std::size_t{0},
        [](std::size_t sum, const Batch& batch) { return sum + batch.events.size(); });
}

/// The message that an event is about.
std::optional<MessageId> message_of(const Event& event) {
    return std::visit(
        [](const auto& one) -> std::optional<MessageId> {
            if constexpr (requires { one.message; })
                return one.message;
            else
                return std::nullopt;
        },
        event);
}

/// A batch without what a rule drops; entries of lists go one by one.
struct Without {
    std::set<MessageId> messages;
    std::set<EndpointId> endpoints;

    Batch operator()(const Batch& from) const {
        Batch batch{from.number, from.decided, {}, {}};
        for (const auto& [when, event] : from.events)
            if (auto kept = without(event)) batch.events.emplace_back(when, std::move(*kept));
        return batch;
    }

private:
    std::optional<Event> without(const Event& event) const {
        if (const auto id = message_of(event); id && messages.contains(*id)) return std::nullopt;
        if (const auto* outcome = std::get_if<OutcomeEvent>(&event))
            if (endpoints.contains(outcome->endpoint)) return std::nullopt;
        const auto* list = std::get_if<ListEvent>(&event);
        if (list == nullptr) return event;
        ListEvent shorter{list->kind, {}};
        for (const ListEntry& entry : list->entries)
            if (!endpoints.contains(entry.endpoint)) shorter.entries.push_back(entry);
        if (shorter.entries.empty() && !list->entries.empty() && list->kind == ListKind::Changes)
            return std::nullopt;
        return shorter;
    }
};

class Minimiser {
public:
    Minimiser(const Segment& segment, const Chosen& decision, std::size_t most,
        const std::vector<Action>& also, const std::function<void(Settings&)>& changes,
        const std::function<void(std::size_t, std::size_t)>& progress)
        : segment_(segment),
          decision_(bytes_of_one(decision.action)),
          most_(most),
          changes_(changes),
          progress_(progress),
          settings_(Replay(segment).state().settings_),
          memory_(segment.head->memory) {
        for (const Action& action : also) also_.insert(bytes_of_one(action));
        batches_.assign(segment.batches.begin(),
            segment.batches.begin() + static_cast<std::ptrdiff_t>(decision.place) + 1);
    }

    Minimal run() {
        Minimal result;
        result.events_before = events_in(batches_);
        if (!shows(batches_)) throw BadCapture("this build does not decide so in that batch");
        // a module that knows nothing, or else the shortest way from what was known
        knows_nothing_ = true;
        if (!shows(batches_)) {
            knows_nothing_ = false;
            keep_the_end();
        }
        for (std::size_t before = 0; before != size();) {
            before = size();
            leave_out_messages();
            leave_out_endpoints();
            leave_out_batches();
            leave_out_events();
        }
        result.segment = decided_anew();
        result.knows_nothing = knows_nothing_;
        result.trials = trials_;
        result.events = events_in(batches_);
        return result;
    }

private:
    std::size_t size() const { return batches_.size() + events_in(batches_); }

    Sender module() const {
        Sender module(settings_, 0);
        if (!knows_nothing_) remember(module, memory_);
        return module;
    }
    bool decides(const std::vector<Batch>& batches, bool changed) const try {
        Sender module = this->module();
        if (changed) changes_(module.state().settings_);
        std::vector<Action> actions;
        std::set<std::string> missing = also_;
        for (const Batch& batch : batches) {
            for (const auto& [when, event] : batch.events) module.observe(event, when);
            actions = module.decide(batch.decided);
            if (missing.empty()) continue;
            for (const Action& action : actions) missing.erase(bytes_of_one(action));
        }
        return missing.empty() && std::any_of(actions.begin(), actions.end(), [this](const Action& action) {
            return bytes_of_one(action) == decision_;
        });
    } catch (const std::exception&) {
        return false;  // what is left makes no sense to the module
    }
    bool shows(const std::vector<Batch>& batches) {
        if (trials_ >= most_) return false;
        ++trials_;
        if (progress_) progress_(trials_, events_in(batches_));
        return !batches.empty() && decides(batches, false) && !(changes_ && decides(batches, true));
    }
    bool take(std::vector<Batch> batches) {
        if (!shows(batches)) return false;
        batches_ = std::move(batches);
        return true;
    }

    /// What was known right before the decision shows it by itself: nothing else can be shorter.
    void keep_the_end() {
        Replay replay(segment_);
        while (replay.place() + 1 < batches_.size())
            if (replay.step()) return;
        const std::string whole = std::exchange(memory_, memory_of(replay.module()));
        if (!take({batches_.back()})) memory_ = whole;
    }

    /// ddmin: leaves out as many of `units` as it can, in ever smaller parts; `without`: the batches without
    /// those units.
    template <class Unit, class Drop>
    void leave_out(std::vector<Unit> units, Drop without) {
        for (std::size_t parts = 2; !units.empty() && trials_ < most_;) {
            const std::size_t each = std::max<std::size_t>(1, (units.size() + parts - 1) / parts);
            bool any = false;
            for (std::size_t at = 0; at < units.size();) {
                const auto first = units.begin() + static_cast<std::ptrdiff_t>(at);
                const auto last =
                    units.begin() + static_cast<std::ptrdiff_t>(std::min(at + each, units.size()));
                if (take(without(std::vector<Unit>(first, last)))) {
                    units.erase(first, last);
                    any = true;
                } else {
                    at += each;
                }
            }
            if (each == 1 && !any) return;
            if (each > 1) parts = std::min(units.size(), 2 * parts);
            if (parts == 0) return;
        }
    }
    template <class Id>
    void leave_out_ids(const std::set<Id>& ids, std::set<Id> Without::*which) {
        leave_out(std::vector<Id>(ids.begin(), ids.end()), [&](const std::vector<Id>& some) {
            Without without;
            (without.*which).insert(some.begin(), some.end());
            std::vector<Batch> all;
            for (const Batch& batch : batches_) all.push_back(without(batch));
            return all;
        });
    }
    void leave_out_messages() {
        std::set<MessageId> ids;
        for (const Batch& batch : batches_)
            for (const auto& [when, event] : batch.events)
                if (const auto id = message_of(event)) ids.insert(*id);
        leave_out_ids(ids, &Without::messages);
    }
    void leave_out_endpoints() {
        std::set<EndpointId> ids;
        for (const Batch& batch : batches_)
            for (const auto& [when, event] : batch.events)
                if (const auto* list = std::get_if<ListEvent>(&event))
                    for (const ListEntry& entry : list->entries) ids.insert(entry.endpoint);
        leave_out_ids(ids, &Without::endpoints);
    }
    /// Units are known by their numbers, which stay while others are left out.
    void leave_out_batches() {
        std::vector<std::uint64_t> numbers;
        for (std::size_t i = 0; i + 1 < batches_.size(); ++i) numbers.push_back(batches_[i].number);
        leave_out(numbers, [this](const std::vector<std::uint64_t>& some) {
            const std::set<std::uint64_t> dropped(some.begin(), some.end());
            std::vector<Batch> all;
            for (const Batch& batch : batches_)
                if (!dropped.contains(batch.number)) all.push_back(batch);
            return all;
        });
    }
    void leave_out_events() {
        // from the end on, one batch after another: places ahead of it stay good
        for (std::size_t i = batches_.size(); i-- > 0 && trials_ < most_;)
            for (std::size_t event = batches_[i].events.size(); event-- > 0;) {
                std::vector<Batch> fewer = batches_;
                fewer[i].events.erase(fewer[i].events.begin() + static_cast<std::ptrdiff_t>(event));
                take(std::move(fewer));
            }
    }

    /// What is left, with the numbers, the memory and the decisions of a capture of its own.
    Segment decided_anew() const {
        Segment out;
        out.head = *segment_.head;
        out.head->why = "minimised";
        out.head->first = 0;
        Sender module = this->module();
        out.head->memory = memory_of(module);
        std::set<EndpointId> named;
        for (Batch batch : batches_) {
            batch.number = out.batches.size();
            for (const auto& [when, event] : batch.events) {
                module.observe(event, when);
                if (const auto* list = std::get_if<ListEvent>(&event))
                    for (const ListEntry& entry : list->entries) named.insert(entry.endpoint);
            }
            batch.actions = module.decide(batch.decided);
            out.batches.push_back(std::move(batch));
        }
        for (const Named& name : segment_.names)
            if (!knows_nothing_ || named.contains(name.endpoint)) out.names.push_back(name);
        return out;
    }

    const Segment& segment_;
    std::string decision_;
    std::set<std::string> also_;
    std::size_t most_, trials_ = 0;
    const std::function<void(Settings&)>& changes_;
    const std::function<void(std::size_t, std::size_t)>& progress_;
    Settings settings_;
    std::string memory_;  // of the beginning, unless it knows nothing
    bool knows_nothing_ = false;
    std::vector<Batch> batches_;
};

}  // namespace

std::optional<Chosen> chosen(const Segment& segment, const std::string& words) {
    const NameOf name_of = names_of(segment);
    for (std::size_t place = 0; place < segment.whole(); ++place)
        for (const Action& action : segment.batches[place].actions)
            if (text_of(action, name_of).find(words) != std::string::npos) return Chosen{place, action};
    return std::nullopt;
}

Minimal minimal(const Segment& segment, const Chosen& decision, std::size_t most,
    const std::vector<Action>& also, const std::function<void(Settings&)>& changes,
    const std::function<void(std::size_t, std::size_t)>& progress) {
    return Minimiser(segment, decision, most, also, changes, progress).run();
}

}  // namespace lockgw::capture
