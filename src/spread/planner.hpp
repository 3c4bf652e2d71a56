/// What a forwarder's part of each destination is now, and when that changes.
///
/// Told which targets there are and which messages come; tells the parts of a destination whenever they are
/// to be others than before. An arc is as wide as the forwarder's own traffic keeps connections in use: it
/// grows when much comes and shrinks when little does, in steps, so that a tier does not move all at once. No
/// I/O; times are the caller's.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cometspoke/sender.hpp"
#include "spread/ring.hpp"

namespace lockgw::spread {

using cometspoke::DestinationId;
using cometspoke::Time;

struct Standing {
    double point = 0;            ///< point_of()
    std::size_t forwarders = 1;  ///< of the tier
    Time idle{0};                ///< how long an idle connection lives; 0: for ever
};

class Planner {
public:
    /// With fewer forwarders each sees enough by itself, unless its traffic alone keeps its arc in use.
    static constexpr std::size_t kManyForwarders = 16;
    static constexpr double kUses = 2.5;        ///< of a connection in a third of its life, to be worth it
    static constexpr double kStep = 1.3;        ///< by so much an arc is to be off to change
    static constexpr Time kMemory{20'000'000};  ///< of the own traffic
    static constexpr Time kLongUnused{120'000'000};  ///< traffic of a destination is forgotten after this

    explicit Planner(const Standing& standing) : standing_(standing) {}

    /// `ready`: it may have new calls. One that moved to another destination leaves the one before.
    void put(const std::string& id, DestinationId destination, double size, bool ready);
    void erase(const std::string& id);
    void asked(DestinationId destination, Time now);

    struct Change {
        DestinationId destination;
        std::vector<Part> parts;  ///< none: it is not shared out any more
    };
    /// Those since the last call, of at most `most` destinations.
    std::vector<Change> changes(Time now, std::size_t most = 64);

    /// For people: what is in force, and why.
    struct Row {
        DestinationId destination;
        std::size_t targets;
        double rate, width;  ///< own messages a second; targets of the arc
        std::string why;
        std::vector<Part> parts;
    };
    std::vector<Row> rows(Time now) const;

private:
    struct One {
        explicit One(DestinationId destination) : ring(destination) {}
        Ring ring;
        double count = 0;  // of messages, fading
        Time counted{0}, first{0};
        double width = 0;  // as told; 0: not shared out
        std::vector<Part> parts;
    };
    double rate(const One& one, Time now) const;
    double wanted(const One& one, Time now) const;
    static bool differs(double wanted, double width);

    Standing standing_;
    std::map<DestinationId, One> all_;
    std::map<std::string, DestinationId> home_;
    std::set<DestinationId> changed_;
};

}  // namespace lockgw::spread
