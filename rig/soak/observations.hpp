/// What clients, targets and the discovery agent of a soak run saw, as plain data for the checker.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lockgw::rig::soak {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// What a repeat of a message does.
enum class Effect {
    Repeatable,  ///< nothing
    Keyed,       ///< nothing within the window of its key
    Unsafe,      ///< it takes effect again
};

/// One call at a target. It is out from its last byte until its answer is written or its connection ends.
struct ObservedCall {
    std::size_t target = 0;
    std::uint64_t connection = 0;
    Clock::time_point received;              ///< its last byte
    std::optional<Clock::time_point> ended;  ///< none: out until the end of the run
    int status = 0;                          ///< of its own answer; 0: none was written
    bool may_have_run = true;
    /// Its answer may not have been read: the connection was reset behind it, or was closed before it
    /// arrived.
    bool answer_lost = false;
    /// Its connection was closed before its answer could be written.
    bool answer_unwritten = false;
};

struct ObservedMessage {
    std::string message_class;
    std::string key;  ///< the same for all messages by which one order is handed in again
    Effect effect = Effect::Unsafe;
    std::int64_t destination = 0;
    std::size_t forwarder = 0;
    Clock::time_point submitted;
    Milliseconds deadline{0};
    std::optional<Clock::time_point> accepted;  ///< +OK
    /// The client gave up waiting for the reply: what is sent under this id counts for nothing.
    bool given_up = false;
    /// The request's connection ended with no reply although its last byte had been written, twice.
    bool closed_unanswered = false;
    /// The request was answered -BUSY.
    bool turned_away = false;
    std::optional<Clock::time_point> withdrawn;
    std::vector<ObservedCall> calls;            ///< in the order of their last bytes
    std::vector<std::string> final_statuses;    ///< "dead" or "bounced", as reported to the agent
    std::optional<Clock::time_point> reported;  ///< the first of them
};

/// An order took effect at a destination, by a call of this message.
struct ObservedEffect {
    Clock::time_point received;  ///< the call's last byte
    std::string message;
};

/// A wait that a target told a forwarder.
struct ObservedWait {
    std::size_t forwarder = 0, target = 0;
    Clock::time_point written, until;
    std::string message;   ///< whose call was answered so,
    std::size_t call = 0;  ///< and which of its calls
};

/// The process of a forwarder does not serve for this span.
struct Restart {
    std::size_t forwarder = 0;
    std::string signals;  ///< "SIGKILL", or "SIGTERM" with or without "SIGKILL"
    Clock::time_point told, ended;
    std::optional<Clock::time_point> ready;  ///< of the next process
};

/// A target that discovery has told a forwarder to drain.
struct Drain {
    std::size_t forwarder = 0;  ///< that was told
    std::size_t target = 0;
    Clock::time_point told;
    std::optional<Clock::time_point> back;
};

/// An operator put a forwarder back in service.
struct ReturnToService {
    std::size_t forwarder = 0;
    Clock::time_point told;  ///< the console's yes
    bool serves = false;     ///< PING was answered with yes when that was due
};

/// A change that the agent of a forwarder told slowly.
struct ListChange {
    std::size_t forwarder = 0;
    Clock::time_point made, due;
    bool known = false;  ///< when it was due, the forwarder had asked from its revision
};

struct Observations {
    Clock::time_point began;
    std::map<std::string, ObservedMessage> messages;  ///< by id
    /// By key. A target drops the repeat of a keyed order within the window of its last effect.
    std::map<std::string, std::vector<ObservedEffect>> effects;
    std::vector<ObservedWait> waits;
    std::vector<Restart> restarts;
    std::vector<Drain> drains;
    std::vector<ReturnToService> returns;
    std::vector<ListChange> list_changes;
    std::uint64_t connections = 0;          ///< accepted by targets
    std::uint64_t copies = 0;               ///< second copies of answers that were written
    std::uint64_t unasked = 0;              ///< answers to no call that ended an idle connection
    std::uint64_t cut = 0;                  ///< answers that broke off
    std::uint64_t hung = 0;                 ///< calls that were not answered
    std::uint64_t crashes = 0;              ///< of all targets of a destination
    std::uint64_t handed_in_again = 0;      ///< messages, after a refusal
    std::uint64_t unknown = 0;              ///< calls of messages that nobody handed in
    std::map<int, std::uint64_t> statuses;  ///< answers written, by status
    Milliseconds keyed_window{4000};
    Milliseconds one_way{0};
    bool hold_ups = false, crowd = false;
};

}  // namespace lockgw::rig::soak
