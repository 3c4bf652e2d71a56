#include <cometspoke/sender.hpp>
#include <iostream>

using namespace cometspoke;

int main() {
    Settings settings;
    settings.slots = 4;
    settings.most_held = 100;
    settings.max_attempts = 3;
    settings.kinds.resize(1);
    ClassSettings message_class;
    message_class.aim = std::chrono::seconds(2);
    message_class.deadline = std::chrono::seconds(10);
    settings.classes.push_back(message_class);

    Sender sender(settings, 7);            // the seed: same seed, same events, same actions
    Time now = std::chrono::seconds(100);  // the caller's clock; it only advances

    ListEvent list;
    list.entries.push_back({.endpoint = 0, .destination = 57});
    sender.observe(list, now);
    sender.observe(MessageEvent{.message = 1, .destination = 57, .left = std::chrono::seconds(10)}, now);

    bool sent = false;
    for (const Action& action : sender.decide(now))  // carry these out in order
        if (const auto* send = std::get_if<Send>(&action)) sent = send->message == 1 && send->endpoint == 0;
    if (!sent) return 1;

    now += std::chrono::milliseconds(80);
    sender.observe(
        OutcomeEvent{
            .message = 1, .outcome = Outcome::Served, .terminal = true, .rtt = std::chrono::milliseconds(80)},
        now);
    sender.decide(now);
    std::cout << "delivered\n";
    return 0;
}
