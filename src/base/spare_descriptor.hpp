/// A file descriptor held in reserve, to be released when one is needed and the process has none left.
///
/// Descriptors can run out at any time: other processes of the machine use them, or the limit is lowered
/// while the process runs. Components that must keep working then (the journal, discovery) hold a spare one.
/// Not thread-safe.
#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace lockgw {

/// Returns whether an errno or the value of an error_code means that no descriptor is available.
inline bool out_of_descriptors(int error) { return error == EMFILE || error == ENFILE; }

class SpareDescriptor {
public:
    SpareDescriptor() { acquire(); }
    SpareDescriptor(const SpareDescriptor&) = delete;
    SpareDescriptor& operator=(const SpareDescriptor&) = delete;
    ~SpareDescriptor() { release(); }

    /// Closes the spare descriptor, so that the caller's next open() can use it. Returns false if there was
    /// none.
    bool release() {
        if (fd_ < 0) return false;
        ::close(std::exchange(fd_, -1));
        return true;
    }
    bool held() const { return fd_ >= 0; }
    /// Opens a spare descriptor unless one is held. Has no effect if none is available.
    void acquire() {
        if (fd_ < 0) fd_ = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    }

private:
    int fd_ = -1;
};

}  // namespace lockgw
