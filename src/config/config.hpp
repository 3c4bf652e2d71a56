/// What a forwarder is told at its start: the environment, and the file that NODE_CONFIG names.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/address.hpp"
#include "config/capture_row.hpp"
#include "config/door_row.hpp"
#include "config/return_row.hpp"
#include "config/settings.hpp"
#include "config/tier_row.hpp"
#include "config/work_row.hpp"
#include "logging/log.hpp"
#include "subsetting/subset_planner.hpp"

namespace lockgw {

namespace asio = boost::asio;
using Json = nlohmann::json;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;

struct Config {
    std::string name;
    Tcp::endpoint listen;
    std::optional<int> listen_fd;            ///< a listening socket at `listen` that was inherited
    std::optional<Tcp::endpoint> discovery;  ///< none: `known` is all that there is
    std::optional<Tcp::endpoint> console;    ///< for operators alone; none: there is no console
    std::filesystem::path state;
    std::uint64_t seed = 0;
    std::size_t sockets = 1024;  ///< most descriptors of the process
    std::size_t memory_bytes = 64 << 20;
    std::size_t disk_bytes = 0;  ///< room in `state`
    std::optional<Udp::endpoint> peer_listen, peers_all;
    std::vector<Udp::endpoint> peers;  ///< by their numbers, its own among them
    Json known;                        ///< the list of targets as last had, in discovery's form
    cometspoke::settings::Names names;
    cometspoke::Settings settings;
    bool numbered = false;  ///< the settings tell this forwarder's number
    /// NODE_CONFIG as it was read, without the rows of `known`. Null where the operator's file tells all.
    std::shared_ptr<const Json> platform_file;
    std::chrono::milliseconds connect_timeout{1000};
    /// Within so long after it is told that a target drains or has gone, new calls to it must have stopped.
    std::chrono::milliseconds drain_grace{500};
    config::DoorRow door;
    subsetting::SubsetConfig spread;  ///< the operator's
    config::TierRow tier;
    config::ReturnRow recovery;
    config::WorkRow work;
    log::Settings log;
    std::optional<config::CaptureRow> capture;
    bool reports = false;  ///< answers may carry load reports
};

/// Throws std::exception with one plain line where something is missing or makes no sense.
Config read_config(Json file);
/// The file that NODE_CONFIG names, and NODE_STATE.
Config config_of_environment();
Config config_of_file(const std::string& path);
/// What is told may be more than this process is let have.
std::size_t within_own_limit(std::size_t sockets);

}  // namespace lockgw
