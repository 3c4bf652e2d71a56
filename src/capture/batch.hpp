/// What one batch was: the events that the module was told, each with its moment, and the actions that it
/// decided on. And the head of a segment, from which its batches can be replayed by themselves.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cometspoke/sender.hpp"

namespace lockgw::capture {

using cometspoke::Time;

constexpr int kFormat = 1;  ///< a reader reads all up to its own

struct Head {
    int format = kFormat;
    std::string program;        ///< the version of the build
    std::int64_t wall_ms = 0;   ///< of the system clock, when it was written
    Time steady{0};             ///< the module's clock at the same moment
    std::uint64_t first = 0;    ///< the number of the batch that comes next
    std::uint64_t process = 0;  ///< differs from start to start
    std::string why;            ///< "start", "next", or what was lost before it
    cometspoke::Settings settings;
    std::vector<std::string> classes, tenants, kinds;  ///< names, by their places in the settings
    std::string memory;                                ///< capture/memory.hpp
};

/// A name for a number that the module knows: an endpoint's id. Told when it first stands in a list.
struct Named {
    cometspoke::EndpointId endpoint = 0;
    std::string name;
};

struct Batch {
    std::uint64_t number = 0;
    Time decided{0};
    std::vector<std::pair<Time, cometspoke::Event>> events;
    std::vector<cometspoke::Action> actions;
};

/// Records, without their frame. Reading throws BadCapture.
std::string bytes_of(const Head& head);
std::string bytes_of(const Named& named);
std::string bytes_of(const Batch& batch);

/// A batch as it is told, with no copy of its events: one object is used again and again.
class BatchWriter {
public:
    BatchWriter();
    BatchWriter(BatchWriter&&) noexcept;
    BatchWriter& operator=(BatchWriter&&) noexcept;
    ~BatchWriter();

    void event(const cometspoke::Event& event, Time now);
    bool empty() const;
    /// Ends the batch; the view is good until the next call.
    std::string_view finish(
        std::uint64_t number, Time decided, const std::vector<cometspoke::Action>& actions);

private:
    struct Buffers;
    std::unique_ptr<Buffers> buffers_;
};

enum class RecordKind : std::uint8_t { Head = 1, Batch = 2, Named = 3 };

Head head_of(std::string_view record);
Named named_of(std::string_view record);
Batch batch_of(std::string_view record);
/// Actions as they are compared: the same bytes for the same decisions, and no others.
std::string bytes_of(const std::vector<cometspoke::Action>& actions);

}  // namespace lockgw::capture
