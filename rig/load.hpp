/// A load of well-formed ENQUEUEs on one forwarder: closed loop (each connection asks again when it has its
/// answer) or open loop (at a rate, whatever is answered). Loopback only; its own thread while play_load()
/// runs.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace lockgw::rig {

struct LoadPlan {
    boost::asio::ip::tcp::endpoint address;
    std::chrono::milliseconds span{3000};
    std::size_t connections = 32;
    double per_s = 0;                         ///< open loop; 0: closed loop
    std::uint64_t most = 0;                   ///< ends after so many messages, if not 0
    std::size_t body = 200;                   ///< bytes
    std::int64_t first_cell = 0, cells = 10;  ///< each message goes to one of these, in turn
    int left_ms = 50'000;
    std::uint64_t first_id = 1;
};

struct LoadResult {
    std::uint64_t asked = 0, taken = 0, busy = 0, failed = 0, renewed = 0;
    double seconds = 0;
    std::vector<double> answers_ms;  ///< from its sending to its +OK
    std::unordered_map<std::string, std::chrono::steady_clock::time_point> sent;  ///< by id, those taken
};

LoadResult play_load(const LoadPlan& plan);
/// 0 to 1 of the values; 0 where there are none.
double quantile(std::vector<double> values, double part);

}  // namespace lockgw::rig
