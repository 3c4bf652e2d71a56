// RESP2 reading under libFuzzer: whatever comes, and however it is split, the commands are the same, the
// fault is the same, and no more is held than the stated bounds. Run by tests/fuzz/run.
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "fronts/resp2/resp.hpp"

using namespace lockgw;

namespace {

struct Read {
    std::vector<resp::Command> commands;
    std::string fault;
    bool midway = false;
    bool operator==(const Read&) const = default;
};

[[noreturn]] void broken(const char* law) {
    std::cerr << "broken: " << law << '\n';
    std::abort();
}

/// Fed in pieces of `size` bytes.
Read read_in(std::string_view bytes, std::size_t size) {
    Read read;
    resp::Parser parser;
    try {
        for (std::size_t at = 0; at < bytes.size(); at += size) {
            const std::string_view piece = bytes.substr(at, size);
            parser.feed(piece);
            while (auto command = parser.next()) {
                std::size_t sum = 0;
                for (const std::string& word : *command) sum += word.size();
                if (sum > resp::kMostCommand) broken("a command is bounded");
                if (command->size() > resp::kMostArguments) broken("the arguments are bounded");
                read.commands.push_back(std::move(*command));
            }
            if (parser.held() > piece.size() + 2 * resp::kMostCommand) broken("what is held is bounded");
        }
        read.midway = parser.midway();
    } catch (const resp::Unreadable& bad) {
        read.fault = bad.what();
    }
    return read;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const Read whole = read_in(bytes, std::max<std::size_t>(1, size));
    for (const std::size_t piece : {1u, 2u, 3u, 7u})
        if (const Read split = read_in(bytes, piece); split.commands != whole.commands ||
                                                      split.fault.empty() != whole.fault.empty() ||
                                                      split.midway != whole.midway)
            broken("a split changes nothing");
    return 0;
}
