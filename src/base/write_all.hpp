/// Bytes into a descriptor, whole. No log, no exceptions.
#pragma once

#include <unistd.h>

#include <cerrno>
#include <string_view>

namespace lockgw {

/// False where they did not all go; some may have.
inline bool write_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t wrote = ::write(fd, bytes.data(), bytes.size());
        if (wrote < 0 && errno == EINTR) continue;
        if (wrote <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(wrote));
    }
    return true;
}

}  // namespace lockgw
