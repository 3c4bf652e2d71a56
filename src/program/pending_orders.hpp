/// Operators' orders at a process that does not own the folder: before it takes over, or after it has handed
/// over. They are written down, and heeded by the one that owns.
#pragma once

#include <set>
#include <string>

#include "operations/operations.hpp"
#include "store/orders_file.hpp"

namespace lockgw::program {

class PendingOrders {
public:
    /// `listed`: ids that this process knows of.
    PendingOrders(const std::filesystem::path& state, std::size_t disk_bytes, std::set<std::string> listed)
        : orders_(state, orders_room(disk_bytes)), listed_(std::move(listed)) {}

    operations::Answer order(const operations::Order& order);

private:
    OrdersFile orders_;
    std::set<std::string> listed_;
};

}  // namespace lockgw::program
