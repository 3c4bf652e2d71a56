/// Reads whole files and tells a file that is not there from one that cannot be read now.
#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <filesystem>
#include <optional>
#include <string>
#include <system_error>

namespace lockgw {

/// The content of the file; none if there is no such file. Throws std::system_error on any other failure: for
/// want of descriptors, say, an existing file must not pass for an empty one.
inline std::optional<std::string> read_file(const std::filesystem::path& path) {
    const auto fail = [&path](int error) {
        throw std::system_error(error, std::generic_category(), path.string() + " cannot be read");
    };
    const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (file < 0 && errno == ENOENT) return std::nullopt;
    if (file < 0) fail(errno);
    std::string content;
    std::array<char, 64 * 1024> part;
    ssize_t count = 0;
    do {
        count = ::read(file, part.data(), part.size());
        if (count > 0) content.append(part.data(), static_cast<std::size_t>(count));
    } while (count > 0 || (count < 0 && errno == EINTR));
    const int error = count < 0 ? errno : 0;
    ::close(file);
    if (error != 0) fail(error);
    return content;
}

}  // namespace lockgw
