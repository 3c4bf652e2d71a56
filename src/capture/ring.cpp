#include "capture/ring.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <stdexcept>

#include "capture/segment.hpp"
#include "capture/trigger.hpp"

namespace lockgw::capture {

namespace fs = std::filesystem;

namespace {

constexpr const char* kSuffix = ".lcap";
constexpr const char* kKept = "kept";

std::runtime_error failure(const char* what, const fs::path& path) {
    return std::runtime_error(
        std::string(what) + ' ' + path.filename().string() + ": " + std::strerror(errno));
}
/// For its owner alone: what is told of messages is nobody else's.
void make(const fs::path& folder) {
    fs::create_directories(folder);
    fs::permissions(folder, fs::perms::owner_all);
}
std::vector<std::pair<fs::path, std::size_t>> segments_in(const fs::path& folder) {
    std::vector<std::pair<fs::path, std::size_t>> all;
    for (const auto& entry : fs::directory_iterator(folder))
        if (entry.path().extension() == kSuffix && entry.is_regular_file())
            all.emplace_back(entry.path(), static_cast<std::size_t>(entry.file_size()));
    std::sort(all.begin(), all.end());
    return all;
}

}  // namespace

Ring::Ring(fs::path folder, std::size_t most, std::size_t most_kept)
    : folder_(std::move(folder)), most_(most), most_kept_(most_kept) {
    make(folder_);
    if (::access(folder_.c_str(), W_OK) != 0) throw failure("cannot write to", folder_);
    const auto now = std::chrono::steady_clock::now();
    for (const auto& [path, bytes] : segments_in(folder_)) {
        last_ = std::max(last_, std::strtoull(path.stem().string().c_str() + 1, nullptr, 10));
        // an earlier process's: as old as the file system says
        const auto age = fs::file_time_type::clock::now() - fs::last_write_time(path);
        closed_.push_back({path, bytes, now - std::chrono::duration_cast<Moment::duration>(age)});
    }
}
Ring::~Ring() {
    if (file_ >= 0) ::close(file_);
}

void Ring::begin(std::size_t coming, Moment now) {
    close(now);
    std::size_t total = 0;
    for (const Closed& one : closed_) total += one.bytes;
    for (; !closed_.empty() && total + coming > most_; closed_.pop_front()) {
        std::error_code failed;
        fs::remove(closed_.front().path, failed);
        if (failed) throw std::runtime_error("cannot remove a segment: " + failed.message());
        total -= closed_.front().bytes;
    }
    char name[40];
    std::snprintf(name, sizeof name, "s%012llu%s", ++last_, kSuffix);
    path_ = folder_ / name;
    file_ = ::open(path_.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC, 0600);
    if (file_ < 0) throw failure("cannot create", path_);
    begun_ = now;
    bytes_ = 0;
    write(magic());
}

void Ring::write(std::string_view bytes) {
    if (file_ < 0) throw std::runtime_error("no segment is open");
    while (!bytes.empty()) {
        const ssize_t count = ::write(file_, bytes.data(), bytes.size());
        if (count < 0 && errno == EINTR) continue;
        if (count <= 0) {
            const auto why = failure("cannot write to", path_);
            close(begun_);
            throw why;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
        bytes_ += static_cast<std::size_t>(count);
    }
}

void Ring::close(Moment now) {
    if (file_ < 0) return;
    ::close(file_);
    file_ = -1;
    const Closed segment{path_, bytes_, now};
    if (keep_.empty() || begun_ > keep_until_ || !move_to_kept(segment)) closed_.push_back(segment);
    if (begun_ > keep_until_) keep_.clear();
}

void Ring::keep(const std::string& name, Moment since, Moment until) {
    keep_ = name;
    keep_until_ = until;
    std::deque<Closed> stay;
    // the newest first: where not all of it may be kept, that is what there is room for
    for (auto one = closed_.rbegin(); one != closed_.rend(); ++one)
        if (one->end < since || !move_to_kept(*one)) stay.push_front(*one);
    closed_ = std::move(stay);
}

bool Ring::move_to_kept(const Closed& segment) {
    auto folders = kept_folders();
    const fs::path own = folder_ / kKept / keep_;
    const auto mine =
        std::find_if(folders.begin(), folders.end(), [&](const auto& folder) { return folder.first == own; });
    std::size_t coming = segment.bytes;
    if (mine != folders.end()) coming += mine->second, folders.erase(mine);
    if (coming > most_kept_) return false;
    std::vector<std::size_t> sizes;
    for (const auto& [path, bytes] : folders) sizes.push_back(bytes);
    for (std::size_t i = 0; i < dropped_for(sizes, coming, most_kept_); ++i) fs::remove_all(folders[i].first);
    make(folder_ / kKept);
    make(own);
    fs::rename(segment.path, own / segment.path.filename());
    return true;
}

std::vector<std::pair<fs::path, std::size_t>> Ring::kept_folders() const {
    std::vector<std::pair<fs::path, std::size_t>> all;
    if (!fs::is_directory(folder_ / kKept)) return all;
    for (const auto& entry : fs::directory_iterator(folder_ / kKept)) {
        if (!entry.is_directory()) continue;
        std::size_t bytes = 0;
        for (const auto& [path, size] : segments_in(entry.path())) bytes += size;
        all.emplace_back(entry.path(), bytes);
    }
    std::sort(all.begin(), all.end());  // by their moments
    return all;
}

std::pair<std::size_t, std::size_t> Ring::kept() const {
    std::pair<std::size_t, std::size_t> all{0, 0};
    for (const auto& [path, bytes] : kept_folders()) ++all.first, all.second += bytes;
    return all;
}

}  // namespace lockgw::capture
