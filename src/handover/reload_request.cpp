#include "handover/reload_request.hpp"

#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

namespace lockgw::handover {
namespace {

constexpr mode_t kOwnerOnly = 0600;

}  // namespace

bool ReloadRequest::post() const {
    return ::mknod(path_.c_str(), S_IFREG | kOwnerOnly, 0) == 0 || errno == EEXIST;
}

bool ReloadRequest::take() const { return ::unlink(path_.c_str()) == 0; }

}  // namespace lockgw::handover
