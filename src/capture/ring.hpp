/// The files of a capture: a ring of segments, and what was kept of it.
///
///     FOLDER/s000000000042.lcap              the ring: the oldest goes for the next
///     FOLDER/kept/20261201T160843.120Z-fell_sick/s000000000041.lcap    what a trigger or the operator kept
///
/// A segment moves to `kept` when it is closed. Both are bounded in bytes, apart from one another: the oldest
/// kept folders go for the next one.
///
/// Threads: one at a time (the recorder's, but for the constructor). Each call throws std::runtime_error
/// where the disk fails.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace lockgw::capture {

class Ring {
public:
    using Moment = std::chrono::steady_clock::time_point;

    /// Makes the folder, for its owner alone. `most`, `most_kept`: bytes.
    Ring(std::filesystem::path folder, std::size_t most, std::size_t most_kept);
    Ring(const Ring&) = delete;
    Ring& operator=(const Ring&) = delete;
    ~Ring();

    /// A new file for what comes; room for `coming` bytes is made.
    void begin(std::size_t coming, Moment now);
    void write(std::string_view bytes);
    /// Closed segments that were written to since a moment, and those that begin until another one, are kept
    /// in a folder with this name. Another call takes the place of one whose time has not come to its end.
    void keep(const std::string& name, Moment since, Moment until);

    /// Kept folders, and their bytes. Reads the disk.
    std::pair<std::size_t, std::size_t> kept() const;

private:
    struct Closed {
        std::filesystem::path path;
        std::size_t bytes;
        Moment end;
    };
    void close(Moment now);
    /// False where it is larger than all that may be kept: it stays in the ring.
    bool move_to_kept(const Closed& segment);
    std::vector<std::pair<std::filesystem::path, std::size_t>> kept_folders() const;

    std::filesystem::path folder_, path_;
    std::size_t most_, most_kept_, bytes_ = 0;
    unsigned long long last_ = 0;
    int file_ = -1;
    Moment begun_{};
    std::deque<Closed> closed_;  // in the order of their making
    std::string keep_;           // the folder's name; empty: nothing is kept
    Moment keep_until_{};
};

}  // namespace lockgw::capture
