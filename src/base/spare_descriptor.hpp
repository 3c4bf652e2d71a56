/// A descriptor kept for nothing, to be given back where one is needed at once and none is left.
///
/// Descriptors may run out at any instant: others of this machine hold them, or the limit is lowered while
/// the process runs. What must not starve then (the journal, discovery) keeps one of these. Threads: one.
#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace lockgw {

/// errno's or an error_code's word that there is no descriptor to be had.
inline bool out_of_descriptors(int why) { return why == EMFILE || why == ENFILE; }

class SpareDescriptor {
public:
    SpareDescriptor() { take(); }
    SpareDescriptor(const SpareDescriptor&) = delete;
    SpareDescriptor& operator=(const SpareDescriptor&) = delete;
    ~SpareDescriptor() { give_back(); }

    /// Frees it for the caller's next open; false where there was none.
    bool give_back() {
        if (fd_ < 0) return false;
        ::close(std::exchange(fd_, -1));
        return true;
    }
    bool held() const { return fd_ >= 0; }
    /// Keeps one again, where one is to be had.
    void take() {
        if (fd_ < 0) fd_ = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    }

private:
    int fd_ = -1;
};

}  // namespace lockgw
