/// A request to read the configuration anew, passed from a process that does not own the state folder to the
/// one that does.
///
/// The platform sends SIGHUP to the process that serves as far as it knows. While a new version takes over,
/// that is the old one, also after it has handed over: the new one may have read its files already.
#pragma once

#include <filesystem>

namespace lockgw::handover {

/// An empty file in the state folder: posted by creating it, taken by removing it. It needs no descriptor.
class ReloadRequest {
public:
    explicit ReloadRequest(const std::filesystem::path& state_folder) : path_(state_folder / "reload") {}

    /// Returns false if it could not be stored; then it is to be tried again.
    bool post() const;
    /// Returns whether a request was posted. It is removed first, so that one that is posted while the caller
    /// reads its files is found by the next call.
    bool take() const;

private:
    std::filesystem::path path_;
};

}  // namespace lockgw::handover
