#include "notes/carrier.hpp"

#include <algorithm>
#include <boost/crc.hpp>

namespace lockgw::notes {
namespace {

std::uint32_t sum_of(std::string_view bytes) {
    boost::crc_32_type sum;
    sum.process_bytes(bytes.data(), bytes.size());
    return sum.checksum();
}

}  // namespace

std::string frame_of(const std::vector<Section>& sections) {
    std::string body;
    for (const Section& one : sections) {
        if (one.bytes.size() > 255) continue;
        if (kHeadBytes + body.size() + kSectionHead + one.bytes.size() > kMostBytes) continue;
        body.push_back(static_cast<char>(one.kind));
        body.push_back(static_cast<char>(one.bytes.size()));
        body += one.bytes;
    }
    const std::uint32_t sum = sum_of(body);
    std::string frame{kFrame};
    for (int i = 0; i < 4; ++i) frame.push_back(static_cast<char>(sum >> (8 * i)));
    return frame + body;
}

std::optional<std::vector<Section>> sections_of(std::string_view frame) {
    if (frame.size() < kHeadBytes || frame.size() > kMostBytes || !is_frame(frame)) return std::nullopt;
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < 4; ++i)
        sum |= static_cast<std::uint32_t>(static_cast<unsigned char>(frame[i + 1])) << (8 * i);
    frame.remove_prefix(kHeadBytes);
    if (sum_of(frame) != sum) return std::nullopt;
    std::vector<Section> sections;
    while (!frame.empty()) {
        if (frame.size() < kSectionHead) return std::nullopt;
        const std::size_t length = static_cast<unsigned char>(frame[1]);
        if (frame.size() < kSectionHead + length) return std::nullopt;
        sections.push_back(
            {static_cast<std::uint8_t>(frame[0]), std::string(frame.substr(kSectionHead, length))});
        frame.remove_prefix(kSectionHead + length);
    }
    return sections;
}

}  // namespace lockgw::notes
