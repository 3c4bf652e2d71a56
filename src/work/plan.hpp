/// A plan of work: which machines are taken out, for what, for how long, and how many may be out together.
///
/// A machine is a forwarder, by its number among the configured peers, or a host that runs targets, by 15
/// bits of a hash of its name (two hosts of a plan that share them are refused). The zones are the plan's
/// own: staff know which machines share a switch. What is run at a machine is never in a plan, for plans
/// travel in notes: it stands in that machine's own file (`[work] hook`).
///
/// bytes_of() and plan_of() are each other's inverse; a plan is known by its digest. Bounded: kMostMachines,
/// kMostPlanBytes. No I/O, no clock.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lockgw::work {

using Time = std::chrono::microseconds;
using Number = std::uint16_t;   ///< of a forwarder
using Machine = std::uint16_t;  ///< a forwarder's number, or kHost and a hash
constexpr Machine kHost = 0x8000, kNobody = 0xffff;
constexpr std::size_t kMostMachines = 320, kMostPlanBytes = 6000, kMostOut = 12, kMostZones = 64;
constexpr std::size_t kMostName = 64, kMostTargets = 32;  ///< bytes of a name; targets of a host

/// What is done to a machine that is out.
enum class Task : std::uint8_t {
    Restart,  ///< the process ends by its drain and is started again by whoever watches over it
    Hook,     ///< the machine's own hook is run, to its end
    Word      ///< a person does it, and says so (`lockgw work done`)
};
/// What holds of a machine whose time is over and that has not come back.
enum class Overdue : std::uint8_t {
    Out,  ///< it counts as out until a person says otherwise, and the plan is held
    Back  ///< it brings itself back before its time is over; after that its place is free
};
const char* text_of(Task task);
const char* text_of(Overdue overdue);

struct Place {
    Machine machine = 0;
    std::string name;                        ///< of a host
    std::uint8_t zone = 0;                   ///< by its place in Plan::zones; 0: none
    std::vector<std::uint64_t> targets;      ///< of a host: known_as of their ids
    std::vector<std::int64_t> destinations;  ///< of those, as listed when the plan was made
    bool operator==(const Place&) const = default;
};

struct Plan {
    std::string name, why;
    Task task = Task::Word;
    Overdue overdue = Overdue::Out;
    std::uint16_t most_out = 1;             ///< in the tier, those that died by themselves among them
    std::uint16_t most_in_zone = 0;         ///< 0: no bound of its own
    std::uint16_t most_in_destination = 1;  ///< hosts with targets of one destination
    std::uint16_t least_in = 1;             ///< forwarders that must stay
    std::uint8_t least_left = 50;           ///< percent of each destination's size that must stay
    Time each{120'000'000};                 ///< a machine may be out for so long without a new word
    std::uint16_t from = 0, to = 0;         ///< minutes of the day, UTC; both 0: at any time
    std::vector<std::string> zones;         ///< from 1 on
    std::vector<Place> machines;
    bool operator==(const Plan&) const = default;

    std::optional<std::size_t> index_of(Machine machine) const;
    std::uint8_t zone_of(Machine machine) const;
    bool in_hours(unsigned minute) const;
};

Machine host_of(std::string_view name);
inline bool is_host(Machine machine) { return (machine & kHost) != 0 && machine != kNobody; }

/// Why it makes no sense by itself, one line; empty: it does. `members`: forwarders of the tier.
std::string nonsense_of(const Plan& plan, std::size_t members);

std::string bytes_of(const Plan& plan);
std::optional<Plan> plan_of(std::string_view bytes);
/// Never 0.
std::uint64_t digest_of(std::string_view bytes);

}  // namespace lockgw::work
