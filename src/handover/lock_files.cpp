#include "handover/lock_files.hpp"

#include <fcntl.h>
#include <sys/file.h>

#include <cerrno>
#include <system_error>

#include "logging/log.hpp"

namespace lockgw::handover {
namespace {

Descriptor opened(const std::filesystem::path& path) {
    Descriptor file(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (file.get() < 0)
        throw std::system_error(
            errno, std::generic_category(), "the lock " + path.string() + " cannot be opened");
    return file;
}

}  // namespace

LockFiles::LockFiles(const std::filesystem::path& folder)
    : owner_file_(opened(folder / "owner.lock")), next_file_(opened(folder / "next.lock")) {}

/// Where the system has no locks there is nobody to take over from, either.
bool LockFiles::try_lock(const Descriptor& file) {
    if (::flock(file.get(), LOCK_EX | LOCK_NB) == 0) return true;
    if (errno == EWOULDBLOCK || errno == EINTR) return false;
    log::warn("handover", "this folder takes no locks", {{"errno", errno}});
    return true;
}

void LockFiles::drop(const Descriptor& file, bool& held) {
    if (held) ::flock(file.get(), LOCK_UN);
    held = false;
}

bool LockFiles::wanted() {
    if (next_) return false;
    if (!try_lock(next_file_)) return true;
    ::flock(next_file_.get(), LOCK_UN);
    return false;
}

}  // namespace lockgw::handover
