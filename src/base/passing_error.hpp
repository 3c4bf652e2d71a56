/// Which failures of the system come for a moment and are worth another try.
#pragma once

#include <boost/system/system_error.hpp>
#include <cerrno>
#include <exception>
#include <system_error>

namespace lockgw {

/// By errno: what others use up and give back (descriptors, memory, buffers, room on the disk, an address
/// that a predecessor still holds), a disk that fails, an interrupted call.
inline bool is_passing(int error) {
    switch (error) {
        case EMFILE:
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
        case EINTR:
        case EAGAIN:
        case EADDRINUSE:
        case EIO:
        case ENOSPC:
        case EDQUOT:
            return true;
        default:
            return false;
    }
}

/// Whether the exception bears such an errno, by either of the libraries that throw one.
inline bool is_passing(const std::exception& failure) {
    if (const auto* system = dynamic_cast<const std::system_error*>(&failure))
        return (system->code().category() == std::generic_category() ||
                   system->code().category() == std::system_category()) &&
               is_passing(system->code().value());
    if (const auto* boost = dynamic_cast<const boost::system::system_error*>(&failure))
        return boost->code().category() == boost::system::system_category() &&
               is_passing(boost->code().value());
    return false;
}

}  // namespace lockgw
