#include "capture/batch.hpp"

#include <memory>

#include "capture/words.hpp"

namespace lockgw::capture {

using cometspoke::Action;
using cometspoke::Event;

namespace {

template <class Archive>
void describe(Archive& a, Head& h) {
    a(h.format)(h.program)(h.wall_ms)(h.steady)(h.first)(h.process)(h.why)(h.settings)(h.classes)(h.tenants);
    a(h.kinds)(h.memory);
}
template <class Archive>
void describe(Archive& a, Named& n) {
    a(n.endpoint)(n.name);
}

template <class T>
T read(std::string_view record, const char* what) try {
    const msgpack::object_handle handle = unpacked(record);
    In members(handle.get());
    T value;
    describe(members, value);
    return value;
} catch (const BadCapture&) {
    throw;
} catch (const std::exception& bad) {
    throw BadCapture(std::string(what) + ": " + bad.what());
}

template <class T>
std::string written(const T& value) {
    msgpack::sbuffer buffer;
    Out out(buffer);
    Counter counter;
    T copy = value;
    describe(counter, copy);
    out.packer().pack_array(static_cast<std::uint32_t>(counter.count));
    describe(out, copy);
    return {buffer.data(), buffer.size()};
}

void pack(Out& out, const std::vector<Action>& actions) {
    out.packer().pack_array(static_cast<std::uint32_t>(actions.size()));
    for (const Action& action : actions) pack_variant(out, action);
}

const msgpack::object& item(const msgpack::object& array, std::size_t at, const char* what) {
    if (array.type != msgpack::type::ARRAY || array.via.array.size <= at) throw BadCapture(what);
    return array.via.array.ptr[at];
}
std::size_t size_of(const msgpack::object& array, const char* what) {
    if (array.type != msgpack::type::ARRAY) throw BadCapture(what);
    return array.via.array.size;
}

}  // namespace

std::string bytes_of(const Head& head) { return written(head); }
std::string bytes_of(const Named& named) { return written(named); }

std::string bytes_of(const std::vector<Action>& actions) {
    msgpack::sbuffer buffer;
    Out out(buffer);
    pack(out, actions);
    return {buffer.data(), buffer.size()};
}

/// The events are packed as they come; their count stands ahead of them and is known at the end alone.
struct BatchWriter::Buffers {
    msgpack::sbuffer events, whole;
    std::uint32_t count = 0;
};
BatchWriter::BatchWriter() : buffers_(std::make_unique<Buffers>()) {}
BatchWriter::BatchWriter(BatchWriter&&) noexcept = default;
BatchWriter& BatchWriter::operator=(BatchWriter&&) noexcept = default;
BatchWriter::~BatchWriter() = default;

bool BatchWriter::empty() const { return buffers_->count == 0; }

void BatchWriter::event(const Event& event, Time now) {
    Out out(buffers_->events);
    out(now);
    pack_variant(out, event);
    ++buffers_->count;
}

std::string_view BatchWriter::finish(std::uint64_t number, Time decided, const std::vector<Action>& actions) {
    Buffers& all = *buffers_;
    all.whole.clear();
    Out out(all.whole);
    out.packer().pack_array(4);
    out(number)(decided);
    out.packer().pack_array(2 * std::exchange(all.count, 0));
    all.whole.write(all.events.data(), all.events.size());
    all.events.clear();
    pack(out, actions);
    return {all.whole.data(), all.whole.size()};
}

std::string bytes_of(const Batch& batch) {
    BatchWriter writer;
    for (const auto& [when, event] : batch.events) writer.event(event, when);
    return std::string(writer.finish(batch.number, batch.decided, batch.actions));
}

Head head_of(std::string_view record) { return read<Head>(record, "a segment's head"); }
Named named_of(std::string_view record) { return read<Named>(record, "a name"); }

Batch batch_of(std::string_view record) try {
    const msgpack::object_handle handle = unpacked(record);
    const msgpack::object& all = handle.get();
    Batch batch;
    batch.number = item(all, 0, "a batch without its number").as<std::uint64_t>();
    batch.decided = Time(item(all, 1, "a batch without its moment").as<std::int64_t>());
    const auto& events = item(all, 2, "a batch without events");
    for (std::size_t i = 0; i + 1 < size_of(events, "a batch's events"); i += 2)
        batch.events.emplace_back(Time(events.via.array.ptr[i].as<std::int64_t>()),
            unpack_variant<Event>(events.via.array.ptr[i + 1]));
    const auto& actions = item(all, 3, "a batch without actions");
    for (std::size_t i = 0; i < size_of(actions, "a batch's actions"); ++i)
        batch.actions.push_back(unpack_variant<Action>(actions.via.array.ptr[i]));
    return batch;
} catch (const BadCapture&) {
    throw;
} catch (const std::exception& bad) {
    throw BadCapture(std::string("a batch: ") + bad.what());
}

}  // namespace lockgw::capture
