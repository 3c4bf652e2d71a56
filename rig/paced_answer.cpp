#include "rig/paced_answer.hpp"

#include <algorithm>

namespace lockgw::rig {

namespace {

constexpr std::size_t kLinkPiece = 16 * 1024;  // bytes, so that answers share the link evenly

}  // namespace

Clock::time_point Link::reserve(std::size_t bytes, double bytes_per_second, Clock::time_point now) {
    if (bytes_per_second <= 0) return now;
    const std::chrono::duration<double> span(static_cast<double>(bytes) / bytes_per_second);
    free_at_ = std::max(free_at_, now) + std::chrono::duration_cast<Clock::duration>(span);
    return free_at_;
}

PacedAnswer::PacedAnswer(const Pace& pace, const std::string& head, const std::string& body,
    const nlohmann::json& list, Clock::time_point now)
    : pace_(pace), bytes_(head + body), start_(now) {
    pieces_ = std::clamp<std::size_t>(pace.pieces, 1, bytes_.size());
    if (pace.bytes_per_second > 0) pieces_ = std::max(pieces_, (bytes_.size() - 1) / kLinkPiece + 1);
    piece_size_ = (bytes_.size() - 1) / pieces_ + 1;
    std::size_t position = 0;
    for (const auto& member : list.at("members")) {
        if (member.at("phase").get<std::string>() == "in_service") continue;
        const std::string text = member.dump();
        const std::size_t start = body.find(text, position);
        if (start == std::string::npos) continue;
        position = start + text.size();
        stops_.emplace_back(head.size() + position, member.at("id"));
    }
}

std::size_t PacedAnswer::next_size() const { return std::min(piece_size_, bytes_.size() - written_); }

Clock::time_point PacedAnswer::next_due(Link& link, Clock::time_point now) {
    const auto interval = pieces_ > 1 ? Clock::duration(pace_.span) / static_cast<int>(pieces_ - 1)
                                      : Clock::duration(pace_.span);
    const auto index = static_cast<int>(pieces_ > 1 ? pieces_written_ : 1);
    return std::max(start_ + interval * index, link.reserve(next_size(), pace_.bytes_per_second, now));
}

std::string PacedAnswer::next_piece() {
    const std::string piece = bytes_.substr(written_, next_size());
    written_ += piece.size();
    ++pieces_written_;
    return piece;
}

std::vector<std::string> PacedAnswer::stops_written() {
    std::vector<std::string> ids;
    for (; stops_reported_ < stops_.size() && stops_[stops_reported_].first <= written_; ++stops_reported_)
        ids.push_back(stops_[stops_reported_].second);
    return ids;
}

}  // namespace lockgw::rig
