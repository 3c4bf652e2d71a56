// The stand-ins themselves, where a fault of theirs would look like one of the program.
//
// An executable of its own, for it replaces operator new.
#include <gtest/gtest.h>
#include <pthread.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <list>
#include <new>
#include <set>

#include "rig/node.hpp"

namespace {

constexpr int kAllocatedInChild = 86;  // exit status
bool forked = false;

}  // namespace

void* operator new(std::size_t size) {
    if (forked) _exit(kAllocatedInChild);
    void* memory = std::malloc(size == 0 ? 1 : size);
    if (memory == nullptr) throw std::bad_alloc();
    return memory;
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace lockgw {
namespace {

// Seen in CI: a process that was "not ready" for 20 s with an empty log. A child that is forked while another
// thread holds a lock of the allocator, and that allocates before execve, waits for that lock for ever.
TEST(RigNode, AllocatesNothingBetweenForkAndExec) {
    ASSERT_EQ(pthread_atfork(nullptr, nullptr, [] { forked = true; }), 0);
    rig::Node node(rig::make_config("", ""), "/bin/true");
    node.set_environment("LOCKGW_TEST", "a value that is too long to be kept without an allocation");
    node.limit_descriptors(64);
    node.start();
    EXPECT_EQ(node.wait(), 0);
    node.hold_listener();
    node.follow(node.start_beside({{"LOCKGW_OTHER", "another value that is too long for that"}}));
    EXPECT_EQ(node.wait(), 0);
}

// Seen in a play of 20 processes, and in a test of one with a console: "bind: Address already in use". Two
// had drawn the same port of one host, the second after the first had let go of it and before it was used.
TEST(RigNode, HasAnAddressThatNoOtherOneHas) {
    constexpr int kNodes = 100;
    std::set<std::string> addresses;
    std::list<rig::Node> nodes;
    for (int i = 0; i < kNodes; ++i) {
        const rig::Node& node = nodes.emplace_back(rig::make_config("", ""), "/bin/true");
        addresses.insert(node.address().address().to_string());
    }
    EXPECT_EQ(addresses.size(), static_cast<std::size_t>(kNodes));
}

}  // namespace
}  // namespace lockgw
