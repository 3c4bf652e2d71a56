/// Operators' orders in a file of the folder that lasts, shared by the processes of an upgrade.
///
/// A change is made to what the file says at that instant, under a lock that the kernel lets go of with its
/// process, and is there whole or not at all (a new file is put in the place of the old one). Other
/// processes see it with their next look(). Its room is beside the journal's. Threads: one.
#pragma once

#include <sys/types.h>

#include <algorithm>
#include <filesystem>
#include <functional>
#include <optional>

#include "operations/operations.hpp"
#include "store/journal.hpp"

namespace lockgw {

/// Of the folder's bytes, how many the file and its successor take at most, for the journal to leave free.
constexpr std::size_t orders_room(std::size_t disk_bytes) {
    return std::min(2 * operations::kTextMost, disk_bytes / 16);
}

class OrdersFile {
public:
    /// Reads what is there; a file that cannot be read is set aside as "orders.bad", with a line in the log.
    /// `room`: bytes, as orders_room() tells.
    OrdersFile(std::filesystem::path folder, std::size_t room);

    const operations::Operations& now() const { return now_; }
    /// Has `change` done to the newest state, and keeps it; false where that cannot be: nothing has changed.
    bool update(const std::function<void(operations::Operations&)>& change);
    /// The state, if another process has changed it since.
    bool look();

private:
    struct Stamp {
        ino_t inode = 0;
        std::int64_t changed_ns = 0;
        off_t size = -1;
        bool operator==(const Stamp&) const = default;
    };
    Stamp stamp() const;
    void open_lock();
    void read();
    bool write(const operations::Operations& fresh);

    std::filesystem::path folder_, path_;
    std::size_t most_;  // of one file
    operations::Operations now_;
    Stamp read_at_;
    Descriptor lock_;
    SpareDescriptor spare_;  // an order must not wait for a descriptor
};

}  // namespace lockgw
