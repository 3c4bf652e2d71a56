/// A segment: one file of a capture, which can be replayed by itself.
///
///     "lockgw capture 1\n"  then records:  kind (1 byte)  length (4)  CRC-32C of kind, length and bytes (4)
///     bytes
///
/// Numbers are little-endian. The first record is the head; batches follow without a gap in their numbers. A
/// file that ends within a record was cut off; all before it holds. A record that does not fit its checksum
/// is named, and what stands behind it is looked for again at the next one that does fit.
#pragma once

#include <cstdint>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "capture/batch.hpp"

namespace lockgw::capture {

constexpr std::size_t kMostRecord = 256u << 20;  ///< bytes

std::string frame(RecordKind kind, std::string_view bytes);
void append_frame(std::string& to, RecordKind kind, std::string_view bytes);
std::string magic();

/// What is wrong at a place of a file.
struct Damage {
    std::size_t at = 0;     ///< byte of the file
    std::size_t bytes = 0;  ///< that could not be read
    std::string what;
};

struct Segment {
    std::filesystem::path path;
    std::optional<Head> head;
    std::vector<Named> names;
    std::vector<Batch> batches;  ///< those that could be read, in the order of the file
    std::vector<Damage> damage;

    /// Batches from the head on that can be trusted: up to the first gap in the numbers.
    std::size_t whole() const;
};

/// A whole file: head, names, batches. Throws BadCapture where there is no head.
std::string bytes_of(const Segment& segment);
/// Writes it as a new file. Throws std::runtime_error, also where the file is there already.
void write_segment(const Segment& segment, const std::filesystem::path& path);

/// Reads a whole file. Throws BadCapture where it is no segment at all, or of a newer format.
Segment read_segment(const std::filesystem::path& path);
/// The same of bytes.
Segment segment_of(std::string_view bytes);
/// Whether the file can say anything of a message, without decoding it: a day's capture is searched so.
bool may_tell_of(const std::filesystem::path& path, cometspoke::MessageId message);
/// The head alone, for a list of segments.
std::optional<Head> read_head(const std::filesystem::path& path);

}  // namespace lockgw::capture
