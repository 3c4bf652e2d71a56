#include "capture/segment.hpp"

#include <algorithm>
#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <cstring>
#include <fstream>
#include <functional>
#include <iterator>

#include "capture/archive.hpp"

namespace lockgw::capture {
namespace {

using Crc = boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;
constexpr std::size_t kFrame = 9;
constexpr std::size_t kMostDamage = 1000;  // places that are told

std::uint32_t number_at(std::string_view bytes, std::size_t at) {
    std::uint32_t value;
    std::memcpy(&value, bytes.data() + at, sizeof value);
    return boost::endian::little_to_native(value);
}
void put_number(std::string& to, std::uint32_t value) {
    value = boost::endian::native_to_little(value);
    to.append(reinterpret_cast<const char*>(&value), sizeof value);
}
std::uint32_t checksum(std::string_view kind_and_length, std::string_view bytes) {
    Crc crc;
    crc.process_bytes(kind_and_length.data(), kind_and_length.size());
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

struct Record {
    RecordKind kind;
    std::string_view bytes;
    std::size_t end;
};
/// The record at a place; none where there is none whole.
std::optional<Record> record_at(std::string_view file, std::size_t at) {
    if (file.size() - at < kFrame) return std::nullopt;
    const std::size_t length = number_at(file, at + 1);
    if (length > kMostRecord || file.size() - at - kFrame < length) return std::nullopt;
    const auto bytes = file.substr(at + kFrame, length);
    if (checksum(file.substr(at, 5), bytes) != number_at(file, at + 5)) return std::nullopt;
    return Record{static_cast<RecordKind>(file[at]), bytes, at + kFrame + length};
}
bool may_begin(char kind) {
    return kind >= static_cast<char>(RecordKind::Head) && kind <= static_cast<char>(RecordKind::Named);
}

void take(Segment& segment, const Record& record) {
    switch (record.kind) {
        case RecordKind::Head:
            if (segment.head) throw BadCapture("a second head");
            segment.head = head_of(record.bytes);
            if (segment.head->format > kFormat) throw BadCapture("it is of a newer format");
            return;
        case RecordKind::Batch:
            segment.batches.push_back(batch_of(record.bytes));
            return;
        case RecordKind::Named:
            segment.names.push_back(named_of(record.bytes));
            return;
    }
    throw BadCapture("a record of an unknown kind");
}

/// How many bytes from `at` on are no record; at the end of the file all of them.
std::size_t lost_from(std::string_view file, std::size_t at) {
    for (std::size_t next = at + 1; next < file.size(); ++next)
        if (may_begin(file[next]) && record_at(file, next)) return next - at;
    return file.size() - at;
}

std::string content(const std::filesystem::path& path) {
    std::ifstream stream(path, std::ios::binary);
    if (!stream) throw BadCapture(path.string() + " cannot be read");
    return {std::istreambuf_iterator<char>(stream), {}};
}

}  // namespace

std::string magic() { return "lockgw capture " + std::to_string(kFormat) + "\n"; }

std::string frame(RecordKind kind, std::string_view bytes) {
    std::string all;
    append_frame(all, kind, bytes);
    return all;
}
void append_frame(std::string& to, RecordKind kind, std::string_view bytes) {
    std::string begins(1, static_cast<char>(kind));  // short: no allocation
    put_number(begins, static_cast<std::uint32_t>(bytes.size()));
    put_number(begins, checksum(begins, bytes));
    to.append(begins).append(bytes);
}

std::size_t Segment::whole() const {
    if (!head) return 0;
    std::size_t count = 0;
    while (count < batches.size() && batches[count].number == head->first + count) ++count;
    return count;
}

Segment segment_of(std::string_view file) {
    const std::string begins = "lockgw capture ";
    const auto line = file.substr(0, 64).find('\n');
    if (!file.starts_with(begins) || line == std::string_view::npos) throw BadCapture("this is no capture");
    if (std::atoi(std::string(file.substr(begins.size(), line - begins.size())).c_str()) > kFormat)
        throw BadCapture("it is of a newer format");
    Segment segment;
    std::size_t at = line + 1;
    while (at < file.size()) {
        const auto record = record_at(file, at);
        if (!record) {
            const std::size_t lost = lost_from(file, at);
            const bool cut_off = at + lost == file.size();
            if (segment.damage.size() < kMostDamage)
                segment.damage.push_back({at, lost, cut_off ? "the file ends within a record" : "damaged"});
            at += lost;
            continue;
        }
        try {
            take(segment, *record);
        } catch (const BadCapture& bad) {
            if (std::string_view(bad.what()) == "it is of a newer format") throw;
            if (segment.damage.size() < kMostDamage)
                segment.damage.push_back({at, record->end - at, bad.what()});
        }
        at = record->end;
    }
    return segment;
}

std::string bytes_of(const Segment& segment) {
    if (!segment.head) throw BadCapture("a segment without a head");
    std::string all = magic() + frame(RecordKind::Head, bytes_of(*segment.head));
    for (const Named& name : segment.names) all += frame(RecordKind::Named, bytes_of(name));
    for (const Batch& batch : segment.batches) all += frame(RecordKind::Batch, bytes_of(batch));
    return all;
}

void write_segment(const Segment& segment, const std::filesystem::path& path) {
    if (std::filesystem::exists(path)) throw std::runtime_error(path.string() + " is there already");
    std::ofstream stream(path, std::ios::binary);
    const std::string bytes = bytes_of(segment);
    stream.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    stream.close();
    if (!stream) throw std::runtime_error(path.string() + " cannot be written");
}

Segment read_segment(const std::filesystem::path& path) try {
    Segment segment = segment_of(content(path));
    segment.path = path;
    return segment;
} catch (const BadCapture& bad) {
    throw BadCapture(path.string() + ": " + bad.what());
}

bool may_tell_of(const std::filesystem::path& path, cometspoke::MessageId message) {
    msgpack::sbuffer id;
    msgpack::pack(id, message);  // the same bytes in events, actions and memories
    const std::string bytes = content(path);
    const std::boyer_moore_horspool_searcher searcher(id.data(), id.data() + id.size());
    return std::search(bytes.begin(), bytes.end(), searcher) != bytes.end();
}

std::optional<Head> read_head(const std::filesystem::path& path) {
    std::ifstream stream(path, std::ios::binary);
    std::string line;
    if (!std::getline(stream, line) || !line.starts_with("lockgw capture ")) return std::nullopt;
    std::string bytes(kFrame, '\0');
    stream.read(bytes.data(), kFrame);
    if (!stream) return std::nullopt;
    const std::size_t length = number_at(bytes, 1);
    if (length > kMostRecord) return std::nullopt;
    bytes.resize(kFrame + length);
    stream.read(bytes.data() + kFrame, static_cast<std::streamsize>(length));
    const auto record = stream ? record_at(bytes, 0) : std::nullopt;
    if (!record || record->kind != RecordKind::Head) return std::nullopt;
    try {
        return head_of(record->bytes);
    } catch (const BadCapture&) {
        return std::nullopt;
    }
}

}  // namespace lockgw::capture
