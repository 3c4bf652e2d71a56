/// The encoding of rate limit reports in a message to a peer: versioned and checksummed, at most 256 bytes
/// long, and rejected as a whole if anything in it is invalid.
///
///   type and version (1 byte), number of reports (1), Fletcher-16 of the rest (2), then for each report: the
///   destination (zigzag varint), the limit in hundredths (varint), the share remaining in 255ths (1), the
///   age in units of 2 ms (2). Little-endian. Messages contain no information about attempts.
#pragma once

#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rate_limits/rate_limit_table.hpp"

namespace lockgw::rate_limits {

constexpr std::size_t kMaxMessageBytes = 256;
constexpr std::size_t kMaxReports = 14;    // each of at most 10 + 4 + 3 bytes, after the header of 4
constexpr Time kTransitAllowance{40'000};  // added to each age: the longest transit time expected
constexpr char kMessageType = 0x11;        // type 1, version 1

namespace encoding {

inline void put_varint(std::string& to, std::uint64_t value) {
    for (; value >= 0x80; value >>= 7) to.push_back(static_cast<char>(value | 0x80));
    to.push_back(static_cast<char>(value));
}
inline std::optional<std::uint64_t> take_varint(std::string_view& from) {
    std::uint64_t value = 0;
    for (int shift = 0; shift < 64 && !from.empty(); shift += 7) {
        const auto byte = static_cast<unsigned char>(from.front());
        from.remove_prefix(1);
        value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
        if (byte < 0x80) return value;
    }
    return std::nullopt;
}
inline std::uint16_t fletcher(std::string_view bytes) {
    unsigned first = 1, second = 0;
    for (const char byte : bytes) {
        first = (first + static_cast<unsigned char>(byte)) % 255;
        second = (second + first) % 255;
    }
    return static_cast<std::uint16_t>(second << 8 | first);
}

}  // namespace encoding

/// Encodes the first kMaxReports of `reports`.
inline std::string encode(const std::vector<RateLimitReport>& reports, Time now) {
    std::string body;
    std::size_t count = 0;
    for (const RateLimitReport& report : reports) {
        if (count == kMaxReports) break;
        ++count;
        const auto id = static_cast<std::uint64_t>(report.destination);
        encoding::put_varint(body, id << 1 ^ (report.destination < 0 ? ~std::uint64_t{0} : 0));
        encoding::put_varint(body, static_cast<std::uint64_t>(std::llround(report.limit * 100.0)));
        body.push_back(static_cast<char>(std::lround(report.remaining * 255.0)));
        const Time age_at_receiver =
            now - report.observed_at + kTransitAllowance +
            Time(1999);  // rounded up: a report never gets younger by being passed on
        const auto age = std::clamp<Time::rep>(age_at_receiver.count() / 2000, 0, 65535);
        body.push_back(static_cast<char>(age & 255));
        body.push_back(static_cast<char>(age >> 8));
    }
    const std::uint16_t sum = encoding::fletcher(body);
    const std::string header{
        kMessageType, static_cast<char>(count), static_cast<char>(sum & 255), static_cast<char>(sum >> 8)};
    return header + body;
}

/// Decodes a message that was received at `now`. Returns nothing unless `message` is a whole and undamaged
/// message of this type and version.
inline std::optional<std::vector<RateLimitReport>> decode(std::string_view message, Time now) {
    if (message.size() < 4 || message.size() > kMaxMessageBytes || message[0] != kMessageType)
        return std::nullopt;
    const auto byte = [&](std::size_t index) { return static_cast<unsigned char>(message[index]); };
    const std::size_t count = byte(1);
    const auto sum = static_cast<std::uint16_t>(byte(2) | byte(3) << 8);
    std::string_view rest = message.substr(4);
    if (count > kMaxReports || encoding::fletcher(rest) != sum) return std::nullopt;
    std::vector<RateLimitReport> reports;
    for (std::size_t i = 0; i < count; ++i) {
        const auto id = encoding::take_varint(rest), limit = encoding::take_varint(rest);
        if (!id || !limit || rest.size() < 3) return std::nullopt;
        const auto low = static_cast<unsigned char>(rest[1]), high = static_cast<unsigned char>(rest[2]);
        reports.push_back(
            {static_cast<DestinationId>(*id >> 1 ^ (~(*id & 1) + 1)), static_cast<double>(*limit) / 100.0,
                static_cast<unsigned char>(rest[0]) / 255.0, now - Time(2000 * (low | high << 8))});
        rest.remove_prefix(3);
    }
    if (!rest.empty()) return std::nullopt;
    return reports;
}

}  // namespace lockgw::rate_limits
