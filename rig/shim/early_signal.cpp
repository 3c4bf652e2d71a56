/// A shared object for LD_PRELOAD: the process sends itself the signal with the number in LOCKGW_EARLY_SIGNAL
/// when it first asks for NODE_CONFIG, which the program does before anything else.
#include <dlfcn.h>

#include <csignal>
#include <cstdlib>
#include <cstring>

extern "C" char* getenv(const char* name) {
    static const auto real = reinterpret_cast<char* (*)(const char*)>(dlsym(RTLD_NEXT, "getenv"));
    static bool sent = false;
    if (!sent && std::strcmp(name, "NODE_CONFIG") == 0) {
        sent = true;
        if (const char* signal = real("LOCKGW_EARLY_SIGNAL")) ::raise(std::atoi(signal));
    }
    return real(name);
}
