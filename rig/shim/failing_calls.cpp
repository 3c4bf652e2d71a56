/// A shared object for LD_PRELOAD: some calls that need a descriptor fail, as on a machine that has none left
/// for a moment. Loaded into the program under test alone.
///
/// LOCKGW_FAILING_CALLS="FIRST COUNT": of all such calls of the process, COUNT from number FIRST on (from 0)
/// fail with ENFILE.
#include <dlfcn.h>
#include <fcntl.h>

#include <atomic>
#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>

namespace {

struct Plan {
    long first = 0, count = 0;
};

Plan planned() {
    Plan plan;
    const char* text = std::getenv("LOCKGW_FAILING_CALLS");
    if (text == nullptr || std::sscanf(text, "%ld %ld", &plan.first, &plan.count) != 2) return {};
    return plan;
}

bool fails() {
    static const Plan plan = planned();
    static std::atomic<long> calls{0};
    const long number = calls++;
    if (number < plan.first || number >= plan.first + plan.count) return false;
    errno = ENFILE;
    return true;
}

template <class Function>
Function next(const char* name) {
    return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

bool takes_mode(int flags) { return (flags & O_CREAT) != 0 || (flags & O_TMPFILE) == O_TMPFILE; }

}  // namespace

extern "C" {

int open(const char* path, int flags, ...) {
    mode_t mode = 0;
    if (takes_mode(flags)) {
        va_list rest;
        va_start(rest, flags);
        mode = va_arg(rest, mode_t);
        va_end(rest);
    }
    if (fails()) return -1;
    static const auto real = next<int (*)(const char*, int, ...)>("open");
    return real(path, flags, mode);
}

int socket(int domain, int type, int protocol) {
    if (fails()) return -1;
    static const auto real = next<int (*)(int, int, int)>("socket");
    return real(domain, type, protocol);
}

int pipe(int ends[2]) {
    if (fails()) return -1;
    static const auto real = next<int (*)(int*)>("pipe");
    return real(ends);
}

int epoll_create1(int flags) {
    if (fails()) return -1;
    static const auto real = next<int (*)(int)>("epoll_create1");
    return real(flags);
}

int eventfd(unsigned count, int flags) {
    if (fails()) return -1;
    static const auto real = next<int (*)(unsigned, int)>("eventfd");
    return real(count, flags);
}

int timerfd_create(int clock, int flags) {
    if (fails()) return -1;
    static const auto real = next<int (*)(int, int)>("timerfd_create");
    return real(clock, flags);
}

}  // extern "C"
