/// Writes a whole buffer to a file descriptor. Does not log and does not throw.
#pragma once

#include <unistd.h>

#include <cerrno>
#include <string_view>

namespace lockgw {

/// Returns false if not all bytes could be written; some of them may have been.
inline bool write_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t written = ::write(fd, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) continue;
        if (written <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

}  // namespace lockgw
