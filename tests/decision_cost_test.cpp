// What a message costs in steps, not in time: the module is compiled with a hook at each function it enters
// (the steps of its containers among them), and the count must not grow with what is held. The module as it
// was before fails the same table, which shows that the count sees its walks.
#include <functional>

#include "helpers.hpp"
#include "reference/logic_before.hpp"

namespace {
// of this test's one thread: a hook has no other place to count in
std::uint64_t steps = 0;
}  // namespace

extern "C" {
void __cyg_profile_func_enter(void*, void*) __attribute__((no_instrument_function));
void __cyg_profile_func_exit(void*, void*) __attribute__((no_instrument_function));
void __cyg_profile_func_enter(void*, void*) { ++steps; }
void __cyg_profile_func_exit(void*, void*) {}
}

namespace cometspoke::testing {
namespace {

constexpr DestinationId kWell = 1'000'000;
constexpr EndpointId kWellEndpoint = 1'000'000;

template <class Module>
class Load {
public:
    explicit Load(Settings settings) : module(std::move(settings), 1) { list(kWellEndpoint, kWell); }

    void list(EndpointId endpoint, DestinationId destination) {
        module.observe(
            ListEvent{ListKind::Changes, {{endpoint, destination, 0, 0, 0.0, Condition::Ready}}}, now);
    }
    MessageId arrive(DestinationId destination, std::size_t kind = kRetryable,
        std::optional<std::uint64_t> key = std::nullopt, Time left = ms(20'000)) {
        module.observe(MessageEvent{++last, destination, kind, std::nullopt, key, left}, now);
        return last;
    }
    void finish(const Send& send, Outcome outcome, Time wait = Time(0)) {
        OutcomeEvent event;
        event.message = send.message, event.endpoint = send.endpoint,
        event.attempt = attempts[send.message]++;
        event.outcome = outcome, event.terminal = outcome == Outcome::Served, event.rtt = ms(10);
        event.wait = wait;
        module.observe(event, now);
    }
    std::vector<Send> decide(Time passed = ms(1)) {
        now += passed;
        const auto actions = module.decide(now);
        return actions_of<Send>(actions);
    }
    /// Steps for each of some messages to the one that is well, from its arrival to its outcome's decision.
    double steps_a_message(Time pace) {
        constexpr int kMessages = 40;
        for (int i = -10; i < kMessages; ++i) {
            if (i == 0) steps = 0;
            arrive(kWell);
            for (const Send& send : decide(pace))
                if (send.endpoint == kWellEndpoint) finish(send, Outcome::Served);
            decide(pace);
        }
        return static_cast<double>(steps) / kMessages;
    }

    Module module;
    Time now = ms(1'000'000);
    MessageId last = 0;
    std::map<MessageId, std::uint32_t> attempts;
};

Settings big(std::size_t held) {
    Settings settings = make_settings();
    settings.most_held = held * 2 + 1000;
    settings.slots = 16;
    return settings;
}

struct Case {
    const char* name;
    std::size_t small, large;
    double before_at_least;  ///< the growth that the module before shows, where it has the walk
};
std::ostream& operator<<(std::ostream& out, const Case& one) { return out << one.name; }

template <class Module>
double measured(const std::string& name, std::size_t size) {
    const auto count = static_cast<DestinationId>(size);
    Settings settings = big(size);
    if (name == "full_room") settings.most_held = size;
    if (name == "slow_backlog") settings.slots = 64;
    Load<Module> load(settings);
    if (name == "held_for_one_that_hangs" || name == "full_room") {
        load.list(1, 1);
        for (std::size_t i = 0; i < size; ++i) load.arrive(1);
    } else if (name == "destinations_that_wait") {
        for (DestinationId i = 1; i <= count; ++i) load.list(static_cast<EndpointId>(i), i);
        for (DestinationId i = 1; i <= count; ++i) {  // each was told a wait, and holds a message
            load.arrive(i);
            for (const Send& send : load.decide(Time(1)))
                load.finish(send, Outcome::TurnedAway, ms(1'000'000));
        }
    } else if (name == "idle_destinations") {
        for (DestinationId i = 1; i <= count; ++i) load.list(static_cast<EndpointId>(i), i);
    } else if (name == "one_key_in_order") {
        load.list(1, 1);
        for (std::size_t i = 0; i < size; ++i) load.arrive(1, kSequential, 5);
    } else if (name == "many_keys_in_order") {
        load.list(1, 1);
        for (std::size_t i = 0; i < size; ++i) load.arrive(1, kSequential, i / 2);
    } else if (name == "slow_backlog") {
        for (int i = 0; i < 5; ++i) {  // it is known to take some
            load.arrive(kWell);
            for (const Send& send : load.decide(ms(200))) load.finish(send, Outcome::Served);
        }
        for (std::size_t i = 0; i < size; ++i) load.arrive(kWell);
    }
    load.decide();
    load.decide(ms(3000));  // pauses that came before are over
    return load.steps_a_message(name == "slow_backlog" ? ms(50) : ms(1));
}

class Steps : public ::testing::TestWithParam<Case> {};

TEST_P(Steps, DoNotGrowWithWhatIsHeld) {
    const Case& one = GetParam();
    const double few = measured<Sender>(one.name, one.small), many = measured<Sender>(one.name, one.large);
    RecordProperty("steps", std::to_string(few) + " " + std::to_string(many));
    std::cout << one.name << ": " << few << " steps a message with " << one.small << ", " << many << " with "
              << one.large << '\n';
    EXPECT_LE(many, 2.0 * few);
    if (one.before_at_least == 0) return;
    const double then = measured<SenderBefore>(one.name, one.small / 4);
    const double later = measured<SenderBefore>(one.name, one.small);
    EXPECT_GE(later, one.before_at_least * then) << "the count does not see the walk";
}

INSTANTIATE_TEST_SUITE_P(Module, Steps,
    ::testing::Values(Case{"held_for_one_that_hangs", 1000, 16'000, 2.0},
        Case{"full_room", 4000, 16'000, 2.0}, Case{"destinations_that_wait", 500, 8000, 2.0},
        Case{"idle_destinations", 500, 8000, 0}, Case{"one_key_in_order", 500, 8000, 2.0},
        Case{"many_keys_in_order", 500, 8000, 2.0}, Case{"slow_backlog", 1000, 16'000, 2.0}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace cometspoke::testing
