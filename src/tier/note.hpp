/// What one forwarder tells others of who is there, as the section of a note: versioned by the note's head,
/// read strictly, little-endian.
///
///   sender (2 bytes), its incarnation (4), its notes so far (4), its beat (2), digest of what it was told
///   (2) and of who is there (2), number of words (1), each: who (2), incarnation (4), change (1), left (1);
///   then beats: first member (2), and for each from there on two bytes: the low 3 bits of its incarnation
///   and the last of its beats (1 to 8191, and from 1 again) that the sender heard of; 0: none lately.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lockgw::tier {

using Time = std::chrono::microseconds;
using Number = std::uint16_t;  ///< of a forwarder, by its place among the configured peers

constexpr int kBeatBits = 13;
constexpr std::uint16_t kBeats = 1 << kBeatBits;  // 0 is none
constexpr std::size_t kHeadBytes = 19, kWordBytes = 8;

/// Said of a member; the one with the higher (incarnation, change) holds.
struct Word {
    Number who = 0;
    std::uint32_t incarnation = 0;  ///< of its process: higher with each start
    std::uint8_t change = 0;        ///< within it
    bool left = false;              ///< by order: it is not missed

    bool newer_than(const Word& other) const {
        return incarnation != other.incarnation ? incarnation > other.incarnation : change > other.change;
    }
    bool operator==(const Word&) const = default;
};
struct Note {
    Number from = 0;
    std::uint32_t incarnation = 0, sequence = 0;
    std::uint16_t beat = 0;
    std::uint16_t told = 0, there = 0;  ///< digests
    std::vector<Word> words;
    Number first = 0;
    std::vector<std::uint16_t> beats;

    bool operator==(const Note&) const = default;
};

namespace bytes {
template <class T>
void put(std::string& to, T value) {
    for (std::size_t i = 0; i < sizeof value; ++i) to.push_back(static_cast<char>(value >> (8 * i)));
}
template <class T>
T take(std::string_view& from) {  // the caller has seen that there is enough
    T value = 0;
    for (std::size_t i = 0; i < sizeof value; ++i)
        value = static_cast<T>(
            value | static_cast<T>(static_cast<T>(static_cast<unsigned char>(from[i])) << (8 * i)));
    from.remove_prefix(sizeof value);
    return value;
}
}  // namespace bytes

inline std::string bytes_of(const Note& note) {
    std::string out;
    bytes::put(out, note.from), bytes::put(out, note.incarnation), bytes::put(out, note.sequence),
        bytes::put(out, note.beat);
    bytes::put(out, note.told), bytes::put(out, note.there);
    bytes::put(out, static_cast<std::uint8_t>(note.words.size()));
    for (const Word& word : note.words) {
        bytes::put(out, word.who), bytes::put(out, word.incarnation);
        bytes::put(out, word.change), bytes::put(out, static_cast<std::uint8_t>(word.left));
    }
    bytes::put(out, note.first);
    for (const std::uint16_t beat : note.beats) bytes::put(out, beat);
    return out;
}
/// None where it is no such section, whole, of a tier of `members`.
inline std::optional<Note> note_of(std::string_view from, std::size_t members) {
    Note note;
    if (from.size() < kHeadBytes) return std::nullopt;
    note.from = bytes::take<Number>(from);
    note.incarnation = bytes::take<std::uint32_t>(from);
    note.sequence = bytes::take<std::uint32_t>(from);
    note.beat = bytes::take<std::uint16_t>(from);
    note.told = bytes::take<std::uint16_t>(from), note.there = bytes::take<std::uint16_t>(from);
    const std::size_t words = bytes::take<std::uint8_t>(from);
    if (note.from >= members || note.incarnation == 0 || note.beat == 0 || note.beat >= kBeats ||
        from.size() < words * kWordBytes + 2)
        return std::nullopt;
    for (std::size_t i = 0; i < words; ++i) {
        Word word;
        word.who = bytes::take<Number>(from), word.incarnation = bytes::take<std::uint32_t>(from);
        word.change = bytes::take<std::uint8_t>(from);
        const auto left = bytes::take<std::uint8_t>(from);
        if (word.who >= members || left > 1) return std::nullopt;
        word.left = left == 1;
        note.words.push_back(word);
    }
    note.first = bytes::take<Number>(from);
    if (note.first >= members || from.size() % 2 != 0 || from.size() / 2 > members) return std::nullopt;
    while (!from.empty()) note.beats.push_back(bytes::take<std::uint16_t>(from));
    return note;
}

}  // namespace lockgw::tier
