// Notes from peers: no bytes crash a reader, and what is read is written as it was.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "notes/carrier.hpp"
#include "rate_limits/rate_limit_message.hpp"
#include "recovery/peer_state_transfer.hpp"
#include "tier/note.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace lockgw;
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const auto read = [](std::string_view section) {
        for (const std::size_t members : {2u, 100u, 4096u})
            if (const auto note = tier::note_of(section, members); note && tier::bytes_of(*note) != section)
                std::abort();
        rate_limits::decode(section, cometspoke::Time(1'000'000'000));
        if (const auto question = recovery::question_of(section); question && bytes_of(*question) != section)
            std::abort();
        if (const auto answer = recovery::answer_of(section)) {
            const auto again = recovery::answer_of(recovery::sections_of(*answer, 4096).front());
            if (!again || again->facts.size() != answer->facts.size()) std::abort();
        }
    };
    read(bytes);
    if (const auto sections = notes::sections_of(bytes)) {
        for (const auto& one : *sections) read(one.bytes);
        if (notes::frame_of(*sections) != bytes) std::abort();
    }
    // the checksum would keep nearly all of the rest out
    if (size > 0 && size < 200) {
        const auto whole = notes::frame_of({{data[0], std::string(bytes.substr(1))}});
        const auto sections = notes::sections_of(whole);
        if (!sections || sections->size() != 1 || (*sections)[0].bytes != bytes.substr(1)) std::abort();
    }
    return 0;
}
