/// What operators have ordered: targets out, and whether this forwarder is in service.
///
/// One state, many fronts: the console, the control socket and the command line say an Order, and get an
/// Answer. No I/O, no clock: `now_ms` is the caller's, Unix time in milliseconds. Laws, each a property test
/// (tests/operations_test.cpp):
///  1. A target is out from the order that takes it out to the one that puts it back, however often either is
///     repeated, and whatever lists say meanwhile.
///  2. Only an id that was listed can be ordered about: of those gone since, the latest kGoneMost are known.
///  3. What text() wrote, of() reads back as the same state.
///  4. Between two states, moves() tells exactly the targets whose ban differs, and the service where it
///  does.
/// Bounds: kOutMost targets out, kGoneMost ids that have gone, ids of kIdMost bytes. Whoever keeps text()
/// bounds it as a whole.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lockgw::operations {

constexpr std::size_t kOutMost = 256;
constexpr std::size_t kGoneMost = 1024;
constexpr std::size_t kIdMost = 256;           ///< bytes
constexpr std::size_t kGoneBytes = 16 * 1024;  ///< of all the ids that have gone
constexpr std::size_t kTextMost = 64 * 1024;   ///< of text(): longer ids leave room for fewer
constexpr std::int64_t kColdFor_ms = 60'000;   ///< a target put back is told as cold for so long

struct Order {
    enum class Kind { Ready, Offline, Online, OutOfService, InService };
    Kind kind = Kind::Ready;
    std::string target;  ///< of Offline and Online
};

struct Answer {
    enum class Kind {
        Yes,
        NotReady,   ///< this process cannot serve, or not yet
        Unknown,    ///< an id that was never listed
        TooMany,    ///< kOutMost targets are out
        NotKept,    ///< the order could not be written down, and does not hold
        Senseless,  ///< no id at all
    };
    Kind kind = Kind::Yes;
    std::string why;  ///< one line, for people

    bool yes() const { return kind == Kind::Yes; }
};

/// Carries an order out; `answered` is called once, on the loop's thread.
using Give = std::function<Answer(const Order&)>;

class Operations {
public:
    /// Does the order to this state. `listed`: whether the id is listed now.
    Answer give(const Order& order, bool listed, std::int64_t now_ms);

    /// An id is listed no longer.
    void gone(const std::string& id);
    bool known(const std::string& id) const { return gone_ids_.contains(id) || out_.contains(id); }

    bool in_service() const { return in_service_; }
    bool out(const std::string& id) const { return out_.contains(id); }
    const std::set<std::string>& all_out() const { return out_; }
    /// It was put back not long ago: what was learned of it before is no sign of warmth.
    bool cold(const std::string& id, std::int64_t now_ms) const;

    /// What differs in `after`.
    struct Moves {
        std::vector<std::string> out, back;
        bool service = false;
    };
    Moves moves(const Operations& after) const;

    /// For a file: one JSON object.
    std::string text() const;
    /// Throws std::exception where it makes no sense.
    static Operations of(const std::string& text);

    bool operator==(const Operations& other) const = default;

private:
    bool in_service_ = true;
    std::set<std::string> out_;
    std::map<std::string, std::int64_t> back_;  // put back, and when
    std::deque<std::string> gone_;              // the latest last
    std::set<std::string> gone_ids_;
    std::size_t gone_bytes_ = 0;
};

const char* text_of(Answer::Kind kind);
const char* text_of(Order::Kind kind);

}  // namespace lockgw::operations
