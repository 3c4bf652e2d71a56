/// An answer of discovery that takes its time: written in pieces, over a span of time or a narrow link.
#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "rig/http.hpp"

namespace lockgw::rig {

/// How the answers to list requests are written.
struct Pace {
    std::chrono::milliseconds span{0};  ///< from the first piece of an answer to its last
    std::size_t pieces = 1;             ///< of equal size, at equal intervals; a few make bursts
    double bytes_per_second = 0;        ///< of the link that all answers share; 0: not limited
};

/// The link that all answers share.
class Link {
public:
    /// When `bytes` more have passed the link.
    Clock::time_point reserve(std::size_t bytes, double bytes_per_second, Clock::time_point now);

private:
    Clock::time_point free_at_{};
};

class PacedAnswer {
public:
    /// `head` and `body` are the bytes of an answer; `list` is the content of the body.
    PacedAnswer(const Pace& pace, const std::string& head, const std::string& body,
        const nlohmann::json& list, Clock::time_point now);

    /// When the next piece is due. Called once for each piece.
    Clock::time_point next_due(Link& link, Clock::time_point now);
    std::string next_piece();
    bool done() const { return written_ == bytes_.size(); }
    /// The targets whose stopping entry is complete in what next_piece() has returned, each once.
    std::vector<std::string> stops_written();

private:
    std::size_t next_size() const;

    Pace pace_;
    std::string bytes_;
    std::size_t pieces_, piece_size_, written_ = 0, pieces_written_ = 0;
    Clock::time_point start_;
    std::vector<std::pair<std::size_t, std::string>> stops_;  // end of the entry and id, in order
    std::size_t stops_reported_ = 0;
};

}  // namespace lockgw::rig
