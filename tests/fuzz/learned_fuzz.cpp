// The file of what was learned: no bytes crash its reader, and what is read reads back the same.
#include <boost/crc.hpp>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "recovery/snapshot.hpp"
#include "recovery/snapshot_validity.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace lockgw;
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    const auto read = [](const std::string& file) {
        const auto found = recovery::snapshot_of(file);
        if (!found.snapshot) return;
        const auto again = recovery::snapshot_of(recovery::bytes_of(*found.snapshot));
        if (!again.snapshot || !(*again.snapshot == *found.snapshot)) std::abort();
        recovery::valid_facts(
            *found.snapshot, {cometspoke::Time(5), cometspoke::Time(1'700'000'000'000'000), 1});
    };
    read(bytes);
    // the checksum would keep nearly all of the rest out
    boost::crc_32_type sum;
    sum.process_bytes(bytes.data(), bytes.size());
    std::string whole = "LKSN\x01";
    for (int i = 0; i < 4; ++i) whole.push_back(static_cast<char>(sum.checksum() >> (8 * i)));
    read(whole + bytes);
    return 0;
}
