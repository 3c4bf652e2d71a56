/// One datagram for all that forwarders tell one another: sections of several kinds in one frame, by
/// priority, within a budget; and what comes in, bounded for each peer.
///
///   first byte 0x21 (frames, version 1), CRC-32 of what follows (4, little-endian), then sections: kind (1),
///   length (1), bytes. Kinds that are not known are passed over by whoever reads them: they are a newer
///   build's.
///
/// No I/O, no clock. A build from before frames sends bare notes on limits, and drops frames as no such note.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lockgw::notes {

using Time = std::chrono::microseconds;

constexpr std::size_t kMostBytes = 256;  ///< of a datagram
constexpr char kFrame = 0x21;
constexpr std::size_t kHeadBytes = 5, kSectionHead = 2;

/// In the order of their priority.
enum class Kind : std::uint8_t {
    Tier = 1,
    Limits = 2,
    Question = 3,  ///< of one that came back (recovery/peer_state_transfer.hpp),
    Answer = 4,    ///< and what it is told
    Work = 5       ///< who is taken out, and when (work/register.hpp)
};

struct Section {
    std::uint8_t kind = 0;
    std::string bytes;
    bool operator==(const Section&) const = default;
};

constexpr std::size_t room_beside(std::size_t used) {
    return used + kSectionHead >= kMostBytes ? 0 : kMostBytes - used - kSectionHead;
}
/// Those that fit, in the order given.
std::string frame_of(const std::vector<Section>& sections);
/// None where it is no frame, whole and unspoilt; all sections, also of unknown kinds.
std::optional<std::vector<Section>> sections_of(std::string_view frame);
inline bool is_frame(std::string_view bytes) { return !bytes.empty() && bytes.front() == kFrame; }

/// So many a second on the long run, and those of `burst` seconds at once.
class Allowance {
public:
    Allowance(double per_s, double burst_s) : per_s_(per_s), most_(per_s * burst_s), left_(most_) {}
    bool take(double what, Time now) {
        if (now > filled_)
            left_ = std::min(most_, left_ + per_s_ * std::chrono::duration<double>(now - filled_).count());
        filled_ = now;
        if (left_ < what) return false;
        left_ -= what;
        return true;
    }

private:
    double per_s_, most_, left_;
    Time filled_{0};
};

struct Budget {
    double notes_per_s = 40, bytes_per_s = 8000;
};
/// What goes out: whether a datagram of so many bytes may.
class Outbox {
public:
    explicit Outbox(const Budget& budget) : notes_(budget.notes_per_s, 1), bytes_(budget.bytes_per_s, 1) {}
    bool may_send(std::size_t bytes, Time now) {
        const bool may = notes_.take(1, now) && bytes_.take(static_cast<double>(bytes), now);
        ++(may ? sent_ : held_back_);
        return may;
    }
    std::uint64_t sent() const { return sent_; }
    std::uint64_t held_back() const { return held_back_; }

private:
    Allowance notes_, bytes_;
    std::uint64_t sent_ = 0, held_back_ = 0;
};
/// What comes in: no peer gets more than its part of the time of this process, whatever it sends.
class Inbox {
public:
    static constexpr double kMostPerS = 60, kBurst_s = 1;
    bool may_come(std::size_t peer, Time now) {
        const auto [found, fresh] = peers_.try_emplace(peer, kMostPerS, kBurst_s);
        const bool may = found->second.take(1, now);
        dropped_ += !may;
        return may;
    }
    std::uint64_t dropped() const { return dropped_; }

private:
    std::map<std::size_t, Allowance> peers_;
    std::uint64_t dropped_ = 0;
};

}  // namespace lockgw::notes
