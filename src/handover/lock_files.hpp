/// The locks of handover/plan.hpp as files of the folder that lasts.
#pragma once

#include <filesystem>

#include "handover/plan.hpp"
#include "store/journal.hpp"

namespace lockgw::handover {

class LockFiles final : public Locks {
public:
    /// Throws std::runtime_error where the folder cannot be used.
    explicit LockFiles(const std::filesystem::path& folder);

    bool try_owner() override { return owner_ || (owner_ = try_lock(owner_file_)); }
    bool try_next() override { return next_ || (next_ = try_lock(next_file_)); }
    void drop_next() override { drop(next_file_, next_); }
    void drop_owner() { drop(owner_file_, owner_); }
    /// Another process asks to take over.
    bool wanted();

private:
    static bool try_lock(const Descriptor& file);
    static void drop(const Descriptor& file, bool& held);

    Descriptor owner_file_, next_file_;
    bool owner_ = false, next_ = false;
};

}  // namespace lockgw::handover
