#include "core/hook.hpp"

#include <spawn.h>
#include <sys/wait.h>

#include <cerrno>
#include <csignal>

extern char** environ;

namespace lockgw {

Hook::~Hook() {
    if (child_ <= 0) return;
    ::kill(child_, SIGKILL);
    ::waitpid(child_, nullptr, 0);
}

bool Hook::start(const std::vector<std::string>& command, const std::vector<std::string>& environment,
    std::chrono::steady_clock::duration time_limit) {
    if (child_ > 0 || command.empty()) return false;
    std::vector<char*> arguments, variables;
    for (const std::string& word : command) arguments.push_back(const_cast<char*>(word.c_str()));
    for (char** variable = environ; *variable != nullptr; ++variable) variables.push_back(*variable);
    for (const std::string& variable : environment) variables.push_back(const_cast<char*>(variable.c_str()));
    arguments.push_back(nullptr), variables.push_back(nullptr);
    // This process blocks signals while it starts; the child must not inherit that mask.
    posix_spawnattr_t attributes;
    ::posix_spawnattr_init(&attributes);
    sigset_t none;
    ::sigemptyset(&none);
    ::posix_spawnattr_setsigmask(&attributes, &none);
    ::posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    const int failed = ::posix_spawn(
        &child_, command.front().c_str(), nullptr, &attributes, arguments.data(), variables.data());
    ::posix_spawnattr_destroy(&attributes);
    if (failed != 0) return child_ = 0, false;
    deadline_ = std::chrono::steady_clock::now() + time_limit;
    return true;
}

std::optional<bool> Hook::poll() {
    if (child_ <= 0) return std::nullopt;
    int status = 0;
    const pid_t ended = ::waitpid(child_, &status, WNOHANG);
    if (ended == 0 && std::chrono::steady_clock::now() < deadline_) return std::nullopt;
    if (ended == 0) {
        ::kill(child_, SIGKILL);
        ::waitpid(child_, &status, 0);
    }
    child_ = 0;
    return ended > 0 && WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

}  // namespace lockgw
