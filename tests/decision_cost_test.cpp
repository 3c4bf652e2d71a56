// The cost of a message, counted in function calls instead of time. The module is compiled with a hook at
// each function entry, those of its containers included, and the count must not grow with the number of
// messages held. The module before its linear scans were removed (tests/reference) fails the same cases,
// which shows that the count sees scans.
#include <functional>

#include "helpers.hpp"
#include "reference/logic_before.hpp"

namespace {
// A global, since the hook has no other place to count in; the test has one thread.
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

constexpr DestinationId kHealthyDestination = 1'000'000;
constexpr EndpointId kHealthyEndpoint = 1'000'000;

template <class Module>
class CountedModule {
public:
    explicit CountedModule(Settings settings) : module(std::move(settings), 1) {
        list(kHealthyEndpoint, kHealthyDestination);
    }

    void list(EndpointId endpoint, DestinationId destination) {
        module.observe(
            ListEvent{ListKind::Changes, {{endpoint, destination, 0, 0, 0.0, Condition::Ready}}}, now);
    }
    MessageId arrive(DestinationId destination, std::size_t kind = kRetryable,
        std::optional<std::uint64_t> key = std::nullopt, Time left = ms(20'000)) {
        module.observe(MessageEvent{++last_id, destination, kind, std::nullopt, key, left}, now);
        return last_id;
    }
    void finish(const Send& send, Outcome outcome, Time wait = Time(0)) {
        OutcomeEvent event;
        event.message = send.message, event.endpoint = send.endpoint,
        event.attempt = attempts[send.message]++;
        event.outcome = outcome, event.terminal = outcome == Outcome::Served, event.rtt = ms(10);
        event.wait = wait;
        module.observe(event, now);
    }
    std::vector<Send> decide(Time elapsed = ms(1)) {
        now += elapsed;
        const auto actions = module.decide(now);
        return actions_of<Send>(actions);
    }
    /// Function calls per message to the healthy destination, from its arrival to the decision after its
    /// outcome.
    double steps_per_message(Time gap) {
        constexpr int kMessages = 40;
        for (int i = -10; i < kMessages; ++i) {
            if (i == 0) steps = 0;
            arrive(kHealthyDestination);
            for (const Send& send : decide(gap))
                if (send.endpoint == kHealthyEndpoint) finish(send, Outcome::Served);
            decide(gap);
        }
        return static_cast<double>(steps) / kMessages;
    }

    Module module;
    Time now = ms(1'000'000);
    MessageId last_id = 0;
    std::map<MessageId, std::uint32_t> attempts;
};

Settings large_settings(std::size_t held) {
    Settings settings = make_settings();
    settings.most_held = held * 2 + 1000;
    settings.slots = 16;
    return settings;
}

struct Case {
    const char* name;
    std::size_t small, large;
    double min_reference_growth;  ///< growth factor of the module before, in cases where it scans; else 0
};
std::ostream& operator<<(std::ostream& out, const Case& test_case) { return out << test_case.name; }

template <class Module>
double steps_per_message_with(const std::string& name, std::size_t size) {
    const auto count = static_cast<DestinationId>(size);
    Settings settings = large_settings(size);
    if (name == "nearly_full") settings.most_held = size;
    if (name == "slow_backlog") settings.slots = 64;
    CountedModule<Module> counted(settings);
    if (name == "held_for_hanging_destination" || name == "nearly_full") {
        counted.list(1, 1);
        for (std::size_t i = 0; i < size; ++i) counted.arrive(1);
    } else if (name == "waiting_destinations") {
        for (DestinationId i = 1; i <= count; ++i) counted.list(static_cast<EndpointId>(i), i);
        for (DestinationId i = 1; i <= count; ++i) {  // each is told to wait, and holds a message
            counted.arrive(i);
            for (const Send& send : counted.decide(Time(1)))
                counted.finish(send, Outcome::TurnedAway, ms(1'000'000));
        }
    } else if (name == "idle_destinations") {
        for (DestinationId i = 1; i <= count; ++i) counted.list(static_cast<EndpointId>(i), i);
    } else if (name == "one_ordering_key") {
        counted.list(1, 1);
        for (std::size_t i = 0; i < size; ++i) counted.arrive(1, kSequential, 5);
    } else if (name == "many_ordering_keys") {
        counted.list(1, 1);
        for (std::size_t i = 0; i < size; ++i) counted.arrive(1, kSequential, i / 2);
    } else if (name == "slow_backlog") {
        for (int i = 0; i < 5; ++i) {  // so that its rate is known
            counted.arrive(kHealthyDestination);
            for (const Send& send : counted.decide(ms(200))) counted.finish(send, Outcome::Served);
        }
        for (std::size_t i = 0; i < size; ++i) counted.arrive(kHealthyDestination);
    }
    counted.decide();
    counted.decide(ms(3000));  // earlier backoffs are over
    return counted.steps_per_message(name == "slow_backlog" ? ms(50) : ms(1));
}

class DecisionCost : public ::testing::TestWithParam<Case> {};

TEST_P(DecisionCost, DoesNotGrowWithWhatIsHeld) {
    const Case& test_case = GetParam();
    const double small_cost = steps_per_message_with<Sender>(test_case.name, test_case.small),
                 large_cost = steps_per_message_with<Sender>(test_case.name, test_case.large);
    RecordProperty("steps", std::to_string(small_cost) + " " + std::to_string(large_cost));
    std::cout << test_case.name << ": " << small_cost << " steps a message with " << test_case.small << ", "
              << large_cost << " with " << test_case.large << '\n';
    EXPECT_LE(large_cost, 2.0 * small_cost);
    if (test_case.min_reference_growth == 0) return;
    const double small_reference = steps_per_message_with<SenderBefore>(test_case.name, test_case.small / 4);
    const double large_reference = steps_per_message_with<SenderBefore>(test_case.name, test_case.small);
    EXPECT_GE(large_reference, test_case.min_reference_growth * small_reference)
        << "the count does not see the linear scan";
}

INSTANTIATE_TEST_SUITE_P(Module, DecisionCost,
    ::testing::Values(Case{"held_for_hanging_destination", 1000, 16'000, 2.0},
        Case{"nearly_full", 4000, 16'000, 2.0}, Case{"waiting_destinations", 500, 8000, 2.0},
        Case{"idle_destinations", 500, 8000, 0}, Case{"one_ordering_key", 500, 8000, 2.0},
        Case{"many_ordering_keys", 500, 8000, 2.0}, Case{"slow_backlog", 1000, 16'000, 2.0}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace cometspoke::testing
