/// Runs the operator's maintenance hook as a child process: one at a time, with a time limit, without a
/// shell.
///
/// The caller polls for its end, because the process has no SIGCHLD handler. The hook inherits the
/// environment of this process, plus the variables given (LOCKGW_WORK_*).
#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lockgw {

class Hook {
public:
    Hook() = default;
    Hook(const Hook&) = delete;
    Hook& operator=(const Hook&) = delete;
    /// Kills a hook that is still running, since nothing would wait for it any more.
    ~Hook();

    /// Starts the program `command[0]` with the other elements as arguments; it is killed after `time_limit`.
    /// Returns false if it cannot be started or another one is running.
    bool start(const std::vector<std::string>& command, const std::vector<std::string>& environment,
        std::chrono::steady_clock::duration time_limit);
    bool running() const { return child_ > 0; }
    /// Returns true once if the hook exited with status 0, false once if it failed or exceeded its time limit
    /// (it is killed then); none while it runs or if there is none.
    std::optional<bool> poll();

private:
    pid_t child_ = 0;
    std::chrono::steady_clock::time_point deadline_{};
};

}  // namespace lockgw
