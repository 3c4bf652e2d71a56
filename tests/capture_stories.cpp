// Twelve stories of what once went wrong, or would have: each is played by the decision module against a
// small scripted world and written down as a segment.
//   capture_stories write FOLDER     plays them
//   capture_stories replay FILE      decides one once more, 100 times; 1 where anything differs
//
// The files are made by the build that tests them: exp() and pow() may differ in their last bit from one
// processor to another, and a file that was kept would then say so.
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>

#include "capture/archive.hpp"
#include "capture/memory.hpp"
#include "capture/replay.hpp"
#include "helpers.hpp"

namespace cometspoke::testing {
namespace {

namespace capture = lockgw::capture;

/// Two partners with two endpoints each (0 and 1 of destination 0, 2 and 3 of destination 1) behind one
/// module.
class World {
public:
    explicit World(const Settings& settings) : module_(settings, 7) {
        capture::Head head;
        head.why = "story";
        head.steady = now_;
        head.memory = capture::memory_of(module_);
        bytes_ = capture::magic() + capture::frame(capture::RecordKind::Head, capture::bytes_of(head));
        ListEvent list;
        for (EndpointId id = 0; id < 4; ++id)
            list.entries.push_back({id, static_cast<DestinationId>(id / 2), 0, 0, 0.0, Condition::Ready});
        tell(list);
        decide();
    }

    /// How a partner answers, from now on.
    struct Mood {
        Outcome outcome = Outcome::Served;
        Time after = ms(40), wait{0};
    };
    void mood(DestinationId destination, Mood mood) { moods_[destination] = mood; }
    void condition(EndpointId id, Condition condition) {
        tell(ListEvent{ListKind::Changes, {{id, static_cast<DestinationId>(id / 2), 0, 0, 0.0, condition}}});
    }
    MessageId message(DestinationId destination, std::size_t kind, std::optional<std::uint64_t> key = {},
        Time left = ms(8000), std::optional<MessageEvent::Doubt> doubt = {}) {
        MessageEvent event;
        event.message = ++messages_;
        event.destination = destination;
        event.message_class = kind;
        event.key = key;
        event.left = left;
        event.doubt = doubt;
        event.attempts = attempts_[event.message] = doubt ? 1 : 0;
        tell(event);
        return event.message;
    }
    /// Time goes on in steps of 10 ms; `each` is called ahead of every one of them, with the moment since.
    void run(Time span, const std::function<void(Time)>& each = {}) {
        for (Time passed{0}; passed < span; passed += ms(10)) {
            if (each) each(passed);
            decide();
            now_ += ms(10);
            answer();
        }
        decide();
    }
    const std::string& bytes() const { return bytes_; }

private:
    struct Out {
        Send send;
        std::uint32_t attempt;
        Time sent;
    };
    void tell(const Event& event) {
        module_.observe(event, now_);
        batch_.event(event, now_);
    }
    void decide() {
        const auto actions = module_.decide(now_);
        bytes_ += capture::frame(capture::RecordKind::Batch, batch_.finish(number_++, now_, actions));
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<Send>(&action))
                out_.push_back({*send, attempts_[send->message]++, now_});
            if (const auto* cancel = std::get_if<CancelAttempt>(&action))
                for (Out& one : out_)
                    if (one.send.message == cancel->message && one.attempt == cancel->attempt)
                        one.send.time_out = Time(0);
        }
    }
    void answer() {
        std::vector<Out> still;
        for (const Out& one : std::exchange(out_, {})) {
            const Mood mood = moods_[static_cast<DestinationId>(one.send.endpoint / 2)];
            const bool late = now_ - one.sent >= one.send.time_out;
            if (!late && now_ - one.sent < mood.after) {
                still.push_back(one);
                continue;
            }
            OutcomeEvent event;
            event.message = one.send.message, event.endpoint = one.send.endpoint, event.attempt = one.attempt;
            event.outcome = late ? Outcome::NoAnswer : mood.outcome;
            event.rtt = now_ - one.sent;
            event.wait = late ? Time(0) : mood.wait;
            event.terminal = event.outcome == Outcome::Served;
            tell(event);
        }
        out_.insert(out_.end(), still.begin(), still.end());
    }

    Sender module_;
    Time now_ = ms(1'000'000);
    std::string bytes_;
    capture::BatchWriter batch_;
    std::uint64_t number_ = 0;
    std::map<DestinationId, Mood> moods_;
    std::map<MessageId, std::uint32_t> attempts_;
    std::vector<Out> out_;
    MessageId messages_ = 0;
};

constexpr World::Mood kHangs{Outcome::NoAnswer, ms(60'000), Time(0)};
constexpr World::Mood kFails{Outcome::ServerError, ms(20), Time(0)};

Settings usual() {
    Settings settings = make_settings();
    settings.slots = 16;
    settings.most_held = 60;
    return settings;
}
/// A message for each partner at every second step.
std::function<void(Time)> steady(World& world, std::size_t kind = kRetryable) {
    return [&world, kind](Time at) {
        if (at % ms(20) == Time(0)) world.message(at / ms(20) % 2, kind);
    };
}

struct Story {
    const char* name;
    void (*play)(World&);
};

void warm_up(World& world) { world.run(ms(1500), steady(world)); }

const Story kStories[] = {
    // A partner goes silent: calls that hang must not be all that is sent to it.
    {"silent_partner", [](World& w) { warm_up(w), w.mood(0, kHangs), w.run(ms(6000), steady(w)); }},
    // A wait that was told binds every message, also one that comes meanwhile.
    {"told_wait",
        [](World& w) {
            warm_up(w), w.mood(0, {Outcome::TurnedAway, ms(20), ms(900)}), w.run(ms(1500), steady(w));
            w.mood(0, {}), w.run(ms(1500), steady(w));
        }},
    // A partner that returns cold is tried gently.
    {"cold_return",
        [](World& w) {
            warm_up(w), w.mood(0, kFails), w.run(ms(4000), steady(w));
            w.mood(0, {}), w.run(ms(4000), steady(w));
        }},
    // One that flaps is still cold after its first success.
    {"flap",
        [](World& w) {
            warm_up(w);
            for (int i = 0; i < 3; ++i)
                w.mood(0, kFails), w.run(ms(1500), steady(w)), w.mood(0, {}), w.run(ms(700), steady(w));
        }},
    // A drain in the middle of a burst.
    {"drain_in_a_burst",
        [](World& w) {
            warm_up(w);
            for (int i = 0; i < 20; ++i) w.message(0, kRetryable);
            w.condition(0, Condition::Draining), w.run(ms(1500), steady(w));
        }},
    // What may have run before a restart goes again only inside its window.
    {"doubt_after_a_restart",
        [](World& w) {
            w.message(0, kDedup, {}, ms(8000), MessageEvent::Doubt{ms(60'000), EndpointId{0}});
            w.message(1, kFragile, {}, ms(8000), MessageEvent::Doubt{ms(10), EndpointId{2}});
            w.run(ms(500));
        }},
    // What takes effect twice is not repeated when nothing is known of its first try.
    {"unsafe_without_an_answer",
        [](World& w) {
            warm_up(w), w.mood(0, {Outcome::ConnectionLost, ms(20), Time(0)});
            for (int i = 0; i < 3; ++i) w.message(0, kFragile);
            w.run(ms(1000));
        }},
    // A refusal lowers what is sent, not for one message only.
    {"limit_learned",
        [](World& w) {
            warm_up(w);
            for (int i = 0; i < 4; ++i) {
                w.mood(0, {Outcome::TurnedAway, ms(10), Time(0)}), w.run(ms(40), steady(w));
                w.mood(0, {}), w.run(ms(600), steady(w));
            }
        }},
    // One partner must not have all slots.
    {"one_takes_all_slots",
        [](World& w) {
            warm_up(w), w.mood(0, {Outcome::Served, ms(900), Time(0)});
            for (int i = 0; i < 40; ++i) w.message(0, kRetryable);
            w.run(ms(2000), steady(w));
        }},
    // Messages of one key go one after another, and rest after a doubtful end.
    {"order_of_a_key",
        [](World& w) {
            warm_up(w);
            for (int i = 0; i < 6; ++i) w.message(0, kSequential, 5);
            w.run(ms(300)), w.mood(0, {Outcome::ConnectionLost, ms(20), Time(0)});
            for (int i = 0; i < 3; ++i) w.message(0, kSequential, 6);
            w.run(ms(1500));
        }},
    // A partner that is down must not fill the room of the others.
    {"room_full_of_the_sick",
        [](World& w) {
            warm_up(w), w.mood(0, kFails), w.run(ms(1500), steady(w));
            w.run(ms(4000), [&w](Time at) {
                w.message(0, kRetryable);
                if (at % ms(30) == Time(0)) w.message(1, kRetryable);
            });
        }},
    // In a long outage attempts are spread over the time that is left.
    {"attempts_in_a_long_outage",
        [](World& w) {
            w.mood(0, {Outcome::NoConnection, ms(10), Time(0)});
            for (int i = 0; i < 3; ++i) w.message(0, kRetryable);
            w.run(ms(7000));
        }},
};

int write_all(const std::filesystem::path& folder) {
    std::filesystem::create_directories(folder);
    for (const Story& story : kStories) {
        World world(usual());
        story.play(world);
        std::ofstream(folder / (std::string(story.name) + ".lcap"), std::ios::binary) << world.bytes();
    }
    return 0;
}

int replay(const char* path) {
    const auto segment = capture::read_segment(path);
    if (!segment.damage.empty() || segment.whole() != segment.batches.size() || segment.batches.empty()) {
        std::cerr << path << " is not whole\n";
        return 2;
    }
    for (int i = 0; i < 100; ++i)
        if (const auto difference = capture::first_difference(segment)) {
            std::cerr << path << ": batch " << difference->number << " is decided otherwise\n";
            return 1;
        }
    return 0;
}

}  // namespace
}  // namespace cometspoke::testing

int main(int count, char** words) try {
    using namespace cometspoke::testing;
    if (count == 3 && std::strcmp(words[1], "write") == 0) return write_all(words[2]);
    if (count == 3 && std::strcmp(words[1], "replay") == 0) return replay(words[2]);
    std::cerr << "capture_stories write FOLDER | replay FILE\n";
    return 2;
} catch (const std::exception& bad) {
    std::cerr << bad.what() << '\n';
    return 2;
}
