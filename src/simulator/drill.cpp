// The program cometspoke_drill: runs decision modules for the simulator, over standard input and output.
#include <iostream>

#include "simulator/wire.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    return cometspoke::wire::run(std::cin, std::cout, std::cerr);
}
